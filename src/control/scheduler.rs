//! The leader's loop: follows gangs, asks the policy and commits what it decides.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::Control;
use crate::kernel::plugin;
use crate::kernel::timer::wall_ms;
use crate::mesh::frame::{Frame, Notice};
use crate::placement::report::State;
use crate::placement::{Decision, View};
use crate::state::Command;
use crate::state::job::{self, Gang, Job, Next, Phase};
use crate::telemetry::{DECISION, Metrics};

/// Longest time between two rounds.
const ROUND: Duration = Duration::from_millis(200);

/// Runs for ever; does something only while this member leads.
pub(super) async fn run(control: Arc<Control>) {
    let mut rounds = control.timer.subscribe(ROUND);
    loop {
        tokio::select! {
            () = control.changed.notified() => {}
            _ = rounds.tick() => {}
        }
        if control.standing().leads {
            round(&control).await;
        }
    }
}

async fn round(control: &Control) {
    if control.group.read().await.is_err() {
        return;
    }
    let mut commands = follow(control);
    commands.extend(decide(control));
    let mut touched = BTreeSet::new();
    for command in commands {
        let ids = [command_id(&command).to_string()];
        touched.extend(control.workers_of(&ids));
        if let Err(error) = control.group.propose(Command::Job(command), super::COMMIT).await {
            tracing::debug!(job = ids[0], %error, "decision dropped");
            continue;
        }
        touched.extend(control.workers_of(&ids));
        control.changed.notify_one();
    }
    for worker in touched {
        push_orders(control, &worker);
    }
}

fn command_id(command: &job::Command) -> &str {
    match command {
        job::Command::Submit { id, .. }
        | job::Command::Place { id, .. }
        | job::Command::Start { id, .. }
        | job::Command::Finish { id, .. }
        | job::Command::Stop { id, .. }
        | job::Command::Stopped { id, .. }
        | job::Command::Refuse { id, .. } => id,
        job::Command::Cancel { .. } => "",
    }
}

/// Sends a worker's orders to the entry that holds its poll.
pub(super) fn push_orders(control: &Control, worker: &str) {
    let Some(entry) = control.fleet.lock().entry(worker).map(str::to_string) else { return };
    let orders = control.orders(worker);
    let notice = Notice::Orders { worker: worker.into(), orders };
    control.deliver(&entry, notice);
}

impl Control {
    fn deliver(&self, entry: &str, notice: Notice) {
        if entry == self.settings.name {
            self.local_notice(notice);
        } else {
            self.mesh.send(entry, Frame::Notice(notice));
        }
    }
}

/// Moves gangs on by what their workers reported.
fn follow(control: &Control) -> Vec<job::Command> {
    let now_ms = control.timer.now_ms();
    let wall_ms = wall_ms();
    let machine = control.machine.lock();
    let prepare_ms = machine.config.document.placement.prepare_timeout_ms;
    let mut commands = Vec::new();
    for job in machine.jobs.live.values() {
        let seen = Seen::of(control, job, now_ms);
        commands.extend(next_step(job, &seen, wall_ms, prepare_ms));
    }
    commands
}

/// What the workers of a gang reported of it.
#[derive(Debug, Default)]
struct Seen {
    prepared: usize,
    finished: usize,
    stopped: usize,
    lost: Option<String>,
    failed: Option<String>,
    checkpoints: Vec<String>,
}

impl Seen {
    fn of(control: &Control, job: &Job, now_ms: u64) -> Self {
        let mut seen = Self::default();
        let Some(gang) = job.phase.gang() else { return seen };
        let patience_ms = control.patience_ms();
        // A new leader waits a whole chain out before it calls a silent worker dead.
        let led_ms = now_ms.saturating_sub(control.standing().since_ms);
        let fleet = control.fleet.lock();
        for (part, placed) in gang.parts.iter().enumerate() {
            let silent_ms = match fleet.heard_ms(&placed.worker) {
                Some(heard_ms) => now_ms.saturating_sub(heard_ms),
                None => led_ms,
            };
            if silent_ms > patience_ms && led_ms > patience_ms {
                seen.lost = Some(placed.worker.clone());
                seen.stopped += 1;
                continue;
            }
            let task = fleet.task(&placed.worker, &job.id, part as u32, gang.epoch);
            let Some(task) = task else { continue };
            match task.state {
                State::Prepared => seen.prepared += 1,
                State::Running => {}
                State::Finished => {
                    seen.finished += 1;
                    seen.stopped += 1;
                }
                State::Failed => {
                    seen.failed = Some(placed.worker.clone());
                    seen.stopped += 1;
                }
                State::Stopped => {
                    seen.stopped += 1;
                    seen.checkpoints.extend(task.checkpoint.clone());
                    if !matches!(job.phase, Phase::Stopping { .. }) {
                        seen.lost = Some(placed.worker.clone());
                    }
                }
            }
        }
        seen
    }
}

