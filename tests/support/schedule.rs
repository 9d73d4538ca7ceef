//! Deterministic simulation of replicas with an in-memory network and disks, driven by a seed.

#![allow(dead_code)]

mod fault_injection;
mod host;

use std::collections::{BTreeMap, BTreeSet};

use eelgrassvalve::replica::member::{Change, Id, Members};
use eelgrassvalve::replica::{
    Body, Effect, Entry, Input, Message, Payload, Refusal, Replica, Snapshot, State, Timing,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Step of the simulated clock, in milliseconds.
const STEP_MS: u64 = 5;
/// Short intervals and small messages, so that a short run covers many elections, batches and
/// snapshot chunks.
pub const TIMING: Timing =
    Timing { heartbeat_ms: 20, election_ms: 100, batch_bytes: 200, chunk_bytes: 40 };

/// Fault rates of the network and the hosts, per thousand steps or messages.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Messages that are lost.
    pub loss: u32,
    /// Messages that are delivered twice.
    pub duplication: u32,
    /// Maximum additional delay of a message, in milliseconds.
    pub delay_ms: u64,
    /// Crashes, also between two effects of a step.
    pub crash: u32,
    /// Losses of a data folder.
    pub wipe: u32,
    /// One-way network cuts.
    pub cut: u32,
    /// Membership changes.
    pub change: u32,
    /// Leadership transfers.
    pub transfer: u32,
    /// Log compactions.
    pub compact: u32,
}

/// A host. Only the identity and the disk survive a crash.
pub struct Host {
    /// Identity stored in the data folder.
    pub id: Id,
    /// The replica, or `None` while the host is stopped.
    pub replica: Option<Replica>,
    /// Values of the applied commands, in order.
    pub applied_values: Vec<u64>,
    disk: State,
    applied_index: u64,
    started_ms: u64,
    clock_percent: u64,
    restart_ms: u64,
    pending_effects: Vec<Effect>,
    // Values of pending proposals, by token.
    proposals: BTreeMap<u64, u64>,
    // Terms and values of appended proposals, by index.
    appended: BTreeMap<u64, (u64, u64)>,
    // Lowest index that a pending read has to cover, by token.
    reads: BTreeMap<u64, u64>,
}

/// A message on its way.
struct Delivery {
    from: Id,
    to: Id,
    message: Message,
}

/// The hosts, the network between them and the observed results.
pub struct Network {
    pub hosts: Vec<Host>,
    /// Faults in force.
    pub faults: Faults,
    /// Additional delay of messages that ask a member to campaign, in milliseconds.
    pub campaign_delay_ms: u64,
    /// Acknowledged values.
    pub acked: BTreeSet<u64>,
    /// Number of reads that were answered.
    pub reads: u64,
    /// Number of reads that were refused.
    pub refused_reads: u64,
    /// Number of installed snapshots.
    pub installs: u64,
    /// Number of membership changes that hosts applied.
    pub changes: u64,
    rng: SmallRng,
    now_ms: u64,
    // By time of delivery and a unique number.
    deliveries: BTreeMap<(u64, u64), Delivery>,
    // End of each cut, by sending and receiving host.
    cuts: BTreeMap<(usize, usize), u64>,
    // By term.
    leaders: BTreeMap<u64, Id>,
    // By index.
    committed: BTreeMap<u64, Entry>,
    acked_index: u64,
    last_token: u64,
}

impl Network {
    /// Starts the hosts. The first `voters` of them form the initial group, the others have empty
    /// disks.
    pub fn new(seed: u64, hosts: usize, voters: usize) -> Self {
        let mut members = Members::default();
        for host_index in 0..voters {
            members.voters.insert(Id(host_index as u64 + 1), format!("host-{host_index}"));
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
            deliveries: BTreeMap::new(),
            cuts: BTreeMap::new(),
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
            acked_index: 0,
            last_token: 100,
        };
        for host_index in 0..hosts {
            let mut disk = State::default();
            if host_index < voters {
                disk.snapshot = Snapshot { index: 1, members: members.clone(), ..disk.snapshot };
            }
            network.hosts.push(Host::new(Id(host_index as u64 + 1), disk));
            network.start(host_index);
        }
        network
    }

