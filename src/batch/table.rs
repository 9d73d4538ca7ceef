//! Replicated state of batch work: the document and all jobs.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::Result;
use super::document::{Document, Terms};
use super::job::{Id, Job, Occurrence, Outcome, Progress, Run, Spec, State, Task, TaskId};
use super::worker::Exit;

/// Time for which an ended job is remembered, in milliseconds: callers ask for it that long.
const RETENTION_MS: u64 = 300_000;

/// A durable change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Replaces the document, where its revision is higher.
    Publish(Box<Document>),
    /// Takes a job; one that is known stays as it is.
    Submit(Box<Submission>),
    /// Cancels a job.
    Cancel(Id),
    /// Records what ended and what is to start or stop.
    Round(Round),
}

/// A job as the leader accepted it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// Identity.
    pub id: Id,
    /// Queue.
    pub queue: String,
    /// Customer.
    pub customer: String,
    /// Terms of the queue.
    pub terms: Terms,
    /// As handed in.
    pub spec: Spec,
}

/// One decision of the leader.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Round {
    /// Runs that ended.
    pub ends: Vec<End>,
    /// Runs to stop; their workers report the end.
    pub stops: Vec<(TaskId, u32)>,
    /// Runs to start.
    pub starts: Vec<Start>,
    /// Wall clock of the leader, in milliseconds, up to which occurrences are due.
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
    /// Task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// How it ended.
    pub how: Exit,
    /// Latest checkpoint; empty where there is none.
    pub checkpoint: String,
}

/// A run to start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Start {
    /// Task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// Worker.
    pub worker: String,
    /// Incarnation of the worker.
    pub incarnation: u64,
}

/// All batch state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Table {
    /// The document in force.
    pub document: Document,
    /// Jobs that have not ended.
    pub live: BTreeMap<Id, Job>,
    /// Jobs that ended lately.
    pub ended: BTreeMap<Id, Job>,
    /// Ended jobs by when they ended.
    ended_at: BTreeSet<(u64, Id)>,
    /// Runs that have a place, by worker.
    placed: BTreeMap<String, BTreeMap<TaskId, u32>>,
}

impl Table {
    /// Applies a command at a time, in milliseconds since 1970.
    ///
    /// # Errors
    /// None today; the type is that of all tables.
    pub fn apply(&mut self, command: &Command, now_ms: u64) -> Result<()> {
        self.forget(now_ms);
        match command {
            Command::Publish(document) => {
                if document.revision > self.document.revision {
                    self.document = (**document).clone();
                }
            }
            Command::Submit(submission) => self.submit(submission, now_ms),
            Command::Cancel(id) => self.finish(*id, Outcome::Cancelled, now_ms),
            Command::Round(round) => self.round(round, now_ms),
        }
        Ok(())
    }

    /// A job, live or ended.
    pub fn job(&self, id: Id) -> Option<&Job> {
        self.live.get(&id).or_else(|| self.ended.get(&id))
    }

    /// Whether this run of the task has its place.
    pub fn is_run_active(&self, task: &TaskId, run: u32) -> bool {
        self.active_run(task).is_some_and(|held| held.number == run)
    }

    /// The run that has a task's place.
    pub fn active_run(&self, task: &TaskId) -> Option<&Run> {
        self.live.get(&task.job)?.active_run(task)
    }

    /// Runs that have a place on a worker.
    pub fn runs_on(&self, worker: &str) -> impl Iterator<Item = (&TaskId, &Run)> {
        let placed = self.placed.get(worker).into_iter().flatten();
        placed.filter_map(|(name, _)| Some((name, self.active_run(name)?)))
    }

    /// Workers that runs have a place on.
    pub fn occupied_workers(&self) -> impl Iterator<Item = &String> {
        self.placed.keys()
    }

    /// Accepted jobs of a queue, due by now, of which nothing has started.
    pub fn count_pending(&self, queue: &str) -> u64 {
        let waits = |job: &&Job| job.queue == queue && !job.has_started;
        self.live.values().filter(waits).count() as u64
    }

    /// Whether an occurrence is due that has not begun.
    pub fn has_due_occurrence(&self, now_ms: u64) -> bool {
        self.live
            .values()
            .any(|job| job.opened < job.occurrence_count() && job.due_ms(job.opened) <= now_ms)
    }

