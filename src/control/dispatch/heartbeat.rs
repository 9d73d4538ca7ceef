//! Worker heartbeats: recorded, held open while there is nothing to do, and answered with orders.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;

use super::round::log_exclusion;
use super::{Control, Result, Term};
use crate::batch::balance;
use crate::batch::call::Answer;
use crate::batch::fleet::Verdict;
use crate::batch::table::End;
use crate::batch::worker::{Heartbeat, Orders};
use crate::error::{Code, Error};
use crate::kernel::timer::wall_ms;
use crate::telemetry::{DECISION, Metrics};

/// Longest wait for the round that commits the ended runs of a heartbeat, in milliseconds: a worker
/// drops an answer that comes more than 1 s after it sent the heartbeat.
const COMMIT_WAIT_MS: u64 = 700;
/// Longest time that a heartbeat is held for orders, in milliseconds; the same 1 s limits it.
const MAX_HOLD_MS: u64 = 600;
/// Shortest time for which it is worth holding a heartbeat, in milliseconds.
const MIN_HOLD_MS: u64 = 60;
/// A held heartbeat is released this long before the next run is expected to end, in milliseconds:
/// while it is held, the worker can't report that end.
const END_MARGIN_MS: u64 = 60;
/// Delay of a worker before its next heartbeat, in milliseconds; short, since the leader holds it.
const NEXT_HEARTBEAT_MS: u64 = 20;
/// Delay of a worker before its next heartbeat when the last one was answered without a hold, since
/// a run is about to end or orders were due, in milliseconds; the end of a run triggers one at
/// once.
const NEAR_END_HEARTBEAT_MS: u64 = 150;

pub(super) async fn handle(
    control: &Control,
    receiver: &str,
    heartbeat: Heartbeat,
) -> Result<Answer> {
    if let Some(fault) = heartbeat.fault(wall_ms()) {
        tracing::warn!(target: DECISION, worker = heartbeat.worker, reason = fault, "heartbeat refused");
        return Err(Error::not_run(Code::BadRequest, fault));
    }
    let term = control.group.read_in_term().await?;
    let received_ms = control.timer.now_ms();
    let (worker, stamp) = (heartbeat.worker.clone(), heartbeat.stamp());
    let Some(receipt) = record_heartbeat(control, heartbeat, term, received_ms)? else {
        tracing::debug!(target: DECISION, worker, "heartbeat ignored: outdated, or another writer's");
        return Ok(Answer::Orders(Box::default()));
    };
    let (hold_ms, wake) = (receipt.hold_ms, receipt.wake);
    let mut orders = receipt.orders;
    if !receipt.ends.is_empty() || hold_ms.is_some() {
        if receipt.ends.is_empty() {
            // A round that has orders for the worker ends the wait.
            let hold = Duration::from_millis(hold_ms.unwrap_or(0));
            let _ = tokio::time::timeout(hold, wake.notified()).await;
        } else {
            await_round(control, &receipt.ends).await;
        }
        // Only a leader that is still confirmed may extend the worker's lease.
        control.group.read().await?;
        let machine = control.machine.lock();
        let mut term_state = control.dispatch.term_state.lock();
        term_state.enter(term, control)?;
        let Some(latest) = term_state.fleet.answer(&worker, stamp, &machine.batch) else {
            tracing::debug!(target: DECISION, worker, "held heartbeat superseded by a later one");
            return Ok(Answer::Orders(Box::default()));
        };
        orders = latest;
    }
    let latency_ms = control.timer.now_ms() - received_ms;
    let rate = *control.dispatch.heartbeat_rate.lock();
    let (interval_ms, has_more_orders) = {
        let mut term_state = control.dispatch.term_state.lock();
        term_state.fleet.record_answer(&worker, stamp, control.timer.now_ms());
        orders.next_member = next_member(control, &mut term_state, &worker, receiver);
        let interval_ms = term_state.fleet.min_heartbeat_interval_ms(&worker, rate);
        (interval_ms, term_state.fleet.has_more_orders(&worker))
    };
    let is_held = hold_ms.is_some();
    let is_next_due = is_held || !receipt.is_confirmed || has_more_orders;
    let next_ms = if is_next_due { NEXT_HEARTBEAT_MS } else { NEAR_END_HEARTBEAT_MS };
    orders.lease_ms = Some(control.dispatch.lease_ms);
    orders.next_ms = next_ms.max(interval_ms.saturating_sub(latency_ms));
    log_orders(&worker, &orders);
    Metrics::global().record_heartbeat(latency_ms as f64 / 1_000.0);
    Ok(Answer::Orders(Box::new(orders)))
}

// Member to which the worker should send its next heartbeat.
fn next_member(control: &Control, term_state: &mut Term, worker: &str, receiver: &str) -> String {
    let status = control.group.borrow_status();
    let view = balance::View {
        leader: &control.settings.name,
        followers: &status.responsive_followers(),
        workers: term_state.fleet.size(),
    };
    let now_ms = control.timer.now_ms();
    term_state.balancer.next_member(&view, worker, receiver, now_ms).to_string()
}

