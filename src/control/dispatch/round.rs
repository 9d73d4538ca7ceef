//! Rounds: what ended is stored, then what starts and stops is decided and stored.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use super::{Control, Desk, propose};
use crate::batch::fleet::lease_bound_ms;
use crate::batch::job::{Id, TaskId, active_runs};
use crate::batch::plan::{Plan, View};
use crate::batch::table::{Command as Batch, Round};
use crate::error::Result;
use crate::kernel::timer::wall_ms;
use crate::telemetry::{DECISION, Metrics};

/// Longest time between two rounds, in milliseconds; news begin one at once.
const ROUND_MS: u64 = 200;
/// Rest after a round, as a multiple of the time that its decision took: rounds leave two thirds of the
/// processor to heartbeats and callers, however large the fleet is.
const REST: u32 = 2;
/// Between two log lines about the load, in milliseconds.
const LOAD_MS: u64 = 1_000;

/// Runs rounds for ever; does something only while this member leads.
pub(in crate::control) async fn run(control: Arc<Control>) {
    loop {
        tokio::select! {
            () = control.dispatch.changed.notified() => {}
            () = control.timer.sleep(Duration::from_millis(ROUND_MS)) => {}
        }
        if !control.standing().leads || control.group.read().await.is_err() {
            continue;
        }
        let (spent, ended) = round(&control).await;
        if let Err(error) = ended {
            tracing::warn!(%error, "round not committed; workers report their ends again");
        }
        // News that come meanwhile share the next round.
        control.timer.sleep(rest(spent)).await;
    }
}

fn rest(spent: Duration) -> Duration {
    (spent * REST).min(Duration::from_millis(ROUND_MS))
}

// Also says how long the processor was kept busy.
async fn round(control: &Control) -> (Duration, Result<()>) {
    let mut spent = Duration::ZERO;
    let ended = carry_out(control, &mut spent).await;
    (spent, ended)
}

async fn carry_out(control: &Control, spent: &mut Duration) -> Result<()> {
    let dispatch = &control.dispatch;
    let mut touched = BTreeSet::new();
    let begun = Instant::now();
    let news = gather(control);
    *spent += begun.elapsed();
    if !news.is_empty() {
        log_ends(control, &news);
        let jobs: BTreeSet<Id> = news.ends.iter().map(|end| end.task.job).collect();
        let beside = runs_of(control, &jobs);
        propose(control, Batch::Round(news)).await?;
        log_outcomes(control, &jobs);
        touched.extend(no_longer_wanted(control, &beside));
    }
    let begun = Instant::now();
    let plan = decide(control);
    log_load(control, &plan);
    *spent += begun.elapsed();
    Metrics::global().record_placement(begun.elapsed().as_secs_f64());
    Metrics::global().set_steps_waiting(plan.waiting as u64);
    if !plan.round.is_empty() {
        log_plan(control, &plan);
        touched.extend(plan.round.starts.iter().map(|start| start.worker.clone()));
        touched.extend(stopping_on(control, &plan.round));
        propose(control, Batch::Round(plan.round)).await?;
    }
    dispatch.rounds.send_modify(|number| *number += 1);
    let desk = dispatch.desk.lock();
    for worker in &touched {
        desk.fleet.wake(worker);
    }
    Ok(())
}

// Runs of these jobs that have a place and aren't to stop, with their workers.
fn runs_of(control: &Control, jobs: &BTreeSet<Id>) -> Vec<(TaskId, u32, String)> {
    let machine = control.machine.lock();
    let mut runs = Vec::new();
    for job in jobs.iter().filter_map(|id| machine.batch.live.get(id)) {
        let wanted = active_runs(job).filter(|(_, run)| !run.is_stopping);
        runs.extend(wanted.map(|(name, run)| (name, run.number, run.worker.clone())));
    }
    runs
}

// Workers of runs that must stop since a member of their gang failed or their job ended. They are
// told at once: a held heartbeat would keep both the order and the news of the end.
fn no_longer_wanted(control: &Control, runs: &[(TaskId, u32, String)]) -> BTreeSet<String> {
    let machine = control.machine.lock();
    let is_wanted = |name: &TaskId, number: u32| {
        let held = machine.batch.active_run(name).filter(|run| run.number == number);
        held.is_some_and(|run| !run.is_stopping)
    };
    let stopping = runs.iter().filter(|(name, number, _)| !is_wanted(name, *number));
    stopping.map(|(_, _, worker)| worker.clone()).collect()
}

// What ended, what is lost, and which occurrences are due.
fn gather(control: &Control) -> Round {
    let now_ms = control.timer.now_ms();
    let machine = control.machine.lock();
    let mut desk = control.dispatch.desk.lock();
    desk.renew(control);
    let mut ends = std::mem::take(&mut desk.ends);
    let since_ms = control.standing().since_ms;
    let unheard_until_ms = since_ms + lease_bound_ms(control.dispatch.lease_ms);
    ends.extend(desk.fleet.lost_runs(&machine.batch, unheard_until_ms, now_ms));
    desk.fleet.remove_departed(now_ms);
    ends.retain(|end| machine.batch.is_run_active(&end.task, end.run));
    let wall_ms = wall_ms();
    let due_ms = if machine.batch.has_due_occurrence(wall_ms) { wall_ms } else { 0 };
    Round { ends, due_ms, ..Round::default() }
}

