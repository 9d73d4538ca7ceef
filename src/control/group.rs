//! Runs a replica: one thread that owns the replica and its disk.

mod driver;

use std::sync::Arc;
use std::sync::mpsc::{SyncSender, sync_channel};
use std::time::Duration;

use tokio::sync::{oneshot, watch};

use super::status::Member;
use crate::error::{Code, Error, Result};
use crate::kernel::lock::Table;
use crate::kernel::timer::Timer;
use crate::mesh::Mesh;
use crate::replica::member::{Change, Id};
use crate::replica::store::Store;
use crate::replica::{Message, Replica, Saved, Timing};
use crate::settings::Settings;
use crate::state::{Command, Machine, Reply};
use driver::Driver;

/// Inputs that wait for the thread.
const QUEUE: usize = 8_192;
/// Longest wait for a read.
const READ: Duration = Duration::from_secs(2);
/// Longest wait for one transfer of leadership.
const HAND_OVER: Duration = Duration::from_secs(2);
/// Transfers tried before a leader stops without one.
const HAND_OVERS: usize = 3;

/// Role and leader, as last seen.
#[derive(Clone, Debug, Default)]
pub struct GroupStatus {
    /// Whether this member leads.
    pub is_leader: bool,
    /// Since when, on the daemon's clock, in milliseconds.
    pub role_since_ms: u64,
    /// Name of the leader's daemon.
    pub leader_name: Option<String>,
    /// Term.
    pub term: u64,
    /// Highest committed index.
    pub commit: u64,
    /// Members.
    pub members: Vec<Member>,
}

enum Request {
    Propose { command: Box<Command>, done: oneshot::Sender<Result<Reply>> },
    Change { change: Change, done: oneshot::Sender<Result<Reply>> },
    Read { done: oneshot::Sender<Result<Reply>> },
    Message { from: Id, message: Message },
    Transfer,
}

/// Handle of the thread.
#[derive(Debug)]
pub struct Group {
    requests: SyncSender<Request>,
    standing: watch::Receiver<GroupStatus>,
}

impl Group {
    /// Starts the thread.
    pub fn start(
        settings: &Settings,
        timer: Timer,
        mesh: Mesh,
        store: Store,
        saved: Saved,
        machine: Arc<Table<Machine>>,
    ) -> Self {
        let (requests, receiver) = sync_channel(QUEUE);
        let (sender, standing) = watch::channel(GroupStatus::default());
        let timing = Timing {
            heartbeat_ms: settings.times.heartbeat_ms,
            election_ms: settings.times.election_ms,
            ..Timing::default()
        };
        driver::restore(&machine, &saved.snapshot.data.0);
        let replica = Replica::new(store.id(), timing, saved, rand::random(), timer.now_ms());
        let driver = Driver {
            timing,
            survives: settings.batch.is_on,
            replica,
            store,
            machine,
            mesh,
            timer,
            log_bytes: settings.limits.log_bytes,
            standing: sender,
            next_token: 1,
            asked: Default::default(),
            placed: Default::default(),
            reads: Vec::default(),
            applied: 0,
        };
        let named = std::thread::Builder::new().name("replica".into());
        named.spawn(move || driver.run(&receiver)).expect("a thread can be started");
        Self { requests, standing }
    }

    /// Role and leader as last seen.
    pub fn status(&self) -> GroupStatus {
        self.standing.borrow().clone()
    }

    /// Takes a message from another replica; dropped where the thread is overloaded.
    pub fn receive(&self, from: Id, message: Message) {
        let _ = self.requests.try_send(Request::Message { from, message });
    }

    /// Orders a command and returns the machine's reply.
    ///
    /// # Errors
    /// `not_run` where it was not written; `may_have_run` where its fate is unknown.
    pub async fn propose(&self, command: Command, within: Duration) -> Result<Reply> {
        let (done, answer) = oneshot::channel();
        let command = Box::new(command);
        self.ask(Request::Propose { command, done })?;
        wait(answer, within).await
    }

    /// Changes the membership.
    ///
    /// # Errors
    /// As for [`Group::propose`].
    pub async fn change(&self, change: Change, within: Duration) -> Result<()> {
        let (done, answer) = oneshot::channel();
        self.ask(Request::Change { change, done })?;
        wait(answer, within).await.map(|_| ())
    }

    /// Waits until the machine is current as of this call.
    ///
    /// # Errors
    /// Where this member does not lead, or no quorum answers.
    pub async fn read(&self) -> Result<()> {
        let (done, answer) = oneshot::channel();
        self.ask(Request::Read { done })?;
        match wait(answer, READ).await {
            Ok(_) => Ok(()),
            // A read changes nothing, whatever became of it.
            Err(error) => Err(Error::not_run(error.code, error.message)),
        }
    }

    /// Asks for a transfer and waits until this member does not lead.
    pub async fn transfer_leadership(&self) {
        let mut standing = self.standing.clone();
        for _ in 0..HAND_OVERS {
            let now = self.status();
            let others = now.members.iter().filter(|member| member.is_voter).count() > 1;
            if !now.is_leader || !others {
                return;
            }
            let _ = self.requests.try_send(Request::Transfer);
            let _ = tokio::time::timeout(HAND_OVER, standing.wait_for(|s| !s.is_leader)).await;
        }
    }

    fn ask(&self, request: Request) -> Result<()> {
        let sent = self.requests.try_send(request);
        sent.map_err(|_| Error::not_run(Code::NoQuorum, "the control member is overloaded"))
    }
}

async fn wait(answer: oneshot::Receiver<Result<Reply>>, within: Duration) -> Result<Reply> {
    match tokio::time::timeout(within, answer).await {
        Ok(Ok(reply)) => reply,
        _ => Err(Error::may_have_run(Code::NoQuorum, "no quorum of control members answers")),
    }
}
