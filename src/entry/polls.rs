//! Polls of workers that this entry holds.

use std::collections::BTreeMap;

use tokio::sync::watch;

use crate::kernel::lock::{Rank, Table};
use crate::placement::order::Order;
use crate::placement::report::Report;

struct Held {
    orders: watch::Sender<Vec<Order>>,
    report: Option<Report>,
    heard_ms: u64,
}

/// Workers by name.
pub struct Polls {
    held: Table<BTreeMap<String, Held>>,
}

impl Default for Polls {
    fn default() -> Self {
        Self { held: Table::new(Rank::Polls, BTreeMap::new()) }
    }
}

/// Milliseconds for which a worker counts as held by this entry after its last poll.
const HELD_MS: u64 = 3_000;

impl Polls {
    /// Puts new orders for a worker.
    pub fn put(&self, worker: &str, orders: Vec<Order>) {
        if let Some(held) = self.held.lock().get(worker) {
            held.orders.send_replace(orders);
        }
    }

    /// Notes a poll. Returns the worker's orders, and whether the report says anything new.
    pub fn hear(&self, report: &Report, now_ms: u64) -> (watch::Receiver<Vec<Order>>, bool) {
        let mut all = self.held.lock();
        let held = all.entry(report.worker.clone()).or_insert_with(|| Held {
            orders: watch::Sender::new(Vec::new()),
            report: None,
            heard_ms: 0,
        });
        let stale = held.heard_ms + HELD_MS < now_ms;
        let is_news = stale || held.report.as_ref() != Some(report);
        held.heard_ms = now_ms;
        (held.orders.subscribe(), is_news)
    }

    /// Notes that the leader has a worker's report.
    pub fn reported(&self, report: Report) {
        if let Some(held) = self.held.lock().get_mut(&report.worker) {
            held.report = Some(report);
        }
    }

    /// Workers heard lately, sorted by name.
    pub fn heard(&self, now_ms: u64) -> Vec<String> {
        let held = self.held.lock();
        let lately = held.iter().filter(|(_, held)| held.heard_ms + HELD_MS > now_ms);
        lately.map(|(name, _)| name.clone()).collect()
    }

    /// Forgets that reports were passed on, so that a new leader gets them again.
    pub fn forget_reports(&self) {
        for held in self.held.lock().values_mut() {
            held.report = None;
        }
    }
}
