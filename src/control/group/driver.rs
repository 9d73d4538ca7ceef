//! The thread that owns a replica and its disk, and carries out what the replica wants done.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Duration;

use tokio::sync::{oneshot, watch};

use super::{GroupStatus, Request};
use crate::control::status::Member;
use crate::error::{Code, Error, Result};
use crate::kernel::lock::Table;
use crate::kernel::timer::{Timer, wall_ms};
use crate::mesh::Mesh;
use crate::mesh::frame::{decode, encode};
use crate::replica::member::Id;
use crate::replica::store::{self, Store};
use crate::replica::{Effect, Entry, Input, Payload, Refusal, Replica, Timing};
use crate::state::{Machine, Reply, Stamped};
use crate::telemetry::Metrics;

/// Inputs that share one sync.
const BATCH: usize = 512;
/// Wait before a failed data folder is tried again.
const RETRY: Duration = Duration::from_millis(500);
/// Shortest wait for input, in milliseconds: the timer's resolution.
const LEAST_IDLE_MS: u64 = 1;
/// Proposals that wait to be committed.
const PLACED: usize = 16_384;
/// Between updates of what operators see, in milliseconds.
const PUBLISH_MS: u64 = 1_000;
/// Longest command, well within a frame between daemons, in bytes.
const COMMAND_BYTES: usize = 4 << 20;

/// Puts the machine of a snapshot in the place of the current one.
pub(super) fn restore(machine: &Table<Machine>, data: &[u8]) {
    let restored = if data.is_empty() {
        Machine::default()
    } else {
        decode(data).expect("a snapshot with a valid checksum decodes")
    };
    *machine.lock() = restored;
}

/// What the thread owns.
pub(super) struct Driver {
    pub(super) timing: Timing,
    // Whether a failed disk is tried again; else the process ends.
    pub(super) survives: bool,
    pub(super) replica: Replica,
    pub(super) store: Store,
    pub(super) machine: Arc<Table<Machine>>,
    pub(super) mesh: Mesh,
    pub(super) timer: Timer,
    pub(super) log_bytes: u64,
    pub(super) standing: watch::Sender<GroupStatus>,
    pub(super) next_token: u64,
    // Asked of the replica, not yet at an index.
    pub(super) asked: BTreeMap<u64, oneshot::Sender<Result<Reply>>>,
    // At an index and term, not yet committed.
    pub(super) placed: BTreeMap<u64, (u64, oneshot::Sender<Result<Reply>>)>,
    // Readable once this index is applied.
    pub(super) reads: Vec<(u64, oneshot::Sender<Result<Reply>>)>,
    pub(super) applied: u64,
}

