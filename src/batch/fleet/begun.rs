//! Jobs of which a task has begun. A task that is placed begins only when its worker receives the order.

use super::Fleet;
use crate::batch::job::{Job, active_runs};
use crate::batch::table::Table;
use crate::batch::worker::Exit;

impl Fleet {
    /// Number of live jobs of a queue of which no task has begun, as far as this leader knows.
    pub fn count_pending(&self, table: &Table, queue: &str) -> u64 {
        self.count_pending_where(table, |job| job.queue == queue)
    }

    /// As [`Fleet::count_pending`], of the jobs for which a condition holds.
    pub fn count_pending_where(&self, table: &Table, holds: impl Fn(&Job) -> bool) -> u64 {
        let jobs = table.live.values().filter(|job| holds(job));
        jobs.filter(|job| self.is_pending(job)).count() as u64
    }

    // A run on a worker that this leader has not heard may have begun under an earlier one.
    fn is_pending(&self, job: &Job) -> bool {
        if !job.has_started {
            return true;
        }
        let has_begun = self.begun.contains(&job.id) || job.has_progress();
        !has_begun && active_runs(job).all(|(_, run)| self.sessions.contains_key(&run.worker))
    }

    // Records the jobs whose runs the latest heartbeat of a worker lists, other than as refused.
    pub(super) fn record_begun(&mut self, worker: &str, table: &Table) {
        let Some(session) = self.sessions.get(worker) else { return };
        let running = session.heartbeat.running.iter().map(|row| row.task.job);
        let ended = session.heartbeat.ended.iter().filter(|end| end.how != Exit::Refused);
        for job in running.chain(ended.map(|end| end.task.job)) {
            if !self.begun.contains(&job) && table.live.contains_key(&job) {
                self.begun.insert(job);
            }
        }
    }
}
