//! Which of the workers with room a step prefers.

use super::{Candidate, Cluster, neighbour};

/// Differences in expected run time below this are ignored, in milliseconds, so that they don't
/// prevent the best fit.
const GRANULARITY_MS: u64 = 500;
/// Largest slowdown that is told from larger ones, as a factor.
const MAX_SLOWDOWN: f64 = 8.0;
/// Largest ratio of the slowdowns of workers that count as alike for a gang.
const ALIKE_RATIO: f64 = 1.25;

/// Rank of a worker for the tasks of a step; the lowest one is preferred.
pub(super) fn rank(cluster: &Cluster<'_>, candidate: &Candidate<'_>, worker: usize) -> u64 {
    extra_ms(cluster, candidate, worker) / GRANULARITY_MS
}

/// Slots for a gang on workers of like speed, if they hold all its tasks, since it ends with its
/// slowest task; otherwise all slots. `slots` are sorted by rank.
pub(super) fn alike_slots(
    cluster: &Cluster<'_>,
    slots: Vec<(usize, u64)>,
    tasks: u64,
) -> Vec<(usize, u64)> {
    if cluster.view.estimates.speeds().is_even() {
        return slots;
    }
    for (at, (first, _)) in slots.iter().enumerate() {
        let slowdown = cluster.slowdown(*first);
        let is_new = at == 0 || cluster.slowdown(slots[at - 1].0) != slowdown;
        if !is_new {
            continue;
        }
        let is_alike = |(worker, _): &&(usize, u64)| {
            let ratio = cluster.slowdown(*worker) / slowdown;
            (1.0 / ALIKE_RATIO..=ALIKE_RATIO).contains(&ratio)
        };
        let alike = slots[at..].iter().take_while(is_alike);
        if alike.clone().map(|(_, count)| *count).fold(0, u64::saturating_add) >= tasks {
            return alike.copied().collect();
        }
    }
    slots
}

// Cost of a worker for a task of the step as a difference in run time, in milliseconds.
fn extra_ms(cluster: &Cluster<'_>, candidate: &Candidate<'_>, worker: usize) -> u64 {
    speed_ms(cluster, candidate, worker)
        .saturating_add(neighbour::extra_ms(cluster, candidate, worker))
}

// Urgent work prefers fast workers. Other work leaves them to it and prefers the slowest one on which
// its job is on time.
fn speed_ms(cluster: &Cluster<'_>, candidate: &Candidate<'_>, worker: usize) -> u64 {
    if cluster.view.estimates.speeds().is_even() || candidate.step.is_lasting {
        return 0;
    }
    let slowdown = cluster.slowdown(worker).min(MAX_SLOWDOWN);
    let run_ms = candidate.run_ms as f64;
    let extra_ms = (run_ms * (slowdown - 1.0)).max(0.0) as u64;
    let done_ms = cluster.view.wall_ms.saturating_add(candidate.remaining_ms);
    let is_on_time = done_ms.saturating_add(extra_ms) <= candidate.deadline_ms;
    let is_urgent = candidate.job.terms.priority == 0;
    if !is_urgent && (is_on_time || candidate.is_expired) {
        return (run_ms * (MAX_SLOWDOWN - slowdown)) as u64;
    }
    (run_ms * (MAX_SLOWDOWN + slowdown)) as u64
}
