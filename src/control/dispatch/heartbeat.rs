//! Heartbeats of workers: heard, held, and answered with orders.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;

use super::{Control, Result};
use crate::batch::call::Answer;
use crate::batch::table::End;
use crate::batch::worker::{Heartbeat, Orders};
use crate::kernel::timer::wall_ms;
use crate::telemetry::{DECISION, Metrics};

/// Longest wait of a heartbeat for the round that stores its ends: a worker drops an answer that
/// comes later than a second after it sent the heartbeat.
const STORE_MS: u64 = 700;
/// Longest wait of a heartbeat for orders, bounded in the same way.
const HOLD_MS: u64 = 600;
/// Shortest wait that is worth holding a heartbeat for, in milliseconds.
const HOLD_MIN_MS: u64 = 60;
/// Part of the time until the next end during which a heartbeat is not held, in milliseconds: a
/// held heartbeat delays the news of an end.
const END_MARGIN_MS: u64 = 60;
/// Wait of a worker before its next heartbeat, in milliseconds; its heartbeats are held instead.
const NEXT_MS: u64 = 20;
/// Wait of a worker whose next end is near, in milliseconds; the end begins a heartbeat at once.
const NEAR_END_MS: u64 = 150;

pub(super) async fn answer(control: &Control, beat: Heartbeat) -> Result<Answer> {
    control.group.read().await?;
    let begun_ms = control.timer.now_ms();
    let worker = beat.worker.clone();
    let Some(heard) = hear(control, beat, begun_ms) else {
        tracing::debug!(target: DECISION, worker, "late heartbeat dropped");
        return Ok(Answer::Orders(Box::default()));
    };
    let (hold_ms, wake) = (heard.hold_ms, heard.wake);
    let mut orders = heard.orders;
    if !heard.ends.is_empty() || hold_ms.is_some() {
        if heard.ends.is_empty() {
            // The round that has orders for the worker wakes this heartbeat.
            let held = Duration::from_millis(hold_ms.unwrap_or(0));
            let _ = tokio::time::timeout(held, wake.notified()).await;
        } else {
            await_round(control, &heard.ends).await;
        }
        // A lease needs a leader that is one now.
        control.group.read().await?;
        let machine = control.machine.lock();
        orders = control.dispatch.desk.lock().fleet.issue_orders(&worker, &machine.batch);
    }
    let answered_ms = control.timer.now_ms() - begun_ms;
    let interval_ms = control.dispatch.desk.lock().fleet.min_heartbeat_interval_ms();
    let next_ms = if hold_ms.is_some() { NEXT_MS } else { NEAR_END_MS };
    orders.lease_ms = Some(control.dispatch.lease_ms);
    orders.term = control.standing().term;
    orders.next_ms = next_ms.max(interval_ms.saturating_sub(answered_ms));
    orders.leader = control.settings.name.clone();
    log_orders(&worker, &orders);
    Metrics::global().record_beat(answered_ms as f64 / 1_000.0);
    Ok(Answer::Orders(Box::new(orders)))
}

// What a heartbeat meant, and how long its answer is held.
struct Heard {
    ends: Vec<End>,
    orders: Orders,
    hold_ms: Option<u64>,
    wake: Arc<Notify>,
}

// Takes a heartbeat; `None` where it is late.
fn hear(control: &Control, beat: Heartbeat, now_ms: u64) -> Option<Heard> {
    let dispatch = &control.dispatch;
    let worker = beat.worker.clone();
    let machine = control.machine.lock();
    let mut desk = dispatch.desk.lock();
    desk.renew(control);
    let heard = desk.fleet.receive(beat, &machine.batch, dispatch.lease_ms, now_ms);
    if heard.is_stale {
        return None;
    }
    desk.learn(&machine.batch, &heard.ends);
    desk.ends.extend(heard.ends.iter().cloned());
    let orders = desk.fleet.issue_orders(&worker, &machine.batch);
    let has_orders = !orders.start.is_empty() || !orders.stop.is_empty();
    let session = desk.fleet.session(&worker)?;
    if session.is_about_to_leave(now_ms) {
        dispatch.changed.notify_one();
    }
    let next_end_ms = session.next_end_ms(&machine.batch, wall_ms());
    let wake = session.orders_ready.clone();
    Some(Heard { ends: heard.ends, orders, hold_ms: hold_ms(has_orders, next_end_ms), wake })
}

// How long a heartbeat is held for orders, if it is.
fn hold_ms(has_orders: bool, next_end_ms: Option<u64>) -> Option<u64> {
    if has_orders {
        return None;
    }
    let until_ms = next_end_ms.map_or(HOLD_MS, |end_ms| end_ms.saturating_sub(END_MARGIN_MS));
    (until_ms >= HOLD_MIN_MS).then_some(until_ms.min(HOLD_MS))
}

fn log_orders(worker: &str, orders: &Orders) {
    for start in &orders.start {
        let (task, run) = (start.task, start.run);
        tracing::info!(target: DECISION, %task, run, worker, term = orders.term, "start told");
    }
    for (task, run) in &orders.stop {
        tracing::info!(target: DECISION, %task, run, worker, term = orders.term, "stop told");
    }
}

// Waits until a round has stored these ends and decided what starts in the freed room.
async fn await_round(control: &Control, ends: &[End]) {
    let mut rounds = control.dispatch.rounds.subscribe();
    rounds.mark_unchanged();
    control.dispatch.changed.notify_one();
    let is_stored = || {
        let machine = control.machine.lock();
        !ends.iter().any(|end| machine.batch.is_run_active(&end.task, end.run))
    };
    let stored = async {
        // A round that was under way may have missed the news: the one after it has them.
        while rounds.changed().await.is_ok() && !is_stored() {}
    };
    let _ = tokio::time::timeout(Duration::from_millis(STORE_MS), stored).await;
}

pub(super) async fn leave(
    control: &Control,
    worker: &str,
    incarnation: Option<u64>,
) -> Result<Answer> {
    control.group.read().await?;
    let runs = {
        let machine = control.machine.lock();
        let mut desk = control.dispatch.desk.lock();
        desk.renew(control);
        desk.fleet.mark_leaving(worker, incarnation, control.timer.now_ms());
        // A heartbeat that is held would keep the worker from listing its last ends.
        desk.fleet.wake(worker);
        machine.batch.runs_on(worker).count()
    };
    tracing::info!(target: DECISION, worker, runs, "worker left");
    control.dispatch.changed.notify_one();
    Ok(Answer::Done)
}
