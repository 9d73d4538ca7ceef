//! What goes into a replica and what comes out of it.

use super::member::{self, Id};
use super::{Entry, Message, Refusal, Snapshot, Vote};

/// Something that happened to a replica.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time passed.
    Tick,
    /// A message arrived.
    Message {
        /// Sender.
        from: Id,
        /// Message.
        message: Message,
    },
    /// A local client proposes a command.
    Propose {
        /// Names the proposal in later effects.
        token: u64,
        /// Encoded command.
        command: Vec<u8>,
    },
    /// An operator changes the membership.
    Change {
        /// Names the proposal in later effects.
        token: u64,
        /// Change.
        change: member::Change,
    },
    /// A local client wants to read current state.
    Read {
        /// Names the read in later effects.
        token: u64,
    },
    /// Persist effects up to this entry are synced.
    Synced {
        /// Last synced index.
        index: u64,
        /// Term of that entry.
        term: u64,
    },
    /// The machine was encoded up to an applied index: the log may be cut there.
    Compact {
        /// Applied index.
        index: u64,
        /// Encoded machine.
        data: Vec<u8>,
    },
    /// Leadership is to move to the best follower.
    Transfer,
}

/// Something the replica wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Persist term and vote.
    SaveVote(Vote),
    /// Persist entries, replacing any from the first one's index on.
    Append(Vec<Entry>),
    /// Persist a snapshot; log entries up to its index may go, and all where `reset`.
    SaveSnapshot {
        /// The snapshot.
        snapshot: Snapshot,
        /// Whether the log has nothing to keep and the machine must be replaced.
        reset: bool,
    },
    /// Send a message.
    Send {
        /// Receiver.
        to: Id,
        /// Message.
        message: Message,
    },
    /// Apply entries to the machine.
    Apply(Vec<Entry>),
    /// A proposal was put at this index and term; it is decided once that index commits.
    Proposed {
        /// Proposal.
        token: u64,
        /// Index.
        index: u64,
        /// Term.
        term: u64,
    },
    /// A proposal or read can't be served here; nothing of it was written.
    Refused {
        /// Proposal or read.
        token: u64,
        /// Why.
        refusal: Refusal,
    },
    /// The state applied up to this index is current as of the read.
    ReadReady {
        /// Read.
        token: u64,
        /// Index that must be applied first.
        index: u64,
    },
    /// Role or leader changed.
    RoleChanged {
        /// Whether this replica leads.
        leads: bool,
        /// Known leader.
        leader: Option<Id>,
        /// Term.
        term: u64,
    },
}
