//! Raft consensus without I/O: a replica takes inputs and returns the disk and network operations
//! to perform as effects. The caller passes in the time.
//!
//! The caller performs effects in order. It may perform an [`Effect::Send`] or [`Effect::Apply`]
//! only after every earlier effect that persists data is synced to disk.

mod append;
mod effect;
mod election;
pub mod log;
pub mod member;
mod message;
mod read;
mod snapshot;
pub mod store;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use derive_more::{Display, Error};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};

pub use effect::{Effect, Input};
use log::Log;
use member::{Id, Members};
pub use message::{Body, Message};

/// Result of a request to a replica.
pub type Result<T> = std::result::Result<T, Refusal>;

/// Reason why a replica refuses a proposal, membership change or read.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// Another member is the leader, or there is none.
    #[display("not the leader")]
    NotLeader,
    /// A membership change is or may be in progress, or the learner to promote has not caught up or
    /// has not answered recently. The request may be repeated later.
    #[display("a membership change is in progress")]
    Busy,
    /// The membership change does not fit the current membership, for example because it adds a
    /// known member or removes the last voter.
    #[display("the membership change is not possible")]
    Impossible,
}

/// Default of [`Timing::batch_bytes`].
const BATCH_BYTES: usize = 256 << 10;
/// Default of [`Timing::chunk_bytes`].
const CHUNK_BYTES: usize = 256 << 10;

/// Intervals and message sizes of a replica.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Interval between the heartbeats of an idle leader, in milliseconds.
    pub heartbeat_ms: u64,
    /// Minimum election timeout, in milliseconds. The leader's lease is shorter than this.
    pub election_ms: u64,
    /// Approximate maximum size of the entries in one message, in bytes.
    pub batch_bytes: usize,
    /// Maximum size of one snapshot chunk, in bytes.
    pub chunk_bytes: usize,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat_ms: 250,
            election_ms: 1_000,
            batch_bytes: BATCH_BYTES,
            chunk_bytes: CHUNK_BYTES,
        }
    }
}

impl Timing {
    /// Length of the lease that a quorum's answers give the leader: the election timeout less a
    /// tenth, as a margin for clock drift.
    pub fn lease_ms(&self) -> u64 {
        self.election_ms * 9 / 10
    }
}

/// A log entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Position in the log, starting at 1.
    pub index: u64,
    /// Term of the leader that created the entry.
    pub term: u64,
    /// Command, membership or no operation.
    pub payload: Payload,
}

/// Payload of a log entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Payload {
    /// No operation; a new leader appends it at the start of its term.
    Noop,
    /// Encoded command for the state machine.
    Command(Bytes),
    /// New membership. It takes effect as soon as it is appended, before it is committed.
    Members(Members),
}

/// Bytes that are serialized as a CBOR byte string instead of an array of integers. Clones share them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Bytes(pub bytes::Bytes);

impl From<Vec<u8>> for Bytes {
    // What is kept has no spare capacity.
    fn from(bytes: Vec<u8>) -> Self {
        Self(bytes.into_boxed_slice().into())
    }
}

impl Serialize for Bytes {
    fn serialize<S: serde::Serializer>(&self, to: S) -> std::result::Result<S::Ok, S::Error> {
        to.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Bytes {
    fn deserialize<D: serde::Deserializer<'de>>(from: D) -> std::result::Result<Self, D::Error> {
        let value = ciborium::value::Value::deserialize(from)?;
        let bytes = value.into_bytes();
        bytes.map(Self::from).map_err(|_| serde::de::Error::custom("not a byte string"))
    }
}

/// Current term and vote. They are synced to disk before any message that depends on them is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vote {
    /// Current term.
    pub term: u64,
    /// Candidate that received this member's vote in the current term.
    pub candidate: Option<Id>,
}

/// Snapshot of the state machine up to an index.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Index of the last entry that it covers.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Membership as of that entry.
    pub members: Members,
    /// Encoded state machine.
    pub data: Arc<Bytes>,
}

#[derive(Debug)]
enum Role {
    Follower,
    Candidate { pre_vote: bool, transfer: bool, votes: BTreeSet<Id> },
    Leader(Leader),
}

