//! Consensus, sans-I/O: a Raft-family replica whose time, disk and network are effects.
//!
//! Effects are carried out in order; a [`Effect::Send`] or [`Effect::Apply`] leaves only after
//! every earlier persist effect is synced.

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

/// Result of asking a replica for something.
pub type Result<T> = std::result::Result<T, Refusal>;

/// Why a replica refuses a proposal or read.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// Another member leads, or none does.
    #[display("not the leader")]
    NotLeader,
    /// A membership change is still in progress.
    #[display("a membership change is in progress")]
    Busy,
    /// The membership change makes no sense or is unsafe.
    #[display("the membership change is not possible")]
    Impossible,
}

/// Bytes of entries in one message, approximately.
const BATCH_BYTES: usize = 256 << 10;
/// Bytes of one piece of a snapshot.
const CHUNK_BYTES: usize = 256 << 10;

/// Intervals and message sizes of a replica.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Between heartbeats of an idle leader, in milliseconds.
    pub heartbeat_ms: u64,
    /// Least silence before a follower campaigns, in milliseconds; also bounds the leader's lease.
    pub election_ms: u64,
    /// Entries in one message, approximately, in bytes.
    pub batch_bytes: usize,
    /// A piece of a snapshot, in bytes.
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
    /// How long a leader may trust a quorum's answer, with a tenth kept back for clock drift.
    pub fn lease_ms(&self) -> u64 {
        self.election_ms * 9 / 10
    }
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Position, from 1.
    pub index: u64,
    /// Term of the leader that made it.
    pub term: u64,
    /// Content.
    pub payload: Payload,
}

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Payload {
    /// Marks the start of a leader's term.
    Noop,
    /// An encoded command of the state machine.
    Command(Bytes),
    /// A new membership, in effect from the moment it is appended.
    Members(Members),
}

/// A byte string that encodes compactly.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Bytes(pub Vec<u8>);

impl Serialize for Bytes {
    fn serialize<S: serde::Serializer>(&self, to: S) -> std::result::Result<S::Ok, S::Error> {
        to.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Bytes {
    fn deserialize<D: serde::Deserializer<'de>>(from: D) -> std::result::Result<Self, D::Error> {
        let value = ciborium::value::Value::deserialize(from)?;
        let bytes = value.into_bytes();
        bytes.map(Self).map_err(|_| serde::de::Error::custom("not a byte string"))
    }
}

/// Term and vote, synced before any answer that depends on them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vote {
    /// Current term.
    pub term: u64,
    /// Member voted for in this term.
    pub candidate: Option<Id>,
}

/// State of the machine up to an index.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last index it covers.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Membership at that index.
    pub members: Members,
    /// Encoded machine.
    pub data: Arc<Bytes>,
}

#[derive(Debug)]
enum Role {
    Follower,
    Candidate { pre: bool, transfer: bool, votes: BTreeSet<Id> },
    Leader(Leader),
}

#[derive(Debug)]
struct Leader {
    progress: BTreeMap<Id, append::Progress>,
    reads: Vec<read::Pending>,
    heartbeat_at_ms: u64,
    since_ms: u64,
    // Index of the first entry of this term; reads and membership changes wait for it.
    first_index: u64,
    transfer: Option<(Id, u64)>,
    // A member asked to campaign, even long ago, may be elected against the lease.
    exempted: bool,
}

/// What a replica restarts from.
#[derive(Clone, Debug, Default)]
pub struct PersistentState {
    /// Term and vote.
    pub vote: Vote,
    /// Latest snapshot.
    pub snapshot: Snapshot,
    /// Entries after it.
    pub entries: Vec<Entry>,
}

/// One member of the group.
#[derive(Debug)]
pub struct Replica {
    id: Id,
    timing: Timing,
    rng: SmallRng,
    vote: Vote,
    log: Log,
    members: Members,
    commit: u64,
    applied: u64,
    synced: u64,
    role: Role,
    leader: Option<Id>,
    // When a leader was last heard; a restart counts, since it forgets what it heard.
    heard_ms: u64,
    election_at_ms: u64,
    now_ms: u64,
    incoming: Option<snapshot::Incoming>,
    effects: Vec<Effect>,
}

impl Replica {
    /// A replica that continues from what was saved.
    pub fn new(id: Id, timing: Timing, saved: PersistentState, seed: u64, now_ms: u64) -> Self {
        let log = Log::new(saved.snapshot, saved.entries);
        let mut replica = Self {
            id,
            timing,
            rng: SmallRng::seed_from_u64(seed),
            vote: saved.vote,
            members: log.members(),
            commit: log.snapshot().index,
            applied: log.snapshot().index,
            synced: log.last_index(),
            log,
            role: Role::Follower,
            leader: None,
            heard_ms: now_ms,
            election_at_ms: 0,
            now_ms,
            incoming: None,
            effects: Vec::new(),
        };
        replica.reset_election();
        if replica.members.is_only_voter(id) {
            replica.election_at_ms = now_ms;
        }
        replica
    }

