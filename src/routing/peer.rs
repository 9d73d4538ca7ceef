//! What is known of another entry.

use super::upstream::{Fingerprint, Load, Used};

/// Milliseconds after which an entry's load counts no longer.
const LOAD_MS: u64 = 2_000;

#[derive(Debug)]
pub(super) struct Peer {
    pub(super) load: Load,
    pub(super) heard_ms: u64,
    /// Least difference seen between the own clock and the other one's.
    pub(super) least_offset_ms: Option<i64>,
}

impl Peer {
    pub(super) fn new(now_ms: u64) -> Self {
        Self { load: Load::default(), heard_ms: now_ms, least_offset_ms: None }
    }

    /// Whether its load is recent enough to count.
    pub(super) fn is_heard(&self, now_ms: u64) -> bool {
        self.heard_ms + LOAD_MS > now_ms
    }

    /// Slots of an upstream that it uses.
    pub(super) fn uses(&self, mark: Fingerprint) -> u32 {
        let used = self.load.used.iter().find(|Used(low, _)| *low == mark.low());
        used.map_or(0, |Used(_, used)| *used)
    }
}
