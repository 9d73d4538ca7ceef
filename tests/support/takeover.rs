//! Seeded simulation of workers and leaders: heartbeats and answers are delayed, reordered and lost,
//! workers are cut off, and commits take time, while leaders change. Workers may also restart under their
//! names, and take the answers that were on their way to their former incarnations. The simulated workers
//! check that no task runs twice, and that no gang starts after its last allowed failure.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use eelgrassvalve::batch::fleet::{Fleet, lease_bound_ms};
use eelgrassvalve::batch::job::{Id, State, Task, TaskId};
use eelgrassvalve::batch::plan::startable_tasks;
use eelgrassvalve::batch::table::{Command, Round, Start};
use eelgrassvalve::batch::worker::{self, Exit, Heartbeat, Orders, Stamp};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::batch::{Harness, LEASE_MS, WORKER_CAPACITY, gang, step, task_id};

/// Step of the simulated clock, in milliseconds.
const STEP_MS: u64 = 10;
/// Time after which a worker drops an answer, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 1_000;
/// Length of a simulation, in milliseconds.
const LENGTH_MS: u64 = 15_000;
/// Longest time until a crashed worker starts again, in milliseconds.
const MAX_RESTART_MS: u64 = 600;
/// The same for a worker that crashes while a start order is on its way, so that the order arrives.
const MAX_FAST_RESTART_MS: u64 = 30;
/// Longest time that a heartbeat is held, in milliseconds.
const MAX_HOLD_MS: u64 = 600;
const WORKERS: usize = 3;
/// Tasks of the first job, which run on their own.
const TASKS: u32 = 6;
/// Tasks of the second job, a gang.
const MEMBERS: u32 = 3;
const GANG_JOB: u64 = 2;

/// A worker, which follows the protocol of heartbeats and leases.
#[derive(Default)]
struct Host {
    incarnation: u64,
    // Difference between the clock of the incarnation and that of the simulation.
    clock_offset_ms: u64,
    sequence: u64,
    // Sequence number and time of the outstanding heartbeat.
    outstanding: Option<(u64, u64)>,
    next_ms: u64,
    // While a worker is cut off, it runs on, and its packets are lost.
    cut_until_ms: u64,
    is_draining: bool,
    // A crashed worker is down until its next incarnation starts.
    down_until_ms: u64,
    lease_until_ms: u64,
    token: u64,
    // End time of each run.
    running: BTreeMap<TaskId, (u32, u64)>,
    ended: Vec<worker::End>,
    // When each end occurred, by its number.
    ended_ms: BTreeMap<u64, u64>,
    ends: u64,
    // Number of the last end before the lease ran out: the leader may have started those tasks again
    // before it heard of them.
    lapsed_through: u64,
    // Highest run of each task that was stopped or ended here.
    rejected: BTreeMap<TaskId, u32>,
}

enum Packet {
    Beat(Box<Heartbeat>),
    Answer(Box<Answer>),
    // The announcement that a worker leaves, which doesn't name its incarnation.
    Leave { worker: usize },
}

/// Answer to a heartbeat.
struct Answer {
    worker: usize,
    stamp: Stamp,
    // When the heartbeat was sent.
    sent_ms: u64,
    orders: Orders,
}

pub struct Simulation {
    are_restarts_enabled: bool,
    random: SmallRng,
    harness: Harness,
    hosts: Vec<Host>,
    packets: Vec<(u64, Packet)>,
    term: u64,
    // When the current leader took over.
    since_ms: u64,
    // Rounds that are proposed and not committed, with the time of their commit.
    log: VecDeque<(u64, Round)>,
    acknowledged: BTreeSet<TaskId>,
    // Starts of tasks of the gang: run and time.
    gang_starts_ms: Vec<(u32, u64)>,
    // Acknowledged failures of runs of the gang: run and time.
    gang_failures_ms: BTreeMap<u32, u64>,
    // Heartbeats that are held for orders: when they are answered, and by which worker they were sent.
    held: Vec<(u64, usize, Stamp)>,
    // When each heartbeat was sent, by worker.
    sent_ms: BTreeMap<(usize, Stamp), u64>,
    seed: u64,
}

impl Simulation {
    /// Plays a schedule in which leaders change.
    pub fn run(seed: u64) {
        Self::play(seed, false);
    }

    /// As [`Simulation::run`], while workers crash and start again.
    pub fn run_with_restarts(seed: u64) {
        Self::play(seed, true);
    }

