//! Replays seeded job arrivals against the placement policies `first-fit` and `cells` and prints
//! the results side by side.

#[path = "../tests/support/replay.rs"]
#[allow(dead_code)]
mod replay;

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

use eelgrassvalve::placement::View;
use eelgrassvalve::placement::capacity::Occupancy;
use eelgrassvalve::placement::estimate::Estimator;
use eelgrassvalve::placement::score::{self, Demand};
use eelgrassvalve::state::document::Document;
use eelgrassvalve::state::job::{Phase, Spec};
use miette::IntoDiagnostic;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use replay::{Replay, fleet, spec};

/// Seed of the arrivals.
const SEED: u64 = 5;
/// Period in which jobs arrive.
const ARRIVALS_MS: u64 = 20 * 60_000;
/// Longest simulated time of a run. Jobs that are unfinished then count with their age.
const MAX_RUN_MS: u64 = 90 * 60_000;
/// Time between two decisions.
const DECISION_INTERVAL_MS: u64 = 200;
/// Target for the time from submission to start, for urgent jobs and for reclaiming a guarantee.
const START_TARGET_MS: u64 = 6_200;
/// Number of workers, and accelerators per worker.
const FLEET_SHAPE: (usize, u32) = (50, 8);

/// The kinds of a deployment's jobs, by their role in the replay.
struct Deployment {
    name: &'static str,
    urgent: &'static str,
    small: &'static str,
    large: &'static str,
    /// Kind of the jobs that can't be evicted and reclaim their customer's guarantee.
    guaranteed: &'static str,
}

const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        name: "kinisi",
        urgent: "eligibility-review",
        small: "document-check",
        large: "eligibility-batch",
        guaranteed: "scoring-training",
    },
    Deployment {
        name: "tiffinpath",
        urgent: "dispatch",
        small: "menu-training",
        large: "round-planning",
        guaranteed: "menu-training",
    },
];

/// Size of the jobs that arrive in bursts.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Burst {
    Small,
    Large,
}

/// A job that arrives. `run_ms` is its true run time; the spec has the declared one.
#[derive(Clone)]
struct Arrival {
    at_ms: u64,
    role: &'static str,
    customer: String,
    spec: Spec,
    run_ms: u64,
}

/// Result of a run. Indices of jobs are positions in the list of arrivals.
#[derive(Default)]
struct Outcome {
    completion_ms: BTreeMap<&'static str, Vec<u64>>,
    start_ms: BTreeMap<&'static str, Vec<u64>>,
    urgent_in_time: BTreeSet<usize>,
    large_started_count: usize,
    fragmentation: f64,
    external_fragmentation: f64,
    /// Accelerator-milliseconds lost to evictions.
    lost_ms: u64,
}

fn main() -> miette::Result<()> {
    println!("seed {SEED}, {} workers of {} accelerators", FLEET_SHAPE.0, FLEET_SHAPE.1);
    for deployment in &DEPLOYMENTS {
        let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples");
        let path = folder.join(deployment.name).join("config.json");
        let text = std::fs::read_to_string(path).into_diagnostic()?;
        let document: Document = serde_json::from_str(&text).into_diagnostic()?;
        for burst in [Burst::Small, Burst::Large] {
            for is_misdeclared in [false, true] {
                let arrivals = generate_arrivals(deployment, &document, burst, is_misdeclared);
                let baseline = run(&document, &arrivals, "first-fit");
                let cells = run(&document, &arrivals, "cells");
                print_comparison(deployment, burst, is_misdeclared, &arrivals, &baseline, &cells);
            }
        }
    }
    Ok(())
}

