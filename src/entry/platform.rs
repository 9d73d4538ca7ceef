//! Listener for the platform: upstreams announce themselves, workers poll.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use volo_http::request::Request;
use volo_http::server::route::{Router, post};

use super::http::on_id;
use super::polls::News;
use super::token::Role;
use super::{Entry, http as shared};
use crate::error::{Code, Error, Result};
use crate::mesh::call::{Answer, Call};
use crate::placement::order::{Order, revision};
use crate::placement::report::Report;
use crate::routing::table::Effect;
use crate::routing::upstream::Announcement;

/// Longest body of an announcement or poll, in bytes.
const BODY_BYTES: usize = 1 << 20;
/// Milliseconds between announcements of an upstream.
const ANNOUNCE_MS: u64 = 1_000;
/// Longest wait for the leader's orders.
const REPORT: Duration = Duration::from_millis(1_000);

/// Answer to an announcement.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct AnnounceResponse {
    /// Milliseconds until the next announcement is due.
    pub next_ms: u64,
    /// Platform listeners of all entries, own one first.
    pub entries: Vec<SocketAddr>,
}

/// A worker's poll.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Poll {
    /// What the worker reports.
    pub report: Report,
    /// Revision of the orders that it has; 0 for none.
    #[serde(default)]
    pub seen: u32,
}

/// Answer to a poll.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct PollResponse {
    /// Milliseconds for which tasks may run, counted from when the poll was sent.
    pub lease_ms: u64,
    /// Milliseconds to wait before the next poll.
    pub next_ms: u64,
    /// Revision of the orders.
    pub revision: u32,
    /// All orders in force; a task without one is to be stopped.
    pub orders: Vec<Order>,
    /// Platform listeners of all entries, own one first.
    pub entries: Vec<SocketAddr>,
}

/// Routes of the platform's listener.
pub(super) fn router(entry: &Arc<Entry>) -> Router {
    let announce = post(on_id(entry, announce));
    let poll = post(on_id(entry, poll));
    Router::new()
        .route("/v1/upstreams/{id}/announce", announce.fallback(shared::missing))
        .route("/v1/workers/{id}/poll", poll.fallback(shared::missing))
}

async fn announce(entry: Arc<Entry>, id: String, request: Request) -> Result<AnnounceResponse> {
    let (head, body) = request.into_parts();
    entry.tokens.check(&head.headers, &Role::Upstream)?;
    shared::check_name("upstream", &id)?;
    let bytes = entry.read(body, BODY_BYTES).await?;
    let announce: Announcement = shared::parse_json(&bytes)?;
    announce.check().map_err(|fault| Error::not_run(Code::BadRequest, fault.to_string()))?;
    let now_ms = entry.timer.now_ms();
    let heard = entry.router.upstreams.lock().receive(&id, &announce, now_ms);
    match heard {
        Effect::Full => {
            return Err(Error::not_run(Code::OverLimit, "the table of upstreams is full"));
        }
        Effect::Changed => entry.tell_upstream(&id),
        Effect::Refreshed | Effect::Stale | Effect::AlreadyLeaving => {}
    }
    Ok(AnnounceResponse { next_ms: ANNOUNCE_MS, entries: entry.platform_addresses() })
}

async fn poll(entry: Arc<Entry>, id: String, request: Request) -> Result<PollResponse> {
    let (head, body) = request.into_parts();
    entry.tokens.check(&head.headers, &Role::Worker)?;
    shared::check_name("worker", &id)?;
    let bytes = entry.read(body, BODY_BYTES).await?;
    let mut poll: Poll = shared::parse_json(&bytes)?;
    if poll.report.shape.accelerators > 32 {
        return Err(Error::not_run(Code::BadRequest, "more than 32 accelerators"));
    }
    poll.report.worker = id;
    entry.check_lease()?;
    let (mut orders, news) = entry.polls.hear(&poll.report, entry.timer.now_ms());
    if news != News::None {
        let call = Call::Report(poll.report.clone());
        match entry.client.call(call, REPORT).await {
            Ok(Answer::Orders(fresh)) => {
                entry.polls.put(&poll.report.worker, fresh);
                entry.polls.reported(poll.report);
            }
            // No lease before the leader knows who grants it: that bounds the chain, also where
            // entries are cut off one after another.
            _ if news == News::First => {
                let message = "the control members do not know that this entry holds the worker";
                return Err(Error::not_run(Code::NoLease, message));
            }
            _ => {}
        }
    }
    let changed = orders.wait_for(|orders| revision(orders) != poll.seen);
    let hold = entry.timer.sleep(entry.polls.hold(entry.settings.times.worker_lease_ms));
    tokio::select! {
        _ = changed => {}
        () = hold => {}
    }
    let current = orders.borrow().clone();
    // A lease may be granted only while the own one runs: that bounds the chain.
    entry.check_lease()?;
    Ok(PollResponse {
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

    fn check_lease(&self) -> Result<()> {
        let now_ms = self.timer.now_ms();
        if self.standing.lock().holds_lease(now_ms) {
            return Ok(());
        }
        let message = "this entry holds no lease from the control members";
        Err(Error::not_run(Code::NoLease, message))
    }
}
