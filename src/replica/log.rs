//! The log as a replica sees it: a snapshot and the entries after it.

use std::collections::VecDeque;

use super::member::Members;
use super::{Entry, Payload, Snapshot};

/// Snapshot and entries after it.
#[derive(Debug)]
pub struct Log {
    snapshot: Snapshot,
    entries: VecDeque<Entry>,
    members: Vec<(u64, Members)>,
}

impl Log {
    /// A log of what was saved.
    pub fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        let mut log = Self {
            members: vec![(snapshot.index, snapshot.members.clone())],
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

    /// Last index.
    pub fn last_index(&self) -> u64 {
        self.snapshot.index + self.entries.len() as u64
    }

    /// Term of the last index.
    pub fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.snapshot.term, |entry| entry.term)
    }

    /// Term of an index; `None` where it is cut away or not yet there.
    pub fn term(&self, index: u64) -> Option<u64> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// The entry at an index.
    pub fn get(&self, index: u64) -> Option<&Entry> {
        let at = index.checked_sub(self.snapshot.index + 1)?;
        self.entries.get(at as usize)
    }

    /// Entries from an index on, as many as fit into about `bytes`, but at least one.
    pub fn entries_from(&self, index: u64, bytes: usize) -> Vec<Entry> {
        let mut batch = Vec::new();
        let mut size = 0;
        let mut next = index;
        while let Some(entry) = self.get(next) {
            size += entry.size();
            if size > bytes && !batch.is_empty() {
                break;
            }
            batch.push(entry.clone());
            next += 1;
        }
        batch
    }

    /// Appends an entry; its index must follow the last.
    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        if let Payload::Members(members) = &entry.payload {
            self.members.push((entry.index, members.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Drops entries from an index on.
    pub fn truncate(&mut self, from: u64) {
        let keep = from.saturating_sub(self.snapshot.index + 1);
        self.entries.truncate(keep as usize);
        self.members.retain(|(index, _)| *index < from || *index == self.snapshot.index);
    }

    /// Puts a snapshot in the place of the entries that it covers.
    pub fn compact(&mut self, snapshot: Snapshot) {
        let covered = snapshot.index.saturating_sub(self.snapshot.index) as usize;
        self.entries.drain(..covered.min(self.entries.len()));
        self.members.retain(|(index, _)| *index > snapshot.index);
        self.members.insert(0, (snapshot.index, snapshot.members.clone()));
        self.snapshot = snapshot;
    }

    /// Replaces everything by a snapshot.
    pub fn reset(&mut self, snapshot: Snapshot) {
        *self = Self::new(snapshot, Vec::new());
    }

    /// Latest membership.
    pub fn members(&self) -> Members {
        self.members.last().map(|(_, members)| members.clone()).unwrap_or_default()
    }

    /// Membership as of an index.
    pub fn members_at(&self, index: u64) -> Members {
        let found = self.members.iter().rev().find(|(at, _)| *at <= index);
        found.map(|(_, members)| members.clone()).unwrap_or_default()
    }

    /// Index of the latest membership.
    pub fn members_index(&self) -> u64 {
        self.members.last().map_or(0, |(index, _)| *index)
    }
}

impl Entry {
    /// Approximate size in bytes.
    pub fn size(&self) -> usize {
        const OVERHEAD: usize = 32;
        match &self.payload {
            Payload::Command(command) => OVERHEAD + command.0.len(),
            Payload::Noop => OVERHEAD,
            Payload::Members(members) => {
                OVERHEAD * (1 + members.voters.len() + members.learners.len())
            }
        }
    }
}
