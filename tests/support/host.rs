//! The in-memory disk of one host.

use std::collections::BTreeMap;

use eelgrassvalve::replica::member::{Id, Members};
use eelgrassvalve::replica::{Effect, Entry, Payload, State};

use super::Host;

impl Host {
    pub(super) fn new(id: Id, disk: State) -> Self {
        Self {
            id,
            replica: None,
            applied_values: Vec::new(),
            disk,
            applied_index: 0,
            started_ms: 0,
            clock_percent: 100,
            restart_ms: 0,
            pending_effects: Vec::new(),
            proposals: BTreeMap::new(),
            appended: BTreeMap::new(),
            reads: BTreeMap::new(),
        }
    }

    /// Keeps a crashed host from restarting by itself.
    pub fn prevent_restart(&mut self) {
        self.restart_ms = u64::MAX;
    }

    /// Writes an effect to the disk and returns the index and term of the last appended entry.
    pub(super) fn persist(&mut self, effect: &Effect) -> Option<(u64, u64)> {
        match effect {
            Effect::SaveVote(vote) => self.disk.vote = *vote,
            Effect::Append(entries) => {
                let first = entries.first()?.index;
                self.disk.entries.retain(|entry| entry.index < first);
                self.disk.entries.extend(entries.iter().cloned());
                return entries.last().map(|entry| (entry.index, entry.term));
            }
            Effect::SaveSnapshot { snapshot, reset } => {
                let keep = |entry: &Entry| !reset && entry.index > snapshot.index;
                self.disk.entries.retain(keep);
                self.disk.snapshot = snapshot.clone();
            }
            _ => {}
        }
        None
    }

    /// Latest membership on the disk, committed or not.
    pub(super) fn latest_members(&self) -> Option<Members> {
        for entry in self.disk.entries.iter().rev() {
            if let Payload::Members(members) = &entry.payload {
                return Some(members.clone());
            }
        }
        (self.disk.snapshot.index > 0).then(|| self.disk.snapshot.members.clone())
    }
}
