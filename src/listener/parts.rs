//! Parts into which the bytes of connections are divided, and the share that one client has of them.

use super::ledger::{CONNECTION_BYTES, ListenerId, SMALL_BYTES};

/// Bytes in the part for small requests and in the part for the rest of large ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Parts {
    pub(super) small: usize,
    pub(super) large: usize,
}

impl Parts {
    // Of a connection that holds this many bytes of a request and its response.
    pub(super) fn of_connection(held_bytes: usize) -> Self {
        let small = held_bytes.min(SMALL_BYTES);
        Self { small: CONNECTION_BYTES + small, large: held_bytes - small }
    }

    pub(super) fn add(&mut self, other: Self) {
        self.small += other.small;
        self.large += other.large;
    }

    pub(super) fn subtract(&mut self, other: Self) {
        self.small -= other.small;
        self.large -= other.large;
    }

    pub(super) fn total(self) -> usize {
        self.small + self.large
    }
}

/// What connections are to be closed for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Need {
    Small,
    Large,
    Connection { listener: ListenerId, now_ms: u64 },
}

/// What the connections from one address to one listener hold together.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Share {
    pub(super) connections: usize,
    pub(super) held: Parts,
}

impl Share {
    pub(super) fn weight(&self, need: Need) -> usize {
        match need {
            Need::Small => self.held.small,
            Need::Large => self.held.large,
            Need::Connection { .. } => self.connections,
        }
    }
}
