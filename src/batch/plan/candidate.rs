//! Steps with waiting tasks, in the order in which they are considered for placement.

use std::collections::{BTreeMap, BTreeSet};

use super::{Explanation, StepId, View};
use crate::batch::estimate::Kind;
use crate::batch::fleet::Fleet;
use crate::batch::job::{Job, Occurrence, Progress, Step, Task, TaskId, Waiting};

/// Multiple of the time allowed for a job after which its result is of no more use to the caller.
const EXPIRY_FACTOR: u64 = 3;
/// Time between a decision to evict and the start in the freed capacity, in milliseconds: a
/// heartbeat of the victim's worker, the stop of the victim, and one more heartbeat.
pub(super) const EVICTION_MS: u64 = 900;
/// Constant part of an urgent job's eviction budget, in core-milliseconds; its own work is added.
/// Without it the budget of a small job would shrink to almost nothing.
const BASE_EVICTION_BUDGET_CORE_MS: u64 = 800_000;
/// Divisor of the eviction budget for a job that is late.
const LATE_BUDGET_DIVISOR: u64 = 2;
/// Time before a guarantee's bound from which it is kept at any cost to other jobs, in
/// milliseconds. It allows for three evictions, since the worker chosen first may not respond
/// and keep its capacity.
const GUARANTEE_DUE_MS: u64 = 3 * EVICTION_MS;
/// Time before a guarantee's bound from which the step is placed anywhere in the pool, however slow
/// its tasks are there, in milliseconds: one eviction and the start after it.
const GUARANTEE_CRITICAL_MS: u64 = 1_600;

/// Time after a failure during which a task avoids the worker, in milliseconds: long enough to find
/// another worker in a busy pool.
const FAILED_WORKER_AVOIDANCE_MS: u64 = 3_000;

/// A step with waiting tasks.
#[derive(Debug)]
pub struct Candidate<'a> {
    /// Identity of the step.
    pub id: StepId,
    /// Job that the step belongs to.
    pub job: &'a Job,
    /// Step as submitted.
    pub step: &'a Step,
    /// Progress of the step.
    pub progress: &'a Progress,
    /// The waiting tasks.
    pub tasks: Waiting,
    /// Workers on which a waiting task failed a short time ago. They are avoided only for a while,
    /// since they may be the only ones left later.
    pub avoided_workers: Vec<&'a str>,
    /// Workers on which tasks of the step, or of its kind, have failed and none has done its work. They
    /// come last.
    pub failing_workers: Vec<&'a str>,
    /// Expected run time near the data, in milliseconds.
    pub run_ms: u64,
    /// Wall time by which the job must complete to be on time, in milliseconds.
    pub deadline_ms: u64,
    /// Expected minimum time until the job completes, in milliseconds.
    pub remaining_ms: u64,
    /// Time since the occurrence was due, in milliseconds.
    pub waited_ms: u64,
    /// Whether the job will complete too late for its result to be of use.
    pub is_expired: bool,
    /// Whether the job can no longer complete on time.
    pub is_late: bool,
    /// Whether the customer's guarantee covers the job.
    pub is_guaranteed: bool,
    /// Whether a long-running task that has run before waits. Its users miss it until it runs again.
    pub is_restart: bool,
    /// Whether the pool is too small for all and the customer has its fair share without this step.
    pub exceeds_share: bool,
}

impl<'a> Candidate<'a> {
    /// Number of the next run of a gang; `None` for other steps, whose tasks are numbered one by
    /// one.
    pub fn next_gang_run(&self) -> Option<u32> {
        let runs = self.progress.tasks.begun().iter().map(|task| task.runs);
        self.step.is_gang.then(|| runs.max().unwrap_or(0) + 1)
    }

    /// Explains the placement of `placed` tasks of the step.
    pub(super) fn explain(
        &self,
        view: &View<'_>,
        placed: usize,
        reason: &'static str,
    ) -> Explanation {
        let latest_start_ms = self.deadline_ms.saturating_sub(self.remaining_ms);
        Explanation {
            step: self.id,
            placed,
            evicted: Vec::new(),
            run_ms: self.run_ms,
            slack_ms: latest_start_ms.cast_signed().saturating_sub(view.wall_ms.cast_signed()),
            reason,
        }
    }

