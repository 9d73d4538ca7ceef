//! News of upstreams between entries: whole rows on change, else one list of heartbeats.

use super::peer::Peer;
use super::table::Table;
use super::upstream::{Fingerprint, Heartbeat, Heartbeats, State, Update};

impl Table {
    /// A link to an entry came up: its clock may be another one.
    pub fn reset_peer(&mut self, peer: &str) {
        self.peers.remove(peer);
    }

    /// Heartbeats for the upstreams that announced themselves here since the last call.
    pub fn take_heartbeats(&mut self, now_ms: u64) -> Heartbeats {
        let mut beats = Vec::new();
        for known in self.known.values_mut() {
            let Some(heard_ms) = known.heard_directly_ms.take() else { continue };
            beats.push(Heartbeat(
                known.mark,
                known.announce.sequence,
                now_ms.saturating_sub(heard_ms),
            ));
        }
        Heartbeats { sent_ms: now_ms, beats }
    }

    /// Takes another entry's heartbeats. Returns the marks that are unknown here.
    ///
    /// Heartbeats that waited on the way count from when they were sent, by the least offset
    /// between the two clocks that was seen.
    pub fn receive_heartbeats(
        &mut self,
        from: &str,
        beats: &Heartbeats,
        now_ms: u64,
    ) -> Vec<Fingerprint> {
        let peer = self.peer(from, now_ms);
        let offset = now_ms as i64 - beats.sent_ms as i64;
        let least = peer.least_offset_ms.map_or(offset, |least| least.min(offset));
        peer.least_offset_ms = Some(least);
        let late_ms = (offset - least) as u64;
        let mut unknown = Vec::new();
        for Heartbeat(mark, sequence, age_ms) in &beats.beats {
            let Some(known) = self.ids.get(mark).and_then(|id| self.known.get_mut(id)) else {
                unknown.push(*mark);
                continue;
            };
            if *sequence <= known.announce.sequence {
                continue;
            }
            known.announce.sequence = *sequence;
            let heard_ms = now_ms.saturating_sub(late_ms.saturating_add(*age_ms));
            known.heard_ms = known.heard_ms.max(heard_ms);
        }
        unknown
    }

    /// Rows that another entry asks for.
    pub fn updates_for(&self, marks: &[Fingerprint], now_ms: u64) -> Vec<Update> {
        let mut deltas = Vec::new();
        for mark in marks {
            let Some(id) = self.ids.get(mark) else { continue };
            deltas.extend(self.update_for(id, now_ms));
        }
        deltas
    }

    /// The row of an upstream, as told to other entries.
    pub fn update_for(&self, id: &str, now_ms: u64) -> Option<Update> {
        let known = self.known.get(id)?;
        let age_ms = now_ms.saturating_sub(known.heard_ms);
        Some(Update { id: id.into(), announce: known.announce.clone(), age_ms })
    }

    /// All rows within their time to live, for a freshly linked entry.
    pub fn all_updates(&self, now_ms: u64) -> Vec<Update> {
        let mut deltas = Vec::new();
        for (id, known) in &self.known {
            if known.announce.state == State::Leaving || known.is_live(now_ms) {
                deltas.extend(self.update_for(id, now_ms));
            }
        }
        deltas
    }

    pub(super) fn peer(&mut self, name: &str, now_ms: u64) -> &mut Peer {
        self.peers.entry(name.into()).or_insert_with(|| Peer::new(now_ms))
    }
}
