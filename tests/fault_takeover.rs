//! Heartbeats around a change of leader: what a new leader concludes from late ones.

mod support;

use eelgrassvalve::batch::fleet::Fleet;
use eelgrassvalve::batch::table::{Command, Round};
use eelgrassvalve::batch::worker::{End, Exit};
use rstest::rstest;
use support::batch::{Harness, gang, overloaded_rate, step, task_id};
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
        harness.answer_heartbeat("w0");
    }
    harness.now_ms += gap_ms.unwrap_or(150);
    let receipt = harness.receive_heartbeat("w0", |heartbeat| {
        heartbeat.running.clear();
        heartbeat.clock_ms = gap_ms.and(heartbeat.clock_ms);
    });
    assert_eq!(receipt.ends.len(), ended);
    let interval_ms = harness.fleet.min_heartbeat_interval_ms("w0", overloaded_rate());
    assert_eq!(interval_ms, 0, "a worker with an unconfirmed run sends its heartbeats at once");
}

/// A member that was deposed and elected again while a heartbeat was held answers it by what it knew
/// in its earlier term.
#[test]
fn orders_carry_the_term_of_the_view_that_they_rest_on() {
    let mut harness = with_inherited_stopping_run();
    harness.fleet = Fleet::of_term(5);
    harness.receive_heartbeat("w0", |_| {});
    assert_eq!(harness.fleet.issue_orders("w0", &harness.table).term, 5);
}

fn is_open(harness: &Harness, worker: &str) -> bool {
    let workers = harness.fleet.workers(&harness.table, harness.now_ms);
    workers.iter().any(|known| known.name == worker && known.is_open)
}

/// The first heartbeat that a new leader receives may be a late one of a worker that has left. The
/// one that follows its answer is not.
#[rstest]
#[case::follows_an_answer(Some(150), true)]
#[case::sent_after_a_timeout(Some(1_000), false)]
fn a_new_leader_places_work_only_on_workers_that_received_its_answer(
    #[case] gap_ms: Option<u64>,
    #[case] expected: bool,
) {
    let mut harness = Harness::new();
    harness.submit(1, "small", vec![step(1)]);
    harness.receive_heartbeats(1);
    assert!(harness.run_round().round.starts.is_empty(), "it may have left");
    harness.now_ms += gap_ms.unwrap_or(0);
    harness.receive_heartbeats(1);
    assert_eq!(is_open(&harness, "w0"), expected);
    assert_eq!(harness.run_round().round.starts.len(), usize::from(expected));
}

/// A heartbeat that is composed `composed_ms` after the one before, by the worker's clock, and arrives
/// after 4 s: delayed by the network, or by a worker that stood still together with its clock. One
/// that follows its answer shows that the worker is there.
#[rstest]
#[case::in_time(4_000, true)]
#[case::of_a_slow_clock(3_920, true)]
#[case::delayed(200, false)]
fn a_delayed_heartbeat_is_no_sign_of_life(#[case] composed_ms: u64, #[case] expected: bool) {
    let mut harness = Harness::with_workers(1);
    let composed_ms = harness.now_ms + composed_ms;
    harness.now_ms += 4_000;
    let beat_at = |harness: &mut Harness, clock_ms| {
        harness.receive_heartbeat("w0", |heartbeat| heartbeat.clock_ms = Some(clock_ms));
    };
    beat_at(&mut harness, composed_ms);
    assert_eq!(is_open(&harness, "w0"), expected);
    harness.answer_heartbeat("w0");
    beat_at(&mut harness, composed_ms + 50);
    assert!(is_open(&harness, "w0"), "it follows an answer");
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

/// Number of schedules; `EELGRASSVALVE_SEEDS` sets another one.
fn seed_count() -> u64 {
    let seeds = std::env::var("EELGRASSVALVE_SEEDS").ok().and_then(|text| text.parse().ok());
    seeds.unwrap_or(3_000)
}

/// Delayed, reordered and lost heartbeats over changes of leader.
#[test]
fn no_task_runs_twice_over_changes_of_leader() {
    (0..seed_count()).for_each(Simulation::run);
}

/// Guards against tasks that start elsewhere while a restarted worker still receives, or obeys, the start
/// order that was on its way to its former incarnation.
#[test]
fn no_task_runs_twice_over_restarts_of_workers() {
    (0..seed_count()).for_each(Simulation::run_with_restarts);
}