    /// Class of candidates that either all fit or all don't fit into the same free capacity.
    pub(super) fn equivalence_class(&self) -> Class<'a> {
        let step = self.step;
        let demand = &step.demand;
        Class {
            pool: &self.job.terms.pool,
            demand: (demand.cpu_milli, demand.memory_mb, demand.accelerators),
            count: if step.is_gang { self.tasks.len() as u64 } else { 1 },
            label: &step.label,
            data_rack: &step.data_rack,
            is_rack_local: step.is_rack_local,
            limited_step: if step.per_worker > 0 { Some(self.id) } else { None },
            locality_relaxation: self.locality_relaxation(),
        }
    }

    // How readily the step runs away from its data: more so once it has waited or is late.
    fn locality_relaxation(&self) -> u8 {
        u8::from(self.waited_ms > super::allocation::LOCALITY_WAIT_MS) + u8::from(self.is_late)
    }

    /// Maximum cost of the evictions for this step, in core-milliseconds; unlimited if a guarantee
    /// is due.
    pub fn eviction_budget_core_ms(&self, view: &View<'_>) -> u64 {
        if self.is_guarantee_due(view) {
            return u64::MAX;
        }
        if self.job.terms.priority > 0 || self.is_expired {
            return 0;
        }
        let tasks = self.tasks.len() as u64;
        let budget_core_ms = tasks.saturating_mul(self.step.demand.work_core_ms(self.run_ms));
        let budget_core_ms = budget_core_ms.saturating_add(BASE_EVICTION_BUDGET_CORE_MS);
        if self.is_late { budget_core_ms / LATE_BUDGET_DIVISOR } else { budget_core_ms }
    }

    /// Whether runs may be evicted for this step.
    pub fn may_evict(&self, view: &View<'_>) -> bool {
        self.eviction_budget_core_ms(view) > 0
    }

    /// Whether the customer's guarantee must be met now at any cost to other jobs. A guarantee
    /// whose bound was missed stays due until the job expires.
    pub fn is_guarantee_due(&self, view: &View<'_>) -> bool {
        self.is_guarantee_due_within(GUARANTEE_DUE_MS, view)
    }

    /// Whether the customer's guarantee can be met only if the step is placed at once.
    pub fn is_guarantee_critical(&self, view: &View<'_>) -> bool {
        self.is_guarantee_due_within(GUARANTEE_CRITICAL_MS, view)
    }

    fn is_guarantee_due_within(&self, left_ms: u64, view: &View<'_>) -> bool {
        let reclaim_ms = view.times.reclaim_ms;
        let must_be_met = self.waited_ms < reclaim_ms || !self.is_expired;
        self.is_guaranteed && must_be_met && self.waited_ms + left_ms >= reclaim_ms
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Class<'a> {
    pool: &'a str,
    demand: (u64, u64, u32),
    count: u64,
    label: &'a str,
    data_rack: &'a str,
    is_rack_local: bool,
    // The step itself if it limits its tasks per worker, since what fits then depends on its tasks.
    limited_step: Option<StepId>,
    locality_relaxation: u8,
}

