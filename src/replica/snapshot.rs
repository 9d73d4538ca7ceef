//! Snapshots: compaction of the log, and transfer to followers in chunks.

use std::sync::Arc;

use super::member::Id;
use super::{Body, Bytes, Effect, Replica, Role, Snapshot};

/// A snapshot that is being received.
#[derive(Debug)]
pub(super) struct Download {
    // Chunks of different senders must not be mixed: their encodings of the same state may differ.
    from: Id,
    sender_term: u64,
    index: u64,
    length: u64,
    data: Vec<u8>,
}

/// Content of a received [`Body::Chunk`].
#[derive(Debug)]
pub(super) struct Chunk {
    pub(super) head: Snapshot,
    pub(super) offset: u64,
    pub(super) piece: Bytes,
    pub(super) length: u64,
    pub(super) sent_ms: u64,
}

impl Download {
    fn continues(&self, other: &Self) -> bool {
        self.from == other.from
            && self.sender_term == other.sender_term
            && self.index == other.index
            && self.length == other.length
    }
}

impl Replica {
    pub(super) fn compact(&mut self, index: u64, data: Vec<u8>) {
        if index <= self.log.snapshot().index || index > self.applied_index {
            return;
        }
        let Some(term) = self.log.term(index) else { return };
        let snapshot = Snapshot {
            index,
            term,
            members: self.log.members_at(index),
            data: Arc::new(data.into()),
        };
        self.log.compact(snapshot.clone());
        self.effects.push(Effect::SaveSnapshot { snapshot, reset: false });
    }

    pub(super) fn send_chunk(&mut self, to: Id, is_heartbeat: bool) {
        let now_ms = self.now_ms;
        let chunk_bytes = self.timing.chunk_bytes;
        let snapshot = self.log.snapshot();
        let data = snapshot.data.clone();
        let head = Snapshot { data: Arc::default(), ..snapshot.clone() };
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(progress) = leader.progress.get_mut(&to) else { return };
        if progress.is_chunk_in_flight && !is_heartbeat {
            return;
        }
        let offset = progress.snapshot_offset.unwrap_or(0).min(data.0.len() as u64);
        progress.snapshot_offset = Some(offset);
        progress.is_chunk_in_flight = true;
        progress.last_sent_ms = now_ms;
        let start = offset as usize;
        let end = data.0.len().min(start + chunk_bytes);
        let piece = Bytes(data.0.slice(start..end));
        let length = data.0.len() as u64;
        self.send(to, Body::Chunk { head, offset, piece, length, sent_ms: now_ms });
    }

    pub(super) fn handle_chunk(&mut self, from: Id, chunk: Chunk) {
        let head = chunk.head;
        let sent_ms = chunk.sent_ms;
        // If the log already contains the snapshot's last entry, the log is kept: the entries after
        // it may have been acknowledged to the leader.
        if self.log.term(head.index) == Some(head.term) {
            self.advance_commit_to(head.index);
        }
        if head.index <= self.commit_index {
            self.incoming_snapshot = None;
            self.send(from, Body::Appended { index: head.index, matches: true, sent_ms });
            return;
        }
        let new_snapshot = Download {
            from,
            sender_term: self.vote.term,
            index: head.index,
            length: chunk.length,
            data: Vec::new(),
        };
        let mut incoming = match self.incoming_snapshot.take() {
            Some(existing) if existing.continues(&new_snapshot) => existing,
            _ => new_snapshot,
        };
        let end = chunk.offset.saturating_add(chunk.piece.0.len() as u64);
        if incoming.data.len() as u64 == chunk.offset && end <= chunk.length {
            incoming.data.extend_from_slice(&chunk.piece.0);
        }
        let offset = incoming.data.len() as u64;
        if offset < chunk.length {
            self.incoming_snapshot = Some(incoming);
            self.send(from, Body::Chunked { index: head.index, offset, sent_ms });
            return;
        }
        self.install(Snapshot { data: Arc::new(incoming.data.into()), ..head });
        let index = self.log.snapshot().index;
        self.send(from, Body::Appended { index, matches: true, sent_ms });
    }

    fn install(&mut self, snapshot: Snapshot) {
        self.commit_index = snapshot.index;
        self.applied_index = snapshot.index;
        self.synced_index = snapshot.index;
        self.log.reset(snapshot.clone());
        self.effects.push(Effect::SaveSnapshot { snapshot, reset: true });
        self.refresh_members();
    }

    pub(super) fn handle_chunked(&mut self, from: Id, index: u64, offset: u64, sent_ms: u64) {
        let now_ms = self.now_ms;
        let snapshot_index = self.log.snapshot().index;
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(progress) = leader.progress.get_mut(&from) else { return };
        progress.last_answer_ms = now_ms;
        progress.answered_sent_ms = progress.answered_sent_ms.max(sent_ms);
        progress.is_chunk_in_flight = false;
        progress.snapshot_offset = Some(if index == snapshot_index { offset } else { 0 });
        self.answer_reads();
        self.send_append(from, false);
    }
}
