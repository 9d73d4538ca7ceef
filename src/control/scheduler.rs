//! The leader's loop: follows gangs, asks the policy and commits what it decides.

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

/// Longest time between two rounds; what changes jobs or workers begins one at once.
const ROUND: Duration = Duration::from_secs(1);
/// Time between two measurements of fragmentation.
const MEASURE: Duration = Duration::from_secs(5);

/// Runs for ever; does something only while this member leads.
pub(super) async fn run(control: Arc<Control>) {
    let mut rounds = control.timer.subscribe(ROUND);
    let mut measures = control.timer.subscribe(MEASURE);
    loop {
        tokio::select! {
            () = control.changed.notified() => {}
            _ = rounds.tick() => {}
            _ = measures.tick() => {
                if control.standing().leads {
                    measure(&control);
                }
                continue;
            }
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
    // Followed and committed before the policy looks, so that it sees what has just ended.
    let mut commands: Vec<Command> = follow(control).into_iter().map(Command::Job).collect();
    commands.extend(suspects(control).into_iter().map(Command::Worker));
    commit(control, commands).await;
    let commands = decide(control).into_iter().map(Command::Job).collect();
    commit(control, commands).await;
}

// Proposes all at once, so that they share the log's syncs, and sends the orders that follow.
async fn commit(control: &Control, commands: Vec<Command>) {
    if commands.is_empty() {
        return;
    }
    let ids: Vec<String> = commands.iter().map(|command| command_id(command).into()).collect();
    let mut touched = control.workers_of(&ids);
    let proposals =
        commands.into_iter().map(|command| control.group.propose(command, super::COMMIT));
    let mut is_changed = false;
    for (id, outcome) in ids.iter().zip(join_all(proposals).await) {
        match outcome {
            Ok(_) => is_changed = true,
            Err(error) => tracing::debug!(id, %error, "decision dropped"),
        }
    }
    touched.extend(control.workers_of(&ids));
    // A decision that is dropped each time must not keep the loop busy.
    if is_changed {
        control.changed.notify_one();
    }
    push_all(control, &touched);
}

fn command_id(command: &Command) -> &str {
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

/// Sends a worker's orders to the entry that holds its poll.
pub(super) fn push_orders(control: &Control, worker: &str) {
    push_all(control, &BTreeSet::from([worker.to_string()]));
}

fn push_all(control: &Control, workers: &BTreeSet<String>) {
    let all = {
        let machine = control.machine.lock();
        let grace_ms = machine.config.document.placement.checkpoint_grace_ms;
        orders_by_worker(&machine.jobs, workers, grace_ms)
    };
    for (worker, orders) in all {
        let Some(entry) = control.fleet.lock().entry(&worker).map(str::to_string) else { continue };
        control.deliver(&entry, Notice::Orders { worker, orders });
    }
}

impl Control {
    // Whether every worker that lives must have been heard since this member leads.
    fn is_settled(&self) -> bool {
        let led_ms = self.timer.now_ms().saturating_sub(self.standing().since_ms);
        led_ms > self.patience_ms()
    }

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
    let step = gang::Step {
        placement: &machine.config.document.placement,
        records: &machine.workers,
        wall_ms,
    };
    let sight = gang::Sight {
        now_ms,
        wall_ms,
        patience_ms: control.patience_ms(),
        // A new leader waits a whole chain out before it calls a silent worker dead.
        led_ms: now_ms.saturating_sub(control.standing().since_ms),
    };
    let fleet = control.fleet.lock();
    let mut commands = Vec::new();
    for job in machine.jobs.live.values() {
        let seen = gang::Seen::new(&fleet, job, &sight);
        commands.extend(step.next(job, &seen));
    }
    commands
}

/// Workers that fail whatever they are given.
fn suspects(control: &Control) -> Vec<worker::Command> {
    let now_ms = control.timer.now_ms();
    let machine = control.machine.lock();
    let placement = &machine.config.document.placement;
    let workers = control.fleet.lock().live(now_ms, control.patience_ms()).len();
    let found = health::quarantine_commands(
        &machine.jobs,
        &machine.workers,
        placement,
        workers,
        machine.now_ms,
    );
    for command in &found {
        tracing::info!(target: DECISION, ?command, "quarantine");
    }
    found
}

/// Asks the policy and logs one line for each decision.
fn decide(control: &Control) -> Vec<job::Command> {
    let machine = control.machine.lock();
    let placement = &machine.config.document.placement;
    let workers = control.live_workers(&machine);
    let view = control.view(&machine, &workers);
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
    let machine = control.machine.lock();
    let Some(job) = machine.jobs.get(id) else { return format!("no job {id}") };
    if job.phase != Phase::Waiting {
        return format!("{id} is {}", job.phase.name());
    }
    let workers = control.live_workers(&machine);
    let view = control.view(&machine, &workers);
    let held = control.policy.lock();
    held.as_ref()
        .map_or_else(|| "no policy is in force".into(), |(_, policy)| policy.explain(&view, job))
}

/// Faults of a document, also those that show only against the live workers.
pub(super) fn faults(control: &Control, document: &Document) -> Vec<Fault> {
    let mut faults = document.faults();
    if faults.is_empty() {
        let machine = control.machine.lock();
        faults = guarantee::validate(document, &control.live_workers(&machine));
    }
    faults
}

/// Guarantees of the document in force that the open workers can't hold.
pub(super) fn risks(control: &Control, machine: &Machine) -> Vec<Risk> {
    let mut workers = control.live_workers(machine);
    workers.retain(|worker| worker.is_schedulable);
    let known = control.fleet.lock().known();
    guarantee::find_risks(&machine.config.document, &workers, &known)
}

/// Measures how broken up the free accelerators are.
fn measure(control: &Control) {
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
            is_fleet_complete: self.is_settled(),
        }
    }

    fn live_workers(&self, machine: &Machine) -> Vec<Worker> {
        let now_ms = self.timer.now_ms();
        let fleet = self.fleet.lock();
        fleet.view(&machine.workers, machine.now_ms, now_ms, self.patience_ms())
    }
}
