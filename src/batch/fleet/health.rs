//! Health of workers, judged by how their recent runs ended.

/// Number of failed runs in a row after which a worker is excluded from new work.
const MAX_FAILURES: u32 = 2;
/// Duration of the first exclusion of a worker that failed or stalled a run, in milliseconds;
/// doubles with each further exclusion.
const EXCLUSION_MS: u64 = 1_500;
/// Longest exclusion of a worker, in milliseconds.
const MAX_EXCLUSION_MS: u64 = 12_000;

/// Health of one worker.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Health {
    // Failed runs since the last successful one.
    failures: u32,
    exclusions: u32,
    excluded_until_ms: u64,
}

impl Health {
    pub(super) fn is_excluded(&self, now_ms: u64) -> bool {
        now_ms < self.excluded_until_ms
    }

    // A single failure may be the fault of the task rather than the worker.
    pub(super) fn record_failure(&mut self, now_ms: u64) {
        self.failures += 1;
        if self.failures >= MAX_FAILURES {
            self.exclude(now_ms);
        }
    }

    pub(super) fn exclude(&mut self, now_ms: u64) {
        // Runs that end together count as one event.
        if now_ms < self.excluded_until_ms {
            return;
        }
        let length_ms = EXCLUSION_MS << self.exclusions.min(4);
        self.exclusions += 1;
        self.excluded_until_ms = now_ms + length_ms.min(MAX_EXCLUSION_MS);
    }
}
