//! Replicated state of batch jobs: the configuration document and all jobs.

mod ends;
mod parts;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::Result;
use super::document::{Document, Terms};
use super::job::{Id, Job, Occurrence, Outcome, Progress, Run, Spec, State, Task, TaskId, Tasks};
use super::worker::Exit;
use crate::error::{Code, Error};

/// Time for which an ended job is kept, in milliseconds: callers may ask for its phase that long.
const ENDED_JOB_RETENTION_MS: u64 = 300_000;

/// Size of a round in the log from which on it is split, in bytes: an eighth of the longest command.
pub const MAX_ROUND_BYTES: usize = 512 << 10;

/// A durable change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Replaces the document if the new revision is higher.
    Publish(Arc<Document>),
    /// Adds a job; has no effect if a job with this identity exists.
    Submit(Box<Submission>),
    /// Cancels a job.
    Cancel(Id),
    /// Records which runs ended and which are to start or stop.
    Round(Round),
    /// Begins or ends the evacuation of a zone.
    Evacuate(Evacuation),
}

/// Order to place nothing on the workers of an availability zone, or the end of that.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuation {
    /// Name of the availability zone.
    pub zone: String,
    /// Whether the evacuation begins or goes on; it ends otherwise.
    pub is_active: bool,
}

/// A job as the leader accepted it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// Identity of the job.
    pub id: Id,
    /// Name of the queue.
    pub queue: String,
    /// Address of the queue; empty in a log of an earlier version.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub address: String,
    /// Name of the customer.
    pub customer: String,
    /// Terms of the queue.
    pub terms: Terms,
    /// Specification as submitted.
    pub spec: Spec,
}

/// Changes of one scheduling round.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Round {
    /// Runs that ended.
    pub ends: Vec<End>,
    /// Runs to stop; their workers report the end.
    pub stops: Vec<(TaskId, u32)>,
    /// Runs to start.
    pub starts: Vec<Start>,
    /// Wall clock of the leader, in milliseconds; occurrences due by then are opened.
    pub due_ms: u64,
}

impl Round {
    /// Whether there is nothing to record.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty() && self.stops.is_empty() && self.starts.is_empty() && self.due_ms == 0
    }
}

/// A run that ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct End {
    /// Task that the run belongs to.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// How the run ended.
    pub how: Exit,
    /// Latest checkpoint; empty if there is none.
    pub checkpoint: String,
}

/// A run to start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Start {
    /// Task that the run belongs to.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// Name of the worker.
    pub worker: String,
    /// Incarnation of the worker.
    pub incarnation: u64,
}

/// All batch state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Table {
    /// The document in force.
    pub document: Arc<Document>,
    /// Jobs that have not ended.
    pub live: BTreeMap<Id, Job>,
    /// Jobs that ended within the retention period.
    pub ended: BTreeMap<Id, Job>,
    /// Ended jobs, ordered by the time at which they ended.
    ended_at: BTreeSet<(u64, Id)>,
    /// Active runs, by worker.
    placed: BTreeMap<String, BTreeMap<TaskId, u32>>,
    /// Availability zones whose workers get no start orders.
    #[serde(default)]
    evacuated: BTreeSet<String>,
}

impl Table {
    /// Applies a command at a time, in milliseconds since 1970.
    ///
    /// # Errors
    /// None at present; the signature is that of all replicated tables.
    pub fn apply(&mut self, command: &Command, now_ms: u64) -> Result<()> {
        self.remove_expired(now_ms);
        match command {
            Command::Publish(document) => {
                if document.revision > self.document.revision {
                    self.document = document.clone();
                    self.follow_queues();
                }
            }
            Command::Submit(submission) => self.submit(submission, now_ms),
            Command::Cancel(id) => self.finish_job(*id, Outcome::Cancelled, now_ms),
            Command::Round(round) => self.apply_round(round, now_ms),
            Command::Evacuate(Evacuation { zone, is_active: true }) => {
                self.evacuated.insert(zone.clone());
            }
            Command::Evacuate(Evacuation { zone, is_active: false }) => {
                self.evacuated.remove(zone);
            }
        }
        Ok(())
    }

    /// A job, live or ended.
    pub fn job(&self, id: Id) -> Option<&Job> {
        self.live.get(&id).or_else(|| self.ended.get(&id))
    }

