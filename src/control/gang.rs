//! Life cycle of a placed gang: the state that its workers report, and the command that follows.

use super::fleet;
use crate::placement::health;
use crate::placement::report::{State, Task};
use crate::state::document::Placement;
use crate::state::job::{Command, Disposition, Gang, Job, Phase};
use crate::state::worker;

/// Milliseconds after a start during which a report that lacks the task may be outdated.
const MAX_REPORT_LAG_MS: u64 = 2_000;
/// Milliseconds after a phase change from which on orders are repeated to workers that have not
/// confirmed them.
const RESEND_AFTER_MS: u64 = 1_000;
/// Accelerator usage above which a task is throttled, in percent of the declared usage.
const MAX_USAGE_PERCENT: u32 = 120;
/// Milliseconds until reported usage reflects a throttle.
const MAX_USAGE_LAG_MS: u64 = 30_000;

/// Times by which the leader judges reports.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// Monotonic time, in milliseconds.
    pub now_ms: u64,
    /// Wall-clock time, in milliseconds.
    pub wall_ms: u64,
    /// Time without contact after which all leases of a worker have expired, in milliseconds.
    pub worker_timeout_ms: u64,
    /// How long this member has led, in milliseconds.
    pub leader_for_ms: u64,
}

/// State of a gang, as reported by its workers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Observation {
    /// Parts that are ready to start.
    pub prepared: usize,
    /// Parts that are running.
    pub running: usize,
    /// Parts that completed.
    pub finished: usize,
    /// Parts that do not run and can't start any more in this epoch.
    pub stopped: usize,
    /// Worker on which a part was lost.
    pub lost_worker: Option<String>,
    /// Worker on which a part failed.
    pub failed_worker: Option<String>,
    /// Checkpoints of stopped parts.
    pub checkpoints: Vec<String>,
    /// Highest accelerator usage of a running part, in percent.
    pub usage_percent: u32,
    /// Workers that have not confirmed the orders of the current phase.
    pub unconfirmed: Vec<String>,
}

impl Observation {
    /// Aggregates the reports of the job's workers.
    pub fn new(fleet: &fleet::Table, job: &Job, clock: &Clock) -> Self {
        let mut observed = Self::default();
        let Some(gang) = job.phase.gang() else { return observed };
        for (part, placed) in gang.parts.iter().enumerate() {
            let task = fleet.task(&placed.worker, &job.id, part as u32, gang.epoch);
            // A reported end stays valid even if there has been no contact with the worker since.
            let has_ended = task.is_some_and(|task| is_ended(task.state));
            if !has_ended && clock.is_worker_dead(fleet, &placed.worker) {
                observed.lost_worker = Some(placed.worker.clone());
                observed.stopped += 1;
                continue;
            }
            if !task.is_some_and(|task| is_confirmation(&job.phase, task.state)) {
                observed.unconfirmed.push(placed.worker.clone());
            }
            match task {
                Some(task) => observed.record_task(job, &placed.worker, task),
                None if clock.is_task_lost(fleet, job, gang, &placed.worker) => {
                    observed.lost_worker = Some(placed.worker.clone());
                }
                None => {}
            }
        }
        observed
    }

    fn record_task(&mut self, job: &Job, worker: &str, task: &Task) {
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

// Whether a task in this state shows that its worker received the orders of the phase.
fn is_confirmation(phase: &Phase, state: State) -> bool {
    match phase {
        Phase::Preparing(_) => true,
        Phase::Started(_) => state != State::Prepared,
        _ => is_ended(state),
    }
}

fn is_ended(state: State) -> bool {
    matches!(state, State::Finished | State::Failed | State::Stopped)
}

impl Clock {
    // Whether every lease that the worker may hold has expired.
    fn is_worker_dead(&self, fleet: &fleet::Table, worker: &str) -> bool {
        let silent_ms = match fleet.last_contact_ms(worker) {
            Some(contact_ms) => self.now_ms.saturating_sub(contact_ms),
            None => self.leader_for_ms,
        };
        silent_ms > self.worker_timeout_ms && self.leader_for_ms > self.worker_timeout_ms
    }

    // A part is started only after it was reported as prepared, so that a worker that does not list
    // the part has lost it.
    fn is_task_lost(&self, fleet: &fleet::Table, job: &Job, gang: &Gang, worker: &str) -> bool {
        let is_report_due = self.wall_ms > gang.since_ms.saturating_add(MAX_REPORT_LAG_MS);
        let is_known =
            fleet.last_contact_ms(worker).is_some() && self.leader_for_ms > MAX_REPORT_LAG_MS;
        matches!(job.phase, Phase::Started(_)) && is_report_due && is_known
    }
}

/// Rules for the phase changes of a gang.
#[derive(Clone, Copy, Debug)]
pub struct Rules<'a> {
    /// Placement settings.
    pub placement: &'a Placement,
    /// Durable records of workers.
    pub records: &'a worker::Table,
    /// Wall-clock time, in milliseconds.
    pub wall_ms: u64,
}

impl Rules<'_> {
    /// The command that follows from the observed state, if any.
    pub fn next_command(&self, job: &Job, observed: &Observation) -> Option<Command> {
        match &job.phase {
            Phase::Preparing(gang) => self.command_while_preparing(job, gang, observed),
            Phase::Started(gang) => self.command_while_started(job, gang, observed),
            Phase::Stopping { gang, .. } => command_while_stopping(job, gang, observed),
            _ => None,
        }
    }

