//! Jobs: steps of tasks, run once or on a schedule.

mod tasks;

use std::collections::BTreeMap;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::document::Terms;
pub use tasks::{Tasks, Waiting};

/// Result of an operation on a job.
pub type Result<T> = super::Result<T>;

/// Maximum number of tasks of a job.
pub const MAX_TASKS: u32 = 10_000;
/// Maximum number of steps of a job.
pub const MAX_STEPS: usize = 64;
/// Maximum size of a payload, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 64 << 10;
/// Maximum length of the label, rack and image that a step names, in bytes.
pub const MAX_NAME_BYTES: usize = 1 << 10;

/// Identity of a job, chosen by its caller: 16 hexadecimal digits.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[display("{_0:016x}")]
pub struct Id(pub u64);

impl Id {
    /// Parses the displayed form.
    pub fn parse(text: &str) -> Option<Self> {
        let is_valid =
            text.len() == 16 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        if !is_valid {
            return None;
        }
        u64::from_str_radix(text, 16).ok().map(Self)
    }
}

/// Identity of a task: its position in the job.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{job}.{occurrence}.{step}.{index}")]
pub struct TaskId {
    /// Job that the task belongs to.
    pub job: Id,
    /// Occurrence, from 0.
    pub occurrence: u32,
    /// Step, from 0.
    pub step: u32,
    /// Task within the step, from 0.
    pub index: u32,
}

impl TaskId {
    /// Parses the displayed form.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split('.');
        let job = Id::parse(parts.next()?)?;
        let mut number = || parts.next()?.parse().ok();
        let (occurrence, step, index) = (number()?, number()?, number()?);
        parts.next().is_none().then_some(Self { job, occurrence, step, index })
    }
}

/// Number of cores that an accelerator counts as when work is summed up.
const CORES_PER_ACCELERATOR: u64 = 8;

/// Resources of a worker, or those that a task needs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// Processor time, in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory, in MiB.
    pub memory_mb: u64,
    /// Number of accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// Subtracts the resources of a task; processor time of fillers is not counted.
    pub fn subtract(&mut self, demand: &Self, is_filler: bool) {
        if !is_filler {
            self.cpu_milli = self.cpu_milli.saturating_sub(demand.cpu_milli);
        }
        self.memory_mb = self.memory_mb.saturating_sub(demand.memory_mb);
        self.accelerators = self.accelerators.saturating_sub(demand.accelerators);
    }

    /// Work of a run of this length, in core-milliseconds.
    pub fn work_core_ms(&self, run_ms: u64) -> u64 {
        let accelerator_milli = u64::from(self.accelerators) * CORES_PER_ACCELERATOR * 1_000;
        run_ms.saturating_mul(self.cpu_milli.saturating_add(accelerator_milli)) / 1_000
    }

    /// Adds the resources of a task; processor time of fillers is not counted.
    pub fn add(&mut self, demand: &Self, is_filler: bool) {
        if !is_filler {
            self.cpu_milli = self.cpu_milli.saturating_add(demand.cpu_milli);
        }
        self.memory_mb = self.memory_mb.saturating_add(demand.memory_mb);
        self.accelerators = self.accelerators.saturating_add(demand.accelerators);
    }

    /// Takes what is owed out of these resources, as far as they go.
    pub fn settle(&mut self, owed: &mut Self) {
        let available = *self;
        self.subtract(owed, false);
        owed.subtract(&available, false);
    }

    /// Number of tasks with this demand that fit.
    pub fn count_fitting(&self, demand: &Self, is_filler: bool) -> u64 {
        let ratio = |available: u64, needed: u64| available.checked_div(needed).unwrap_or(u64::MAX);
        let cpu = if is_filler { u64::MAX } else { ratio(self.cpu_milli, demand.cpu_milli) };
        let memory = ratio(self.memory_mb, demand.memory_mb);
        let accelerators = ratio(self.accelerators.into(), demand.accelerators.into());
        cpu.min(memory).min(accelerators)
    }
}

