//! Attribution of failed runs: to the worker, or to what ran there.
//!
//! Work that fails on every worker that tries it is no evidence against any of them. Work that fails on
//! one worker and runs on others is.

use std::collections::{BTreeMap, BTreeSet};

use super::health::Health;
use crate::batch::bounded::Bounded;
use crate::batch::job::{Id, Job, State, Step, TaskId};
use crate::batch::table::Table;

/// Time for which the outcomes of a worker's runs are evidence for or against what ran there, in
/// milliseconds.
const EVIDENCE_MS: u64 = 120_000;
/// Most steps, and most kinds of work, whose outcomes are kept.
const MAX_SOURCES: usize = 512;
/// Most workers for which the outcomes of a source are kept.
const MAX_WORKERS: usize = 32;
/// Number of outcomes of a source on a worker from which on earlier ones count half.
const MAX_OUTCOMES: u32 = 16;
/// Most tasks that are searched for runs that outlived failed ones.
const MAX_TASKS_SEARCHED: usize = 1_000;
/// Failures for which a worker is to blame, from which on it is excluded. A single one may be the fault
/// of the task, and the source of two may have failed elsewhere now and then.
const MIN_BLAME: f64 = 1.5;
/// Most failures of one kind of work for which a worker is to blame: with half of the evidence against it,
/// it is excluded.
const MAX_BLAME_FOR_KIND: f64 = 2.0 * MIN_BLAME;
/// Number of other workers that have to fail at a source before it is sure to be at fault: two workers may
/// be sick at the same time.
const MIN_OTHER_WORKERS: f64 = 2.0;

/// What a failed run belongs to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Source {
    /// Job and step.
    step: (Id, u32),
    kind: Kind,
}

/// Work that is likely to share its faults, whichever jobs it comes in.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Kind {
    customer: String,
    queue: String,
    image: String,
}

impl Source {
    /// Source of a task's runs; `None` if its job has ended.
    pub(super) fn of(task: &TaskId, table: &Table) -> Option<Self> {
        let job = table.live.get(&task.job)?;
        let step = job.spec.steps.get(task.step as usize)?;
        Some(Self { step: (task.job, task.step), kind: Kind::of(job, step) })
    }
}

impl Kind {
    fn of(job: &Job, step: &Step) -> Self {
        Self { customer: job.customer.clone(), queue: job.queue.clone(), image: step.image.clone() }
    }
}

/// Outcomes of runs of one source.
#[derive(Debug, Default)]
struct Outcomes {
    by_worker: BTreeMap<String, Tally>,
    // When the latest of the runs that failed was placed, on the leader's wall clock, in milliseconds.
    failed_placed_ms: u64,
}

/// Outcomes of runs of one source on one worker.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    failures: u32,
    successes: u32,
    updated_ms: u64,
}

impl Tally {
    fn is_recent(self, now_ms: u64) -> bool {
        now_ms < self.updated_ms + EVIDENCE_MS
    }

    fn failed_share(self) -> f64 {
        f64::from(self.failures) / f64::from((self.failures + self.successes).max(1))
    }
}

impl Outcomes {
    fn record(&mut self, worker: &str, is_failure: bool, now_ms: u64) {
        self.by_worker.retain(|_, tally| tally.is_recent(now_ms));
        if !self.by_worker.contains_key(worker) && self.by_worker.len() >= MAX_WORKERS {
            return;
        }
        let tally = self.by_worker.entry(worker.to_string()).or_default();
        tally.failures += u32::from(is_failure);
        tally.successes += u32::from(!is_failure);
        if tally.failures + tally.successes > MAX_OUTCOMES {
            tally.failures /= 2;
            tally.successes /= 2;
        }
        tally.updated_ms = now_ms;
    }

    fn failing_workers(&self, now_ms: u64) -> Vec<&str> {
        let is_failing = |tally: &Tally| tally.successes == 0 && tally.is_recent(now_ms);
        let failing = self.by_worker.iter().filter(|(_, tally)| is_failing(tally));
        failing.map(|(worker, _)| worker.as_str()).collect()
    }

    fn has_failures(&self) -> bool {
        self.by_worker.values().any(|tally| tally.failures > 0)
    }

    // What became of runs on the workers other than one. On those that are known to be sound, a run of the
    // source is in progress.
    fn beside(&self, worker: &str, sound: &BTreeSet<&str>, now_ms: u64) -> Evidence {
        let mut evidence = Evidence::default();
        for (name, tally) in &self.by_worker {
            if name == worker || !tally.is_recent(now_ms) {
                continue;
            }
            let mut tally = *tally;
            tally.successes += u32::from(sound.contains(name.as_str()));
            evidence.workers += 1.0;
            evidence.failed += tally.failed_share();
        }
        let others = sound.iter().filter(|name| **name != worker);
        let others = others.filter(|name| !self.by_worker.contains_key(**name));
        evidence.workers += others.count() as f64;
        evidence
    }
}

