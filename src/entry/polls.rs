//! Workers that poll this entry, with the orders and reports that pass through it.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::sync::watch;

use crate::kernel::lock::{Mutex, Rank};
use crate::placement::order::Order;
use crate::placement::report::Report;

// A worker that polls this entry.
struct Worker {
    orders: watch::Sender<Vec<Order>>,
    // Latest report that the leader has.
    report: Option<Report>,
    // Time of the latest poll.
    polled_ms: u64,
    // Whether the leader has been informed that the worker polls this entry.
    is_known_to_leader: bool,
    // Highest term of the leaders that pushed orders.
    term: u64,
    // Number of times that a leader pushed orders.
    pushes: u64,
}

/// Whether the leader needs the report of a poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Update {
    /// The leader has the report already.
    Unchanged,
    /// The report changed significantly.
    Changed,
    /// The leader has not yet been informed that the worker polls this entry.
    NewWorker,
}

/// The workers that poll this entry, by name.
pub struct Polls {
    workers: Mutex<BTreeMap<String, Worker>>,
}

impl Default for Polls {
    fn default() -> Self {
        Self { workers: Mutex::new(Rank::Polls, BTreeMap::new()) }
    }
}

/// Minimum time for which a poll without new orders is held, in milliseconds.
const MIN_HOLD_MS: u64 = 1_000;
/// Hold time for each worker of this entry, in milliseconds; applies where the sum exceeds the
/// minimum.
const HOLD_PER_WORKER_MS: u64 = 15;

/// Milliseconds after its latest poll for which a worker belongs to this entry.
const POLL_TTL_MS: u64 = 3_000;

impl Polls {
    /// Sets the orders of a worker that the leader of a term pushed, and wakes its open poll. Those
    /// of an earlier leader are ignored: a worker stops tasks that no order names. Leaders that run
    /// an older release push without a term, as 0.
    pub fn push_orders(&self, worker: &str, orders: Vec<Order>, term: u64) {
        let mut workers = self.workers.lock();
        let Some(worker) = workers.get_mut(worker) else { return };
        if term != 0 && term < worker.term {
            return;
        }
        worker.term = worker.term.max(term);
        worker.pushes += 1;
        worker.orders.send_replace(orders);
    }

    /// Sets the orders that the leader gave in the answer to a report, unless it has pushed orders
    /// since: which of both are newer is unknown then. `pushes` is the count from before the report
    /// was sent. Returns whether the orders were set.
    #[must_use]
    pub fn set_orders(&self, worker: &str, orders: Vec<Order>, pushes: u64) -> bool {
        let workers = self.workers.lock();
        let Some(worker) = workers.get(worker).filter(|worker| worker.pushes == pushes) else {
            return false;
        };
        worker.orders.send_replace(orders);
        true
    }

    /// Number of times that orders were pushed for a worker.
    pub fn pushes(&self, worker: &str) -> u64 {
        self.workers.lock().get(worker).map_or(0, |worker| worker.pushes)
    }

    /// Records a poll. Returns the worker's orders and whether the leader needs the report.
    pub fn record_poll(
        &self,
        report: &Report,
        now_ms: u64,
    ) -> (watch::Receiver<Vec<Order>>, Update) {
        let mut workers = self.workers.lock();
        let worker = workers.entry(report.worker.clone()).or_insert_with(|| Worker {
            orders: watch::Sender::new(Vec::new()),
            report: None,
            polled_ms: 0,
            is_known_to_leader: false,
            term: 0,
            pushes: 0,
        });
        // From then on, lease renewals no longer named the worker.
        if worker.polled_ms + POLL_TTL_MS <= now_ms {
            worker.is_known_to_leader = false;
        }
        worker.polled_ms = now_ms;
        let report_update = if !worker.is_known_to_leader {
            Update::NewWorker
        } else if worker.report.as_ref().is_none_or(|known| report.is_significant_update(known)) {
            Update::Changed
        } else {
            Update::Unchanged
        };
        (worker.orders.subscribe(), report_update)
    }

    /// Records that the leader has received a worker's report.
    pub fn record_reported(&self, report: Report) {
        if let Some(worker) = self.workers.lock().get_mut(&report.worker) {
            worker.report = Some(report);
            worker.is_known_to_leader = true;
        }
    }

    /// Names of the workers that polled recently, sorted.
    pub fn active_workers(&self, now_ms: u64) -> Vec<String> {
        let workers = self.workers.lock();
        let active = workers.iter().filter(|(_, worker)| worker.polled_ms + POLL_TTL_MS > now_ms);
        active.map(|(name, _)| name.clone()).collect()
    }

    /// Time for which a poll is held while there are no new orders. It grows with the number of
    /// workers, so that the load on the entry grows more slowly than that number, up to half a
    /// worker's lease.
    pub fn hold_time(&self, lease_ms: u64) -> Duration {
        let worker_count = self.workers.lock().len() as u64;
        let max_hold_ms = (lease_ms / 2).max(1);
        let hold_ms = (worker_count * HOLD_PER_WORKER_MS).max(MIN_HOLD_MS);
        Duration::from_millis(hold_ms.min(max_hold_ms))
    }

    /// Clears the record of reports that were passed on, so that a new leader gets them again.
    pub fn clear_reports(&self) {
        for worker in self.workers.lock().values_mut() {
            worker.report = None;
        }
    }
}
