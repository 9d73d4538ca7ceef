//! Batch work for tests: jobs, workers and a leader's tables without a network.

use eelgrassvalve::batch::document::{Customer, Document, Pool, Queue, Terms};
use eelgrassvalve::batch::estimate::Estimates;
use eelgrassvalve::batch::fleet::{Fleet, Receipt};
use eelgrassvalve::batch::job::{Id, Resources, Spec, Step, TaskId};
use eelgrassvalve::batch::plan::{Plan, Planner, Times, View};
use eelgrassvalve::batch::table::{Command, End, Round, Start, Submission, Table};
use eelgrassvalve::batch::worker::{self, Exit, Heartbeat};

/// Lease of the workers, in milliseconds.
pub const LEASE_MS: u64 = 6_000;

/// What a whole worker has.
pub const WORKER: Resources = Resources { cpu_milli: 64_000, memory_mb: 262_144, accelerators: 8 };

/// A leader's tables, moved by hand.
pub struct Desk {
    pub table: Table,
    pub fleet: Fleet,
    pub planner: Planner,
    pub estimates: Estimates,
    pub now_ms: u64,
    sequence: u64,
}

/// Queues: `urgent` of priority 0, `large` of priority 1, `small` of priority 2.
pub fn document() -> Document {
    let queue = |name: &str, priority, attempts, stretch, target_ms| Queue {
        name: name.into(),
        host: "host".into(),
        prefix: format!("/{name}/"),
        timeout_ms: 3_000,
        is_open: false,
        terms: Terms { pool: "pool".into(), priority, attempts, stretch, target_ms },
    };
    Document {
        revision: 1,
        queues: vec![
            queue("urgent", 0, 3, 1.5, 800),
            queue("large", 1, 2, 3.0, 1_500),
            queue("small", 2, 4, 3.0, 4_000),
        ],
        pools: vec![Pool { name: "pool".into(), rejects_overload: true }],
        customers: vec![Customer {
            name: "customer".into(),
            keys: vec!["key".into()],
            guaranteed: 16,
        }],
        ..Document::default()
    }
}

/// A step of single tasks with one accelerator each.
pub fn step(count: u32) -> Step {
    let demand = Resources { cpu_milli: 5_000, memory_mb: 20_000, accelerators: 1 };
    Step { count, demand, estimate_ms: 5_000, ..Step::default() }
}

/// A gang of tasks that take whole workers.
pub fn gang(count: u32) -> Step {
    let demand = Resources { cpu_milli: 26_000, memory_mb: 140_000, accelerators: 8 };
    Step { count, demand, estimate_ms: 5_000, is_gang: true, ..Step::default() }
}

pub fn name(job: u64, step: u32, index: u32) -> TaskId {
    TaskId { job: Id(job), occurrence: 0, step, index }
}

impl Desk {
    pub fn new() -> Self {
        let mut table = Table::default();
        table.apply(&Command::Publish(Box::new(document())), 1_000_000).expect("applies");
        Self {
            table,
            fleet: Fleet::default(),
            planner: Planner::default(),
            estimates: Estimates::default(),
            now_ms: 1_000_000,
            sequence: 0,
        }
    }

    /// As many whole workers in racks of four: `w0` to `w3` in rack `r0`, and so on.
    pub fn with_workers(count: usize) -> Self {
        let mut desk = Self::new();
        for at in 0..count {
            desk.hear(&format!("w{at}"), |_| {});
        }
        desk
    }

    pub fn apply(&mut self, command: Command) {
        self.table.apply(&command, self.now_ms).expect("applies");
    }

    pub fn submit(&mut self, id: u64, queue: &str, steps: Vec<Step>) {
        self.submit_as("customer", id, queue, steps);
    }

    pub fn submit_spec(&mut self, id: u64, queue: &str, spec: Spec) {
        self.accept("customer", id, queue, spec);
    }

    pub fn submit_as(&mut self, customer: &str, id: u64, queue: &str, steps: Vec<Step>) {
        self.accept(customer, id, queue, Spec { payload: "text".into(), steps, schedule: None });
    }

    fn accept(&mut self, customer: &str, id: u64, queue: &str, spec: Spec) {
        let held = self.table.document.queues.iter().find(|held| held.name == queue);
        let submission = Submission {
            id: Id(id),
            queue: queue.into(),
            customer: customer.into(),
            terms: held.expect("the queue exists").terms.clone(),
            spec,
        };
        self.apply(Command::Submit(Box::new(submission)));
    }

    /// A heartbeat of a worker that runs what the table says, but for what `change` does.
    pub fn hear(&mut self, worker: &str, change: impl FnOnce(&mut Heartbeat)) -> Receipt {
        self.sequence += 1;
        let number: usize = worker[1..].parse().expect("a worker's name ends with its number");
        let rack = format!("r{}", number / 4);
        let running = self.table.runs_on(worker).map(|(task, run)| worker::Run {
            task: *task,
            run: run.number,
            checkpoint: String::new(),
            percent: 50,
            gauge: 0,
        });
        let mut beat = Heartbeat {
            worker: worker.into(),
            incarnation: 1,
            sequence: self.sequence,
            pool: "pool".into(),
            zone: "zone".into(),
            capacity: WORKER,
            labels: vec!["a".into(), rack.clone()],
            rack,
            is_draining: false,
            remaining_ms: None,
            running: running.collect(),
            ended: Vec::new(),
        };
        change(&mut beat);
        self.fleet.receive(beat, &self.table, LEASE_MS, self.now_ms)
    }

    /// Every worker of the fleet is heard, running what it should.
    pub fn hear_all(&mut self, count: usize) {
        for at in 0..count {
            self.hear(&format!("w{at}"), |_| {});
        }
    }

    /// Decides and commits.
    pub fn round(&mut self) -> Plan {
        let view = View {
            table: &self.table,
            fleet: &self.fleet,
            estimates: &self.estimates,
            times: Times {
                remote_factor: 3,
                checkpoint_interval_ms: 500,
                restore_ms: 250,
                reclaim_ms: 5_900,
            },
            now_ms: self.now_ms,
            wall_ms: self.now_ms,
        };
        let plan = self.planner.decide(view);
        let round = Round { due_ms: self.now_ms, ..plan.round.clone() };
        self.apply(Command::Round(round));
        plan
    }

    pub fn start(&mut self, task: TaskId, run: u32, worker: &str) {
        let start = Start { task, run, worker: worker.into(), incarnation: 1 };
        self.apply(Command::Round(Round { starts: vec![start], ..Round::default() }));
    }

    pub fn end(&mut self, task: TaskId, run: u32, how: Exit) {
        let end = End { task, run, how, checkpoint: String::new() };
        self.apply(Command::Round(Round { ends: vec![end], ..Round::default() }));
    }

    /// Commits what a heartbeat meant.
    pub fn store(&mut self, heard: Receipt) {
        self.apply(Command::Round(Round { ends: heard.ends, ..Round::default() }));
    }

    pub fn phase(&self, id: u64) -> String {
        self.table.job(Id(id)).map_or("unknown".into(), |job| job.phase().to_string())
    }

    pub fn worker_of(&self, task: TaskId) -> Option<String> {
        self.table.active_run(&task).map(|run| run.worker.clone())
    }
}
