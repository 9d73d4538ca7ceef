//! Outlier ejection: an upstream that fails repeatedly gets no requests for a while, then one
//! probe request at a time until it succeeds.

/// Consecutive failures after which an upstream is ejected.
const MAX_CONSECUTIVE_FAILURES: u32 = 5;
/// Length of the first ejection, in milliseconds; doubles with each consecutive ejection.
const FIRST_EJECTION_MS: u64 = 2_000;
/// Maximum length of an ejection, in milliseconds.
const MAX_EJECTION_MS: u64 = 30_000;
/// Maximum share of the live upstreams that may be ejected at the same time, in percent.
const MAX_EJECTED_PERCENT: usize = 30;

/// Whether one more of `live` upstreams may be ejected.
pub fn may_eject(ejected: usize, live: usize) -> bool {
    (ejected + 1) * 100 <= live * MAX_EJECTED_PERCENT
}

/// Health of one upstream, derived from the outcomes of its exchanges.
#[derive(Clone, Debug, Default)]
pub struct Health {
    consecutive_failures: u32,
    consecutive_ejections: u32,
    ejected_until_ms: u64,
    is_ejected: bool,
    is_probing: bool,
}

impl Health {
    /// Whether the upstream is ejected; an ejection lasts until a probe succeeds.
    pub fn is_ejected(&self) -> bool {
        self.is_ejected
    }

    /// Whether the upstream may get a request now.
    pub fn is_available(&self, now_ms: u64) -> bool {
        !self.is_ejected || (now_ms >= self.ejected_until_ms && !self.is_probing)
    }

    /// Records that the upstream gets a request. Returns whether that request is the probe after an
    /// ejection.
    pub fn mark_start(&mut self) -> bool {
        self.is_probing = self.is_ejected;
        self.is_probing
    }

    /// Records a complete answer.
    pub fn mark_success(&mut self) {
        *self = Self::default();
    }

    /// Records a failure. Returns whether the failure ejects it; `may_eject` tells whether the
    /// limit on ejected upstreams permits one more. Failures of requests that started before an
    /// ejection don't extend it; that of its probe does.
    pub fn mark_failure(&mut self, now_ms: u64, is_probe: bool, may_eject: bool) -> bool {
        if self.is_ejected && !is_probe {
            return false;
        }
        self.consecutive_failures += 1;
        if self.is_ejected {
            self.is_probing = false;
            self.eject(now_ms);
            return true;
        }
        if self.consecutive_failures < MAX_CONSECUTIVE_FAILURES || !may_eject {
            return false;
        }
        self.eject(now_ms);
        true
    }

    /// Records that a probe ended without evidence for or against the upstream: the next request
    /// becomes the probe.
    pub fn mark_inconclusive_probe(&mut self) {
        self.is_probing = false;
    }

    fn eject(&mut self, now_ms: u64) {
        let length_ms =
            (FIRST_EJECTION_MS << self.consecutive_ejections.min(8)).min(MAX_EJECTION_MS);
        self.consecutive_ejections += 1;
        self.is_ejected = true;
        self.ejected_until_ms = now_ms + length_ms;
    }
}
