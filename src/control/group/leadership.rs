//! Confirmation that this member leads, published by the replica thread for readers on other
//! threads.

use std::sync::atomic::{AtomicU64, Ordering};

/// End of the leader's lease, in milliseconds of the daemon's clock; 0 while there is none.
///
/// The replica thread revokes it before it sends anything that lets another member lead. A reader
/// loads it before it looks at the time: the lease was then valid when it was loaded.
#[derive(Debug, Default)]
pub(super) struct Leadership {
    lease_until_ms: AtomicU64,
}

impl Leadership {
    /// Extends the confirmation to the end of a lease.
    pub(super) fn confirm(&self, lease_until_ms: u64) {
        self.lease_until_ms.store(lease_until_ms, Ordering::SeqCst);
    }

    /// Withdraws the confirmation.
    pub(super) fn revoke(&self) {
        self.lease_until_ms.store(0, Ordering::SeqCst);
    }

    /// Whether the lease is valid, by a clock that is read after it was loaded.
    pub(super) fn is_confirmed(&self, now_ms: impl FnOnce() -> u64) -> bool {
        let until_ms = self.lease_until_ms.load(Ordering::SeqCst);
        until_ms > 0 && now_ms() < until_ms
    }
}
