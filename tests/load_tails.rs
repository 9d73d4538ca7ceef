//! A few tasks that take many times as long as the others of their kind.

mod support;

use eelgrassvalve::batch::estimate::{Estimates, Kind};
use eelgrassvalve::batch::job::{Id, Resources, Step};
use eelgrassvalve::batch::speed::Location;
use rstest::rstest;
use support::batch::{Harness, step, task_id};

/// One task in thirty takes seven times as long, on whichever worker it runs.
#[rstest]
#[case::alone(1)]
#[case::wide(8)]
fn long_tasks_make_no_worker_slow(#[case] tasks: u64) {
    let kind = Kind { queue: "small", declared_ms: 4_000, ..Kind::default() };
    let mut estimates = Estimates::default();
    for run in 0..600u64 {
        let worker = format!("w{}", run * 7 % 20);
        let location = Location { zone: "zone", rack: "rack", worker: &worker };
        let usual_ms = 3_600 + run * 311 % 800;
        let whole_ms = if run * 17 % 30 == 0 { usual_ms * 7 } else { usual_ms };
        estimates.learn_pace(&kind, (Id(run / tasks), 0), &location, whole_ms);
        let slowdown = estimates.slowdown_at(&location);
        assert!((0.8..1.25).contains(&slowdown), "run {run} on {worker}: {slowdown}");
    }
}

/// Room is held where it is expected to be free first: not at the run that has outlasted its
/// expected time by far, but at one that is about to reach it.
#[test]
fn a_run_over_its_expected_time_is_not_expected_to_end_at_once() {
    let half = Resources { cpu_milli: 20_000, memory_mb: 80_000, accelerators: 4 };
    let mut harness = Harness::with_workers(2);
    harness.are_speeds_used = true;
    harness.submit(1, "small", vec![Step { demand: half, per_worker: 1, ..step(2) }]);
    harness.start(task_id(1, 0, 0), 1, "w0");
    harness.now_ms += 9_000;
    harness.start(task_id(1, 0, 1), 1, "w1");
    harness.now_ms += 3_000;
    for worker in ["w0", "w1"] {
        harness.receive_heartbeat(worker, |heartbeat| heartbeat.running[0].percent = 0);
        harness.answer_heartbeat(worker);
        harness.receive_heartbeat(worker, |heartbeat| heartbeat.running[0].percent = 0);
    }
    let whole = Resources { accelerators: 8, ..half };
    harness.submit(2, "large", vec![Step { demand: whole, is_gang: true, ..step(1) }]);
    harness.submit(3, "small", vec![step(8)]);
    let plan = harness.run_round();
    let workers: Vec<&str> = plan.round.starts.iter().map(|start| &*start.worker).collect();
    assert_eq!(workers, ["w0"; 4], "w1 is held for the gang");
}
