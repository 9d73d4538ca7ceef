//! Leases that the leader grants to entries, and the worst case of the chain of leases.

use std::collections::BTreeMap;

use crate::mesh::call::Renewal;
use crate::settings::Times;

/// Longest silence of a worker after which none of its leases can still run.
///
/// An entry may grant a worker lease at the last moment of its own lease. A tenth is added for
/// clocks that run at different speeds.
pub(super) fn worker_silence_ms(times: &Times) -> u64 {
    let chain_ms = times.entry_lease_ms + times.worker_lease_ms;
    chain_ms + chain_ms / 10
}

#[derive(Debug)]
struct Granted {
    incarnation: u64,
    version: u64,
    until_ms: u64,
}

/// Leases by entry.
#[derive(Debug, Default)]
pub(super) struct Table {
    granted: BTreeMap<String, Granted>,
}

impl Table {
    pub(super) fn grant(&mut self, entry: &str, renewal: &Renewal, until_ms: u64) {
        let granted =
            Granted { incarnation: renewal.incarnation, version: renewal.version, until_ms };
        self.granted.insert(entry.into(), granted);
    }

    /// Entries whose lease runs, sorted by name.
    pub(super) fn live(&self, now_ms: u64) -> Vec<String> {
        let live = self.granted.iter().filter(|(_, granted)| granted.until_ms > now_ms);
        live.map(|(name, _)| name.clone()).collect()
    }

    /// When the last lease with an older version runs out; `None` where there is none.
    pub(super) fn in_force_at(&self, version: u64, now_ms: u64) -> Option<u64> {
        let old = self.granted.values().filter(|granted| granted.version < version);
        let running = old.filter(|granted| granted.until_ms > now_ms);
        running.map(|granted| granted.until_ms).max()
    }

    /// Whether this incarnation of an entry may hold a lease.
    pub(super) fn is_live(&self, entry: &str, incarnation: u64, now_ms: u64) -> bool {
        self.granted
            .get(entry)
            .is_some_and(|held| held.incarnation == incarnation && held.until_ms > now_ms)
    }
}
