//! Runs that may be evicted, with what their eviction costs and frees.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::super::{Candidate, StepId, View, candidate, foresight};
use crate::batch::job::{Job, Resources, Run, Step, TaskId, active_runs};

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

/// What the runs of one step have in common.
#[derive(Debug)]
struct Group<'a> {
    job: &'a Job,
    id: StepId,
    step: &'a Step,
    // What each of them takes from each quota that limits its eviction: pairs of quota and amount.
    shares: Vec<(usize, u64)>,
}

/// A run that may be evicted; a gang is evicted as a whole. There is one for each run of the pool, so that
/// what runs of a step share is kept with their group.
#[derive(Clone, Copy, Debug)]
struct Victim {
    // Work that is lost, with the costs of stopping and lateness.
    cost_core_ms: u64,
    group: u32,
    // Index of the task; the first one of a gang.
    index: u32,
    run: u32,
    // Number of runs that are evicted together.
    members: u32,
    // Whether it makes room only for a guarantee that is due.
    is_last_resort: bool,
}

/// A run of a victim on a worker.
#[derive(Clone, Copy, Debug)]
pub(super) struct Allocation {
    pub(super) victim: usize,
    // Index of the task.
    index: u32,
}

/// Amounts that may still be evicted: of each customer the accelerators that its jobs of priority 0 use
/// beyond its guarantee, and of each long-running step the tasks that may be unavailable.
#[derive(Debug, Default)]
pub(super) struct Quotas(Vec<u64>);

impl Quotas {
    fn add(&mut self, amount: u64) -> usize {
        self.0.push(amount);
        self.0.len() - 1
    }
}

/// What a selection of victims has taken from the quotas.
#[derive(Clone, Debug, Default)]
pub(super) struct Taken(BTreeMap<usize, u64>);

impl Taken {
    /// Takes the shares of a victim, if none of its quotas is used up. The last victim of a customer may
    /// use more than is left, since a gang can't be evicted in part.
    pub(super) fn take(&mut self, index: &Index<'_>, victim: usize) -> bool {
        let victim = &index.victims[victim];
        let shares = &index.groups[victim.group as usize].shares;
        let left = |taken: &Self, quota: usize| {
            let taken = taken.0.get(&quota).copied().unwrap_or(0);
            index.quotas.0[quota].saturating_sub(taken)
        };
        if shares.iter().any(|(quota, _)| left(self, *quota) == 0) {
            return false;
        }
        for (quota, amount) in shares {
            let taken = self.0.entry(*quota).or_default();
            *taken = taken.saturating_add(amount.saturating_mul(victim.members.into()));
        }
        true
    }
}

/// Evictable runs of all jobs, and by worker what their stop frees, cheapest first.
#[derive(Debug, Default)]
pub(super) struct Index<'a> {
    groups: Vec<Group<'a>>,
    victims: Vec<Victim>,
    allocations: HashMap<&'a str, Vec<Allocation>>,
    quotas: Quotas,
}

