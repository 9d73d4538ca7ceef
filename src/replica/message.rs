//! Messages between replicas.

use serde::{Deserialize, Serialize};

use super::{Bytes, Entry, Snapshot};

/// A message between replicas.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Term of the sender. For a pre-vote, the term in which the sender would campaign.
    pub term: u64,
    /// Content of the message.
    pub body: Body,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Requests a vote.
    Ask {
        /// Whether this is a pre-vote, which only tests if an election could be won.
        pre: bool,
        /// Whether the candidate campaigns on request of the leader, for a leadership transfer.
        transfer: bool,
        /// Index of the candidate's last entry.
        last_index: u64,
        /// Term of that entry.
        last_term: u64,
    },
    /// Answers [`Body::Ask`].
    Answer {
        /// Value of `pre` in the request.
        pre: bool,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Appends entries. Without entries, it is a heartbeat.
    Append {
        /// Index of the entry before the first one.
        prev_index: u64,
        /// Term of that entry.
        prev_term: u64,
        /// Entries, with consecutive indices.
        entries: Vec<Entry>,
        /// Leader's commit index.
        commit: u64,
        /// Time of sending by the leader's clock, in milliseconds; returned in the answer.
        sent_ms: u64,
    },
    /// Answers [`Body::Append`] and [`Body::Chunk`].
    Appended {
        /// With `matches`, the last index known to match the leader's log; otherwise the index
        /// after which the leader should retry.
        index: u64,
        /// Whether the follower's log matches the leader's up to `index`.
        matches: bool,
        /// Value of `sent_ms` in the answered message.
        sent_ms: u64,
    },
    /// Transfers one chunk of a snapshot.
    Chunk {
        /// The snapshot, with empty data.
        head: Snapshot,
        /// Offset of the chunk in the snapshot data, in bytes.
        offset: u64,
        /// Data of the chunk.
        piece: Bytes,
        /// Length of the whole snapshot data, in bytes.
        length: u64,
        /// Time of sending by the leader's clock, in milliseconds; returned in the answer.
        sent_ms: u64,
    },
    /// Acknowledges a chunk of an incomplete snapshot.
    Chunked {
        /// Index of the snapshot.
        index: u64,
        /// Number of consecutive bytes received from the start of the data.
        offset: u64,
        /// Value of `sent_ms` in the answered message.
        sent_ms: u64,
    },
    /// Asks the receiver to campaign at once, for a leadership transfer.
    Campaign,
}
