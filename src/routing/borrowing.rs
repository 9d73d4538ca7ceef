//! Borrowing of idle slots, agreed on by what entries tell one another of their load.

use std::collections::BTreeMap;

use super::peer::Peer;
use super::share;
use super::table::{Known, Table};
use super::upstream::{Load, Used};

impl Table {
    /// Load of this entry, and the start of a new period of borrowing.
    pub fn report_load(&mut self, waiting: u32, now_ms: u64) -> Load {
        self.lend(waiting, now_ms);
        let mut used = Vec::new();
        for known in self.known.values() {
            // What waiting requests may take before the next report counts as taken.
            let soon = if waiting > 0 { known.open.max(known.loan) } else { 0 };
            let taken = known.used.max(soon);
            if taken > 0 {
                used.push(Used(known.mark.low(), taken));
            }
        }
        Load { waiting, used }
    }

    /// Takes another entry's load.
    pub fn receive_load(&mut self, from: &str, load: Load, now_ms: u64) {
        let peer = self.peer(from, now_ms);
        peer.load = load;
        peer.heard_ms = now_ms;
        self.count_others(now_ms);
    }

    // Slots in use by others are out of reach, whoever's share they are: a lender waits for the
    // exchange of its borrower to end.
    fn count_others(&mut self, now_ms: u64) {
        let mut others: BTreeMap<u32, u32> = BTreeMap::new();
        for entry in &self.entries {
            let Some(peer) = self.peers.get(entry) else { continue };
            if !peer.is_heard(now_ms) {
                continue;
            }
            for Used(low, used) in &peer.load.used {
                *others.entry(*low).or_default() += used;
            }
        }
        for known in self.known.values_mut() {
            known.others = others.get(&known.mark.low()).copied().unwrap_or(0);
        }
    }

    // What is not used by entries without waiting requests, nor is the share of one with them, is
    // divided among those with waiting requests; all of them see the same, so they agree without a
    // message more.
    fn lend(&mut self, waiting: u32, now_ms: u64) {
        self.count_others(now_ms);
        let pressed = self.pressed(waiting, now_ms).unwrap_or_default();
        let may_borrow = pressed.contains(&self.own);
        for (id, known) in &mut self.known {
            let claim = Claim { id, own: &self.own, entries: &self.entries, pressed: &pressed };
            known.open = claim.open(known, &self.peers);
            known.loan = 0;
            if !may_borrow {
                continue;
            }
            let mut idle = known.announce.slots;
            for (at, entry) in self.entries.iter().enumerate() {
                let kept = match pressed.contains(entry) {
                    true => known.parts.get(at).copied().unwrap_or(0),
                    false => self.peers.get(entry).map_or(0, |peer| peer.uses(known.mark)),
                };
                idle = idle.saturating_sub(kept);
            }
            known.loan = known.share + share::compute_share(idle, id, &pressed, &self.own);
        }
    }

    // Entries where requests wait; `None` where an entry can't be heard, as its load is unknown.
    fn pressed(&self, waiting: u32, now_ms: u64) -> Option<Vec<String>> {
        let mut pressed = Vec::new();
        for entry in &self.entries {
            let waits = if *entry == self.own {
                waiting
            } else {
                let peer = self.peers.get(entry)?;
                if !peer.is_heard(now_ms) {
                    return None;
                }
                peer.load.waiting
            };
            if waits > 0 {
                pressed.push(entry.clone());
            }
        }
        Some(pressed)
    }
}

/// An entry's claim to its own slots of one upstream.
struct Claim<'a> {
    id: &'a str,
    own: &'a str,
    entries: &'a [String],
    pressed: &'a [String],
}

impl Claim<'_> {
    // While another entry holds more than its part, the slots that come free are divided among the
    // entries that wait for theirs; otherwise each would take the same ones.
    fn open(&self, known: &Known, peers: &BTreeMap<String, Peer>) -> u32 {
        let mut is_lent = false;
        let mut claimants = Vec::new();
        for (entry, part) in self.entries.iter().zip(&known.parts) {
            let used = match entry == self.own {
                true => known.used,
                false => peers.get(entry).map_or(0, |peer| peer.uses(known.mark)),
            };
            is_lent |= used > *part;
            if used < *part && self.pressed.contains(entry) {
                claimants.push(entry.clone());
            }
        }
        if !is_lent {
            return known.share;
        }
        if !claimants.iter().any(|entry| entry == self.own) {
            return known.share.min(known.used);
        }
        let free = known.announce.slots.saturating_sub(known.used + known.others);
        known.share.min(known.used + share::compute_share(free, self.id, &claimants, self.own))
    }
}
