//! Replicas on an in-memory network with in-memory disks, driven by a seeded schedule.

#![allow(dead_code)]

mod disturb;
mod host;

use std::collections::{BTreeMap, BTreeSet};

use eelgrassvalve::replica::member::{Change, Id, Members};
use eelgrassvalve::replica::{
    Body, Effect, Entry, Input, Message, Payload, Refusal, Replica, Snapshot, State, Timing,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Step of the schedule's clock.
const STEP_MS: u64 = 5;
/// Short intervals and messages, so that a short run meets many of them.
pub const TIMING: Timing =
    Timing { heartbeat_ms: 20, election_ms: 100, batch_bytes: 200, chunk_bytes: 40 };

/// Faults of the network and hosts, each in a thousand a step or message.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Messages lost.
    pub loss: u32,
    /// Messages delivered twice.
    pub duplication: u32,
    /// Longest extra delay of a message, in milliseconds.
    pub delay_ms: u64,
    /// Crashes, also in the middle of carrying out effects.
    pub crash: u32,
    /// Data folders lost.
    pub wipe: u32,
    /// One-way cuts.
    pub cut: u32,
    /// Membership changes.
    pub change: u32,
    /// Leadership transfers.
    pub transfer: u32,
    /// Log compactions.
    pub compact: u32,
}

/// One host: its disk lasts through a crash, the rest does not.
pub struct Host {
    /// Identity of the data folder.
    pub id: Id,
    /// The running replica.
    pub replica: Option<Replica>,
    /// Applied commands.
    pub machine: Vec<u64>,
    disk: State,
    applied: u64,
    started_ms: u64,
    clock_percent: u64,
    restart_ms: u64,
    pending: Vec<Effect>,
    proposed: BTreeMap<u64, u64>,
    placed: BTreeMap<u64, (u64, u64)>,
    reads: BTreeMap<u64, u64>,
}

struct Flight {
    from: Id,
    to: Id,
    message: Message,
}

/// The hosts, the network between them and what was observed.
pub struct Network {
    /// Hosts.
    pub hosts: Vec<Host>,
    /// Faults in force.
    pub faults: Faults,
    /// Extra delay of a message that asks a member to campaign, in milliseconds.
    pub campaign_delay_ms: u64,
    /// Values that were acknowledged.
    pub acked: BTreeSet<u64>,
    /// Reads that were answered.
    pub reads: u64,
    /// Reads that were refused.
    pub refused_reads: u64,
    /// Snapshots that were installed.
    pub installs: u64,
    /// Membership changes that were committed.
    pub changes: u64,
    rng: SmallRng,
    now_ms: u64,
    flights: BTreeMap<(u64, u64), Flight>,
    cuts: BTreeMap<(usize, usize), u64>,
    leaders: BTreeMap<u64, Id>,
    committed: BTreeMap<u64, Entry>,
    acked_index: u64,
    next: u64,
}

impl Network {
    /// `voters` of the hosts form the group from the start; the others have empty disks.
    pub fn new(seed: u64, hosts: usize, voters: usize) -> Self {
        let mut members = Members::default();
        for at in 0..voters {
            members.voters.insert(Id(at as u64 + 1), format!("host-{at}"));
        }
        let mut network = Self {
            hosts: Vec::new(),
            faults: Faults::default(),
            campaign_delay_ms: 0,
            acked: BTreeSet::new(),
            reads: 0,
            refused_reads: 0,
            installs: 0,
            changes: 0,
            rng: SmallRng::seed_from_u64(seed),
            now_ms: 0,
            flights: BTreeMap::new(),
            cuts: BTreeMap::new(),
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
            acked_index: 0,
            next: 100,
        };
        for at in 0..hosts {
            let mut disk = State::default();
            if at < voters {
                disk.snapshot = Snapshot { index: 1, members: members.clone(), ..disk.snapshot };
            }
            network.hosts.push(Host::new(Id(at as u64 + 1), disk));
            network.start(at);
        }
        network
    }

    /// Starts a host from its disk.
    pub fn start(&mut self, at: usize) {
        let seed = self.rng.random();
        let clock_percent = self.rng.random_range(97..=103);
        let host = &mut self.hosts[at];
        host.started_ms = self.now_ms;
        host.clock_percent = clock_percent;
        host.machine = decode(&host.disk.snapshot.data.0);
        host.applied = host.disk.snapshot.index;
        host.replica = Some(Replica::new(host.id, TIMING, host.disk.clone(), seed, 0));
    }

    /// Stops a host; whatever was not persisted is lost.
    pub fn crash(&mut self, at: usize) {
        let host = &mut self.hosts[at];
        host.replica = None;
        host.pending.clear();
        host.proposed.clear();
        host.placed.clear();
        host.reads.clear();
        host.restart_ms = self.now_ms + self.rng.random_range(5..400);
    }

