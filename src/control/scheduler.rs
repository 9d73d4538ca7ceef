//! The leader's scheduling loop: advances gangs, runs the placement policy and commits its
//! decisions.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;

use super::{Control, gang};
use crate::kernel::plugin;
use crate::kernel::timer::wall_ms;
use crate::mesh::frame::{Frame, Notice};
use crate::placement::guarantee::{self, Risk};
use crate::placement::order::orders_by_worker;
use crate::placement::{Decision, View, Worker, health, score};
use crate::state::document::{Document, Fault};
use crate::state::job::{self, Phase};
use crate::state::worker;
use crate::state::{Command, Machine};
use crate::telemetry::{DECISION, Metrics};

/// Longest time between two rounds; a change of jobs or workers starts one at once.
const MAX_ROUND_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between measurements of accelerator fragmentation.
const FRAGMENTATION_INTERVAL: Duration = Duration::from_secs(5);

/// Runs rounds in an endless loop, while this member leads.
pub(super) async fn run(control: Arc<Control>) {
    let mut round_ticks = control.timer.interval(MAX_ROUND_INTERVAL);
    let mut fragmentation_ticks = control.timer.interval(FRAGMENTATION_INTERVAL);
    loop {
        let mut is_periodic = false;
        tokio::select! {
            () = control.round_requested.notified() => {}
            _ = round_ticks.tick() => is_periodic = true,
            _ = fragmentation_ticks.tick() => {
                if control.group.is_leader() {
                    record_fragmentation(&control);
                }
                continue;
            }
        }
        if control.group.is_leader() {
            round(&control, is_periodic).await;
        }
    }
}

async fn round(control: &Control, is_periodic: bool) {
    if control.group.read().await.is_err() {
        return;
    }
    let Advance { commands, workers_to_resend } = advance_gangs(control);
    if is_periodic && !workers_to_resend.is_empty() {
        tracing::info!(target: DECISION, workers = ?workers_to_resend, "resend unconfirmed orders");
        push_orders_to(control, &workers_to_resend);
    }
    // Gangs are advanced and committed before the policy runs, so that it sees what has just ended.
    let mut commands: Vec<Command> = commands.into_iter().map(Command::Job).collect();
    commands.extend(quarantine_commands(control).into_iter().map(Command::Worker));
    commit(control, commands).await;
    let commands = decide(control).into_iter().map(Command::Job).collect();
    commit(control, commands).await;
}

// Proposes all commands concurrently, so that they share log syncs, and sends the resulting orders.
async fn commit(control: &Control, commands: Vec<Command>) {
    if commands.is_empty() {
        return;
    }
    let ids: Vec<String> = commands.iter().map(|command| job_id(command).into()).collect();
    let mut affected_workers = control.workers_of(&ids);
    let proposals =
        commands.into_iter().map(|command| control.group.propose(command, super::COMMIT_TIMEOUT));
    let mut has_committed = false;
    for (id, outcome) in ids.iter().zip(join_all(proposals).await) {
        match outcome {
            Ok(_) => has_committed = true,
            Err(error) => tracing::debug!(id, %error, "command not committed"),
        }
    }
    affected_workers.extend(control.workers_of(&ids));
    // A command that fails every time must not start round after round.
    if has_committed {
        control.round_requested.notify_one();
    }
    push_orders_to(control, &affected_workers);
}

fn job_id(command: &Command) -> &str {
    let Command::Job(command) = command else { return "" };
    match command {
        job::Command::Submit { id, .. }
        | job::Command::Place { id, .. }
        | job::Command::Start { id, .. }
        | job::Command::Finish { id, .. }
        | job::Command::Stop { id, .. }
        | job::Command::Stopped { id, .. }
        | job::Command::Throttle { id, .. }
        | job::Command::Refuse { id, .. } => id,
        job::Command::Cancel { .. } => "",
    }
}

/// Sends a worker's orders to the entry that holds its open poll.
pub(super) fn push_orders(control: &Control, worker: &str) {
    push_orders_to(control, &BTreeSet::from([worker.to_string()]));
}

fn push_orders_to(control: &Control, workers: &BTreeSet<String>) {
    let outgoing = {
        let machine = control.machine.lock();
        let grace_ms = machine.config.document.placement.checkpoint_grace_ms;
        orders_by_worker(&machine.jobs, workers, grace_ms)
    };
    let term = control.group.term();
    for (worker, orders) in outgoing {
        let Some(entry) = control.fleet.lock().entry(&worker).map(str::to_string) else { continue };
        control.deliver(&entry, Notice::Orders { worker, orders, term });
    }
}

impl Control {
    // Whether this member has led for so long that every live worker must have reported to it.
    fn have_all_workers_reported(&self) -> bool {
        let leader_for_ms = self.timer.now_ms().saturating_sub(self.group.role_since_ms());
        leader_for_ms > self.worker_timeout_ms()
    }

    fn deliver(&self, entry: &str, notice: Notice) {
        if entry == self.settings.name {
            self.notify_local_entry(notice);
        } else {
            self.mesh.send(entry, Frame::Notice(notice));
        }
    }
}

// What follows from the reports of the workers of all gangs.
#[derive(Default)]
struct Advance {
    commands: Vec<job::Command>,
    // Workers that have not confirmed their orders for too long.
    workers_to_resend: BTreeSet<String>,
}