/// A step as submitted.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// Resources that each task needs.
    pub demand: Resources,
    /// Declared run time of a task, in milliseconds; a rough estimate, 0 if none was given.
    pub estimate_ms: u64,
    /// Earlier steps that must complete first.
    pub after: Vec<u32>,
    /// Whether tasks save their progress in checkpoints.
    pub is_checkpointing: bool,
    /// Whether the tasks form a gang: all of them run at the same time or none does.
    pub is_gang: bool,
    /// Whether tasks slow down when they run on more than one rack.
    pub is_rack_local: bool,
    /// Label that the worker must have; empty if any worker is suitable.
    pub label: String,
    /// Rack that holds the data, away from which tasks slow down; empty if there is none.
    pub data_rack: String,
    /// Maximum number of tasks of the step on one worker; 0 for no limit.
    pub per_worker: u32,
    /// Whether copies of a task may run at the same time.
    pub is_speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub is_lasting: bool,
    /// Image that the tasks run; tasks of the same image behave alike.
    pub image: String,
    /// Latency target of a long-running task for its own users, in milliseconds; 0 for none.
    pub target_ms: u64,
    /// Whether the tasks use only processor time that other tasks leave unused.
    pub is_filler: bool,
    /// Number of tasks of a long-running step that the scheduler may remove at the same time.
    pub may_be_away: u32,
}

/// Schedule of a job that runs repeatedly.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Number of occurrences.
    pub count: u32,
    /// First due time, in milliseconds since 1970.
    pub first_ms: u64,
    /// Interval between due times, in milliseconds.
    pub interval_ms: u64,
}

/// A job as submitted.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Spec {
    /// Payload, passed to the tasks.
    pub payload: String,
    /// Steps, in the order in which others refer to them.
    pub steps: Vec<Step>,
    /// Schedule; without one the job runs once, immediately.
    pub schedule: Option<Schedule>,
}

impl Spec {
    /// Number of accelerators that all tasks need at the same time.
    pub fn accelerators(&self) -> u64 {
        self.steps
            .iter()
            .map(|step| u64::from(step.count) * u64::from(step.demand.accelerators))
            .sum()
    }

    /// Number of tasks of one occurrence.
    pub fn task_count(&self) -> u64 {
        self.steps.iter().map(|step| u64::from(step.count)).sum()
    }

    /// Maximum number of occurrences that are open at a time: their tasks are limited like those of a
    /// job without a schedule.
    pub fn max_open_occurrences(&self) -> u32 {
        let count = self.schedule.map_or(1, |schedule| schedule.count.max(1));
        let fitting = u64::from(MAX_TASKS).checked_div(self.task_count()).unwrap_or(1).max(1);
        count.min(fitting as u32)
    }

    /// Removes references to earlier steps that are repeated.
    pub fn remove_repeated_references(&mut self) {
        for step in &mut self.steps {
            step.after.sort_unstable();
            step.after.dedup();
            step.after.shrink_to_fit();
        }
    }

    /// Returns the reason why the job is malformed, if it is.
    pub fn fault(&self) -> Option<String> {
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Some(format!("a job has 1 to {MAX_STEPS} steps"));
        }
        if self.payload.len() > MAX_PAYLOAD_BYTES {
            return Some(format!("the payload is longer than {MAX_PAYLOAD_BYTES} bytes"));
        }
        let mut tasks = 0u32;
        for (at, step) in self.steps.iter().enumerate() {
            tasks = tasks.saturating_add(step.count);
            if step.count == 0 {
                return Some(format!("step {at} has no tasks"));
            }
            if [&step.label, &step.data_rack, &step.image]
                .iter()
                .any(|name| name.len() > MAX_NAME_BYTES)
            {
                return Some(format!("a name in step {at} is longer than {MAX_NAME_BYTES} bytes"));
            }
            if step.after.iter().any(|earlier| *earlier as usize >= at) {
                return Some(format!("step {at} waits for a step that is not an earlier one"));
            }
        }
        (tasks > MAX_TASKS).then(|| format!("a job has at most {MAX_TASKS} tasks"))
    }
}

/// One run of a task on a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// Number of the run, from 1; the tasks of a gang share it.
    pub number: u32,
    /// Name of the worker.
    pub worker: String,
    /// Incarnation of the worker: when it started, in milliseconds since 1970.
    pub incarnation: u64,
    /// When the run was placed, on the leader's wall clock, in milliseconds.
    pub placed_ms: u64,
    /// Whether the worker has been ordered to stop the run.
    pub is_stopping: bool,
}

