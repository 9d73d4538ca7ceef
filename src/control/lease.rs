//! Leases that the leader grants to entries, and the worst case of the chain of leases.

use std::collections::{BTreeMap, BTreeSet};

use crate::mesh::call::Renewal;
use crate::settings::Times;

/// A length as counted by whoever must outwait it: a tenth more, for clocks that run at
/// different speeds.
pub fn with_clock_drift_ms(length_ms: u64) -> u64 {
    length_ms + length_ms / 10
}

/// Longest silence of a worker after which none of its leases can still run.
///
/// An entry may grant a worker lease at the last moment of its own lease.
pub fn worker_timeout_ms(times: &Times) -> u64 {
    with_clock_drift_ms(times.entry_lease_ms + times.worker_lease_ms)
}

/// How long a new leader waits before it relies on its table of entry leases.
///
/// Leases of the old leader were asked for before this one was elected, so that they end within
/// one length of it; two elections are added for the time that the old leader may go on.
pub fn takeover_wait_ms(times: &Times) -> u64 {
    with_clock_drift_ms(times.entry_lease_ms) + times.election_ms * 2
}

#[derive(Debug, Default)]
struct Granted {
    // Version that the entry said is in force there.
    acked: u64,
    // When the last lease that came with a version runs out.
    until_ms: BTreeMap<u64, u64>,
}

impl Granted {
    fn last_ms(&self) -> u64 {
        self.until_ms.values().copied().max().unwrap_or(0)
    }
}

/// Leases by entry and incarnation.
///
/// A restarted entry does not end the lease of its earlier incarnation, which may be a process
/// that is frozen and not dead.
#[derive(Debug, Default)]
pub struct Table {
    granted: BTreeMap<(String, u64), Granted>,
}

impl Table {
    /// Notes a lease that comes with a version, and forgets those that ran out.
    pub fn grant(
        &mut self,
        entry: &str,
        renewal: &Renewal,
        version: u64,
        now_ms: u64,
        until_ms: u64,
    ) {
        for granted in self.granted.values_mut() {
            granted.until_ms.retain(|_, until_ms| *until_ms > now_ms);
        }
        self.granted.retain(|_, granted| !granted.until_ms.is_empty());
        let key = (entry.to_string(), renewal.incarnation);
        let granted = self.granted.entry(key).or_default();
        // Renewals may arrive out of order.
        granted.acked = granted.acked.max(renewal.version);
        let held = granted.until_ms.entry(version).or_default();
        *held = until_ms.max(*held);
    }

    /// Entries whose lease runs, sorted by name.
    pub fn live(&self, now_ms: u64) -> Vec<String> {
        let mut names = BTreeSet::new();
        for ((name, _), granted) in &self.granted {
            if granted.last_ms() > now_ms {
                names.insert(name.clone());
            }
        }
        names.into_iter().collect()
    }

    /// When the last lease under an older version runs out; `None` where there is none.
    ///
    /// An entry takes up a lease and the version that comes with it as one. So an entry that is
    /// heard but hears nothing holds an older version only until its last lease from before.
    pub fn in_force_at(&self, version: u64, now_ms: u64) -> Option<u64> {
        let mut last_ms = None;
        for granted in self.granted.values() {
            if granted.acked >= version {
                continue;
            }
            for (_, until_ms) in granted.until_ms.range(..version) {
                if *until_ms > now_ms {
                    last_ms = last_ms.max(Some(*until_ms));
                }
            }
        }
        last_ms
    }

    /// Whether this incarnation of an entry may hold a lease.
    pub fn is_live(&self, entry: &str, incarnation: u64, now_ms: u64) -> bool {
        let held = self.granted.get(&(entry.to_string(), incarnation));
        held.is_some_and(|granted| granted.last_ms() > now_ms)
    }
}
