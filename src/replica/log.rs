//! In-memory log of a replica: a snapshot and the entries after it.

use std::collections::VecDeque;

use super::member::Members;
use super::{Entry, Payload, Snapshot};

/// A snapshot and the entries after it.
#[derive(Debug)]
pub struct Log {
    snapshot: Snapshot,
    entries: VecDeque<Entry>,
    // The snapshot's membership and those of later entries, by index, in ascending order.
    memberships: Vec<(u64, Members)>,
}

impl Log {
    /// Creates a log from a stored snapshot and the stored entries after it.
    pub fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        let mut log = Self {
            memberships: vec![(snapshot.index, snapshot.members.clone())],
            snapshot,
            entries: VecDeque::new(),
        };
        for entry in entries {
            log.push(entry);
        }
        log
    }

    /// The snapshot that the entries follow.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Index of the last entry, or of the snapshot if there are no entries.
    pub fn last_index(&self) -> u64 {
        self.snapshot.index + self.entries.len() as u64
    }

    /// Term at the last index.
    pub fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.snapshot.term, |entry| entry.term)
    }

    /// Term at an index, or `None` if that index is compacted away or not yet in the log.
    pub fn term(&self, index: u64) -> Option<u64> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Entry at an index, or `None` if it is compacted away or not yet in the log.
    pub fn get(&self, index: u64) -> Option<&Entry> {
        let position = index.checked_sub(self.snapshot.index + 1)?;
        self.entries.get(position as usize)
    }

    /// Entries from an index on: as many as fit into about `max_bytes`, but at least one if there
    /// is any.
    pub fn entries_from(&self, index: u64, max_bytes: usize) -> Vec<Entry> {
        let mut batch = Vec::new();
        let mut batch_bytes = 0;
        let mut next_index = index;
        while let Some(entry) = self.get(next_index) {
            batch_bytes += entry.approximate_bytes();
            if batch_bytes > max_bytes && !batch.is_empty() {
                break;
            }
            batch.push(entry.clone());
            next_index += 1;
        }
        batch
    }

    /// Appends an entry. Its index must be one greater than the last index.
    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        if let Payload::Members(members) = &entry.payload {
            self.memberships.push((entry.index, members.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Removes all entries from an index on.
    pub fn truncate(&mut self, from: u64) {
        let kept_count = from.saturating_sub(self.snapshot.index + 1);
        self.entries.truncate(kept_count as usize);
        self.memberships.retain(|(index, _)| *index < from || *index == self.snapshot.index);
    }

    /// Replaces the entries that a snapshot covers with the snapshot.
    pub fn compact(&mut self, snapshot: Snapshot) {
        let covered_count = snapshot.index.saturating_sub(self.snapshot.index) as usize;
        self.entries.drain(..covered_count.min(self.entries.len()));
        self.memberships.retain(|(index, _)| *index > snapshot.index);
        self.memberships.insert(0, (snapshot.index, snapshot.members.clone()));
        self.snapshot = snapshot;
    }

    /// Replaces the snapshot and all entries with a new snapshot.
    pub fn reset(&mut self, snapshot: Snapshot) {
        *self = Self::new(snapshot, Vec::new());
    }

    /// Latest membership, committed or not.
    pub fn members(&self) -> Members {
        self.memberships.last().map(|(_, members)| members.clone()).unwrap_or_default()
    }

    /// Membership as of an index.
    pub fn members_at(&self, index: u64) -> Members {
        let latest = self.memberships.iter().rev().find(|(from, _)| *from <= index);
        latest.map(|(_, members)| members.clone()).unwrap_or_default()
    }

    /// Index at which the latest membership took effect.
    pub fn members_index(&self) -> u64 {
        self.memberships.last().map_or(0, |(index, _)| *index)
    }
}

impl Entry {
    /// Approximate encoded size, in bytes.
    pub fn approximate_bytes(&self) -> usize {
        const OVERHEAD_BYTES: usize = 32;
        match &self.payload {
            Payload::Command(command) => OVERHEAD_BYTES + command.0.len(),
            Payload::Noop => OVERHEAD_BYTES,
            Payload::Members(members) => {
                OVERHEAD_BYTES * (1 + members.voters.len() + members.learners.len())
            }
        }
    }
}
