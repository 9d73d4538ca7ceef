//! Exchange of upstream records between entries: a changed record is sent whole, unchanged ones
//! only as heartbeats.

use super::peer::Peer;
use super::table::Table;
use super::upstream::{Fingerprint, Heartbeat, Heartbeats, State, Update};

impl Table {
    /// Resets the state kept about an entry when a link to it is established: it may have
    /// restarted with another clock.
    pub fn reset_peer(&mut self, peer: &str) {
        self.peers.remove(peer);
    }

    /// Returns heartbeats of the upstreams that announced themselves here since the last call.
    pub fn take_heartbeats(&mut self, now_ms: u64) -> Heartbeats {
        let mut heartbeats = Vec::new();
        for record in self.records.values_mut() {
            let Some(announced_ms) = record.unreported_ms.take() else { continue };
            heartbeats.push(Heartbeat(
                record.fingerprint,
                record.announcement.sequence,
                now_ms.saturating_sub(announced_ms),
            ));
        }
        Heartbeats { sent_ms: now_ms, beats: heartbeats }
    }

    /// Applies another entry's heartbeats. Returns the fingerprints that are unknown here.
    ///
    /// The age of a heartbeat includes its delay in transit, which is estimated as the excess of
    /// this message's clock offset over the minimum observed offset between the two clocks.
    pub fn receive_heartbeats(
        &mut self,
        from: &str,
        heartbeats: &Heartbeats,
        now_ms: u64,
    ) -> Vec<Fingerprint> {
        let peer = self.peer_mut(from, now_ms);
        let offset_ms = now_ms as i64 - heartbeats.sent_ms as i64;
        let min_offset_ms = peer.min_offset_ms.map_or(offset_ms, |min_ms| min_ms.min(offset_ms));
        peer.min_offset_ms = Some(min_offset_ms);
        let delay_ms = (offset_ms - min_offset_ms) as u64;
        let mut unknown = Vec::new();
        for Heartbeat(fingerprint, sequence, age_ms) in &heartbeats.beats {
            let Some(record) = self.ids.get(fingerprint).and_then(|id| self.records.get_mut(id))
            else {
                unknown.push(*fingerprint);
                continue;
            };
            if *sequence <= record.announcement.sequence {
                continue;
            }
            record.announcement.sequence = *sequence;
            let announced_ms = now_ms.saturating_sub(delay_ms.saturating_add(*age_ms));
            record.last_seen_ms = record.last_seen_ms.max(announced_ms);
        }
        unknown
    }

    /// Updates for the records that another entry requests.
    pub fn updates_for(&self, fingerprints: &[Fingerprint], now_ms: u64) -> Vec<Update> {
        let mut updates = Vec::new();
        for fingerprint in fingerprints {
            let Some(id) = self.ids.get(fingerprint) else { continue };
            updates.extend(self.update_for(id, now_ms));
        }
        updates
    }

    /// Update for the record of an upstream.
    pub fn update_for(&self, id: &str, now_ms: u64) -> Option<Update> {
        let record = self.records.get(id)?;
        let age_ms = now_ms.saturating_sub(record.last_seen_ms);
        Some(Update { id: id.into(), announce: record.announcement.clone(), age_ms })
    }

    /// Updates for all leaving upstreams and all within their time to live, for a newly linked
    /// entry.
    pub fn all_updates(&self, now_ms: u64) -> Vec<Update> {
        let mut updates = Vec::new();
        for (id, record) in &self.records {
            if record.announcement.state == State::Leaving || record.is_live(now_ms) {
                updates.extend(self.update_for(id, now_ms));
            }
        }
        updates
    }

    pub(super) fn peer_mut(&mut self, name: &str, now_ms: u64) -> &mut Peer {
        self.peers.entry(name.into()).or_insert_with(|| Peer::new(now_ms))
    }
}
