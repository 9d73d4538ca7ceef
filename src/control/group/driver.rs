//! The thread that owns a replica and its storage, and applies the effects that the replica
//! requests.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Duration;

use tokio::sync::{oneshot, watch};

use super::leadership::Leadership;
use super::{Request, Status};
use crate::control::status::Member;
use crate::error::{Code, Error, Result};
use crate::kernel::lock::Mutex;
use crate::kernel::timer::{Timer, wall_ms};
use crate::mesh::Mesh;
use crate::mesh::frame::{decode, encode};
use crate::replica::member::Id;
use crate::replica::store::{self, Store};
use crate::replica::{Effect, Entry, Input, Payload, Refusal, Replica, Timing};
use crate::state::{self, Machine, Reply};
use crate::telemetry::Metrics;

/// Requests that share one sync of the log.
const MAX_REQUESTS_PER_SYNC: usize = 512;
/// Delay between attempts to reopen a failed data folder.
const REOPEN_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest wait for requests, in milliseconds: the timer's resolution.
const MIN_IDLE_MS: u64 = 1;
/// Most proposals that may wait to be committed.
const MAX_UNCOMMITTED: usize = 16_384;
/// Interval at which the status is published, in milliseconds.
const PUBLISH_INTERVAL_MS: u64 = 1_000;
/// Longest encoded command in bytes, well below the frame limit between daemons.
pub const MAX_COMMAND_BYTES: usize = 4 << 20;

/// Replaces the state machine by the one in a snapshot.
pub(super) fn restore(machine: &Mutex<Machine>, data: &[u8]) {
    let restored = if data.is_empty() {
        Machine::default()
    } else {
        decode(data).expect("a snapshot with a valid checksum decodes")
    };
    *machine.lock() = restored;
}

/// A request that waits for its reply.
pub(super) struct Waiter {
    done: oneshot::Sender<Result<Reply>>,
    // Proposed command, which is applied without being decoded.
    record: Option<state::Record>,
}

/// State of the replica thread.
pub(super) struct Driver {
    pub(super) timing: Timing,
    // Whether a failed data folder is reopened; otherwise the process exits.
    pub(super) reopens_store: bool,
    pub(super) replica: Replica,
    pub(super) store: Store,
    pub(super) machine: Arc<Mutex<Machine>>,
    pub(super) mesh: Mesh,
    pub(super) timer: Timer,
    pub(super) leadership: Arc<Leadership>,
    pub(super) log_bytes: u64,
    pub(super) status: watch::Sender<Status>,
    pub(super) next_token: u64,
    // Requests by token that the replica has not yet answered or placed at an index.
    pub(super) requests_by_token: BTreeMap<u64, Waiter>,
    // Proposals by index, with the term, that are not yet committed.
    pub(super) uncommitted: BTreeMap<u64, (u64, Waiter)>,
    // Reads that are answered once the index is applied.
    pub(super) pending_reads: Vec<(u64, oneshot::Sender<Result<Reply>>)>,
    pub(super) applied_index: u64,
}

