//! A pool that is too small for what waits: customers of the same priority share it, and whoever sends a
//! burst delays itself first.

mod support;

use eelgrassvalve::batch::document::{Customer, Document};
use eelgrassvalve::batch::job::{Id, Resources, State, Step};
use eelgrassvalve::batch::share::{Claim, Share, fair_level};
use eelgrassvalve::batch::table::Command;
use rstest::rstest;
use support::batch::{Harness, document, step};

/// A pool of `workers` workers with eight accelerators each, and customers with these guarantees.
fn pool(workers: usize, customers: &[(&str, u32)]) -> Harness {
    let mut harness = Harness::with_workers(workers);
    let customers = customers.iter().map(|(name, guaranteed)| Customer {
        name: (*name).into(),
        keys: vec![format!("key of {name}")],
        guaranteed: *guaranteed,
    });
    let document = Document { revision: 2, customers: customers.collect(), ..document() };
    harness.apply(Command::Publish(document.into()));
    harness
}

/// Number of tasks of a customer that are placed.
fn placed(harness: &Harness, customer: &str) -> usize {
    let jobs = harness.table.live.values().filter(|job| job.customer == customer);
    let occurrences = jobs.flat_map(|job| job.occurrences.values());
    let tasks = occurrences.flat_map(|occurrence| &occurrence.steps).flat_map(|step| &step.tasks);
    tasks.filter(|task| matches!(task.state, State::Active(_))).count()
}

/// The burst of one customer comes first, and then a few jobs of others, as many as their shares allow.
#[test]
fn a_burst_delays_its_own_customer() {
    let mut harness = pool(2, &[("burst", 0), ("small", 0), ("early", 0)]);
    (1..=20).for_each(|id| harness.submit_as("burst", id, "small", vec![step(2)]));
    harness.now_ms += 10;
    harness.submit_as("small", 30, "small", vec![step(1)]);
    harness.submit_as("early", 31, "small", vec![step(3)]);
    let plan = harness.run_round();
    assert_eq!((placed(&harness, "small"), placed(&harness, "early")), (1, 3));
    assert_eq!(placed(&harness, "burst"), 12, "what the others leave is used");
    let yielding: Vec<&str> = plan.excess.iter().map(|excess| excess.customer.as_str()).collect();
    assert_eq!(yielding, ["burst"]);
}

/// The same load, while the burst already runs on the whole pool: the capacity that gets free goes to
/// the others until they have their shares.
#[test]
fn freed_capacity_goes_to_customers_below_their_share() {
    let mut harness = pool(2, &[("burst", 0), ("small", 0)]);
    (1..=20).for_each(|id| harness.submit_as("burst", id, "small", vec![step(2)]));
    harness.run_round();
    harness.now_ms += 1_000;
    harness.submit_as("small", 30, "small", vec![step(2)]);
    harness.apply(Command::Cancel(Id(1)));
    harness.receive_heartbeats(2);
    harness.run_round();
    assert_eq!(placed(&harness, "small"), 2);
}

/// A customer with three times the guarantee gets a larger share, and none gets nothing.
#[test]
fn shares_follow_guarantees() {
    let mut harness = pool(4, &[("large", 12), ("little", 4)]);
    for at in 1..=40 {
        harness.submit_as("large", 2 * at, "small", vec![step(1)]);
        harness.submit_as("little", 2 * at + 1, "small", vec![step(1)]);
    }
    harness.run_round();
    // Weights of 0.5 + 0.75 and 0.5 + 0.25, of 32 accelerators.
    assert_eq!((placed(&harness, "large"), placed(&harness, "little")), (20, 12));
}

/// Urgency goes before shares: a customer over its share in urgent work still goes before another's bulk
/// work, and what it has of less urgent work costs its urgent jobs no turn.
#[test]
fn urgency_goes_before_shares() {
    let mut harness = pool(1, &[("burst", 0), ("small", 0)]);
    (1..=3).for_each(|id| harness.submit_as("burst", id, "small", vec![step(8)]));
    harness.submit_as("small", 10, "small", vec![step(8)]);
    harness.submit_as("burst", 11, "urgent", vec![step(4)]);
    harness.now_ms += 10;
    harness.submit_as("small", 12, "urgent", vec![step(4)]);
    harness.run_round();
    let first = &harness.table.live[&Id(11)].occurrences[&0].steps[0].tasks;
    assert!(first.iter().all(|task| matches!(task.state, State::Active(_))));
    assert_eq!((placed(&harness, "burst"), placed(&harness, "small")), (4, 4));
}

/// While there is room for all, the order is that of the latest starts, whoever has how much.
#[rstest]
#[case::much_room(8)]
#[case::just_enough(3)]
fn a_calm_pool_serves_in_the_order_of_latest_starts(#[case] workers: usize) {
    let mut harness = pool(workers, &[("large", 0), ("small", 0)]);
    (1..=10).for_each(|id| harness.submit_as("large", id, "small", vec![step(2)]));
    harness.now_ms += 10;
    harness.submit_as("small", 11, "small", vec![step(2)]);
    let plan = harness.run_round();
    assert!(plan.excess.is_empty());
    let jobs: Vec<u64> = plan.explanations.iter().map(|verdict| verdict.step.0.0).collect();
    assert_eq!(jobs, (1..=11).collect::<Vec<u64>>());
}

/// A customer that asks for one large gang isn't over its share before it has anything.
#[test]
fn a_single_large_job_waits_for_no_share() {
    let mut harness = pool(2, &[("large", 0), ("small", 0)]);
    let half_worker = Resources { cpu_milli: 8_000, memory_mb: 20_000, accelerators: 4 };
    let gang = Step { demand: half_worker, is_gang: true, ..step(4) };
    harness.submit_as("large", 1, "large", vec![gang]);
    harness.now_ms += 10;
    (2..=9).for_each(|id| harness.submit_as("small", id, "large", vec![step(1)]));
    harness.run_round();
    assert_eq!(placed(&harness, "large"), 4);
}

/// Levels for claims of (accelerators, processor time) with equal weights.
#[rstest]
#[case::room_for_all(&[(0.5, 0.1), (0.5, 0.1)], None)]
#[case::two_equal_claims(&[(0.8, 0.1), (0.8, 0.1)], Some(0.5))]
#[case::a_small_one_has_all(&[(0.1, 0.1), (0.9, 0.1), (0.9, 0.1)], Some(0.45))]
#[case::one_customer(&[(4.0, 0.1)], Some(1.0))]
#[case::different_resources(&[(0.9, 0.3), (0.3, 0.9)], Some(0.75))]
fn fair_levels(#[case] claims: &[(f64, f64)], #[case] expected: Option<f64>) {
    let claim = |(accelerators, cpu): &(f64, f64)| Claim {
        share: Share { cpu: *cpu, memory: 0.0, accelerators: *accelerators },
        weight: 1.0,
    };
    let claims: Vec<Claim> = claims.iter().map(claim).collect();
    let level = fair_level(&claims);
    assert_eq!(level.is_some(), expected.is_some());
    let distance = level.unwrap_or(0.0) - expected.unwrap_or(0.0);
    assert!(distance.abs() < 1e-9, "{level:?}");
}
