//! Allocation of free capacity to the tasks of one step.

use super::{Candidate, Cluster, foresight, preference};
use crate::batch::fleet::Worker;
use crate::batch::job::State;

/// Time that a step waits for capacity near its data before it may run elsewhere, in milliseconds:
/// on a busy rack, about one run ends in that time.
pub(super) const LOCALITY_WAIT_MS: u64 = 1_200;
/// Pool utilization below which a step that has waited may run away from its data.
const MAX_UTILIZATION_AFTER_WAIT: f64 = 0.5;
/// Pool utilization below which a step may run away from its data if it still completes on time.
const MAX_UTILIZATION_ON_TIME: f64 = 0.5;

/// Maximum number of runs on one worker: its heartbeat, which lists all of them, must be short enough to
/// be accepted, at up to 190 bytes a run.
const MAX_RUNS_ON_WORKER: u64 = 16_000;

/// Free capacity for the tasks of a step.
#[derive(Debug, Default)]
pub(super) struct Allocation {
    /// Indices of workers in the cluster, with the number of tasks for each.
    pub(super) slots: Vec<(usize, u64)>,
    /// Why these workers were chosen.
    pub(super) reason: &'static str,
}

impl Allocation {
    pub(super) fn count(&self) -> usize {
        self.slots.iter().map(|(_, count)| *count as usize).sum()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Keeps slots for the first `count` tasks.
    pub(super) fn truncate(&mut self, count: u64) {
        let mut left = count;
        for (_, slots) in &mut self.slots {
            *slots = left.min(*slots);
            left -= *slots;
        }
        self.slots.retain(|(_, slots)| *slots > 0);
    }
}

/// Finds capacity for the waiting tasks: for all or none of a gang, for as many as possible of any
/// other step.
pub(super) fn find(cluster: &Cluster<'_>, candidate: &Candidate<'_>) -> Allocation {
    let step = candidate.step;
    let pool = &candidate.job.terms.pool;
    if !step.data_rack.is_empty() {
        let near = free_slots_in_rack(cluster, candidate, &step.data_rack);
        let slots = distribute(cluster, candidate, near);
        if !slots.is_empty() {
            return Allocation { slots, reason: "near its data" };
        }
        // Waiting is of no use if the rack has no workers at all.
        let exists = cluster
            .workers
            .iter()
            .any(|worker| worker.pool == *pool && worker.rack == step.data_rack);
        if exists && !may_ignore_locality(cluster, candidate) {
            return Allocation::default();
        }
    }
    if step.is_rack_local {
        let slots = find_in_best_rack(cluster, candidate);
        if !slots.is_empty() {
            return Allocation { slots, reason: "in one rack" };
        }
        if fits_empty_rack(cluster, candidate) && !may_ignore_locality(cluster, candidate) {
            return Allocation::default();
        }
    }
    let mut all = Vec::new();
    for (key, members) in &cluster.racks {
        if key.0 != *pool {
            continue;
        }
        all.extend(free_slots(cluster, candidate, members));
    }
    all.sort_by_cached_key(|(at, _)| preference::rank(cluster, candidate, *at));
    Allocation { slots: distribute(cluster, candidate, all), reason: "where there is room" }
}

/// As [`find`], but also on workers that are excluded for failures, where the others have no room. Nothing
/// is found if there are none.
pub(super) fn find_among_all(cluster: &Cluster<'_>, candidate: &Candidate<'_>) -> Allocation {
    let pool = candidate.job.terms.pool.as_str();
    let Some(excluded) = cluster.excluded.get(pool) else { return Allocation::default() };
    let of_pool = cluster.racks.iter().filter(|(key, _)| key.0 == pool);
    let open: Vec<usize> = of_pool.flat_map(|(_, members)| members.clone()).collect();
    let mut all = free_slots(cluster, candidate, &open);
    all.extend(free_slots(cluster, candidate, excluded));
    let slots = distribute(cluster, candidate, all);
    Allocation { slots, reason: "on workers with failed runs, for its guarantee" }
}

fn may_ignore_locality(cluster: &Cluster<'_>, candidate: &Candidate<'_>) -> bool {
    if candidate.is_guarantee_critical(&cluster.view) || candidate.is_restart {
        return true;
    }
    let utilization = cluster.utilization(&candidate.job.terms.pool);
    if candidate.waited_ms > LOCALITY_WAIT_MS && utilization < MAX_UTILIZATION_AFTER_WAIT {
        return true;
    }
    let factor = cluster.view.times.remote_factor;
    let extra_ms = candidate.run_ms.saturating_mul(factor.saturating_sub(1));
    let remaining_ms = candidate.remaining_ms.saturating_add(extra_ms);
    let done_ms = cluster.view.wall_ms.saturating_add(remaining_ms);
    utilization < MAX_UTILIZATION_ON_TIME && done_ms <= candidate.deadline_ms
}

fn free_slots_in_rack(
    cluster: &Cluster<'_>,
    candidate: &Candidate<'_>,
    rack: &str,
) -> Vec<(usize, u64)> {
    let key = (candidate.job.terms.pool.as_str(), rack);
    let Some(members) = cluster.racks.get(&key) else { return Vec::new() };
    free_slots(cluster, candidate, members)
}

// Best fit: of the racks whose workers the step prefers, the one with the fewest free slots that holds
// the whole step, so that racks with more room stay available for larger steps.
fn find_in_best_rack(cluster: &Cluster<'_>, candidate: &Candidate<'_>) -> Vec<(usize, u64)> {
    let mut best = None;
    let mut best_rank = (u64::MAX, u64::MAX);
    for (key, members) in &cluster.racks {
        if key.0 != candidate.job.terms.pool {
            continue;
        }
        let slots = free_slots(cluster, candidate, members);
        let total = slots.iter().map(|(_, count)| *count).sum::<u64>();
        if total < candidate.progress.tasks.len() as u64 {
            continue;
        }
        let last = slots.last();
        let rank = last.map_or(0, |(at, _)| preference::rank(cluster, candidate, *at));
        if (rank, total) < best_rank {
            best_rank = (rank, total);
            best = Some(slots);
        }
    }
    best.map(|slots| distribute(cluster, candidate, slots)).unwrap_or_default()
}

/// Whether the pool could hold the step if it were empty: all tasks of a gang, or one task of any
/// other step.
pub(super) fn fits_empty_pool(cluster: &Cluster<'_>, candidate: &Candidate<'_>) -> bool {
    let of_pool = cluster.workers.iter().filter(|worker| worker.pool == candidate.job.terms.pool);
    super::can_hold(of_pool, candidate.step)
}

// Whether a rack of the pool could hold the step if it were empty.
fn fits_empty_rack(cluster: &Cluster<'_>, candidate: &Candidate<'_>) -> bool {
    let step = candidate.step;
    for (key, members) in &cluster.racks {
        if key.0 != candidate.job.terms.pool {
            continue;
        }
        if super::can_hold(members.iter().map(|at| &cluster.workers[*at]), step) {
            return true;
        }
    }
    false
}

// Number of tasks that fit on each of these workers now.
fn free_slots(
    cluster: &Cluster<'_>,
    candidate: &Candidate<'_>,
    members: &[usize],
) -> Vec<(usize, u64)> {
    let step = candidate.step;
    let mut slots = Vec::new();
    for at in members {
        let worker = &cluster.workers[*at];
        if !is_eligible(candidate, worker) || foresight::is_kept_from(cluster, *at, candidate) {
            continue;
        }
        let count = worker
            .free
            .count_fitting(&step.demand, step.is_filler)
            .min(task_limit_on(candidate, worker));
        if count > 0 {
            slots.push((*at, count));
        }
    }
    // Best fit: the worker with the least room comes first, which limits fragmentation.
    slots.sort_by_cached_key(|(at, count)| {
        let rank = preference::rank(cluster, candidate, *at);
        (rank, cluster.workers[*at].free.accelerators, *count, *at)
    });
    slots
}

/// Whether tasks of the step may be placed on a worker, apart from its free capacity.
pub(super) fn is_eligible(candidate: &Candidate<'_>, worker: &Worker<'_>) -> bool {
    has_label(worker, &candidate.step.label) && !candidate.avoided_workers.contains(&worker.name)
}

pub(super) fn has_label(worker: &Worker<'_>, label: &str) -> bool {
    label.is_empty() || worker.labels.iter().any(|own| own == label)
}

/// Maximum number of tasks of the step that may be placed on a worker. It never exceeds the number
/// of waiting tasks: any number of tasks without resource demand would fit.
pub(super) fn task_limit_on(candidate: &Candidate<'_>, worker: &Worker<'_>) -> u64 {
    let runs_left = MAX_RUNS_ON_WORKER.saturating_sub(worker.runs);
    let tasks = runs_left.min(candidate.tasks.len() as u64);
    match u64::from(candidate.step.per_worker) {
        0 => tasks,
        limit => tasks.min(limit.saturating_sub(count_tasks_on(candidate, worker.name))),
    }
}

// Number of tasks of the step that are placed on a worker.
fn count_tasks_on(candidate: &Candidate<'_>, worker: &str) -> u64 {
    let tasks = candidate.progress.tasks.begun();
    let is_on = |state: &State| matches!(state, State::Active(run) if run.worker == worker);
    tasks.iter().filter(|task| is_on(&task.state)).count() as u64
}

// Assigns the waiting tasks to slots in order; returns nothing if a gang does not fit as a whole.
fn distribute(
    cluster: &Cluster<'_>,
    candidate: &Candidate<'_>,
    slots: Vec<(usize, u64)>,
) -> Vec<(usize, u64)> {
    let mut left = candidate.tasks.len() as u64;
    let total = slots.iter().map(|(_, count)| *count).fold(0, u64::saturating_add);
    if candidate.step.is_gang && total < left {
        return Vec::new();
    }
    let slots =
        if candidate.step.is_gang { preference::alike_slots(cluster, slots, left) } else { slots };
    let mut used = Vec::new();
    for (at, count) in slots {
        let count = count.min(left);
        if count == 0 {
            break;
        }
        used.push((at, count));
        left -= count;
    }
    used
}
