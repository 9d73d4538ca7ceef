//! Learns at the leader which tasks slow each other down, and logs it.

use std::collections::BTreeSet;

use super::{Control, Jobs, Term};
use crate::batch::interference::Pair;
use crate::batch::table::End;
use crate::kernel::timer::wall_ms;
use crate::telemetry::{DECISION, Metrics};

/// Interval between the latencies of a worker that are learned from, in milliseconds: each covers half
/// a second.
const LATENCY_INTERVAL_MS: u64 = 1_000;
/// Least time between two looks for pairs to log, in milliseconds.
const PAIRS_CHECK_INTERVAL_MS: u64 = 1_000;

impl Term {
    /// Learns from a worker's latest heartbeat: the ends of its runs, which the table still places on it, and
    /// latencies.
    pub(super) fn record_neighbours(
        &mut self,
        table: &Jobs,
        worker: &str,
        ends: &[End],
        control: &Control,
    ) {
        let Self { fleet, estimates, .. } = self;
        let Some(session) = fleet.session_mut(worker) else { return };
        let remote_factor = control.dispatch.times.remote_factor;
        for end in ends {
            let is_whole = table.live.get(&end.task.job).is_some_and(|job| {
                let step = &job.spec.steps[end.task.step as usize];
                let is_near = step.data_rack.is_empty() || step.data_rack == session.heartbeat.rack;
                let is_new = job.task(&end.task).is_some_and(|task| task.checkpoint.is_empty());
                is_near && is_new && !step.is_lasting
            });
            let is_measure = is_whole && !session.was_paced(&end.task, end.run);
            let expected_ms = is_measure
                .then(|| session.expected_run_ms(&end.task, table, estimates, remote_factor));
            estimates.interference.observe_end(table, end, expected_ms, wall_ms());
        }
        if session.take_latency_turn(LATENCY_INTERVAL_MS, control.timer.now_ms()) {
            let percent = session.filler_percent();
            let heartbeat = &session.heartbeat;
            estimates.interference.observe_latencies(table, heartbeat, percent, wall_ms());
        }
    }
}

/// Pairs of images of which one slows the other down, as they were logged last.
#[derive(Debug, Default)]
pub(super) struct PairLog {
    known: BTreeSet<(String, String)>,
    checked_ms: u64,
}

impl PairLog {
    /// Logs the pairs that have become certain or are so no longer, at most once in
    /// [`PAIRS_CHECK_INTERVAL_MS`].
    pub(super) fn update(&mut self, control: &Control) {
        let now_ms = control.timer.now_ms();
        if now_ms < self.checked_ms + PAIRS_CHECK_INTERVAL_MS {
            return;
        }
        self.checked_ms = now_ms;
        let pairs = control.dispatch.term_state.lock().estimates.interference.pairs(wall_ms());
        Metrics::global().set_interfering_pairs(pairs.len() as u64);
        let mut certain = BTreeSet::new();
        for Pair { image, beside, slowdown } in pairs {
            let percent = (slowdown * 100.0) as u64;
            let key = (image, beside);
            if !self.known.contains(&key) {
                let (image, beside) = &key;
                tracing::info!(target: DECISION, image, beside, percent, "runs take longer beside others");
            }
            certain.insert(key);
        }
        for (image, beside) in self.known.difference(&certain) {
            tracing::info!(target: DECISION, image, beside, "runs are no longer known to take longer beside others");
        }
        self.known = certain;
    }
}
