//! Gossip between entries about upstreams and load.

use std::sync::Arc;
use std::time::Duration;

use super::Entry;
use crate::mesh::frame::{Frame, Hello, Notice};
use crate::routing::table::Effect;
use crate::routing::upstream::{Fingerprint, Heartbeats, Update};

/// Interval between two reports of load.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Number of load reports for each list of heartbeats of upstreams.
const LOAD_REPORTS_PER_HEARTBEAT: u64 = 2;

/// Broadcasts load and heartbeats to the other entries and runs the maintenance of the router, in
/// an endless loop.
pub async fn broadcast_periodically(entry: Arc<Entry>) {
    let mut ticks = entry.timer.interval(LOAD_REPORT_INTERVAL);
    for tick in 0.. {
        let now_ms = ticks.tick().await;
        let entries = entry.lease.lock().entries.clone();
        let waiting = entry.router.waiting_count() as u32;
        let load = {
            let mut upstreams = entry.router.upstreams.lock();
            upstreams.set_entries(&entries);
            upstreams.report_load(waiting, now_ms)
        };
        entry.mesh.broadcast(&Notice::Load(load));
        if tick % LOAD_REPORTS_PER_HEARTBEAT == 0 {
            broadcast_heartbeats(&entry, now_ms);
        }
        entry.router.run_maintenance();
    }
}

fn broadcast_heartbeats(entry: &Entry, now_ms: u64) {
    let heartbeats = entry.router.upstreams.lock().take_heartbeats(now_ms);
    if !heartbeats.beats.is_empty() {
        entry.mesh.broadcast(&Notice::Beats(heartbeats));
    }
}

impl Entry {
    /// Sends the whole record of an upstream to all entries.
    pub(super) fn broadcast_upstream(&self, id: &str) {
        let now_ms = self.timer.now_ms();
        let update = self.router.upstreams.lock().update_for(id, now_ms);
        self.mesh.broadcast(&Notice::Upstreams(update.into_iter().collect()));
        self.router.dispatch_waiting();
    }

    /// Sends all records of upstreams to an entry to which a link was just established.
    pub fn on_link(&self, peer: &Hello) {
        if !peer.is_entry {
            return;
        }
        let now_ms = self.timer.now_ms();
        let updates = {
            let mut upstreams = self.router.upstreams.lock();
            upstreams.reset_peer(&peer.name);
            upstreams.all_updates(now_ms)
        };
        self.send_updates(&peer.name, updates);
    }

    pub(super) fn on_upstream_updates(&self, from: &str, updates: &[Update]) {
        let now_ms = self.timer.now_ms();
        let mut missed_updates = Vec::new();
        {
            let mut upstreams = self.router.upstreams.lock();
            for update in updates {
                let announced_ms = now_ms.saturating_sub(update.age_ms);
                let effect = upstreams.merge(&update.id, &update.announce, announced_ms);
                if effect == Effect::AlreadyLeaving {
                    missed_updates.extend(upstreams.update_for(&update.id, now_ms));
                }
            }
        }
        // The sender has not yet received the updates that these upstreams are leaving.
        self.send_updates(from, missed_updates);
        self.router.dispatch_waiting();
    }

    pub(super) fn on_heartbeats(&self, from: &str, heartbeats: &Heartbeats) {
        let now_ms = self.timer.now_ms();
        let unknown_fingerprints =
            self.router.upstreams.lock().receive_heartbeats(from, heartbeats, now_ms);
        if !unknown_fingerprints.is_empty() {
            self.mesh.send(from, Frame::Notice(Notice::Want(unknown_fingerprints)));
        }
        self.router.dispatch_waiting();
    }

    pub(super) fn on_update_request(&self, from: &str, fingerprints: &[Fingerprint]) {
        let now_ms = self.timer.now_ms();
        let updates = self.router.upstreams.lock().updates_for(fingerprints, now_ms);
        self.send_updates(from, updates);
    }

    fn send_updates(&self, to: &str, updates: Vec<Update>) {
        if !updates.is_empty() {
            self.mesh.send(to, Frame::Notice(Notice::Upstreams(updates)));
        }
    }
}
