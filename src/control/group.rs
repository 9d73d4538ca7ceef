//! Runs a replica of the control group on a thread of its own, which also owns the replica's
//! storage.

mod driver;
mod leadership;

use std::sync::Arc;
use std::sync::mpsc::{SyncSender, sync_channel};
use std::time::Duration;

use tokio::sync::{oneshot, watch};

use super::status::Member;
use crate::error::{Code, Error, Result};
use crate::kernel::lock::Mutex;
use crate::kernel::task;
use crate::kernel::timer::Timer;
use crate::mesh::Mesh;
use crate::replica::member::{Change, Id};
use crate::replica::store::Store;
use crate::replica::{Message, Replica, State, Timing};
use crate::settings::Settings;
use crate::state::{Command, Machine, Reply};
use driver::Driver;
pub use driver::MAX_COMMAND_BYTES;
use leadership::Leadership;

/// Capacity of the queue of requests to the replica thread.
const QUEUE_CAPACITY: usize = 8_192;
/// Timeout of a read.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of one attempt to transfer leadership.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(2);
/// Attempts to transfer leadership before the leader stops without a transfer.
const MAX_TRANSFER_ATTEMPTS: usize = 3;

/// Time without an answer after which a follower does not count as responsive, in milliseconds:
/// several heartbeats of the leader.
const MAX_FOLLOWER_SILENCE_MS: u64 = 1_000;

/// Role, leader and members, as last published by the replica thread.
#[derive(Clone, Debug, Default)]
pub struct Status {
    /// Whether this member leads.
    pub is_leader: bool,
    /// Start of the current role and term, in milliseconds on the daemon's clock.
    pub role_since_ms: u64,
    /// Name of the leader's daemon.
    pub leader_name: Option<String>,
    /// Current term.
    pub term: u64,
    /// Highest committed index.
    pub commit_index: u64,
    /// Voters and learners.
    pub members: Vec<Member>,
}

impl Status {
    /// Names of the members other than the leader that have answered it recently.
    pub fn responsive_followers(&self) -> Vec<&str> {
        let is_responsive = |member: &&Member| {
            Some(&member.name) != self.leader_name.as_ref()
                && member.matched > 0
                && member.silent_ms < MAX_FOLLOWER_SILENCE_MS
        };
        self.members.iter().filter(is_responsive).map(|member| member.name.as_str()).collect()
    }
}

enum Request {
    Propose { command: Box<Command>, term: Option<u64>, done: oneshot::Sender<Result<Reply>> },
    Change { change: Change, done: oneshot::Sender<Result<Reply>> },
    Read { done: oneshot::Sender<Result<Reply>> },
    Message { from: Id, message: Message },
    Transfer,
}

/// Handle to the replica thread.
#[derive(Debug)]
pub struct Group {
    requests: SyncSender<Request>,
    status: watch::Receiver<Status>,
    leadership: Arc<Leadership>,
    timer: Timer,
}

impl Group {
    /// Starts the replica thread.
    pub fn start(
        settings: &Settings,
        timer: Timer,
        mesh: Mesh,
        store: Store,
        saved: State,
        machine: Arc<Mutex<Machine>>,
    ) -> Self {
        let (requests, receiver) = sync_channel(QUEUE_CAPACITY);
        let (sender, status) = watch::channel(Status::default());
        let timing = Timing {
            heartbeat_ms: settings.times.heartbeat_ms,
            election_ms: settings.times.election_ms,
            ..Timing::default()
        };
        driver::restore(&machine, &saved.snapshot.data.0);
        let replica = Replica::new(store.id(), timing, saved, rand::random(), timer.now_ms());
        let leadership = Arc::new(Leadership::default());
        let driver = Driver {
            timing,
            reopens_store: settings.batch.is_enabled,
            replica,
            store,
            machine,
            mesh,
            timer: timer.clone(),
            leadership: leadership.clone(),
            log_bytes: settings.limits.max_log_bytes(),
            status: sender,
            next_token: 1,
            requests_by_token: Default::default(),
            uncommitted: Default::default(),
            pending_reads: Vec::default(),
            applied_index: 0,
        };
        let builder = std::thread::Builder::new().name("replica".into());
        let run = move || task::run_critical("replica", move || driver.run(&receiver));
        builder.spawn(run).expect("a thread can be started");
        Self { requests, status, leadership, timer }
    }

    /// Role, leader and members as last published.
    pub fn status(&self) -> Status {
        self.status.borrow().clone()
    }

