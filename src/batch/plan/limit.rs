//! Limit on the runs of all workers together: each run takes memory on every member.

use super::{Candidate, View};
use crate::batch::job::{Job, active_runs};

/// Part of the limit that is left to urgent work, to restarts and to jobs of which nothing runs.
const RESERVED_DIVISOR: u64 = 8;

/// Runs that a decision may still start.
#[derive(Clone, Copy, Debug)]
pub(super) struct Budget {
    left: u64,
    reserved: u64,
}

impl Budget {
    /// What a limit leaves beside the runs that are placed.
    pub(super) fn new(view: &View<'_>, max_runs: u64) -> Self {
        let workers = view.table.occupied_workers();
        let placed: u64 = workers.map(|worker| view.table.count_runs_on(worker)).sum();
        let reserved = max_runs / RESERVED_DIVISOR;
        Self { left: max_runs.saturating_sub(placed), reserved }
    }

    /// Maximum number of the candidate's tasks that may start; 0 if it is a gang that may not start as a
    /// whole.
    pub(super) fn for_candidate(&self, candidate: &Candidate<'_>) -> u64 {
        let tasks = candidate.tasks.len() as u64;
        let unreserved = self.left.saturating_sub(self.reserved);
        let is_privileged = candidate.job.terms.priority == 0 || candidate.is_restart;
        let allowed = if is_privileged { self.left } else { unreserved };
        if !candidate.step.is_gang {
            // A job makes progress as long as one of its tasks runs.
            let least = u64::from(allowed == 0 && self.left > 0 && is_idle(candidate.job));
            return allowed.max(least).min(tasks);
        }
        let is_allowed = tasks <= allowed || (tasks <= self.left && is_idle(candidate.job));
        if is_allowed { tasks } else { 0 }
    }

    pub(super) fn spend(&mut self, runs: usize) {
        self.left = self.left.saturating_sub(runs as u64);
    }
}

fn is_idle(job: &Job) -> bool {
    active_runs(job).next().is_none()
}
