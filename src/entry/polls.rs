//! Polls of workers that this entry holds.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::sync::watch;

use crate::kernel::lock::{Rank, RankedMutex};
use crate::placement::order::Order;
use crate::placement::report::Report;

struct Held {
    orders: watch::Sender<Vec<Order>>,
    report: Option<Report>,
    heard_ms: u64,
    // The leader knows that this entry holds the worker.
    is_known: bool,
}

/// What a poll tells the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum News {
    /// Nothing new.
    None,
    /// The report changed.
    Changed,
    /// The leader does not know yet that this entry holds the worker.
    First,
}

/// Workers by name.
pub struct Polls {
    held: RankedMutex<BTreeMap<String, Held>>,
}

impl Default for Polls {
    fn default() -> Self {
        Self { held: RankedMutex::new(Rank::Polls, BTreeMap::new()) }
    }
}

/// Shortest time for which a poll is held, in milliseconds.
const HOLD_MS: u64 = 1_000;
/// Time by which polls are held longer for each worker of this entry, in milliseconds.
const HOLD_PER_WORKER_MS: u64 = 15;

/// Milliseconds for which a worker counts as held by this entry after its last poll.
const HELD_MS: u64 = 3_000;

impl Polls {
    /// Puts new orders for a worker.
    pub fn put(&self, worker: &str, orders: Vec<Order>) {
        if let Some(held) = self.held.lock().get(worker) {
            held.orders.send_replace(orders);
        }
    }

    /// Notes a poll. Returns the worker's orders, and what the leader is to be told.
    pub fn hear(&self, report: &Report, now_ms: u64) -> (watch::Receiver<Vec<Order>>, News) {
        let mut all = self.held.lock();
        let held = all.entry(report.worker.clone()).or_insert_with(|| Held {
            orders: watch::Sender::new(Vec::new()),
            report: None,
            heard_ms: 0,
            is_known: false,
        });
        // From then on, renewals no longer name the worker.
        if held.heard_ms + HELD_MS <= now_ms {
            held.is_known = false;
        }
        held.heard_ms = now_ms;
        let news = if !held.is_known {
            News::First
        } else if held.report.as_ref().is_none_or(|told| report.is_significant_update(told)) {
            News::Changed
        } else {
            News::None
        };
        (held.orders.subscribe(), news)
    }

    /// Notes that the leader has a worker's report.
    pub fn reported(&self, report: Report) {
        if let Some(held) = self.held.lock().get_mut(&report.worker) {
            held.report = Some(report);
            held.is_known = true;
        }
    }

    /// Workers heard lately, sorted by name.
    pub fn heard(&self, now_ms: u64) -> Vec<String> {
        let held = self.held.lock();
        let lately = held.iter().filter(|(_, held)| held.heard_ms + HELD_MS > now_ms);
        lately.map(|(name, _)| name.clone()).collect()
    }

    /// Time for which a poll is held while it has no news: longer with more workers, so that what
    /// they cost an entry grows slower than their number, and at most half a worker's lease.
    pub fn hold(&self, lease_ms: u64) -> Duration {
        let workers = self.held.lock().len() as u64;
        let longest_ms = (lease_ms / 2).max(1);
        let hold_ms = (workers * HOLD_PER_WORKER_MS).max(HOLD_MS);
        Duration::from_millis(hold_ms.min(longest_ms))
    }

    /// Forgets that reports were passed on, so that a new leader gets them again.
    pub fn forget_reports(&self) {
        for held in self.held.lock().values_mut() {
            held.report = None;
        }
    }
}
