//! Runs of earlier incarnations of a worker, whose start orders may still be on their way.
//!
//! The answer to a heartbeat can't name the incarnation that it is meant for. If the worker crashes and starts
//! again meanwhile, the next incarnation may receive the answer and begin the runs.

use std::collections::{BTreeMap, BTreeSet};

use crate::batch::job::{Run, TaskId};
use crate::batch::table::Table;
use crate::batch::worker::Heartbeat;

/// Time after the first heartbeat of an incarnation from which on the worker receives no more answers to
/// heartbeats of former ones, in milliseconds: an answer is dropped 1 s after its heartbeat was sent.
const ANSWER_LIFETIME_MS: u64 = 1_100;

/// What a leader knows of the earlier incarnations of a worker.
#[derive(Debug, Default)]
pub(super) struct Former {
    // The last of them, if this leader has heard it.
    incarnation: Option<u64>,
    // Runs that they have listed, with their latest checkpoints.
    listed: BTreeMap<(TaskId, u32), String>,
    // Clock of the current incarnation in its first heartbeat that this leader received, and when that was.
    first_clock_ms: Option<u64>,
    first_heard_ms: u64,
    // Runs whose start orders were revoked with the answer to the latest heartbeat.
    revoked: BTreeSet<(TaskId, u32)>,
}

impl Former {
    /// Of a worker whose current incarnation is heard for the first time.
    pub(super) fn of_first_heartbeat(heartbeat: &Heartbeat, now_ms: u64) -> Self {
        let first_clock_ms = heartbeat.clock_ms;
        Self { first_clock_ms, first_heard_ms: now_ms, ..Self::default() }
    }

    /// Adds the incarnation before the current one, with its latest heartbeat and what was known of those
    /// before it.
    pub(super) fn add(&mut self, latest: &Heartbeat, earlier: &Self, table: &Table) {
        self.incarnation = Some(latest.incarnation);
        self.listed.clone_from(&earlier.listed);
        for row in &latest.running {
            self.listed.insert((row.task, row.run), row.checkpoint.clone());
        }
        for end in &latest.ended {
            self.listed.insert((end.task, end.run), end.checkpoint.clone());
        }
        self.listed.retain(|(task, run), _| table.is_run_active(task, *run));
    }

    /// Records that the answer to the latest heartbeat revokes the start order of a run: a worker does not
    /// begin a run that it was ordered to stop.
    pub(super) fn revoke(&mut self, task: TaskId, run: u32) {
        self.revoked.insert((task, run));
    }

    /// Forgets what the answer to the previous heartbeat revoked.
    pub(super) fn reset_revoked(&mut self) {
        self.revoked.clear();
    }

    /// Whether a run of an earlier incarnation that a heartbeat does not list can no longer begin on the
    /// worker. `followed_ms` is when the answer to the heartbeat before was sent, if this one follows it.
    pub(super) fn is_over(
        &self,
        task: &TaskId,
        run: &Run,
        heartbeat: &Heartbeat,
        followed_ms: Option<u64>,
    ) -> bool {
        let key = (*task, run.number);
        // A worker has one call outstanding at a time, so that no answer to an earlier heartbeat than the one
        // that lists the run can arrive.
        if self.listed.contains_key(&key) {
            return true;
        }
        // After several restarts in a short time, an answer to an earlier incarnation may have been taken for
        // the one that revokes the order.
        let is_of_last_incarnation = self.incarnation == Some(run.incarnation);
        if is_of_last_incarnation && followed_ms.is_some() && self.revoked.contains(&key) {
            return true;
        }
        let clocks_ms = heartbeat.clock_ms.zip(self.first_clock_ms);
        let by_worker_ms = clocks_ms.map_or(0, |(clock_ms, first)| clock_ms.saturating_sub(first));
        let by_leader_ms = followed_ms.map_or(0, |at_ms| at_ms.saturating_sub(self.first_heard_ms));
        by_worker_ms.max(by_leader_ms) >= ANSWER_LIFETIME_MS
    }

    /// Latest checkpoint of a run that an earlier incarnation has reported; empty if there is none.
    pub(super) fn checkpoint(&self, task: &TaskId, run: u32) -> &str {
        self.listed.get(&(*task, run)).map_or("", String::as_str)
    }
}
