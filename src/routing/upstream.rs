//! Upstreams known to an entry: soft state with a time to live.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};

/// Milliseconds after which an upstream that is not heard of again gets no new work.
pub const TTL_MS: u64 = 3_000;

/// An upstream's announcement of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announce {
    /// Address that entries dial.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Requests it takes at once.
    pub slots: u32,
    /// Connections it takes at once.
    pub connections: u32,
    /// Kinds that it serves.
    pub kinds: BTreeSet<String>,
    /// Random number of this start; greater is newer.
    pub incarnation: u64,
    /// Number of this announcement within the incarnation.
    pub sequence: u64,
    /// State.
    pub state: State,
}

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Takes new work.
    Serving,
    /// Takes none; holds for the rest of its incarnation.
    Leaving,
}

/// An upstream as entries tell it to one another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Upstream.
    pub id: String,
    /// Its latest announcement.
    pub announce: Announce,
}

/// Load of one entry's share of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Upstream.
    pub id: String,
    /// Slots that the sender uses.
    pub used: u32,
}

/// An upstream that was picked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Id.
    pub id: String,
    /// Address.
    pub address: SocketAddr,
}

/// Row for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Id.
    pub id: String,
    /// Latest announcement.
    pub announce: Announce,
    /// Milliseconds since it was last heard of.
    pub silent_ms: u64,
    /// Slots in use by this entry.
    pub used: u32,
}

#[derive(Debug)]
struct Known {
    announce: Announce,
    heard_ms: u64,
    used: u32,
}

/// Upstreams by id.
#[derive(Debug)]
pub struct Table {
    zone: String,
    known: BTreeMap<String, Known>,
}

impl Table {
    /// An empty table of an entry in this zone.
    pub fn new(zone: &str) -> Self {
        Self { zone: zone.into(), known: BTreeMap::new() }
    }

    /// Takes an announcement, heard directly or through another entry. Returns whether it is
    /// news that other entries want.
    pub fn hear(&mut self, id: &str, announce: &Announce, now_ms: u64) -> bool {
        let Some(known) = self.known.get_mut(id) else {
            let known = Known { announce: announce.clone(), heard_ms: now_ms, used: 0 };
            self.known.insert(id.into(), known);
            return true;
        };
        let held = (known.announce.incarnation, known.announce.sequence);
        let told = (announce.incarnation, announce.sequence);
        if told <= held {
            return false;
        }
        // Leaving is final for an incarnation, whatever arrives late.
        let same = known.announce.incarnation == announce.incarnation;
        let left = same && known.announce.state == State::Leaving;
        known.announce = announce.clone();
        if left {
            known.announce.state = State::Leaving;
        }
        known.heard_ms = now_ms;
        true
    }

    /// Picks the less loaded of two upstreams that serve the kind and have a free slot, in the
    /// own zone first; takes the slot and tells how many candidates there were.
    pub fn pick(&mut self, kind: &str, now_ms: u64) -> Option<(Upstream, usize)> {
        let mut near = Vec::new();
        let mut far = Vec::new();
        for (id, known) in &self.known {
            let open = known.announce.state == State::Serving && known.heard_ms + TTL_MS > now_ms;
            if !open || known.used >= known.announce.slots || !known.announce.kinds.contains(kind) {
                continue;
            }
            if known.announce.zone == self.zone {
                near.push((id, known.used));
            } else {
                far.push((id, known.used));
            }
        }
        let candidates = if near.is_empty() { far } else { near };
        let count = candidates.len();
        let two = candidates.sample(&mut rand::rng(), 2);
        let id = two.min_by_key(|(_, used)| *used).map(|(id, _)| (*id).clone())?;
        let known = self.known.get_mut(&id)?;
        known.used += 1;
        let address = known.announce.address;
        Some((Upstream { id, address }, count))
    }

    /// Gives a slot back.
    pub fn release(&mut self, id: &str) {
        if let Some(known) = self.known.get_mut(id) {
            known.used = known.used.saturating_sub(1);
        }
    }

    /// Marks an upstream as leaving on an operator's word; `false` where it is unknown.
    pub fn drain(&mut self, id: &str) -> Option<Delta> {
        let known = self.known.get_mut(id)?;
        known.announce.state = State::Leaving;
        known.announce.sequence += 1;
        Some(Delta { id: id.into(), announce: known.announce.clone() })
    }

    /// Number of upstreams heard of within the time to live.
    pub fn live(&self, now_ms: u64) -> usize {
        self.known.values().filter(|known| known.heard_ms + TTL_MS > now_ms).count()
    }

    /// Rows for operators.
    pub fn rows(&self, now_ms: u64) -> Vec<Row> {
        let mut rows = Vec::new();
        for (id, known) in &self.known {
            rows.push(Row {
                id: id.clone(),
                announce: known.announce.clone(),
                silent_ms: now_ms.saturating_sub(known.heard_ms),
                used: known.used,
            });
        }
        rows
    }
}
