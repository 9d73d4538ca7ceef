//! Measures the time of one placement decision at three fleet sizes, with up to 8,600 running
//! tasks.

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

/// Decisions measured for each size and policy.
const DECISIONS: u64 = 1_000;
/// Seed for the sizes of the running jobs.
const SEED: u64 = 5;
/// Workers, running tasks and customers of each measurement.
const SIZES: [(usize, u32, usize); 4] =
    [(50, 878, 8), (200, 3_510, 32), (490, 8_600, 79), (490, 878, 79)];
/// Workers with eight accelerators per 490 workers; the others have one.
const LARGE_WORKERS: usize = 11;
/// Jobs that wait during the whole measurement.
const WAITING_JOBS: u64 = 40;

fn main() {
    println!(
        "seed {SEED}, {DECISIONS} decisions each, one job arriving and one ending before each"
    );
    println!("workers  tasks  waiting  policy     p50 us  p99 us  worst us");
    for (workers, tasks, customers) in SIZES {
        for policy in ["first-fit", "cells"] {
            measure(workers, tasks, customers, policy);
        }
    }
}

fn measure(workers: usize, tasks: u32, customers: usize, policy_name: &str) {
    let document = build_document(customers);
    let fleet = build_fleet(workers);
    let mut jobs = build_running_jobs(tasks, customers, &fleet);
    let mut policy = plugin::build_policy(policy_name).expect("the policy is registered");
    for index in 0..WAITING_JOBS {
        // Needs more than the free accelerators, so that each decision considers the job again.
        submit(&mut jobs, &format!("wait-{index:04}"), index as usize % customers, 32, 1);
    }
    let mut times = Vec::new();
    for round in 0..DECISIONS {
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
    let percentile_us = |percent: usize| times[(times.len() - 1) * percent / 100].as_micros();
    let max = times.last().map_or(0, Duration::as_micros);
    let (p50, p99) = (percentile_us(50), percentile_us(99));
    println!(
        "{workers:>7}  {tasks:>5}  {WAITING_JOBS:>7}  {policy_name:<9}  {p50:>6}  {p99:>6}  {max:>8}"
    );
}

fn build_document(customers: usize) -> Document {
    let mut customer_values = Vec::new();
    for index in 0..customers {
        let guarantee = json!([{ "cell": "1", "count": 4 }]);
        customer_values
            .push(json!({ "name": format!("customer-{index}"), "guarantee": guarantee }));
    }
    let document = json!({
        "placement": { "policy": "cells" },
        "kinds": [{ "name": "usual", "rank": 1, "deadline_ms": 86_400_000 }],
        "customers": customer_values,
    });
    serde_json::from_value(document).expect("the document is valid")
}

fn build_fleet(count: usize) -> Vec<Worker> {
    let large_workers = (count * LARGE_WORKERS / 490).max(1);
    let mut workers = Vec::with_capacity(count);
    for index in 0..count {
        let accelerators = if index % (count / large_workers) == 0 { 8 } else { 1 };
        workers.push(Worker {
            name: format!("worker-{index:03}"),
            rack: format!("rack-{:02}", index / 8),
            zone: format!("zone-{}", index / 8 % 4),
            shape: Shape { accelerators, cores: 64, memory_mib: 262_144 },
            is_schedulable: true,
        });
    }
    workers
}

// Builds running gangs of 1 to 32 tasks that use only cores, as most running tasks do, spread
// evenly over the workers.
fn build_running_jobs(tasks: u32, customers: usize, fleet: &[Worker]) -> Table {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut jobs = Table::default();
    let mut worker_index = 0;
    let mut remaining = tasks;
    while remaining > 0 {
        let parts = rng.random_range(1..=32).min(remaining);
        remaining -= parts;
        let id = format!("run-{remaining:05}");
        submit(&mut jobs, &id, remaining as usize % customers, parts, 0);
        let mut placed_parts = Vec::new();
        for _ in 0..parts {
            worker_index = (worker_index + 1) % fleet.len();
            placed_parts.push(Part { worker: fleet[worker_index].name.clone(), accelerators: 0 });
        }
        let place = Command::Place { id: id.clone(), parts: placed_parts, guaranteed: false };
        jobs.apply(&place, 0).expect("the job is queued");
        start(&mut jobs, &id);
    }
    jobs
}

fn submit(jobs: &mut Table, id: &str, customer: usize, parts: u32, accelerators: u32) {
    let spec = json!({
        "kind": "usual", "parts": parts, "accelerators": accelerators, "cores": 1,
        "run_ms": 3_600_000, "evictable": true, "idempotent": true,
    });
    let spec: Spec = serde_json::from_value(spec).expect("the spec is valid");
    let customer = format!("customer-{customer}");
    jobs.apply(&Command::Submit { id: id.into(), customer, spec }, 0).expect("the job is new");
}

fn start(jobs: &mut Table, id: &str) {
    let Some(gang) = jobs.get(id).and_then(|job| job.phase.gang()) else { return };
    let epoch = gang.epoch;
    jobs.apply(&Command::Start { id: id.into(), epoch }, 0).expect("the job is preparing");
}

fn apply(jobs: &mut Table, decisions: Vec<Decision>, now_ms: u64) {
    for decision in decisions {
        let Decision::Place { job, parts, guaranteed, .. } = decision else { continue };
        let place = Command::Place { id: job.clone(), parts, guaranteed };
        jobs.apply(&place, now_ms).expect("the job is queued");
        start(jobs, &job);
    }
}

fn end_oldest(jobs: &mut Table, round: u64, now_ms: u64) {
    let id = format!("new-{:05}", round.saturating_sub(200));
    let Some(gang) = jobs.get(&id).and_then(|job| job.phase.gang()) else { return };
    let epoch = gang.epoch;
    jobs.apply(&Command::Finish { id, epoch }, now_ms).expect("the job is running");
}
