//! Runs that may be evicted, with what their eviction costs and frees.

use std::collections::{BTreeMap, HashMap};

use super::super::{Candidate, View, candidate, foresight};
use crate::batch::job::{Job, Resources, Step, TaskId, active_runs};

/// Cost of a stop in addition to the lost work, in core-milliseconds: the task has to wait for
/// capacity again.
const STOP_COST_CORE_MS: u64 = 20_000;
/// Cost of making a job late that would have completed on time, in core-milliseconds: about what
/// its tasks use of a worker in ten seconds.
const LATENESS_COST_CORE_MS: u64 = 800_000;
/// Additional cost of stopping a run that yields only to a guarantee, in core-milliseconds: more than any
/// other work on the workers is worth, so that it is the last to go.
const LAST_RESORT_COST_CORE_MS: u64 = 1 << 40;
/// Additional cost of stopping a run whose task was stopped often enough, in core-milliseconds: it yields
/// only to a guarantee, before urgent work does.
const EXEMPT_COST_CORE_MS: u64 = LAST_RESORT_COST_CORE_MS / 2;
/// Progress of a long-running task that is operating, in percent.
const OPERATING_PERCENT: u8 = 100;

/// A run that may be evicted; a gang is evicted as a whole.
#[derive(Clone, Debug)]
pub(super) struct Victim {
    pub(super) runs: Vec<(TaskId, u32)>,
    // Work that is lost, with the costs of stopping and lateness.
    pub(super) cost_core_ms: u64,
    priority: u32,
    // Whether the run makes room only for a guarantee that is due.
    is_last_resort: bool,
    // What the eviction takes from each quota that limits it: pairs of quota and amount.
    shares: Vec<(usize, u64)>,
}

impl Victim {
    /// Whether no quota limits the eviction.
    pub(super) fn is_unlimited(&self) -> bool {
        self.shares.is_empty()
    }

    /// Whether the run may be stopped for a candidate, as far as no quota limits it.
    pub(super) fn yields_to(&self, candidate: &Candidate<'_>, view: &View<'_>) -> bool {
        let is_less_urgent = self.priority > candidate.job.terms.priority;
        (is_less_urgent && !self.is_last_resort) || candidate.is_guarantee_due(view)
    }
}

/// Resources that a run of a victim uses on a worker.
#[derive(Clone, Copy, Debug)]
pub(super) struct Allocation {
    pub(super) victim: usize,
    pub(super) task: TaskId,
    pub(super) demand: Resources,
    pub(super) is_filler: bool,
}

/// Amounts that may still be evicted: of each customer the accelerators that its jobs of priority 0 use
/// beyond its guarantee, and of each long-running step the tasks that may be unavailable.
#[derive(Clone, Debug, Default)]
pub(super) struct Quotas(Vec<u64>);

impl Quotas {
    fn add(&mut self, amount: u64) -> usize {
        self.0.push(amount);
        self.0.len() - 1
    }

    /// Takes the shares of a victim, if none of its quotas is used up. The last victim of a customer may
    /// use more than is left, since a gang can't be evicted in part.
    pub(super) fn take(&mut self, victim: &Victim) -> bool {
        if victim.shares.iter().any(|(quota, _)| self.0[*quota] == 0) {
            return false;
        }
        for (quota, amount) in &victim.shares {
            self.0[*quota] = self.0[*quota].saturating_sub(*amount);
        }
        true
    }
}

/// Evictable runs of all jobs, and by worker what their stop frees, cheapest first.
#[derive(Debug, Default)]
pub(super) struct Index<'a> {
    pub(super) victims: Vec<Victim>,
    pub(super) allocations: HashMap<&'a str, Vec<Allocation>>,
    pub(super) quotas: Quotas,
}

impl<'a> Index<'a> {
    pub(super) fn new(view: &View<'a>) -> Self {
        let mut index = Self::default();
        let queued = view.table.document.queues.iter().map(|queue| queue.terms.priority);
        let live = view.table.live.values().map(|job| job.terms.priority);
        let lowest_priority = queued.chain(live).max().unwrap_or(0);
        let customer_quotas = index.add_customer_quotas(view);
        for job in view.table.live.values() {
            let rank = lowest_priority - job.terms.priority;
            let customer_quota = customer_quotas.get(job.customer.as_str()).copied();
            index.add_job(view, job, rank, customer_quota);
        }
        for allocations in index.allocations.values_mut() {
            allocations.sort_by_key(|allocation| index.victims[allocation.victim].cost_core_ms);
        }
        index
    }