impl Driver {
    /// Runs until the handle is gone.
    pub(super) fn run(mut self, receiver: &Receiver<Request>) {
        self.applied = self.replica.commit();
        self.publish();
        let mut published_ms = 0;
        loop {
            let mut effects = Vec::new();
            match receiver.recv_timeout(self.idle()) {
                Ok(request) => self.take(request, &mut effects),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            for request in receiver.try_iter().take(BATCH) {
                self.take(request, &mut effects);
            }
            let now_ms = self.timer.now_ms();
            if now_ms >= self.replica.wake_ms() {
                effects.extend(self.replica.step(Input::Tick, now_ms));
            }
            if now_ms >= published_ms + PUBLISH_MS {
                published_ms = now_ms;
                self.publish();
            }
            if let Err(error) = self.perform(effects).and_then(|()| self.compact()) {
                // What was not synced must never be acknowledged.
                tracing::error!(%error, "the data folder failed");
                if !self.survives {
                    std::process::exit(74);
                }
                self.restart(receiver);
            }
        }
    }

    // Exact to the millisecond: members that wake at the same coarse ticks split their votes.
    fn idle(&self) -> Duration {
        let wait_ms = self.replica.wake_ms().saturating_sub(self.timer.now_ms());
        Duration::from_millis(wait_ms.clamp(LEAST_IDLE_MS, PUBLISH_MS))
    }

    // Waits until the disk works again, and goes on as after a start of the process.
    fn restart(&mut self, receiver: &Receiver<Request>) {
        self.standing.send_modify(|standing| standing.is_leader = false);
        let saved = loop {
            std::thread::sleep(RETRY);
            // Whoever waits learns that the outcome of the proposal is unknown.
            self.asked.clear();
            self.placed.clear();
            self.reads.clear();
            while receiver.try_recv().is_ok() {}
            match self.store.reopen() {
                Ok(saved) => break saved,
                Err(error) => tracing::warn!(%error, "the data folder still fails"),
            }
        };
        restore(&self.machine, &saved.snapshot.data.0);
        let (id, now_ms) = (self.store.id(), self.timer.now_ms());
        self.replica = Replica::new(id, self.timing, saved, rand::random(), now_ms);
        self.applied = self.replica.commit();
        tracing::info!(applied = self.applied, "the data folder works again");
        self.publish();
    }

    fn take(&mut self, request: Request, effects: &mut Vec<Effect>) {
        let now_ms = self.timer.now_ms();
        let input = match request {
            Request::Propose { done, .. } if self.placed.len() >= PLACED => {
                let message = "too many changes wait to be committed";
                let _ = done.send(Err(Error::not_run(Code::OverLimit, message)));
                return;
            }
            Request::Propose { command, done } => {
                let command = encode(&Stamped { at_ms: wall_ms(), command: *command });
                if command.len() > COMMAND_BYTES {
                    let message = "the change is too long for the log";
                    let _ = done.send(Err(Error::not_run(Code::TooLarge, message)));
                    return;
                }
                Input::Propose { token: self.ask(done), command }
            }
            Request::Change { change, done } => Input::Change { token: self.ask(done), change },
            Request::Read { done } => Input::Read { token: self.ask(done) },
            Request::Message { from, message } => Input::Message { from, message },
            Request::Transfer => Input::Transfer,
        };
        effects.extend(self.replica.step(input, now_ms));
    }

    fn ask(&mut self, done: oneshot::Sender<Result<Reply>>) -> u64 {
        let token = self.next_token;
        self.next_token += 1;
        self.asked.insert(token, done);
        token
    }

    // Persists everything first, so that one sync covers the whole batch.
    fn perform(&mut self, effects: Vec<Effect>) -> store::Result<()> {
        let mut queue = effects;
        while !queue.is_empty() {
            let synced = self.persist(&queue)?;
            let mut next = Vec::new();
            for effect in queue {
                self.carry_out(effect);
            }
            if let Some((index, term)) = synced {
                let now_ms = self.timer.now_ms();
                next = self.replica.step(Input::Synced { index, term }, now_ms);
            }
            queue = next;
        }
        Ok(())
    }

    fn compact(&mut self) -> store::Result<()> {
        let index = self.applied;
        let due = self.store.log_bytes() > self.log_bytes;
        if !due || index <= self.replica.log().snapshot().index {
            return Ok(());
        }
        let data = encode(&*self.machine.lock());
        let input = Input::Compact { index, data };
        let effects = self.replica.step(input, self.timer.now_ms());
        self.perform(effects)
    }

    fn persist(&mut self, effects: &[Effect]) -> store::Result<Option<(u64, u64)>> {
        let mut last = None;
        // A vote in a new term comes after that term itself: one sync covers both.
        let vote = effects.iter().rev().find_map(|effect| match effect {
            Effect::Vote(vote) => Some(*vote),
            _ => None,
        });
        if let Some(vote) = vote {
            self.store.save_vote(vote)?;
        }
        for effect in effects {
            match effect {
                Effect::Append(entries) => {
                    self.store.append(entries)?;
                    last = entries.last().map(|entry| (entry.index, entry.term));
                }
                Effect::Snapshot { snapshot, reset } => {
                    let keep = if *reset { Vec::new() } else { self.kept_entries(snapshot.index) };
                    self.store.save_snapshot(snapshot, &keep)?;
                }
                _ => {}
            }
        }
        if last.is_some() {
            self.store.sync()?;
            Metrics::global().count_log_sync();
        }
        Ok(last)
    }

    fn kept_entries(&self, after: u64) -> Vec<Entry> {
        self.replica.log().from(after + 1, usize::MAX)
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Vote(vote) => {
                let candidate = vote.candidate.map(|id| id.to_string());
                tracing::info!(term = vote.term, candidate, "vote stored");
            }
            Effect::Append(_) => {}
            Effect::Snapshot { snapshot, reset } => {
                if reset {
                    restore(&self.machine, &snapshot.data.0);
                    self.applied = snapshot.index;
                    self.forget_placed();
                    self.answer_reads();
                    self.publish();
                }
            }
            Effect::Send { to, message } => self.mesh.send_replica(to, message),
            Effect::Commit(entries) => self.apply(entries),
            Effect::Proposed { token, index, term } => {
                if let Some(done) = self.asked.remove(&token) {
                    self.placed.insert(index, (term, done));
                }
            }
            Effect::Refused { token, refusal } => {
                if let Some(done) = self.asked.remove(&token) {
                    let _ = done.send(Err(refused(refusal)));
                }
            }
            Effect::Readable { token, index } => {
                if let Some(done) = self.asked.remove(&token) {
                    self.reads.push((index, done));
                }
                self.answer_reads();
            }
            Effect::Role { leads, leader, term } => {
                tracing::info!(leads, leader = leader.map(|id| id.to_string()), term, "role");
                if leads {
                    Metrics::global().count_election();
                }
                self.publish();
            }
        }
    }

