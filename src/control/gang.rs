//! Life cycle of a placed gang: what its workers reported, and what follows from it.

use super::fleet;
use crate::placement::health;
use crate::placement::report::{State, Task};
use crate::state::document::Placement;
use crate::state::job::{Command, Gang, Job, Next, Phase};
use crate::state::worker;

/// Milliseconds after a start for which a report without the task may still be an old one.
const REPORT_LAG_MS: u64 = 2_000;
/// Use of accelerators beyond which a task is throttled, in percent of what was declared.
const OVER_USE_PERCENT: u32 = 120;
/// Milliseconds within which reported use follows a throttle.
const USAGE_LAG_MS: u64 = 30_000;

/// Time as the leader sees it.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// Monotonic time, in milliseconds.
    pub now_ms: u64,
    /// Wall-clock time, in milliseconds.
    pub wall_ms: u64,
    /// Silence after which no lease of a worker can still run, in milliseconds.
    pub worker_timeout_ms: u64,
    /// How long this member has led, in milliseconds.
    pub leader_for_ms: u64,
}

/// What the workers of a gang reported of it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Observation {
    /// Parts that are ready to start.
    pub prepared: usize,
    /// Parts that run.
    pub running: usize,
    /// Parts that ended well.
    pub finished: usize,
    /// Parts that do not run and never will under this epoch.
    pub stopped: usize,
    /// Worker that lost a part.
    pub lost_worker: Option<String>,
    /// Worker at which a part failed.
    pub failed_worker: Option<String>,
    /// Checkpoints of stopped parts.
    pub checkpoints: Vec<String>,
    /// Highest use of a running part, in percent.
    pub usage_percent: u32,
}

impl Observation {
    /// Reads the reports of a gang's workers.
    pub fn new(fleet: &fleet::Table, job: &Job, clock: &Clock) -> Self {
        let mut observed = Self::default();
        let Some(gang) = job.phase.gang() else { return observed };
        for (part, placed) in gang.parts.iter().enumerate() {
            let task = fleet.task(&placed.worker, &job.id, part as u32, gang.epoch);
            // An end that was reported stays true, also where the worker fell silent since.
            let ended = task.is_some_and(|task| is_ended(task.state));
            if !ended && clock.is_dead(fleet, &placed.worker) {
                observed.lost_worker = Some(placed.worker.clone());
                observed.stopped += 1;
                continue;
            }
            match task {
                Some(task) => observed.add(job, &placed.worker, task),
                None if clock.is_missing(fleet, job, gang, &placed.worker) => {
                    observed.lost_worker = Some(placed.worker.clone());
                }
                None => {}
            }
        }
        observed
    }

    fn add(&mut self, job: &Job, worker: &str, task: &Task) {
        match task.state {
            State::Prepared => self.prepared += 1,
            State::Running => {
                self.running += 1;
                self.usage_percent = self.usage_percent.max(task.usage_percent.unwrap_or(0));
            }
            State::Finished => {
                self.finished += 1;
                self.stopped += 1;
            }
            State::Failed => {
                self.failed_worker = Some(worker.into());
                self.stopped += 1;
            }
            State::Stopped => {
                self.stopped += 1;
                self.checkpoints.extend(task.checkpoint.clone());
                if !matches!(job.phase, Phase::Stopping { .. }) {
                    self.lost_worker = Some(worker.into());
                }
            }
        }
    }
}

fn is_ended(state: State) -> bool {
    matches!(state, State::Finished | State::Failed | State::Stopped)
}

impl Clock {
    // Whether every lease that the worker may hold has run out.
    fn is_dead(&self, fleet: &fleet::Table, worker: &str) -> bool {
        let silent_ms = match fleet.last_heard_ms(worker) {
            Some(heard_ms) => self.now_ms.saturating_sub(heard_ms),
            None => self.leader_for_ms,
        };
        silent_ms > self.worker_timeout_ms && self.leader_for_ms > self.worker_timeout_ms
    }

