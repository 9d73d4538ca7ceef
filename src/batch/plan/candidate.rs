//! Steps that wait, in the order in which they are served.

use std::collections::BTreeMap;

use super::{Explanation, StepId, View};
use crate::batch::job::{Job, Occurrence, Progress, Step};

/// Multiple of its objective after which a job earns its caller nothing any more.
const LATEST: u64 = 3;
/// Time between a decision to evict and a start in the freed room, in milliseconds: a heartbeat of
/// the victim's worker, its stop, and one more heartbeat.
const EVICTION_MS: u64 = 900;
/// What an urgent job may cost others beside as much work as it does itself, in core-milliseconds: its
/// worth does not shrink to nothing with its size.
const WORTH: u64 = 800_000;
/// Part of that price, as a divisor, which it pays once it is late.
const LATE_SHARE: u64 = 2;
/// Time before the bound of a guarantee from which on it is kept at any price, in milliseconds: three
/// evictions, since a worker that is silent may keep the room of the first one.
const DUE_MS: u64 = 3 * EVICTION_MS;
/// Time before the bound of a guarantee from which on it is kept anywhere in the pool, however slowly
/// its tasks run there, in milliseconds: one eviction and the start after it.
const LAST_CALL_MS: u64 = 1_600;

/// A step with tasks that wait for a place.
#[derive(Debug)]
pub struct Candidate<'a> {
    /// Its identity.
    pub key: StepId,
    /// Job.
    pub job: &'a Job,
    /// Step.
    pub step: &'a Step,
    /// Progress of the step.
    pub progress: &'a Progress,
    /// Tasks that wait, by index.
    pub tasks: Vec<u32>,
    /// Expected run time near the data, in milliseconds.
    pub run_ms: u64,
    /// Latest wall time at which the job completes on time, in milliseconds.
    pub objective_ms: u64,
    /// Time that the rest of the job takes at best, in milliseconds.
    pub rest_ms: u64,
    /// How long the step has waited, in milliseconds.
    pub waited_ms: u64,
    /// Whether the job can no longer complete in time to be of use.
    pub is_hopeless: bool,
    /// Whether the job can no longer complete on time.
    pub is_late: bool,
    /// Whether its customer's guarantee covers it.
    pub is_guaranteed: bool,
}

impl Candidate<'_> {
    /// Number of the next run of a gang; `None` where each task counts for itself.
    pub fn next_run(&self) -> Option<u32> {
        let runs = self.progress.tasks.iter().map(|task| task.runs);
        self.step.is_gang.then(|| runs.max().unwrap_or(0) + 1)
    }

    /// What is said of it where it gets `seated` seats.
    pub(super) fn verdict(
        &self,
        view: &View<'_>,
        seated: usize,
        reason: &'static str,
    ) -> Explanation {
        let latest_ms = self.objective_ms as i64 - self.rest_ms as i64;
        Explanation {
            step: self.key,
            placed: seated,
            evicted: Vec::new(),
            run_ms: self.run_ms,
            slack_ms: latest_ms - view.wall_ms as i64,
            reason,
        }
    }

    /// What two candidates share that find room at the same time.
    pub(super) fn shape(&self) -> Shape {
        let step = self.step;
        let demand = &step.demand;
        Shape {
            pool: self.job.terms.pool.clone(),
            demand: (demand.cpu_milli, demand.memory_mb, demand.accelerators),
            count: if step.is_gang { self.tasks.len() as u64 } else { 1 },
            label: step.label.clone(),
            data_rack: step.data_rack.clone(),
            is_rack_local: step.is_rack_local,
            bound: if step.per_worker > 0 { Some(self.key) } else { None },
            may_go_far: self.may_go_far(),
        }
    }

    // Steps that are pressed for time take places away from their data.
    fn may_go_far(&self) -> u8 {
        u8::from(self.waited_ms > super::seat::PATIENCE_MS) + u8::from(self.is_late)
    }

    /// Most that others may lose for it, in core-milliseconds: without bound where a guarantee is due.
    pub fn price(&self, view: &View<'_>) -> u64 {
        if self.is_due(view) {
            return u64::MAX;
        }
        if self.job.terms.priority > 0 || self.is_hopeless {
            return 0;
        }
        let tasks = self.tasks.len() as u64;
        let worth = WORTH + tasks * self.step.demand.work_core_ms(self.run_ms);
        if self.is_late { worth / LATE_SHARE } else { worth }
    }

    /// Whether less urgent work may stop for it.
    pub fn may_evict(&self, view: &View<'_>) -> bool {
        self.price(view) > 0
    }

    /// Whether its customer's guarantee is due, whatever that costs others. One whose bound was
    /// missed stays due as long as the job is of use.
    pub fn is_due(&self, view: &View<'_>) -> bool {
        self.is_owed_within(DUE_MS, view)
    }

    /// Whether its customer's guarantee can only just be kept.
    pub fn is_last_call(&self, view: &View<'_>) -> bool {
        self.is_owed_within(LAST_CALL_MS, view)
    }

    fn is_owed_within(&self, left_ms: u64, view: &View<'_>) -> bool {
        let reclaim_ms = view.times.reclaim_ms;
        let is_owed = self.waited_ms < reclaim_ms || !self.is_hopeless;
        self.is_guaranteed && is_owed && self.waited_ms + left_ms >= reclaim_ms
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Shape {
    pool: String,
    demand: (u64, u64, u32),
    count: u64,
    label: String,
    data_rack: String,
    is_rack_local: bool,
    bound: Option<StepId>,
    may_go_far: u8,
}

/// All steps that wait for places, most urgent first.
pub fn candidates<'a>(view: &View<'a>) -> Vec<Candidate<'a>> {
    let mut found = Vec::new();
    let claimed = guaranteed_use(view);
    for job in view.table.live.values() {
        for (number, occurrence) in &job.occurrences {
            let rest_ms = rest_ms(view, job, occurrence);
            for (at, progress) in occurrence.steps.iter().enumerate() {
                if progress.is_done() || !job.is_step_ready(occurrence, at) {
                    continue;
                }
                let step = &job.spec.steps[at];
                let tasks: Vec<u32> = progress.waiting().collect();
                let is_partial = step.is_gang && tasks.len() < progress.tasks.len();
                if tasks.is_empty() || is_partial {
                    continue;
                }
                let key = (job.id, *number, at as u32);
                let mut candidate =
                    judge(view, job, occurrence, rest_ms, (key, step, progress, tasks));
                candidate.is_guaranteed = is_covered(view, job, &claimed);
                found.push(candidate);
            }
        }
    }
    found.sort_by_key(|candidate| {
        let work = candidate.run_ms * u64::from(candidate.step.demand.accelerators.max(1));
        (
            !candidate.is_due(view),
            candidate.is_hopeless,
            candidate.job.terms.priority,
            candidate.is_late,
            candidate.objective_ms.saturating_sub(candidate.rest_ms),
            work,
            candidate.key,
        )
    });
    found
}

