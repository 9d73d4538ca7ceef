//! Batch jobs, workers and the state of a batch leader for tests, without a network.

use eelgrassvalve::batch::document::{Customer, Document, Pool, Queue, Terms};
use eelgrassvalve::batch::estimate::{Estimates, Sample};
use eelgrassvalve::batch::fleet::{Fleet, Receipt};
use eelgrassvalve::batch::job::{Id, Resources, Spec, Step, TaskId};
use eelgrassvalve::batch::pace::Rate;
use eelgrassvalve::batch::plan::{Plan, Planner, Times, View};
use eelgrassvalve::batch::table::{Command, End, Round, Start, Submission, Table};
use eelgrassvalve::batch::worker::{self, Exit, Heartbeat};

/// Worker lease, in milliseconds.
pub const LEASE_MS: u64 = 6_000;

/// Capacity of an idle worker.
pub const WORKER_CAPACITY: Resources =
    Resources { cpu_milli: 64_000, memory_mb: 262_144, accelerators: 8 };

/// State of a batch leader whose heartbeats, rounds and clock are driven by the test.
pub struct Harness {
    pub table: Table,
    pub fleet: Fleet,
    pub planner: Planner,
    pub estimates: Estimates,
    pub now_ms: u64,
    /// Whether learned speeds are used, as the settings may say.
    pub are_speeds_used: bool,
    /// Whether urgent steps wait for runs that end soon, as the settings may say.
    pub are_ends_awaited: bool,
    sequence: u64,
}

/// Configuration document with the queues `urgent` (priority 0), `large` (1) and `small` (2).
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

/// A step of `count` independent tasks with one accelerator each.
pub fn step(count: u32) -> Step {
    let demand = Resources { cpu_milli: 5_000, memory_mb: 20_000, accelerators: 1 };
    Step { count, demand, estimate_ms: 5_000, ..Step::default() }
}

/// A gang of `count` tasks, each of which takes all accelerators of a worker.
pub fn gang(count: u32) -> Step {
    let demand = Resources { cpu_milli: 26_000, memory_mb: 140_000, accelerators: 8 };
    Step { count, demand, estimate_ms: 5_000, is_gang: true, ..Step::default() }
}

/// A task of the first occurrence of a job.
pub fn task_id(job: u64, step: u32, index: u32) -> TaskId {
    TaskId { job: Id(job), occurrence: 0, step, index }
}

impl Harness {
    pub fn new() -> Self {
        let mut table = Table::default();
        table.apply(&Command::Publish(document().into()), 1_000_000).expect("the command is valid");
        Self {
            table,
            fleet: Fleet::default(),
            planner: Planner::default(),
            estimates: Estimates::default(),
            now_ms: 1_000_000,
            are_speeds_used: false,
            are_ends_awaited: false,
            sequence: 0,
        }
    }

    /// A harness with `count` idle workers in racks of four: `w0` to `w3` in rack `r0`, and so on.
    pub fn with_workers(count: usize) -> Self {
        let mut harness = Self::new();
        // The second heartbeat confirms that the worker received the answer to the first.
        harness.receive_heartbeats(count);
        harness.receive_heartbeats(count);
        harness
    }

    pub fn apply(&mut self, command: Command) {
        self.table.apply(&command, self.now_ms).expect("the command is valid");
    }

    pub fn submit(&mut self, id: u64, queue: &str, steps: Vec<Step>) {
        self.submit_as("customer", id, queue, steps);
    }

    pub fn submit_spec(&mut self, id: u64, queue: &str, spec: Spec) {
        self.submit_spec_as("customer", id, queue, spec);
    }

    pub fn submit_as(&mut self, customer: &str, id: u64, queue: &str, steps: Vec<Step>) {
        self.submit_spec_as(
            customer,
            id,
            queue,
            Spec { payload: "text".into(), steps, schedule: None },
        );
    }

    fn submit_spec_as(&mut self, customer: &str, id: u64, queue: &str, spec: Spec) {
        let found = self.table.document.queues.iter().find(|candidate| candidate.name == queue);
        let submission = Submission {
            id: Id(id),
            queue: queue.into(),
            address: String::new(),
            customer: customer.into(),
            terms: found.expect("the queue exists").terms.clone(),
            spec,
        };
        self.apply(Command::Submit(Box::new(submission)));
    }