    // A started part was prepared before, so a worker that does not list it has lost it.
    fn is_missing(&self, fleet: &fleet::Table, job: &Job, gang: &Gang, worker: &str) -> bool {
        let is_late = self.wall_ms > gang.since_ms.saturating_add(REPORT_LAG_MS);
        let is_known = fleet.last_heard_ms(worker).is_some() && self.leader_for_ms > REPORT_LAG_MS;
        matches!(job.phase, Phase::Started(_)) && is_late && is_known
    }
}

/// Rules by which a gang moves on.
#[derive(Clone, Copy, Debug)]
pub struct Rules<'a> {
    /// Settings of placement.
    pub placement: &'a Placement,
    /// Records of workers.
    pub records: &'a worker::Table,
    /// Wall-clock time, in milliseconds.
    pub wall_ms: u64,
}

impl Rules<'_> {
    /// The change that follows from what was observed, if any.
    pub fn next_command(&self, job: &Job, observed: &Observation) -> Option<Command> {
        match &job.phase {
            Phase::Preparing(gang) => self.preparing(job, gang, observed),
            Phase::Started(gang) => self.started(job, gang, observed),
            Phase::Stopping { gang, .. } => stopping(job, gang, observed),
            _ => None,
        }
    }

    fn preparing(&self, job: &Job, gang: &Gang, observed: &Observation) -> Option<Command> {
        if let Some(command) = self.ended_early(job, gang, observed, Next::Wait) {
            return Some(command);
        }
        if observed.prepared == job.spec.parts as usize {
            return Some(Command::Start { id: job.id.clone(), epoch: gang.epoch });
        }
        let late = self.wall_ms > gang.since_ms + self.placement.prepare_timeout_ms;
        late.then(|| stop(job, gang, Next::Wait, None))
    }

    fn started(&self, job: &Job, gang: &Gang, observed: &Observation) -> Option<Command> {
        if observed.finished == job.spec.parts as usize {
            return Some(Command::Finish { id: job.id.clone(), epoch: gang.epoch });
        }
        let after_failure = match (&observed.failed_worker, job.spec.idempotent) {
            (Some(worker), false) => Next::Fail(format!("a part failed on {worker}")),
            _ => Next::Wait,
        };
        if let Some(command) = self.ended_early(job, gang, observed, after_failure) {
            return Some(command);
        }
        self.over_use(job, gang, observed)
    }

    fn ended_early(
        &self,
        job: &Job,
        gang: &Gang,
        observed: &Observation,
        after: Next,
    ) -> Option<Command> {
        // A part often fails because another was lost; then nobody is to blame.
        if observed.lost_worker.is_some() {
            return Some(stop(job, gang, Next::Wait, None));
        }
        let worker = observed.failed_worker.as_deref()?;
        let placement = self.placement;
        let next = match health::is_job_fault(job, worker, placement, self.records, self.wall_ms) {
            true => Next::Fail(format!("failed {} times, last on {worker}", job.failures + 1)),
            false => after,
        };
        Some(stop(job, gang, next, Some(worker.into())))
    }

    fn over_use(&self, job: &Job, gang: &Gang, observed: &Observation) -> Option<Command> {
        let is_over = observed.usage_percent > OVER_USE_PERCENT;
        if !is_over || observed.running < job.spec.parts as usize {
            return None;
        }
        let Some(throttled_ms) = job.throttled_ms else {
            return Some(Command::Throttle { id: job.id.clone(), epoch: gang.epoch });
        };
        // Reports lag: what was used before the throttle must not count against it.
        if self.wall_ms <= throttled_ms.saturating_add(USAGE_LAG_MS) {
            return None;
        }
        let reason = format!("used {}% of what was declared", observed.usage_percent);
        Some(stop(job, gang, Next::Fail(reason), None))
    }
}

fn stopping(job: &Job, gang: &Gang, observed: &Observation) -> Option<Command> {
    let parts = job.spec.parts as usize;
    if observed.stopped < parts {
        return None;
    }
    let whole = observed.checkpoints.len() == parts;
    let checkpoint = whole.then(|| observed.checkpoints.join(","));
    Some(Command::Stopped { id: job.id.clone(), epoch: gang.epoch, checkpoint })
}

fn stop(job: &Job, gang: &Gang, next: Next, failed_on: Option<String>) -> Command {
    Command::Stop { id: job.id.clone(), epoch: gang.epoch, next, failed_on }
}
