//! Long-running tasks that fail soon after each start: their restarts are delayed.

use crate::batch::bounded::Bounded;
use crate::batch::job::TaskId;

/// Most tasks whose failures are counted.
const MAX_TASKS: usize = 4_096;
/// Number of early failures in a row after which a task starts again at once.
const MAX_IMMEDIATE_RESTARTS: u32 = 2;
/// Delay of the first restart that is delayed, in milliseconds; doubles with each further one.
const FIRST_DELAY_MS: u64 = 500;
/// Longest delay of a restart, in milliseconds: a long-running task has to run again within 6 s.
const MAX_DELAY_MS: u64 = 4_000;

/// Tasks that failed before they had been at work for a while.
#[derive(Debug, Default)]
pub(super) struct Tracker {
    by_task: Bounded<TaskId, Loop, MAX_TASKS>,
}

#[derive(Debug, Default)]
struct Loop {
    failures: u32,
    held_until_ms: u64,
}

impl Tracker {
    /// Records that a task failed early; returns for how long it is held back, in milliseconds, if it is.
    pub(super) fn record_failure(&mut self, task: &TaskId, now_ms: u64) -> Option<u64> {
        let known = self.by_task.update(task);
        known.failures = known.failures.saturating_add(1);
        let doublings = known.failures.checked_sub(MAX_IMMEDIATE_RESTARTS + 1)?;
        let delay_ms = (FIRST_DELAY_MS << doublings.min(8)).min(MAX_DELAY_MS);
        known.held_until_ms = now_ms + delay_ms;
        Some(delay_ms)
    }

    /// Records that a task was at work for a while.
    pub(super) fn reset(&mut self, task: &TaskId) {
        if self.by_task.get(task).is_some() {
            *self.by_task.update(task) = Loop::default();
        }
    }

    /// Whether a task may not start yet.
    pub(super) fn is_held_back(&self, task: &TaskId, now_ms: u64) -> bool {
        self.by_task.get(task).is_some_and(|known| now_ms < known.held_until_ms)
    }
}
