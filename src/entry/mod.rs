//! Entry: terminates callers, operators, upstreams and workers.

pub mod caller;
mod claimed;
mod health;
pub mod http;
pub mod listen;
pub mod operator;
pub mod platform;
mod polls;
mod request;
pub mod spread;
pub mod standing;
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
use crate::kernel::lock::{Rank, RankedMutex};
use crate::kernel::timer::Timer;
use crate::mesh::Mesh;
use crate::mesh::frame::Notice;
use crate::routing::Router;
use crate::settings::Settings;
use crate::state::claim::Owner;
use standing::Standing;

/// An entry and what its listeners share.
pub struct Entry {
    settings: Settings,
    timer: Timer,
    mesh: Mesh,
    client: Client,
    router: Arc<Router>,
    tokens: token::Table,
    standing: RankedMutex<Standing>,
    polls: polls::Polls,
    owner: Owner,
    next_request: AtomicU64,
    in_flight: AtomicUsize,
    unready: AtomicBool,
    draining: AtomicBool,
    idle: Notify,
    renew_now: Notify,
    /// Bytes that bodies which are being read may still take.
    reading: Arc<Semaphore>,
}

impl Entry {
    /// Puts an entry together.
    pub fn new(
        settings: &Settings,
        timer: Timer,
        mesh: Mesh,
        client: Client,
        tokens: token::Table,
    ) -> Arc<Self> {
        let own = mesh.own_hello();
        let owner = Owner { entry: own.name.clone(), incarnation: own.incarnation };
        let router = Router::new(settings, timer.clone());
        Arc::new(Self {
            settings: settings.clone(),
            timer,
            client,
            router,
            tokens,
            standing: RankedMutex::new(Rank::EntryState, Standing::default()),
            polls: polls::Polls::default(),
            owner,
            next_request: AtomicU64::new(1),
            in_flight: AtomicUsize::new(0),
            unready: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            idle: Notify::new(),
            renew_now: Notify::new(),
            reading: Arc::new(Semaphore::new(settings.limits.queue_bytes)),
            mesh,
        })
    }

    /// Takes a notice from another daemon, or from the control member of this one.
    pub fn on_notice(&self, from: &str, notice: Notice) {
        match notice {
            Notice::Configured { version } => {
                if self.standing.lock().version < version {
                    self.renew_now.notify_one();
                }
            }
            Notice::Orders { worker, orders } => self.polls.put(&worker, orders),
            Notice::Upstreams(deltas) => self.on_deltas(from, &deltas),
            Notice::Beats(beats) => self.on_beats(from, &beats),
            Notice::Want(marks) => self.on_want(from, &marks),
            Notice::Load(load) => {
                let now_ms = self.timer.now_ms();
                self.router.upstreams.lock().receive_load(from, load, now_ms);
            }
        }
    }

    /// Whether this entry takes new work.
    pub fn is_ready(&self) -> bool {
        let now_ms = self.timer.now_ms();
        let unready = self.unready.load(Ordering::Relaxed);
        !unready && self.standing.lock().holds_lease(now_ms)
    }

    /// Whether a planned stop is under way.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Turns unready, waits for the balancer, stops taking new work and waits until nothing is
    /// in flight.
    pub async fn drain(&self) {
        self.unready.store(true, Ordering::SeqCst);
        self.timer.sleep(Duration::from_millis(self.settings.times.drain_ms)).await;
        // Ordered with the count: a request either sees this or is waited for.
        self.draining.store(true, Ordering::SeqCst);
        loop {
            let idle = self.idle.notified();
            if self.in_flight.load(Ordering::SeqCst) == 0 {
                return;
            }
            idle.await;
        }
    }

    async fn read(&self, body: Body, limit: usize) -> crate::error::Result<Bytes> {
        let within = Duration::from_millis(self.settings.times.read_ms);
        http::read(body, limit, within).await
    }

    // Bounded in sum, so that callers' bodies can take no memory from the other listeners.
    async fn read_payload(&self, body: Body) -> crate::error::Result<Bytes> {
        let limit = self.settings.limits.body_bytes;
        let announced = body.size_hint().upper().unwrap_or(limit as u64);
        let most = limit.min(self.settings.limits.queue_bytes) as u64;
        let reserved = announced.min(most) as u32;
        let Ok(_reserved) = self.reading.try_acquire_many(reserved) else {
            let message = "too many bodies are being read at this entry";
            let error = Error::not_run(Code::OverLimit, message);
            return Err(error.retry_after(Duration::from_secs(1)));
        };
        self.read(body, limit).await
    }

    fn begin(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        InFlight(self.clone())
    }
}

/// Counts a request as in flight until it is dropped.
struct InFlight(Arc<Entry>);

impl Drop for InFlight {
    fn drop(&mut self) {
        if self.0.in_flight.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.0.idle.notify_waiters();
        }
    }
}
