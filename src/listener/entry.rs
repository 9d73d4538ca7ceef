//! What one connection holds.

use std::net::IpAddr;

use tokio::sync::oneshot;

use super::ledger::ListenerId;
use super::parts::{Need, Parts};

/// Smallest capacity of the buffer for a body, in bytes.
const MIN_BODY_CAPACITY: usize = 1 << 10;
/// Capacity up to which that buffer doubles, in bytes; beyond it grows by this much, so that what
/// it costs stays near what has arrived.
const MAX_DOUBLED_CAPACITY: usize = 64 << 10;
/// Time after its last response for which a connection isn't closed to admit another one, in
/// milliseconds. Its client is likely to send the next request meanwhile.
const RECENT_MS: u64 = 500;

#[derive(Debug)]
pub(super) struct Entry {
    pub(super) listener: ListenerId,
    pub(super) peer: IpAddr,
    // Position in the order of progress.
    pub(super) progress: u64,
    // Bytes of the body since its last progress.
    pub(super) unmarked_bytes: usize,
    pub(super) head_bytes: usize,
    pub(super) body: Vec<u8>,
    // Capacity of the body, also after it was taken.
    pub(super) body_bytes: usize,
    pub(super) answer_bytes: usize,
    // Whether a request was read in full and has no response yet.
    pub(super) is_serving: bool,
    pub(super) answered_ms: u64,
    // Dropped with the entry, which tells the connection.
    pub(super) _eviction: oneshot::Sender<()>,
}

impl Entry {
    pub(super) fn held_bytes(&self) -> usize {
        self.head_bytes + self.body_bytes + self.answer_bytes
    }

    pub(super) fn held(&self) -> Parts {
        Parts::of_connection(self.held_bytes())
    }

    pub(super) fn can_be_closed_for(&self, need: Need) -> bool {
        let is_useful = match need {
            Need::Small => true,
            Need::Large => self.held().large > 0,
            Need::Connection { listener, now_ms } => {
                self.listener == listener && now_ms >= self.answered_ms + RECENT_MS
            }
        };
        is_useful && !self.is_serving
    }
}

/// Capacity of the buffer for a body that reaches this length.
pub(super) fn grown_capacity(capacity: usize, length: usize, max_length: usize) -> usize {
    let grown = match capacity {
        0 => MIN_BODY_CAPACITY,
        1..MAX_DOUBLED_CAPACITY => capacity * 2,
        _ => capacity + MAX_DOUBLED_CAPACITY,
    };
    grown.min(max_length).max(length)
}
