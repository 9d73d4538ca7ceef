//! Leases that the leader grants to entries, and the worst-case duration of the lease chain from
//! leader to entry to worker.

use std::collections::{BTreeMap, BTreeSet};

use crate::mesh::call::Renewal;
use crate::settings::Times;

/// The time to wait until a lease of this length has certainly expired: a tenth longer, since
/// clocks run at different speeds.
pub fn with_clock_drift_ms(length_ms: u64) -> u64 {
    length_ms + length_ms / 10
}

/// Time without contact with a worker after which all of its leases have expired.
///
/// An entry may grant a worker lease at the last moment of its own lease, so that both lengths add
/// up.
pub fn worker_timeout_ms(times: &Times) -> u64 {
    with_clock_drift_ms(times.entry_lease_ms + times.worker_lease_ms)
}

/// How long a new leader waits before it relies on its own table of entry leases.
///
/// Leases of the old leader were requested before the new one was elected, so that they expire
/// within one lease length of the election. Two election timeouts are added for the time during
/// which the old leader may still act as leader.
pub fn takeover_wait_ms(times: &Times) -> u64 {
    with_clock_drift_ms(times.entry_lease_ms) + times.election_ms * 2
}

// Leases of one incarnation of an entry.
#[derive(Debug, Default)]
struct Record {
    // Configuration version that the entry has confirmed to be in force.
    acked_version: u64,
    // Expiry of the last lease granted with each version.
    expiry_ms_by_version: BTreeMap<u64, u64>,
}

impl Record {
    fn last_expiry_ms(&self) -> u64 {
        self.expiry_ms_by_version.values().copied().max().unwrap_or(0)
    }
}

/// Leases by entry and incarnation.
///
/// The restart of an entry does not end the leases of its earlier incarnation: that process may be
/// frozen and not dead.
#[derive(Debug, Default)]
pub struct Table {
    by_entry: BTreeMap<(String, u64), Record>,
}

impl Table {
    /// Records a lease that is granted with a configuration version, and removes expired leases.
    pub fn grant(
        &mut self,
        entry: &str,
        renewal: &Renewal,
        version: u64,
        now_ms: u64,
        expiry_ms: u64,
    ) {
        for leases in self.by_entry.values_mut() {
            leases.expiry_ms_by_version.retain(|_, expiry_ms| *expiry_ms > now_ms);
        }
        self.by_entry.retain(|_, leases| !leases.expiry_ms_by_version.is_empty());
        let key = (entry.to_string(), renewal.incarnation);
        let leases = self.by_entry.entry(key).or_default();
        // Renewals may arrive out of order, so that the highest acknowledged version counts.
        leases.acked_version = leases.acked_version.max(renewal.version);
        let current_ms = leases.expiry_ms_by_version.entry(version).or_default();
        *current_ms = expiry_ms.max(*current_ms);
    }

    /// Entries that hold a lease, sorted by name.
    pub fn live(&self, now_ms: u64) -> Vec<String> {
        let mut names = BTreeSet::new();
        for ((name, _), leases) in &self.by_entry {
            if leases.last_expiry_ms() > now_ms {
                names.insert(name.clone());
            }
        }
        names.into_iter().collect()
    }

    /// Expiry of the last lease under an older version, after which `version` is in force
    /// everywhere; `None` if it is in force now.
    ///
    /// An entry adopts a lease and the version that comes with it atomically. An entry whose
    /// renewals arrive but which does not get the answers therefore keeps an older version only
    /// until the last lease granted with that version expires.
    pub fn in_force_at(&self, version: u64, now_ms: u64) -> Option<u64> {
        let mut last_expiry_ms = None;
        for leases in self.by_entry.values() {
            if leases.acked_version >= version {
                continue;
            }
            for (_, expiry_ms) in leases.expiry_ms_by_version.range(..version) {
                if *expiry_ms > now_ms {
                    last_expiry_ms = last_expiry_ms.max(Some(*expiry_ms));
                }
            }
        }
        last_expiry_ms
    }

    /// Whether this incarnation of an entry may still hold a lease.
    pub fn is_live(&self, entry: &str, incarnation: u64, now_ms: u64) -> bool {
        let leases = self.by_entry.get(&(entry.to_string(), incarnation));
        leases.is_some_and(|leases| leases.last_expiry_ms() > now_ms)
    }
}
