//! Links between daemons: typed frames over one authenticated connection a pair.

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
use crate::kernel::lock::{Rank, RankedMutex};
use crate::kernel::timer::Timer;
use crate::replica;
use crate::replica::member::Id;
use crate::settings::{Peer, Settings};
use call::{Answer, Call};
use frame::{Frame, Hello};

/// Silence of a link from which on no call is sent on it, in milliseconds: both ends of a link that
/// works are heard more often, and a call into a dead link leaves its caller in doubt.
const SUSPECT_MS: u64 = 1_000;

/// Frames that wait to be sent on one link.
const QUEUE_FRAMES: usize = 4_096;

/// What a daemon does with frames that arrive.
pub trait Handler: Send + Sync + 'static {
    /// A message between replicas.
    fn on_replica(&self, from: Id, message: replica::Message);
    /// A call that wants an answer.
    fn on_call(
        self: Arc<Self>,
        from: String,
        call: Call,
    ) -> impl Future<Output = Result<Answer>> + Send;
    /// A notice that wants none.
    fn on_notice(&self, from: &str, notice: frame::Notice);
    /// A link came up.
    fn on_link(&self, peer: &Hello);
}

/// All links of a daemon.
#[derive(Clone)]
pub struct Mesh {
    inner: Arc<Inner>,
}

struct Inner {
    own: Hello,
    links: RankedMutex<BTreeMap<String, Linked>>,
    calls: RankedMutex<BTreeMap<u64, Waiting>>,
    next_call: AtomicU64,
    timer: Timer,
}

struct Linked {
    hello: Hello,
    number: u64,
    queue: mpsc::Sender<Frame>,
    heard: Heard,
}

/// When a link was last heard, in milliseconds since the mesh was made.
#[derive(Clone, Debug)]
struct Heard {
    timer: Timer,
    at_ms: Arc<AtomicU64>,
}

impl Heard {
    fn new(timer: &Timer) -> Self {
        let at_ms = Arc::new(AtomicU64::new(timer.now_ms()));
        Self { timer: timer.clone(), at_ms }
    }

    fn note(&self) {
        self.at_ms.store(self.timer.now_ms(), Ordering::Relaxed);
    }

    fn silent_ms(&self) -> u64 {
        self.timer.now_ms().saturating_sub(self.at_ms.load(Ordering::Relaxed))
    }
}

struct Waiting {
    peer: String,
    answer: oneshot::Sender<Result<Answer>>,
}

impl Mesh {
    /// A mesh without links.
    pub fn new(own: Hello) -> Self {
        let inner = Inner {
            own,
            links: RankedMutex::new(Rank::Links, BTreeMap::new()),
            calls: RankedMutex::new(Rank::Calls, BTreeMap::new()),
            next_call: AtomicU64::new(1),
            timer: Timer::system(),
        };
        Self { inner: Arc::new(inner) }
    }

    /// Who this daemon is.
    pub fn own(&self) -> &Hello {
        &self.inner.own
    }

    /// Listens for daemons that sort before this one and dials those that sort after it.
    ///
    /// # Errors
    /// Where the address can't be bound.
    pub async fn start<H: Handler>(
        &self,
        settings: &Settings,
        key: Vec<u8>,
        receiver: Arc<H>,
    ) -> std::io::Result<()> {
        let listener = tokio::net::TcpListener::bind(settings.listen.mesh).await?;
        let key: Arc<[u8]> = key.into();
        tokio::spawn(link::accept(self.clone(), listener, key.clone(), receiver.clone()));
        for peer in &settings.peers {
            if peer.name <= settings.name {
                continue;
            }
            let peer: Peer = peer.clone();
            tokio::spawn(link::dial(self.clone(), peer, key.clone(), receiver.clone()));
        }
        Ok(())
    }

    /// Listens for daemons, and dials those that `wanted` names whenever there is no link to them.
    ///
    /// # Errors
    /// Where the address can't be bound.
    pub async fn start_discovery<H: Handler>(
        &self,
        settings: &Settings,
        timer: Timer,
        receiver: Arc<H>,
        wanted: impl Fn() -> BTreeSet<SocketAddr> + Send + 'static,
    ) -> std::io::Result<()> {
        let listener = tokio::net::TcpListener::bind(settings.listen.mesh).await?;
        let key: Arc<[u8]> = Vec::new().into();
        tokio::spawn(link::accept(self.clone(), listener, key.clone(), receiver.clone()));
        let discovery =
            discovery::Discovery::new(self.clone(), settings.listen.mesh, key, receiver);
        tokio::spawn(discovery.run(timer, wanted));
        Ok(())
    }

