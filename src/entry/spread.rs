//! Tells the other entries of upstreams and load, and hears of theirs.

use std::sync::Arc;
use std::time::Duration;

use super::Entry;
use crate::mesh::frame::{Frame, Hello, Notice};
use crate::routing::table::Effect;
use crate::routing::upstream::{Fingerprint, Heartbeats, Update};

/// Between two reports of load.
const LOAD: Duration = Duration::from_millis(500);
/// Reports of load for each list of heartbeats.
const BEATS: u64 = 2;

/// Tells load and heartbeats for ever.
pub async fn keep(entry: Arc<Entry>) {
    let mut ticks = entry.timer.interval(LOAD);
    for number in 0.. {
        let now_ms = ticks.tick().await;
        let entries = entry.standing.lock().entries.clone();
        let waiting = entry.router.waiting_count() as u32;
        let load = {
            let mut upstreams = entry.router.upstreams.lock();
            upstreams.set_entries(&entries);
            upstreams.report_load(waiting, now_ms)
        };
        entry.mesh.broadcast(&Notice::Load(load));
        if number % BEATS == 0 {
            tell_beats(&entry, now_ms);
        }
        entry.router.run_maintenance();
    }
}

fn tell_beats(entry: &Entry, now_ms: u64) {
    let beats = entry.router.upstreams.lock().take_heartbeats(now_ms);
    if !beats.beats.is_empty() {
        entry.mesh.broadcast(&Notice::Beats(beats));
    }
}

impl Entry {
    /// Tells all entries the whole row of an upstream.
    pub(super) fn tell_upstream(&self, id: &str) {
        let now_ms = self.timer.now_ms();
        let delta = self.router.upstreams.lock().update_for(id, now_ms);
        self.mesh.broadcast(&Notice::Upstreams(delta.into_iter().collect()));
        self.router.dispatch_waiting();
    }

    /// Tells a freshly linked entry all rows.
    pub fn on_link(&self, peer: &Hello) {
        if !peer.is_entry {
            return;
        }
        let now_ms = self.timer.now_ms();
        let deltas = {
            let mut upstreams = self.router.upstreams.lock();
            upstreams.reset_peer(&peer.name);
            upstreams.all_updates(now_ms)
        };
        self.send_deltas(&peer.name, deltas);
    }

    pub(super) fn on_deltas(&self, from: &str, deltas: &[Update]) {
        let now_ms = self.timer.now_ms();
        let mut behind = Vec::new();
        {
            let mut upstreams = self.router.upstreams.lock();
            for delta in deltas {
                let heard_ms = now_ms.saturating_sub(delta.age_ms);
                let heard = upstreams.merge(&delta.id, &delta.announce, heard_ms);
                if heard == Effect::AlreadyLeaving {
                    behind.extend(upstreams.update_for(&delta.id, now_ms));
                }
            }
        }
        // The sender missed that the upstream leaves.
        self.send_deltas(from, behind);
        self.router.dispatch_waiting();
    }

    pub(super) fn on_beats(&self, from: &str, beats: &Heartbeats) {
        let now_ms = self.timer.now_ms();
        let unknown = self.router.upstreams.lock().receive_heartbeats(from, beats, now_ms);
        if !unknown.is_empty() {
            self.mesh.send(from, Frame::Notice(Notice::Want(unknown)));
        }
        self.router.dispatch_waiting();
    }

    pub(super) fn on_want(&self, from: &str, marks: &[Fingerprint]) {
        let now_ms = self.timer.now_ms();
        let deltas = self.router.upstreams.lock().updates_for(marks, now_ms);
        self.send_deltas(from, deltas);
    }

    fn send_deltas(&self, to: &str, deltas: Vec<Update>) {
        if !deltas.is_empty() {
            self.mesh.send(to, Frame::Notice(Notice::Upstreams(deltas)));
        }
    }
}
