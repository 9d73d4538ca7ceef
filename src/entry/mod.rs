//! The entry role of a daemon: HTTP listeners for callers, operators, upstreams and workers.

pub mod caller;
mod claimed;
pub mod gossip;
mod health;
pub mod http;
pub mod lease;
pub mod listen;
pub mod operator;
pub mod platform;
pub mod polls;
mod request;
pub mod token;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body::Body as _;
use tokio::sync::{Notify, Semaphore};
use volo_http::body::Body;

use crate::control::client::Client;
use crate::error::{Code, Error};
use crate::kernel::lock::{Mutex, Rank};
use crate::kernel::timer::Timer;
use crate::mesh::Mesh;
use crate::mesh::frame::Notice;
use crate::routing::Router;
use crate::settings::Settings;
use crate::state::claim::Owner;

/// State that the listeners of an entry share.
pub struct Entry {
    settings: Settings,
    timer: Timer,
    mesh: Mesh,
    client: Client,
    router: Arc<Router>,
    tokens: token::Table,
    lease: Mutex<lease::Lease>,
    polls: polls::Polls,
    owner: Owner,
    next_request_number: AtomicU64,
    in_flight_count: AtomicUsize,
    is_unready: AtomicBool,
    is_draining: AtomicBool,
    became_idle: Notify,
    renewal_requested: Notify,
    /// Memory left for request bodies that are being read, in bytes.
    body_memory: Arc<Semaphore>,
}

impl Entry {
    /// Creates an entry.
    pub fn new(
        settings: &Settings,
        timer: Timer,
        mesh: Mesh,
        client: Client,
        tokens: token::Table,
    ) -> Arc<Self> {
        let local = mesh.own_hello();
        let owner = Owner { entry: local.name.clone(), incarnation: local.incarnation };
        let router = Router::new(settings, timer.clone());
        Arc::new(Self {
            settings: settings.clone(),
            timer,
            client,
            router,
            tokens,
            lease: Mutex::new(Rank::EntryState, lease::Lease::default()),
            polls: polls::Polls::default(),
            owner,
            next_request_number: AtomicU64::new(1),
            in_flight_count: AtomicUsize::new(0),
            is_unready: AtomicBool::new(false),
            is_draining: AtomicBool::new(false),
            became_idle: Notify::new(),
            renewal_requested: Notify::new(),
            body_memory: Arc::new(Semaphore::new(settings.limits.queue_bytes)),
            mesh,
        })
    }

    /// Handles a notice from another daemon or from the control member of this daemon.
    pub fn on_notice(&self, from: &str, notice: Notice) {
        match notice {
            Notice::Configured { version } => {
                if self.lease.lock().version < version {
                    self.renewal_requested.notify_one();
                }
            }
            Notice::Orders { worker, orders, term } => {
                self.polls.push_orders(&worker, orders, term);
            }
            Notice::Upstreams(updates) => self.on_upstream_updates(from, &updates),
            Notice::Beats(heartbeats) => self.on_heartbeats(from, &heartbeats),
            Notice::Want(fingerprints) => self.on_update_request(from, &fingerprints),
            Notice::Load(load) => {
                let now_ms = self.timer.now_ms();
                self.router.upstreams.lock().receive_load(from, load, now_ms);
            }
        }
    }

    /// Whether this entry holds a valid lease and accepts new requests.
    pub fn is_ready(&self) -> bool {
        let now_ms = self.timer.now_ms();
        let is_unready = self.is_unready.load(Ordering::Relaxed);
        !is_unready && self.lease.lock().is_valid(now_ms)
    }

    /// Whether a graceful shutdown has reached the point at which new requests are rejected.
    pub fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::SeqCst)
    }

    /// Reports unready, waits for load balancers to notice, then rejects new requests and waits
    /// until none is in flight.
    pub async fn drain(&self) {
        self.is_unready.store(true, Ordering::SeqCst);
        self.timer.sleep(Duration::from_millis(self.settings.times.drain_ms)).await;
        // Sequentially consistent with the count: a request either sees the flag or is waited for.
        self.is_draining.store(true, Ordering::SeqCst);
        loop {
            let became_idle = self.became_idle.notified();
            if self.in_flight_count.load(Ordering::SeqCst) == 0 {
                return;
            }
            became_idle.await;
        }
    }

    async fn read_body(&self, body: Body, limit: usize) -> crate::error::Result<Bytes> {
        let timeout = Duration::from_millis(self.settings.times.read_ms);
        http::read_body(body, limit, timeout).await
    }

    // Limits the total size of callers' bodies that are read at once, so that they can't exhaust
    // the memory that the other listeners need.
    async fn read_payload(&self, body: Body) -> crate::error::Result<Bytes> {
        let limit = self.settings.limits.body_bytes;
        let expected_bytes = body.size_hint().upper().unwrap_or(limit as u64);
        let max_bytes = limit.min(self.settings.limits.queue_bytes) as u64;
        let reserved_bytes = expected_bytes.min(max_bytes) as u32;
        let Ok(_reservation) = self.body_memory.try_acquire_many(reserved_bytes) else {
            let message = "too many bodies are being read at this entry";
            let error = Error::not_run(Code::OverLimit, message);
            return Err(error.retry_after(Duration::from_secs(1)));
        };
        self.read_body(body, limit).await
    }

    fn track_request(self: &Arc<Self>) -> Guard {
        self.in_flight_count.fetch_add(1, Ordering::SeqCst);
        Guard(self.clone())
    }
}

/// Counts a request as in flight until the guard is dropped.
struct Guard(Arc<Entry>);

impl Drop for Guard {
    fn drop(&mut self) {
        if self.0.in_flight_count.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.0.became_idle.notify_waiters();
        }
    }
}
