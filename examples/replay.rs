//! Replay of seeded arrivals against the decision functions, `first-fit` and `cells` side by side.

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
/// Time during which jobs arrive, in milliseconds.
const ARRIVALS_MS: u64 = 20 * 60_000;
/// End of a run, in milliseconds; unfinished jobs count with their age.
const END_MS: u64 = 90 * 60_000;
/// Time between decisions, in milliseconds.
const STEP_MS: u64 = 200;
/// Longest time from submission to start of an urgent job or a reclaim, in milliseconds.
const TARGET_MS: u64 = 6_200;
/// Workers, and accelerators of each.
const WORKERS: (usize, u32) = (50, 8);

/// Kinds of a deployment by their part in the replay.
struct Deployment {
    name: &'static str,
    urgent: &'static str,
    small: &'static str,
    large: &'static str,
    claim: &'static str,
}

const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        name: "kinisi",
        urgent: "eligibility-review",
        small: "document-check",
        large: "eligibility-batch",
        claim: "scoring-training",
    },
    Deployment {
        name: "tiffinpath",
        urgent: "dispatch",
        small: "menu-training",
        large: "round-planning",
        claim: "menu-training",
    },
];

#[derive(Clone, Copy, PartialEq, Eq)]
enum Burst {
    Small,
    Large,
}

#[derive(Clone)]
struct Arrival {
    at_ms: u64,
    role: &'static str,
    customer: String,
    spec: Spec,
    run_ms: u64,
}

#[derive(Default)]
struct Outcome {
    done_ms: BTreeMap<&'static str, Vec<u64>>,
    start_ms: BTreeMap<&'static str, Vec<u64>>,
    urgent_in_time: BTreeSet<usize>,
    large_started: usize,
    fragmentation: f64,
    scatter: f64,
    lost: u64,
}

fn main() -> miette::Result<()> {
    println!("seed {SEED}, {} workers of {} accelerators", WORKERS.0, WORKERS.1);
    for deployment in &DEPLOYMENTS {
        let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples");
        let path = folder.join(deployment.name).join("config.json");
        let text = std::fs::read_to_string(path).into_diagnostic()?;
        let document: Document = serde_json::from_str(&text).into_diagnostic()?;
        for burst in [Burst::Small, Burst::Large] {
            for lies in [false, true] {
                let arrivals = arrivals(deployment, &document, burst, lies);
                let baseline = run(&document, &arrivals, "first-fit");
                let cells = run(&document, &arrivals, "cells");
                print(deployment, burst, lies, &arrivals, &baseline, &cells);
            }
        }
    }
    Ok(())
}

fn arrivals(
    deployment: &Deployment,
    document: &Document,
    burst: Burst,
    lies: bool,
) -> Vec<Arrival> {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut arrivals = Vec::new();
    let (small, large) = match burst {
        Burst::Small => (120, 1),
        Burst::Large => (20, 4),
    };
    for minute in 0..ARRIVALS_MS / 60_000 {
        let start_ms = minute * 60_000;
        for _ in 0..small {
            let spec = spec(deployment.small, 1, rng.random_range(1..=4));
            let run_ms = rng.random_range(20_000..90_000);
            let at_ms = start_ms + rng.random_range(0..2_000);
            arrivals.push(arrival(&mut rng, document, "small", at_ms, spec, run_ms));
        }
        // A burst of large gangs every other minute, one at a time otherwise.
        let gangs = if burst == Burst::Large && minute % 2 == 1 { 0 } else { large };
        for _ in 0..gangs {
            let spec = spec(deployment.large, rng.random_range(4..=12), 8);
            let run_ms = rng.random_range(60_000..120_000);
            let at_ms = start_ms + rng.random_range(0..20_000);
            arrivals.push(arrival(&mut rng, document, "large", at_ms, spec, run_ms));
        }
        for at in 0..6 {
            let spec = spec(deployment.urgent, 1, 2);
            let at_ms = start_ms + at * 10_000 + rng.random_range(0..5_000);
            arrivals.push(arrival(&mut rng, document, "urgent", at_ms, spec, 8_000));
        }
        if minute % 2 == 0 {
            let spec = Spec { evictable: false, ..spec(deployment.claim, 2, 8) };
            let mut claim = arrival(&mut rng, document, "claim", start_ms + 30_000, spec, 60_000);
            // The third customer submits nothing else, so that its cells are others' to use.
            claim.customer = document.customers[2].name.clone();
            arrivals.push(claim);
        }
    }
    for arrival in &mut arrivals {
        let factor = if lies { 10f64.powf(rng.random_range(-1.0..1.0)) } else { 1.0 };
        arrival.spec.run_ms = (arrival.run_ms as f64 * factor) as u64;
    }
    arrivals.sort_by_key(|arrival| arrival.at_ms);
    arrivals
}

fn arrival(
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
    let mut replay = Replay::new(document.clone(), fleet(WORKERS.0, WORKERS.1), Some(policy));
    let start_ms = replay.now_ms();
    let mix = mix(arrivals);
    let mut outcome = Outcome::default();
    let mut samples = 0u32;
    let mut next = 0;
    while replay.now_ms() < start_ms + END_MS {
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
        replay.step(STEP_MS);
        if elapsed_ms < ARRIVALS_MS && elapsed_ms.is_multiple_of(1_000) {
            outcome.fragmentation += measured(&replay, &mix, score::fragmentation);
            outcome.scatter += measured(&replay, &mix, score::external_fragmentation);
            samples += 1;
        }
        if elapsed_ms == ARRIVALS_MS {
            outcome.large_started = started(&replay, arrivals, "large");
        }
    }
    outcome.fragmentation /= f64::from(samples.max(1));
    outcome.scatter /= f64::from(samples.max(1));
    outcome.lost = replay.lost_accelerator_ms;
    collect(&replay, arrivals, &mut outcome);
    outcome
}

