//! Measures the time that the leader of batch scheduling spends on a heartbeat and on a placement
//! decision, by fleet size. Arguments are fleet sizes to measure instead of the usual ones.

use std::hint::black_box;
use std::time::{Duration, Instant};

use eelgrassvalve::batch::document::{Document, Pool, Queue, Terms};
use eelgrassvalve::batch::estimate::Estimates;
use eelgrassvalve::batch::fleet::Fleet;
use eelgrassvalve::batch::job::{Id, Resources, Spec, Step};
use eelgrassvalve::batch::plan::{Planner, Times, View};
use eelgrassvalve::batch::table::{Command, Round, Submission, Table};
use eelgrassvalve::batch::worker::{self, Heartbeat, Stamp};

/// Fleet sizes, in workers.
const FLEET_SIZES: [usize; 4] = [48, 200, 490, 3_000];
/// Decisions and heartbeats measured at each fleet size.
const SAMPLES: usize = 300;
/// Customers that submit jobs in turn.
const CUSTOMERS: u64 = 10;
/// Duration of a worker's lease.
const LEASE_MS: u64 = 6_000;
/// Time between two decisions.
const DECISION_INTERVAL_MS: u64 = 20;
/// Resources of a worker.
const WORKER_CAPACITY: Resources =
    Resources { cpu_milli: 64_000, memory_mb: 262_144, accelerators: 8 };

/// State of a leader and its simulated clock.
struct Leader {
    table: Table,
    fleet: Fleet,
    planner: Planner,
    estimates: Estimates,
    now_ms: u64,
    sequence: u64,
}

fn main() {
    println!("workers  tasks  waiting  decision p50 us  p99 us  heartbeat p50 us  p99 us");
    let mut sizes: Vec<usize> =
        std::env::args().skip(1).map(|size| size.parse().expect("a fleet size")).collect();
    if sizes.is_empty() {
        sizes.extend(FLEET_SIZES);
    }
    for workers in sizes {
        measure(workers);
    }
}

fn measure(workers: usize) {
    let mut leader = Leader::new();
    // A worker gets work after the heartbeat that follows the answer to its first one.
    for index in (0..workers).chain(0..workers) {
        leader.time_heartbeat(index);
    }
    // Small tasks occupy seven of eight accelerators, and large gangs wait for whole workers.
    let mut job_count = 0;
    for _ in 0..workers.div_ceil(10) {
        job_count += 1;
        leader.submit(job_count, "small", build_step(70, 1, false));
    }
    leader.time_decision();
    for _ in 0..workers.div_ceil(50) {
        job_count += 1;
        leader.submit(job_count, "large", build_step(5, 8, true));
    }
    let (mut decisions, mut heartbeats) = (Vec::new(), Vec::new());
    for sample in 0..SAMPLES {
        leader.now_ms += DECISION_INTERVAL_MS;
        job_count += 1;
        leader.submit(job_count, "urgent", build_step(3, 4, true));
        decisions.push(leader.time_decision());
        heartbeats.push(leader.time_heartbeat(sample % workers));
    }
    let tasks: usize =
        leader.table.occupied_workers().map(|worker| leader.table.runs_on(worker).count()).sum();
    println!(
        "{workers:7}  {tasks:5}  {:7}  {:15}  {:6}  {:16}  {:6}",
        job_count - workers.div_ceil(10) as u64,
        percentile(&mut decisions, 50),
        percentile(&mut decisions, 99),
        percentile(&mut heartbeats, 50),
        percentile(&mut heartbeats, 99),
    );
}

fn percentile(times: &mut [Duration], percent: usize) -> u128 {
    times.sort();
    times[(times.len() - 1) * percent / 100].as_micros()
}

fn build_step(count: u32, accelerators: u32, is_gang: bool) -> Step {
    let demand = Resources { cpu_milli: 6_000, memory_mb: 20_000, accelerators };
    Step { count, demand, estimate_ms: 6_000, is_gang, is_rack_local: is_gang, ..Step::default() }
}

impl Leader {
    fn new() -> Self {
        let queue = |name: &str, priority| Queue {
            name: name.into(),
            host: "host".into(),
            prefix: format!("/{name}/"),
            timeout_ms: 3_000,
            is_open: true,
            terms: Terms {
                pool: "pool".into(),
                priority,
                attempts: 3,
                stretch: 3.0,
                target_ms: 4_000,
            },
        };
        let document = Document {
            revision: 1,
            queues: vec![queue("urgent", 0), queue("large", 1), queue("small", 2)],
            pools: vec![Pool { name: "pool".into(), rejects_overload: true }],
            ..Document::default()
        };
        let mut leader = Self {
            table: Table::default(),
            fleet: Fleet::default(),
            planner: Planner::default(),
            estimates: Estimates::default(),
            now_ms: 1_000_000,
            sequence: 0,
        };
        leader.apply(Command::Publish(document.into()));
        leader
    }

    fn apply(&mut self, command: Command) {
        self.table.apply(&command, self.now_ms).expect("the command applies");
    }

    fn submit(&mut self, id: u64, queue: &str, step: Step) {
        let found = self.table.document.queues.iter().find(|candidate| candidate.name == queue);
        let submission = Submission {
            id: Id(id),
            queue: queue.into(),
            address: String::new(),
            customer: format!("customer {}", id % CUSTOMERS),
            terms: found.expect("the queue exists").terms.clone(),
            spec: Spec { payload: "text".into(), steps: vec![step], schedule: None },
        };
        self.apply(Command::Submit(Box::new(submission)));
    }

    // Makes a decision, applies it and returns the time spent on the decision alone.
    fn time_decision(&mut self) -> Duration {
        let times = Times {
            remote_factor: 3,
            checkpoint_interval_ms: 500,
            restore_ms: 250,
            reclaim_ms: 5_900,
            are_speeds_used: false,
            are_ends_awaited: false,
        };
        let view = View {
            table: &self.table,
            fleet: &self.fleet,
            estimates: &self.estimates,
            times,
            now_ms: self.now_ms,
            wall_ms: self.now_ms,
        };
        let started = Instant::now();
        let plan = black_box(self.planner.decide(view));
        let elapsed = started.elapsed();
        self.apply(Command::Round(Round { due_ms: self.now_ms, ..plan.round }));
        elapsed
    }

    // Returns the time spent on processing a heartbeat and issuing the orders that answer it.
    fn time_heartbeat(&mut self, index: usize) -> Duration {
        self.sequence += 1;
        let worker = format!("w{index:05}");
        let running = self.table.runs_on(&worker).map(|(task, run)| worker::Run {
            task: *task,
            run: run.number,
            checkpoint: String::new(),
            percent: 50,
            gauge: 0,
        });
        let rack = format!("r{:04}", index / 8);
        let heartbeat = Heartbeat {
            worker: worker.clone(),
            incarnation: 1,
            sequence: self.sequence,
            clock_ms: Some(self.now_ms),
            pool: "pool".into(),
            zone: format!("z{}", index % 3),
            capacity: WORKER_CAPACITY,
            labels: vec!["a".into(), rack.clone()],
            rack,
            is_draining: false,
            remaining_ms: None,
            running: running.collect(),
            ended: Vec::new(),
        };
        let started = Instant::now();
        black_box(self.fleet.receive(heartbeat, &self.table, LEASE_MS, self.now_ms));
        black_box(self.fleet.issue_orders(&worker, &self.table));
        let stamp = Stamp { incarnation: 1, sequence: self.sequence };
        self.fleet.record_answer(&worker, stamp, self.now_ms);
        started.elapsed()
    }
}
