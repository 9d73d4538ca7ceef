//! Listener for the platform: takes announcements of upstreams and polls of workers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use volo_http::request::Request;
use volo_http::server::route::{Router, post};

use super::http::handle_with_id;
use super::polls;
use super::token::Role;
use super::{Entry, http as shared};
use crate::error::{Code, Error, Result};
use crate::mesh::call::{Answer, Call};
use crate::placement::order::{Order, revision};
use crate::placement::report::Report;
use crate::routing::table::Effect;
use crate::routing::upstream::Announcement;

/// Maximum size of the body of an announcement or poll, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;
/// Interval at which upstreams are to announce themselves, in milliseconds.
const ANNOUNCE_INTERVAL_MS: u64 = 1_000;
/// Maximum time for the leader to answer a worker's report with orders.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum number of times that a report is sent while orders that the leader pushed meanwhile make
/// its answers inconclusive. The leader repeats orders that a worker doesn't confirm.
const MAX_REPORT_ATTEMPTS: usize = 3;

/// Answer to an announcement.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Acknowledgement {
    /// Milliseconds until the next announcement is due.
    pub next_ms: u64,
    /// Addresses of the platform listeners of all entries, starting with this one.
    pub entries: Vec<SocketAddr>,
}

/// A worker's poll.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Poll {
    /// Current state of the worker.
    pub report: Report,
    /// Revision of the orders that the worker already has; 0 if it has none.
    #[serde(default)]
    pub seen: u32,
}

/// Answer to a poll.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Assignment {
    /// Milliseconds for which tasks may run, counted from the time at which the poll was sent.
    pub lease_ms: u64,
    /// Milliseconds to wait before the next poll.
    pub next_ms: u64,
    /// Revision of the orders.
    pub revision: u32,
    /// All current orders; the worker stops tasks that have none.
    pub orders: Vec<Order>,
    /// Addresses of the platform listeners of all entries, starting with this one.
    pub entries: Vec<SocketAddr>,
}

/// Routes of the listener for the platform.
pub(super) fn router(entry: &Arc<Entry>) -> Router {
    let announce = post(handle_with_id(entry, announce));
    let poll = post(handle_with_id(entry, poll));
    Router::new()
        .route("/v1/upstreams/{id}/announce", announce.fallback(shared::not_found))
        .route("/v1/workers/{id}/poll", poll.fallback(shared::not_found))
}

async fn announce(entry: Arc<Entry>, id: String, request: Request) -> Result<Acknowledgement> {
    let (head, body) = request.into_parts();
    entry.tokens.authorize(&head.headers, &Role::Upstream)?;
    shared::check_name("upstream", &id)?;
    let bytes = entry.read_body(body, MAX_BODY_BYTES).await?;
    let announcement: Announcement = shared::parse_json(&bytes)?;
    announcement.check().map_err(|fault| Error::not_run(Code::BadRequest, fault.to_string()))?;
    let now_ms = entry.timer.now_ms();
    let effect = entry.router.upstreams.lock().receive(&id, &announcement, now_ms);
    match effect {
        Effect::Full => {
            return Err(Error::not_run(Code::OverLimit, "the table of upstreams is full"));
        }
        Effect::Changed => entry.broadcast_upstream(&id),
        Effect::Refreshed | Effect::Stale | Effect::AlreadyLeaving => {}
    }
    Ok(Acknowledgement { next_ms: ANNOUNCE_INTERVAL_MS, entries: entry.platform_addresses() })
}

async fn poll(entry: Arc<Entry>, id: String, request: Request) -> Result<Assignment> {
    let (head, body) = request.into_parts();
    entry.tokens.authorize(&head.headers, &Role::Worker)?;
    shared::check_name("worker", &id)?;
    let bytes = entry.read_body(body, MAX_BODY_BYTES).await?;
    let mut poll: Poll = shared::parse_json(&bytes)?;
    if poll.report.shape.accelerators > 32 {
        return Err(Error::not_run(Code::BadRequest, "more than 32 accelerators"));
    }
    poll.report.worker = id;
    entry.check_lease()?;
    let (mut orders, report_update) = entry.polls.record_poll(&poll.report, entry.timer.now_ms());
    if report_update != polls::Update::Unchanged {
        let is_reported = entry.report_to_leader(&poll.report).await;
        match report_update {
            _ if is_reported => entry.polls.record_reported(poll.report),
            // The worker gets no lease until the leader has recorded which entry grants it. This
            // bounds how long a worker's lease can outlast contact with the leader, even if one
            // entry after another is cut off.
            polls::Update::NewWorker => {
                let message = "the control members do not know that this entry holds the worker";
                return Err(Error::not_run(Code::NoLease, message));
            }
            _ => {}
        }
    }
    let orders_changed = orders.wait_for(|orders| revision(orders) != poll.seen);
    let hold_expired =
        entry.timer.sleep(entry.polls.hold_time(entry.settings.times.worker_lease_ms));
    tokio::select! {
        _ = orders_changed => {}
        () = hold_expired => {}
    }
    let current = orders.borrow().clone();
    // The worker's lease may start only while the entry's own lease is valid, which bounds how long
    // it can outlast contact with the leader.
    entry.check_lease()?;
    Ok(Assignment {
        lease_ms: entry.settings.times.worker_lease_ms,
        next_ms: 0,
        revision: revision(&current),
        orders: current,
        entries: entry.platform_addresses(),
    })
}

impl Entry {
    fn platform_addresses(&self) -> Vec<SocketAddr> {
        let mut addresses = vec![self.settings.listen.platform];
        addresses.extend(self.settings.peers.iter().filter_map(|peer| peer.platform));
        addresses
    }

    // Sends a worker's report to the leader and sets the orders that it answers. Returns whether the
    // leader has the report.
    async fn report_to_leader(&self, report: &Report) -> bool {
        let mut is_reported = false;
        for _ in 0..MAX_REPORT_ATTEMPTS {
            let pushes = self.polls.pushes(&report.worker);
            let call = Call::Report(report.clone());
            let Ok(Answer::Orders(orders)) = self.client.call(call, REPORT_TIMEOUT).await else {
                return is_reported;
            };
            is_reported = true;
            if self.polls.set_orders(&report.worker, orders, pushes) {
                break;
            }
        }
        is_reported
    }

    fn check_lease(&self) -> Result<()> {
        let now_ms = self.timer.now_ms();
        if self.lease.lock().is_valid(now_ms) {
            return Ok(());
        }
        let message = "this entry holds no lease from the control members";
        Err(Error::not_run(Code::NoLease, message))
    }
}
