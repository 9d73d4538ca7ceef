//! Selection of runs to evict so that an urgent step can start.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::allocation::{is_eligible, task_limit_on};
use super::{Candidate, Cluster, View, worker_groups};
use crate::batch::job::{Job, Resources, Step, TaskId, active_runs};

/// Cost of a stop in addition to the lost work, in core-milliseconds: the task has to wait for
/// capacity again.
const STOP_COST_CORE_MS: u64 = 20_000;
/// Cost of making a job late that would have completed on time, in core-milliseconds: about what
/// its tasks use of a worker in ten seconds.
const LATENESS_COST_CORE_MS: u64 = 800_000;

/// Runs to evict, and the slots that they free together with the capacity that is free already.
#[derive(Debug)]
pub(super) struct Selection {
    pub(super) runs: Vec<(TaskId, u32)>,
    pub(super) slots: BTreeMap<String, u64>,
}

/// A run that may be evicted; a gang is evicted as a whole.
#[derive(Clone, Debug)]
struct Victim {
    runs: Vec<(TaskId, u32)>,
    priority: u32,
    // Work that is lost, with the costs of stopping and lateness.
    cost_core_ms: u64,
}

/// Searches for evictions within one decision.
pub(super) struct Evictor<'a> {
    view: View<'a>,
    index: Option<Index<'a>>,
    // Victims that an earlier search of the decision selected.
    evicted: BTreeSet<usize>,
}

/// Evictable runs of all jobs, and by worker what their stop frees, cheapest first.
#[derive(Debug, Default)]
struct Index<'a> {
    victims: Vec<Victim>,
    allocations: HashMap<&'a str, Vec<Allocation>>,
}

/// Resources that a run of a victim uses on a worker.
#[derive(Clone, Copy, Debug)]
struct Allocation {
    victim: usize,
    demand: Resources,
    is_filler: bool,
}

/// Room for one task, with the victims that must stop for it.
struct Slot {
    worker: usize,
    cost_core_ms: u64,
    victims: Vec<usize>,
}

impl<'a> Evictor<'a> {
    pub(super) fn new(view: View<'a>) -> Self {
        Self { view, index: None, evicted: BTreeSet::new() }
    }

    /// Finds the cheapest runs whose eviction makes room for the whole step.
    pub(super) fn find(
        &mut self,
        cluster: &Cluster<'_>,
        candidate: &Candidate<'_>,
    ) -> Option<Selection> {
        let view = self.view;
        let index = self.index.get_or_insert_with(|| Index::new(&view));
        let mut best: Option<(u64, Vec<Slot>)> = None;
        let step = candidate.step;
        let groups = worker_groups(cluster, candidate);
        for members in groups {
            let mut slots = Vec::new();
            for at in members {
                slots.extend(slots_on(cluster, candidate, at, index, &self.evicted));
            }
            let required = candidate.tasks.len();
            if slots.len() < required {
                continue;
            }
            slots.sort_by_key(|slot| slot.cost_core_ms);
            slots.truncate(required);
            // A gang that is evicted for several slots is counted once.
            let victims: BTreeSet<usize> =
                slots.iter().flat_map(|slot| slot.victims.iter().copied()).collect();
            let cost_core_ms = victims
                .iter()
                .map(|at| index.victims[*at].cost_core_ms)
                .fold(0, u64::saturating_add);
            if best.as_ref().is_none_or(|(lowest, _)| cost_core_ms < *lowest) {
                best = Some((cost_core_ms, slots));
            }
        }
        let (cost_core_ms, best_slots) = best?;
        if cost_core_ms > candidate.eviction_budget_core_ms(&view) {
            return None;
        }
        let mut slots = BTreeMap::new();
        let mut victims = BTreeSet::new();
        for slot in best_slots {
            *slots.entry(cluster.workers[slot.worker].name.to_string()).or_insert(0) += 1;
            victims.extend(slot.victims);
        }
        if victims.is_empty() && step.is_gang {
            return None;
        }
        self.evicted.extend(victims.iter().copied());
        let runs = victims.iter().flat_map(|at| index.victims[*at].runs.clone());
        Some(Selection { runs: runs.collect(), slots })
    }
}