fn judge<'a>(
    view: &View<'a>,
    job: &'a Job,
    occurrence: &Occurrence,
    rest_ms: u64,
    (key, step, progress, tasks): (StepId, &'a Step, &'a Progress, Vec<u32>),
) -> Candidate<'a> {
    let begun_ms = occurrence.due_ms;
    let span_ms = span_ms(view, job);
    let objective_ms = begun_ms + span_ms;
    let done_ms = view.wall_ms + rest_ms;
    Candidate {
        key,
        job,
        step,
        progress,
        tasks,
        run_ms: run_ms(view, job, step),
        objective_ms,
        rest_ms,
        waited_ms: view.wall_ms.saturating_sub(begun_ms),
        is_hopeless: !step.is_lasting && done_ms > begun_ms + span_ms * LATEST,
        is_late: !step.is_lasting && done_ms > objective_ms,
        is_guaranteed: false,
    }
}

/// Expected run time of a step's tasks, in milliseconds.
pub fn run_ms(view: &View<'_>, job: &Job, step: &Step) -> u64 {
    view.estimates.run_ms(&job.queue, step.estimate_ms)
}

/// Time from its due time within which a job should complete, in milliseconds.
pub(super) fn span_ms(view: &View<'_>, job: &Job) -> u64 {
    (job.terms.stretch * longest_ms(view, job) as f64) as u64 + job.terms.target_ms
}

/// Time that the longest chain of steps takes, in milliseconds.
pub(super) fn longest_ms(view: &View<'_>, job: &Job) -> u64 {
    longest(job, |at| run_ms(view, job, &job.spec.steps[at]))
}

fn rest_ms(view: &View<'_>, job: &Job, occurrence: &Occurrence) -> u64 {
    longest(job, |at| {
        if occurrence.steps[at].is_done() {
            return 0;
        }
        run_ms(view, job, &job.spec.steps[at])
    })
}

fn longest(job: &Job, length_of: impl Fn(usize) -> u64) -> u64 {
    let mut ends: Vec<u64> = Vec::with_capacity(job.spec.steps.len());
    for (at, step) in job.spec.steps.iter().enumerate() {
        let begin = step.after.iter().map(|earlier| ends[*earlier as usize]).max().unwrap_or(0);
        ends.push(begin + length_of(at));
    }
    ends.into_iter().max().unwrap_or(0)
}

// Accelerators that each customer's jobs of priority 0 need in all.
fn guaranteed_use<'a>(view: &View<'a>) -> BTreeMap<&'a str, u64> {
    let mut claimed = BTreeMap::new();
    for job in view.table.live.values() {
        if job.terms.priority > 0 {
            continue;
        }
        let needs = |step: &Step| u64::from(step.count) * u64::from(step.demand.accelerators);
        let all: u64 = job.spec.steps.iter().map(needs).sum();
        *claimed.entry(job.customer.as_str()).or_default() += all;
    }
    claimed
}

fn is_covered(view: &View<'_>, job: &Job, claimed: &BTreeMap<&str, u64>) -> bool {
    if job.terms.priority > 0 {
        return false;
    }
    let Some(customer) = view.table.document.customer(&job.customer) else { return false };
    claimed.get(job.customer.as_str()).is_some_and(|all| *all <= customer.guaranteed.into())
}
