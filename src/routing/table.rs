//! Upstreams known to an entry: records with a time to live, and the choice of an upstream for a
//! request.

use std::collections::BTreeMap;

use rand::Rng;
use rand::seq::IndexedRandom;

use super::outlier::{Health, may_eject};
use super::peer::Peer;
use super::share;
use super::upstream::{Announcement, Fingerprint, State, Status, TTL_MS, Update, Upstream};

/// Milliseconds after its last announcement at which the record of a serving upstream is removed.
const RETENTION_MS: u64 = 60_000;
/// Milliseconds for which the record of a leaving upstream is retained. It is longer than
/// `RETENTION_MS`, so that a delayed announcement can't make the upstream available again.
const LEAVING_RETENTION_MS: u64 = 600_000;
/// Maximum number of records.
const MAX_RECORDS: usize = 2_048;
/// Effect of an announcement on the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Ignored: the announcement is older than the record.
    Stale,
    /// Only the time and the sequence number of the latest announcement were updated.
    Refreshed,
    /// The record changed, and other entries have to be sent an update.
    Changed,
    /// Ignored: the incarnation is already leaving, and the sender has not received that update.
    AlreadyLeaving,
    /// Ignored: the table is full.
    Full,
}

/// Why an upstream was picked.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
pub enum Reason {
    /// Slot of the own share, in the own availability zone.
    #[display("own share, own availability zone")]
    OwnZone,
    /// Slot of the own share, in another availability zone.
    #[display("own share, other availability zone")]
    OtherZone,
    /// Idle slot of another entry's share.
    #[display("borrowed")]
    Borrowed,
}

/// Result of picking an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pick {
    /// Upstream that was picked.
    pub upstream: Upstream,
    /// Number of upstreams from which it was picked.
    pub candidates: usize,
    /// Why this upstream was picked.
    pub reason: Reason,
    /// Whether the request is the probe of an ejected upstream.
    pub is_probe: bool,
}

/// Outcome of an exchange with an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The upstream returned a complete answer.
    Answered,
    /// The upstream failed to return a complete answer.
    Failed,
    /// The exchange says nothing about the health of the upstream.
    Unused,
}

/// Record of one upstream at this entry.
#[derive(Debug)]
pub(super) struct Record {
    pub(super) announcement: Announcement,
    pub(super) fingerprint: Fingerprint,
    /// When the latest announcement was made.
    pub(super) last_seen_ms: u64,
    /// When the upstream last announced itself to this entry, until a heartbeat reports it.
    pub(super) unreported_ms: Option<u64>,
    /// Slots that this entry uses.
    pub(super) used: u32,
    /// Slots that other entries use.
    pub(super) used_by_others: u32,
    /// Share of the slots of each entry, in the order of `Table::entries`.
    pub(super) shares: Vec<u32>,
    /// Share of the slots of this entry.
    pub(super) own_share: u32,
    /// Slots of its own share that this entry may use; less than the share while other entries
    /// still hold slots that they borrowed.
    pub(super) own_limit: u32,
    /// Slots that this entry may use including borrowed ones; 0 while it may not borrow.
    pub(super) borrow_limit: u32,
    /// Connections that this entry may hold.
    pub(super) connection_limit: u32,
    pub(super) health: Health,
}

/// Upstreams by ID.
#[derive(Debug)]
pub struct Table {
    pub(super) own_name: String,
    pub(super) zone: String,
    pub(super) max_connections: u32,
    pub(super) entries: Vec<String>,
    pub(super) records: BTreeMap<String, Record>,
    pub(super) ids: BTreeMap<Fingerprint, String>,
    pub(super) peers: BTreeMap<String, Peer>,
}

impl Table {
    /// Creates an empty table for the entry `own_name` in `zone`. All entries together hold at
    /// most `max_connections` to one upstream.
    pub fn new(own_name: &str, zone: &str, max_connections: u32) -> Self {
        Self {
            own_name: own_name.into(),
            zone: zone.into(),
            max_connections,
            entries: vec![own_name.into()],
            records: BTreeMap::new(),
            ids: BTreeMap::new(),
            peers: BTreeMap::new(),
        }
    }

    /// Applies an announcement that the upstream made to this entry.
    pub fn receive(&mut self, id: &str, announcement: &Announcement, now_ms: u64) -> Effect {
        let effect = self.merge(id, announcement, now_ms);
        if let (Effect::Refreshed | Effect::Changed, Some(record)) =
            (effect, self.records.get_mut(id))
        {
            record.unreported_ms = Some(now_ms);
        }
        effect
    }

