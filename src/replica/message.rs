//! Messages between replicas.

use serde::{Deserialize, Serialize};

use super::{Bytes, Entry, Snapshot};

/// A message between replicas.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Sender's term (a pre-vote carries the term it would campaign in).
    pub term: u64,
    /// Content.
    pub body: Body,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Asks for a vote.
    Ask {
        /// Whether this only probes if an election could be won.
        pre: bool,
        /// Whether the leader itself asked the candidate to campaign.
        transfer: bool,
        /// Candidate's last index.
        last_index: u64,
        /// Term of that entry.
        last_term: u64,
    },
    /// Answers [`Body::Ask`].
    Answer {
        /// Echo of `pre`.
        pre: bool,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Entries, or a heartbeat where there are none.
    Append {
        /// Index before the first entry.
        prev_index: u64,
        /// Term of that index.
        prev_term: u64,
        /// Entries, contiguous.
        entries: Vec<Entry>,
        /// Leader's commit index.
        commit: u64,
        /// Leader's clock at sending, echoed by the answer.
        sent_ms: u64,
    },
    /// Answers [`Body::Append`] and [`Body::Chunk`].
    Appended {
        /// Last index known to match where `matches`, else a hint where to look next.
        index: u64,
        /// Whether the entries fitted.
        matches: bool,
        /// Echo of the leader's clock.
        sent_ms: u64,
    },
    /// A piece of a snapshot.
    Chunk {
        /// Snapshot without its data.
        head: Snapshot,
        /// Offset of the piece in the data.
        offset: u64,
        /// The piece.
        piece: Bytes,
        /// Length of the whole data.
        length: u64,
        /// Leader's clock at sending, echoed by the answer.
        sent_ms: u64,
    },
    /// Acknowledges a piece of an unfinished snapshot.
    Chunked {
        /// Index of the snapshot.
        index: u64,
        /// Bytes received so far, in order.
        offset: u64,
        /// Echo of the leader's clock.
        sent_ms: u64,
    },
    /// Asks the receiver to campaign at once.
    Campaign,
}
