//! Upstreams known to an entry: soft state with a time to live, and the pick among them.

use std::collections::BTreeMap;

use rand::Rng;
use rand::seq::IndexedRandom;

use super::outlier::{Health, may_eject};
use super::peer::Peer;
use super::share;
use super::upstream::{Announcement, Fingerprint, State, Status, TTL_MS, Update, Upstream};

/// Milliseconds of silence after which a row is dropped.
const FORGET_MS: u64 = 60_000;
/// Milliseconds for which a leaving upstream is remembered, so that late news can't revive it.
const LEAVING_MS: u64 = 600_000;
/// Most rows.
const ROWS: usize = 2_048;
/// What an announcement changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Nothing: it is older than what is known.
    Stale,
    /// Only the time at which the upstream was last heard of.
    Refreshed,
    /// The row: other entries want to know.
    Changed,
    /// Nothing: the sender's row is behind this one, which is leaving.
    AlreadyLeaving,
    /// Nothing: the table is full.
    Full,
}

/// Why an upstream was picked.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
pub enum Reason {
    /// Own share, own availability zone.
    #[display("own share, own availability zone")]
    Near,
    /// Own share, another availability zone.
    #[display("own share, other availability zone")]
    Far,
    /// Idle slots of other entries.
    #[display("borrowed")]
    Borrowed,
}

/// A pick.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pick {
    /// The upstream.
    pub upstream: Upstream,
    /// Upstreams that it was picked from.
    pub candidates: usize,
    /// Why.
    pub reason: Reason,
}

/// How an exchange with an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// With a whole answer.
    Answered,
    /// Without one, by the upstream's fault.
    Failed,
    /// Before anything was sent.
    Unused,
}

#[derive(Debug)]
pub(super) struct Known {
    pub(super) announce: Announcement,
    pub(super) mark: Fingerprint,
    pub(super) heard_ms: u64,
    pub(super) heard_directly_ms: Option<u64>,
    pub(super) used: u32,
    /// Slots that other entries use.
    pub(super) others: u32,
    /// Slots that are each entry's own, in the order of the entries.
    pub(super) parts: Vec<u32>,
    /// Slots that are this entry's own.
    pub(super) share: u32,
    /// Slots of its own that it may use while others still hold what they borrowed.
    pub(super) open: u32,
    /// Slots that it may use with what others leave idle.
    pub(super) loan: u32,
    /// Connections that it may hold.
    pub(super) connections: u32,
    pub(super) health: Health,
}

/// Upstreams by id.
#[derive(Debug)]
pub struct Table {
    pub(super) own: String,
    pub(super) zone: String,
    pub(super) most_connections: u32,
    pub(super) entries: Vec<String>,
    pub(super) known: BTreeMap<String, Known>,
    pub(super) ids: BTreeMap<Fingerprint, String>,
    pub(super) peers: BTreeMap<String, Peer>,
}

impl Table {
    /// An empty table of an entry in a zone; all entries together hold at most
    /// `most_connections` to one upstream.
    pub fn new(own: &str, zone: &str, most_connections: u32) -> Self {
        Self {
            own: own.into(),
            zone: zone.into(),
            most_connections,
            entries: vec![own.into()],
            known: BTreeMap::new(),
            ids: BTreeMap::new(),
            peers: BTreeMap::new(),
        }
    }

    /// Takes an announcement that the upstream made to this entry.
    pub fn receive(&mut self, id: &str, announce: &Announcement, now_ms: u64) -> Effect {
        let heard = self.merge(id, announce, now_ms);
        if let (Effect::Refreshed | Effect::Changed, Some(known)) = (heard, self.known.get_mut(id))
        {
            known.heard_directly_ms = Some(now_ms);
        }
        heard
    }

    /// Takes an announcement that another entry passed on, heard there at `heard_ms`.
    pub fn merge(&mut self, id: &str, announce: &Announcement, heard_ms: u64) -> Effect {
        let Some(known) = self.known.get_mut(id) else {
            return self.insert(id, announce, heard_ms);
        };
        let held = &known.announce;
        if announce.incarnation < held.incarnation {
            return Effect::Stale;
        }
        let is_same = announce.incarnation == held.incarnation;
        let is_newer = !is_same || announce.sequence > held.sequence;
        let has_left = is_same && held.state == State::Leaving;
        let leaves = announce.state == State::Leaving;
        // Leaving is final for an incarnation, whatever arrives late or out of order.
        if has_left {
            if is_newer {
                known.announce.sequence = announce.sequence;
                known.heard_ms = known.heard_ms.max(heard_ms);
            }
            return match leaves {
                true if is_newer => Effect::Refreshed,
                true => Effect::Stale,
                false => Effect::AlreadyLeaving,
            };
        }
        if !is_newer && !leaves {
            return Effect::Stale;
        }
        let mark = announce.mark(id);
        let is_changed = mark != known.mark;
        let sequence = held.sequence;
        known.announce = announce.clone();
        if is_same {
            known.announce.sequence = announce.sequence.max(sequence);
        } else {
            known.health = Health::default();
        }
        known.heard_ms = known.heard_ms.max(heard_ms);
        if !is_changed {
            return Effect::Refreshed;
        }
        self.ids.remove(&known.mark);
        known.mark = mark;
        self.ids.insert(mark, id.into());
        self.divide_one(id);
        Effect::Changed
    }

    fn insert(&mut self, id: &str, announce: &Announcement, heard_ms: u64) -> Effect {
        if self.known.len() >= ROWS {
            return Effect::Full;
        }
        let mark = announce.mark(id);
        let known = Known {
            announce: announce.clone(),
            mark,
            heard_ms,
            heard_directly_ms: None,
            used: 0,
            others: 0,
            parts: Vec::new(),
            share: 0,
            open: 0,
            loan: 0,
            connections: 0,
            health: Health::default(),
        };
        self.known.insert(id.into(), known);
        self.ids.insert(mark, id.into());
        self.divide_one(id);
        Effect::Changed
    }

