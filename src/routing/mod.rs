//! Routing of requests to upstreams: queueing, load balancing, exchanges and retries.

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
use crate::kernel::lock::{Mutex, Rank};
use crate::kernel::timer::Timer;
use crate::settings::Settings;
use crate::state::claim::Answer;
use crate::telemetry::{DECISION, Metrics};
use crate::verdict::Verdict;
use attempt::{Attempt, Ready};
use connection::Connection;
use queue::Queue;
use slot::{Decision, Slot};
use table::Outcome;

/// Maximum time past the deadline for which an exchange may continue and hold its slot.
const EXCHANGE_GRACE: Duration = Duration::from_secs(5);
/// Minimum milliseconds without an answer at the deadline that count as a failure of the upstream.
const MIN_FAILURE_WAIT_MS: u64 = 500;

/// A request to be routed.
#[derive(Clone, Debug)]
pub struct Request {
    /// Number of the request at this entry; identifies it in the log and to the upstream.
    pub number: u64,
    /// Kind of request, which decides the upstreams that serve it.
    pub kind: String,
    /// Rank of the kind; 0 is the most urgent.
    pub rank: u8,
    /// Name of the customer whose limits and share apply.
    pub customer: String,
    /// Weight of the customer among customers of the same rank.
    pub share: u32,
    /// Body that is sent to the upstream.
    pub payload: Bytes,
    /// Content type of the payload.
    pub content_type: Option<String>,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Deadline for the answer on the timer's clock, in milliseconds.
    pub deadline_ms: u64,
    /// Channel that closes when the caller disconnects; `None` if disconnects are not detected.
    pub caller: Option<watch::Receiver<()>>,
}

impl Request {
    /// Waits until the caller disconnects.
    async fn wait_for_disconnect(&self) {
        let Some(mut caller) = self.caller.clone() else { return std::future::pending().await };
        while caller.changed().await.is_ok() {}
    }
}

/// Routes the requests of one entry.
pub struct Router {
    timer: Timer,
    /// Upstreams known to this entry.
    pub upstreams: Mutex<table::Table>,
    /// Limits of customers.
    pub limits: limit::Limiter,
    queue: Mutex<Queue<oneshot::Sender<Decision>>>,
    retry_budget: Mutex<retry::Budget>,
    connections: connection::Pool,
}

/// Condition that is checked right before each attempt sends its first byte. If it returns an
/// error, nothing is sent.
pub type Precondition<'a> = &'a (dyn Fn() -> Result<()> + Send + Sync);

/// Failure of an attempt.
struct Failure {
    error: Error,
    /// Upstream that failed; `None` if the request must not be retried on another one.
    upstream: Option<String>,
}

/// Result of an exchange.
struct Completion {
    result: connection::Result<Answer>,
    /// The slot, if no byte was sent and another connection can use it.
    slot: Option<Slot>,
}

impl Router {
    /// Creates the router of an entry.
    pub fn new(settings: &Settings, timer: Timer) -> Arc<Self> {
        let limits = &settings.limits;
        let max_connections = limits.upstream_connections as u32;
        let upstreams = table::Table::new(&settings.name, &settings.zone, max_connections);
        let bounds = queue::Bounds { requests: limits.queue_requests, bytes: limits.queue_bytes };
        Arc::new(Self {
            timer,
            upstreams: Mutex::new(Rank::Upstreams, upstreams),
            limits: limit::Limiter::default(),
            queue: Mutex::new(Rank::Queue, Queue::new(bounds)),
            retry_budget: Mutex::new(Rank::Limits, retry::Budget::default()),
            connections: connection::Pool::new(limits.body_bytes),
        })
    }

    /// Number of requests that wait for a slot.
    pub fn waiting_count(&self) -> usize {
        self.queue.lock().len()
    }

    /// Removes expired records and connections, and dispatches waiting requests. Has to be called
    /// periodically.
    pub fn run_maintenance(self: &Arc<Self>) {
        let now_ms = self.timer.now_ms();
        self.upstreams.lock().evict_expired(now_ms);
        self.connections.close_expired(now_ms);
        Metrics::global().set_queue_depth(self.waiting_count() as u64);
        self.dispatch_waiting();
    }

    /// Runs a request: waits for a slot, sends the request, and retries on another upstream if
    /// that is safe.
    ///
    /// # Errors
    /// With verdict `not_run` if no attempt sent any byte, else `may_have_run`.
    pub async fn run(
        self: &Arc<Self>,
        request: &Request,
        precondition: Precondition<'_>,
    ) -> Result<Answer> {
        let mut failed = Vec::new();
        let mut verdict = Verdict::NotRun;
        for number in 1.. {
            let failure = match self.run_attempt(request, &failed, precondition).await {
                Ok(answer) => {
                    self.retry_budget.lock().deposit();
                    return Ok(answer);
                }
                Err(failure) => failure,
            };
            // An earlier attempt may have run even if a later one did not.
            verdict = verdict.max(failure.error.verdict);
            let error = Error { verdict, ..failure.error };
            let Some(upstream) = failure.upstream else { return Err(error) };
            failed.push(upstream);
            if !self.may_retry(request, number, verdict) {
                return Err(error);
            }
            Metrics::global().count_retry();
            let reason = error.message;
            tracing::info!(target: DECISION, request = request.number, number, reason, "retry");
            self.timer.sleep(retry::backoff(number)).await;
        }
        unreachable!("the number of attempts is bounded")
    }

    fn may_retry(&self, request: &Request, number: u32, verdict: Verdict) -> bool {
        let is_safe = verdict == Verdict::NotRun || request.is_idempotent;
        let is_in_time = self.timer.now_ms() < request.deadline_ms;
        is_safe
            && is_in_time
            && number < retry::MAX_ATTEMPTS
            && self.retry_budget.lock().try_withdraw()
    }