    /// A job, live or ended.
    ///
    /// # Errors
    /// If the job is unknown. Ended jobs are kept for a limited time, so that it may have run.
    pub fn find_job(&self, id: Id) -> Result<&Job> {
        self.job(id).ok_or_else(|| unknown_job(id))
    }

    /// Whether this run is the active one of its task.
    pub fn is_run_active(&self, task: &TaskId, run: u32) -> bool {
        self.active_run(task).is_some_and(|active| active.number == run)
    }

    /// Whether the end of a run changes the table: that of an active run, or the failure of one that was
    /// declared lost, which counts as an attempt.
    pub fn accepts_end(&self, task: &TaskId, run: u32, how: Exit) -> bool {
        let is_late_failure = || {
            let job = self.live.get(&task.job);
            how == Exit::Failed
                && job
                    .and_then(|job| job.task(task))
                    .is_some_and(|known| known.lapsed_runs().any(|lapsed| lapsed == run))
        };
        self.is_run_active(task, run) || is_late_failure()
    }

    /// The active run of a task.
    pub fn active_run(&self, task: &TaskId) -> Option<&Run> {
        self.live.get(&task.job)?.active_run(task)
    }

    /// Whether an active run of a gang must have ended on its worker, though that has not reported it.
    pub fn has_ended_unreported(&self, task: &TaskId, run: &Run) -> bool {
        let Some(job) = self.live.get(&task.job) else { return false };
        let Some(occurrence) = job.occurrences.get(&task.occurrence) else { return false };
        let at = task.step as usize;
        let is_gang = job.spec.steps.get(at).is_some_and(|step| step.is_gang);
        let progress = occurrence.steps.get(at).filter(|_| is_gang);
        progress.is_some_and(|progress| progress.has_ended_unreported(run.number, &run.worker))
    }

    /// Active runs on a worker.
    pub fn runs_on(&self, worker: &str) -> impl Iterator<Item = (&TaskId, &Run)> {
        let placed = self.placed.get(worker).into_iter().flatten();
        placed.filter_map(|(task, _)| Some((task, self.active_run(task)?)))
    }

    /// Number of active runs on a worker.
    pub fn count_runs_on(&self, worker: &str) -> u64 {
        self.placed.get(worker).map_or(0, |runs| runs.len() as u64)
    }

    /// Workers with active runs.
    pub fn occupied_workers(&self) -> impl Iterator<Item = &String> {
        self.placed.keys()
    }

    /// Whether the document names a pool, or a live job runs in it.
    pub fn uses_pool(&self, pool: &str) -> bool {
        self.document.pools.iter().any(|known| known.name == pool)
            || self.live.values().any(|job| job.terms.pool == pool)
    }