/// State of a task.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub enum State {
    /// The task waits for capacity, or for earlier steps.
    #[default]
    Waiting,
    /// A run of the task is placed on a worker.
    Active(Run),
    /// The task is done.
    Done,
}

/// A task.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Task {
    /// State, with the active run if there is one.
    pub state: State,
    /// Highest number of the task's runs.
    pub runs: u32,
    /// Number of failed runs.
    pub failures: u32,
    /// Latest checkpoint; empty if there is none.
    pub checkpoint: String,
    /// Worker of the last run that failed.
    pub failed_on: String,
    /// When that run failed, in milliseconds since 1970.
    pub failed_ms: u64,
    /// Number of the last run that ended because another task of the gang had ended; 0 if none has.
    #[serde(default)]
    pub broken_run: u32,
    /// Number of the last run that was declared lost with its worker; 0 if there is none. The worker
    /// may still report that the run had failed.
    #[serde(default)]
    pub lapsed_run: u32,
    /// Numbers of the runs that were declared lost before that one, in order; the last few are kept.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub earlier_lapsed_runs: Vec<u32>,
}

/// Most runs of a task that are known to have been declared lost: a worker reports the failure of such a
/// run within its lease, in which few others are lost.
const MAX_LAPSED_RUNS: usize = 8;

impl Task {
    /// Numbers of the runs that were declared lost and whose failure may still be reported.
    pub fn lapsed_runs(&self) -> impl Iterator<Item = u32> {
        let last = (self.lapsed_run != 0).then_some(self.lapsed_run);
        self.earlier_lapsed_runs.iter().copied().chain(last)
    }

    /// Records that a run was declared lost.
    pub(super) fn add_lapsed_run(&mut self, run: u32) {
        if self.lapsed_run != 0 {
            self.earlier_lapsed_runs.push(self.lapsed_run);
        }
        if self.earlier_lapsed_runs.len() >= MAX_LAPSED_RUNS {
            self.earlier_lapsed_runs.remove(0);
        }
        self.lapsed_run = run;
    }

    /// Forgets that a run was declared lost.
    pub(super) fn remove_lapsed_run(&mut self, run: u32) {
        self.earlier_lapsed_runs.retain(|earlier| *earlier != run);
        if self.lapsed_run == run {
            self.lapsed_run = self.earlier_lapsed_runs.pop().unwrap_or(0);
        }
    }
}

/// Progress of one step in one occurrence.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// The tasks, in order.
    pub tasks: Tasks,
    /// Number of tasks that are done.
    pub done: u32,
    /// Highest run number of a gang that was counted as a failure, so that a failed run counts
    /// once.
    pub failed_run: u32,
    /// Number of failed runs of a gang.
    pub failures: u32,
}

impl Progress {
    /// Whether a gang's run has ended on a worker that did not report it: all its tasks elsewhere ended
    /// because another one had, so that the first to end was on this worker, and the others there
    /// ended with it.
    pub fn has_ended_unreported(&self, run: u32, worker: &str) -> bool {
        let mut broken = 0;
        for task in &self.tasks {
            match &task.state {
                State::Active(active) if active.number == run && active.worker == worker => {}
                State::Waiting if task.broken_run == run => broken += 1,
                _ => return false,
            }
        }
        broken > 0
    }

    /// Whether every task is done.
    pub fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }
}

/// Progress of one occurrence.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Occurrence {
    /// When the occurrence was due, in milliseconds since 1970.
    pub due_ms: u64,
    /// Progress of the steps, in the order of the job.
    pub steps: Vec<Progress>,
}

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// All tasks are done.
    Completed,
    /// A task or gang failed too many times.
    Failed,
    /// The caller cancelled the job.
    Cancelled,
}

/// Phase of a job, as callers see it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// No task has started yet.
    #[display("queued")]
    Queued,
    /// At least one task has started.
    #[display("running")]
    Running,
    /// All tasks are done.
    #[display("completed")]
    Completed,
    /// A task or gang failed too many times.
    #[display("failed")]
    Failed,
    /// The caller cancelled the job.
    #[display("cancelled")]
    Cancelled,
}

