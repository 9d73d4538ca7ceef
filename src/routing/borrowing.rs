//! Borrowing of idle slots between entries, based on the load reports that they exchange.

use std::collections::BTreeMap;

use super::peer::Peer;
use super::share;
use super::table::{Record, Table};
use super::upstream::{Load, Usage};

impl Table {
    /// Recomputes the slots that this entry may use until its next load report, and returns the
    /// report.
    pub fn report_load(&mut self, waiting: u32, now_ms: u64) -> Load {
        self.update_limits(waiting, now_ms);
        let mut used = Vec::new();
        for record in self.records.values() {
            // Slots that waiting requests may take before the next report count as used.
            let allowed = if waiting > 0 { record.own_limit.max(record.borrow_limit) } else { 0 };
            let reported = record.used.max(allowed);
            if reported > 0 {
                used.push(Usage(record.fingerprint.low_bits(), reported));
            }
        }
        Load { waiting, used }
    }

    /// Stores another entry's load report.
    pub fn receive_load(&mut self, from: &str, load: Load, now_ms: u64) {
        let peer = self.peer_mut(from, now_ms);
        peer.load = load;
        peer.load_received_ms = now_ms;
        self.update_used_by_others(now_ms);
    }

    // Slots that other entries use are unavailable here whichever entry's share they belong to:
    // an entry that lent slots waits until the borrower's exchanges end.
    fn update_used_by_others(&mut self, now_ms: u64) {
        let mut used_by_others: BTreeMap<u32, u32> = BTreeMap::new();
        for entry in &self.entries {
            let Some(peer) = self.peers.get(entry) else { continue };
            if !peer.is_load_fresh(now_ms) {
                continue;
            }
            for Usage(low_bits, used) in &peer.load.used {
                *used_by_others.entry(*low_bits).or_default() += used;
            }
        }
        for record in self.records.values_mut() {
            record.used_by_others =
                used_by_others.get(&record.fingerprint.low_bits()).copied().unwrap_or(0);
        }
    }

    // Idle slots are those that are neither used by an entry without waiting requests nor part of
    // the share of an entry with waiting requests. They are divided among the entries with
    // waiting requests. All entries compute this from the same load reports, so they agree
    // without further messages.
    fn update_limits(&mut self, waiting: u32, now_ms: u64) {
        self.update_used_by_others(now_ms);
        let backlogged = self.backlogged_entries(waiting, now_ms).unwrap_or_default();
        let may_borrow = backlogged.contains(&self.own_name);
        for (id, record) in &mut self.records {
            let division = Division {
                id,
                own_name: &self.own_name,
                entries: &self.entries,
                backlogged: &backlogged,
            };
            record.own_limit = division.own_limit(record, &self.peers);
            record.borrow_limit = 0;
            if !may_borrow {
                continue;
            }
            let mut idle = record.announcement.slots;
            for (at, entry) in self.entries.iter().enumerate() {
                let kept = match backlogged.contains(entry) {
                    true => record.shares.get(at).copied().unwrap_or(0),
                    false => {
                        self.peers.get(entry).map_or(0, |peer| peer.used_slots(record.fingerprint))
                    }
                };
                idle = idle.saturating_sub(kept);
            }
            record.borrow_limit =
                record.own_share + share::compute_share(idle, id, &backlogged, &self.own_name);
        }
    }

    // Entries with waiting requests; `None` if the load of any entry is unknown.
    fn backlogged_entries(&self, waiting: u32, now_ms: u64) -> Option<Vec<String>> {
        let mut backlogged = Vec::new();
        for entry in &self.entries {
            let entry_waiting = if *entry == self.own_name {
                waiting
            } else {
                let peer = self.peers.get(entry)?;
                if !peer.is_load_fresh(now_ms) {
                    return None;
                }
                peer.load.waiting
            };
            if entry_waiting > 0 {
                backlogged.push(entry.clone());
            }
        }
        Some(backlogged)
    }
}

/// Division of one upstream's slots among the entries.
struct Division<'a> {
    id: &'a str,
    own_name: &'a str,
    entries: &'a [String],
    backlogged: &'a [String],
}

impl Division<'_> {
    // Slots of its own share that this entry may use. While another entry uses more than its
    // share, the free slots are divided among the entries that wait for theirs; otherwise all of
    // them would take the same slots.
    fn own_limit(&self, record: &Record, peers: &BTreeMap<String, Peer>) -> u32 {
        let mut is_lent = false;
        let mut claimants = Vec::new();
        for (entry, share) in self.entries.iter().zip(&record.shares) {
            let used = match entry == self.own_name {
                true => record.used,
                false => peers.get(entry).map_or(0, |peer| peer.used_slots(record.fingerprint)),
            };
            is_lent |= used > *share;
            if used < *share && self.backlogged.contains(entry) {
                claimants.push(entry.clone());
            }
        }
        if !is_lent {
            return record.own_share;
        }
        if !claimants.iter().any(|entry| entry == self.own_name) {
            return record.own_share.min(record.used);
        }
        let free = record.announcement.slots.saturating_sub(record.used + record.used_by_others);
        record
            .own_share
            .min(record.used + share::compute_share(free, self.id, &claimants, self.own_name))
    }
}
