//! Log replication, with batching and flow control.

use std::collections::VecDeque;

use super::member::Id;
use super::{Body, Effect, Entry, Payload, Refusal, Replica, Role};

/// Maximum number of unanswered batches per follower.
const MAX_INFLIGHT_BATCHES: usize = 8;
/// Bytes of unanswered batches per follower from which on no further one is sent: several batches of
/// small entries, or a single entry that is larger than a batch.
const MAX_INFLIGHT_BYTES: usize = 1 << 20;

/// Replication state of a follower, as tracked by the leader.
#[derive(Debug)]
pub(super) struct Progress {
    // Index of the next entry to send.
    pub(super) next_index: u64,
    pub(super) match_index: u64,
    // Whether `next_index` is an estimate. While it is, only one batch at a time is sent.
    pub(super) is_probing: bool,
    // Last index and size of each batch that was sent and not answered.
    in_flight: VecDeque<(u64, usize)>,
    // Whether a snapshot chunk was sent and not answered.
    pub(super) is_chunk_in_flight: bool,
    // When the leader sent the latest message that the follower has answered, by the leader's
    // clock.
    pub(super) answered_sent_ms: u64,
    pub(super) last_answer_ms: u64,
    // When the leader last sent entries or a snapshot chunk.
    pub(super) last_sent_ms: u64,
    // Offset of the next chunk while a snapshot is being sent.
    pub(super) snapshot_offset: Option<u64>,
}

impl Progress {
    pub(super) fn new(next_index: u64, now_ms: u64) -> Self {
        Self {
            next_index,
            match_index: 0,
            is_probing: true,
            in_flight: VecDeque::new(),
            is_chunk_in_flight: false,
            answered_sent_ms: 0,
            last_answer_ms: now_ms,
            last_sent_ms: 0,
            snapshot_offset: None,
        }
    }

    // Whether another batch may be sent before an answer arrives.
    fn has_window(&self) -> bool {
        let max_batches = if self.is_probing { 1 } else { MAX_INFLIGHT_BATCHES };
        let bytes: usize = self.in_flight.iter().map(|(_, bytes)| bytes).sum();
        self.in_flight.len() < max_batches && bytes < MAX_INFLIGHT_BYTES
    }

    fn is_unanswered(&self) -> bool {
        self.is_chunk_in_flight || !self.in_flight.is_empty()
    }

    fn clear_in_flight(&mut self) {
        self.in_flight.clear();
        self.is_chunk_in_flight = false;
    }
}

/// Content of a received [`Body::Append`].
#[derive(Debug)]
pub(super) struct Batch {
    pub(super) prev_index: u64,
    pub(super) prev_term: u64,
    pub(super) entries: Vec<Entry>,
    pub(super) commit: u64,
    pub(super) sent_ms: u64,
}

impl Replica {
    pub(super) fn propose(&mut self, token: u64, payload: Payload) {
        // New entries during a leadership transfer would delay it: the target has to receive them
        // first.
        let accepts_proposals =
            matches!(&self.role, Role::Leader(leader) if leader.transfer.is_none());
        if !accepts_proposals {
            let refusal = Refusal::NotLeader;
            self.effects.push(Effect::Refused { token, refusal });
            return;
        }
        let index = self.append_local(payload);
        let term = self.vote.term;
        self.effects.push(Effect::Proposed { token, index, term });
        self.replicate();
    }

    pub(super) fn append_local(&mut self, payload: Payload) -> u64 {
        let index = self.log.last_index() + 1;
        let is_members = matches!(payload, Payload::Members(_));
        let entry = Entry { index, term: self.vote.term, payload };
        self.log.push(entry.clone());
        self.effects.push(Effect::Append(vec![entry]));
        if is_members {
            self.refresh_members();
        }
        index
    }

    pub(super) fn handle_synced(&mut self, index: u64, term: u64) {
        if self.log.term(index) == Some(term) {
            self.synced_index = self.synced_index.max(index);
        }
        self.advance_commit();
    }

    /// Sends a message to every follower, as a heartbeat where there are no entries to send.
    pub(super) fn broadcast(&mut self) {
        let heartbeat_ms = self.timing.heartbeat_ms;
        let now_ms = self.now_ms;
        let Role::Leader(leader) = &mut self.role else { return };
        leader.heartbeat_due_ms = now_ms + heartbeat_ms;
        let ids: Vec<Id> = leader.progress.keys().copied().collect();
        for id in ids {
            self.send_append(id, true);
        }
    }

    /// Sends pending entries to the followers that lack them.
    pub(super) fn replicate(&mut self) {
        let Role::Leader(leader) = &self.role else { return };
        let ids: Vec<Id> = leader.progress.keys().copied().collect();
        for id in ids {
            self.send_append(id, false);
        }
    }