/// A job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Identity, chosen by the caller.
    pub id: Id,
    /// Name of the queue that the job was submitted to.
    pub queue: String,
    /// Address of that queue; empty for a job of an earlier version.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub address: String,
    /// Name of the customer that submitted the job.
    pub customer: String,
    /// Specification as submitted.
    pub spec: Spec,
    /// Terms of the queue when the job was submitted, but for the pool, which is that of the queue now.
    pub terms: Terms,
    /// When the job was accepted, in milliseconds since 1970.
    pub accepted_ms: u64,
    /// When the job ended, in milliseconds since 1970.
    pub ended_ms: u64,
    /// How the job ended, if it has.
    pub outcome: Option<Outcome>,
    /// Whether a task was ever placed.
    pub has_started: bool,
    /// Number of occurrences that were opened.
    pub opened: u32,
    /// Number of occurrences that are done.
    pub finished: u32,
    /// Occurrences in progress.
    pub occurrences: BTreeMap<u32, Occurrence>,
}

impl Job {
    /// Phase of the job, as callers see it.
    pub fn phase(&self) -> Phase {
        match self.outcome {
            Some(Outcome::Completed) => Phase::Completed,
            Some(Outcome::Failed) => Phase::Failed,
            Some(Outcome::Cancelled) => Phase::Cancelled,
            None if self.has_started => Phase::Running,
            None => Phase::Queued,
        }
    }

    /// Total number of occurrences.
    pub fn occurrence_count(&self) -> u32 {
        self.spec.schedule.map_or(1, |schedule| schedule.count.max(1))
    }

    /// Whether the next occurrence is due and can be opened. The tasks of open occurrences are limited
    /// like those of a job without a schedule; later occurrences wait until earlier ones are done.
    pub fn has_due_occurrence(&self, now_ms: u64) -> bool {
        let has_room = self.occurrences.len() < self.spec.max_open_occurrences() as usize;
        self.opened < self.occurrence_count() && self.due_ms(self.opened) <= now_ms && has_room
    }

    /// When an occurrence is due, in milliseconds since 1970.
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        let Some(schedule) = self.spec.schedule else { return self.accepted_ms };
        schedule.first_ms.saturating_add(schedule.interval_ms.saturating_mul(occurrence.into()))
    }

    /// Whether all steps that a step depends on are done.
    pub fn is_step_ready(&self, occurrence: &Occurrence, step: usize) -> bool {
        self.spec.steps[step].after.iter().all(|at| occurrence.steps[*at as usize].is_done())
    }

    /// Whether a run of one of its tasks has left a result: its end, a failure or a checkpoint.
    pub fn has_progress(&self) -> bool {
        let is_begun =
            |task: &Task| task.failures > 0 || task.broken_run > 0 || !task.checkpoint.is_empty();
        let steps = self.occurrences.values().flat_map(|occurrence| &occurrence.steps);
        let mut open_steps =
            steps.map(|step| step.done > 0 || step.tasks.begun().iter().any(is_begun));
        self.finished > 0 || open_steps.any(|has_progress| has_progress)
    }

    /// The active run of a task.
    pub fn active_run(&self, id: &TaskId) -> Option<&Run> {
        let occurrence = self.occurrences.get(&id.occurrence)?;
        let task = occurrence.steps.get(id.step as usize)?.tasks.get(id.index as usize)?;
        match &task.state {
            State::Active(run) => Some(run),
            _ => None,
        }
    }

    /// A task.
    pub fn task(&self, id: &TaskId) -> Option<&Task> {
        let occurrence = self.occurrences.get(&id.occurrence)?;
        occurrence.steps.get(id.step as usize)?.tasks.get(id.index as usize)
    }
}

/// All active runs of a job.
pub fn active_runs(job: &Job) -> impl Iterator<Item = (TaskId, &Run)> {
    job.occurrences.iter().flat_map(move |(number, occurrence)| {
        occurrence.steps.iter().enumerate().flat_map(move |(step, progress)| {
            progress.tasks.begun().iter().enumerate().filter_map(move |(index, task)| {
                let State::Active(run) = &task.state else { return None };
                let id = TaskId {
                    job: job.id,
                    occurrence: *number,
                    step: step as u32,
                    index: index as u32,
                };
                Some((id, run))
            })
        })
    })
}