fn generate_arrivals(
    deployment: &Deployment,
    document: &Document,
    burst: Burst,
    is_misdeclared: bool,
) -> Vec<Arrival> {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut arrivals = Vec::new();
    let (small_count, large_count) = match burst {
        Burst::Small => (120, 1),
        Burst::Large => (20, 4),
    };
    for minute in 0..ARRIVALS_MS / 60_000 {
        let start_ms = minute * 60_000;
        for _ in 0..small_count {
            let spec = spec(deployment.small, 1, rng.random_range(1..=4));
            let run_ms = rng.random_range(20_000..90_000);
            let at_ms = start_ms + rng.random_range(0..2_000);
            arrivals.push(build_arrival(&mut rng, document, "small", at_ms, spec, run_ms));
        }
        // Bursts of large gangs arrive every other minute; otherwise one gang arrives each minute.
        let gang_count = if burst == Burst::Large && minute % 2 == 1 { 0 } else { large_count };
        for _ in 0..gang_count {
            let spec = spec(deployment.large, rng.random_range(4..=12), 8);
            let run_ms = rng.random_range(60_000..120_000);
            let at_ms = start_ms + rng.random_range(0..20_000);
            arrivals.push(build_arrival(&mut rng, document, "large", at_ms, spec, run_ms));
        }
        for slot in 0..6 {
            let spec = spec(deployment.urgent, 1, 2);
            let at_ms = start_ms + slot * 10_000 + rng.random_range(0..5_000);
            arrivals.push(build_arrival(&mut rng, document, "urgent", at_ms, spec, 8_000));
        }
        if minute % 2 == 0 {
            let spec = Spec { evictable: false, ..spec(deployment.guaranteed, 2, 8) };
            let mut guaranteed =
                build_arrival(&mut rng, document, "guaranteed", start_ms + 30_000, spec, 60_000);
            // The third customer submits nothing else, so that other customers use its cells until
            // these jobs reclaim them.
            guaranteed.customer = document.customers[2].name.clone();
            arrivals.push(guaranteed);
        }
    }
    for arrival in &mut arrivals {
        let factor = if is_misdeclared { 10f64.powf(rng.random_range(-1.0..1.0)) } else { 1.0 };
        arrival.spec.run_ms = (arrival.run_ms as f64 * factor) as u64;
    }
    arrivals.sort_by_key(|arrival| arrival.at_ms);
    arrivals
}

fn build_arrival(
    rng: &mut SmallRng,
    document: &Document,
    role: &'static str,
    at_ms: u64,
    spec: Spec,
    run_ms: u64,
) -> Arrival {
    let customer = [0, 1, 3][rng.random_range(0..3)];
    let customer = document.customers[customer].name.clone();
    Arrival { at_ms, role, customer, spec, run_ms }
}

fn run(document: &Document, arrivals: &[Arrival], policy: &str) -> Outcome {
    let mut replay =
        Replay::new(document.clone(), fleet(FLEET_SHAPE.0, FLEET_SHAPE.1), Some(policy));
    let start_ms = replay.now_ms();
    let mix = count_demands(arrivals);
    let mut outcome = Outcome::default();
    let mut samples = 0u32;
    let mut next = 0;
    while replay.now_ms() < start_ms + MAX_RUN_MS {
        let elapsed_ms = replay.now_ms() - start_ms;
        while next < arrivals.len() && arrivals[next].at_ms <= elapsed_ms {
            let arrival = &arrivals[next];
            let id = format!("job-{next:05}");
            replay.submit(&id, &arrival.customer, arrival.spec.clone(), arrival.run_ms);
            next += 1;
        }
        if next == arrivals.len() && replay.jobs.live.is_empty() {
            break;
        }
        replay.step(DECISION_INTERVAL_MS);
        if elapsed_ms < ARRIVALS_MS && elapsed_ms.is_multiple_of(1_000) {
            outcome.fragmentation += measure(&replay, &mix, score::fragmentation);
            outcome.external_fragmentation += measure(&replay, &mix, score::external_fragmentation);
            samples += 1;
        }
        if elapsed_ms == ARRIVALS_MS {
            outcome.large_started_count = count_started(&replay, arrivals, "large");
        }
    }
    outcome.fragmentation /= f64::from(samples.max(1));
    outcome.external_fragmentation /= f64::from(samples.max(1));
    outcome.lost_ms = replay.lost_accelerator_ms;
    collect_times(&replay, arrivals, &mut outcome);
    outcome
}

fn count_demands(arrivals: &[Arrival]) -> BTreeMap<Demand, u64> {
    let mut mix = BTreeMap::new();
    for arrival in arrivals {
        let Spec { accelerators, parts, .. } = arrival.spec;
        *mix.entry(Demand { accelerators, parts }).or_insert(0) += 1;
    }
    mix
}

