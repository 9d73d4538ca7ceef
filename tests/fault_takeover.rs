//! Heartbeats around a change of leader: what a new leader concludes from late ones.

mod support;

use eelgrassvalve::batch::fleet::Fleet;
use eelgrassvalve::batch::table::{Command, Round};
use eelgrassvalve::batch::worker::{End, Exit};
use rstest::rstest;
use support::batch::{Harness, gang, step, task_id};
use support::takeover::Simulation;

/// A run that the earlier leader started and then stopped, as a new leader finds it.
fn with_inherited_stopping_run() -> Harness {
    let mut harness = Harness::with_workers(2);
    harness.submit(1, "small", vec![step(1)]);
    harness.start(task_id(1, 0, 0), 1, "w0");
    stop(&mut harness, 0);
    harness.fleet = Fleet::default();
    harness
}

fn stop(harness: &mut Harness, index: u32) {
    let stops = vec![(task_id(1, 0, index), 1)];
    harness.apply(Command::Round(Round { stops, ..Round::default() }));
}

/// The first heartbeat that a new leader receives may have been composed before the earlier leader
/// started the run.
#[test]
fn a_late_first_heartbeat_does_not_end_a_stopping_run() {
    let mut harness = with_inherited_stopping_run();
    let receipt = harness.receive_heartbeat("w0", |heartbeat| heartbeat.running.clear());
    assert_eq!(receipt.ends, []);
}

#[rstest]
#[case::ready(false)]
#[case::draining(true)]
fn a_late_first_heartbeat_does_not_end_a_gang(#[case] is_draining: bool) {
    let mut harness = Harness::with_workers(2);
    harness.submit(1, "large", vec![gang(2)]);
    harness.start(task_id(1, 0, 0), 1, "w0");
    harness.start(task_id(1, 0, 1), 1, "w1");
    stop(&mut harness, 0);
    stop(&mut harness, 1);
    harness.fleet = Fleet::default();
    for worker in ["w0", "w1"] {
        let receipt = harness.receive_heartbeat(worker, |heartbeat| {
            heartbeat.running.clear();
            heartbeat.is_draining = is_draining;
        });
        assert_eq!(receipt.ends, [], "{worker}");
    }
}

/// The second heartbeat follows the answer to the first, so that it can't be older than a start of
/// the earlier leader.
#[rstest]
#[case::follows_an_answer(Some(150), true, 1)]
#[case::first_not_answered(Some(150), false, 0)]
#[case::sent_after_a_timeout(Some(1_000), true, 0)]
#[case::without_a_clock(None, true, 0)]
fn only_a_heartbeat_that_follows_an_answer_ends_a_stopping_run(
    #[case] gap_ms: Option<u64>,
    #[case] is_answered: bool,
    #[case] ended: usize,
) {
    let mut harness = with_inherited_stopping_run();
    harness.receive_heartbeat("w0", |heartbeat| heartbeat.running.clear());
    let orders = harness.fleet.issue_orders("w0", &harness.table);
    assert_eq!(orders.stop, [(task_id(1, 0, 0), 1)], "a late start must be rejected");
    if is_answered {
        let sequence = harness.fleet.session("w0").expect("it has a session").heartbeat.sequence;
        harness.fleet.record_answer("w0", sequence);
    }
    harness.now_ms += gap_ms.unwrap_or(150);
    let receipt = harness.receive_heartbeat("w0", |heartbeat| {
        heartbeat.running.clear();
        heartbeat.clock_ms = gap_ms.and(heartbeat.clock_ms);
    });
    assert_eq!(receipt.ends.len(), ended);
    let interval_ms = harness.fleet.min_heartbeat_interval_ms("w0");
    assert_eq!(interval_ms, 0, "a worker with an unconfirmed run sends its heartbeats at once");
}

/// A worker lists 500 ends at most, so that a run which is not listed may have ended.
#[test]
fn a_full_list_of_ends_does_not_end_a_run_that_is_not_listed() {
    let mut harness = Harness::with_workers(1);
    harness.submit(1, "small", vec![step(1)]);
    harness.run_round();
    stop(&mut harness, 0);
    let mut receive_with_ends = |count: u32| {
        let receipt = harness.receive_heartbeat("w0", |heartbeat| {
            heartbeat.running.clear();
            heartbeat.ended = (0..count).map(other_end).collect();
        });
        receipt.ends.len()
    };
    assert_eq!(receive_with_ends(500), 0);
    assert_eq!(receive_with_ends(499), 1);
}

fn other_end(index: u32) -> End {
    let (task, checkpoint) = (task_id(2, 0, index), String::new());
    End { number: index.into(), task, run: 1, how: Exit::Done, checkpoint }
}

/// Delayed, reordered and lost heartbeats over changes of leader. `EELGRASSVALVE_SEEDS` sets the
/// number of schedules.
#[test]
fn no_task_runs_twice_over_changes_of_leader() {
    let seeds = std::env::var("EELGRASSVALVE_SEEDS").ok().and_then(|text| text.parse().ok());
    for seed in 0..seeds.unwrap_or(2_000) {
        Simulation::run(seed);
    }
}