fn mix(arrivals: &[Arrival]) -> BTreeMap<Demand, u64> {
    let mut mix = BTreeMap::new();
    for arrival in arrivals {
        let Spec { accelerators, parts, .. } = arrival.spec;
        *mix.entry(Demand { accelerators, parts }).or_insert(0) += 1;
    }
    mix
}

fn measured(
    replay: &Replay,
    mix: &BTreeMap<Demand, u64>,
    measure: fn(&Occupancy<'_>, &BTreeMap<Demand, u64>) -> f64,
) -> f64 {
    let view = View {
        document: &replay.document,
        jobs: &replay.jobs,
        workers: &replay.workers,
        now_ms: replay.now_ms(),
        is_fleet_complete: true,
    };
    measure(&Occupancy::new(&view, &Estimator::default()), mix)
}

fn started(replay: &Replay, arrivals: &[Arrival], role: &str) -> usize {
    let mut count = 0;
    for (at, arrival) in arrivals.iter().enumerate() {
        let job = replay.jobs.get(&format!("job-{at:05}"));
        let has_started = job.is_some_and(|job| job.started_ms.is_some());
        if arrival.role == role && has_started {
            count += 1;
        }
    }
    count
}

fn collect(replay: &Replay, arrivals: &[Arrival], outcome: &mut Outcome) {
    for (at, arrival) in arrivals.iter().enumerate() {
        let Some(job) = replay.jobs.get(&format!("job-{at:05}")) else { continue };
        let finished = job.ended_ms.filter(|_| job.phase == Phase::Finished);
        let done_ms = finished.unwrap_or(replay.now_ms()) - job.submitted_ms;
        let start_ms = job.started_ms.unwrap_or(replay.now_ms()) - job.submitted_ms;
        outcome.done_ms.entry(arrival.role).or_default().push(done_ms);
        outcome.start_ms.entry(arrival.role).or_default().push(start_ms);
        if arrival.role == "urgent" && start_ms <= TARGET_MS {
            outcome.urgent_in_time.insert(at);
        }
    }
}

fn print(
    deployment: &Deployment,
    burst: Burst,
    lies: bool,
    arrivals: &[Arrival],
    baseline: &Outcome,
    cells: &Outcome,
) {
    let burst = if burst == Burst::Small { "small" } else { "large" };
    let lies = if lies { ", declarations lie" } else { "" };
    println!("\n{}, bursts of {burst} jobs{lies}: {} jobs", deployment.name, arrivals.len());
    println!("{:<34}{:>12}{:>12}", "", "first-fit", "cells");
    for role in ["urgent", "small", "large", "claim"] {
        let mean = [mean(&baseline.done_ms[role]), mean(&cells.done_ms[role])];
        let late = [p99(&baseline.done_ms[role]), p99(&cells.done_ms[role])];
        row(&format!("mean completion of {role}, s"), mean.map(|ms| ms / 1e3));
        row(&format!("p99 completion of {role}, s"), late.map(|ms| ms / 1e3));
    }
    let all =
        |outcome: &Outcome| mean(&outcome.done_ms.values().flatten().copied().collect::<Vec<_>>());
    row("mean completion of all, s", [all(baseline) / 1e3, all(cells) / 1e3]);
    let urgent = baseline.done_ms["urgent"].len() as f64;
    let in_time = [baseline, cells].map(|outcome| outcome.urgent_in_time.len() as f64 / urgent);
    row("share of urgent started in 6.2 s", in_time);
    let missed = baseline.urgent_in_time.difference(&cells.urgent_in_time).count();
    row("urgent late that the other starts", [f64::NAN, missed as f64]);
    let reclaim = [baseline, cells].map(|outcome| worst(&outcome.start_ms["claim"]) / 1e3);
    row("longest reclaim of a guarantee, s", reclaim);
    row("mean fragmentation", [baseline.fragmentation, cells.fragmentation]);
    row("of it for jobs that fit in total", [baseline.scatter, cells.scatter]);
    let gangs = baseline.done_ms["large"].len() as f64;
    let started = [baseline, cells].map(|outcome| outcome.large_started as f64 / gangs);
    row("large gangs started by the end", started);
    let lost = [baseline, cells].map(|outcome| outcome.lost as f64 / 1e3);
    row("lost to eviction, accelerator-s", lost);
    row("completion, of first-fit", [1.0, all(cells) / all(baseline)]);
    row("fragmentation, of first-fit", [1.0, cells.fragmentation / baseline.fragmentation]);
    row("that of jobs that fit in total", [1.0, cells.scatter / baseline.scatter]);
}

fn row(what: &str, values: [f64; 2]) {
    println!("{what:<34}{:>12.3}{:>12.3}", values[0], values[1]);
}

fn mean(values: &[u64]) -> f64 {
    values.iter().sum::<u64>() as f64 / values.len().max(1) as f64
}

fn p99(values: &[u64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    sorted.get((sorted.len().max(1) - 1) * 99 / 100).copied().unwrap_or(0) as f64
}

fn worst(values: &[u64]) -> f64 {
    values.iter().copied().max().unwrap_or(0) as f64
}
