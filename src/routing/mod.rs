//! Routing of requests: queue, pick of an upstream, exchange, retries.

pub mod attempt;
mod borrowing;
pub mod connection;
mod gossip;
pub mod limit;
pub mod outlier;
mod peer;
pub mod queue;
pub mod retry;
pub mod share;
pub mod slot;
pub mod table;
pub mod upstream;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::{oneshot, watch};

use crate::error::{Code, Error, Result};
use crate::kernel::lock::{Rank, Table};
use crate::kernel::timer::Timer;
use crate::settings::Settings;
use crate::state::claim::Answer;
use crate::telemetry::{DECISION, Metrics};
use crate::verdict::Verdict;
use attempt::{Attempt, Claimed};
use connection::{Connection, Failed};
use queue::Queue;
use slot::{Grant, Slot};
use table::End;

/// Longest time for which the slot of an exchange is held after its request gave up.
const LINGER: Duration = Duration::from_secs(5);
/// Shortest silence that counts against an upstream, in milliseconds.
const SILENCE_MS: u64 = 500;

/// A request as it is routed.
#[derive(Clone, Debug)]
pub struct Request {
    /// Number of the request at this entry, for the log.
    pub number: u64,
    /// Kind.
    pub kind: String,
    /// Rank of the kind; 0 is the most urgent.
    pub rank: u8,
    /// Customer.
    pub customer: String,
    /// Share of the customer among customers of the same rank.
    pub share: u32,
    /// Payload.
    pub payload: Bytes,
    /// Content type of the payload.
    pub content_type: Option<String>,
    /// Whether it may run more than once.
    pub is_idempotent: bool,
    /// When the caller no longer wants an answer, on the timer's clock, in milliseconds.
    pub deadline_ms: u64,
    /// Open while the caller waits; `None` for a caller that always does.
    pub caller: Option<watch::Receiver<()>>,
}

impl Request {
    /// Waits until the caller has gone away.
    async fn abandoned(&self) {
        let Some(mut caller) = self.caller.clone() else { return std::future::pending().await };
        while caller.changed().await.is_ok() {}
    }
}

/// Routes requests of one entry.
pub struct Router {
    timer: Timer,
    /// Upstreams known to this entry.
    pub upstreams: Table<table::Table>,
    /// Limits of customers.
    pub limits: limit::Limiter,
    queue: Table<Queue<oneshot::Sender<Grant>>>,
    budget: Table<retry::Budget>,
    connections: connection::Pool,
}

/// Asked right before the first byte of each attempt: an error keeps it from being sent.
pub type Gate<'a> = &'a (dyn Fn() -> Result<()> + Send + Sync);

/// An attempt that failed.
struct Tried {
    error: Error,
    /// Upstream that it failed on; `None` where none was found.
    upstream: Option<String>,
}

/// What an exchange came to.
struct Ended {
    result: connection::Result<Answer>,
    /// The slot, where no byte was sent and it can be used again.
    slot: Option<Slot>,
}

impl Router {
    /// A router of an entry.
    pub fn new(settings: &Settings, timer: Timer) -> Arc<Self> {
        let limits = &settings.limits;
        let most = limits.upstream_connections as u32;
        let upstreams = table::Table::new(&settings.name, &settings.zone, most);
        let bounds = queue::Bounds { requests: limits.queue_requests, bytes: limits.queue_bytes };
        Arc::new(Self {
            timer,
            upstreams: Table::new(Rank::Upstreams, upstreams),
            limits: limit::Limiter::default(),
            queue: Table::new(Rank::Queue, Queue::new(bounds)),
            budget: Table::new(Rank::Limits, retry::Budget::default()),
            connections: connection::Pool::new(limits.body_bytes),
        })
    }

    /// Number of requests that wait.
    pub fn waiting_count(&self) -> usize {
        self.queue.lock().len()
    }

    /// Housekeeping, to be called now and then.
    pub fn run_maintenance(self: &Arc<Self>) {
        let now_ms = self.timer.now_ms();
        self.upstreams.lock().evict_expired(now_ms);
        self.connections.sweep(now_ms);
        Metrics::global().set_queue_depth(self.waiting_count() as u64);
        self.dispatch_waiting();
    }

    /// Runs a request: waits for a slot, sends it, and tries another upstream where that is safe.
    ///
    /// # Errors
    /// `not_run` where no byte of any attempt left, else `may_have_run`.
    pub async fn run(self: &Arc<Self>, request: &Request, gate: Gate<'_>) -> Result<Answer> {
        let mut failed = Vec::new();
        let mut verdict = Verdict::NotRun;
        for number in 1.. {
            let tried = match self.attempt(request, &failed, gate).await {
                Ok(answer) => {
                    self.budget.lock().deposit();
                    return Ok(answer);
                }
                Err(tried) => tried,
            };
            // An earlier attempt may have run, whatever became of the later ones.
            verdict = verdict.max(tried.error.verdict);
            let error = Error { verdict, ..tried.error };
            let Some(upstream) = tried.upstream else { return Err(error) };
            failed.push(upstream);
            if !self.may_retry(request, number, verdict) {
                return Err(error);
            }
            Metrics::global().count_retry();
            let reason = error.message;
            tracing::info!(target: DECISION, request = request.number, number, reason, "retry");
            self.timer.sleep(retry::wait(number)).await;
        }
        unreachable!("the attempts are bounded")
    }