    /// Starts a host from its disk.
    pub fn start(&mut self, host_index: usize) {
        let seed = self.rng.random();
        let clock_percent = self.rng.random_range(97..=103);
        let host = &mut self.hosts[host_index];
        host.started_ms = self.now_ms;
        host.clock_percent = clock_percent;
        host.applied_values = decode(&host.disk.snapshot.data.0);
        host.applied_index = host.disk.snapshot.index;
        host.replica = Some(Replica::new(host.id, TIMING, host.disk.clone(), seed, 0));
    }

    /// Crashes a host, which loses all state that was not persisted, and schedules its restart.
    pub fn crash(&mut self, host_index: usize) {
        let host = &mut self.hosts[host_index];
        host.replica = None;
        host.pending_effects.clear();
        host.proposals.clear();
        host.appended.clear();
        host.reads.clear();
        host.restart_ms = self.now_ms + self.rng.random_range(5..400);
    }

    /// Crashes a host and erases its disk, so that it returns with a new identity.
    pub fn wipe(&mut self, host_index: usize) {
        self.crash(host_index);
        let id = Id(self.next_token());
        self.hosts[host_index].id = id;
        self.hosts[host_index].disk = State::default();
    }

    /// Cuts one direction of a link for `duration_ms`.
    pub fn cut(&mut self, from: usize, to: usize, duration_ms: u64) {
        self.cuts.insert((from, to), self.now_ms + duration_ms);
    }

    /// Cuts all links of a host in both directions for `duration_ms`.
    pub fn isolate(&mut self, host_index: usize, duration_ms: u64) {
        for other in 0..self.hosts.len() {
            self.cut(host_index, other, duration_ms);
            self.cut(other, host_index, duration_ms);
        }
    }

    /// Ends all faults and restarts stopped hosts.
    pub fn heal(&mut self) {
        self.faults = Faults { delay_ms: 2, ..Faults::default() };
        self.cuts.clear();
        for host_index in 0..self.hosts.len() {
            if self.hosts[host_index].replica.is_none() {
                self.start(host_index);
            }
        }
    }