impl<'a> Index<'a> {
    pub(super) fn new(view: &View<'a>) -> Self {
        let mut index = Self::default();
        let queued = view.table.document.queues.iter().map(|queue| queue.terms.priority);
        let live = view.table.live.values().map(|job| job.terms.priority);
        let lowest_priority = queued.chain(live).max().unwrap_or(0);
        let customer_quotas = index.add_customer_quotas(view);
        let operating = operating_tasks(view);
        for job in view.table.live.values() {
            let rank = lowest_priority - job.terms.priority;
            let customer_quota = customer_quotas.get(job.customer.as_str()).copied();
            let customer_quota = customer_quota.filter(|_| job.terms.priority == 0);
            index.add_job(view, job, rank, customer_quota, &operating);
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

    fn add_job(
        &mut self,
        view: &View<'a>,
        job: &'a Job,
        rank: u32,
        customer_quota: Option<usize>,
        operating: &BTreeMap<StepId, BTreeSet<u32>>,
    ) {
        let mut groups: BTreeMap<StepId, u32> = BTreeMap::new();
        let mut gangs: BTreeMap<u32, usize> = BTreeMap::new();
        let lateness_cost_core_ms = lateness_cost_core_ms(view, job);
        for (task, run) in active_runs(job) {
            let step = &job.spec.steps[task.step as usize];
            if run.is_stopping {
                continue;
            }
            let id = (job.id, task.occurrence, task.step);
            let group = *groups
                .entry(id)
                .or_insert_with(|| self.add_group(job, id, customer_quota, operating));
            let next = self.victims.len();
            let at = if step.is_gang { *gangs.entry(group).or_insert(next) } else { next };
            if at == next {
                let is_irreplaceable = step.is_lasting || job.terms.priority == 0;
                let least_cost_core_ms = if is_irreplaceable {
                    LAST_RESORT_COST_CORE_MS
                } else if foresight::is_exempt(run) {
                    EXEMPT_COST_CORE_MS
                } else {
                    0
                };
                self.victims.push(Victim {
                    cost_core_ms: lateness_cost_core_ms + least_cost_core_ms,
                    group,
                    index: task.index,
                    run: run.number,
                    members: 0,
                    is_last_resort: least_cost_core_ms > 0,
                });
            }
            let ran_ms = view.wall_ms.saturating_sub(run.placed_ms);
            let victim = &mut self.victims[at];
            victim.members += 1;
            let cost_core_ms = stop_cost_core_ms(view, step, ran_ms, rank);
            victim.cost_core_ms = victim.cost_core_ms.saturating_add(cost_core_ms);
            let allocations = self.allocations.entry(run.worker.as_str()).or_default();
            allocations.push(Allocation { victim: at, index: task.index });
        }
    }

    fn add_group(
        &mut self,
        job: &'a Job,
        id: StepId,
        customer_quota: Option<usize>,
        operating: &BTreeMap<StepId, BTreeSet<u32>>,
    ) -> u32 {
        let step = &job.spec.steps[id.2 as usize];
        let mut shares = Vec::new();
        if let Some(quota) = customer_quota {
            shares.push((quota, step.demand.accelerators.into()));
        }
        if step.may_be_away > 0 {
            let operating = operating.get(&id).map_or(0, |tasks| tasks.len() as u64);
            shares.push((self.quotas.add(count_removable(step, operating)), 1));
        }
        self.groups.push(Group { job, id, step, shares });
        (self.groups.len() - 1) as u32
    }

    fn group_of(&self, victim: usize) -> &Group<'a> {
        &self.groups[self.victims[victim].group as usize]
    }

    /// Runs on a worker that may be evicted, cheapest first.
    pub(super) fn allocations_on(&self, worker: &str) -> &[Allocation] {
        self.allocations.get(worker).map_or(&[][..], Vec::as_slice)
    }

    /// Runs of these victims by worker.
    pub(super) fn allocations_of(
        &self,
        victims: &BTreeSet<usize>,
    ) -> impl Iterator<Item = (&'a str, &Allocation)> {
        self.allocations.iter().flat_map(|(worker, allocations)| {
            let evicted = allocations.iter().filter(|one| victims.contains(&one.victim));
            evicted.map(|allocation| (*worker, allocation))
        })
    }

    /// What the eviction of a victim costs, in core-milliseconds.
    pub(super) fn cost_core_ms(&self, victim: usize) -> u64 {
        self.victims[victim].cost_core_ms
    }

    /// Whether no quota limits the eviction of a victim.
    pub(super) fn is_unlimited(&self, victim: usize) -> bool {
        self.group_of(victim).shares.is_empty()
    }

    /// Whether a victim may be stopped for a candidate, as far as no quota limits it.
    pub(super) fn yields(&self, victim: usize, candidate: &Candidate<'_>, view: &View<'_>) -> bool {
        let is_less_urgent =
            self.group_of(victim).job.terms.priority > candidate.job.terms.priority;
        let is_last_resort = self.victims[victim].is_last_resort;
        (is_less_urgent && !is_last_resort) || candidate.is_guarantee_due(view)
    }

    /// Task of a run.
    pub(super) fn task(&self, allocation: &Allocation) -> TaskId {
        let (job, occurrence, step) = self.group_of(allocation.victim).id;
        TaskId { job, occurrence, step, index: allocation.index }
    }

    /// Resources that a run uses.
    pub(super) fn demand(&self, allocation: &Allocation) -> &'a Resources {
        &self.group_of(allocation.victim).step.demand
    }

    /// Whether a run uses only processor time that others leave.
    pub(super) fn is_filler(&self, allocation: &Allocation) -> bool {
        self.group_of(allocation.victim).step.is_filler
    }

    /// The runs that are evicted with a victim.
    pub(super) fn runs_of(&self, victim: usize) -> Vec<(TaskId, u32)> {
        let group = self.group_of(victim);
        let (job, occurrence, step) = group.id;
        let Victim { index, run, .. } = self.victims[victim];
        if !group.step.is_gang {
            return vec![(TaskId { job, occurrence, step, index }, run)];
        }
        let of_gang = active_runs(group.job).filter(|(task, run)| {
            (task.occurrence, task.step) == (occurrence, step) && !run.is_stopping
        });
        of_gang.map(|(task, run)| (task, run.number)).collect()
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

// Operating tasks of each long-running step whose unavailability is limited.
fn operating_tasks(view: &View<'_>) -> BTreeMap<StepId, BTreeSet<u32>> {
    let mut operating: BTreeMap<_, BTreeSet<u32>> = BTreeMap::new();
    for worker in view.table.occupied_workers() {
        let Some(session) = view.fleet.session(worker) else { continue };
        for row in &session.heartbeat.running {
            if row.percent != OPERATING_PERCENT {
                continue;
            }
            let task = &row.task;
            let Some(job) = view.table.live.get(&task.job) else { continue };
            let is_limited =
                job.spec.steps.get(task.step as usize).is_some_and(|step| step.may_be_away > 0);
            let is_active = |active: &Run| {
                active.number == row.run && active.worker == *worker && !active.is_stopping
            };
            if is_limited && job.active_run(task).is_some_and(is_active) {
                let step = (task.job, task.occurrence, task.step);
                operating.entry(step).or_default().insert(task.index);
            }
        }
    }
    operating
}

// Number of tasks of a long-running step that may be stopped now: those that may be unavailable, less those
// that are. A gang is stopped as a whole or not at all.
fn count_removable(step: &Step, operating: u64) -> u64 {
    let away = u64::from(step.count).saturating_sub(operating);
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