    fn submit(&mut self, submission: &Submission, now_ms: u64) {
        if self.job(submission.id).is_some() {
            return;
        }
        let mut job = Job {
            id: submission.id,
            queue: submission.queue.clone(),
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
        if job.spec.schedule.is_none() {
            open(&mut job);
        }
        self.live.insert(job.id, job);
    }

    fn round(&mut self, round: &Round, now_ms: u64) {
        for end in &round.ends {
            self.end(end, now_ms);
        }
        for (name, run) in &round.stops {
            if let Some(held) = self.active_mut(name).filter(|held| held.number == *run) {
                held.is_stopping = true;
            }
        }
        for job in self.live.values_mut() {
            while job.opened < job.occurrence_count() && job.due_ms(job.opened) <= round.due_ms {
                open(job);
            }
        }
        for start in &round.starts {
            self.start(start, now_ms);
        }
    }

    fn start(&mut self, start: &Start, now_ms: u64) {
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

    fn end(&mut self, end: &End, now_ms: u64) {
        if !self.is_run_active(&end.task, end.run) {
            return;
        }
        let Some(job) = self.live.get_mut(&end.task.job) else { return };
        let step = &job.spec.steps[end.task.step as usize];
        let (is_gang, is_lasting) = (step.is_gang, step.is_lasting);
        let attempts = job.terms.attempts;
        let Some(occurrence) = job.occurrences.get_mut(&end.task.occurrence) else { return };
        let progress = &mut occurrence.steps[end.task.step as usize];
        let is_done = end.how == Exit::Done && !is_lasting;
        let mut freed = vec![end.task];
        if is_gang && is_done {
            freed = members(progress, &end.task);
        }
        let gone = leave(progress, end, is_done, &freed, now_ms);
        if is_gang && !is_done {
            break_gang(progress, end);
        }
        let failures = if is_gang {
            progress.failures
        } else {
            progress.tasks[end.task.index as usize].failures
        };
        let is_failed = !is_lasting && failures >= attempts;
        let is_over = occurrence.steps.iter().all(Progress::is_done);
        if is_over {
            job.occurrences.remove(&end.task.occurrence);
            job.finished += 1;
        }
        let is_complete = job.finished == job.occurrence_count();
        for (worker, name) in gone {
            self.unplace(&worker, &name);
        }
        if is_complete {
            self.finish(end.task.job, Outcome::Completed, now_ms);
        } else if is_failed {
            self.finish(end.task.job, Outcome::Failed, now_ms);
        }
    }

    fn finish(&mut self, id: Id, outcome: Outcome, now_ms: u64) {
        let Some(mut job) = self.live.remove(&id) else { return };
        for (number, occurrence) in &job.occurrences {
            for (step, progress) in occurrence.steps.iter().enumerate() {
                for (index, task) in progress.tasks.iter().enumerate() {
                    let State::Active(run) = &task.state else { continue };
                    let name = TaskId {
                        job: id,
                        occurrence: *number,
                        step: step as u32,
                        index: index as u32,
                    };
                    unplace(&mut self.placed, &run.worker, &name);
                }
            }
        }
        job.occurrences.clear();
        job.outcome = Some(outcome);
        job.ended_ms = now_ms;
        job.spec.payload = String::new();
        self.ended_at.insert((now_ms, id));
        self.ended.insert(id, job);
    }

    fn forget(&mut self, now_ms: u64) {
        while let Some((at_ms, id)) = self.ended_at.first().copied() {
            if at_ms + RETENTION_MS > now_ms {
                return;
            }
            self.ended_at.pop_first();
            self.ended.remove(&id);
        }
    }

    fn active_mut(&mut self, name: &TaskId) -> Option<&mut Run> {
        match &mut task_mut(self.live.get_mut(&name.job)?, name)?.state {
            State::Active(run) => Some(run),
            _ => None,
        }
    }

    fn unplace(&mut self, worker: &str, name: &TaskId) {
        unplace(&mut self.placed, worker, name);
    }
}

fn unplace(placed: &mut BTreeMap<String, BTreeMap<TaskId, u32>>, worker: &str, name: &TaskId) {
    let Some(held) = placed.get_mut(worker) else { return };
    held.remove(name);
    if held.is_empty() {
        placed.remove(worker);
    }
}

fn open(job: &mut Job) {
    let steps = job.spec.steps.iter().map(|step| Progress {
        tasks: vec![Task::default(); step.count as usize],
        ..Progress::default()
    });
    let occurrence = Occurrence { due_ms: job.due_ms(job.opened), steps: steps.collect() };
    job.occurrences.insert(job.opened, occurrence);
    job.opened += 1;
}

fn task_mut<'a>(job: &'a mut Job, name: &TaskId) -> Option<&'a mut Task> {
    let occurrence = job.occurrences.get_mut(&name.occurrence)?;
    occurrence.steps.get_mut(name.step as usize)?.tasks.get_mut(name.index as usize)
}

// All tasks of a gang's step.
fn members(progress: &Progress, one: &TaskId) -> Vec<TaskId> {
    (0..progress.tasks.len() as u32).map(|index| TaskId { index, ..*one }).collect()
}

// Takes the run's place away from these tasks; returns where they had it.
fn leave(
    progress: &mut Progress,
    end: &End,
    is_done: bool,
    freed: &[TaskId],
    now_ms: u64,
) -> Vec<(String, TaskId)> {
    let mut gone = Vec::new();
    for name in freed {
        let task = &mut progress.tasks[name.index as usize];
        let mut worker = String::new();
        if let State::Active(run) = &task.state {
            worker.clone_from(&run.worker);
            gone.push((run.worker.clone(), *name));
        }
        if is_done {
            if task.state != State::Done {
                progress.done += 1;
            }
            task.state = State::Done;
            continue;
        }
        task.state = State::Waiting;
        if !end.checkpoint.is_empty() {
            task.checkpoint.clone_from(&end.checkpoint);
        }
        if end.how == Exit::Failed {
            task.failures += 1;
            task.failed_on = worker;
            task.failed_ms = now_ms;
        }
    }
    gone
}

// The other members can't go on: they stop, and the checkpoint of one is that of all.
fn break_gang(progress: &mut Progress, end: &End) {
    if end.how == Exit::Failed && progress.failed_run < end.run {
        progress.failed_run = end.run;
        progress.failures += 1;
    }
    for task in &mut progress.tasks {
        if !end.checkpoint.is_empty() {
            task.checkpoint.clone_from(&end.checkpoint);
        }
        if let State::Active(run) = &mut task.state {
            run.is_stopping = true;
        }
    }
}
