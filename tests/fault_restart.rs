//! Workers that restart under their names: when the runs of earlier incarnations count as ended.

mod support;

use eelgrassvalve::batch::fleet::Fleet;
use eelgrassvalve::batch::table::{Command, Round};
use eelgrassvalve::batch::worker::{End, Exit, Heartbeat, Run};
use rstest::rstest;
use support::batch::{Harness, gang, step, task_id};

/// Interval between two heartbeats of which the second follows the answer to the first, in milliseconds.
const ANSWERED_MS: u64 = 50;
/// Interval between two heartbeats of which the first got no answer, in milliseconds.
const UNANSWERED_MS: u64 = 1_000;

/// A worker `w0` that crashes before it lists the run of the only task. An answer with the start order may be on
/// its way.
fn with_start_order_on_its_way() -> Harness {
    let mut harness = Harness::with_workers(2);
    harness.submit(1, "small", vec![step(1)]);
    harness.run_round();
    assert_eq!(harness.worker_of(task_id(1, 0, 0)), Some("w0".into()));
    harness.receive_heartbeat("w0", |heartbeat| heartbeat.running.clear());
    assert_eq!(harness.fleet.issue_orders("w0", &harness.table).start.len(), 1);
    harness
}

/// A heartbeat of an incarnation of `w0`, `after_ms` after its first one.
fn heartbeat_of(incarnation: u64, after_ms: u64) -> impl FnOnce(&mut Heartbeat) {
    move |heartbeat| {
        heartbeat.incarnation = incarnation;
        heartbeat.clock_ms = Some(7_000_000 * incarnation + after_ms);
        heartbeat.running.clear();
    }
}

/// Receives heartbeats of an incarnation at these times after its first one, and answers each. Returns the
/// number of runs that count as ended after each.
fn ends_after(harness: &mut Harness, incarnation: u64, times_ms: &[u64]) -> Vec<usize> {
    let mut ends = Vec::new();
    for after_ms in times_ms {
        let receipt = harness.receive_heartbeat("w0", heartbeat_of(incarnation, *after_ms));
        assert!(receipt.ends.iter().all(|end| end.how == Exit::Lapsed), "{receipt:?}");
        ends.push(receipt.ends.len());
        harness.commit_ends(receipt);
        let orders = harness.fleet.issue_orders("w0", &harness.table);
        assert!(orders.start.is_empty(), "an order of an earlier incarnation is not repeated");
        harness.answer_heartbeat("w0");
    }
    ends
}

/// Guards against a task that starts elsewhere while its start order still reaches the restarted worker, which
/// is cut off then. A wait that is longer than necessary keeps the task from running, so that both ends of
/// the span are checked.
#[rstest]
#[case::follows_the_answer(&[0, ANSWERED_MS], &[0, 1])]
#[case::no_answer_arrives(&[0, UNANSWERED_MS], &[0, 0])]
#[case::order_is_too_old(&[0, UNANSWERED_MS, UNANSWERED_MS + 100], &[0, 0, 1])]
#[case::order_is_too_old_without_answers(&[0, UNANSWERED_MS + 100], &[0, 1])]
fn a_run_that_was_never_listed_ends_once_its_order_can_no_longer_arrive(
    #[case] times_ms: &[u64],
    #[case] expected: &[usize],
) {
    let mut harness = with_start_order_on_its_way();
    assert_eq!(ends_after(&mut harness, 2, times_ms), expected);
}

/// The restarted worker rejects a start order that follows the order to stop.
#[test]
fn a_start_order_to_an_earlier_incarnation_is_revoked() {
    let mut harness = with_start_order_on_its_way();
    harness.receive_heartbeat("w0", heartbeat_of(2, 0));
    let orders = harness.fleet.issue_orders("w0", &harness.table);
    assert_eq!(orders.stop, [(task_id(1, 0, 0), 1)]);
}

/// The answers of two earlier incarnations may be on their way; the later one may be taken for the answer that
/// revokes the order of the former.
#[rstest]
#[case::within_a_second(ANSWERED_MS, 0)]
#[case::later(UNANSWERED_MS + 100, 1)]
fn after_two_restarts_only_time_ends_a_run(#[case] after_ms: u64, #[case] expected: usize) {
    let mut harness = with_start_order_on_its_way();
    assert_eq!(ends_after(&mut harness, 2, &[0]), [0]);
    assert_eq!(ends_after(&mut harness, 3, &[0, after_ms]), [0, expected]);
}

