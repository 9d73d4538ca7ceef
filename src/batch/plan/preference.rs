//! Which of the workers with room a step prefers.

use super::{Candidate, Cluster};

/// Differences in expected run time below this are ignored, in milliseconds, so that they don't
/// prevent the best fit.
const GRANULARITY_MS: u64 = 500;

/// Rank of a worker for the tasks of a step; the lowest one is preferred.
pub(super) fn rank(cluster: &Cluster<'_>, candidate: &Candidate<'_>, worker: usize) -> u64 {
    extra_ms(cluster, candidate, worker) / GRANULARITY_MS
}

// Time that a task of the step is expected to take longer on a worker than on an average one, in
// milliseconds.
fn extra_ms(_cluster: &Cluster<'_>, _candidate: &Candidate<'_>, _worker: usize) -> u64 {
    0
}
