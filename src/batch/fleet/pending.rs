//! Ends of runs that the leader knows of and that the table may not have recorded yet.

use std::collections::BTreeMap;

use crate::batch::job::TaskId;
use crate::batch::table::{End, Table};
use crate::batch::worker::Exit;

/// Ends that wait to be recorded, by task and run. An end stays until the table shows that it was
/// recorded: the outcome of a proposal may be unknown, and it can still be committed later.
#[derive(Debug, Default)]
pub(super) struct Ends {
    by_run: BTreeMap<(TaskId, u32), End>,
}

impl Ends {
    /// Adds an end. One that was inferred, as lapsed, is replaced by what the run's worker reports, and
    /// never replaces that.
    pub(super) fn add(&mut self, end: End) {
        let key = (end.task, end.run);
        let is_known = |known: &End| known.how != Exit::Lapsed || end.how == Exit::Lapsed;
        if self.by_run.get(&key).is_some_and(is_known) {
            return;
        }
        self.by_run.insert(key, end);
    }

    /// Removes the ends that the table has recorded or that no longer change it.
    pub(super) fn remove_recorded(&mut self, table: &Table) {
        self.by_run.retain(|_, end| table.accepts_end(&end.task, end.run, end.how));
    }

    /// Whether the end of a run waits to be recorded.
    pub(super) fn contains(&self, task: &TaskId, run: u32) -> bool {
        self.by_run.contains_key(&(*task, run))
    }

    /// Whether an end of the same run, of the same kind, waits to be recorded.
    pub(super) fn has_exit(&self, end: &End) -> bool {
        self.by_run.get(&(end.task, end.run)).is_some_and(|known| known.how == end.how)
    }

    /// Whether the end of a run of any task of a step waits to be recorded.
    pub(super) fn contains_step_run(&self, task: &TaskId, run: u32) -> bool {
        self.of_step(task).any(|end| end.run == run)
    }

    /// Ends of runs of the tasks of a step.
    pub(super) fn of_step(&self, task: &TaskId) -> impl Iterator<Item = &End> {
        let first = (TaskId { index: 0, ..*task }, 0);
        let last = (TaskId { index: u32::MAX, ..*task }, u32::MAX);
        self.by_run.range(first..=last).map(|(_, end)| end)
    }

    /// All ends.
    pub(super) fn iter(&self) -> impl Iterator<Item = &End> {
        self.by_run.values()
    }
}