/// What became of the runs of a source on some workers.
#[derive(Clone, Copy, Debug, Default)]
struct Evidence {
    workers: f64,
    // Sum of the shares of failed runs on each worker, which thus weighs the same however many it got.
    failed: f64,
}

impl Evidence {
    fn is_sufficient(self) -> bool {
        self.workers >= MIN_OTHER_WORKERS
    }

    // Mean share of failed runs. Workers that have not tried count as sound, as far as there are too few.
    fn failed_share(self) -> f64 {
        self.failed / self.workers.max(MIN_OTHER_WORKERS)
    }
}

/// Outcomes of recent runs, by source.
#[derive(Debug, Default)]
pub(super) struct History {
    by_step: Bounded<(Id, u32), Outcomes, MAX_SOURCES>,
    by_kind: Bounded<Kind, Outcomes, MAX_SOURCES>,
}

impl History {
    /// Records that a run failed on a worker, or made no progress there.
    pub(super) fn record_failure(
        &mut self,
        source: &Source,
        worker: &str,
        placed_ms: u64,
        now_ms: u64,
    ) {
        let of_step = self.by_step.update(&source.step);
        of_step.failed_placed_ms = of_step.failed_placed_ms.max(placed_ms);
        of_step.record(worker, true, now_ms);
        self.by_kind.update(&source.kind).record(worker, true, now_ms);
    }

    /// Records that a run did its work on a worker.
    pub(super) fn record_success(&mut self, source: &Source, worker: &str, now_ms: u64) {
        // The successes of a step matter only once it has failed somewhere.
        if self.by_step.get(&source.step).is_some() {
            self.by_step.update(&source.step).record(worker, false, now_ms);
        }
        self.by_kind.update(&source.kind).record(worker, false, now_ms);
    }

    /// Whether a worker is to blame for so many of the failures since its last success that it gets no
    /// new work.
    pub(super) fn blames(&self, health: &Health, worker: &str, table: &Table, now_ms: u64) -> bool {
        self.blame(health, worker, table, now_ms) >= MIN_BLAME
    }

    /// Number of failures for which a worker is to blame: each counts as far as its source does not fail
    /// on other workers. Work of one kind counts only up to a limit, since it is likely to share a fault.
    pub(super) fn blame(&self, health: &Health, worker: &str, table: &Table, now_ms: u64) -> f64 {
        let mut by_kind: BTreeMap<&Kind, f64> = BTreeMap::new();
        for (source, failures) in health.failures(now_ms) {
            let share = self.failed_share_elsewhere(source, worker, table, now_ms);
            let blame = by_kind.entry(&source.kind).or_default();
            *blame = (*blame + f64::from(failures) * (1.0 - share)).min(MAX_BLAME_FOR_KIND);
        }
        by_kind.values().sum()
    }

    /// Workers on which runs of a step have failed and none has done its work.
    pub(super) fn workers_failing_step(&self, step: (Id, u32), now_ms: u64) -> Vec<&str> {
        self.by_step.get(&step).map(|known| known.failing_workers(now_ms)).unwrap_or_default()
    }

    /// As [`History::workers_failing_step`], for all work of the kind of a step.
    pub(super) fn workers_failing_kind(&self, job: &Job, step: &Step, now_ms: u64) -> Vec<&str> {
        let kind = Kind::of(job, step);
        self.by_kind.get(&kind).map(|known| known.failing_workers(now_ms)).unwrap_or_default()
    }

    // Share of the source's runs that fail on workers other than this one. Where the step itself has not
    // been tried on enough of them, the rest of its kind counts.
    fn failed_share_elsewhere(
        &self,
        source: &Source,
        worker: &str,
        table: &Table,
        now_ms: u64,
    ) -> f64 {
        let mut of_step = Evidence::default();
        if let Some(outcomes) = self.by_step.get(&source.step).filter(|known| known.has_failures())
        {
            let sound = outliving_workers(source.step, outcomes.failed_placed_ms, table);
            of_step = outcomes.beside(worker, &sound, now_ms);
        }
        if of_step.is_sufficient() {
            return of_step.failed_share();
        }
        let of_kind = self.by_kind.get(&source.kind);
        let of_kind = of_kind.map(|known| known.beside(worker, &BTreeSet::new(), now_ms));
        of_step.failed_share().max(of_kind.unwrap_or_default().failed_share())
    }
}

// Workers on which a run of the step is in progress that was placed no later than one that has failed.
fn outliving_workers((job, at): (Id, u32), failed_placed_ms: u64, table: &Table) -> BTreeSet<&str> {
    let Some(job) = table.live.get(&job) else { return BTreeSet::new() };
    let steps = job.occurrences.values().filter_map(|known| known.steps.get(at as usize));
    let tasks = steps.flat_map(|step| step.tasks.begun()).take(MAX_TASKS_SEARCHED);
    let runs = tasks.filter_map(|task| match &task.state {
        State::Active(run) => Some(run),
        _ => None,
    });
    let outliving = runs.filter(|run| !run.is_stopping && run.placed_ms <= failed_placed_ms);
    outliving.map(|run| run.worker.as_str()).collect()
}
