//! Links between daemons: each pair exchanges typed frames over one authenticated connection.

mod bounded;
pub mod call;
mod discovery;
pub mod frame;
mod handshake;
mod link;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};

use crate::error::{Code, Error, Result};
use crate::kernel::lock::{Mutex, Rank};
use crate::kernel::task;
use crate::kernel::timer::Timer;
use crate::replica;
use crate::replica::member::Id;
use crate::settings::{Peer, Settings};
use call::{Answer, Call};
use frame::{Frame, Hello};

/// Time without an incoming frame after which no calls are sent over a link. A working link
/// receives frames or pings more often, and a call over a dead link leaves the caller not knowing
/// whether it ran.
const STALE_LINK_MS: u64 = 1_000;

/// Capacity of the send queue of a link.
const SEND_QUEUE_FRAMES: usize = 4_096;

/// Handles the frames that a daemon receives.
pub trait Handler: Send + Sync + 'static {
    /// Handles a message of the replication protocol.
    fn on_replica(&self, from: Id, message: replica::Message);
    /// Handles a call and returns its answer.
    fn on_call(
        self: Arc<Self>,
        from: String,
        call: Call,
    ) -> impl Future<Output = Result<Answer>> + Send;
    /// Handles a one-way message.
    fn on_notice(&self, from: &str, notice: frame::Notice);
    /// Called when a link has been established.
    fn on_link(&self, peer: &Hello);
}

/// All links of a daemon, by the names of the peers.
#[derive(Clone)]
pub struct Mesh {
    inner: Arc<Inner>,
}

struct Inner {
    own_hello: Hello,
    links: Mutex<BTreeMap<String, Link>>,
    pending_calls: Mutex<BTreeMap<u64, Waiter>>,
    // Shared by calls and links.
    next_number: AtomicU64,
    timer: Timer,
}

struct Link {
    hello: Hello,
    // Tells this link from an earlier or later one to the same peer.
    number: u64,
    send_queue: mpsc::Sender<Frame>,
    last_received: Activity,
}

/// Time at which a link last received a frame, in milliseconds of its timer.
#[derive(Clone, Debug)]
struct Activity {
    timer: Timer,
    at_ms: Arc<AtomicU64>,
}

impl Activity {
    fn new(timer: &Timer) -> Self {
        let at_ms = Arc::new(AtomicU64::new(timer.now_ms()));
        Self { timer: timer.clone(), at_ms }
    }

    fn update(&self) {
        self.at_ms.store(self.timer.now_ms(), Ordering::Relaxed);
    }

    fn silent_ms(&self) -> u64 {
        self.timer.now_ms().saturating_sub(self.at_ms.load(Ordering::Relaxed))
    }
}

struct Waiter {
    peer: String,
    answer_sender: oneshot::Sender<Result<Answer>>,
}

impl Mesh {
    /// Creates a mesh without links.
    pub fn new(own_hello: Hello) -> Self {
        let inner = Inner {
            own_hello,
            links: Mutex::new(Rank::Links, BTreeMap::new()),
            pending_calls: Mutex::new(Rank::Calls, BTreeMap::new()),
            next_number: AtomicU64::new(1),
            timer: Timer::system(),
        };
        Self { inner: Arc::new(inner) }
    }

    /// Returns the identity that this daemon sends to its peers.
    pub fn own_hello(&self) -> &Hello {
        &self.inner.own_hello
    }

    /// Listens for links and dials the configured peers whose names sort after this daemon's, so
    /// that each pair is dialled from one side only.
    ///
    /// # Errors
    /// If the address can't be bound.
    pub async fn start<H: Handler>(
        &self,
        settings: &Settings,
        key: Vec<u8>,
        handler: Arc<H>,
    ) -> std::io::Result<()> {
        let listener = tokio::net::TcpListener::bind(settings.listen.mesh).await?;
        let key: Arc<[u8]> = key.into();
        let accept = link::accept_links(self.clone(), listener, key.clone(), handler.clone());
        task::spawn_critical("mesh listener", accept);
        for peer in &settings.peers {
            if peer.name <= settings.name {
                continue;
            }
            let peer: Peer = peer.clone();
            tokio::spawn(link::keep_link(self.clone(), peer, key.clone(), handler.clone()));
        }
        Ok(())
    }

    /// Listens for links and dials each address that `required_addresses` returns while there is no
    /// link to it.
    ///
    /// # Errors
    /// If the address can't be bound.
    pub async fn start_discovery<H: Handler>(
        &self,
        settings: &Settings,
        timer: Timer,
        handler: Arc<H>,
        required_addresses: impl Fn() -> BTreeSet<SocketAddr> + Send + 'static,
    ) -> std::io::Result<()> {
        let listener = tokio::net::TcpListener::bind(settings.listen.mesh).await?;
        let key: Arc<[u8]> = Vec::new().into();
        let accept = link::accept_links(self.clone(), listener, key.clone(), handler.clone());
        task::spawn_critical("mesh listener", accept);
        let discovery = discovery::Discovery::new(self.clone(), settings.listen.mesh, key, handler);
        task::spawn_critical("discovery of links", discovery.run(timer, required_addresses));
        Ok(())
    }

