//! Workers that fail or stall their runs: how long they are excluded, and where failed tasks go.

mod support;

use rstest::rstest;
use support::batch::{Harness, step, task_id};

#[test]
fn each_exclusion_of_a_worker_lasts_longer() {
    let mut harness = Harness::with_workers(1);
    let mut exclusions_ms = Vec::new();
    for _ in 0..3 {
        harness.fleet.exclude("w0", harness.now_ms);
        let excluded_ms = harness.now_ms;
        while !harness.fleet.workers(&harness.table, harness.now_ms)[0].is_open {
            harness.now_ms += 100;
            harness.receive_heartbeat("w0", |_| {});
        }
        exclusions_ms.push(harness.now_ms - excluded_ms);
    }
    assert!(
        exclusions_ms[0] < exclusions_ms[1] && exclusions_ms[1] < exclusions_ms[2],
        "{exclusions_ms:?}"
    );
}

#[test]
fn a_failed_task_is_placed_on_another_worker() {
    let mut harness = Harness::with_workers(2);
    harness.submit(1, "small", vec![step(1)]);
    harness.run_round();
    let first_worker = harness.worker_of(task_id(1, 0, 0)).expect("the task is placed");
    harness.end(task_id(1, 0, 0), 1, eelgrassvalve::batch::worker::Exit::Failed);
    harness.receive_heartbeats(2);
    harness.run_round();
    assert_ne!(
        harness.worker_of(task_id(1, 0, 0)).expect("the task is placed again"),
        first_worker
    );
}

/// Time in which a run of a task with this run time counts as stuck, in milliseconds; `None` if it
/// ends before. The worker reports its progress in whole percents.
fn stuck_after_ms(declared_ms: u64, percent_ms: impl Fn(u64) -> Option<u64>) -> Option<u64> {
    let mut harness = Harness::with_workers(1);
    let step = eelgrassvalve::batch::job::Step { estimate_ms: declared_ms, ..step(1) };
    harness.submit(1, "small", vec![step]);
    harness.run_round();
    let interval_ms = (declared_ms / 400).clamp(100, 10_000);
    let started_ms = harness.now_ms;
    let (mut percent, mut advanced_ms) = (0, started_ms);
    loop {
        harness.now_ms += interval_ms;
        if percent_ms(percent).is_some_and(|next_ms| harness.now_ms >= advanced_ms + next_ms) {
            percent += 1;
            advanced_ms = harness.now_ms;
        }
        if percent >= 100 {
            return None;
        }
        harness.receive_heartbeat("w0", |heartbeat| heartbeat.running[0].percent = percent as u8);
        if !harness.stuck_runs().is_empty() {
            return Some(harness.now_ms - advanced_ms);
        }
    }
}

/// One percent of a long task takes longer than a whole short one.
#[rstest]
#[case::two_seconds(2_000)]
#[case::one_minute(60_000)]
#[case::four_minutes(240_000)]
#[case::one_hour(3_600_000)]
#[case::one_day(86_400_000)]
fn a_task_of_any_length_ends_on_a_normal_and_on_a_slow_worker(#[case] run_ms: u64) {
    assert_eq!(stuck_after_ms(run_ms, |_| Some(run_ms / 100)), None, "normal worker");
    assert_eq!(stuck_after_ms(run_ms, |_| Some(run_ms * 8 / 100)), None, "slow worker");
    let slows_down = |percent| Some(if percent < 40 { run_ms / 100 } else { run_ms * 8 / 100 });
    assert_eq!(stuck_after_ms(run_ms, slows_down), None, "worker that turns slow");
}

#[rstest]
#[case::two_seconds(2_000, 2_000)]
#[case::ten_seconds(10_000, 2_000)]
#[case::four_minutes(240_000, 60_000)]
#[case::one_hour(3_600_000, 900_000)]
fn a_stalled_task_is_found_in_proportion_to_its_length(#[case] run_ms: u64, #[case] max_ms: u64) {
    for stalls_at in [0, 50] {
        let percent_ms = |percent| (percent < stalls_at).then_some(run_ms / 100);
        let found_ms = stuck_after_ms(run_ms, percent_ms).expect("the run is stuck");
        assert!(found_ms <= max_ms, "at {stalls_at}%: {found_ms} ms");
    }
}

/// A task that declares a hundredth of its run time ends after a few stops: each doubles the time
/// that it may take for one percent.
#[test]
fn a_task_that_declares_far_too_little_ends() {
    let mut harness = Harness::with_workers(1);
    let step = eelgrassvalve::batch::job::Step { estimate_ms: 2_400, ..step(1) };
    harness.submit(1, "small", vec![step]);
    for run in 1..=8 {
        harness.start(task_id(1, 0, 0), run, "w0");
        let started_ms = harness.now_ms;
        while harness.now_ms < started_ms + 240_000 {
            harness.now_ms += 500;
            let percent = ((harness.now_ms - started_ms) / 20_000) as u8;
            harness.receive_heartbeat("w0", |heartbeat| heartbeat.running[0].percent = percent);
            if !harness.stuck_runs().is_empty() {
                break;
            }
        }
        if harness.now_ms >= started_ms + 240_000 {
            return;
        }
        harness.fleet.record_stall(&task_id(1, 0, 0), &harness.table, harness.now_ms);
        harness.end(task_id(1, 0, 0), run, eelgrassvalve::batch::worker::Exit::Stopped);
    }
    panic!("the task was stopped eight times");
}