    /// Applies an announcement that another entry relayed and that was made at `announced_ms`.
    pub fn merge(&mut self, id: &str, announcement: &Announcement, announced_ms: u64) -> Effect {
        let Some(record) = self.records.get_mut(id) else {
            return self.insert(id, announcement, announced_ms);
        };
        let current = &record.announcement;
        if announcement.incarnation < current.incarnation {
            return Effect::Stale;
        }
        let is_same_incarnation = announcement.incarnation == current.incarnation;
        let is_newer = !is_same_incarnation || announcement.sequence > current.sequence;
        let was_leaving = is_same_incarnation && current.state == State::Leaving;
        let is_leaving = announcement.state == State::Leaving;
        // `Leaving` is final for an incarnation, even if announcements arrive late or out of order.
        if was_leaving {
            if is_newer {
                record.announcement.sequence = announcement.sequence;
                record.last_seen_ms = record.last_seen_ms.max(announced_ms);
            }
            return match is_leaving {
                true if is_newer => Effect::Refreshed,
                true => Effect::Stale,
                false => Effect::AlreadyLeaving,
            };
        }
        if !is_newer && !is_leaving {
            return Effect::Stale;
        }
        let fingerprint = announcement.fingerprint(id);
        let is_changed = fingerprint != record.fingerprint;
        let sequence = current.sequence;
        record.announcement = announcement.clone();
        if is_same_incarnation {
            record.announcement.sequence = announcement.sequence.max(sequence);
        } else {
            record.health = Health::default();
        }
        record.last_seen_ms = record.last_seen_ms.max(announced_ms);
        if !is_changed {
            return Effect::Refreshed;
        }
        self.ids.remove(&record.fingerprint);
        record.fingerprint = fingerprint;
        self.ids.insert(fingerprint, id.into());
        self.compute_shares(id);
        Effect::Changed
    }

    fn insert(&mut self, id: &str, announcement: &Announcement, last_seen_ms: u64) -> Effect {
        if self.records.len() >= MAX_RECORDS {
            return Effect::Full;
        }
        let fingerprint = announcement.fingerprint(id);
        let record = Record {
            announcement: announcement.clone(),
            fingerprint,
            last_seen_ms,
            unreported_ms: None,
            used: 0,
            used_by_others: 0,
            shares: Vec::new(),
            own_share: 0,
            own_limit: 0,
            borrow_limit: 0,
            connection_limit: 0,
            health: Health::default(),
        };
        self.records.insert(id.into(), record);
        self.ids.insert(fingerprint, id.into());
        self.compute_shares(id);
        Effect::Changed
    }

    /// Sets the live entries, and recomputes all shares if they changed.
    pub fn set_entries(&mut self, entries: &[String]) {
        if self.entries == entries {
            return;
        }
        self.entries = entries.to_vec();
        let ids: Vec<String> = self.records.keys().cloned().collect();
        for id in ids {
            self.compute_shares(&id);
        }
    }

    fn compute_shares(&mut self, id: &str) {
        let Some(record) = self.records.get_mut(id) else { return };
        let connections = record.announcement.connections.min(self.max_connections);
        record.shares.clear();
        for entry in &self.entries {
            record.shares.push(share::compute_share(
                record.announcement.slots,
                id,
                &self.entries,
                entry,
            ));
        }
        record.own_share =
            share::compute_share(record.announcement.slots, id, &self.entries, &self.own_name);
        record.connection_limit =
            share::compute_share(connections, id, &self.entries, &self.own_name);
        record.own_limit = record.own_share;
        record.borrow_limit = 0;
    }

    /// Removes the records of upstreams and peers whose retention time has passed. Records of
    /// upstreams with slots in use are kept.
    pub fn evict_expired(&mut self, now_ms: u64) {
        let ids = &mut self.ids;
        self.records.retain(|_, record| {
            let retention_ms = match record.announcement.state {
                State::Serving => RETENTION_MS,
                State::Leaving => LEAVING_RETENTION_MS,
            };
            let is_retained = record.used > 0 || record.last_seen_ms + retention_ms > now_ms;
            if !is_retained {
                ids.remove(&record.fingerprint);
            }
            is_retained
        });
        self.peers.retain(|_, peer| peer.load_received_ms + RETENTION_MS > now_ms);
    }