impl Driver {
    /// Runs until the handle is dropped.
    pub(super) fn run(mut self, receiver: &Receiver<Request>) {
        self.applied_index = self.replica.commit_index();
        self.publish_status();
        let mut published_ms = 0;
        loop {
            let mut effects = Vec::new();
            match receiver.recv_timeout(self.idle_timeout()) {
                Ok(request) => self.handle_request(request, &mut effects),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            for request in receiver.try_iter().take(MAX_REQUESTS_PER_SYNC) {
                self.handle_request(request, &mut effects);
            }
            let now_ms = self.timer.now_ms();
            if now_ms >= self.replica.next_tick_ms() {
                effects.extend(self.step(Input::Tick, now_ms));
            }
            if now_ms >= published_ms + PUBLISH_INTERVAL_MS {
                published_ms = now_ms;
                self.publish_status();
            }
            let outcome = self.process_effects(effects).and_then(|()| self.compact_if_due());
            self.confirm_leadership();
            if let Err(error) = outcome {
                // Entries that were not synced must never be acknowledged.
                tracing::error!(%error, "data folder failed");
                if !self.reopens_store {
                    std::process::exit(74);
                }
                self.recover_store(receiver);
            }
        }
    }

    // Revokes a lost lease before any effect of the step becomes visible to other members.
    fn step(&mut self, input: Input, now_ms: u64) -> Vec<Effect> {
        let effects = self.replica.step(input, now_ms);
        if !self.replica.holds_lease() {
            self.leadership.revoke();
        }
        effects
    }

    // Reads are served on other threads while this member holds a lease and its state machine
    // reflects what earlier leaders have acknowledged.
    fn confirm_leadership(&self) {
        let until_ms = self.replica.lease_until_ms();
        match until_ms.filter(|_| self.replica.covers_earlier_terms(self.applied_index)) {
            Some(until_ms) => self.leadership.confirm(until_ms),
            None => self.leadership.revoke(),
        }
    }

    // Exact to the millisecond: members that wake on the same coarse ticks would split the vote.
    fn idle_timeout(&self) -> Duration {
        let wait_ms = self.replica.next_tick_ms().saturating_sub(self.timer.now_ms());
        Duration::from_millis(wait_ms.clamp(MIN_IDLE_MS, PUBLISH_INTERVAL_MS))
    }

    // Waits until the data folder works again, then continues as after a start of the process.
    fn recover_store(&mut self, receiver: &Receiver<Request>) {
        self.leadership.revoke();
        self.status.send_modify(|status| status.is_leader = false);
        let saved = loop {
            std::thread::sleep(REOPEN_INTERVAL);
            // Dropping the reply channels tells callers that the outcome is unknown.
            self.requests_by_token.clear();
            self.uncommitted.clear();
            self.pending_reads.clear();
            while receiver.try_recv().is_ok() {}
            match self.store.reopen() {
                Ok(saved) => break saved,
                Err(error) => tracing::warn!(%error, "data folder still fails; retrying"),
            }
        };
        restore(&self.machine, &saved.snapshot.data.0);
        let (id, now_ms) = (self.store.id(), self.timer.now_ms());
        self.replica = Replica::new(id, self.timing, saved, rand::random(), now_ms);
        self.applied_index = self.replica.commit_index();
        tracing::info!(applied = self.applied_index, "data folder works again");
        self.publish_status();
    }

    fn handle_request(&mut self, request: Request, effects: &mut Vec<Effect>) {
        let now_ms = self.timer.now_ms();
        let input = match request {
            Request::Propose { done, .. } if self.uncommitted.len() >= MAX_UNCOMMITTED => {
                let message = "too many changes wait to be committed";
                let _ = done.send(Err(Error::not_run(Code::OverLimit, message)));
                return;
            }
            Request::Propose { term: Some(term), done, .. } if term != self.replica.term() => {
                let message = format!("term {term} is over; this is term {}", self.replica.term());
                let _ = done.send(Err(Error::not_run(Code::NotLeader, message)));
                return;
            }
            Request::Propose { command, done, .. } => {
                let record = state::Record { at_ms: wall_ms(), command: *command };
                let command = encode(&record);
                if command.len() > MAX_COMMAND_BYTES {
                    let bytes = command.len();
                    let message = format!(
                        "the change takes {bytes} bytes in the log, more than {MAX_COMMAND_BYTES}"
                    );
                    let _ = done.send(Err(Error::not_run(Code::TooLarge, message)));
                    return;
                }
                Input::Propose { token: self.register(done, Some(record)), command }
            }
            Request::Change { change, done } => {
                Input::Change { token: self.register(done, None), change }
            }
            Request::Read { done } => Input::Read { token: self.register(done, None) },
            Request::Message { from, message } => Input::Message { from, message },
            Request::Transfer => Input::Transfer,
        };
        effects.extend(self.step(input, now_ms));
    }

    fn register(
        &mut self,
        done: oneshot::Sender<Result<Reply>>,
        record: Option<state::Record>,
    ) -> u64 {
        let token = self.next_token;
        self.next_token += 1;
        self.requests_by_token.insert(token, Waiter { done, record });
        token
    }

    // Persists the effects before it applies them, so that one sync covers the whole batch.
    fn process_effects(&mut self, effects: Vec<Effect>) -> store::Result<()> {
        let mut queue = effects;
        while !queue.is_empty() {
            let synced = self.persist(&queue)?;
            let mut next = Vec::new();
            for effect in queue {
                self.apply_effect(effect);
            }
            if let Some((index, term)) = synced {
                let now_ms = self.timer.now_ms();
                next = self.step(Input::Synced { index, term }, now_ms);
            }
            queue = next;
        }
        Ok(())
    }

    fn compact_if_due(&mut self) -> store::Result<()> {
        let index = self.applied_index;
        let is_due = self.store.log_bytes() > self.log_bytes;
        if !is_due || index <= self.replica.log().snapshot().index {
            return Ok(());
        }
        let data = encode(&*self.machine.lock());
        let input = Input::Compact { index, data };
        let effects = self.step(input, self.timer.now_ms());
        self.process_effects(effects)
    }

    fn persist(&mut self, effects: &[Effect]) -> store::Result<Option<(u64, u64)>> {
        let mut last_synced = None;
        // The record of a new term is followed by the vote in that term: one sync of the last record
        // covers both.
        let vote = effects.iter().rev().find_map(|effect| match effect {
            Effect::SaveVote(vote) => Some(*vote),
            _ => None,
        });
        if let Some(vote) = vote {
            self.store.save_vote(vote)?;
        }
        for effect in effects {
            match effect {
                Effect::Append(entries) => {
                    self.store.append(entries)?;
                    last_synced = entries.last().map(|entry| (entry.index, entry.term));
                }
                Effect::SaveSnapshot { snapshot, reset } => {
                    let keep = if *reset { Vec::new() } else { self.entries_after(snapshot.index) };
                    self.store.save_snapshot(snapshot, &keep)?;
                }
                _ => {}
            }
        }
        if last_synced.is_some() {
            self.store.sync()?;
            Metrics::global().count_log_sync();
        }
        Ok(last_synced)
    }

    fn entries_after(&self, after: u64) -> Vec<Entry> {
        self.replica.log().entries_from(after + 1, usize::MAX)
    }

    fn apply_effect(&mut self, effect: Effect) {
        match effect {
            Effect::SaveVote(vote) => {
                let candidate = vote.candidate.map(|id| id.to_string());
                tracing::info!(term = vote.term, candidate, "vote stored");
            }
            Effect::Append(_) => {}
            Effect::SaveSnapshot { snapshot, reset } => {
                if reset {
                    restore(&self.machine, &snapshot.data.0);
                    self.applied_index = snapshot.index;
                    self.fail_covered_proposals();
                    self.answer_reads();
                    self.publish_status();
                }
            }
            Effect::Send { to, message } => self.mesh.send_replica(to, message),
            Effect::Apply(entries) => self.apply(entries),
            Effect::Proposed { token, index, term } => {
                if let Some(waiter) = self.requests_by_token.remove(&token) {
                    self.uncommitted.insert(index, (term, waiter));
                }
            }
            Effect::Refused { token, refusal } => {
                if let Some(waiter) = self.requests_by_token.remove(&token) {
                    let _ = waiter.done.send(Err(refusal_error(refusal)));
                }
            }
            Effect::ReadReady { token, index } => {
                if let Some(waiter) = self.requests_by_token.remove(&token) {
                    self.pending_reads.push((index, waiter.done));
                }
                self.answer_reads();
            }
            Effect::RoleChanged { leads, leader, term } => {
                tracing::info!(
                    leads,
                    leader = leader.map(|id| id.to_string()),
                    term,
                    "role changed"
                );
                if leads {
                    Metrics::global().count_election();
                }
                self.publish_status();
            }
        }
    }

    // Fails the proposals up to the snapshot's index: a snapshot does not say which of them it
    // holds.
    fn fail_covered_proposals(&mut self) {
        let later = self.uncommitted.split_off(&(self.applied_index + 1));
        for (_, (_, waiter)) in std::mem::replace(&mut self.uncommitted, later) {
            let message = "the change may be part of a snapshot of another leader";
            let _ = waiter.done.send(Err(Error::may_have_run(Code::NotLeader, message)));
        }
    }

    fn apply(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            let waiter = self.uncommitted.remove(&entry.index);
            let (own, overtaken) = match waiter {
                Some((term, waiter)) if term == entry.term => (Some(waiter), None),
                Some((_, waiter)) => (None, Some(waiter)),
                None => (None, None),
            };
            let record = own.as_ref().and_then(|waiter| waiter.record.as_ref());
            let reply = match (&entry.payload, record) {
                (Payload::Command(_), Some(record)) => self.machine.lock().apply(record),
                (Payload::Command(bytes), None) => self.apply_command(&bytes.0),
                (Payload::Noop | Payload::Members(_), _) => Ok(Reply::Done),
            };
            self.applied_index = entry.index;
            if let Some(waiter) = own {
                let _ = waiter.done.send(reply);
            }
            if let Some(waiter) = overtaken {
                let message = "leadership moved; the change was dropped";
                let _ = waiter.done.send(Err(Error::not_run(Code::NotLeader, message)));
            }
        }
        self.publish_status();
        self.answer_reads();
    }