fn next_step(job: &Job, seen: &Seen, wall_ms: u64, prepare_ms: u64) -> Option<job::Command> {
    let id = job.id.clone();
    let parts = job.spec.parts as usize;
    match &job.phase {
        Phase::Preparing(gang) => {
            let epoch = gang.epoch;
            if seen.failed.is_some() || seen.lost.is_some() {
                let failed_on = seen.failed.clone();
                return Some(job::Command::Stop { id, epoch, next: Next::Wait, failed_on });
            }
            if seen.prepared == parts {
                return Some(job::Command::Start { id, epoch });
            }
            let late = wall_ms > gang.since_ms + prepare_ms;
            late.then_some(job::Command::Stop { id, epoch, next: Next::Wait, failed_on: None })
        }
        Phase::Started(gang) => started_step(job, gang, seen, parts),
        Phase::Stopping { gang, .. } => {
            if seen.stopped < parts {
                return None;
            }
            let whole = seen.checkpoints.len() == parts;
            let checkpoint = whole.then(|| seen.checkpoints.join(","));
            Some(job::Command::Stopped { id, epoch: gang.epoch, checkpoint })
        }
        _ => None,
    }
}

fn started_step(job: &Job, gang: &Gang, seen: &Seen, parts: usize) -> Option<job::Command> {
    let id = job.id.clone();
    let epoch = gang.epoch;
    if seen.finished == parts {
        return Some(job::Command::Finish { id, epoch });
    }
    if let Some(worker) = &seen.failed {
        let failed_on = Some(worker.clone());
        let next = match job.spec.idempotent {
            true => Next::Wait,
            false => Next::Fail(format!("a part failed on {worker}")),
        };
        return Some(job::Command::Stop { id, epoch, next, failed_on });
    }
    seen.lost.as_ref()?;
    Some(job::Command::Stop { id, epoch, next: Next::Wait, failed_on: None })
}

/// Asks the policy and logs one line for each decision.
fn decide(control: &Control) -> Vec<job::Command> {
    let now_ms = control.timer.now_ms();
    let machine = control.machine.lock();
    let placement = &machine.config.document.placement;
    let records = &machine.workers;
    let workers = control.fleet.lock().view(records, machine.now_ms, now_ms, control.patience_ms());
    let view = View {
        document: &machine.config.document,
        jobs: &machine.jobs,
        workers: &workers,
        now_ms: wall_ms(),
    };
    let mut held = control.policy.lock();
    if held.as_ref().is_none_or(|(name, _)| *name != placement.policy) {
        *held = plugin::policy(&placement.policy).map(|policy| (placement.policy.clone(), policy));
    }
    let Some((_, policy)) = held.as_mut() else { return Vec::new() };
    let started = Instant::now();
    let decisions = policy.decide(&view);
    if !decisions.is_empty() {
        Metrics::global().record_placement(started.elapsed().as_secs_f64());
    }
    decisions.into_iter().map(log_decision).collect()
}

fn log_decision(decision: Decision) -> job::Command {
    match decision {
        Decision::Place { job, parts, guaranteed, candidates, reason } => {
            let choice: Vec<&str> = parts.iter().map(|part| part.worker.as_str()).collect();
            let choice = choice.join(",");
            tracing::info!(target: DECISION, job, candidates, choice, guaranteed, reason, "place");
            job::Command::Place { id: job, parts, guaranteed }
        }
        Decision::Stop { job, epoch, next, reason } => {
            tracing::info!(target: DECISION, job, epoch, ?next, reason, "stop");
            job::Command::Stop { id: job, epoch, next, failed_on: None }
        }
        Decision::Refuse { job, reason } => {
            tracing::info!(target: DECISION, job, reason, "refuse");
            job::Command::Refuse { id: job, reason }
        }
    }
}

/// Tells a person why a job waits.
pub(super) fn explain(control: &Control, id: &str) -> String {
    let now_ms = control.timer.now_ms();
    let machine = control.machine.lock();
    let Some(job) = machine.jobs.get(id) else { return format!("no job {id}") };
    if job.phase != Phase::Waiting {
        return format!("{id} is {}", job.phase.name());
    }
    let records = &machine.workers;
    let workers = control.fleet.lock().view(records, machine.now_ms, now_ms, control.patience_ms());
    let view = View {
        document: &machine.config.document,
        jobs: &machine.jobs,
        workers: &workers,
        now_ms: wall_ms(),
    };
    let held = control.policy.lock();
    held.as_ref()
        .map_or_else(|| "no policy is in force".into(), |(_, policy)| policy.explain(&view, job))
}