    /// Workers to which the orders for a gang must be sent again, since earlier ones may be lost.
    pub fn workers_to_resend<'o>(&self, job: &Job, observed: &'o Observation) -> &'o [String] {
        let Some(gang) = job.phase.gang() else { return &[] };
        let is_overdue = self.wall_ms >= gang.since_ms.saturating_add(RESEND_AFTER_MS);
        if is_overdue { &observed.unconfirmed } else { &[] }
    }

    fn command_while_preparing(
        &self,
        job: &Job,
        gang: &Gang,
        observed: &Observation,
    ) -> Option<Command> {
        if let Some(command) = self.early_end_command(job, gang, observed, Disposition::Wait) {
            return Some(command);
        }
        if observed.prepared == job.spec.parts as usize {
            return Some(Command::Start { id: job.id.clone(), epoch: gang.epoch });
        }
        let is_late = self.wall_ms > gang.since_ms + self.placement.prepare_timeout_ms;
        is_late.then(|| stop_command(job, gang, Disposition::Wait, None))
    }

    fn command_while_started(
        &self,
        job: &Job,
        gang: &Gang,
        observed: &Observation,
    ) -> Option<Command> {
        if observed.finished == job.spec.parts as usize {
            return Some(Command::Finish { id: job.id.clone(), epoch: gang.epoch });
        }
        let after_failure = match (&observed.failed_worker, job.spec.idempotent) {
            (Some(worker), false) => Disposition::Fail(format!("a part failed on {worker}")),
            _ => Disposition::Wait,
        };
        if let Some(command) = self.early_end_command(job, gang, observed, after_failure) {
            return Some(command);
        }
        self.overuse_command(job, gang, observed)
    }

    fn early_end_command(
        &self,
        job: &Job,
        gang: &Gang,
        observed: &Observation,
        after: Disposition,
    ) -> Option<Command> {
        // A part often fails because another part was lost: neither job nor worker is blamed then.
        if observed.lost_worker.is_some() {
            return Some(stop_command(job, gang, Disposition::Wait, None));
        }
        let worker = observed.failed_worker.as_deref()?;
        let placement = self.placement;
        let next = match health::is_job_fault(job, worker, placement, self.records, self.wall_ms) {
            true => {
                Disposition::Fail(format!("failed {} times, last on {worker}", job.failures + 1))
            }
            false => after,
        };
        Some(stop_command(job, gang, next, Some(worker.into())))
    }

    fn overuse_command(&self, job: &Job, gang: &Gang, observed: &Observation) -> Option<Command> {
        let is_overused = observed.usage_percent > MAX_USAGE_PERCENT;
        if !is_overused || observed.running < job.spec.parts as usize {
            return None;
        }
        let Some(throttled_ms) = job.throttled_ms else {
            return Some(Command::Throttle { id: job.id.clone(), epoch: gang.epoch });
        };
        // Reports lag behind, so that usage from before the throttle must not count.
        if self.wall_ms <= throttled_ms.saturating_add(MAX_USAGE_LAG_MS) {
            return None;
        }
        let reason = format!("used {}% of what was declared", observed.usage_percent);
        Some(stop_command(job, gang, Disposition::Fail(reason), None))
    }
}

fn command_while_stopping(job: &Job, gang: &Gang, observed: &Observation) -> Option<Command> {
    let parts = job.spec.parts as usize;
    if observed.stopped < parts {
        return None;
    }
    let has_all_checkpoints = observed.checkpoints.len() == parts;
    let checkpoint = has_all_checkpoints.then(|| observed.checkpoints.join(","));
    Some(Command::Stopped { id: job.id.clone(), epoch: gang.epoch, checkpoint })
}

fn stop_command(job: &Job, gang: &Gang, next: Disposition, failed_on: Option<String>) -> Command {
    Command::Stop { id: job.id.clone(), epoch: gang.epoch, next, failed_on }
}
