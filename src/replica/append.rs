//! Replication of entries, with batches and flow control.

use super::member::Id;
use super::{Body, Effect, Entry, Payload, Refusal, Replica, Role};

/// Unanswered batches a follower may have.
const WINDOW: usize = 8;

/// What a leader knows of a follower.
#[derive(Debug)]
pub(super) struct Progress {
    pub(super) next: u64,
    pub(super) matched: u64,
    // Whether `next` is only a guess; then one batch at a time is sent.
    pub(super) probing: bool,
    pub(super) inflight: usize,
    // Leader's clock when it sent the latest answered message.
    pub(super) echo_ms: u64,
    pub(super) heard_ms: u64,
    pub(super) sent_ms: u64,
    // Offset in the snapshot being sent, if one is.
    pub(super) chunk: Option<u64>,
}

impl Progress {
    pub(super) fn new(next: u64, now_ms: u64) -> Self {
        Self {
            next,
            matched: 0,
            probing: true,
            inflight: 0,
            echo_ms: 0,
            heard_ms: now_ms,
            sent_ms: 0,
            chunk: None,
        }
    }
}

/// Entries as received.
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
        // Entries taken during a transfer would only delay it.
        let open = matches!(&self.role, Role::Leader(leader) if leader.transfer.is_none());
        if !open {
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

    pub(super) fn note_synced(&mut self, index: u64, term: u64) {
        if self.log.term(index) == Some(term) {
            self.synced = self.synced.max(index);
        }
        self.advance_commit();
    }

    /// Sends to every follower, entries or not.
    pub(super) fn broadcast(&mut self) {
        let heartbeat_ms = self.timing.heartbeat_ms;
        let now_ms = self.now_ms;
        let Role::Leader(leader) = &mut self.role else { return };
        leader.heartbeat_at_ms = now_ms + heartbeat_ms;
        let ids: Vec<Id> = leader.progress.keys().copied().collect();
        for id in ids {
            self.send_append(id, true);
        }
    }

    /// Sends to followers that have entries to come.
    pub(super) fn replicate(&mut self) {
        let Role::Leader(leader) = &self.role else { return };
        let ids: Vec<Id> = leader.progress.keys().copied().collect();
        for id in ids {
            self.send_append(id, false);
        }
    }

    pub(super) fn send_append(&mut self, to: Id, heartbeat: bool) {
        let now_ms = self.now_ms;
        let resend_ms = self.timing.election_ms;
        let batch_bytes = self.timing.batch_bytes;
        let last = self.log.last_index();
        let first = self.log.snapshot().index + 1;
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(progress) = leader.progress.get_mut(&to) else { return };
        // Answers that are lost would leave the window shut.
        if progress.inflight > 0 && progress.sent_ms + resend_ms < now_ms {
            progress.inflight = 0;
            progress.probing = true;
            progress.next = progress.next.min(last + 1).max(progress.matched + 1);
            if progress.matched > 0 {
                progress.next = progress.matched + 1;
            }
        }
        if progress.next < first {
            self.send_chunk(to, heartbeat);
            return;
        }
        let window = if progress.probing { 1 } else { WINDOW };
        let open = progress.inflight < window && progress.next <= last;
        if !open && !heartbeat {
            return;
        }
        let prev_index = progress.next - 1;
        let entries =
            if open { self.log.entries_from(progress.next, batch_bytes) } else { Vec::new() };
        if !entries.is_empty() {
            progress.inflight += 1;
            progress.sent_ms = now_ms;
            if !progress.probing {
                progress.next += entries.len() as u64;
            }
        }
        let prev_term = self.log.term(prev_index).unwrap_or(0);
        let commit = self.commit;
        self.send(to, Body::Append { prev_index, prev_term, entries, commit, sent_ms: now_ms });
    }

    pub(super) fn append(&mut self, from: Id, batch: Batch) {
        let sent_ms = batch.sent_ms;
        let snapshot_index = self.log.snapshot().index;
        if batch.prev_index > snapshot_index
            && self.log.term(batch.prev_index) != Some(batch.prev_term)
        {
            let index = self.last_possible_match(batch.prev_index);
            self.send(from, Body::Appended { index, matches: false, sent_ms });
            return;
        }
        let last = batch.prev_index + batch.entries.len() as u64;
        self.take_entries(batch.entries);
        let commit = batch.commit.min(last);
        self.send(from, Body::Appended { index: last, matches: true, sent_ms });
        self.commit_to(commit);
    }

    // Skips back over the conflicting term, so that one exchange a term finds the match.
    fn last_possible_match(&self, prev_index: u64) -> u64 {
        let mut index = prev_index.min(self.log.last_index() + 1);
        let Some(term) = self.log.term(index) else { return index.saturating_sub(1) };
        while index > self.commit + 1 && self.log.term(index - 1) == Some(term) {
            index -= 1;
        }
        index.saturating_sub(1)
    }

    fn take_entries(&mut self, entries: Vec<Entry>) {
        let mut fresh = Vec::new();
        for entry in entries {
            if entry.index <= self.log.snapshot().index {
                continue;
            }
            if fresh.is_empty() && self.log.term(entry.index) == Some(entry.term) {
                continue;
            }
            if fresh.is_empty() && entry.index <= self.log.last_index() {
                debug_assert!(entry.index > self.commit, "a committed entry would be replaced");
                self.log.truncate(entry.index);
                self.synced = self.synced.min(entry.index - 1);
            }
            self.log.push(entry.clone());
            fresh.push(entry);
        }
        if fresh.is_empty() {
            return;
        }
        self.effects.push(Effect::Append(fresh));
        self.refresh_members();
    }

    pub(super) fn note_appended(&mut self, from: Id, index: u64, matches: bool, sent_ms: u64) {
        let now_ms = self.now_ms;
        let last = self.log.last_index();
        let Role::Leader(leader) = &mut self.role else { return };
        let transfer = leader.transfer;
        let Some(progress) = leader.progress.get_mut(&from) else { return };
        progress.heard_ms = now_ms;
        progress.echo_ms = progress.echo_ms.max(sent_ms);
        progress.inflight = progress.inflight.saturating_sub(1);
        if matches && index <= last {
            progress.chunk = None;
            progress.probing = false;
            progress.matched = progress.matched.max(index);
            progress.next = progress.next.max(progress.matched + 1);
        } else if index < progress.next {
            progress.probing = true;
            progress.next = (index + 1).max(progress.matched + 1);
        }
        let caught_up = progress.matched == last;
        self.advance_commit();
        self.answer_reads();
        if caught_up && transfer.is_some_and(|(to, _)| to == from) {
            self.ask_to_campaign(from);
            return;
        }
        self.send_append(from, false);
    }

    pub(super) fn advance_commit(&mut self) {
        let Role::Leader(leader) = &self.role else { return };
        let synced = self.synced;
        let reached = self.members.majority(|id| match leader.progress.get(&id) {
            Some(progress) => progress.matched,
            None if id == self.id => synced,
            None => 0,
        });
        // Only an entry of the own term commits by count; earlier ones commit with it.
        if reached <= self.commit || self.log.term(reached) != Some(self.vote.term) {
            return;
        }
        self.commit_to(reached);
        self.answer_reads();
        let removed = !self.members.is_voter(self.id);
        if removed && self.commit >= self.log.members_index() {
            self.broadcast();
            let term = self.vote.term;
            self.follow(term, None);
        }
    }

    pub(super) fn commit_to(&mut self, index: u64) {
        self.commit = self.commit.max(index.min(self.log.last_index()));
        let mut entries = Vec::new();
        while self.applied < self.commit {
            let Some(entry) = self.log.get(self.applied + 1) else { break };
            entries.push(entry.clone());
            self.applied += 1;
        }
        if !entries.is_empty() {
            self.effects.push(Effect::Apply(entries));
        }
    }
}
