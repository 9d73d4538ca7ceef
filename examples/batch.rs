//! Time that a leader of batch work spends on a heartbeat and on a decision, by the size of its fleet.

use std::hint::black_box;
use std::time::{Duration, Instant};

use eelgrassvalve::batch::document::{Document, Pool, Queue, Terms};
use eelgrassvalve::batch::estimate::Estimates;
use eelgrassvalve::batch::fleet::Fleet;
use eelgrassvalve::batch::job::{Id, Resources, Spec, Step};
use eelgrassvalve::batch::plan::{Planner, Times, View};
use eelgrassvalve::batch::table::{Command, Round, Submission, Table};
use eelgrassvalve::batch::worker::{Heartbeat, RunStatus};

/// Fleet sizes.
const WORKERS: [usize; 4] = [48, 200, 490, 3_000];
/// Decisions and heartbeats that are timed at each size.
const TIMED: usize = 300;
/// Lease of the workers, in milliseconds.
const LEASE_MS: u64 = 6_000;
/// Between two decisions, in milliseconds.
const STEP_MS: u64 = 20;
/// What a worker has.
const WORKER: Resources = Resources { cpu_milli: 64_000, memory_mb: 262_144, accelerators: 8 };

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
    for workers in WORKERS {
        measure(workers);
    }
}

fn measure(workers: usize) {
    let mut leader = Leader::new();
    for at in 0..workers {
        leader.hear(at);
    }
    // Seven of eight accelerators are in use by small tasks, and gangs wait for whole workers.
    let mut job = 0;
    for _ in 0..workers.div_ceil(10) {
        job += 1;
        leader.submit(job, "small", step(70, 1, false));
    }
    leader.round();
    for _ in 0..workers.div_ceil(50) {
        job += 1;
        leader.submit(job, "large", step(5, 8, true));
    }
    let (mut decisions, mut heartbeats) = (Vec::new(), Vec::new());
    for at in 0..TIMED {
        leader.now_ms += STEP_MS;
        job += 1;
        leader.submit(job, "urgent", step(3, 4, true));
        decisions.push(leader.round());
        heartbeats.push(leader.hear(at % workers));
    }
    let tasks: usize =
        leader.table.occupied_workers().map(|w| leader.table.runs_on(w).count()).sum();
    println!(
        "{workers:7}  {tasks:5}  {:7}  {:15}  {:6}  {:16}  {:6}",
        job - workers.div_ceil(10) as u64,
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

fn step(count: u32, accelerators: u32, is_gang: bool) -> Step {
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
        leader.apply(Command::Publish(Box::new(document)));
        leader
    }

    fn apply(&mut self, command: Command) {
        self.table.apply(&command, self.now_ms).expect("applies");
    }

    fn submit(&mut self, id: u64, queue: &str, step: Step) {
        let held = self.table.document.queues.iter().find(|held| held.name == queue);
        let submission = Submission {
            id: Id(id),
            queue: queue.into(),
            customer: String::new(),
            terms: held.expect("the queue exists").terms.clone(),
            spec: Spec { payload: "text".into(), steps: vec![step], schedule: None },
        };
        self.apply(Command::Submit(Box::new(submission)));
    }

    // Time that the decision took; it is committed afterwards.
    fn round(&mut self) -> Duration {
        let times = Times {
            remote_factor: 3,
            checkpoint_interval_ms: 500,
            restore_ms: 250,
            reclaim_ms: 5_900,
        };
        let view = View {
            table: &self.table,
            fleet: &self.fleet,
            estimates: &self.estimates,
            times,
            now_ms: self.now_ms,
            wall_ms: self.now_ms,
        };
        let begun = Instant::now();
        let plan = black_box(self.planner.decide(view));
        let spent = begun.elapsed();
        self.apply(Command::Round(Round { due_ms: self.now_ms, ..plan.round }));
        spent
    }

    // Time that a heartbeat and the orders for it took.
    fn hear(&mut self, at: usize) -> Duration {
        self.sequence += 1;
        let worker = format!("w{at:05}");
        let running = self.table.runs_on(&worker).map(|(task, run)| RunStatus {
            task: *task,
            run: run.number,
            checkpoint: String::new(),
            percent: 50,
            gauge: 0,
        });
        let rack = format!("r{:04}", at / 8);
        let beat = Heartbeat {
            worker: worker.clone(),
            incarnation: 1,
            sequence: self.sequence,
            pool: "pool".into(),
            zone: format!("z{}", at % 3),
            capacity: WORKER,
            labels: vec!["a".into(), rack.clone()],
            rack,
            is_draining: false,
            remaining_ms: None,
            running: running.collect(),
            ended: Vec::new(),
        };
        let begun = Instant::now();
        black_box(self.fleet.receive(beat, &self.table, LEASE_MS, self.now_ms));
        black_box(self.fleet.issue_orders(&worker, &self.table));
        begun.elapsed()
    }
}
