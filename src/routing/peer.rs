//! State kept about another entry.

use super::upstream::{Fingerprint, Load, Usage};

/// Milliseconds after which a load report expires.
const LOAD_TTL_MS: u64 = 2_000;

#[derive(Debug)]
pub(super) struct Peer {
    pub(super) load: Load,
    /// When the last load report arrived; before the first one, when the peer was added.
    pub(super) load_received_ms: u64,
    /// Minimum observed difference between the local clock and the peer's clock.
    pub(super) min_offset_ms: Option<i64>,
}

impl Peer {
    pub(super) fn new(now_ms: u64) -> Self {
        Self { load: Load::default(), load_received_ms: now_ms, min_offset_ms: None }
    }

    /// Whether the load report of the peer has not expired.
    pub(super) fn is_load_fresh(&self, now_ms: u64) -> bool {
        self.load_received_ms + LOAD_TTL_MS > now_ms
    }

    /// Slots of an upstream that the peer uses.
    pub(super) fn used_slots(&self, fingerprint: Fingerprint) -> u32 {
        let usage =
            self.load.used.iter().find(|Usage(low_bits, _)| *low_bits == fingerprint.low_bits());
        usage.map_or(0, |Usage(_, used)| *used)
    }
}