#[derive(Debug)]
struct Leader {
    progress: BTreeMap<Id, append::Progress>,
    reads: Vec<read::Request>,
    heartbeat_due_ms: u64,
    elected_ms: u64,
    // Index of the first entry of this term. Reads and membership changes are served only after it
    // is committed.
    term_start_index: u64,
    // Target of a leadership transfer in progress, and when the transfer is abandoned.
    transfer: Option<(Id, u64)>,
    // Set once a member was asked to campaign. The request may arrive late, and voters then grant
    // their votes without regard to this leader's lease.
    is_lease_disabled: bool,
}

/// Persistent state from which a replica starts.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// Current term and vote.
    pub vote: Vote,
    /// Latest snapshot.
    pub snapshot: Snapshot,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// A member of the Raft group.
#[derive(Debug)]
pub struct Replica {
    id: Id,
    timing: Timing,
    rng: SmallRng,
    vote: Vote,
    log: Log,
    members: Members,
    commit_index: u64,
    applied_index: u64,
    synced_index: u64,
    role: Role,
    leader: Option<Id>,
    // When this replica last received a message from a leader. It starts at the time of the start,
    // because a restarted replica has lost the earlier time.
    leader_contact_ms: u64,
    election_due_ms: u64,
    now_ms: u64,
    incoming_snapshot: Option<snapshot::Download>,
    effects: Vec<Effect>,
}

impl Replica {
    /// Creates a replica from its persistent state.
    pub fn new(id: Id, timing: Timing, saved: State, seed: u64, now_ms: u64) -> Self {
        let log = Log::new(saved.snapshot, saved.entries);
        let mut replica = Self {
            id,
            timing,
            rng: SmallRng::seed_from_u64(seed),
            vote: saved.vote,
            members: log.members(),
            commit_index: log.snapshot().index,
            applied_index: log.snapshot().index,
            synced_index: log.last_index(),
            log,
            role: Role::Follower,
            leader: None,
            leader_contact_ms: now_ms,
            election_due_ms: 0,
            now_ms,
            incoming_snapshot: None,
            effects: Vec::new(),
        };
        replica.reset_election_timer();
        if replica.members.is_only_voter(id) {
            replica.election_due_ms = now_ms;
        }
        replica
    }

    /// Processes one input at the given time and returns the effects to perform, in order.
    pub fn step(&mut self, input: Input, now_ms: u64) -> Vec<Effect> {
        self.now_ms = self.now_ms.max(now_ms);
        match input {
            Input::Tick => self.tick(),
            Input::Message { from, message } => self.receive(from, message),
            Input::Propose { token, command } => {
                self.propose(token, Payload::Command(command.into()));
            }
            Input::Change { token, change } => self.change_members(token, &change),
            Input::Read { token } => self.read(token),
            Input::Synced { index, term } => self.handle_synced(index, term),
            Input::Compact { index, data } => self.compact(index, data),
            Input::Transfer => self.transfer_leadership(),
        }
        std::mem::take(&mut self.effects)
    }

    /// Identity of this replica.
    pub fn id(&self) -> Id {
        self.id
    }

    /// Current term.
    pub fn term(&self) -> u64 {
        self.vote.term
    }