    // Adds a quota for each customer with runs of priority 0. Runs within the customer's guarantee are
    // not evicted for that of another one.
    fn add_customer_quotas(&mut self, view: &View<'a>) -> BTreeMap<&'a str, usize> {
        let mut used: BTreeMap<&str, u64> = BTreeMap::new();
        for job in view.table.live.values().filter(|job| job.terms.priority == 0) {
            for (task, run) in active_runs(job) {
                let step = &job.spec.steps[task.step as usize];
                if !run.is_stopping {
                    *used.entry(&job.customer).or_default() += u64::from(step.demand.accelerators);
                }
            }
        }
        let mut quotas = BTreeMap::new();
        for (customer, accelerators) in used {
            let known = view.table.document.customer(customer);
            let guaranteed = known.map_or(0, |known| u64::from(known.guaranteed));
            quotas.insert(customer, self.quotas.add(accelerators.saturating_sub(guaranteed)));
        }
        quotas
    }

    fn add_job(&mut self, view: &View<'a>, job: &'a Job, rank: u32, customer_quota: Option<usize>) {
        let mut gangs: BTreeMap<(u32, u32), usize> = BTreeMap::new();
        let mut step_quotas: BTreeMap<(u32, u32), usize> = BTreeMap::new();
        let lateness_cost_core_ms = lateness_cost_core_ms(view, job);
        let customer_quota = customer_quota.filter(|_| job.terms.priority == 0);
        for (task, run) in active_runs(job) {
            let step = &job.spec.steps[task.step as usize];
            if run.is_stopping {
                continue;
            }
            let step_id = (task.occurrence, task.step);
            let next = self.victims.len();
            let at = if step.is_gang { *gangs.entry(step_id).or_insert(next) } else { next };
            if at == next {
                let is_irreplaceable = step.is_lasting || job.terms.priority == 0;
                let least_cost_core_ms = if is_irreplaceable {
                    LAST_RESORT_COST_CORE_MS
                } else if foresight::is_exempt(run) {
                    EXEMPT_COST_CORE_MS
                } else {
                    0
                };
                let is_last_resort = least_cost_core_ms > 0;
                self.victims.push(Victim {
                    runs: Vec::new(),
                    priority: job.terms.priority,
                    is_last_resort,
                    cost_core_ms: lateness_cost_core_ms + least_cost_core_ms,
                    shares: Vec::new(),
                });
            }
            let ran_ms = view.wall_ms.saturating_sub(run.placed_ms);
            let victim = &mut self.victims[at];
            victim.runs.push((task, run.number));
            let cost_core_ms = stop_cost_core_ms(view, step, ran_ms, rank);
            victim.cost_core_ms = victim.cost_core_ms.saturating_add(cost_core_ms);
            if let Some(quota) = customer_quota {
                victim.shares.push((quota, step.demand.accelerators.into()));
            }
            if step.may_be_away > 0 {
                let quota = *step_quotas
                    .entry(step_id)
                    .or_insert_with(|| self.quotas.add(count_removable(view, job, &task)));
                victim.shares.push((quota, 1));
            }
            let allocations = self.allocations.entry(run.worker.as_str()).or_default();
            allocations.push(Allocation {
                victim: at,
                task,
                demand: step.demand,
                is_filler: step.is_filler,
            });
        }
    }
}

// Cost of stopping a run of a step, without that of making its job late.
fn stop_cost_core_ms(view: &View<'_>, step: &Step, ran_ms: u64, rank: u32) -> u64 {
    if step.is_lasting {
        return STOP_COST_CORE_MS;
    }
    let max_loss_ms = view.times.checkpoint_interval_ms + view.times.restore_ms;
    let lost_ms = if step.is_checkpointing { ran_ms.min(max_loss_ms) } else { ran_ms };
    let lost_core_ms = step.demand.work_core_ms(lost_ms).saturating_mul(1 + u64::from(rank));
    lost_core_ms.saturating_add(STOP_COST_CORE_MS)
}

// Number of tasks of a long-running step that may be stopped now: those that may be unavailable, less those
// that are. A gang is stopped as a whole or not at all.
fn count_removable(view: &View<'_>, job: &Job, task: &TaskId) -> u64 {
    let step = &job.spec.steps[task.step as usize];
    let operating = active_runs(job).filter(|(other, run)| {
        (other.occurrence, other.step) == (task.occurrence, task.step)
            && !run.is_stopping
            && view.fleet.session(&run.worker).is_some_and(|session| {
                session.progress_percent(other, run.number) == Some(OPERATING_PERCENT)
            })
    });
    let away = u64::from(step.count).saturating_sub(operating.count() as u64);
    let removable = u64::from(step.may_be_away).saturating_sub(away);
    if step.is_gang && removable < u64::from(step.count) { 0 } else { removable }
}

// Cost of restarting a run of a job in addition to the lost work: that of making the job late.
fn lateness_cost_core_ms(view: &View<'_>, job: &Job) -> u64 {
    let critical_path_ms = candidate::critical_path_ms(view, job);
    let allowed_ms = candidate::allowed_ms(view, job);
    let due_ms = job.occurrences.values().map(|occurrence| occurrence.due_ms).min();
    let deadline_ms = due_ms.unwrap_or(job.accepted_ms).saturating_add(allowed_ms);
    let would_end_ms = view.wall_ms.saturating_add(critical_path_ms);
    // A job that is late already, or would still end on time, loses little.
    let is_made_late = view.wall_ms < deadline_ms && would_end_ms > deadline_ms;
    if is_made_late { LATENESS_COST_CORE_MS } else { 0 }
}