    /// Takes one input at the given time and returns what is to be done.
    pub fn step(&mut self, input: Input, now_ms: u64) -> Vec<Effect> {
        self.now_ms = self.now_ms.max(now_ms);
        match input {
            Input::Tick => self.tick(),
            Input::Message { from, message } => self.receive(from, message),
            Input::Propose { token, command } => {
                self.propose(token, Payload::Command(Bytes(command)));
            }
            Input::Change { token, change } => self.change_members(token, &change),
            Input::Read { token } => self.read(token),
            Input::Synced { index, term } => self.note_synced(index, term),
            Input::Compact { index, data } => self.compact(index, data),
            Input::Transfer => self.transfer(),
        }
        std::mem::take(&mut self.effects)
    }

    /// Own identity.
    pub fn id(&self) -> Id {
        self.id
    }

    /// Current term.
    pub fn term(&self) -> u64 {
        self.vote.term
    }

    /// Whether this replica leads.
    pub fn leads(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Known leader.
    pub fn leader(&self) -> Option<Id> {
        self.leader
    }

    /// Membership in effect.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Highest committed index.
    pub fn commit_index(&self) -> u64 {
        self.commit
    }

    /// The log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Matched index and age of the last answer in milliseconds, for each follower of a leader.
    pub fn followers(&self) -> Vec<(Id, u64, u64)> {
        let Role::Leader(leader) = &self.role else { return Vec::new() };
        let now_ms = self.now_ms;
        let row =
            |(id, p): (&Id, &append::Progress)| (*id, p.matched, now_ms.saturating_sub(p.heard_ms));
        leader.progress.iter().map(row).collect()
    }

    /// When the replica wants the next tick, in milliseconds; a later tick delays a heartbeat or an election.
    pub fn next_tick_ms(&self) -> u64 {
        match &self.role {
            Role::Leader(leader) => leader.heartbeat_at_ms,
            _ => self.election_at_ms,
        }
    }

    fn tick(&mut self) {
        if let Role::Leader(_) = self.role {
            self.tick_leader();
            return;
        }
        if self.now_ms < self.election_at_ms {
            return;
        }
        if self.members.is_voter(self.id) {
            self.campaign(true, false);
        } else {
            self.reset_election();
        }
    }

    fn receive(&mut self, from: Id, message: Message) {
        if let Body::Ask { pre, transfer, last_index, last_term } = message.body {
            self.answer_ask(
                from,
                message.term,
                election::Ask { pre, transfer, last_index, last_term },
            );
            return;
        }
        let pre_granted = matches!(message.body, Body::Answer { pre: true, granted: true });
        if message.term > self.vote.term && !pre_granted {
            self.follow(message.term, None);
        }
        if message.term < self.vote.term {
            self.reject_stale(from, &message.body);
            return;
        }
        match message.body {
            Body::Ask { .. } => {}
            Body::Answer { pre, granted } => self.count_vote(from, message.term, pre, granted),
            Body::Append { prev_index, prev_term, entries, commit, sent_ms } => {
                self.hear_leader(from);
                self.append(
                    from,
                    append::Batch { prev_index, prev_term, entries, commit, sent_ms },
                );
            }
            Body::Appended { index, matches, sent_ms } => {
                self.note_appended(from, index, matches, sent_ms);
            }
            Body::Chunk { head, offset, piece, length, sent_ms } => {
                self.hear_leader(from);
                self.take_chunk(from, snapshot::Chunk { head, offset, piece, length, sent_ms });
            }
            Body::Chunked { index, offset, sent_ms } => {
                self.note_chunked(from, index, offset, sent_ms);
            }
            Body::Campaign => {
                if self.members.is_voter(self.id) {
                    self.campaign(false, true);
                }
            }
        }
    }

    // An old leader learns the newer term from the answer and steps down.
    fn reject_stale(&mut self, from: Id, body: &Body) {
        let sent_ms = match body {
            Body::Append { sent_ms, .. } | Body::Chunk { sent_ms, .. } => *sent_ms,
            _ => return,
        };
        self.send(from, Body::Appended { index: 0, matches: false, sent_ms });
    }

    fn hear_leader(&mut self, from: Id) {
        self.heard_ms = self.now_ms;
        self.reset_election();
        self.become_follower();
        if self.leader != Some(from) {
            self.leader = Some(from);
            self.note_role();
        }
    }

    fn follow(&mut self, term: u64, leader: Option<Id>) {
        let led = self.leads();
        self.become_follower();
        if term > self.vote.term {
            self.vote = Vote { term, candidate: None };
            self.effects.push(Effect::SaveVote(self.vote));
        }
        let changed = led || self.leader != leader;
        self.leader = leader;
        self.reset_election();
        if changed {
            self.note_role();
        }
    }

    fn become_follower(&mut self) {
        let Role::Leader(leader) = std::mem::replace(&mut self.role, Role::Follower) else {
            return;
        };
        for read in leader.reads {
            self.effects.push(Effect::Refused { token: read.token, refusal: Refusal::NotLeader });
        }
    }

    fn note_role(&mut self) {
        let effect =
            Effect::RoleChanged { leads: self.leads(), leader: self.leader, term: self.vote.term };
        self.effects.push(effect);
    }

    fn reset_election(&mut self) {
        let spread = self.rng.random_range(0..self.timing.election_ms);
        self.election_at_ms = self.now_ms + self.timing.election_ms + spread;
    }

    fn send(&mut self, to: Id, body: Body) {
        let message = Message { term: self.vote.term, body };
        self.effects.push(Effect::Send { to, message });
    }
}