fn decide(control: &Control) -> Plan {
    let now_ms = control.timer.now_ms();
    let machine = control.machine.lock();
    let mut desk = control.dispatch.desk.lock();
    let Desk { fleet, planner, estimates, .. } = &mut *desk;
    let stuck = fleet.stuck_runs(&machine.batch);
    let evacuated = fleet.runs_to_evacuate(&machine.batch, now_ms);
    for (name, _) in &stuck {
        if let Some(run) = machine.batch.active_run(name) {
            fleet.exclude(&run.worker, now_ms);
        }
    }
    let view = View {
        table: &machine.batch,
        fleet,
        estimates,
        times: control.dispatch.times,
        now_ms,
        wall_ms: wall_ms(),
    };
    let mut plan = planner.decide(view);
    for (name, run) in evacuated {
        tracing::info!(target: DECISION, task = %name, run, "run is stopped before its worker leaves");
        plan.round.stops.push((name, run));
    }
    for (name, run) in stuck {
        tracing::info!(target: DECISION, task = %name, run, "run makes no progress and is stopped");
        plan.round.stops.push((name, run));
    }
    plan
}

// One line a second, however many rounds there are.
fn log_load(control: &Control, plan: &Plan) {
    let now_ms = control.timer.now_ms();
    let last_ms = control.dispatch.load_logged_ms.load(Ordering::Relaxed);
    if plan.waiting == 0 || now_ms < last_ms + LOAD_MS {
        return;
    }
    control.dispatch.load_logged_ms.store(now_ms, Ordering::Relaxed);
    let (waiting, hopeless) = (plan.waiting, plan.expired);
    for (pool, used) in &plan.utilization {
        let used = (used * 100.0) as u64;
        tracing::info!(target: DECISION, pool, used_percent = used, waiting, hopeless, "load");
    }
}

fn stopping_on(control: &Control, round: &Round) -> BTreeSet<String> {
    let machine = control.machine.lock();
    let runs = round.stops.iter().filter_map(|(name, _)| machine.batch.active_run(name));
    runs.map(|run| run.worker.clone()).collect()
}

fn log_ends(control: &Control, round: &Round) {
    let machine = control.machine.lock();
    for end in &round.ends {
        let Some(run) = machine.batch.active_run(&end.task) else { continue };
        let (task, how, worker) = (end.task, end.how, &run.worker);
        let took_ms = wall_ms().saturating_sub(run.placed_ms);
        tracing::info!(target: DECISION, %task, run = end.run, %how, worker, took_ms, "run ended");
        Metrics::global().count_run(how);
    }
}

// One line for each job that these ends ended.
fn log_outcomes(control: &Control, jobs: &BTreeSet<Id>) {
    let machine = control.machine.lock();
    for id in jobs {
        let Some(job) = machine.batch.ended.get(id) else { continue };
        let (phase, queue) = (job.phase(), &job.queue);
        let took_ms = job.ended_ms.saturating_sub(job.accepted_ms);
        tracing::info!(target: DECISION, job = %id, queue, %phase, took_ms, "job ended");
        Metrics::global().count_job(&phase.to_string());
        Metrics::global().record_completion(took_ms as f64 / 1_000.0);
    }
}

fn log_plan(control: &Control, plan: &Plan) {
    note_first_starts(control, plan);
    Metrics::global()
        .count_evictions(plan.explanations.iter().map(|v| v.evicted.len() as u64).sum());
    for verdict in &plan.explanations {
        let (job, occurrence, step) = verdict.step;
        let (seated, evicted, reason) = (verdict.placed, verdict.evicted.len(), verdict.reason);
        let (run_ms, slack_ms) = (verdict.run_ms, verdict.slack_ms);
        for (task, run) in &verdict.evicted {
            tracing::info!(target: DECISION, %task, run, yields_to = %job, "run is stopped for a more urgent job");
        }
        let waiting = plan.waiting;
        tracing::info!(target: DECISION, %job, occurrence, step, seated, evicted, waiting, run_ms, slack_ms, reason, "placement");
    }
}

fn note_first_starts(control: &Control, plan: &Plan) {
    let machine = control.machine.lock();
    let jobs: BTreeSet<Id> = plan.round.starts.iter().map(|start| start.task.job).collect();
    for id in jobs {
        let Some(job) = machine.batch.live.get(&id).filter(|job| !job.has_started) else {
            continue;
        };
        let waited_ms = wall_ms().saturating_sub(job.accepted_ms);
        Metrics::global().record_first_start(waited_ms as f64 / 1_000.0);
    }
}
