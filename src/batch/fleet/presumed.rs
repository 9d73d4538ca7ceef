//! Runs that were declared ended before the leases of their workers had.

use std::collections::BTreeMap;

use crate::batch::job::TaskId;
use crate::batch::table::Table;
use crate::batch::worker::{Exit, Heartbeat};

/// Runs of gangs that have ended on silent workers. How they ended is not known: until the lease of its
/// worker has expired, a run may still be reported as failed, which counts as an attempt.
#[derive(Debug, Default)]
pub(super) struct Runs {
    // When the lease of each run's worker has certainly expired, in milliseconds.
    lease_until_ms: BTreeMap<(TaskId, u32), u64>,
}

impl Runs {
    pub(super) fn add(&mut self, task: TaskId, run: u32, lease_until_ms: u64) {
        self.lease_until_ms.insert((task, run), lease_until_ms);
    }

    /// Extends the leases of the runs that a heartbeat lists as running, since it was composed before they
    /// ended.
    pub(super) fn extend(&mut self, heartbeat: &Heartbeat, lease_until_ms: u64) {
        if self.lease_until_ms.is_empty() {
            return;
        }
        for row in &heartbeat.running {
            if let Some(until_ms) = self.lease_until_ms.get_mut(&(row.task, row.run)) {
                *until_ms = lease_until_ms.max(*until_ms);
            }
        }
    }

    /// Removes the runs that can no longer be reported as failed, and those whose failure was recorded.
    pub(super) fn remove_settled(&mut self, table: &Table, now_ms: u64) {
        self.lease_until_ms.retain(|(task, run), until_ms| {
            now_ms < *until_ms && table.accepts_end(task, *run, Exit::Failed)
        });
    }

    /// Runs of the tasks of a step, as pairs of task index and run.
    pub(super) fn of_step(&self, task: &TaskId) -> impl Iterator<Item = (u32, u32)> {
        let first = (TaskId { index: 0, ..*task }, 0);
        let last = (TaskId { index: u32::MAX, ..*task }, u32::MAX);
        self.lease_until_ms.range(first..=last).map(|((task, run), _)| (task.index, *run))
    }
}