    // A snapshot does not tell which proposals it covers.
    fn forget_placed(&mut self) {
        let later = self.placed.split_off(&(self.applied + 1));
        for (_, (_, done)) in std::mem::replace(&mut self.placed, later) {
            let message = "the change may be part of a snapshot of another leader";
            let _ = done.send(Err(Error::may_have_run(Code::NotLeader, message)));
        }
    }

    fn apply(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            let reply = match &entry.payload {
                Payload::Command(bytes) => self.apply_command(&bytes.0),
                Payload::Noop | Payload::Members(_) => Ok(Reply::Done),
            };
            self.applied = entry.index;
            let Some((term, done)) = self.placed.remove(&entry.index) else { continue };
            let reply = if term == entry.term {
                reply
            } else {
                Err(Error::not_run(Code::NotLeader, "leadership moved; the change was dropped"))
            };
            let _ = done.send(reply);
        }
        self.publish();
        self.answer_reads();
    }

    fn apply_command(&self, bytes: &[u8]) -> Result<Reply> {
        match decode::<Stamped>(bytes) {
            Ok(stamped) => self.machine.lock().apply(&stamped),
            Err(malformed) => Err(Error::not_run(Code::Internal, malformed.to_string())),
        }
    }

    fn answer_reads(&mut self) {
        let applied = self.applied;
        for (index, done) in std::mem::take(&mut self.reads) {
            if index <= applied {
                let _ = done.send(Ok(Reply::Done));
            } else {
                self.reads.push((index, done));
            }
        }
    }

    fn publish(&self) {
        let members = self.replica.members();
        let followers = self.replica.followers();
        let row = |id: &Id, name: &String, is_voter| {
            let known = followers.iter().find(|(other, _, _)| other == id);
            let own = (self.replica.log().last_index(), 0);
            let (matched, silent_ms) =
                known.map_or(own, |(_, matched, silent)| (*matched, *silent));
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
        self.standing.send_modify(|standing| {
            if standing.is_leader != leads || standing.term != term {
                standing.role_since_ms = now_ms;
            }
            standing.is_leader = leads;
            standing.leader_name = leader.and_then(|id| members.name(id)).map(str::to_string);
            standing.term = term;
            standing.commit = self.replica.commit();
            standing.members = rows;
        });
    }
}

fn refused(refusal: Refusal) -> Error {
    let code = match refusal {
        Refusal::NotLeader => Code::NotLeader,
        Refusal::Busy => Code::Conflict,
        Refusal::Impossible => Code::Unsatisfiable,
    };
    Error::not_run(code, refusal.to_string())
}