    fn may_retry(&self, request: &Request, number: u32, verdict: Verdict) -> bool {
        let is_safe = verdict == Verdict::NotRun || request.is_idempotent;
        let is_early = self.timer.now_ms() < request.deadline_ms;
        is_safe && is_early && number < retry::ATTEMPTS && self.budget.lock().try_withdraw()
    }

    async fn attempt(
        self: &Arc<Self>,
        request: &Request,
        failed: &[String],
        gate: Gate<'_>,
    ) -> std::result::Result<Answer, Tried> {
        let attempt = Attempt::new();
        let slot = match failed {
            [] => self.wait(request, &attempt).await,
            _ => self.wait_for_other(request, failed, &attempt).await,
        };
        let slot = slot.map_err(|error| Tried { error, upstream: None })?;
        let upstream = slot.upstream.id.clone();
        let sent = self.send(request, slot, attempt.claimed(), gate).await;
        sent.map_err(|error| {
            // Without the right to send, no other upstream helps either.
            let is_final = matches!(error.code, Code::NoLease | Code::Stopping);
            Tried { error, upstream: (!is_final).then_some(upstream) }
        })
    }

    /// Sends a request on a slot and reads the whole answer.
    ///
    /// # Errors
    /// `not_run` where no byte left, else `may_have_run`.
    async fn send(
        self: &Arc<Self>,
        request: &Request,
        mut slot: Slot,
        mut attempt: Attempt<Claimed>,
        gate: Gate<'_>,
    ) -> Result<Answer> {
        let id = slot.upstream.id.clone();
        loop {
            let taken = self.connections.take(slot.upstream.address).await;
            let connection = match taken {
                Ok(connection) => connection,
                Err(e) => {
                    self.end(&id, End::Failed);
                    return Err(attempt.fail(Code::UpstreamFailed, e.to_string()));
                }
            };
            let start_ms = self.timer.now_ms();
            if let Err(error) = self.check(request, start_ms, &attempt).and_then(|()| gate()) {
                self.end(&id, End::Unused);
                return Err(error);
            }
            let is_reused = connection.is_reused();
            let sent = attempt.sent();
            let (tell, told) = oneshot::channel();
            let router = self.clone();
            tokio::spawn(router.carry(connection, request.clone(), slot, tell));
            let left = Duration::from_millis(request.deadline_ms - start_ms);
            let ended = match tokio::time::timeout(left, told).await {
                Ok(Ok(ended)) => ended,
                Ok(Err(_)) => {
                    self.end(&id, End::Failed);
                    return Err(sent.fail(Code::UpstreamFailed, "the exchange was given up"));
                }
                Err(_) => {
                    let took_ms = self.timer.now_ms() - start_ms;
                    let is_silent = took_ms >= SILENCE_MS;
                    self.end(&id, if is_silent { End::Failed } else { End::Unused });
                    return Err(sent.fail(Code::Deadline, "no whole answer in time"));
                }
            };
            match (ended.result, ended.slot) {
                (Ok(answer), _) => {
                    sent.answered();
                    self.end(&id, End::Answered);
                    let now_ms = self.timer.now_ms();
                    self.queue.lock().record_service_time(&request.kind, now_ms - start_ms, now_ms);
                    return Ok(answer);
                }
                // The upstream closed an idle connection: that says nothing of the upstream.
                (Err(Failed::Unsent(_)), Some(held)) if is_reused => {
                    slot = held;
                    attempt = sent.unsent();
                }
                (Err(e @ Failed::Unsent(_)), _) => {
                    self.end(&id, End::Failed);
                    return Err(sent.unsent().fail(Code::UpstreamFailed, e.to_string()));
                }
                (Err(e), _) => {
                    self.end(&id, End::Failed);
                    return Err(sent.fail(Code::UpstreamFailed, e.to_string()));
                }
            }
        }
    }

    fn check(&self, request: &Request, now_ms: u64, attempt: &Attempt<Claimed>) -> Result<()> {
        if now_ms < request.deadline_ms {
            return Ok(());
        }
        Err(attempt.fail(Code::Deadline, "the deadline passed before the request was sent"))
    }

    // A task of its own: the slot is held until the exchange is over, also where its request
    // gave up meanwhile.
    async fn carry(
        self: Arc<Self>,
        mut connection: Connection,
        request: Request,
        slot: Slot,
        tell: oneshot::Sender<Ended>,
    ) {
        let left_ms = request.deadline_ms.saturating_sub(self.timer.now_ms());
        let within = Duration::from_millis(left_ms) + LINGER;
        let exchange = self.connections.exchange(&mut connection, &request);
        let Ok(result) = tokio::time::timeout(within, exchange).await else { return };
        if matches!(result, Err(Failed::Unsent(_))) {
            let _ = tell.send(Ended { result, slot: Some(slot) });
            return;
        }
        let is_whole = result.is_ok();
        let is_wanted = tell.send(Ended { result, slot: None }).is_ok();
        if is_whole && is_wanted {
            let bound = slot.upstream.connections as usize;
            self.connections.give_back(connection, bound, self.timer.now_ms()).await;
        }
        drop(slot);
    }

    fn end(&self, id: &str, end: End) {
        let now_ms = self.timer.now_ms();
        let is_ejected = self.upstreams.lock().end(id, end, now_ms);
        if is_ejected {
            tracing::info!(target: DECISION, choice = id, reason = "failures in a row", "eject");
        }
    }
}
