//! Parts of a round that are small enough for the log.

use super::{End, Round, Start};
use crate::batch::job::TaskId;

/// Most bytes of an entry of a round in the log, apart from its texts.
const ENTRY_BYTES: usize = 128;

impl Round {
    /// Splits the round into rounds that are applied one after the other, each of at most `max_bytes` in
    /// the log. Only the starts of one step stay together whatever their size, since the tasks of a
    /// gang must not be placed in part.
    pub fn into_parts(self, max_bytes: usize) -> Vec<Self> {
        let mut parts = Parts { max_bytes, bytes: 0, open: Self::default(), full: Vec::new() };
        parts.open.due_ms = self.due_ms;
        for end in self.ends {
            parts.reserve(end_bytes(&end));
            parts.open.ends.push(end);
        }
        for stop in self.stops {
            parts.reserve(ENTRY_BYTES);
            parts.open.stops.push(stop);
        }
        for starts in self.starts.chunk_by(|one, next| step_of(one) == step_of(next)) {
            parts.reserve(starts.iter().map(start_bytes).sum());
            parts.open.starts.extend_from_slice(starts);
        }
        parts.finish()
    }
}

// Collects entries until a part is full.
struct Parts {
    max_bytes: usize,
    // Size of the open part.
    bytes: usize,
    open: Round,
    full: Vec<Round>,
}

impl Parts {
    // Makes room for entries of this size.
    fn reserve(&mut self, bytes: usize) {
        if self.bytes > 0 && self.bytes + bytes > self.max_bytes {
            self.full.push(std::mem::take(&mut self.open));
            self.bytes = 0;
        }
        self.bytes += bytes;
    }

    fn finish(mut self) -> Vec<Round> {
        if !self.open.is_empty() {
            self.full.push(self.open);
        }
        self.full
    }
}

fn end_bytes(end: &End) -> usize {
    ENTRY_BYTES + end.checkpoint.len()
}

fn start_bytes(start: &Start) -> usize {
    ENTRY_BYTES + start.worker.len()
}

fn step_of(start: &Start) -> TaskId {
    TaskId { index: 0, ..start.task }
}
