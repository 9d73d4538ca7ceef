//! Inputs and effects of a replica.

use super::member::{self, Id};
use super::{Entry, Message, Refusal, Snapshot, Vote};

/// An event that a replica processes.
#[derive(Clone, Debug)]
pub enum Input {
    /// The time returned by [`Replica::next_tick_ms`](super::Replica::next_tick_ms) was reached.
    Tick,
    /// A message from another replica was received.
    Message {
        /// Replica that sent the message.
        from: Id,
        /// The message.
        message: Message,
    },
    /// A local client proposes a command.
    Propose {
        /// Identifies the proposal in later effects.
        token: u64,
        /// Encoded command.
        command: Vec<u8>,
    },
    /// An operator requests a membership change.
    Change {
        /// Identifies the proposal in later effects.
        token: u64,
        /// The requested change.
        change: member::Change,
    },
    /// A local client requests a linearizable read.
    Read {
        /// Identifies the read in later effects.
        token: u64,
    },
    /// The entries of [`Effect::Append`] up to this one are synced to disk.
    Synced {
        /// Index of the last synced entry.
        index: u64,
        /// Term of that entry.
        term: u64,
    },
    /// The state machine was encoded as of an applied index: the log may be compacted up to it.
    Compact {
        /// Index of the last applied entry that the encoding contains.
        index: u64,
        /// Encoded state machine.
        data: Vec<u8>,
    },
    /// Leadership is to be transferred to the voter that is most up to date.
    Transfer,
}

/// An operation that the caller has to perform, or a notice to it.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Persist the term and vote.
    SaveVote(Vote),
    /// Persist entries. They replace all stored entries from the index of the first one on.
    Append(Vec<Entry>),
    /// Persist a snapshot. Log entries up to its index may be deleted, or all entries if `reset`
    /// is set.
    SaveSnapshot {
        /// The snapshot.
        snapshot: Snapshot,
        /// Whether the snapshot came from the leader: the whole log is discarded and the state
        /// machine restored from the snapshot.
        reset: bool,
    },
    /// Send a message.
    Send {
        /// Replica to send the message to.
        to: Id,
        /// Message to send.
        message: Message,
    },
    /// Apply committed entries to the state machine.
    Apply(Vec<Entry>),
    /// A proposal was appended to the log. Its outcome is known once its index is committed: it
    /// succeeded if the entry there still has this term.
    Proposed {
        /// Token of the proposal.
        token: u64,
        /// Index of the entry.
        index: u64,
        /// Term of the entry.
        term: u64,
    },
    /// A proposal, membership change or read was refused. Nothing was written to the log.
    Refused {
        /// Token of the request.
        token: u64,
        /// Reason for the refusal.
        refusal: Refusal,
    },
    /// A read may be served from the state machine once this index is applied.
    ReadReady {
        /// Token of the read.
        token: u64,
        /// Index that must be applied first.
        index: u64,
    },
    /// The role of this replica or the known leader changed.
    RoleChanged {
        /// Whether this replica is the leader.
        leads: bool,
        /// Current leader, if known.
        leader: Option<Id>,
        /// Current term.
        term: u64,
    },
}