    /// Whether the workers of an availability zone get no start orders.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.evacuated.contains(zone)
    }

    /// Whether an occurrence is due that has not been opened.
    pub fn has_due_occurrence(&self, now_ms: u64) -> bool {
        self.live.values().any(|job| job.has_due_occurrence(now_ms))
    }

    fn submit(&mut self, submission: &Submission, now_ms: u64) {
        if self.job(submission.id).is_some() {
            return;
        }
        let mut job = Job {
            id: submission.id,
            queue: submission.queue.clone(),
            address: submission.address.clone(),
            customer: submission.customer.clone(),
            spec: submission.spec.clone(),
            terms: submission.terms.clone(),
            accepted_ms: now_ms,
            ended_ms: 0,
            outcome: None,
            has_started: false,
            opened: 0,
            finished: 0,
            occurrences: BTreeMap::new(),
        };
        // The document may have changed since the leader accepted the job.
        let queue = self.document.queues.iter().find(|queue| queue.name == job.queue);
        if let Some(queue) = queue {
            job.terms.pool.clone_from(&queue.terms.pool);
        }
        if job.spec.schedule.is_none() {
            open_occurrence(&mut job);
        }
        self.live.insert(job.id, job);
    }

    // Moves the jobs of queues that the document sends to another pool. What runs in the old pool goes on
    // there. Jobs whose queue was removed stay where they are.
    fn follow_queues(&mut self) {
        let queues = self.document.queues.iter();
        let pools: BTreeMap<&str, &String> =
            queues.map(|queue| (queue.name.as_str(), &queue.terms.pool)).collect();
        for job in self.live.values_mut() {
            let Some(pool) = pools.get(job.queue.as_str()) else { continue };
            if job.terms.pool != **pool {
                job.terms.pool.clone_from(pool);
            }
        }
    }

    fn apply_round(&mut self, round: &Round, now_ms: u64) {
        for end in &round.ends {
            self.end_run(end, now_ms);
        }
        for (task, run) in &round.stops {
            if let Some(active) = self.active_run_mut(task).filter(|active| active.number == *run) {
                active.is_stopping = true;
            }
        }
        for job in self.live.values_mut() {
            while job.has_due_occurrence(round.due_ms) {
                open_occurrence(job);
            }
        }
        for start in &round.starts {
            self.start_run(start, now_ms);
        }
    }

    fn start_run(&mut self, start: &Start, now_ms: u64) {
        let Some(job) = self.live.get_mut(&start.task.job) else { return };
        let Some(task) = task_mut(job, &start.task) else { return };
        if task.state != State::Waiting || start.run <= task.runs {
            return;
        }
        task.runs = start.run;
        task.state = State::Active(Run {
            number: start.run,
            worker: start.worker.clone(),
            incarnation: start.incarnation,
            placed_ms: now_ms,
            is_stopping: false,
        });
        job.has_started = true;
        self.placed.entry(start.worker.clone()).or_default().insert(start.task, start.run);
    }

    fn finish_job(&mut self, id: Id, outcome: Outcome, now_ms: u64) {
        let Some(mut job) = self.live.remove(&id) else { return };
        for (number, occurrence) in &job.occurrences {
            for (step, progress) in occurrence.steps.iter().enumerate() {
                for (index, task) in progress.tasks.begun().iter().enumerate() {
                    let State::Active(run) = &task.state else { continue };
                    let task = TaskId {
                        job: id,
                        occurrence: *number,
                        step: step as u32,
                        index: index as u32,
                    };
                    remove_placement(&mut self.placed, &run.worker, &task);
                }
            }
        }
        job.occurrences.clear();
        job.outcome = Some(outcome);
        job.ended_ms = now_ms;
        job.spec.payload = String::new();
        job.spec.steps.iter_mut().for_each(|step| step.after = Vec::new());
        self.ended_at.insert((now_ms, id));
        self.ended.insert(id, job);
    }

    fn remove_expired(&mut self, now_ms: u64) {
        while let Some((at_ms, id)) = self.ended_at.first().copied() {
            if at_ms + ENDED_JOB_RETENTION_MS > now_ms {
                return;
            }
            self.ended_at.pop_first();
            self.ended.remove(&id);
        }
    }

    fn active_run_mut(&mut self, task: &TaskId) -> Option<&mut Run> {
        match &mut task_mut(self.live.get_mut(&task.job)?, task)?.state {
            State::Active(run) => Some(run),
            _ => None,
        }
    }

    fn remove_placement(&mut self, worker: &str, task: &TaskId) {
        remove_placement(&mut self.placed, worker, task);
    }
}

/// The error for a job that is not known. It may have run long ago.
pub fn unknown_job(id: Id) -> Error {
    Error::may_have_run(Code::KeyExpired, format!("no job {id}"))
}

fn remove_placement(
    placed: &mut BTreeMap<String, BTreeMap<TaskId, u32>>,
    worker: &str,
    task: &TaskId,
) {
    let Some(runs) = placed.get_mut(worker) else { return };
    runs.remove(task);
    if runs.is_empty() {
        placed.remove(worker);
    }
}

fn open_occurrence(job: &mut Job) {
    let steps = job
        .spec
        .steps
        .iter()
        .map(|step| Progress { tasks: Tasks::new(step.count), ..Progress::default() });
    let occurrence = Occurrence { due_ms: job.due_ms(job.opened), steps: steps.collect() };
    job.occurrences.insert(job.opened, occurrence);
    job.opened += 1;
}

fn task_mut<'a>(job: &'a mut Job, id: &TaskId) -> Option<&'a mut Task> {
    let occurrence = job.occurrences.get_mut(&id.occurrence)?;
    occurrence.steps.get_mut(id.step as usize)?.tasks.get_mut(id.index as usize)
}
