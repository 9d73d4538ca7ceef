//! Scheduling rounds: commit the ended runs, then decide and commit which runs start and stop.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use super::neighbour::PairLog;
use super::{Control, Term, propose_round};
use crate::batch::fleet::lease_bound_ms;
use crate::batch::job::{Id, TaskId, active_runs};
use crate::batch::plan::{Plan, View};
use crate::batch::table::Round;
use crate::error::Result;
use crate::kernel::timer::wall_ms;
use crate::telemetry::{DECISION, Metrics};

/// Longest time between two rounds, in milliseconds; a change starts one earlier.
const MAX_ROUND_INTERVAL_MS: u64 = 200;
/// Pause after a round, as a multiple of its processor time: two thirds of the processor are left
/// to heartbeats and callers, however large the fleet is.
const PAUSE_FACTOR: u32 = 2;
/// Maximum number of log lines about customers beyond their share each time that the load is logged.
const MAX_EXCESS_LINES: usize = 10;
/// Interval of the log lines about the load, in milliseconds.
const LOAD_LOG_INTERVAL_MS: u64 = 1_000;

/// Runs rounds in an endless loop, while this member leads.
pub(in crate::control) async fn run(control: Arc<Control>) {
    let mut pair_log = PairLog::default();
    loop {
        tokio::select! {
            () = control.dispatch.round_requested.notified() => {}
            () = control.timer.sleep(Duration::from_millis(MAX_ROUND_INTERVAL_MS)) => {}
        }
        if !control.group.is_leader() {
            continue;
        }
        let Ok(term) = control.group.read_in_term().await else { continue };
        let (busy, outcome) = run_timed_round(&control, term).await;
        if let Err(error) = outcome {
            tracing::warn!(%error, "round not committed; workers will report ended runs again");
        }
        pair_log.update(&control);
        // Changes that arrive during the pause share the next round.
        control.timer.sleep(pause_after(busy)).await;
    }
}

fn pause_after(busy: Duration) -> Duration {
    (busy * PAUSE_FACTOR).min(Duration::from_millis(MAX_ROUND_INTERVAL_MS))
}

// Also returns how long the round kept the processor busy.
async fn run_timed_round(control: &Control, term: u64) -> (Duration, Result<()>) {
    let mut busy = Duration::ZERO;
    let outcome = run_round(control, term, &mut busy).await;
    (busy, outcome)
}

async fn run_round(control: &Control, term: u64, busy: &mut Duration) -> Result<()> {
    let dispatch = &control.dispatch;
    let mut workers_to_wake = BTreeSet::new();
    let started = Instant::now();
    let changes = collect_changes(control, term)?;
    *busy += started.elapsed();
    if !changes.is_empty() {
        log_ends(control, &changes);
        let jobs: BTreeSet<Id> = changes.ends.iter().map(|end| end.task.job).collect();
        let runs_before = continuing_runs(control, &jobs);
        propose_round(control, changes, term).await?;
        log_outcomes(control, &jobs);
        workers_to_wake.extend(workers_of_stopping_runs(control, &runs_before));
    }
    let started = Instant::now();
    let plan = decide(control, term)?;
    log_load(control, &plan);
    *busy += started.elapsed();
    Metrics::global().record_placement(started.elapsed().as_secs_f64());
    Metrics::global().set_steps_waiting(plan.waiting as u64);
    Metrics::global().set_yielding_customers(plan.excess.len() as u64);
    Metrics::global().set_excluded_workers(plan.excluded_workers as u64);
    Metrics::global().set_steps_beyond_limit(plan.beyond_limit as u64);
    if plan.is_cut_short {
        dispatch.round_requested.notify_one();
    }
    if !plan.round.is_empty() {
        log_plan(control, &plan);
        workers_to_wake.extend(plan.round.starts.iter().map(|start| start.worker.clone()));
        workers_to_wake.extend(workers_of_stops(control, &plan.round));
        propose_round(control, plan.round, term).await?;
    }
    dispatch.rounds.send_modify(|number| *number += 1);
    let term_state = dispatch.term_state.lock();
    for worker in &workers_to_wake {
        term_state.fleet.wake(worker);
    }
    Ok(())
}

// Placed runs of these jobs that are not stopping, with their workers.
fn continuing_runs(control: &Control, jobs: &BTreeSet<Id>) -> Vec<(TaskId, u32, String)> {
    let machine = control.machine.lock();
    let mut runs = Vec::new();
    for job in jobs.iter().filter_map(|id| machine.batch.live.get(id)) {
        let continuing = active_runs(job).filter(|(_, run)| !run.is_stopping);
        runs.extend(continuing.map(|(name, run)| (name, run.number, run.worker.clone())));
    }
    runs
}

// Workers of the runs that must stop because a run of their gang failed or their job ended. They
// are woken at once: a held heartbeat would delay both the order and the report of the end.
fn workers_of_stopping_runs(control: &Control, runs: &[(TaskId, u32, String)]) -> BTreeSet<String> {
    let machine = control.machine.lock();
    let is_continuing = |name: &TaskId, number: u32| {
        let active = machine.batch.active_run(name).filter(|run| run.number == number);
        active.is_some_and(|run| !run.is_stopping)
    };
    let stopping = runs.iter().filter(|(name, number, _)| !is_continuing(name, *number));
    stopping.map(|(_, _, worker)| worker.clone()).collect()
}