    /// Names of linked daemons that may hold a replica.
    pub fn control_peers(&self) -> Vec<String> {
        let links = self.inner.links.lock();
        let control = links.iter().filter(|(_, linked)| linked.hello.is_control);
        control.map(|(name, _)| name.clone()).collect()
    }

    /// Whether there is a link to the daemon.
    pub fn is_linked(&self, name: &str) -> bool {
        self.inner.links.lock().contains_key(name)
    }

    /// Names of linked daemons.
    pub fn peers(&self) -> Vec<String> {
        self.inner.links.lock().keys().cloned().collect()
    }

    /// What a linked daemon said of itself.
    pub fn hello(&self, name: &str) -> Option<Hello> {
        self.inner.links.lock().get(name).map(|linked| linked.hello.clone())
    }

    /// Queues a frame; `false` where there is no link or its queue is full.
    pub fn send(&self, to: &str, frame: Frame) -> bool {
        let links = self.inner.links.lock();
        links.get(to).is_some_and(|linked| linked.queue.try_send(frame).is_ok())
    }

    /// Queues a replica message for the daemon that holds this identity.
    pub fn send_replica(&self, to: Id, message: replica::Message) {
        let links = self.inner.links.lock();
        for linked in links.values() {
            if linked.hello.id == to {
                // A full queue is as good as a lost message.
                let _ = linked.queue.try_send(Frame::Replica(message));
                return;
            }
        }
    }

    /// Queues a notice for every linked daemon.
    pub fn broadcast(&self, notice: &frame::Notice) {
        let links = self.inner.links.lock();
        for linked in links.values() {
            let _ = linked.queue.try_send(Frame::Notice(notice.clone()));
        }
    }

    /// Calls a daemon and waits for its answer.
    ///
    /// # Errors
    /// `not_run` where the call was not sent; `may_have_run` where no answer came.
    pub async fn call(&self, to: &str, call: Call, within: Duration) -> Result<Answer> {
        if self.is_suspect(to) {
            return Err(Error::not_run(Code::NoQuorum, format!("the link to {to} is silent")));
        }
        let number = self.inner.next_call.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        let waiting = Waiting { peer: to.into(), answer: sender };
        self.inner.calls.lock().insert(number, waiting);
        if !self.send(to, Frame::Call { number, call }) {
            self.inner.calls.lock().remove(&number);
            return Err(Error::not_run(Code::NoQuorum, format!("no link to {to}")));
        }
        let answered = tokio::time::timeout(within, receiver).await;
        self.inner.calls.lock().remove(&number);
        match answered {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) => Err(Error::may_have_run(Code::NoQuorum, format!("link to {to} broke"))),
            Err(_) => Err(Error::may_have_run(Code::NoQuorum, format!("{to} did not answer"))),
        }
    }

    fn is_suspect(&self, name: &str) -> bool {
        let links = self.inner.links.lock();
        links.get(name).is_some_and(|linked| linked.heard.silent_ms() > SUSPECT_MS)
    }

    fn answer(&self, number: u64, answer: Result<Answer>) {
        let waiting = self.inner.calls.lock().remove(&number);
        if let Some(waiting) = waiting {
            // The caller may have given up meanwhile.
            let _ = waiting.answer.send(answer);
        }
    }

    fn add_link(&self, hello: Hello, queue: mpsc::Sender<Frame>) -> (u64, Heard) {
        let number = self.inner.next_call.fetch_add(1, Ordering::Relaxed);
        let name = hello.name.clone();
        let heard = Heard::new(&self.inner.timer);
        let linked = Linked { hello, number, queue, heard: heard.clone() };
        self.inner.links.lock().insert(name, linked);
        (number, heard)
    }

    fn remove_link(&self, name: &str, number: u64) {
        {
            let mut links = self.inner.links.lock();
            // A newer link may have taken the place of this one.
            if links.get(name).is_none_or(|linked| linked.number != number) {
                return;
            }
            links.remove(name);
        }
        self.inner.calls.lock().retain(|_, waiting| waiting.peer != name);
    }
}
