//! Routing of requests: upstreams, picks, attempts and connections.

pub mod attempt;
pub mod connection;
pub mod upstream;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::Notify;

use crate::error::{Code, Error, Result};
use crate::kernel::lock::{Rank, Table};
use crate::kernel::timer::Timer;
use crate::state::claim::Answer;
use crate::telemetry::DECISION;
use attempt::{Attempt, Claimed, Queued};

/// A request as it is routed.
#[derive(Clone, Debug)]
pub struct Request {
    /// Number of the request at this entry, for the log.
    pub number: u64,
    /// Kind.
    pub kind: String,
    /// Customer.
    pub customer: String,
    /// Payload.
    pub payload: Bytes,
    /// Content type of the payload.
    pub content_type: Option<String>,
    /// Whether it may run more than once.
    pub is_idempotent: bool,
    /// When the caller no longer wants an answer, on the timer's clock, in milliseconds.
    pub deadline_ms: u64,
}

/// Routes requests of one entry.
pub struct Router {
    timer: Timer,
    /// Upstreams known to this entry.
    pub upstreams: Table<upstream::Table>,
    connections: connection::Pool,
    freed: Notify,
}

/// A slot of an upstream, given back when dropped.
pub struct Slot {
    router: Arc<Router>,
    /// Upstream.
    pub upstream: upstream::Upstream,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.router.upstreams.lock().release(&self.upstream.id);
        self.router.freed.notify_one();
    }
}

impl Router {
    /// A router of an entry in this zone.
    pub fn new(zone: &str, timer: Timer, answer_bytes: usize) -> Arc<Self> {
        Arc::new(Self {
            timer,
            upstreams: Table::new(Rank::Upstreams, upstream::Table::new(zone)),
            connections: connection::Pool::new(answer_bytes),
            freed: Notify::new(),
        })
    }

    /// Wakes requests that wait, after upstreams changed.
    pub fn wake(&self) {
        self.freed.notify_waiters();
    }

    /// Waits for a slot of an upstream until the request's deadline.
    ///
    /// # Errors
    /// `deadline` or `no_upstream`, both `not_run`.
    pub async fn pick(
        self: &Arc<Self>,
        request: &Request,
        attempt: &Attempt<Queued>,
    ) -> Result<Slot> {
        loop {
            let freed = self.freed.notified();
            let now_ms = self.timer.now_ms();
            let picked = self.upstreams.lock().pick(&request.kind, now_ms);
            if let Some((upstream, candidates)) = picked {
                let choice = &upstream.id;
                tracing::info!(
                    target: DECISION,
                    request = request.number,
                    candidates,
                    choice,
                    reason = "least loaded of two",
                    "route"
                );
                return Ok(Slot { router: self.clone(), upstream });
            }
            if now_ms >= request.deadline_ms {
                return Err(attempt.fail(Code::NoUpstream, "no upstream had a free slot in time"));
            }
            // Upstreams may appear or expire without a wake-up.
            const RECHECK: u64 = 100;
            tokio::select! {
                () = freed => {}
                () = self.timer.sleep_until(request.deadline_ms.min(now_ms + RECHECK)) => {}
            }
        }
    }

    /// Sends a request once and reads the whole answer.
    ///
    /// # Errors
    /// `not_run` where no byte left, else `may_have_run`.
    pub async fn send(
        &self,
        request: &Request,
        slot: &Slot,
        attempt: Attempt<Claimed>,
    ) -> Result<Answer> {
        let left_ms = request.deadline_ms.saturating_sub(self.timer.now_ms());
        if left_ms == 0 {
            return Err(
                attempt.fail(Code::Deadline, "the deadline passed before the request was sent")
            );
        }
        let address = slot.upstream.address;
        let connection = match self.connections.take(address).await {
            Ok(connection) => connection,
            Err(e) => return Err(attempt.fail(Code::UpstreamFailed, format!("no connection: {e}"))),
        };
        let attempt = attempt.sent();
        let sent = self.connections.exchange(connection, request);
        match tokio::time::timeout(Duration::from_millis(left_ms), sent).await {
            Ok(Ok(answer)) => {
                attempt.answered();
                Ok(answer)
            }
            Ok(Err(e)) => Err(attempt.fail(Code::UpstreamFailed, e.to_string())),
            Err(_) => Err(attempt.fail(Code::Deadline, "no whole answer in time")),
        }
    }

    /// Error for a kind that no upstream serves.
    pub fn unserved(kind: &str) -> Error {
        Error::not_run(Code::NoUpstream, format!("no upstream serves `{kind}`"))
    }
}
