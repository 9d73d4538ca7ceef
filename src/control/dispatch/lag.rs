//! Watches how late the leader's timers are, and adapts the rate of heartbeats to it.

use std::sync::Arc;
use std::time::Duration;

use super::Control;
use crate::telemetry::DECISION;

/// Interval between two measurements, in milliseconds.
const INTERVAL_MS: u64 = 200;

/// Measures the lateness of a timer in an endless loop, while this member leads.
pub(in crate::control) async fn watch(control: Arc<Control>) {
    loop {
        let due_ms = control.timer.now_ms() + INTERVAL_MS;
        control.timer.sleep(Duration::from_millis(INTERVAL_MS)).await;
        if !control.group.is_leader() {
            continue;
        }
        let lag_ms = control.timer.now_ms().saturating_sub(due_ms);
        let (before, after) = {
            let mut rate = control.dispatch.heartbeat_rate.lock();
            let before = rate.per_s();
            rate.observe(lag_ms);
            (before, rate.per_s())
        };
        if after < before {
            tracing::info!(target: DECISION, lag_ms, before, after, "heartbeat rate reduced");
        }
    }
}
