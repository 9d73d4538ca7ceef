//! Which of the workers with room a step prefers.

use super::{Candidate, Cluster, neighbour};

/// Differences in expected run time below this are ignored, in milliseconds, so that they don't
/// prevent the best fit.
const GRANULARITY_MS: u64 = 500;
/// Largest slowdown that is told from larger ones, as a power of two.
const MAX_SLOWDOWN_CLASS: f64 = 3.0;

/// Rank of the first worker on which tasks of the step have failed; above that of any other.
const FAILING_RANK: u64 = 1 << 32;

/// Rank of a worker for the tasks of a step; the lowest one is preferred. Where tasks of the step have
/// failed, they are tried last: so they find a sound worker, or turn out to fail everywhere.
pub(super) fn rank(cluster: &Cluster<'_>, candidate: &Candidate<'_>, worker: usize) -> u64 {
    let rank = extra_ms(cluster, candidate, worker) / GRANULARITY_MS;
    let is_failing = candidate.failing_workers.contains(&cluster.workers[worker].name);
    rank.min(FAILING_RANK - 1) + if is_failing { FAILING_RANK } else { 0 }
}

/// Slots for a gang on slow workers alone, if the others don't hold all its tasks and these do;
/// otherwise all slots. A gang ends with its slowest task, so that fast workers gain it nothing beside
/// slow ones.
pub(super) fn alike_slots(
    cluster: &Cluster<'_>,
    slots: Vec<(usize, u64)>,
    tasks: u64,
) -> Vec<(usize, u64)> {
    if !cluster.view.times.are_speeds_used || cluster.view.estimates.speeds().is_even() {
        return slots;
    }
    let is_slow = |(worker, _): &(usize, u64)| slowdown_class(cluster, *worker) > 0;
    let (slow, others): (Vec<_>, Vec<_>) = slots.iter().copied().partition(is_slow);
    let holds_all = |slots: &[(usize, u64)]| {
        slots.iter().map(|(_, count)| *count).fold(0, u64::saturating_add) >= tasks
    };
    if !holds_all(&others) && holds_all(&slow) { slow } else { slots }
}

// Cost of a worker for a task of the step as a difference in run time, in milliseconds.
fn extra_ms(cluster: &Cluster<'_>, candidate: &Candidate<'_>, worker: usize) -> u64 {
    speed_ms(cluster, candidate, worker)
        .saturating_add(neighbour::extra_ms(cluster, candidate, worker))
}

// Urgent work and gangs, whose slow tasks would keep the workers of the others, avoid slow workers.
fn speed_ms(cluster: &Cluster<'_>, candidate: &Candidate<'_>, worker: usize) -> u64 {
    let is_indifferent = candidate.job.terms.priority > 0 && !candidate.step.is_gang;
    let is_even = !cluster.view.times.are_speeds_used || cluster.view.estimates.speeds().is_even();
    if is_even || candidate.step.is_lasting || is_indifferent {
        return 0;
    }
    let factor = (1u64 << slowdown_class(cluster, worker)) - 1;
    candidate.run_ms.saturating_mul(factor)
}

// Power of two nearest to a worker's slowdown; 0 for average and fast workers. Finer differences are
// left to the best fit, since scattered small tasks leave no room for large ones.
fn slowdown_class(cluster: &Cluster<'_>, worker: usize) -> u32 {
    cluster.slowdown(worker).log2().round().clamp(0.0, MAX_SLOWDOWN_CLASS) as u32
}
