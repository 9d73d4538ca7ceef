//! Workers that acknowledge orders by their heartbeats and don't begin the runs.

mod support;

use eelgrassvalve::batch::worker::Exit;
use rstest::rstest;
use support::batch::{Harness, LEASE_MS, gang, step, task_id};

/// Interval of the heartbeats of a worker whose answers arrive, in milliseconds.
const ANSWERED_INTERVAL_MS: u64 = 500;
/// Interval of the heartbeats of a worker whose answers are lost: it waits 1 s for each.
const UNANSWERED_INTERVAL_MS: u64 = 1_000;
/// Time within which a job begins on a sound worker, in milliseconds.
const BEGIN_WITHIN_MS: u64 = 10_000;

/// Plays heartbeats of `ignoring` workers that list no run, and of as many sound ones, each `interval_ms`.
/// Returns when every task of job 1 has a run on a sound worker, in milliseconds.
fn begin_despite(ignoring: usize, interval_ms: u64) -> Option<u64> {
    let mut harness = Harness::with_workers(2 * ignoring);
    harness.submit(1, "large", vec![step(8 * ignoring as u32)]);
    let start_ms = harness.now_ms;
    while harness.now_ms < start_ms + BEGIN_WITHIN_MS {
        harness.run_round();
        for index in 0..2 * ignoring {
            let worker = format!("w{index}");
            harness.fleet.issue_orders(&worker, &harness.table);
            harness.answer_heartbeat(&worker);
            let receipt = harness.receive_heartbeat(&worker, |heartbeat| {
                if index < ignoring {
                    heartbeat.running.clear();
                }
            });
            harness.commit_ends(receipt);
        }
        harness.now_ms += interval_ms;
        let is_on_sound_worker = |task: u32| {
            let worker = harness.worker_of(task_id(1, 0, task))?;
            (worker[1..].parse::<usize>().expect("a number") >= ignoring).then_some(())
        };
        if (0..8 * ignoring as u32).all(|task| is_on_sound_worker(task).is_some()) {
            return Some(harness.now_ms - start_ms);
        }
    }
    None
}

/// Guards against jobs that stay placed for ever on a worker that ignores its orders, while others idle.
#[rstest]
fn tasks_leave_workers_that_never_begin_them(
    #[values(1, 4, 20)] ignoring: usize,
    #[values(ANSWERED_INTERVAL_MS, UNANSWERED_INTERVAL_MS)] interval_ms: u64,
) {
    assert!(begin_despite(ignoring, interval_ms).is_some());
}

/// Sends the orders of `w0` and receives a heartbeat that lists no run. Returns the number of ends that
/// were inferred.
fn ignore_orders(harness: &mut Harness) -> usize {
    harness.fleet.issue_orders("w0", &harness.table);
    harness.answer_heartbeat("w0");
    harness.now_ms += ANSWERED_INTERVAL_MS;
    let receipt = harness.receive_heartbeat("w0", |heartbeat| heartbeat.running.clear());
    let inferred = receipt.ends.len();
    harness.commit_ends(receipt);
    inferred
}

#[test]
fn a_gang_leaves_a_worker_that_does_not_begin_it() {
    let mut harness = Harness::with_workers(3);
    harness.submit(1, "large", vec![gang(2)]);
    harness.run_round();
    assert_eq!([0, 0, 1], [(); 3].map(|()| ignore_orders(&mut harness)));
    let other = harness.table.runs_on("w1").map(|(task, run)| (*task, run.is_stopping));
    assert_eq!(other.collect::<Vec<_>>(), [(task_id(1, 0, 1), true)]);
    harness.end(task_id(1, 0, 1), 1, Exit::Alone);
    harness.receive_heartbeat("w1", |_| {});
    harness.receive_heartbeat("w2", |_| {});
    harness.run_round();
    let workers = [0, 1].map(|index| harness.worker_of(task_id(1, 0, index)));
    assert_eq!(workers, [Some("w1".into()), Some("w2".into())]);
}

/// Two answers in a row may be lost on their way to a sound worker.
#[test]
fn a_run_that_begins_with_the_third_order_goes_on() {
    let mut harness = Harness::with_workers(2);
    harness.submit(1, "small", vec![step(1)]);
    harness.run_round();
    assert_eq!([0, 0], [(); 2].map(|()| ignore_orders(&mut harness)));
    for _ in 0..5 {
        harness.fleet.issue_orders("w0", &harness.table);
        harness.answer_heartbeat("w0");
        assert_eq!(harness.receive_heartbeat("w0", |_| {}).ends, []);
    }
    assert_eq!(harness.worker_of(task_id(1, 0, 0)), Some("w0".into()));
}

/// A start order of an earlier leader may still be on its way, and a heartbeat that is not known to follow
/// an answer may have been composed before it.
#[test]
fn an_inherited_run_is_not_given_up_on_late_heartbeats() {
    let mut harness = Harness::with_workers(2);
    harness.submit(1, "small", vec![step(1)]);
    harness.run_round();
    harness.fleet = eelgrassvalve::batch::fleet::Fleet::default();
    for _ in 0..10 {
        harness.fleet.issue_orders("w0", &harness.table);
        harness.now_ms += UNANSWERED_INTERVAL_MS;
        let receipt = harness.receive_heartbeat("w0", |heartbeat| heartbeat.running.clear());
        assert_eq!(receipt.ends, []);
    }
}

/// A worker goes silent right after a gang was placed on it. Whether the gang starts elsewhere before the
/// worker's lease has ended depends on whether a start order may have reached it.
#[rstest]
#[case::no_order_was_sent(false)]
#[case::an_order_was_sent(true)]
fn a_run_that_was_never_ordered_leaves_a_silent_worker(#[case] is_sent: bool) {
    let mut harness = Harness::with_workers(2);
    harness.submit(1, "urgent", vec![gang(1)]);
    harness.run_round();
    let silent = harness.worker_of(task_id(1, 0, 0)).expect("it is placed");
    if is_sent {
        harness.fleet.issue_orders(&silent, &harness.table);
    }
    let lease_until_ms = harness.now_ms + 2 * LEASE_MS;
    harness.now_ms += LEASE_MS / 2;
    let ends = harness.fleet.pending_ends(&harness.table, lease_until_ms, harness.now_ms);
    assert_eq!(ends.is_empty(), is_sent);
    // The order isn't sent while the end is being committed.
    let orders = harness.fleet.issue_orders(&silent, &harness.table);
    assert_eq!(orders.start.is_empty(), !is_sent);
}