// Slots on one worker, each with the victims that must stop for it, cheapest first.
fn slots_on(
    cluster: &Cluster<'_>,
    candidate: &Candidate<'_>,
    at: usize,
    index: &Index<'_>,
    evicted: &BTreeSet<usize>,
) -> Vec<Slot> {
    let step = candidate.step;
    let worker = &cluster.workers[at];
    if !is_eligible(candidate, worker) {
        return Vec::new();
    }
    let limit = task_limit_on(candidate, worker);
    let mut free = worker.free;
    let mut slots = Vec::new();
    let mut pending: Vec<Allocation> = Vec::new();
    let allocations = index.allocations.get(worker.name).map_or(&[][..], Vec::as_slice);
    let mut evictable = allocations.iter().filter(|allocation| {
        index.victims[allocation.victim].priority > candidate.job.terms.priority
            && !evicted.contains(&allocation.victim)
    });
    while (slots.len() as u64) < limit {
        if free.count_fitting(&step.demand, step.is_filler) > 0 {
            drop_unneeded(&mut pending, &mut free, step);
            let cost_core_ms = pending
                .iter()
                .map(|allocation| index.victims[allocation.victim].cost_core_ms)
                .fold(0, u64::saturating_add);
            let victims = pending.drain(..).map(|allocation| allocation.victim).collect();
            free.subtract(&step.demand, step.is_filler);
            slots.push(Slot { worker: at, cost_core_ms, victims });
            continue;
        }
        let Some(allocation) = evictable.next() else { break };
        free.add(&allocation.demand, allocation.is_filler);
        pending.push(*allocation);
    }
    // A later slot also relies on the victims of the earlier ones.
    let mut so_far = Vec::new();
    for slot in &mut slots {
        so_far.append(&mut slot.victims);
        slot.victims.clone_from(&so_far);
    }
    slots
}

// Removes allocations, most expensive first, that need not be freed for a task of the step to fit.
fn drop_unneeded(pending: &mut Vec<Allocation>, free: &mut Resources, step: &Step) {
    for at in (0..pending.len()).rev() {
        let allocation = pending[at];
        let mut without = *free;
        without.subtract(&allocation.demand, allocation.is_filler);
        if without.count_fitting(&step.demand, step.is_filler) > 0 {
            *free = without;
            pending.remove(at);
        }
    }
}

// Cost of restarting a run of a job in addition to the lost work: that of making the job late.
fn lateness_cost_core_ms(view: &View<'_>, job: &Job) -> u64 {
    let critical_path_ms = super::candidate::critical_path_ms(view, job);
    let allowed_ms = super::candidate::allowed_ms(view, job);
    let due_ms = job.occurrences.values().map(|occurrence| occurrence.due_ms).min();
    let deadline_ms = due_ms.unwrap_or(job.accepted_ms).saturating_add(allowed_ms);
    let would_end_ms = view.wall_ms.saturating_add(critical_path_ms);
    // A job that is late already, or would still end on time, loses little.
    let is_made_late = view.wall_ms < deadline_ms && would_end_ms > deadline_ms;
    if is_made_late { LATENESS_COST_CORE_MS } else { 0 }
}

impl<'a> Index<'a> {
    fn new(view: &View<'a>) -> Self {
        let mut index = Self::default();
        let queued = view.table.document.queues.iter().map(|queue| queue.terms.priority);
        let live = view.table.live.values().map(|job| job.terms.priority);
        let lowest_priority = queued.chain(live).max().unwrap_or(0);
        for job in view.table.live.values() {
            let mut gangs: BTreeMap<(u32, u32), usize> = BTreeMap::new();
            let lateness_cost_core_ms = lateness_cost_core_ms(view, job);
            for (task, run) in active_runs(job) {
                let step = &job.spec.steps[task.step as usize];
                if run.is_stopping || step.is_lasting {
                    continue;
                }
                let ran_ms = view.wall_ms.saturating_sub(run.placed_ms);
                let max_loss_ms = view.times.checkpoint_interval_ms + view.times.restore_ms;
                let lost_ms = if step.is_checkpointing { ran_ms.min(max_loss_ms) } else { ran_ms };
                let rank = lowest_priority - job.terms.priority;
                let lost_core_ms =
                    step.demand.work_core_ms(lost_ms).saturating_mul(1 + u64::from(rank));
                let cost_core_ms = lost_core_ms.saturating_add(STOP_COST_CORE_MS);
                let next = index.victims.len();
                let at = if step.is_gang {
                    *gangs.entry((task.occurrence, task.step)).or_insert(next)
                } else {
                    next
                };
                if at == next {
                    let priority = job.terms.priority;
                    index.victims.push(Victim {
                        runs: Vec::new(),
                        priority,
                        cost_core_ms: lateness_cost_core_ms,
                    });
                }
                let victim = &mut index.victims[at];
                victim.runs.push((task, run.number));
                victim.cost_core_ms = victim.cost_core_ms.saturating_add(cost_core_ms);
                let allocations = index.allocations.entry(run.worker.as_str()).or_default();
                allocations.push(Allocation {
                    victim: at,
                    demand: step.demand,
                    is_filler: step.is_filler,
                });
            }
        }
        for allocations in index.allocations.values_mut() {
            allocations.sort_by_key(|allocation| index.victims[allocation.victim].cost_core_ms);
        }
        index
    }
}