/// A new leader knows neither what the worker listed before nor how often it restarted.
#[rstest]
#[case::within_a_second(ANSWERED_MS, 0)]
#[case::later(UNANSWERED_MS + 100, 1)]
fn a_new_leader_ends_a_run_of_an_earlier_incarnation_by_time(
    #[case] after_ms: u64,
    #[case] expected: usize,
) {
    let mut harness = with_start_order_on_its_way();
    harness.fleet = Fleet::of_term(2);
    assert_eq!(ends_after(&mut harness, 2, &[0, after_ms]), [0, expected]);
}

/// The clock of a worker may stand still. The answers that its heartbeats follow show that time passes.
#[test]
fn a_run_of_an_earlier_incarnation_ends_on_a_worker_whose_clock_stands_still() {
    let mut harness = with_start_order_on_its_way();
    harness.fleet = Fleet::of_term(2);
    let mut ends = Vec::new();
    for _ in 0..5 {
        ends.extend(ends_after(&mut harness, 2, &[0]));
        harness.now_ms += 500;
    }
    assert_eq!(ends, [0, 0, 0, 0, 1]);
}

/// A listed run had begun, so that no order for it is on its way. It resumes from what it has saved.
#[rstest]
#[case::one_restart(&[2])]
#[case::two_restarts(&[2, 3])]
fn a_run_that_was_listed_ends_at_once_with_its_checkpoint(#[case] incarnations: &[u64]) {
    let mut harness = with_start_order_on_its_way();
    harness.receive_heartbeat("w0", |heartbeat| heartbeat.running[0].checkpoint = "saved".into());
    let mut receipts = Vec::new();
    for incarnation in incarnations {
        receipts.push(harness.receive_heartbeat("w0", heartbeat_of(*incarnation, 0)));
    }
    for receipt in receipts {
        assert_eq!(receipt.ends.len(), 1);
        assert_eq!(
            (receipt.ends[0].how, receipt.ends[0].checkpoint.as_str()),
            (Exit::Lapsed, "saved")
        );
    }
}

/// The restarted worker began the run by the order to its earlier incarnation. It is stopped, and the task
/// starts elsewhere only after that.
#[rstest]
#[case::stopped(Exit::Stopped)]
#[case::refused(Exit::Refused)]
#[case::done_before_the_stop(Exit::Done)]
#[case::failed_before_the_stop(Exit::Failed)]
fn a_run_that_the_next_incarnation_begins_ends_when_it_says_so(#[case] how: Exit) {
    let mut harness = with_start_order_on_its_way();
    let task = task_id(1, 0, 0);
    for after_ms in [0, ANSWERED_MS, 5_000] {
        let receipt = harness.receive_heartbeat("w0", |heartbeat| {
            heartbeat_of(2, after_ms)(heartbeat);
            let checkpoint = String::new();
            heartbeat.running = vec![Run { task, run: 1, checkpoint, percent: 10, gauge: 0 }];
        });
        assert_eq!(receipt.ends, []);
        assert_eq!(harness.fleet.issue_orders("w0", &harness.table).stop, [(task, 1)]);
        harness.answer_heartbeat("w0");
        assert!(harness.run_round().round.starts.is_empty());
    }
    let receipt = harness.receive_heartbeat("w0", |heartbeat| {
        heartbeat_of(2, 5_100)(heartbeat);
        heartbeat.ended = vec![End { number: 1, task, run: 1, how, checkpoint: String::new() }];
    });
    assert_eq!(receipt.ends.iter().map(|end| end.how).collect::<Vec<_>>(), [how]);
    harness.commit_ends(receipt);
    assert_eq!(harness.fleet.issue_orders("w0", &harness.table).acknowledged, 1);
    let is_again = !harness.run_round().round.starts.is_empty();
    assert_eq!(is_again, how != Exit::Done);
}