    async fn run_attempt(
        self: &Arc<Self>,
        request: &Request,
        failed: &[String],
        precondition: Precondition<'_>,
    ) -> std::result::Result<Answer, Failure> {
        let attempt = Attempt::new();
        let slot = match failed {
            [] => self.acquire_slot(request, &attempt).await,
            _ => self.acquire_other_slot(request, failed, &attempt).await,
        };
        let slot = slot.map_err(|error| Failure { error, upstream: None })?;
        let upstream = slot.upstream.id.clone();
        let sent = self.send(request, slot, attempt.mark_ready(), precondition).await;
        sent.map_err(|error| {
            // This entry may not send at all, so a retry on another upstream would fail too.
            let is_final = matches!(error.code, Code::NoLease | Code::Stopping);
            Failure { error, upstream: (!is_final).then_some(upstream) }
        })
    }

    /// Sends a request to the upstream of a slot and reads the complete answer.
    ///
    /// # Errors
    /// With verdict `not_run` if no byte was sent, else `may_have_run`.
    async fn send(
        self: &Arc<Self>,
        request: &Request,
        mut slot: Slot,
        mut attempt: Attempt<Ready>,
        precondition: Precondition<'_>,
    ) -> Result<Answer> {
        let (id, is_probe) = (slot.upstream.id.clone(), slot.is_probe);
        loop {
            let acquired = self.connections.acquire(slot.upstream.address).await;
            let connection = match acquired {
                Ok(connection) => connection,
                Err(e) => {
                    self.record_outcome(&id, Outcome::Failed, is_probe);
                    return Err(attempt.fail(Code::UpstreamFailed, e.to_string()));
                }
            };
            let start_ms = self.timer.now_ms();
            if let Err(error) =
                self.check_deadline(request, start_ms, &attempt).and_then(|()| precondition())
            {
                self.record_outcome(&id, Outcome::Unused, is_probe);
                return Err(error);
            }
            let is_reused = connection.is_reused();
            let sent = attempt.mark_sent();
            let (sender, receiver) = oneshot::channel();
            let router = self.clone();
            tokio::spawn(router.run_exchange(connection, request.clone(), slot, sender));
            let left = Duration::from_millis(request.deadline_ms - start_ms);
            let completion = match tokio::time::timeout(left, receiver).await {
                Ok(Ok(completion)) => completion,
                Ok(Err(_)) => {
                    self.record_outcome(&id, Outcome::Failed, is_probe);
                    return Err(sent.fail(Code::UpstreamFailed, "the exchange was given up"));
                }
                Err(_) => {
                    let took_ms = self.timer.now_ms() - start_ms;
                    let is_failure = took_ms >= MIN_FAILURE_WAIT_MS;
                    let outcome = if is_failure { Outcome::Failed } else { Outcome::Unused };
                    self.record_outcome(&id, outcome, is_probe);
                    return Err(sent.fail(Code::Deadline, "no whole answer in time"));
                }
            };
            match (completion.result, completion.slot) {
                (Ok(answer), _) => {
                    sent.mark_answered();
                    self.record_outcome(&id, Outcome::Answered, is_probe);
                    let now_ms = self.timer.now_ms();
                    self.queue.lock().record_service_time(&request.kind, now_ms - start_ms, now_ms);
                    return Ok(answer);
                }
                // The upstream closed an idle connection, which is no failure: tries another one.
                (Err(connection::Failure::Unsent(_)), Some(returned)) if is_reused => {
                    slot = returned;
                    attempt = sent.mark_unsent();
                }
                (Err(e @ connection::Failure::Unsent(_)), _) => {
                    self.record_outcome(&id, Outcome::Failed, is_probe);
                    return Err(sent.mark_unsent().fail(Code::UpstreamFailed, e.to_string()));
                }
                (Err(e), _) => {
                    self.record_outcome(&id, Outcome::Failed, is_probe);
                    return Err(sent.fail(Code::UpstreamFailed, e.to_string()));
                }
            }
        }
    }

    fn check_deadline(
        &self,
        request: &Request,
        now_ms: u64,
        attempt: &Attempt<Ready>,
    ) -> Result<()> {
        if now_ms < request.deadline_ms {
            return Ok(());
        }
        Err(attempt.fail(Code::Deadline, "the deadline passed before the request was sent"))
    }

    // Runs as a separate task, so that the slot is held until the exchange ends even if the
    // request times out first.
    async fn run_exchange(
        self: Arc<Self>,
        mut connection: Connection,
        request: Request,
        slot: Slot,
        sender: oneshot::Sender<Completion>,
    ) {
        let left_ms = request.deadline_ms.saturating_sub(self.timer.now_ms());
        let timeout = Duration::from_millis(left_ms) + EXCHANGE_GRACE;
        let exchange = self.connections.exchange(&mut connection, &request);
        let Ok(result) = tokio::time::timeout(timeout, exchange).await else { return };
        if matches!(result, Err(connection::Failure::Unsent(_))) {
            let _ = sender.send(Completion { result, slot: Some(slot) });
            return;
        }
        let is_complete = result.is_ok();
        let is_received = sender.send(Completion { result, slot: None }).is_ok();
        if is_complete && is_received {
            let max_idle = slot.upstream.connections as usize;
            self.connections.release(connection, max_idle, self.timer.now_ms()).await;
        }
        drop(slot);
    }

    fn record_outcome(&self, id: &str, outcome: Outcome, is_probe: bool) {
        let now_ms = self.timer.now_ms();
        let is_ejected = self.upstreams.lock().record_outcome(id, outcome, is_probe, now_ms);
        if is_ejected {
            tracing::info!(target: DECISION, choice = id, reason = "failures in a row", "eject");
        }
    }
}