    /// Notes the live entries, and divides slots anew where they changed.
    pub fn set_entries(&mut self, entries: &[String]) {
        if self.entries == entries {
            return;
        }
        self.entries = entries.to_vec();
        let ids: Vec<String> = self.known.keys().cloned().collect();
        for id in ids {
            self.divide_one(&id);
        }
    }

    fn divide_one(&mut self, id: &str) {
        let Some(known) = self.known.get_mut(id) else { return };
        let most = known.announce.connections.min(self.most_connections);
        known.parts.clear();
        for entry in &self.entries {
            known.parts.push(share::compute_share(known.announce.slots, id, &self.entries, entry));
        }
        known.share = share::compute_share(known.announce.slots, id, &self.entries, &self.own);
        known.connections = share::compute_share(most, id, &self.entries, &self.own);
        known.open = known.share;
        known.loan = 0;
    }

    /// Drops what was not heard of for long.
    pub fn evict_expired(&mut self, now_ms: u64) {
        let ids = &mut self.ids;
        self.known.retain(|_, known| {
            let keep_ms = match known.announce.state {
                State::Serving => FORGET_MS,
                State::Leaving => LEAVING_MS,
            };
            let keep = known.used > 0 || known.heard_ms + keep_ms > now_ms;
            if !keep {
                ids.remove(&known.mark);
            }
            keep
        });
        self.peers.retain(|_, peer| peer.heard_ms + FORGET_MS > now_ms);
    }

    /// Picks the less loaded of two upstreams that serve the kind, from the best group that has a
    /// free slot: own share near, own share far, borrowed. Takes the slot. Upstreams in `but`
    /// already failed this request.
    pub fn pick(
        &mut self,
        kind: &str,
        but: &[String],
        now_ms: u64,
        rng: &mut impl Rng,
    ) -> Option<Pick> {
        let (mut near, mut far, mut borrowed) = (Vec::new(), Vec::new(), Vec::new());
        for (id, known) in &self.known {
            if !known.is_open(kind, now_ms) || but.contains(id) || known.used >= known.connections {
                continue;
            }
            if known.used + known.others >= known.announce.slots {
                continue;
            }
            if known.used < known.open && known.announce.zone == self.zone {
                near.push((id, known.used));
            } else if known.used < known.open {
                far.push((id, known.used));
            } else if known.used < known.loan {
                borrowed.push((id, known.used));
            }
        }
        let (group, reason) = if !near.is_empty() {
            (near, Reason::Near)
        } else if !far.is_empty() {
            (far, Reason::Far)
        } else {
            (borrowed, Reason::Borrowed)
        };
        let candidates = group.len();
        let two = group.sample(rng, 2);
        let id = two.min_by_key(|(_, used)| *used).map(|(id, _)| (*id).clone())?;
        let known = self.known.get_mut(&id)?;
        known.used += 1;
        known.health.record_start();
        let address = known.announce.address;
        let upstream = Upstream { id, address, connections: known.connections };
        Some(Pick { upstream, candidates, reason })
    }

    /// Gives a slot back.
    pub fn release(&mut self, id: &str) {
        if let Some(known) = self.known.get_mut(id) {
            known.used = known.used.saturating_sub(1);
            // A probe whose slot was not used says nothing: the next request is the probe.
            known.health.record_inconclusive();
        }
    }

    /// Notes how an exchange ended. Returns whether the upstream was ejected by it.
    pub fn end(&mut self, id: &str, end: End, now_ms: u64) -> bool {
        let live = self.live_count(now_ms);
        let ejected = self.known.values().filter(|known| known.health.is_ejected()).count();
        let Some(known) = self.known.get_mut(id) else { return false };
        match end {
            End::Answered => known.health.record_success(),
            End::Unused => known.health.record_inconclusive(),
            End::Failed => return known.health.record_failure(now_ms, may_eject(ejected, live)),
        }
        false
    }

    /// Marks an upstream as leaving on an operator's word.
    pub fn drain(&mut self, id: &str) -> Option<Update> {
        let mut announce = self.known.get(id)?.announce.clone();
        announce.state = State::Leaving;
        let heard_ms = self.known.get(id)?.heard_ms;
        self.merge(id, &announce, heard_ms);
        self.update_for(id, heard_ms)
    }

    /// Number of upstreams heard of within the time to live.
    pub fn live_count(&self, now_ms: u64) -> usize {
        self.known.values().filter(|known| known.is_live(now_ms)).count()
    }

    /// Slots that this entry may use for a kind now.
    pub fn capacity(&self, kind: &str, now_ms: u64) -> u32 {
        let mut slots = 0;
        for known in self.known.values() {
            if known.is_open(kind, now_ms) {
                slots += known.open.max(known.loan).min(known.connections);
            }
        }
        slots
    }

    /// Rows for operators.
    pub fn statuses(&self, now_ms: u64) -> Vec<Status> {
        let mut rows = Vec::new();
        for (id, known) in &self.known {
            rows.push(Status {
                id: id.clone(),
                announce: known.announce.clone(),
                silent_ms: now_ms.saturating_sub(known.heard_ms),
                used: known.used,
            });
        }
        rows
    }
}

impl Known {
    pub(super) fn is_live(&self, now_ms: u64) -> bool {
        self.heard_ms + TTL_MS > now_ms
    }

    fn is_open(&self, kind: &str, now_ms: u64) -> bool {
        let is_serving = self.announce.state == State::Serving && self.is_live(now_ms);
        is_serving && self.announce.kinds.contains(kind) && self.health.is_available(now_ms)
    }
}