/// A restarted worker that is silent keeps the run for as long as the lease of the latest answer may last.
#[test]
fn a_run_on_a_restarted_worker_that_falls_silent_is_lost_with_its_lease() {
    let mut harness = with_start_order_on_its_way();
    harness.receive_heartbeat("w0", heartbeat_of(2, 0));
    let lease_until_ms = harness.fleet.session("w0").expect("it is known").lease_until_ms;
    assert!(harness.fleet.lost_runs(&harness.table, 0, lease_until_ms - 1).is_empty());
    assert_eq!(harness.fleet.lost_runs(&harness.table, 0, lease_until_ms).len(), 1);
}

/// The members of a gang restart one after the other. It starts again only when no member can begin its old
/// run.
#[test]
fn a_gang_whose_workers_restart_one_by_one_starts_again_as_a_whole() {
    let mut harness = Harness::with_workers(4);
    harness.submit(1, "large", vec![gang(2)]);
    harness.run_round();
    let restart = |harness: &mut Harness, worker: &str, after_ms: u64| {
        harness.receive_heartbeat(worker, heartbeat_of(2, after_ms))
    };
    for worker in ["w0", "w1"] {
        harness.receive_heartbeat(worker, |heartbeat| heartbeat.running.clear());
        harness.fleet.issue_orders(worker, &harness.table);
    }
    for worker in ["w0", "w1"] {
        assert_eq!(restart(&mut harness, worker, 0).ends, []);
        harness.fleet.issue_orders(worker, &harness.table);
        harness.answer_heartbeat(worker);
        assert!(harness.run_round().round.starts.is_empty());
        let receipt = restart(&mut harness, worker, ANSWERED_MS);
        assert_eq!(receipt.ends.len(), 1);
        harness.commit_ends(receipt);
        let is_over = worker == "w1";
        assert_eq!(harness.run_round().round.starts.len(), if is_over { 2 } else { 0 });
    }
}

/// A heartbeat that was held is answered only if the worker still waits for that answer.
#[rstest]
#[case::latest(0, 0, true)]
#[case::a_later_one_was_received(0, 1, false)]
#[case::the_worker_restarted(1, 0, false)]
fn only_the_latest_heartbeat_is_answered_with_orders(
    #[case] restarts: u64,
    #[case] later_heartbeats: u64,
    #[case] expected: bool,
) {
    let mut harness = with_start_order_on_its_way();
    let stamp = harness.fleet.session("w0").expect("it is known").heartbeat.stamp();
    for _ in 0..restarts + later_heartbeats {
        harness.receive_heartbeat("w0", |heartbeat| heartbeat.incarnation += restarts);
    }
    assert_eq!(harness.fleet.answer("w0", stamp, &harness.table).is_some(), expected);
    assert!(harness.fleet.answer("w9", stamp, &harness.table).is_none(), "it is unknown");
}

/// The clock of a worker was set back before it restarted. Guards against a worker that is ignored for as long as
/// its session is kept.
#[test]
fn a_worker_that_restarts_with_an_earlier_start_time_is_heard_once_the_lease_has_ended() {
    let mut harness = Harness::new();
    for _ in 0..2 {
        harness.receive_heartbeat("w0", |heartbeat| heartbeat.incarnation = 5);
        harness.answer_heartbeat("w0");
    }
    harness.submit(1, "small", vec![step(1)]);
    harness.run_round();
    let lease_until_ms = harness.fleet.session("w0").expect("it is known").lease_until_ms;
    let is_heard = |harness: &mut Harness| {
        let receipt = harness.receive_heartbeat("w0", |heartbeat| {
            heartbeat.incarnation = 4;
            heartbeat.running.clear();
        });
        harness.answer_heartbeat("w0");
        !receipt.is_ignored
    };
    harness.now_ms = lease_until_ms - 1;
    assert!(!is_heard(&mut harness));
    harness.now_ms = lease_until_ms;
    assert!(!is_heard(&mut harness), "its run is not recorded as lost");
    let ends = harness.fleet.pending_ends(&harness.table, 0, harness.now_ms);
    assert_eq!(ends.len(), 1);
    harness.apply(Command::Round(Round { ends, ..Round::default() }));
    assert!(is_heard(&mut harness));
    assert!(harness.run_round().round.starts.is_empty(), "it may be a late heartbeat");
    harness.now_ms += ANSWERED_MS;
    assert!(is_heard(&mut harness));
    assert_eq!(harness.run_round().round.starts.len(), 1);
}