    /// Crashes a host and empties its disk, which gives it a new identity.
    pub fn wipe(&mut self, at: usize) {
        self.crash(at);
        let id = Id(self.token());
        self.hosts[at].id = id;
        self.hosts[at].disk = State::default();
    }

    /// Cuts one direction for a time.
    pub fn cut(&mut self, from: usize, to: usize, for_ms: u64) {
        self.cuts.insert((from, to), self.now_ms + for_ms);
    }

    /// Cuts a host off from all others, in both directions.
    pub fn isolate(&mut self, at: usize, for_ms: u64) {
        for other in 0..self.hosts.len() {
            self.cut(at, other, for_ms);
            self.cut(other, at, for_ms);
        }
    }

    /// Ends all faults; stopped hosts start again.
    pub fn heal(&mut self) {
        self.faults = Faults { delay_ms: 2, ..Faults::default() };
        self.cuts.clear();
        for at in 0..self.hosts.len() {
            if self.hosts[at].replica.is_none() {
                self.start(at);
            }
        }
    }

    /// Lets time pass.
    pub fn run(&mut self, for_ms: u64) {
        let until_ms = self.now_ms + for_ms;
        while self.now_ms < until_ms {
            self.step();
        }
    }

    /// Lets time pass until a condition holds; `false` where it did not within the time.
    pub fn run_until(&mut self, within_ms: u64, holds: impl Fn(&Self) -> bool) -> bool {
        let until_ms = self.now_ms + within_ms;
        while !holds(self) {
            if self.now_ms >= until_ms {
                return false;
            }
            self.step();
        }
        true
    }

    /// The host that leads in the highest term.
    pub fn leader(&self) -> Option<usize> {
        let mut best = None;
        for (at, host) in self.hosts.iter().enumerate() {
            let Some(replica) = host.replica.as_ref().filter(|replica| replica.leads()) else {
                continue;
            };
            best = best.max(Some((replica.term(), at)));
        }
        best.map(|(_, at)| at)
    }

    /// Proposes a fresh value at a host and returns it.
    pub fn propose(&mut self, at: usize) -> u64 {
        let value = self.token();
        self.hosts[at].proposed.insert(value, value);
        let command = value.to_be_bytes().to_vec();
        self.input(at, Input::Propose { token: value, command });
        value
    }

    /// Asks a host for a current read.
    pub fn read(&mut self, at: usize) {
        let token = self.token();
        self.hosts[at].reads.insert(token, self.acked_index);
        self.input(at, Input::Read { token });
    }

    /// Asks a host to change the membership.
    pub fn change(&mut self, at: usize, change: Change) {
        let token = self.token();
        self.input(at, Input::Change { token, change });
    }

    /// Gives an input to a host, if it runs.
    pub fn input(&mut self, at: usize, input: Input) {
        let clock_ms = self.clock_ms(at);
        let host = &mut self.hosts[at];
        let Some(replica) = &mut host.replica else { return };
        host.pending.extend(replica.step(input, clock_ms));
        if !replica.leads() {
            return;
        }
        let (term, id) = (replica.term(), host.id);
        let leader = *self.leaders.entry(term).or_insert(id);
        assert_eq!(leader, id, "two leaders in term {term}");
    }

    /// Cuts a host's log at what it applied.
    pub fn compact(&mut self, at: usize) {
        let host = &self.hosts[at];
        let data = host.machine.iter().flat_map(|value| value.to_be_bytes()).collect();
        let index = host.applied;
        self.input(at, Input::Compact { index, data });
    }

    /// Membership after every committed change.
    pub fn members(&self) -> Members {
        for entry in self.committed.values().rev() {
            if let Payload::Members(members) = &entry.payload {
                return members.clone();
            }
        }
        let known = self.hosts.iter().map(|host| &host.disk.snapshot);
        known.max_by_key(|snapshot| snapshot.index).expect("has hosts").members.clone()
    }

    /// Whether every member has applied the same and holds every acknowledged value.
    pub fn is_settled(&self) -> bool {
        self.is_settled_without(usize::MAX)
    }

    /// As [`Network::is_settled`], but for one host.
    pub fn is_settled_without(&self, lost: usize) -> bool {
        let Some(leader) = self.leader() else { return false };
        let applied = self.hosts[leader].applied;
        for (at, host) in self.hosts.iter().enumerate() {
            if at != lost && self.members().name(host.id).is_some() && host.applied != applied {
                return false;
            }
        }
        self.acked.iter().all(|value| self.hosts[leader].machine.contains(value))
    }

    /// Host of an identity that still exists.
    pub fn host_of(&self, id: Id) -> Option<usize> {
        self.hosts.iter().position(|host| host.id == id)
    }

    fn clock_ms(&self, at: usize) -> u64 {
        let host = &self.hosts[at];
        (self.now_ms - host.started_ms) * host.clock_percent / 100
    }