    pub(super) fn send_append(&mut self, to: Id, is_heartbeat: bool) {
        let now_ms = self.now_ms;
        let answer_timeout_ms = self.timing.election_ms;
        let batch_bytes = self.timing.batch_bytes;
        let last_index = self.log.last_index();
        let first_index = self.log.snapshot().index + 1;
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(progress) = leader.progress.get_mut(&to) else { return };
        // A lost answer would otherwise keep the in-flight count at its limit for good.
        if progress.is_unanswered() && progress.last_sent_ms + answer_timeout_ms < now_ms {
            progress.clear_in_flight();
            progress.is_probing = true;
            progress.next_index =
                progress.next_index.min(last_index + 1).max(progress.match_index + 1);
            if progress.match_index > 0 {
                progress.next_index = progress.match_index + 1;
            }
        }
        if progress.next_index < first_index {
            self.send_chunk(to, is_heartbeat);
            return;
        }
        let can_send_entries = progress.has_window() && progress.next_index <= last_index;
        if !can_send_entries && !is_heartbeat {
            return;
        }
        let prev_index = progress.next_index - 1;
        let entries = if can_send_entries {
            self.log.entries_from(progress.next_index, batch_bytes)
        } else {
            Vec::new()
        };
        if let Some(last) = entries.last() {
            let bytes = entries.iter().map(Entry::approximate_bytes).sum();
            progress.in_flight.push_back((last.index, bytes));
            progress.last_sent_ms = now_ms;
            if !progress.is_probing {
                progress.next_index += entries.len() as u64;
            }
        }
        let prev_term = self.log.term(prev_index).unwrap_or(0);
        let commit = self.commit_index;
        self.send(to, Body::Append { prev_index, prev_term, entries, commit, sent_ms: now_ms });
    }

    pub(super) fn handle_append(&mut self, from: Id, batch: Batch) {
        let sent_ms = batch.sent_ms;
        let snapshot_index = self.log.snapshot().index;
        if batch.prev_index > snapshot_index
            && self.log.term(batch.prev_index) != Some(batch.prev_term)
        {
            let index = self.last_possible_match(batch.prev_index);
            self.send(from, Body::Appended { index, matches: false, sent_ms });
            return;
        }
        let last_index = batch.prev_index + batch.entries.len() as u64;
        self.store_entries(batch.entries);
        let commit = batch.commit.min(last_index);
        self.send(from, Body::Appended { index: last_index, matches: true, sent_ms });
        self.advance_commit_to(commit);
    }

    // Returns the index before the conflicting term, so that finding the match takes at most one
    // round trip per term.
    fn last_possible_match(&self, prev_index: u64) -> u64 {
        let mut index = prev_index.min(self.log.last_index() + 1);
        let Some(term) = self.log.term(index) else { return index.saturating_sub(1) };
        while index > self.commit_index + 1 && self.log.term(index - 1) == Some(term) {
            index -= 1;
        }
        index.saturating_sub(1)
    }

    fn store_entries(&mut self, entries: Vec<Entry>) {
        let mut new_entries = Vec::new();
        for entry in entries {
            if entry.index <= self.log.snapshot().index {
                continue;
            }
            if new_entries.is_empty() && self.log.term(entry.index) == Some(entry.term) {
                continue;
            }
            if new_entries.is_empty() && entry.index <= self.log.last_index() {
                debug_assert!(
                    entry.index > self.commit_index,
                    "a committed entry must not be replaced"
                );
                self.log.truncate(entry.index);
                self.synced_index = self.synced_index.min(entry.index - 1);
            }
            self.log.push(entry.clone());
            new_entries.push(entry);
        }
        if new_entries.is_empty() {
            return;
        }
        self.effects.push(Effect::Append(new_entries));
        self.refresh_members();
    }

    pub(super) fn handle_appended(&mut self, from: Id, index: u64, matches: bool, sent_ms: u64) {
        let now_ms = self.now_ms;
        let last_index = self.log.last_index();
        let Role::Leader(leader) = &mut self.role else { return };
        let transfer = leader.transfer;
        let Some(progress) = leader.progress.get_mut(&from) else { return };
        progress.last_answer_ms = now_ms;
        progress.answered_sent_ms = progress.answered_sent_ms.max(sent_ms);
        progress.is_chunk_in_flight = false;
        if matches && index <= last_index {
            // The answer to an empty heartbeat ends no batch that was sent after it.
            progress.in_flight.retain(|(last, _)| *last > index);
            progress.snapshot_offset = None;
            progress.is_probing = false;
            progress.match_index = progress.match_index.max(index);
            progress.next_index = progress.next_index.max(progress.match_index + 1);
        } else if index < progress.next_index {
            progress.in_flight.clear();
            progress.is_probing = true;
            progress.next_index = (index + 1).max(progress.match_index + 1);
        }
        let is_caught_up = progress.match_index == last_index;
        self.advance_commit();
        self.answer_reads();
        if is_caught_up && transfer.is_some_and(|(to, _)| to == from) {
            self.send_campaign(from);
            return;
        }
        self.send_append(from, false);
    }

    pub(super) fn advance_commit(&mut self) {
        let Role::Leader(leader) = &self.role else { return };
        let synced_index = self.synced_index;
        let majority_index = self.members.majority_value(|id| match leader.progress.get(&id) {
            Some(progress) => progress.match_index,
            None if id == self.id => synced_index,
            None => 0,
        });
        // Only entries of the current term are committed by counting replicas. This also commits
        // the entries of earlier terms before them.
        if majority_index <= self.commit_index
            || self.log.term(majority_index) != Some(self.vote.term)
        {
            return;
        }
        self.advance_commit_to(majority_index);
        self.answer_reads();
        let is_removed = !self.members.is_voter(self.id);
        if is_removed && self.commit_index >= self.log.members_index() {
            self.broadcast();
            let term = self.vote.term;
            self.become_follower(term, None);
        }
    }

    pub(super) fn advance_commit_to(&mut self, index: u64) {
        self.commit_index = self.commit_index.max(index.min(self.log.last_index()));
        let mut entries = Vec::new();
        while self.applied_index < self.commit_index {
            let Some(entry) = self.log.get(self.applied_index + 1) else { break };
            entries.push(entry.clone());
            self.applied_index += 1;
        }
        if !entries.is_empty() {
            self.effects.push(Effect::Apply(entries));
        }
    }
}