    /// Whether this replica is the leader.
    pub fn leads(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Current leader, if known.
    pub fn leader(&self) -> Option<Id> {
        self.leader
    }

    /// Current membership, committed or not.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Highest committed index.
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// Log of this replica.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Identity, match index and time since the last answer in milliseconds of each follower. Empty
    /// unless this replica is the leader.
    pub fn followers(&self) -> Vec<(Id, u64, u64)> {
        let Role::Leader(leader) = &self.role else { return Vec::new() };
        let now_ms = self.now_ms;
        let row = |(id, p): (&Id, &append::Progress)| {
            (*id, p.match_index, now_ms.saturating_sub(p.last_answer_ms))
        };
        leader.progress.iter().map(row).collect()
    }

    /// Time at which the next [`Input::Tick`] is due, in milliseconds. A later tick delays a
    /// heartbeat or an election.
    pub fn next_tick_ms(&self) -> u64 {
        match &self.role {
            Role::Leader(leader) => leader.heartbeat_due_ms,
            _ => self.election_due_ms,
        }
    }

    fn tick(&mut self) {
        if let Role::Leader(_) = self.role {
            self.tick_leader();
            return;
        }
        if self.now_ms < self.election_due_ms {
            return;
        }
        if self.members.is_voter(self.id) {
            self.campaign(true, false);
        } else {
            self.reset_election_timer();
        }
    }

    fn receive(&mut self, from: Id, message: Message) {
        if let Body::Ask { pre: pre_vote, transfer, last_index, last_term } = message.body {
            self.handle_vote_request(
                from,
                message.term,
                election::Request { pre_vote, transfer, last_index, last_term },
            );
            return;
        }
        let is_pre_vote_granted = matches!(message.body, Body::Answer { pre: true, granted: true });
        if message.term > self.vote.term && !is_pre_vote_granted {
            self.become_follower(message.term, None);
        }
        if message.term < self.vote.term {
            self.reject_stale(from, &message.body);
            return;
        }
        match message.body {
            Body::Ask { .. } => {}
            Body::Answer { pre, granted } => self.count_vote(from, message.term, pre, granted),
            Body::Append { prev_index, prev_term, entries, commit, sent_ms } => {
                self.accept_leader(from);
                self.handle_append(
                    from,
                    append::Batch { prev_index, prev_term, entries, commit, sent_ms },
                );
            }
            Body::Appended { index, matches, sent_ms } => {
                self.handle_appended(from, index, matches, sent_ms);
            }
            Body::Chunk { head, offset, piece, length, sent_ms } => {
                self.accept_leader(from);
                self.handle_chunk(from, snapshot::Chunk { head, offset, piece, length, sent_ms });
            }
            Body::Chunked { index, offset, sent_ms } => {
                self.handle_chunked(from, index, offset, sent_ms);
            }
            Body::Campaign => {
                // Only the leader hands over its leadership.
                if self.leader == Some(from) && self.members.is_voter(self.id) {
                    self.campaign(false, true);
                }
            }
        }
    }

    // Answers a leader of an earlier term, which steps down when it sees the newer term. Other
    // stale messages are ignored.
    fn reject_stale(&mut self, from: Id, body: &Body) {
        let sent_ms = match body {
            Body::Append { sent_ms, .. } | Body::Chunk { sent_ms, .. } => *sent_ms,
            _ => return,
        };
        self.send(from, Body::Appended { index: 0, matches: false, sent_ms });
    }

    fn accept_leader(&mut self, from: Id) {
        self.leader_contact_ms = self.now_ms;
        self.reset_election_timer();
        self.drop_role();
        if self.leader != Some(from) {
            self.leader = Some(from);
            self.report_role();
        }
    }

    // Follows a leader, if one is known, in the given or the current term, whichever is later.
    fn become_follower(&mut self, term: u64, leader: Option<Id>) {
        let was_leader = self.leads();
        self.drop_role();
        if term > self.vote.term {
            self.vote = Vote { term, candidate: None };
            self.effects.push(Effect::SaveVote(self.vote));
        }
        let role_changed = was_leader || self.leader != leader;
        self.leader = leader;
        self.reset_election_timer();
        if role_changed {
            self.report_role();
        }
    }

    // Takes the follower role and refuses the pending reads of a leader that steps down.
    fn drop_role(&mut self) {
        let Role::Leader(leader) = std::mem::replace(&mut self.role, Role::Follower) else {
            return;
        };
        for read in leader.reads {
            self.effects.push(Effect::Refused { token: read.token, refusal: Refusal::NotLeader });
        }
    }

    fn report_role(&mut self) {
        let effect =
            Effect::RoleChanged { leads: self.leads(), leader: self.leader, term: self.vote.term };
        self.effects.push(effect);
    }

    fn reset_election_timer(&mut self) {
        let jitter_ms = self.rng.random_range(0..self.timing.election_ms);
        self.election_due_ms = self.now_ms + self.timing.election_ms + jitter_ms;
    }

    fn send(&mut self, to: Id, body: Body) {
        let message = Message { term: self.vote.term, body };
        self.effects.push(Effect::Send { to, message });
    }
}