fn advance_gangs(control: &Control) -> Advance {
    let now_ms = control.timer.now_ms();
    let wall_ms = wall_ms();
    let machine = control.machine.lock();
    let rules = gang::Rules {
        placement: &machine.config.document.placement,
        records: &machine.workers,
        wall_ms,
    };
    let clock = gang::Clock {
        now_ms,
        wall_ms,
        worker_timeout_ms: control.worker_timeout_ms(),
        // A new leader waits for a whole lease chain before it considers an unresponsive worker
        // dead.
        leader_for_ms: now_ms.saturating_sub(control.group.role_since_ms()),
    };
    let fleet = control.fleet.lock();
    let mut advance = Advance::default();
    for job in machine.jobs.live.values() {
        let observed = gang::Observation::new(&fleet, job, &clock);
        let Some(command) = rules.next_command(job, &observed) else {
            let unconfirmed = rules.workers_to_resend(job, &observed);
            advance.workers_to_resend.extend(unconfirmed.iter().cloned());
            continue;
        };
        log_advance(job, &observed, &command);
        advance.commands.push(command);
    }
    advance
}

fn log_advance(job: &job::Job, observed: &gang::Observation, command: &job::Command) {
    let change = match command {
        job::Command::Start { .. } => "start",
        job::Command::Finish { .. } => "finish",
        job::Command::Stop { .. } => "stop",
        job::Command::Stopped { .. } => "stopped",
        job::Command::Throttle { .. } => "throttle",
        _ => "other",
    };
    let epoch = job.phase.gang().map(|gang| gang.epoch);
    tracing::info!(
        target: DECISION,
        job = job.id,
        epoch,
        phase = job.phase.name(),
        change,
        prepared = observed.prepared,
        running = observed.running,
        stopped = observed.stopped,
        lost_worker = observed.lost_worker,
        failed_worker = observed.failed_worker,
        "advance gang"
    );
}

/// Quarantine commands for workers on which tasks of several jobs fail.
fn quarantine_commands(control: &Control) -> Vec<worker::Command> {
    let now_ms = control.timer.now_ms();
    let machine = control.machine.lock();
    let placement = &machine.config.document.placement;
    let workers = control.fleet.lock().live(now_ms, control.worker_timeout_ms()).len();
    let commands = health::quarantine_commands(
        &machine.jobs,
        &machine.workers,
        placement,
        workers,
        machine.now_ms,
    );
    for command in &commands {
        tracing::info!(target: DECISION, ?command, "quarantine");
    }
    commands
}

/// Runs the placement policy and logs each decision.
fn decide(control: &Control) -> Vec<job::Command> {
    let machine = control.machine.lock();
    let placement = &machine.config.document.placement;
    let workers = control.live_workers(&machine);
    let view = control.view(&machine, &workers);
    let mut policy_slot = control.policy.lock();
    if policy_slot.as_ref().is_none_or(|(name, _)| *name != placement.policy) {
        *policy_slot = plugin::build_policy(&placement.policy)
            .map(|policy| (placement.policy.clone(), policy));
    }
    let Some((_, policy)) = policy_slot.as_mut() else { return Vec::new() };
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

/// Explains to an operator why a job waits.
pub(super) fn explain(control: &Control, id: &str) -> String {
    let machine = control.machine.lock();
    let Some(job) = machine.jobs.get(id) else { return format!("no job {id}") };
    if job.phase != Phase::Waiting {
        return format!("{id} is {}", job.phase.name());
    }
    let workers = control.live_workers(&machine);
    let view = control.view(&machine, &workers);
    let policy_slot = control.policy.lock();
    policy_slot
        .as_ref()
        .map_or_else(|| "no policy is in force".into(), |(_, policy)| policy.explain(&view, job))
}

/// Faults of a document, including those that depend on the live workers.
pub(super) fn document_faults(control: &Control, document: &Document) -> Vec<Fault> {
    let mut faults = document.faults();
    if faults.is_empty() {
        let machine = control.machine.lock();
        faults = guarantee::validate(document, &control.live_workers(&machine));
    }
    faults
}

/// Guarantees of the document in force for which the open workers lack room.
pub(super) fn risks(control: &Control, machine: &Machine) -> Vec<Risk> {
    let mut workers = control.live_workers(machine);
    workers.retain(|worker| worker.is_schedulable);
    let all_workers = control.fleet.lock().all();
    guarantee::find_risks(&machine.config.document, &workers, &all_workers)
}

/// Records the fragmentation of the free accelerators as a metric.
fn record_fragmentation(control: &Control) {
    let machine = control.machine.lock();
    let workers = control.live_workers(&machine);
    let view = control.view(&machine, &workers);
    Metrics::global().set_fragmentation(score::current_fragmentation(&view));
}

impl Control {
    fn view<'a>(&self, machine: &'a Machine, workers: &'a [Worker]) -> View<'a> {
        View {
            document: &machine.config.document,
            jobs: &machine.jobs,
            workers,
            now_ms: wall_ms(),
            is_fleet_complete: self.have_all_workers_reported(),
        }
    }

    fn live_workers(&self, machine: &Machine) -> Vec<Worker> {
        let now_ms = self.timer.now_ms();
        let fleet = self.fleet.lock();
        fleet.placement_view(&machine.workers, machine.now_ms, now_ms, self.worker_timeout_ms())
    }
}