/// Returns all steps with waiting tasks, most urgent first.
pub fn candidates<'a>(view: &View<'a>) -> Vec<Candidate<'a>> {
    let mut candidates = Vec::new();
    let claimed = guaranteed_demand(view);
    let mut failing: BTreeMap<_, Vec<&str>> = BTreeMap::new();
    for job in view.table.live.values() {
        for (number, occurrence) in &job.occurrences {
            let remaining_ms = remaining_ms(view, job, occurrence);
            for (at, progress) in occurrence.steps.iter().enumerate() {
                if progress.is_done() || !job.is_step_ready(occurrence, at) {
                    continue;
                }
                let step = &job.spec.steps[at];
                let id = (job.id, *number, at as u32);
                let tasks = startable_tasks(view.fleet, job, id, progress, view.now_ms);
                let is_partial = step.is_gang && tasks.len() < progress.tasks.len();
                if tasks.is_empty() || is_partial {
                    continue;
                }
                let mut candidate =
                    new_candidate(view, job, occurrence, remaining_ms, (id, step, progress, tasks));
                candidate.is_guaranteed = is_covered_by_guarantee(view, job, &claimed);
                let kind = (job.customer.as_str(), job.queue.as_str(), step.image.as_str());
                let of_kind = failing
                    .entry(kind)
                    .or_insert_with(|| view.fleet.workers_failing_kind(job, step, view.now_ms));
                candidate.failing_workers.extend(of_kind.iter().copied());
                candidates.push(candidate);
            }
        }
    }
    sort(&mut candidates, view);
    candidates
}

/// Sorts candidates, most urgent first.
pub(super) fn sort(candidates: &mut [Candidate<'_>], view: &View<'_>) {
    candidates.sort_by_key(|candidate| {
        let accelerators = u64::from(candidate.step.demand.accelerators.max(1));
        let work = candidate.run_ms.saturating_mul(accelerators);
        (
            !candidate.is_guarantee_due(view),
            !candidate.is_restart,
            candidate.is_expired,
            candidate.job.terms.priority,
            candidate.is_late,
            candidate.exceeds_share,
            candidate.deadline_ms.saturating_sub(candidate.remaining_ms),
            work,
            candidate.id,
        )
    });
}

/// The waiting tasks of a step that may start. A task or gang that may have failed as often as
/// its queue allows waits until that is certain, and a long-running one that fails soon after each start
/// for a while.
pub fn startable_tasks(
    fleet: &Fleet,
    job: &Job,
    (id, occurrence, at): StepId,
    progress: &Progress,
    now_ms: u64,
) -> Waiting {
    let mut tasks = progress.tasks.waiting();
    let step = &job.spec.steps[at as usize];
    let first = TaskId { job: id, occurrence, step: at, index: 0 };
    if step.is_lasting {
        let waiting = tasks.len();
        tasks.retain_begun(|index| {
            let task = TaskId { index: *index, ..first };
            !fleet.is_held_back(&task, now_ms)
        });
        let may_start = !step.is_gang || tasks.len() == waiting;
        return if may_start { tasks } else { Waiting::default() };
    }
    let mut unrecorded = fleet.unrecorded_failures(&first);
    if step.is_gang {
        unrecorded.extend(fleet.inherited_lapses(progress, now_ms));
    }
    if unrecorded.is_empty() {
        return tasks;
    }
    let attempts = job.terms.attempts as usize;
    if step.is_gang {
        let runs: BTreeSet<u32> = unrecorded.into_iter().map(|(_, run)| run).collect();
        let may_start = progress.failures as usize + runs.len() < attempts;
        return if may_start { tasks } else { Waiting::default() };
    }
    // Only a task that has run can have failed.
    tasks.retain_begun(|index| {
        let failures = progress.tasks[*index as usize].failures as usize;
        let own: BTreeSet<u32> =
            unrecorded.iter().filter(|(task, _)| task == index).map(|(_, run)| *run).collect();
        failures + own.len() < attempts
    });
    tasks
}

fn new_candidate<'a>(
    view: &View<'a>,
    job: &'a Job,
    occurrence: &Occurrence,
    remaining_ms: u64,
    (id, step, progress, tasks): (StepId, &'a Step, &'a Progress, Waiting),
) -> Candidate<'a> {
    let due_ms = occurrence.due_ms;
    let allowed_ms = allowed_ms(view, job);
    let deadline_ms = due_ms.saturating_add(allowed_ms);
    let useful_until_ms = due_ms.saturating_add(allowed_ms.saturating_mul(EXPIRY_FACTOR));
    let done_ms = view.wall_ms.saturating_add(remaining_ms);
    let avoided_workers = recently_failed_on(progress.tasks.begun(), tasks.begun(), view.wall_ms);
    let has_run = |index: &u32| progress.tasks[*index as usize].runs > 0;
    let is_restart = step.is_lasting && tasks.begun().iter().any(has_run);
    Candidate {
        id,
        job,
        step,
        progress,
        tasks,
        avoided_workers,
        failing_workers: view.fleet.workers_failing_step(id.0, id.2, view.now_ms),
        run_ms: run_ms(view, job, step),
        deadline_ms,
        remaining_ms,
        waited_ms: view.wall_ms.saturating_sub(due_ms),
        is_expired: !step.is_lasting && done_ms > useful_until_ms,
        is_late: !step.is_lasting && done_ms > deadline_ms,
        is_guaranteed: false,
        is_restart,
        exceeds_share: false,
    }
}