// Result of recording a heartbeat.
struct Receipt {
    ends: Vec<End>,
    orders: Orders,
    hold_ms: Option<u64>,
    // Whether the worker has received an answer of this leader before.
    is_confirmed: bool,
    wake: Arc<Notify>,
}

// Records a heartbeat; `None` if it is ignored.
fn record_heartbeat(
    control: &Control,
    heartbeat: Heartbeat,
    term: u64,
    now_ms: u64,
) -> Result<Option<Receipt>> {
    let dispatch = &control.dispatch;
    let worker = heartbeat.worker.clone();
    let machine = control.machine.lock();
    let mut term_state = dispatch.term_state.lock();
    term_state.enter(term, control)?;
    let receipt = term_state.fleet.receive(heartbeat, &machine.batch, dispatch.lease_ms, now_ms);
    if receipt.is_ignored {
        return Ok(None);
    }
    log_verdict(&worker, &receipt.verdict);
    term_state.record_neighbours(&machine.batch, &worker, &receipt.ends, control);
    term_state.record_durations(&machine.batch, &receipt.ends);
    term_state.record_paces(&machine.batch, &worker);
    let orders = term_state.fleet.issue_orders(&worker, &machine.batch);
    let Some(session) = term_state.fleet.session(&worker) else { return Ok(None) };
    if session.has_new_pace() {
        let percent = session.filler_percent();
        tracing::info!(target: DECISION, worker, percent, "pace of tasks that fill a worker changed");
        Metrics::global().count_pace_change();
    }
    let has_orders = !orders.start.is_empty() || !orders.stop.is_empty() || session.has_new_pace();
    if session.is_about_to_leave(now_ms) {
        dispatch.round_requested.notify_one();
    }
    let next_end_ms = session.next_end_ms(&machine.batch, wall_ms());
    let wake = session.orders_ready.clone();
    // The heartbeat after this answer confirms the worker, so that it gets work.
    let is_confirmed = session.is_confirmed();
    let hold_ms = hold_ms(has_orders || !is_confirmed, next_end_ms);
    Ok(Some(Receipt { ends: receipt.ends, orders, hold_ms, is_confirmed, wake }))
}

fn log_verdict(worker: &str, verdict: &Verdict) {
    if let Some(excluded_ms) = verdict.excluded_ms {
        log_exclusion(worker, excluded_ms);
    }
    for (task, delay_ms) in &verdict.held_back {
        tracing::info!(target: DECISION, %task, delay_ms, "restart delayed: the task fails soon after each start");
        Metrics::global().count_delayed_restart();
    }
}

// How long a heartbeat is held for orders; `None` if it is answered at once.
fn hold_ms(is_urgent: bool, next_end_ms: Option<u64>) -> Option<u64> {
    if is_urgent {
        return None;
    }
    let hold_ms = next_end_ms.map_or(MAX_HOLD_MS, |end_ms| end_ms.saturating_sub(END_MARGIN_MS));
    (hold_ms >= MIN_HOLD_MS).then_some(hold_ms.min(MAX_HOLD_MS))
}

fn log_orders(worker: &str, orders: &Orders) {
    for start in &orders.start {
        let (task, run) = (start.task, start.run);
        tracing::info!(target: DECISION, %task, run, worker, term = orders.term, "start order sent");
    }
    for (task, run) in &orders.stop {
        tracing::info!(target: DECISION, %task, run, worker, term = orders.term, "stop order sent");
    }
}

// Waits until a round has committed these ends and decided what starts in the freed capacity.
async fn await_round(control: &Control, ends: &[End]) {
    let mut rounds = control.dispatch.rounds.subscribe();
    rounds.mark_unchanged();
    control.dispatch.round_requested.notify_one();
    let are_ends_committed = || {
        let machine = control.machine.lock();
        !ends.iter().any(|end| machine.batch.accepts_end(&end.task, end.run, end.how))
    };
    let committed = async {
        // A round that was already running may have missed the ends; the next one includes them.
        while rounds.changed().await.is_ok() && !are_ends_committed() {}
    };
    let _ = tokio::time::timeout(Duration::from_millis(COMMIT_WAIT_MS), committed).await;
}

pub(super) async fn leave(
    control: &Control,
    worker: &str,
    incarnation: Option<u64>,
) -> Result<Answer> {
    let term = control.group.read_in_term().await?;
    let runs = {
        let machine = control.machine.lock();
        let mut term_state = control.dispatch.term_state.lock();
        term_state.enter(term, control)?;
        term_state.fleet.mark_leaving(worker, incarnation, control.timer.now_ms());
        // While a heartbeat is held, the worker can't report its last ended runs.
        term_state.fleet.wake(worker);
        machine.batch.runs_on(worker).count()
    };
    tracing::info!(target: DECISION, worker, runs, "worker left");
    control.dispatch.round_requested.notify_one();
    Ok(Answer::Done)
}
