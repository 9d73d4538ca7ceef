//! Outlier ejection: an upstream that keeps failing gets no work for a while, then a probe.

/// Failures in a row after which an upstream is ejected.
const FAILURES: u32 = 5;
/// First ejection, in milliseconds; doubles with each one that follows.
const EJECT_MS: u64 = 2_000;
/// Longest ejection, in milliseconds.
const LONGEST_MS: u64 = 30_000;
/// Share of the upstreams that may be ejected at once, in percent.
const CAP_PERCENT: usize = 30;

/// Whether one more of `live` upstreams may be ejected.
pub fn may_eject(ejected: usize, live: usize) -> bool {
    (ejected + 1) * 100 <= live * CAP_PERCENT
}

/// Health of one upstream as its exchanges show it.
#[derive(Clone, Debug, Default)]
pub struct Health {
    failures: u32,
    ejections: u32,
    until_ms: u64,
    is_ejected: bool,
    is_probing: bool,
}

impl Health {
    /// Whether it is ejected, or waits for the outcome of a probe.
    pub fn is_ejected(&self) -> bool {
        self.is_ejected
    }

    /// Whether it may get a request now.
    pub fn is_available(&self, now_ms: u64) -> bool {
        !self.is_ejected || (now_ms >= self.until_ms && !self.is_probing)
    }

    /// Notes that it gets a request; after an ejection this one is the probe.
    pub fn record_start(&mut self) {
        self.is_probing = self.is_ejected;
    }

    /// Notes a whole answer.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Notes a failure. Returns whether it is ejected by it; `may_eject` tells whether the cap
    /// leaves room.
    pub fn record_failure(&mut self, now_ms: u64, may_eject: bool) -> bool {
        self.failures += 1;
        if self.is_ejected {
            // The probe, or a request that was under way before, failed.
            self.is_probing = false;
            self.eject(now_ms);
            return true;
        }
        if self.failures < FAILURES || !may_eject {
            return false;
        }
        self.eject(now_ms);
        true
    }

    /// Notes that a request ended without a word about the upstream.
    pub fn record_inconclusive(&mut self) {
        self.is_probing = false;
    }

    fn eject(&mut self, now_ms: u64) {
        let length_ms = (EJECT_MS << self.ejections.min(8)).min(LONGEST_MS);
        self.ejections += 1;
        self.is_ejected = true;
        self.until_ms = now_ms + length_ms;
    }
}
