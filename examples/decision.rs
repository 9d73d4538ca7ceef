//! Time of one placement decision at three sizes, with up to 8,600 running tasks.

use std::hint::black_box;
use std::time::{Duration, Instant};

use eelgrassvalve::kernel::plugin;
use eelgrassvalve::placement::report::Shape;
use eelgrassvalve::placement::{Decision, View, Worker};
use eelgrassvalve::state::document::Document;
use eelgrassvalve::state::job::{Command, Part, Spec, Table};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;

/// Decisions that are timed at each size.
const ROUNDS: u64 = 1_000;
/// Seed of the jobs.
const SEED: u64 = 5;
/// Workers, running tasks and customers of each size.
const SIZES: [(usize, u32, usize); 4] =
    [(50, 878, 8), (200, 3_510, 32), (490, 8_600, 79), (490, 878, 79)];
/// Workers with eight accelerators among 490.
const LARGE: usize = 11;
/// Jobs that wait throughout.
const WAITING: u64 = 40;

fn main() {
    println!("seed {SEED}, {ROUNDS} decisions each, one job arriving and one ending before each");
    println!("workers  tasks  waiting  policy     p50 us  p99 us  worst us");
    for (workers, tasks, customers) in SIZES {
        for policy in ["first-fit", "cells"] {
            measure(workers, tasks, customers, policy);
        }
    }
}

fn measure(workers: usize, tasks: u32, customers: usize, name: &str) {
    let document = document(customers);
    let fleet = fleet(workers);
    let mut jobs = running(tasks, customers, &fleet);
    let mut policy = plugin::build_policy(name).expect("the policy registered");
    for at in 0..WAITING {
        // Larger than what is left free, so that each decision weighs them again.
        submit(&mut jobs, &format!("wait-{at:04}"), at as usize % customers, 32, 1);
    }
    let mut times = Vec::new();
    for round in 0..ROUNDS {
        let id = format!("new-{round:05}");
        submit(&mut jobs, &id, round as usize % customers, 1, 1);
        let now_ms = 1_000_000 + round * 200;
        let view = View {
            document: &document,
            jobs: &jobs,
            workers: &fleet,
            now_ms,
            is_fleet_complete: true,
        };
        let started = Instant::now();
        let decisions = black_box(policy.decide(&view));
        times.push(started.elapsed());
        apply(&mut jobs, decisions, now_ms);
        end_oldest(&mut jobs, round, now_ms);
    }
    times.sort();
    let at = |percent: usize| times[(times.len() - 1) * percent / 100].as_micros();
    let worst = times.last().map_or(0, Duration::as_micros);
    let (p50, p99) = (at(50), at(99));
    println!("{workers:>7}  {tasks:>5}  {WAITING:>7}  {name:<9}  {p50:>6}  {p99:>6}  {worst:>8}");
}

fn document(customers: usize) -> Document {
    let mut rows = Vec::new();
    for at in 0..customers {
        let guarantee = json!([{ "cell": "1", "count": 4 }]);
        rows.push(json!({ "name": format!("customer-{at}"), "guarantee": guarantee }));
    }
    let document = json!({
        "placement": { "policy": "cells" },
        "kinds": [{ "name": "usual", "rank": 1, "deadline_ms": 86_400_000 }],
        "customers": rows,
    });
    serde_json::from_value(document).expect("the document is whole")
}

fn fleet(count: usize) -> Vec<Worker> {
    let large = (count * LARGE / 490).max(1);
    let mut workers = Vec::with_capacity(count);
    for at in 0..count {
        let accelerators = if at % (count / large) == 0 { 8 } else { 1 };
        workers.push(Worker {
            name: format!("worker-{at:03}"),
            rack: format!("rack-{:02}", at / 8),
            zone: format!("zone-{}", at / 8 % 4),
            shape: Shape { accelerators, cores: 64, memory_mib: 262_144 },
            is_schedulable: true,
        });
    }
    workers
}

// Gangs of 1 to 32 tasks that use cores only, spread over the workers, as most running tasks do.
fn running(tasks: u32, customers: usize, fleet: &[Worker]) -> Table {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut jobs = Table::default();
    let mut at = 0;
    let mut left = tasks;
    while left > 0 {
        let parts = rng.random_range(1..=32).min(left);
        left -= parts;
        let id = format!("run-{left:05}");
        submit(&mut jobs, &id, left as usize % customers, parts, 0);
        let mut placed = Vec::new();
        for _ in 0..parts {
            at = (at + 1) % fleet.len();
            placed.push(Part { worker: fleet[at].name.clone(), accelerators: 0 });
        }
        let place = Command::Place { id: id.clone(), parts: placed, guaranteed: false };
        jobs.apply(&place, 0).expect("the job waits");
        start(&mut jobs, &id);
    }
    jobs
}

fn submit(jobs: &mut Table, id: &str, customer: usize, parts: u32, accelerators: u32) {
    let spec = json!({
        "kind": "usual", "parts": parts, "accelerators": accelerators, "cores": 1,
        "run_ms": 3_600_000, "evictable": true, "idempotent": true,
    });
    let spec: Spec = serde_json::from_value(spec).expect("the spec is whole");
    let customer = format!("customer-{customer}");
    jobs.apply(&Command::Submit { id: id.into(), customer, spec }, 0).expect("the job is new");
}

fn start(jobs: &mut Table, id: &str) {
    let Some(gang) = jobs.get(id).and_then(|job| job.phase.gang()) else { return };
    let epoch = gang.epoch;
    jobs.apply(&Command::Start { id: id.into(), epoch }, 0).expect("the job prepares");
}

fn apply(jobs: &mut Table, decisions: Vec<Decision>, now_ms: u64) {
    for decision in decisions {
        let Decision::Place { job, parts, guaranteed, .. } = decision else { continue };
        let place = Command::Place { id: job.clone(), parts, guaranteed };
        jobs.apply(&place, now_ms).expect("the job waits");
        start(jobs, &job);
    }
}

fn end_oldest(jobs: &mut Table, round: u64, now_ms: u64) {
    let id = format!("new-{:05}", round.saturating_sub(200));
    let Some(gang) = jobs.get(&id).and_then(|job| job.phase.gang()) else { return };
    let epoch = gang.epoch;
    jobs.apply(&Command::Finish { id, epoch }, now_ms).expect("the job runs");
}
