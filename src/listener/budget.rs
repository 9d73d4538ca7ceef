//! Memory that the listeners of a process share, and the part that one connection has of it.

use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use tokio::sync::{Notify, oneshot};

use super::ledger::{ConnectionId, Ledger, ListenerId, Result};
use crate::kernel::lock::{Mutex, Rank};
use crate::kernel::timer::Timer;
use crate::telemetry::Metrics;

/// Bytes of a head for which every connection has room.
const FREE_HEAD_BYTES: usize = 8 << 10;
/// Turns for which a connection lets evicted ones release their buffers. They need one each, unless
/// they are still being answered.
pub(super) const MAX_YIELDS: u32 = 16;
/// Interval between reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Memory that the listeners of a process share. Clones share it too.
#[derive(Clone, Debug)]
pub struct Budget {
    ledger: Arc<Mutex<Ledger>>,
    timer: Timer,
}

impl Budget {
    /// Creates a budget of `max_bytes` for what connections hold.
    pub fn new(max_bytes: usize) -> Self {
        let ledger = Arc::new(Mutex::new(Rank::Memory, Ledger::new(max_bytes)));
        Self { ledger, timer: Timer::system() }
    }

    /// Publishes what each listener holds in the metrics, and logs what was turned away since the
    /// last call.
    pub fn report(&self) {
        let reports = self.ledger.lock().take_reports();
        for report in reports {
            Metrics::global().record_listener(&report);
            if report.refused == 0 && report.closed == 0 {
                continue;
            }
            let (listener, refused, closed) = (report.listener, report.refused, report.closed);
            let (connections, held_bytes) = (report.connections, report.held_bytes);
            tracing::warn!(
                listener,
                refused,
                closed,
                connections,
                held_bytes,
                "clients turned away: the limit of memory or connections is reached"
            );
        }
    }

    /// Reports periodically; never returns.
    pub async fn report_periodically(self) {
        loop {
            tokio::time::sleep(REPORT_INTERVAL).await;
            self.report();
        }
    }

    pub(super) fn add_listener(
        &self,
        name: &'static str,
        max_connections: usize,
        is_reserved: bool,
    ) -> ListenerId {
        self.ledger.lock().add_listener(name, max_connections, is_reserved)
    }

    pub(super) fn open(
        &self,
        listener: ListenerId,
        peer: IpAddr,
    ) -> Result<(Arc<Lease>, oneshot::Receiver<()>)> {
        let (id, evicted) = self.ledger.lock().open(listener, peer, self.timer.now_ms())?;
        let lease = Lease {
            budget: self.clone(),
            id,
            head_bytes: AtomicUsize::new(0),
            is_in_request: AtomicBool::new(false),
            is_reading_body: AtomicBool::new(false),
            has_answer: AtomicBool::new(false),
            refused: Notify::new(),
        };
        Ok((Arc::new(lease), evicted))
    }
}

/// Part of a budget that a connection has, until it is dropped.
#[derive(Debug)]
pub(super) struct Lease {
    budget: Budget,
    id: ConnectionId,
    // Bytes received since the last response.
    head_bytes: AtomicUsize,
    is_in_request: AtomicBool,
    is_reading_body: AtomicBool,
    has_answer: AtomicBool,
    refused: Notify,
}

impl Lease {
    /// Counts bytes that were received, which belong to a head unless a request is in progress.
    pub(super) fn receive(&self, bytes: usize) -> Result<()> {
        if self.is_in_request.load(Ordering::Relaxed) {
            return Ok(());
        }
        let head_bytes = self.head_bytes.fetch_add(bytes, Ordering::Relaxed) + bytes;
        if head_bytes <= FREE_HEAD_BYTES {
            return Ok(());
        }
        // The buffer for a head doubles when it is full.
        self.budget.ledger.lock().hold_head(self.id, 2 * head_bytes)
    }

    /// Whether to wait before further bytes of a large head are read: evicted connections are about to
    /// release theirs.
    pub(super) fn is_head_delayed(&self) -> bool {
        let is_large = self.head_bytes.load(Ordering::Relaxed) > FREE_HEAD_BYTES;
        let is_in_request = self.is_in_request.load(Ordering::Relaxed);
        is_large && !is_in_request && self.budget.ledger.lock().is_releasing()
    }

    /// Lets evicted connections release their buffers.
    pub(super) async fn yield_to_evicted(&self) {
        for _ in 0..MAX_YIELDS {
            if !self.budget.ledger.lock().is_releasing() {
                return;
            }
            tokio::task::yield_now().await;
        }
    }

    /// Begins a request, of which the head was received.
    pub(super) fn begin(&self) {
        self.is_in_request.store(true, Ordering::Relaxed);
        self.budget.ledger.lock().begin(self.id);
    }

    /// Begins to read the body of the request, during which the connection can be evicted.
    pub(super) fn begin_body(&self) {
        self.is_reading_body.store(true, Ordering::Relaxed);
        self.budget.ledger.lock().begin_body(self.id);
    }

    /// Adds bytes to the body.
    pub(super) fn append(&self, bytes: &[u8], max_length: usize) -> Result<()> {
        self.budget.ledger.lock().append(self.id, bytes, max_length)
    }

    /// Returns the whole body. The connection is not evicted until the response is ready.
    pub(super) fn take_body(&self) -> Result<Vec<u8>> {
        self.is_reading_body.store(false, Ordering::Relaxed);
        self.budget.ledger.lock().take_body(self.id)
    }

    /// Ends the request with a response of this size; returns whether the connection has to end too.
    pub(super) fn end(&self, answer_bytes: usize) -> bool {
        self.is_reading_body.store(false, Ordering::Relaxed);
        self.is_in_request.store(false, Ordering::Relaxed);
        self.head_bytes.store(0, Ordering::Relaxed);
        self.has_answer.store(true, Ordering::Relaxed);
        let now_ms = self.budget.timer.now_ms();
        self.budget.ledger.lock().hold_answer(self.id, answer_bytes, now_ms)
    }

    /// Releases responses that have been written.
    pub(super) fn flush(&self) {
        if self.has_answer.swap(false, Ordering::Relaxed) {
            self.budget.ledger.lock().release_answer(self.id);
        }
    }

    /// Refuses the request whose body is being read; returns `false` if there is none.
    pub(super) fn refuse(&self) -> bool {
        self.refused.notify_one();
        self.is_reading_body.load(Ordering::Relaxed)
    }

    /// Waits until the request is refused.
    pub(super) async fn wait_until_refused(&self) {
        self.refused.notified().await;
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.budget.ledger.lock().close(self.id);
    }
}