fn measure(
    replay: &Replay,
    mix: &BTreeMap<Demand, u64>,
    metric: fn(&Occupancy<'_>, &BTreeMap<Demand, u64>) -> f64,
) -> f64 {
    let view = View {
        document: &replay.document,
        jobs: &replay.jobs,
        workers: &replay.workers,
        now_ms: replay.now_ms(),
        is_fleet_complete: true,
    };
    metric(&Occupancy::new(&view, &Estimator::default()), mix)
}

fn count_started(replay: &Replay, arrivals: &[Arrival], role: &str) -> usize {
    let mut count = 0;
    for (index, arrival) in arrivals.iter().enumerate() {
        let job = replay.jobs.get(&format!("job-{index:05}"));
        let has_started = job.is_some_and(|job| job.started_ms.is_some());
        if arrival.role == role && has_started {
            count += 1;
        }
    }
    count
}

fn collect_times(replay: &Replay, arrivals: &[Arrival], outcome: &mut Outcome) {
    for (index, arrival) in arrivals.iter().enumerate() {
        let Some(job) = replay.jobs.get(&format!("job-{index:05}")) else { continue };
        let finished_ms = job.ended_ms.filter(|_| job.phase == Phase::Finished);
        let completion_ms = finished_ms.unwrap_or(replay.now_ms()) - job.submitted_ms;
        let start_ms = job.started_ms.unwrap_or(replay.now_ms()) - job.submitted_ms;
        outcome.completion_ms.entry(arrival.role).or_default().push(completion_ms);
        outcome.start_ms.entry(arrival.role).or_default().push(start_ms);
        if arrival.role == "urgent" && start_ms <= START_TARGET_MS {
            outcome.urgent_in_time.insert(index);
        }
    }
}

fn print_comparison(
    deployment: &Deployment,
    burst: Burst,
    is_misdeclared: bool,
    arrivals: &[Arrival],
    baseline: &Outcome,
    cells: &Outcome,
) {
    let burst = if burst == Burst::Small { "small" } else { "large" };
    let declarations = if is_misdeclared { ", declared run times wrong" } else { "" };
    println!(
        "\n{}, bursts of {burst} jobs{declarations}: {} jobs",
        deployment.name,
        arrivals.len()
    );
    println!("{:<34}{:>12}{:>12}", "", "first-fit", "cells");
    for role in ["urgent", "small", "large", "guaranteed"] {
        let mean = [mean(&baseline.completion_ms[role]), mean(&cells.completion_ms[role])];
        let tail = [p99(&baseline.completion_ms[role]), p99(&cells.completion_ms[role])];
        print_row(&format!("mean completion of {role}, s"), mean.map(|ms| ms / 1e3));
        print_row(&format!("p99 completion of {role}, s"), tail.map(|ms| ms / 1e3));
    }
    let mean_all = |outcome: &Outcome| {
        mean(&outcome.completion_ms.values().flatten().copied().collect::<Vec<_>>())
    };
    print_row("mean completion of all, s", [mean_all(baseline) / 1e3, mean_all(cells) / 1e3]);
    let urgent = baseline.completion_ms["urgent"].len() as f64;
    let in_time = [baseline, cells].map(|outcome| outcome.urgent_in_time.len() as f64 / urgent);
    print_row("share of urgent started in 6.2 s", in_time);
    let missed = baseline.urgent_in_time.difference(&cells.urgent_in_time).count();
    print_row("urgent late only under cells", [f64::NAN, missed as f64]);
    let reclaim = [baseline, cells].map(|outcome| max(&outcome.start_ms["guaranteed"]) / 1e3);
    print_row("longest reclaim of a guarantee, s", reclaim);
    print_row("mean fragmentation", [baseline.fragmentation, cells.fragmentation]);
    print_row(
        "mean external fragmentation",
        [baseline.external_fragmentation, cells.external_fragmentation],
    );
    let gang_count = baseline.completion_ms["large"].len() as f64;
    let started = [baseline, cells].map(|outcome| outcome.large_started_count as f64 / gang_count);
    print_row("large gangs started by the end", started);
    let lost = [baseline, cells].map(|outcome| outcome.lost_ms as f64 / 1e3);
    print_row("lost to eviction, accelerator-s", lost);
    print_row("completion, ratio to first-fit", [1.0, mean_all(cells) / mean_all(baseline)]);
    print_row(
        "fragmentation, ratio to first-fit",
        [1.0, cells.fragmentation / baseline.fragmentation],
    );
    print_row(
        "external fragmentation, ratio",
        [1.0, cells.external_fragmentation / baseline.external_fragmentation],
    );
}

fn print_row(label: &str, values: [f64; 2]) {
    println!("{label:<34}{:>12.3}{:>12.3}", values[0], values[1]);
}

fn mean(values: &[u64]) -> f64 {
    values.iter().sum::<u64>() as f64 / values.len().max(1) as f64
}

fn p99(values: &[u64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    sorted.get((sorted.len().max(1) - 1) * 99 / 100).copied().unwrap_or(0) as f64
}

fn max(values: &[u64]) -> f64 {
    values.iter().copied().max().unwrap_or(0) as f64
}
