//! Customers whose declared run times are off.

mod support;

use eelgrassvalve::batch::estimate::{Estimates, Kind};
use eelgrassvalve::batch::job::Step;
use eelgrassvalve::batch::plan::{Times, View, candidates};
use eelgrassvalve::batch::speed::Location;
use rstest::rstest;
use support::batch::{Harness, step};

/// How a customer declares work of this length; `run` counts its runs.
type Declaration = fn(run: u64, work_ms: u64) -> u64;

fn exact(_run: u64, work_ms: u64) -> u64 {
    work_ms
}

fn double(_run: u64, work_ms: u64) -> u64 {
    work_ms * 2
}

fn half(_run: u64, work_ms: u64) -> u64 {
    work_ms / 2
}

fn random(run: u64, _work_ms: u64) -> u64 {
    [900, 12_000, 3_000, 20_000, 1_500][run as usize % 5]
}

/// Estimates after 60 runs each of the customers `exact` and `other` in the same queue.
fn learned(declare: Declaration) -> Estimates {
    let mut estimates = Estimates::default();
    for run in 0..60 {
        let work_ms = 3_000 + run * 1_237 % 2_000;
        for (customer, declare) in [("exact", exact as Declaration), ("other", declare)] {
            let declared_ms = declare(run, work_ms);
            let kind = Kind { queue: "small", image: "image", customer, declared_ms, tasks: 1 };
            estimates.learn_run_time(&kind, &Location::default(), work_ms);
        }
    }
    estimates
}

#[rstest]
#[case::double(double)]
#[case::half(half)]
#[case::random(random)]
fn declarations_of_one_customer_change_nothing_for_it(#[case] declare: Declaration) {
    let mut harness = Harness::with_workers(1);
    harness.estimates = learned(declare);
    for (job, customer, declared_ms) in
        [(1, "exact", 4_000), (2, "other", declare(0, 4_000)), (3, "other", declare(1, 4_000))]
    {
        let step = Step { estimate_ms: declared_ms, image: "image".into(), ..step(1) };
        harness.submit_as(customer, job, "small", vec![step]);
    }
    let times = Times {
        remote_factor: 3,
        checkpoint_interval_ms: 500,
        restore_ms: 250,
        reclaim_ms: 5_900,
        are_speeds_used: true,
    };
    let view = View {
        table: &harness.table,
        fleet: &harness.fleet,
        estimates: &harness.estimates,
        times,
        now_ms: harness.now_ms,
        wall_ms: harness.now_ms,
    };
    let runs_ms: Vec<u64> = candidates(&view).iter().map(|found| found.run_ms).collect();
    assert_eq!(runs_ms.len(), 3);
    for run_ms in runs_ms {
        assert!((3_200..5_000).contains(&run_ms), "{run_ms} for 4,000");
    }
}

#[test]
fn the_keys_of_learned_run_times_are_bounded() {
    let mut estimates = Estimates::default();
    fn kind(customer: &str) -> Kind<'_> {
        Kind { queue: "small", image: "", customer, declared_ms: 0, tasks: 1 }
    }
    for run in 0..20_000 {
        let customer = format!("c{run}");
        estimates.learn_run_time(&kind(&customer), &Location::default(), 4_000);
    }
    for _ in 0..100 {
        estimates.learn_run_time(&kind("last"), &Location::default(), 2_000);
    }
    assert!(estimates.len() < 10_000, "{}", estimates.len());
    assert!((1_900..2_400).contains(&estimates.task_ms(&kind("last"))));
}