    /// Picks an upstream for a kind and takes one of its slots. Chooses the less loaded of two
    /// random upstreams in the first non-empty group of upstreams with a free slot: own share in
    /// the own zone, own share in another zone, borrowed slots. Upstreams in `excluded` are
    /// skipped.
    pub fn pick(
        &mut self,
        kind: &str,
        excluded: &[String],
        now_ms: u64,
        rng: &mut impl Rng,
    ) -> Option<Pick> {
        let (mut own_zone, mut other_zone, mut borrowed) = (Vec::new(), Vec::new(), Vec::new());
        for (id, record) in &self.records {
            if !record.is_available(kind, now_ms)
                || excluded.contains(id)
                || record.used >= record.connection_limit
            {
                continue;
            }
            if record.used + record.used_by_others >= record.announcement.slots {
                continue;
            }
            if record.used < record.own_limit && record.announcement.zone == self.zone {
                own_zone.push((id, record.used));
            } else if record.used < record.own_limit {
                other_zone.push((id, record.used));
            } else if record.used < record.borrow_limit {
                borrowed.push((id, record.used));
            }
        }
        let (group, reason) = if !own_zone.is_empty() {
            (own_zone, Reason::OwnZone)
        } else if !other_zone.is_empty() {
            (other_zone, Reason::OtherZone)
        } else {
            (borrowed, Reason::Borrowed)
        };
        let candidates = group.len();
        let sampled = group.sample(rng, 2);
        let id = sampled.min_by_key(|(_, used)| *used).map(|(id, _)| (*id).clone())?;
        let record = self.records.get_mut(&id)?;
        record.used += 1;
        let is_probe = record.health.mark_start();
        let address = record.announcement.address;
        let upstream = Upstream { id, address, connections: record.connection_limit };
        Some(Pick { upstream, candidates, reason, is_probe })
    }

    /// Releases a slot; `is_probe` tells whether its request was the probe of an ejected upstream.
    pub fn release(&mut self, id: &str, is_probe: bool) {
        let Some(record) = self.records.get_mut(id) else { return };
        record.used = record.used.saturating_sub(1);
        // The slot of a probe may be released without an outcome.
        if is_probe {
            record.health.mark_inconclusive_probe();
        }
    }

    /// Records the outcome of an exchange. Returns whether it ejected the upstream.
    pub fn record_outcome(
        &mut self,
        id: &str,
        outcome: Outcome,
        is_probe: bool,
        now_ms: u64,
    ) -> bool {
        let live = self.live_count(now_ms);
        let ejected = self.records.values().filter(|record| record.health.is_ejected()).count();
        let Some(record) = self.records.get_mut(id) else { return false };
        match outcome {
            Outcome::Answered => record.health.mark_success(),
            Outcome::Unused if is_probe => record.health.mark_inconclusive_probe(),
            Outcome::Unused => {}
            Outcome::Failed => {
                return record.health.mark_failure(now_ms, is_probe, may_eject(ejected, live));
            }
        }
        false
    }

    /// Marks an upstream as leaving at an operator's request. Returns the update for other
    /// entries, or `None` if the upstream is unknown.
    pub fn drain(&mut self, id: &str) -> Option<Update> {
        let mut announcement = self.records.get(id)?.announcement.clone();
        announcement.state = State::Leaving;
        let last_seen_ms = self.records.get(id)?.last_seen_ms;
        self.merge(id, &announcement, last_seen_ms);
        self.update_for(id, last_seen_ms)
    }

    /// Number of upstreams within their time to live.
    pub fn live_count(&self, now_ms: u64) -> usize {
        self.records.values().filter(|record| record.is_live(now_ms)).count()
    }

    /// Number of slots that this entry may use for a kind now.
    pub fn capacity(&self, kind: &str, now_ms: u64) -> u32 {
        let mut slots = 0;
        for record in self.records.values() {
            if record.is_available(kind, now_ms) {
                slots += record.own_limit.max(record.borrow_limit).min(record.connection_limit);
            }
        }
        slots
    }

    /// Status of every upstream, for operators.
    pub fn statuses(&self, now_ms: u64) -> Vec<Status> {
        let mut statuses = Vec::new();
        for (id, record) in &self.records {
            statuses.push(Status {
                id: id.clone(),
                announce: record.announcement.clone(),
                silent_ms: now_ms.saturating_sub(record.last_seen_ms),
                used: record.used,
            });
        }
        statuses
    }
}

impl Record {
    /// Whether the upstream is within its time to live.
    pub(super) fn is_live(&self, now_ms: u64) -> bool {
        self.last_seen_ms + TTL_MS > now_ms
    }

    /// Whether the upstream accepts requests of a kind now.
    fn is_available(&self, kind: &str, now_ms: u64) -> bool {
        let is_serving = self.announcement.state == State::Serving && self.is_live(now_ms);
        is_serving && self.announcement.kinds.contains(kind) && self.health.is_available(now_ms)
    }
}