    fn token(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    fn chance(&mut self, per_mille: u32) -> bool {
        per_mille > 0 && self.rng.random_range(0..1000) < per_mille
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.deliver();
        self.disturb();
        for at in 0..self.hosts.len() {
            self.input(at, Input::Tick);
            self.perform(at);
        }
    }

    fn deliver(&mut self) {
        while let Some(first) = self.flights.first_entry() {
            if first.key().0 > self.now_ms {
                return;
            }
            let Flight { from, to, message } = first.remove();
            let Some(at) = self.host_of(to) else { continue };
            self.input(at, Input::Message { from, message });
        }
    }

    // Some inputs share one round of persisting, as in the daemon.
    fn perform(&mut self, at: usize) {
        for _ in 0..8 {
            let effects = std::mem::take(&mut self.hosts[at].pending);
            if effects.is_empty() {
                return;
            }
            let crash = self.faults.crash;
            let mut synced = None;
            for effect in &effects {
                if self.chance(crash / 4) {
                    return self.crash(at);
                }
                synced = self.hosts[at].persist(effect).or(synced);
            }
            for effect in effects {
                if self.chance(crash / 4) {
                    return self.crash(at);
                }
                self.carry_out(at, effect);
            }
            if let Some((index, term)) = synced {
                self.input(at, Input::Synced { index, term });
            }
        }
    }

    fn carry_out(&mut self, at: usize, effect: Effect) {
        match effect {
            Effect::Send { to, message } => self.send(at, to, message),
            Effect::Apply(entries) => {
                for entry in entries {
                    self.apply(at, entry);
                }
            }
            Effect::SaveSnapshot { snapshot, reset: true } => self.install(at, &snapshot),
            Effect::Proposed { token, index, term } => {
                let Some(value) = self.hosts[at].proposed.remove(&token) else { return };
                self.hosts[at].placed.insert(index, (term, value));
            }
            Effect::Refused { token, refusal } => {
                let Some(_) = self.hosts[at].reads.remove(&token) else { return };
                assert_eq!(refusal, Refusal::NotLeader);
                self.refused_reads += 1;
            }
            Effect::ReadReady { token, index } => {
                let Some(least) = self.hosts[at].reads.remove(&token) else { return };
                assert!(index >= least, "a read at {index} misses what was acked at {least}");
                self.reads += 1;
            }
            _ => {}
        }
    }

    fn send(&mut self, at: usize, to: Id, message: Message) {
        let from = self.hosts[at].id;
        let Some(target) = self.host_of(to) else { return };
        let cut = self.cuts.get(&(at, target)).is_some_and(|until_ms| *until_ms > self.now_ms);
        if cut || self.chance(self.faults.loss) {
            return;
        }
        let copies = 1 + u32::from(self.chance(self.faults.duplication));
        for _ in 0..copies {
            let mut delay_ms = 1 + self.rng.random_range(0..=self.faults.delay_ms);
            if message.body == Body::Campaign {
                delay_ms += self.campaign_delay_ms;
            }
            let key = (self.now_ms + delay_ms, self.token());
            self.flights.insert(key, Flight { from, to, message: message.clone() });
        }
    }

    fn apply(&mut self, at: usize, entry: Entry) {
        let known = self.committed.entry(entry.index).or_insert_with(|| entry.clone());
        assert_eq!(*known, entry, "a committed entry changed");
        let host = &mut self.hosts[at];
        assert_eq!(entry.index, host.applied + 1, "applied out of order");
        host.applied = entry.index;
        if let Payload::Command(bytes) = &entry.payload {
            host.machine.extend(decode(&bytes.0));
        }
        if let Payload::Members(_) = &entry.payload {
            self.changes += 1;
        }
        let Some((term, value)) = host.placed.remove(&entry.index) else { return };
        if term == entry.term {
            self.acked.insert(value);
            self.acked_index = self.acked_index.max(entry.index);
        }
    }

    fn install(&mut self, at: usize, snapshot: &Snapshot) {
        let machine = decode(&snapshot.data.0);
        let mut expected = Vec::new();
        for (_, entry) in self.committed.range(..=snapshot.index) {
            if let Payload::Command(bytes) = &entry.payload {
                expected.extend(decode(&bytes.0));
            }
        }
        assert_eq!(machine, expected, "an installed snapshot differs from what was committed");
        self.installs += 1;
        let host = &mut self.hosts[at];
        host.machine = machine;
        host.applied = snapshot.index;
        host.placed.clear();
    }
}

fn decode(bytes: &[u8]) -> Vec<u64> {
    let mut values = Vec::new();
    for chunk in bytes.chunks_exact(8) {
        values.push(u64::from_be_bytes(chunk.try_into().expect("has eight bytes")));
    }
    values
}