    fn play(seed: u64, are_restarts_enabled: bool) {
        let mut harness = Harness::with_workers(0);
        harness.fleet = Fleet::of_term(1);
        harness.submit(1, "small", vec![step(TASKS)]);
        let gang_queue = if seed.is_multiple_of(2) { "small" } else { "large" };
        harness.submit(GANG_JOB, gang_queue, vec![gang(MEMBERS)]);
        let mut simulation = Self {
            are_restarts_enabled,
            random: SmallRng::seed_from_u64(seed),
            since_ms: harness.now_ms,
            harness,
            hosts: (0..WORKERS).map(|_| Host { incarnation: 1, ..Host::default() }).collect(),
            packets: Vec::new(),
            term: 1,
            log: VecDeque::new(),
            acknowledged: BTreeSet::new(),
            gang_starts_ms: Vec::new(),
            gang_failures_ms: BTreeMap::new(),
            held: Vec::new(),
            sent_ms: BTreeMap::new(),
            seed,
        };
        let end_ms = simulation.harness.now_ms + LENGTH_MS;
        while simulation.harness.now_ms < end_ms {
            simulation.harness.now_ms += STEP_MS;
            simulation.advance();
        }
    }

    fn advance(&mut self) {
        self.commit(self.harness.now_ms);
        if self.chance(3) {
            self.change_leader();
        }
        for at in 0..WORKERS {
            if self.chance(2) {
                let cut_ms = self.random.random_range(500..8_000);
                self.hosts[at].cut_until_ms = self.harness.now_ms + cut_ms;
            }
            if self.chance(3) {
                self.fail_member(at);
            }
            if self.are_restarts_enabled && self.chance(3) {
                self.hosts[at].is_draining = true;
            }
            if self.are_restarts_enabled && self.chance(5) {
                self.restart(at, MAX_RESTART_MS);
            }
            self.advance_host(at);
        }
        let now_ms = self.harness.now_ms;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.packets).into_iter().partition(|(at_ms, _)| *at_ms <= now_ms);
        self.packets = later;
        self.answer_held();
        for (_, packet) in due {
            if self.is_cut(packet.worker()) {
                continue;
            }
            match packet {
                Packet::Beat(heartbeat) => self.receive(*heartbeat),
                Packet::Answer(answer) => self.obey(&answer),
                Packet::Leave { worker } => {
                    self.harness.fleet.mark_leaving(&format!("w{worker}"), None, now_ms);
                }
            }
        }
        if self.chance(100) {
            self.round();
        }
    }

    fn change_leader(&mut self) {
        self.term += 1;
        self.since_ms = self.harness.now_ms;
        self.harness.fleet = Fleet::of_term(self.term);
        self.held.clear();
        // The log of a new leader holds what was committed, and may hold more.
        if self.chance(500) {
            self.commit(u64::MAX);
        }
        self.log.clear();
    }

    // Applies the rounds that are committed by a time.
    fn commit(&mut self, now_ms: u64) {
        while self.log.front().is_some_and(|(at_ms, _)| *at_ms <= now_ms) {
            let Some((_, round)) = self.log.pop_front() else { break };
            self.harness.apply(Command::Round(round));
        }
    }

    fn propose(&mut self, round: Round) {
        let delay_ms = match self.random.random_range(0..100u32) {
            0..10 => self.random.random_range(0..2_000),
            _ => self.random.random_range(0..50),
        };
        let last_ms = self.log.back().map_or(0, |(at_ms, _)| *at_ms);
        self.log.push_back((last_ms.max(self.harness.now_ms + delay_ms), round));
    }

    fn is_cut(&self, at: usize) -> bool {
        self.harness.now_ms < self.hosts[at].cut_until_ms
    }

    // A worker crashes or leaves. Its next incarnation starts soon, with another clock, and may be cut off
    // shortly after.
    fn restart(&mut self, at: usize, max_down_ms: u64) {
        let now_ms = self.harness.now_ms;
        let down_ms = self.random.random_range(0..max_down_ms);
        let clock_offset_ms = self.random.random_range(0..9_000_000);
        // The time of day of the worker may be set back.
        let born_ms = if self.chance(50) {
            now_ms.saturating_sub(self.random.random_range(0..5_000))
        } else {
            now_ms + down_ms
        };
        let cut_until_ms = self.hosts[at].cut_until_ms;
        let cut_until_ms = if self.chance(300) {
            now_ms + down_ms + self.random.random_range(0..200) + 4_000
        } else {
            cut_until_ms
        };
        let running: Vec<TaskId> = self.hosts[at].running.keys().copied().collect();
        running.iter().for_each(|task| self.end(at, task, Exit::Lapsed));
        if self.hosts[at].is_draining {
            self.send(Packet::Leave { worker: at });
        }
        self.hosts[at] = Host {
            incarnation: born_ms,
            clock_offset_ms,
            cut_until_ms,
            down_until_ms: now_ms + down_ms,
            next_ms: now_ms + down_ms + self.random.random_range(0..300),
            ..Host::default()
        };
    }

    // A task of the gang on this worker fails, if there is one.
    fn fail_member(&mut self, at: usize) {
        let tasks = self.hosts[at].running.keys();
        let member = tasks.copied().find(|task| task.job == Id(GANG_JOB));
        if let Some(member) = member {
            self.end(at, &member, Exit::Failed);
        }
    }

    // Ends a run. The other tasks of its gang break with it: those on the same worker always, others
    // if neither worker is cut off, or by chance.
    fn end(&mut self, at: usize, task: &TaskId, how: Exit) {
        let Some((run, _)) = self.hosts[at].running.get(task).copied() else { return };
        self.hosts[at].end(task, how, self.harness.now_ms);
        if task.job != Id(GANG_JOB) {
            return;
        }
        for other in 0..WORKERS {
            let is_reached =
                other == at || !(self.is_cut(at) || self.is_cut(other)) || self.chance(500);
            let members = self.hosts[other].running.iter();
            let of_run = members.filter(|(task, (number, _))| {
                is_reached && task.job == Id(GANG_JOB) && *number == run
            });
            let broken: Vec<TaskId> = of_run.map(|(task, _)| *task).collect();
            let now_ms = self.harness.now_ms;
            broken.iter().for_each(|task| self.hosts[other].end(task, Exit::Broken, now_ms));
        }
    }

    // Delivers a packet after a delay, or never. Some arrive seconds late.
    fn send(&mut self, packet: Packet) {
        if self.is_cut(packet.worker()) {
            return;
        }
        let delay_ms = match self.random.random_range(0..100u32) {
            0..5 => return,
            5..20 => self.random.random_range(0..5_000),
            _ => self.random.random_range(0..40),
        };
        self.packets.push((self.harness.now_ms + delay_ms, packet));
    }

    fn advance_host(&mut self, at: usize) {
        let now_ms = self.harness.now_ms;
        if now_ms < self.hosts[at].down_until_ms {
            return;
        }
        if now_ms >= self.hosts[at].lease_until_ms {
            self.hosts[at].lapsed_through = self.hosts[at].ends;
            let lapsed: Vec<TaskId> = self.hosts[at].running.keys().copied().collect();
            lapsed.iter().for_each(|task| self.end(at, task, Exit::Lapsed));
        }
        let runs = self.hosts[at].running.iter();
        let done = runs.filter(|(_, (_, end_ms))| *end_ms <= now_ms);
        let done: Vec<TaskId> = done.map(|(task, _)| *task).collect();
        done.iter().for_each(|task| self.end(at, task, Exit::Done));
        let host = &mut self.hosts[at];
        if host.outstanding.is_some_and(|(_, sent_ms)| now_ms < sent_ms + CALL_TIMEOUT_MS)
            || (host.outstanding.is_none() && now_ms < host.next_ms)
        {
            return;
        }
        host.sequence += 1;
        host.outstanding = Some((host.sequence, now_ms));
        let row = |(task, (run, _)): (&TaskId, &(u32, u64))| worker::Run {
            task: *task,
            run: *run,
            checkpoint: String::new(),
            percent: 50,
            gauge: 0,
        };
        let heartbeat = Heartbeat {
            worker: format!("w{at}"),
            incarnation: host.incarnation,
            sequence: host.sequence,
            clock_ms: Some(now_ms + host.clock_offset_ms),
            pool: "pool".into(),
            zone: "zone".into(),
            capacity: WORKER_CAPACITY,
            labels: Vec::new(),
            rack: String::new(),
            is_draining: host.is_draining,
            remaining_ms: None,
            running: host.running.iter().map(row).collect(),
            ended: host.ended.clone(),
        };
        self.sent_ms.insert((at, heartbeat.stamp()), now_ms);
        self.send(Packet::Beat(Box::new(heartbeat)));
    }

    fn receive(&mut self, heartbeat: Heartbeat) {
        let (at, stamp) = (worker_index(&heartbeat.worker), heartbeat.stamp());
        let harness = &mut self.harness;
        let receipt = harness.fleet.receive(heartbeat, &harness.table, LEASE_MS, harness.now_ms);
        if receipt.is_ignored {
            return;
        }
        if self.are_restarts_enabled && self.chance(300) {
            let hold_ms = self.random.random_range(0..MAX_HOLD_MS);
            self.held.push((self.harness.now_ms + hold_ms, at, stamp));
            return;
        }
        self.answer(at, stamp);
    }

    fn answer_held(&mut self) {
        let now_ms = self.harness.now_ms;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.held).into_iter().partition(|(at_ms, ..)| *at_ms <= now_ms);
        self.held = later;
        due.into_iter().for_each(|(_, at, stamp)| self.answer(at, stamp));
    }

    fn answer(&mut self, worker: usize, stamp: Stamp) {
        let name = format!("w{worker}");
        let Some(mut orders) = self.harness.fleet.answer(&name, stamp, &self.harness.table) else {
            return;
        };
        let now_ms = self.harness.now_ms;
        self.harness.fleet.record_answer(&name, stamp, now_ms);
        orders.lease_ms = Some(LEASE_MS);
        orders.next_ms = self.random.random_range(20..300);
        let sent_ms = self.sent_ms[&(worker, stamp)];
        let has_starts = !orders.start.is_empty();
        self.send(Packet::Answer(Box::new(Answer { worker, stamp, sent_ms, orders })));
        if self.are_restarts_enabled && has_starts && self.chance(100) {
            self.restart(worker, MAX_FAST_RESTART_MS);
        }
    }

    // Proposes the ends, or stops and starts runs at random. A round that waits for its commit delays
    // the next one, but not for ever.
    fn round(&mut self) {
        if !self.log.is_empty() && !self.chance(50) {
            return;
        }
        let now_ms = self.harness.now_ms;
        let takeover_until_ms = self.since_ms + lease_bound_ms(LEASE_MS);
        let harness = &mut self.harness;
        let ends = harness.fleet.pending_ends(&harness.table, takeover_until_ms, now_ms);
        harness.fleet.remove_departed(now_ms);
        if !ends.is_empty() {
            self.propose(Round { ends, ..Round::default() });
            return;
        }
        let mut round = Round::default();
        for index in 0..TASKS {
            let task = task_id(1, 0, index);
            let found = self.harness.table.live.get(&task.job).and_then(|job| job.task(&task));
            let Some((state, runs)) = found.map(|found| (found.state.clone(), found.runs)) else {
                break;
            };
            match state {
                State::Active(run) if self.chance(50) => round.stops.push((task, run.number)),
                State::Waiting if self.chance(500) => {
                    let worker = format!("w{}", self.random.random_range(0..WORKERS));
                    let Some(session) = self.harness.fleet.session(&worker) else { continue };
                    let incarnation = session.heartbeat.incarnation;
                    round.starts.push(Start { task, run: runs + 1, worker, incarnation });
                }
                _ => {}
            }
        }
        self.plan_gang(&mut round);
        self.harness.fleet.record_starts(&round.starts);
        self.propose(round);
    }

    // Starts the gang as a whole once all its tasks wait, and stops it by chance.
    fn plan_gang(&mut self, round: &mut Round) {
        let Some(job) = self.harness.table.live.get(&Id(GANG_JOB)) else { return };
        let tasks: Vec<TaskId> = (0..MEMBERS).map(|index| task_id(GANG_JOB, 0, index)).collect();
        let known: Vec<Task> = tasks.iter().filter_map(|task| job.task(task).cloned()).collect();
        let last_run = known.iter().map(|task| task.runs).max().unwrap_or(0);
        if known.iter().any(|task| task.state != State::Waiting) {
            if self.chance(30) {
                round.stops.extend(tasks.iter().map(|task| (*task, last_run)));
            }
            return;
        }
        let progress = &job.occurrences[&0].steps[0];
        let (fleet, step_id) = (&self.harness.fleet, (Id(GANG_JOB), 0, 0));
        if startable_tasks(fleet, job, step_id, progress, self.harness.now_ms).is_empty() {
            return;
        }
        let workers = tasks.iter().map(|_| format!("w{}", self.random.random_range(0..WORKERS)));
        let workers: Vec<String> = workers.collect();
        if workers.iter().any(|worker| self.harness.fleet.session(worker).is_none()) {
            return;
        }
        for (task, worker) in tasks.into_iter().zip(workers) {
            let Some(session) = self.harness.fleet.session(&worker) else { continue };
            let incarnation = session.heartbeat.incarnation;
            round.starts.push(Start { task, run: last_run + 1, worker, incarnation });
        }
    }

    // A worker receives an answer; one that comes too late is dropped. An answer to a heartbeat of an
    // earlier incarnation is obeyed like any other.
    fn obey(&mut self, answer: &Answer) {
        let now_ms = self.harness.now_ms;
        let (at, sent_ms, orders) = (answer.worker, answer.sent_ms, &answer.orders);
        let host = &mut self.hosts[at];
        if now_ms < host.down_until_ms || now_ms >= sent_ms + CALL_TIMEOUT_MS {
            return;
        }
        if answer.stamp.incarnation == host.incarnation {
            if host.outstanding.is_none_or(|(sequence, _)| sequence != answer.stamp.sequence) {
                return;
            }
            host.outstanding = None;
            host.next_ms = now_ms + orders.next_ms;
        }
        if orders.term < self.hosts[at].token {
            return;
        }
        self.hosts[at].token = orders.term;
        for end in &self.hosts[at].ended {
            let is_noted =
                end.number <= orders.acknowledged && end.number > self.hosts[at].lapsed_through;
            if is_noted && end.how == Exit::Done {
                self.acknowledged.insert(end.task);
            }
            if is_noted && end.how == Exit::Failed && end.task.job == Id(GANG_JOB) {
                self.gang_failures_ms.insert(end.run, self.hosts[at].ended_ms[&end.number]);
            }
        }
        self.check_attempts();
        let host = &mut self.hosts[at];
        host.ended.retain(|end| end.number > orders.acknowledged);
        host.lease_until_ms = host.lease_until_ms.max(sent_ms + LEASE_MS);
        for (task, run) in &orders.stop {
            if self.hosts[at].running.get(task).is_some_and(|(number, _)| number == run) {
                self.end(at, task, Exit::Stopped);
            }
            let highest = self.hosts[at].rejected.entry(*task).or_default();
            *highest = (*highest).max(*run);
        }
        for start in &orders.start {
            let highest = self.hosts[at].rejected.get(&start.task).copied().unwrap_or(0);
            let current = self.hosts[at].running.get(&start.task).map_or(0, |(run, _)| *run);
            if start.run <= highest || start.run <= current {
                continue;
            }
            self.check_start(at, &start.task);
            if start.task.job == Id(GANG_JOB) {
                self.gang_starts_ms.push((start.run, now_ms));
                self.check_attempts();
            }
            let run_ms = self.random.random_range(500..4_000);
            // The gang goes on until it fails, is stopped or loses a task.
            let end_ms = if start.task.job == Id(GANG_JOB) { u64::MAX } else { now_ms + run_ms };
            self.hosts[at].running.insert(start.task, (start.run, end_ms));
        }
    }

    fn check_start(&self, at: usize, task: &TaskId) {
        let (seed, now_ms) = (self.seed, self.harness.now_ms);
        for (other, host) in self.hosts.iter().enumerate() {
            assert!(
                !host.running.contains_key(task),
                "seed {seed}, {now_ms} ms: {task} starts on w{at} and still runs on w{other}"
            );
        }
        assert!(
            !self.acknowledged.contains(task),
            "seed {seed}, {now_ms} ms: {task} starts on w{at} after its end was acknowledged"
        );
    }

    // No run of the gang may start once as many earlier ones have failed as its queue allows. Failures
    // that are acknowledged later count as well.
    fn check_attempts(&self) {
        let Some(job) = self.harness.table.job(Id(GANG_JOB)) else { return };
        for (run, start_ms) in &self.gang_starts_ms {
            let failed = self.gang_failures_ms.iter();
            let failures =
                failed.filter(|(other, at_ms)| *other < run && *at_ms < start_ms).count();
            assert!(
                failures < job.terms.attempts as usize,
                "seed {}: run {run} of the gang starts at {start_ms} ms, after {failures} failures",
                self.seed
            );
        }
    }

    // Whether an event with this probability, in thousandths, occurs.
    fn chance(&mut self, per_thousand: u32) -> bool {
        self.random.random_range(0..1_000u32) < per_thousand
    }
}

impl Packet {
    // Worker that sends or receives the packet.
    fn worker(&self) -> usize {
        match self {
            Self::Beat(heartbeat) => worker_index(&heartbeat.worker),
            Self::Answer(answer) => answer.worker,
            Self::Leave { worker } => *worker,
        }
    }
}

fn worker_index(name: &str) -> usize {
    name[1..].parse().expect("a worker name is a letter and a number")
}

impl Host {
    fn end(&mut self, task: &TaskId, how: Exit, now_ms: u64) {
        let Some((run, _)) = self.running.remove(task) else { return };
        self.ends += 1;
        let (number, checkpoint) = (self.ends, String::new());
        self.ended_ms.insert(number, now_ms);
        self.ended.push(worker::End { number, task: *task, run, how, checkpoint });
        let highest = self.rejected.entry(*task).or_default();
        *highest = (*highest).max(run);
    }
}