// Collects ended runs, lost runs and due occurrences of scheduled jobs.
fn collect_changes(control: &Control, term: u64) -> Result<Round> {
    let now_ms = control.timer.now_ms();
    let machine = control.machine.lock();
    let mut term_state = control.dispatch.term_state.lock();
    term_state.enter(term, control)?;
    let role_since_ms = control.group.role_since_ms();
    let takeover_until_ms = role_since_ms + lease_bound_ms(control.dispatch.lease_ms);
    let ends = term_state.fleet.pending_ends(&machine.batch, takeover_until_ms, now_ms);
    term_state.fleet.remove_departed(now_ms);
    let wall_ms = wall_ms();
    let due_ms = if machine.batch.has_due_occurrence(wall_ms) { wall_ms } else { 0 };
    Ok(Round { ends, due_ms, ..Round::default() })
}

fn decide(control: &Control, term: u64) -> Result<Plan> {
    let now_ms = control.timer.now_ms();
    let machine = control.machine.lock();
    let mut term_state = control.dispatch.term_state.lock();
    term_state.enter(term, control)?;
    let Term { fleet, planner, admission, room, estimates, .. } = &mut *term_state;
    let remote_factor = control.dispatch.times.remote_factor;
    let stuck = fleet.stuck_runs(&machine.batch, estimates, remote_factor);
    let evacuated = fleet.runs_to_evacuate(&machine.batch, now_ms);
    for (name, _) in &stuck {
        let excluded_ms = fleet.record_stall(name, &machine.batch, now_ms);
        if let Some((run, excluded_ms)) = machine.batch.active_run(name).zip(excluded_ms) {
            log_exclusion(&run.worker, excluded_ms);
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
    fleet.record_starts(&plan.round.starts);
    admission.update(std::mem::take(&mut plan.backlogs), &machine.batch, now_ms);
    room.update(&machine.batch, now_ms);
    Metrics::global().set_state_bytes("accepted_jobs", room.held_bytes());
    for (name, run) in evacuated {
        tracing::info!(target: DECISION, task = %name, run, "stopping run before its worker leaves");
        plan.round.stops.push((name, run));
    }
    for (name, run) in stuck {
        tracing::info!(target: DECISION, task = %name, run, "stopping run that makes no progress");
        plan.round.stops.push((name, run));
    }
    Ok(plan)
}

// Logs the load of each pool at most once per second, however many rounds there are.
fn log_load(control: &Control, plan: &Plan) {
    let now_ms = control.timer.now_ms();
    let last_ms = control.dispatch.load_logged_at_ms.load(Ordering::Relaxed);
    if plan.waiting == 0 || now_ms < last_ms + LOAD_LOG_INTERVAL_MS {
        return;
    }
    control.dispatch.load_logged_at_ms.store(now_ms, Ordering::Relaxed);
    let (waiting, hopeless, promised) = (plan.waiting, plan.expired, plan.promised);
    let beyond_limit = plan.beyond_limit;
    for (pool, used_fraction) in &plan.utilization {
        let percent = (used_fraction * 100.0) as u64;
        tracing::info!(target: DECISION, pool, used_percent = percent, waiting, hopeless, promised, beyond_limit, "load");
    }
    for excess in plan.excess.iter().take(MAX_EXCESS_LINES) {
        let (pool, priority, customer) = (&excess.pool, excess.priority, &excess.customer);
        let claimed_percent = (excess.claimed * 100.0) as u64;
        let fair_percent = (excess.fair * 100.0) as u64;
        tracing::info!(target: DECISION, pool, priority, customer, claimed_percent, fair_percent, "customer yields: it asks for more than its share");
    }
}

pub(super) fn log_exclusion(worker: &str, excluded_ms: u64) {
    tracing::info!(target: DECISION, worker, excluded_ms, "worker excluded: its runs failed or made no progress");
}

fn workers_of_stops(control: &Control, round: &Round) -> BTreeSet<String> {
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

// Logs each of these jobs that has ended.
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
    record_first_starts(control, plan);
    Metrics::global().count_evictions(
        plan.explanations.iter().map(|verdict| verdict.evicted.len() as u64).sum(),
    );
    for verdict in &plan.explanations {
        let (job, occurrence, step) = verdict.step;
        let (seated, evicted, reason) = (verdict.placed, verdict.evicted.len(), verdict.reason);
        let (run_ms, slack_ms) = (verdict.run_ms, verdict.slack_ms);
        for (task, run) in &verdict.evicted {
            tracing::info!(target: DECISION, %task, run, yields_to = %job, "stopping run to make room for a job");
        }
        let waiting = plan.waiting;
        tracing::info!(target: DECISION, %job, occurrence, step, seated, evicted, waiting, run_ms, slack_ms, reason, "placement");
    }
}

fn record_first_starts(control: &Control, plan: &Plan) {
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