    /// As [`Group::status`], without a copy. The replica thread can't publish while it is borrowed.
    pub fn borrow_status(&self) -> watch::Ref<'_, Status> {
        self.status.borrow()
    }

    /// Whether this member leads, as last published.
    pub fn is_leader(&self) -> bool {
        self.status.borrow().is_leader
    }

    /// Current term, as last published.
    pub fn term(&self) -> u64 {
        self.status.borrow().term
    }

    /// Start of the current role and term, in milliseconds on the daemon's clock.
    pub fn role_since_ms(&self) -> u64 {
        self.status.borrow().role_since_ms
    }

    /// Name of the leader's daemon, if it is known.
    pub fn leader_name(&self) -> Option<String> {
        self.status.borrow().leader_name.clone()
    }

    /// Queues a message from another replica; drops it if the queue is full.
    pub fn receive(&self, from: Id, message: Message) {
        let _ = self.requests.try_send(Request::Message { from, message });
    }

    /// Proposes a command and returns the state machine's reply.
    ///
    /// # Errors
    /// `not_run` if the command was not appended to the log; `may_have_run` if the outcome is
    /// unknown.
    pub async fn propose(&self, command: Command, within: Duration) -> Result<Reply> {
        self.propose_within(command, None, within).await
    }

    /// As [`Group::propose`], but only while this member leads the given term. A decision that rests
    /// on what the leader of a term has heard is void in a later one, even if the same member leads
    /// it.
    ///
    /// # Errors
    /// As for [`Group::propose`]; `not_run` if the term is over.
    pub async fn propose_in_term(
        &self,
        command: Command,
        term: u64,
        within: Duration,
    ) -> Result<Reply> {
        self.propose_within(command, Some(term), within).await
    }

    async fn propose_within(
        &self,
        command: Command,
        term: Option<u64>,
        within: Duration,
    ) -> Result<Reply> {
        let (done, reply) = oneshot::channel();
        let command = Box::new(command);
        self.send(Request::Propose { command, term, done })?;
        await_reply(reply, within).await
    }

    /// Changes the membership.
    ///
    /// # Errors
    /// As for [`Group::propose`].
    pub async fn change(&self, change: Change, within: Duration) -> Result<()> {
        let (done, reply) = oneshot::channel();
        self.send(Request::Change { change, done })?;
        await_reply(reply, within).await.map(|_| ())
    }

    /// Waits until the state machine reflects every change that was committed before this call, for
    /// a linearizable read.
    ///
    /// # Errors
    /// If this member does not lead, or no quorum answers.
    pub async fn read(&self) -> Result<()> {
        if self.leadership.is_confirmed(|| self.timer.now_ms()) {
            return Ok(());
        }
        let (done, reply) = oneshot::channel();
        self.send(Request::Read { done })?;
        match await_reply(reply, READ_TIMEOUT).await {
            Ok(_) => Ok(()),
            // A read changes nothing, so that its outcome is always `not_run`.
            Err(error) => Err(Error::not_run(error.code, error.message)),
        }
    }

    /// As [`Group::read`]. Returns a term that was current when the read began: while
    /// [`Group::term`] still returns it, this member leads in it.
    ///
    /// # Errors
    /// As for [`Group::read`].
    pub async fn read_in_term(&self) -> Result<u64> {
        let term = self.term();
        self.read().await?;
        Ok(term)
    }

    /// Transfers leadership, and waits until this member no longer leads or the attempts are used
    /// up.
    pub async fn transfer_leadership(&self) {
        let mut status = self.status.clone();
        for _ in 0..MAX_TRANSFER_ATTEMPTS {
            let current = self.status();
            let has_other_voters =
                current.members.iter().filter(|member| member.is_voter).count() > 1;
            if !current.is_leader || !has_other_voters {
                return;
            }
            let _ = self.requests.try_send(Request::Transfer);
            let _ =
                tokio::time::timeout(TRANSFER_TIMEOUT, status.wait_for(|status| !status.is_leader))
                    .await;
        }
    }

    fn send(&self, request: Request) -> Result<()> {
        let sent = self.requests.try_send(request);
        sent.map_err(|_| Error::not_run(Code::NoQuorum, "the control member is overloaded"))
    }
}

async fn await_reply(reply: oneshot::Receiver<Result<Reply>>, within: Duration) -> Result<Reply> {
    match tokio::time::timeout(within, reply).await {
        Ok(Ok(reply)) => reply,
        _ => Err(Error::may_have_run(Code::NoQuorum, "no quorum of control members answers")),
    }
}
