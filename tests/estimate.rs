//! Learned run times: from accurate, rough and meaningless declarations, and by availability zone.

use eelgrassvalve::batch::estimate::{Estimates, Sample};
use rstest::rstest;

fn learn(estimates: &mut Estimates, zone: &str, declared_ms: u64, took_ms: u64) {
    estimates.learn(&Sample { queue: "queue", zone, declared_ms, took_ms });
}

#[rstest]
#[case::as_declared_before_any_run(0, 4_000, 4_000)]
#[case::unknown_where_nothing_is_declared(0, 0, 5_000)]
fn estimates_without_samples(
    #[case] runs: u32,
    #[case] declared_ms: u64,
    #[case] expected_ms: u64,
) {
    assert_eq!(runs, 0);
    assert_eq!(Estimates::default().run_ms("queue", declared_ms), expected_ms);
}

/// Run times within the queue differ far more from each other than from their declarations.
#[test]
fn accurate_declarations_are_used() {
    let mut estimates = Estimates::default();
    for took_ms in [1_000, 8_000, 2_000, 4_000, 1_500, 6_000].repeat(5) {
        learn(&mut estimates, "zone", took_ms * 12 / 10, took_ms);
    }
    for (declared_ms, expected_ms) in [(1_200, 1_000), (9_600, 8_000)] {
        let estimate_ms = estimates.run_ms("queue", declared_ms);
        assert!(
            estimate_ms.abs_diff(expected_ms) < expected_ms / 5,
            "{estimate_ms} for {expected_ms}"
        );
    }
}

#[test]
fn meaningless_declarations_are_ignored() {
    let mut estimates = Estimates::default();
    for (index, declared_ms) in [500, 20_000, 700, 15_000, 9_000, 900].repeat(10).iter().enumerate()
    {
        learn(
            &mut estimates,
            "zone",
            *declared_ms,
            if index % 2 == index / 6 % 2 { 2_800 } else { 3_200 },
        );
    }
    for declared_ms in [500, 20_000] {
        let estimate_ms = estimates.run_ms("queue", declared_ms);
        assert!((2_000..4_500).contains(&estimate_ms), "{estimate_ms} for {declared_ms} declared");
    }
}

#[test]
fn undeclared_run_times_are_estimated_from_other_runs() {
    let mut estimates = Estimates::default();
    for _ in 0..10 {
        learn(&mut estimates, "zone", 0, 3_000);
    }
    let estimate_ms = estimates.run_ms("queue", 0);
    assert!(estimate_ms.abs_diff(3_000) < 10, "{estimate_ms}");
}

#[test]
fn slow_zones_are_distinguished_from_long_runs() {
    let mut estimates = Estimates::default();
    for _ in 0..30 {
        learn(&mut estimates, "fast", 4_000, 3_200);
        learn(&mut estimates, "usual", 4_000, 4_000);
        learn(&mut estimates, "slow", 4_000, 5_000);
    }
    let slow_to_fast = estimates.slowdown("slow") / estimates.slowdown("fast");
    assert!((1.3..1.7).contains(&slow_to_fast), "{slow_to_fast}");
    let estimate_ms = estimates.run_ms("queue", 4_000);
    assert!((3_600..4_400).contains(&estimate_ms), "{estimate_ms}");
    assert_eq!(estimates.slowdown("unknown"), 1.0);
}