fn recently_failed_on<'a>(tasks: &'a [Task], waiting: &[u32], wall_ms: u64) -> Vec<&'a str> {
    let mut workers = Vec::new();
    for index in waiting {
        let task = &tasks[*index as usize];
        let is_recent = wall_ms < task.failed_ms.saturating_add(FAILED_WORKER_AVOIDANCE_MS);
        if is_recent && !workers.contains(&task.failed_on.as_str()) {
            workers.push(task.failed_on.as_str());
        }
    }
    workers
}

/// Expected run time of a step's tasks, in milliseconds.
pub fn run_ms(view: &View<'_>, job: &Job, step: &Step) -> u64 {
    if view.times.are_speeds_used {
        return view.estimates.task_ms(&Kind::of(job, step));
    }
    view.estimates.run_ms(&job.queue, step.estimate_ms)
}

/// Time after the due time within which a job should complete, in milliseconds.
pub(super) fn allowed_ms(view: &View<'_>, job: &Job) -> u64 {
    let stretched_ms = (job.terms.stretch * critical_path_ms(view, job) as f64) as u64;
    stretched_ms.saturating_add(job.terms.target_ms)
}

/// Expected length of the job's critical path, in milliseconds.
pub(super) fn critical_path_ms(view: &View<'_>, job: &Job) -> u64 {
    longest_path_ms(&job.spec.steps, |at| run_ms(view, job, &job.spec.steps[at]))
}

// Expected length of the critical path through the steps that are not done.
fn remaining_ms(view: &View<'_>, job: &Job, occurrence: &Occurrence) -> u64 {
    longest_path_ms(&job.spec.steps, |at| {
        if occurrence.steps[at].is_done() {
            return 0;
        }
        run_ms(view, job, &job.spec.steps[at])
    })
}

/// Length of the longest chain of steps that wait for one another, in milliseconds.
pub fn longest_path_ms(steps: &[Step], step_ms: impl Fn(usize) -> u64) -> u64 {
    let mut ends_ms: Vec<u64> = Vec::with_capacity(steps.len());
    for (at, step) in steps.iter().enumerate() {
        let begin_ms =
            step.after.iter().map(|earlier| ends_ms[*earlier as usize]).max().unwrap_or(0);
        ends_ms.push(begin_ms.saturating_add(step_ms(at)));
    }
    ends_ms.into_iter().max().unwrap_or(0)
}

// Total number of accelerators that each customer's jobs of priority 0 need.
fn guaranteed_demand<'a>(view: &View<'a>) -> BTreeMap<&'a str, u64> {
    let mut claimed = BTreeMap::new();
    for job in view.table.live.values() {
        if job.terms.priority > 0 {
            continue;
        }
        *claimed.entry(job.customer.as_str()).or_default() += job.spec.accelerators();
    }
    claimed
}

fn is_covered_by_guarantee(view: &View<'_>, job: &Job, claimed: &BTreeMap<&str, u64>) -> bool {
    if job.terms.priority > 0 {
        return false;
    }
    let Some(customer) = view.table.document.customer(&job.customer) else { return false };
    claimed.get(job.customer.as_str()).is_some_and(|total| *total <= customer.guaranteed.into())
}