    /// Runs the simulation for `duration_ms`.
    pub fn run(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.step();
        }
    }

    /// Runs the simulation until the condition holds; returns `false` if it does not within
    /// `timeout_ms`.
    pub fn run_until(&mut self, timeout_ms: u64, condition: impl Fn(&Self) -> bool) -> bool {
        let end_ms = self.now_ms + timeout_ms;
        while !condition(self) {
            if self.now_ms >= end_ms {
                return false;
            }
            self.step();
        }
        true
    }

    /// Index of the running leader with the highest term.
    pub fn leader(&self) -> Option<usize> {
        let mut highest = None;
        for (host_index, host) in self.hosts.iter().enumerate() {
            let Some(replica) = host.replica.as_ref().filter(|replica| replica.leads()) else {
                continue;
            };
            highest = highest.max(Some((replica.term(), host_index)));
        }
        highest.map(|(_, host_index)| host_index)
    }

    /// Proposes a new value at a host and returns the value.
    pub fn propose(&mut self, host_index: usize) -> u64 {
        let value = self.next_token();
        self.hosts[host_index].proposals.insert(value, value);
        let command = value.to_be_bytes().to_vec();
        self.input(host_index, Input::Propose { token: value, command });
        value
    }

    /// Requests a linearizable read from a host.
    pub fn read(&mut self, host_index: usize) {
        let token = self.next_token();
        self.hosts[host_index].reads.insert(token, self.acked_index);
        self.input(host_index, Input::Read { token });
    }

    /// Requests a membership change from a host.
    pub fn change(&mut self, host_index: usize, change: Change) {
        let token = self.next_token();
        self.input(host_index, Input::Change { token, change });
    }

    /// Passes an input to a host if it is running, and checks that each term has one leader.
    pub fn input(&mut self, host_index: usize, input: Input) {
        let clock_ms = self.clock_ms(host_index);
        let host = &mut self.hosts[host_index];
        let Some(replica) = &mut host.replica else { return };
        host.pending_effects.extend(replica.step(input, clock_ms));
        if !replica.leads() {
            return;
        }
        let (term, id) = (replica.term(), host.id);
        let leader = *self.leaders.entry(term).or_insert(id);
        assert_eq!(leader, id, "two leaders in term {term}");
    }

    /// Compacts a host's log up to its last applied entry.
    pub fn compact(&mut self, host_index: usize) {
        let host = &self.hosts[host_index];
        let data = host.applied_values.iter().flat_map(|value| value.to_be_bytes()).collect();
        let index = host.applied_index;
        self.input(host_index, Input::Compact { index, data });
    }

    /// Latest committed membership.
    pub fn members(&self) -> Members {
        for entry in self.committed.values().rev() {
            if let Payload::Members(members) = &entry.payload {
                return members.clone();
            }
        }
        let known = self.hosts.iter().map(|host| &host.disk.snapshot);
        known
            .max_by_key(|snapshot| snapshot.index)
            .expect("there is at least one host")
            .members
            .clone()
    }

    /// Whether all members have applied the same index and the leader has all acknowledged values.
    pub fn has_converged(&self) -> bool {
        self.has_converged_except(usize::MAX)
    }

    /// As [`Network::has_converged`], ignoring one host.
    pub fn has_converged_except(&self, excluded: usize) -> bool {
        let Some(leader) = self.leader() else { return false };
        let applied_index = self.hosts[leader].applied_index;
        for (host_index, host) in self.hosts.iter().enumerate() {
            if host_index != excluded
                && self.members().name(host.id).is_some()
                && host.applied_index != applied_index
            {
                return false;
            }
        }
        self.acked.iter().all(|value| self.hosts[leader].applied_values.contains(value))
    }

    /// Index of the host with this identity; `None` if its disk was wiped.
    pub fn host_of(&self, id: Id) -> Option<usize> {
        self.hosts.iter().position(|host| host.id == id)
    }

    fn clock_ms(&self, host_index: usize) -> u64 {
        let host = &self.hosts[host_index];
        (self.now_ms - host.started_ms) * host.clock_percent / 100
    }

    fn next_token(&mut self) -> u64 {
        self.last_token += 1;
        self.last_token
    }

    fn chance(&mut self, per_mille: u32) -> bool {
        per_mille > 0 && self.rng.random_range(0..1000) < per_mille
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.deliver();
        self.inject_faults();
        for host_index in 0..self.hosts.len() {
            self.input(host_index, Input::Tick);
            self.run_effects(host_index);
        }
    }

    fn deliver(&mut self) {
        while let Some(first) = self.deliveries.first_entry() {
            if first.key().0 > self.now_ms {
                return;
            }
            let Delivery { from, to, message } = first.remove();
            let Some(host_index) = self.host_of(to) else { continue };
            self.input(host_index, Input::Message { from, message });
        }
    }

    // Persists all pending effects before any of them is carried out. Several inputs share one
    // round of persistence, as in the daemon.
    fn run_effects(&mut self, host_index: usize) {
        for _ in 0..8 {
            let effects = std::mem::take(&mut self.hosts[host_index].pending_effects);
            if effects.is_empty() {
                return;
            }
            let crash = self.faults.crash;
            let mut synced = None;
            for effect in &effects {
                if self.chance(crash / 4) {
                    return self.crash(host_index);
                }
                synced = self.hosts[host_index].persist(effect).or(synced);
            }
            for effect in effects {
                if self.chance(crash / 4) {
                    return self.crash(host_index);
                }
                self.run_effect(host_index, effect);
            }
            if let Some((index, term)) = synced {
                self.input(host_index, Input::Synced { index, term });
            }
        }
    }

    fn run_effect(&mut self, host: usize, effect: Effect) {
        match effect {
            Effect::Send { to, message } => self.send(host, to, message),
            Effect::Apply(entries) => {
                for entry in entries {
                    self.apply(host, entry);
                }
            }
            Effect::SaveSnapshot { snapshot, reset: true } => self.install(host, &snapshot),
            Effect::Proposed { token, index, term } => {
                let Some(value) = self.hosts[host].proposals.remove(&token) else { return };
                self.hosts[host].appended.insert(index, (term, value));
            }
            Effect::Refused { token, refusal } => {
                let Some(_) = self.hosts[host].reads.remove(&token) else { return };
                assert_eq!(refusal, Refusal::NotLeader);
                self.refused_reads += 1;
            }
            Effect::ReadReady { token, index } => {
                let Some(min_index) = self.hosts[host].reads.remove(&token) else { return };
                assert!(
                    index >= min_index,
                    "read at index {index} misses the write acknowledged at index {min_index}"
                );
                self.reads += 1;
            }
            _ => {}
        }
    }

    fn send(&mut self, host_index: usize, to: Id, message: Message) {
        let from = self.hosts[host_index].id;
        let Some(target) = self.host_of(to) else { return };
        let cut = self.cuts.get(&(host_index, target)).is_some_and(|end_ms| *end_ms > self.now_ms);
        if cut || self.chance(self.faults.loss) {
            return;
        }
        let copies = 1 + u32::from(self.chance(self.faults.duplication));
        for _ in 0..copies {
            let mut delay_ms = 1 + self.rng.random_range(0..=self.faults.delay_ms);
            if message.body == Body::Campaign {
                delay_ms += self.campaign_delay_ms;
            }
            let key = (self.now_ms + delay_ms, self.next_token());
            self.deliveries.insert(key, Delivery { from, to, message: message.clone() });
        }
    }

    fn apply(&mut self, host_index: usize, entry: Entry) {
        let known = self.committed.entry(entry.index).or_insert_with(|| entry.clone());
        assert_eq!(*known, entry, "hosts applied different entries at the same index");
        let host = &mut self.hosts[host_index];
        assert_eq!(entry.index, host.applied_index + 1, "entry applied out of order");
        host.applied_index = entry.index;
        if let Payload::Command(bytes) = &entry.payload {
            host.applied_values.extend(decode(&bytes.0));
        }
        if let Payload::Members(_) = &entry.payload {
            self.changes += 1;
        }
        let Some((term, value)) = host.appended.remove(&entry.index) else { return };
        if term == entry.term {
            self.acked.insert(value);
            self.acked_index = self.acked_index.max(entry.index);
        }
    }

    fn install(&mut self, host_index: usize, snapshot: &Snapshot) {
        let installed_values = decode(&snapshot.data.0);
        let mut expected = Vec::new();
        for (_, entry) in self.committed.range(..=snapshot.index) {
            if let Payload::Command(bytes) = &entry.payload {
                expected.extend(decode(&bytes.0));
            }
        }
        assert_eq!(
            installed_values, expected,
            "installed snapshot differs from the committed commands"
        );
        self.installs += 1;
        let host = &mut self.hosts[host_index];
        host.applied_values = installed_values;
        host.applied_index = snapshot.index;
        host.appended.clear();
    }
}

/// Decodes values of eight bytes in big-endian order.
fn decode(bytes: &[u8]) -> Vec<u64> {
    let mut values = Vec::new();
    for chunk in bytes.chunks_exact(8) {
        values.push(u64::from_be_bytes(chunk.try_into().expect("the chunk has eight bytes")));
    }
    values
}