    /// Returns the names of linked peers that may be control members.
    pub fn control_peers(&self) -> Vec<String> {
        let links = self.inner.links.lock();
        let control_links = links.iter().filter(|(_, link)| link.hello.is_control);
        control_links.map(|(name, _)| name.clone()).collect()
    }

    /// Returns whether there is a link to the named daemon.
    pub fn is_linked(&self, name: &str) -> bool {
        self.inner.links.lock().contains_key(name)
    }

    /// Returns the names of all linked peers.
    pub fn peers(&self) -> Vec<String> {
        self.inner.links.lock().keys().cloned().collect()
    }

    /// Returns the identity that a linked peer sent.
    pub fn hello(&self, name: &str) -> Option<Hello> {
        self.inner.links.lock().get(name).map(|link| link.hello.clone())
    }

    /// Queues a frame; returns `false` if there is no link or its send queue is full.
    pub fn send(&self, to: &str, frame: Frame) -> bool {
        let links = self.inner.links.lock();
        links.get(to).is_some_and(|link| link.send_queue.try_send(frame).is_ok())
    }

    // Queues the answer to a call, unless the caller has restarted meanwhile: the numbers of its calls start
    // anew, and the answer would be taken for that to a call of the new process.
    fn send_answer(&self, caller: &Hello, number: u64, answer: Result<Answer>) {
        let links = self.inner.links.lock();
        let link = links.get(&caller.name);
        let Some(link) = link.filter(|link| link.hello.incarnation == caller.incarnation) else {
            tracing::debug!(peer = caller.name, number, "answer dropped: the caller is gone");
            return;
        };
        if let Err(error) = link.send_queue.try_send(Frame::Answer { number, answer }) {
            tracing::debug!(peer = caller.name, number, %error, "answer dropped");
        }
    }

    /// Queues a message of the replication protocol for the member with this identity.
    pub fn send_replica(&self, to: Id, message: replica::Message) {
        let links = self.inner.links.lock();
        for link in links.values() {
            if link.hello.id == to {
                // The protocol tolerates lost messages, so a full queue is not an error.
                let _ = link.send_queue.try_send(Frame::Replica(message));
                return;
            }
        }
    }

    /// Queues a one-way message for every linked peer.
    pub fn broadcast(&self, notice: &frame::Notice) {
        let links = self.inner.links.lock();
        for link in links.values() {
            let _ = link.send_queue.try_send(Frame::Notice(notice.clone()));
        }
    }

    /// Calls a daemon and waits for its answer.
    ///
    /// # Errors
    /// The verdict is `not_run` if the call was not sent and `may_have_run` if no answer arrived.
    pub async fn call(&self, to: &str, call: Call, within: Duration) -> Result<Answer> {
        if self.is_stale(to) {
            return Err(Error::not_run(Code::NoQuorum, format!("the link to {to} is silent")));
        }
        let number = self.inner.next_number.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        let pending_call = Waiter { peer: to.into(), answer_sender: sender };
        self.inner.pending_calls.lock().insert(number, pending_call);
        if !self.send(to, Frame::Call { number, call }) {
            self.inner.pending_calls.lock().remove(&number);
            return Err(Error::not_run(Code::NoQuorum, format!("no link to {to}")));
        }
        let result = tokio::time::timeout(within, receiver).await;
        self.inner.pending_calls.lock().remove(&number);
        match result {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) => Err(Error::may_have_run(Code::NoQuorum, format!("link to {to} broke"))),
            Err(_) => Err(Error::may_have_run(Code::NoQuorum, format!("{to} did not answer"))),
        }
    }

    fn is_stale(&self, name: &str) -> bool {
        let links = self.inner.links.lock();
        links.get(name).is_some_and(|link| link.last_received.silent_ms() > STALE_LINK_MS)
    }

    fn complete_call(&self, from: &str, number: u64, answer: Result<Answer>) {
        let mut pending_calls = self.inner.pending_calls.lock();
        if pending_calls.get(&number).is_none_or(|pending_call| pending_call.peer != from) {
            return;
        }
        if let Some(pending_call) = pending_calls.remove(&number) {
            // The caller may have timed out in the meantime.
            let _ = pending_call.answer_sender.send(answer);
        }
    }

    fn add_link(&self, hello: Hello, send_queue: mpsc::Sender<Frame>) -> (u64, Activity) {
        let number = self.inner.next_number.fetch_add(1, Ordering::Relaxed);
        let name = hello.name.clone();
        let last_received = Activity::new(&self.inner.timer);
        let link = Link { hello, number, send_queue, last_received: last_received.clone() };
        self.inner.links.lock().insert(name, link);
        (number, last_received)
    }

    fn remove_link(&self, name: &str, number: u64) {
        {
            let mut links = self.inner.links.lock();
            // A newer link to the same peer may have replaced this one.
            if links.get(name).is_none_or(|link| link.number != number) {
                return;
            }
            links.remove(name);
        }
        self.inner.pending_calls.lock().retain(|_, call| call.peer != name);
    }
}