    fn apply_command(&self, bytes: &[u8]) -> Result<Reply> {
        match decode::<state::Record>(bytes) {
            Ok(stamped) => self.machine.lock().apply(&stamped),
            Err(malformed) => Err(Error::not_run(Code::Internal, malformed.to_string())),
        }
    }

    fn answer_reads(&mut self) {
        let applied = self.applied_index;
        for (index, done) in std::mem::take(&mut self.pending_reads) {
            if index <= applied {
                let _ = done.send(Ok(Reply::Done));
            } else {
                self.pending_reads.push((index, done));
            }
        }
    }

    fn publish_status(&self) {
        let members = self.replica.members();
        let followers = self.replica.followers();
        let row = |id: &Id, name: &String, is_voter| {
            let follower = followers.iter().find(|(other, _, _)| other == id);
            let own = (self.replica.log().last_index(), 0);
            let (matched, silent_ms) =
                follower.map_or(own, |(_, matched, silent)| (*matched, *silent));
            Member { id: id.to_string(), name: name.clone(), is_voter, matched, silent_ms }
        };
        let mut rows = Vec::new();
        for (id, name) in &members.voters {
            rows.push(row(id, name, true));
        }
        for (id, name) in &members.learners {
            rows.push(row(id, name, false));
        }
        let leader = self.replica.leader();
        let leads = self.replica.leads();
        let now_ms = self.timer.now_ms();
        let term = self.replica.term();
        self.status.send_modify(|status| {
            if status.is_leader != leads || status.term != term {
                status.role_since_ms = now_ms;
            }
            status.is_leader = leads;
            status.leader_name = leader.and_then(|id| members.name(id)).map(str::to_string);
            status.term = term;
            status.commit_index = self.replica.commit_index();
            status.members = rows;
        });
    }
}

fn refusal_error(refusal: Refusal) -> Error {
    let code = match refusal {
        Refusal::NotLeader => Code::NotLeader,
        Refusal::Busy => Code::Conflict,
        Refusal::Impossible => Code::Unsatisfiable,
    };
    Error::not_run(code, refusal.to_string())
}