    /// Receives a heartbeat that reports the worker's runs in the table, after `change` has edited
    /// it.
    pub fn receive_heartbeat(
        &mut self,
        worker: &str,
        change: impl FnOnce(&mut Heartbeat),
    ) -> Receipt {
        self.sequence += 1;
        let number: usize = worker[1..].parse().expect("a worker name is a letter and a number");
        let rack = format!("r{}", number / 4);
        let running = self.table.runs_on(worker).map(|(task, run)| worker::Run {
            task: *task,
            run: run.number,
            checkpoint: String::new(),
            percent: 50,
            gauge: 0,
        });
        let mut heartbeat = Heartbeat {
            worker: worker.into(),
            incarnation: 1,
            sequence: self.sequence,
            clock_ms: Some(self.now_ms),
            pool: "pool".into(),
            zone: "zone".into(),
            capacity: WORKER_CAPACITY,
            labels: vec!["a".into(), rack.clone()],
            rack,
            is_draining: false,
            remaining_ms: None,
            running: running.collect(),
            ended: Vec::new(),
        };
        change(&mut heartbeat);
        self.fleet.receive(heartbeat, &self.table, LEASE_MS, self.now_ms)
    }

    /// Runs that count as stuck.
    pub fn stuck_runs(&self) -> Vec<(TaskId, u32)> {
        self.fleet.stuck_runs(&self.table, &self.estimates, 3)
    }

    /// Receives and answers an unchanged heartbeat of each of the first `count` workers.
    pub fn receive_heartbeats(&mut self, count: usize) {
        for index in 0..count {
            let worker = format!("w{index}");
            self.receive_heartbeat(&worker, |_| {});
            self.answer_heartbeat(&worker);
        }
    }

    /// Receives and answers an unchanged heartbeat of each of these workers.
    pub fn answer_heartbeats_of<'a>(&mut self, workers: impl IntoIterator<Item = &'a str>) {
        for worker in workers {
            self.receive_heartbeat(worker, |_| {});
            self.answer_heartbeat(worker);
        }
    }

    /// Records that the latest heartbeat of a worker was answered.
    pub fn answer_heartbeat(&mut self, worker: &str) {
        let session = self.fleet.session(worker).expect("it has a session");
        let stamp = session.heartbeat.stamp();
        self.fleet.record_answer(worker, stamp, self.now_ms);
    }

    /// Plans one round and commits it.
    pub fn run_round(&mut self) -> Plan {
        let view = View {
            table: &self.table,
            fleet: &self.fleet,
            estimates: &self.estimates,
            times: Times {
                remote_factor: 3,
                checkpoint_interval_ms: 500,
                restore_ms: 250,
                reclaim_ms: 5_900,
                are_speeds_used: self.are_speeds_used,
                are_ends_awaited: self.are_ends_awaited,
            },
            now_ms: self.now_ms,
            wall_ms: self.now_ms,
        };
        let plan = self.planner.decide(view);
        self.fleet.record_starts(&plan.round.starts);
        let round = Round { due_ms: self.now_ms, ..plan.round.clone() };
        self.apply(Command::Round(round));
        plan
    }

    /// Updates the learned run times from the ended runs that a heartbeat reported.
    pub fn learn(&mut self, receipt: &Receipt) {
        for end in receipt.ends.iter().filter(|end| end.how == Exit::Done) {
            let Some(job) = self.table.live.get(&end.task.job) else { continue };
            let Some(run) = job.active_run(&end.task) else { continue };
            self.estimates.learn(&Sample {
                queue: &job.queue,
                zone: "zone",
                declared_ms: job.spec.steps[end.task.step as usize].estimate_ms,
                took_ms: self.now_ms.saturating_sub(run.placed_ms),
            });
        }
    }

    pub fn start(&mut self, task: TaskId, run: u32, worker: &str) {
        let start = Start { task, run, worker: worker.into(), incarnation: 1 };
        self.apply(Command::Round(Round { starts: vec![start], ..Round::default() }));
    }

    pub fn end(&mut self, task: TaskId, run: u32, exit: Exit) {
        let end = End { task, run, how: exit, checkpoint: String::new() };
        self.apply(Command::Round(Round { ends: vec![end], ..Round::default() }));
    }

    /// Commits the ended runs that a heartbeat reported.
    pub fn commit_ends(&mut self, receipt: Receipt) {
        self.apply(Command::Round(Round { ends: receipt.ends, ..Round::default() }));
    }

    pub fn phase(&self, id: u64) -> String {
        self.table.job(Id(id)).map_or("unknown".into(), |job| job.phase().to_string())
    }

    pub fn worker_of(&self, task: TaskId) -> Option<String> {
        self.table.active_run(&task).map(|run| run.worker.clone())
    }
}

/// The rate of heartbeats of a leader that has been overloaded for a while.
pub fn overloaded_rate() -> Rate {
    let mut rate = Rate::default();
    for _ in 0..100 {
        rate.observe(1_000);
    }
    rate
}
