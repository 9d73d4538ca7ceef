//! How a leader handles heartbeats: ends of runs, lost runs, orders and acknowledgements.

mod support;

use eelgrassvalve::batch::document::Document;
use eelgrassvalve::batch::fleet::{Receipt, lease_bound_ms};
use eelgrassvalve::batch::job::Id;
use eelgrassvalve::batch::plan::find_unsatisfiable_step;
use eelgrassvalve::batch::table::{Command, Round};
use eelgrassvalve::batch::worker::{End, Exit, Heartbeat};
use rstest::rstest;
use support::batch::{Harness, LEASE_MS, gang, overloaded_rate, step, task_id};

/// A job whose only task runs on `w0`, as the last heartbeat of `w0` shows.
fn with_running_task() -> Harness {
    let mut harness = Harness::with_workers(2);
    harness.submit(1, "small", vec![step(1)]);
    harness.start(task_id(1, 0, 0), 1, "w0");
    harness.receive_heartbeat("w0", |_| {});
    harness
}

fn run_end(number: u64, how: Exit) -> End {
    End { number, task: task_id(1, 0, 0), run: 1, how, checkpoint: String::new() }
}

#[test]
fn a_start_order_is_repeated_until_a_heartbeat_lists_the_run() {
    let mut harness = Harness::with_workers(1);
    harness.submit(1, "small", vec![step(1)]);
    harness.run_round();
    for _ in 0..2 {
        harness.receive_heartbeat("w0", |heartbeat| heartbeat.running.clear());
        let orders = harness.fleet.issue_orders("w0", &harness.table);
        assert_eq!(orders.start.len(), 1);
        assert_eq!(orders.start[0].payload, "text");
    }
    harness.receive_heartbeat("w0", |_| {});
    assert!(harness.fleet.issue_orders("w0", &harness.table).start.is_empty());
}

#[test]
fn an_end_is_acknowledged_only_once_it_is_committed() {
    let mut harness = with_running_task();
    let receipt = harness.receive_heartbeat("w0", |heartbeat| {
        heartbeat.running.clear();
        heartbeat.ended = vec![run_end(7, Exit::Done)];
    });
    assert_eq!(harness.fleet.issue_orders("w0", &harness.table).acknowledged, 0);
    harness.commit_ends(receipt);
    assert_eq!(harness.fleet.issue_orders("w0", &harness.table).acknowledged, 7);
    assert_eq!(harness.phase(1), "completed");
}

#[test]
fn ends_of_inactive_runs_are_acknowledged_too() {
    let mut harness = with_running_task();
    harness.apply(Command::Cancel(Id(1)));
    let receipt =
        harness.receive_heartbeat("w0", |heartbeat| heartbeat.ended = vec![run_end(3, Exit::Done)]);
    assert!(receipt.ends.is_empty());
    assert_eq!(harness.fleet.issue_orders("w0", &harness.table).acknowledged, 3);
}

#[rstest]
#[case::duplicate(0, true)]
#[case::newer(1, false)]
fn only_newer_heartbeats_take_effect(#[case] sequence_offset: u64, #[case] is_ignored: bool) {
    let mut harness = with_running_task();
    let sequence =
        harness.fleet.session("w0").expect("the worker has a session").heartbeat.sequence;
    let receipt = harness.receive_heartbeat("w0", |heartbeat| {
        heartbeat.sequence = sequence + sequence_offset;
        heartbeat.running.clear();
        heartbeat.ended = vec![run_end(1, Exit::Failed)];
    });
    assert_eq!(receipt.is_ignored, is_ignored);
    assert_eq!(receipt.ends.is_empty(), is_ignored);
}

#[test]
fn a_heartbeat_of_an_earlier_incarnation_is_stale() {
    let mut harness = Harness::with_workers(1);
    harness.receive_heartbeat("w0", |heartbeat| heartbeat.incarnation = 5);
    let receipt = harness.receive_heartbeat("w0", |heartbeat| {
        heartbeat.incarnation = 4;
        heartbeat.sequence = 1_000;
    });
    assert!(receipt.is_ignored);
}

#[test]
fn runs_of_an_earlier_incarnation_lapse() {
    let mut harness = with_running_task();
    let receipt = harness.receive_heartbeat("w0", |heartbeat| {
        heartbeat.incarnation = 2;
        heartbeat.sequence = 1;
        heartbeat.running.clear();
    });
    assert_eq!(receipt.ends.iter().map(|end| end.how).collect::<Vec<_>>(), [Exit::Lapsed]);
}

#[test]
fn a_worker_that_left_loses_its_runs_and_its_heartbeats_are_stale() {
    let mut harness = with_running_task();
    harness.receive_heartbeat("w0", set_draining);
    harness.fleet.mark_leaving("w0", None, harness.now_ms);
    assert!(harness.fleet.lost_runs(&harness.table, 0, harness.now_ms).is_empty());
    harness.now_ms += 1_000;
    let lost = harness.fleet.lost_runs(&harness.table, 0, harness.now_ms);
    assert_eq!(lost.len(), 1);
    harness.end(task_id(1, 0, 0), 1, Exit::Lapsed);
    harness.fleet.remove_departed(harness.now_ms);
    assert!(harness.receive_heartbeat("w0", |heartbeat| heartbeat.sequence = 1_000).is_ignored);
    assert!(!harness.receive_heartbeat("w0", |heartbeat| heartbeat.incarnation = 2).is_ignored);
}

/// Guards against rerunning a completed task: a worker's last end and its leave arrive at the same
/// moment, in either order.
#[rstest]
#[case::at_once(5)]
#[case::after_a_held_answer(700)]
fn an_end_reported_right_after_the_worker_left_counts(#[case] delay_ms: u64) {
    let mut harness = with_running_task();
    harness.fleet.mark_leaving("w0", None, harness.now_ms);
    harness.now_ms += delay_ms;
    assert!(harness.fleet.lost_runs(&harness.table, 0, harness.now_ms).is_empty());
    harness.fleet.remove_departed(harness.now_ms);
    let receipt = harness.receive_heartbeat("w0", |heartbeat| {
        heartbeat.is_draining = true;
        heartbeat.running.clear();
        heartbeat.ended = vec![run_end(1, Exit::Done)];
    });
    harness.commit_ends(receipt);
    assert_eq!(harness.phase(1), "completed");
}

#[rstest]
#[case::of_this_incarnation(Some(5), 0)]
#[case::of_unknown_incarnation(None, 0)]
#[case::of_an_earlier_incarnation(Some(4), 1)]
fn a_late_leave_of_an_earlier_incarnation_changes_nothing(
    #[case] incarnation: Option<u64>,
    #[case] start_count: usize,
) {
    let mut harness = Harness::with_workers(1);
    for _ in 0..2 {
        harness.receive_heartbeat("w0", |heartbeat| heartbeat.incarnation = 5);
        harness.answer_heartbeat("w0");
    }
    harness.fleet.mark_leaving("w0", incarnation, harness.now_ms);
    harness.submit(1, "small", vec![step(1)]);
    assert_eq!(harness.run_round().round.starts.len(), start_count);
}

/// Guards against a held heartbeat that keeps a leaving worker from reporting its last end.
#[test]
fn heartbeats_of_a_draining_worker_are_not_held() {
    let mut harness = with_running_task();
    // The run is half done after 4 s: without the drain, the next end would be 4 s away.
    harness.now_ms += 4_000;
    harness.receive_heartbeat("w0", |heartbeat| heartbeat.is_draining = true);
    let session = harness.fleet.session("w0").expect("the worker has a session");
    assert_eq!(session.next_end_ms(&harness.table, harness.now_ms), Some(0));
}

/// Guards against rerunning a task that completes too shortly before its worker leaves (20 ms when
/// seen) for the worker to report the end.
#[rstest]
#[case::enough_time(Some(1_500), 0)]
#[case::about_to_leave(Some(900), 1)]
#[case::unknown_time(None, 0)]
fn runs_are_stopped_before_their_worker_leaves(
    #[case] remaining_ms: Option<u64>,
    #[case] evacuated: usize,
) {
    let mut harness = with_running_task();
    harness.receive_heartbeat("w0", |heartbeat| {
        heartbeat.is_draining = true;
        heartbeat.remaining_ms = remaining_ms;
    });
    assert_eq!(harness.fleet.runs_to_evacuate(&harness.table, harness.now_ms).len(), evacuated);
    let is_evacuated_later = remaining_ms.is_some();
    assert_eq!(
        !harness.fleet.runs_to_evacuate(&harness.table, harness.now_ms + 600).is_empty(),
        is_evacuated_later
    );
}

#[test]
fn a_worker_that_left_gets_no_work() {
    let mut harness = Harness::with_workers(1);
    harness.fleet.mark_leaving("w0", None, harness.now_ms);
    harness.submit(1, "small", vec![step(1)]);
    assert!(harness.run_round().round.starts.is_empty());
    harness.receive_heartbeat("w0", |_| {});
    assert!(
        harness.run_round().round.starts.is_empty(),
        "a late heartbeat does not reopen the worker"
    );
}

/// A new leader may receive a worker's leave before any of its heartbeats. Runs of a later incarnation than the
/// one that left go on, and so may all runs if the leave names none.
#[rstest]
#[case::of_this_incarnation(Some(1), 1_000)]
#[case::of_an_earlier_incarnation(Some(0), 7_000)]
#[case::of_unknown_incarnation(None, 7_000)]
fn runs_of_a_worker_known_only_by_its_leave_are_lost_in_time(
    #[case] incarnation: Option<u64>,
    #[case] lost_after_ms: u64,
) {
    let mut harness = with_running_task();
    harness.fleet = eelgrassvalve::batch::fleet::Fleet::default();
    harness.fleet.mark_leaving("w0", incarnation, harness.now_ms);
    let unheard_until_ms = harness.now_ms + 7_000;
    let lost_at = |at_ms| harness.fleet.lost_runs(&harness.table, unheard_until_ms, at_ms).len();
    let lost_ms = harness.now_ms + lost_after_ms;
    assert_eq!((lost_at(lost_ms - 1), lost_at(lost_ms)), (0, 1));
}

/// The leave of an earlier incarnation may arrive late, and doesn't name it. A worker that goes on sending
/// heartbeats is still there.
#[rstest]
#[case::ready(false)]
#[case::draining(true)]
fn a_late_leave_does_not_end_the_runs_of_a_worker_that_is_there(#[case] is_draining: bool) {
    let mut harness = with_running_task();
    let beat = |harness: &mut Harness| {
        harness.now_ms += 100;
        harness.receive_heartbeat("w0", |heartbeat| heartbeat.is_draining = is_draining);
        harness.answer_heartbeat("w0");
    };
    beat(&mut harness);
    harness.fleet.mark_leaving("w0", None, harness.now_ms + 50);
    for _ in 0..20 {
        beat(&mut harness);
        assert_eq!(harness.fleet.lost_runs(&harness.table, 0, harness.now_ms), []);
        harness.fleet.remove_departed(harness.now_ms);
    }
    let workers = harness.fleet.workers(&harness.table, harness.now_ms);
    assert!(workers[0].is_confirmed && workers[0].is_open != is_draining, "{workers:?}");
}

/// A worker may be cut off right after the leave of an earlier incarnation has arrived.
#[test]
fn after_a_late_leave_the_runs_of_a_silent_worker_wait_for_its_lease() {
    let mut harness = with_running_task();
    harness.fleet.mark_leaving("w0", None, harness.now_ms);
    let lease_until_ms = harness.now_ms + lease_bound_ms(LEASE_MS);
    assert_eq!(harness.fleet.lost_runs(&harness.table, 0, lease_until_ms - 1), []);
    assert_eq!(harness.fleet.lost_runs(&harness.table, 0, lease_until_ms).len(), 1);
}

#[rstest]
#[case::lease_may_be_valid(lease_bound_ms(LEASE_MS) - 1, 0)]
#[case::lease_has_ended(lease_bound_ms(LEASE_MS), 1)]
fn runs_of_a_silent_worker_are_lost_once_its_lease_has_ended(
    #[case] silent_ms: u64,
    #[case] lost_count: usize,
) {
    let harness = with_running_task();
    let now_ms = harness.now_ms + silent_ms;
    assert_eq!(harness.fleet.lost_runs(&harness.table, 0, now_ms).len(), lost_count);
}

#[test]
fn the_lease_bound_covers_a_clock_that_is_two_percent_slow() {
    for lease_ms in [100, 3_000, 6_000, 10_000] {
        assert!(lease_bound_ms(lease_ms) > lease_ms * 102 / 100);
    }
}

#[test]
fn runs_of_workers_unheard_by_a_new_leader_are_lost_after_its_grace() {
    let harness = with_running_task();
    let new_leader = eelgrassvalve::batch::fleet::Fleet::default();
    assert!(new_leader.lost_runs(&harness.table, 5_000, 4_999).is_empty());
    assert_eq!(new_leader.lost_runs(&harness.table, 5_000, 5_000).len(), 1);
}

#[test]
fn runs_that_the_table_does_not_place_on_the_worker_are_stopped() {
    let mut harness = with_running_task();
    harness.apply(Command::Cancel(Id(1)));
    let orders = harness.fleet.issue_orders("w0", &harness.table);
    assert_eq!(orders.stop, [(task_id(1, 0, 0), 1)]);
}

fn set_draining(heartbeat: &mut Heartbeat) {
    heartbeat.is_draining = true;
}

#[test]
fn a_draining_worker_gets_no_start_orders_and_its_unstarted_runs_lapse() {
    let mut harness = Harness::with_workers(1);
    harness.submit(1, "small", vec![step(1)]);
    harness.run_round();
    let receipt = harness.receive_heartbeat("w0", |heartbeat| {
        set_draining(heartbeat);
        heartbeat.running.clear();
    });
    assert!(harness.fleet.issue_orders("w0", &harness.table).start.is_empty());
    assert_eq!(receipt.ends.len(), 1);
    harness.commit_ends(receipt);
    assert!(harness.run_round().round.starts.is_empty(), "nothing is placed on a draining worker");
}

#[test]
fn a_run_that_is_stopped_before_its_start_order_arrives_lapses() {
    let mut harness = Harness::with_workers(1);
    harness.submit(1, "small", vec![step(1)]);
    harness.run_round();
    let round = eelgrassvalve::batch::table::Round {
        stops: vec![(task_id(1, 0, 0), 1)],
        ..Default::default()
    };
    harness.apply(Command::Round(round));
    let receipt = harness.receive_heartbeat("w0", |heartbeat| heartbeat.running.clear());
    assert_eq!(receipt.ends.len(), 1);
}

#[test]
fn capacity_is_free_only_once_the_worker_reports_the_end() {
    let mut harness = with_running_task();
    harness.apply(Command::Cancel(Id(1)));
    let free_accelerators = |harness: &Harness| {
        harness.fleet.workers(&harness.table, harness.now_ms)[0].free.accelerators
    };
    assert_eq!(free_accelerators(&harness), 7);
    harness.receive_heartbeat("w0", |heartbeat| heartbeat.ended = vec![run_end(1, Exit::Stopped)]);
    assert_eq!(free_accelerators(&harness), 8);
}

#[test]
fn a_start_order_just_sent_takes_capacity_even_when_its_job_is_cancelled() {
    let mut harness = Harness::with_workers(1);
    harness.submit(1, "small", vec![step(1)]);
    harness.run_round();
    harness.receive_heartbeat("w0", |heartbeat| heartbeat.running.clear());
    harness.fleet.issue_orders("w0", &harness.table);
    harness.apply(Command::Cancel(Id(1)));
    assert_eq!(harness.fleet.workers(&harness.table, harness.now_ms)[0].free.accelerators, 7);
}

/// Guards against stopping tasks of gangs that have done their share and wait for the others.
#[rstest]
#[case::makes_no_progress(50, 1)]
#[case::waits_for_the_others(100, 0)]
fn a_run_without_progress_is_stuck(#[case] percent: u8, #[case] stuck_count: usize) {
    let mut harness = with_running_task();
    for _ in 0..8 {
        harness.receive_heartbeat("w0", |heartbeat| heartbeat.running[0].percent = percent);
        harness.now_ms += 500;
    }
    assert_eq!(harness.stuck_runs().len(), stuck_count);
}

/// Network partitions and leader changes stop heartbeats for seconds while runs go on.
#[test]
fn a_run_on_a_silent_worker_is_not_stuck() {
    let mut harness = with_running_task();
    harness.receive_heartbeat("w0", |heartbeat| heartbeat.running[0].percent = 50);
    harness.now_ms += 5_000;
    assert!(harness.stuck_runs().is_empty());
    harness.receive_heartbeat("w0", |heartbeat| heartbeat.running[0].percent = 90);
    assert!(harness.stuck_runs().is_empty());
}

/// One failure may be the fault of the task; a worker that fails two runs in a row is faulty.
#[rstest]
#[case::one_failure(1, true)]
#[case::two_in_a_row(2, false)]
fn a_worker_that_fails_runs_in_a_row_is_excluded_for_a_while(
    #[case] failures: u32,
    #[case] remains_open: bool,
) {
    let mut harness = Harness::with_workers(1);
    harness.submit(1, "small", vec![step(2)]);
    harness.run_round();
    let receipt = harness.receive_heartbeat("w0", |heartbeat| {
        heartbeat.running.clear();
        for index in 0..failures {
            let end =
                End { task: task_id(1, 0, index), ..run_end(1 + u64::from(index), Exit::Failed) };
            heartbeat.ended.push(end);
        }
    });
    harness.commit_ends(receipt);
    let is_open =
        |harness: &Harness| harness.fleet.workers(&harness.table, harness.now_ms)[0].is_open;
    assert_eq!(is_open(&harness), remains_open);
    harness.now_ms += 2_000;
    harness.receive_heartbeat("w0", |_| {});
    assert!(is_open(&harness));
}

/// Holding the answer to a heartbeat delays the report of an end, so the hold must be over before
/// the next expected end.
#[rstest]
#[case::nothing_runs(None, None)]
#[case::half_done(Some(50), Some(4_000))]
#[case::nearly_done(Some(80), Some(1_000))]
#[case::waits_for_its_gang(Some(100), Some(0))]
fn the_time_to_the_next_end_is_predicted(
    #[case] percent: Option<u8>,
    #[case] expected_ms: Option<u64>,
) {
    let mut harness = with_running_task();
    harness.now_ms += 4_000;
    harness.receive_heartbeat("w0", |heartbeat| match percent {
        Some(percent) => heartbeat.running[0].percent = percent,
        None => heartbeat.running.clear(),
    });
    let session = harness.fleet.session("w0").expect("the worker has a session");
    assert_eq!(session.next_end_ms(&harness.table, harness.now_ms), expected_ms);
}

/// The interval limits the rate of heartbeats to what an overloaded leader can answer, however many
/// workers there are.
#[rstest]
#[case::small(48, 0, 100)]
#[case::medium(350, 0, 300)]
#[case::large(3_000, 1_500, 2_400)]
fn the_heartbeat_interval_grows_with_the_fleet(
    #[case] workers: usize,
    #[case] min_ms: u64,
    #[case] max_ms: u64,
) {
    let harness = Harness::with_workers(workers);
    let interval_ms = harness.fleet.min_heartbeat_interval_ms("w0", overloaded_rate());
    assert!((min_ms..max_ms).contains(&interval_ms), "{interval_ms}");
    assert!(interval_ms * 3 < LEASE_MS * 2, "two of three heartbeats may be lost within a lease");
}

/// Gangs in a large idle fleet: orders reach a worker with its next heartbeat, so that a leader with
/// capacity left asks for more of them, and for fewer once its timers are late.
#[test]
fn the_heartbeat_rate_follows_the_load_of_the_leader() {
    let mut rate = overloaded_rate();
    let lowest = rate.per_s();
    for _ in 0..100 {
        rate.observe(0);
    }
    assert!(rate.per_s() >= 3 * lowest, "{rate:?}");
    assert!(rate.interval_ms(3_000) < 700, "{rate:?}");
    let highest = rate.per_s();
    rate.observe(200);
    assert!(rate.per_s() <= highest * 3 / 4, "{rate:?}");
    let reduced = rate.per_s();
    rate.observe(30);
    assert_eq!(rate.per_s(), reduced, "neither idle nor overloaded");
}

/// Workers of a gang of three, of which the last falls silent.
const SPREAD: [&str; 3] = ["w0", "w1", "w2"];
/// The last two tasks share a worker.
const SHARED: [&str; 3] = ["w0", "w2", "w2"];
/// Longer than a worker that exists needs to report an end, shorter than a lease.
const SILENCE_MS: u64 = 3_000;

/// A gang whose tasks run on these workers, of which `w2` sends no more heartbeats.
fn with_silent_member(workers: [&str; 3], w0_exit: Exit, w1_exit: Exit) -> Harness {
    let mut harness = Harness::with_workers(3);
    harness.submit(1, "small", vec![gang(3)]);
    for (index, worker) in (0..).zip(workers) {
        harness.start(task_id(1, 0, index), 1, worker);
    }
    for worker in ["w0", "w1", "w2"] {
        harness.receive_heartbeat(worker, |_| {});
    }
    for (index, (worker, exit)) in (0..).zip([("w0", w0_exit), ("w1", w1_exit)]) {
        if workers[index as usize] == worker {
            harness.end(task_id(1, 0, index), 1, exit);
        }
    }
    harness.now_ms += SILENCE_MS;
    harness
}

/// A worker crashes with a task of a gang: the others report at once that their runs are broken. Their
/// word that another task has ended leaves only those of the silent worker, so that the gang need not
/// wait for the end of that worker's lease.
#[rstest]
#[case::one_task_there(SPREAD, Exit::Broken, Exit::Broken, 1)]
#[case::two_tasks_there(SHARED, Exit::Broken, Exit::Broken, 2)]
#[case::another_task_was_stopped(SPREAD, Exit::Stopped, Exit::Broken, 0)]
#[case::another_task_failed(SPREAD, Exit::Broken, Exit::Failed, 0)]
fn a_gang_broken_by_a_silent_worker_has_ended_there(
    #[case] workers: [&str; 3],
    #[case] w0_exit: Exit,
    #[case] w1_exit: Exit,
    #[case] ended: usize,
) {
    let harness = with_silent_member(workers, w0_exit, w1_exit);
    let ends = harness.fleet.lost_runs(&harness.table, 0, harness.now_ms);
    assert_eq!(ends.len(), ended, "{ends:?}");
    assert!(ends.iter().all(|end| end.how == Exit::Lapsed));
}

#[test]
fn a_broken_gang_waits_for_a_worker_that_still_sends_heartbeats() {
    let mut harness = with_silent_member(SPREAD, Exit::Broken, Exit::Broken);
    harness.receive_heartbeat("w2", |_| {});
    assert!(harness.fleet.lost_runs(&harness.table, 0, harness.now_ms).is_empty());
}

#[test]
fn a_broken_gang_with_two_silent_workers_waits_for_their_leases() {
    let mut harness = Harness::with_workers(3);
    harness.submit(1, "small", vec![gang(3)]);
    for (index, worker) in (0..).zip(SPREAD) {
        harness.start(task_id(1, 0, index), 1, worker);
    }
    for worker in SPREAD {
        harness.receive_heartbeat(worker, |_| {});
    }
    harness.end(task_id(1, 0, 0), 1, Exit::Broken);
    harness.now_ms += SILENCE_MS;
    assert!(harness.fleet.lost_runs(&harness.table, 0, harness.now_ms).is_empty());
    harness.now_ms += lease_bound_ms(LEASE_MS);
    assert_eq!(harness.fleet.lost_runs(&harness.table, 0, harness.now_ms).len(), 2);
}

/// Reports in a heartbeat of `w0` that run 1 of a task failed.
fn report_failure(harness: &mut Harness, number: u64, index: u32) -> Receipt {
    let end = End {
        number,
        task: task_id(1, 0, index),
        run: 1,
        how: Exit::Failed,
        checkpoint: String::new(),
    };
    harness.receive_heartbeat("w0", |heartbeat| heartbeat.ended = vec![end])
}

/// A worker that was cut off is heard again, after its runs were declared lost and started elsewhere:
/// the failure of such a run is an attempt of its task, and is committed before it is acknowledged.
#[test]
fn a_failure_reported_after_its_run_was_declared_lost_counts() {
    let mut harness = Harness::with_workers(2);
    harness.submit(1, "large", vec![step(1)]);
    harness.start(task_id(1, 0, 0), 1, "w0");
    harness.end(task_id(1, 0, 0), 1, Exit::Lapsed);
    harness.start(task_id(1, 0, 0), 2, "w1");
    let receipt = report_failure(&mut harness, 1, 0);
    assert_eq!(harness.fleet.issue_orders("w0", &harness.table).acknowledged, 0);
    harness.commit_ends(receipt);
    assert_eq!(harness.fleet.issue_orders("w0", &harness.table).acknowledged, 1);
    let repeated = report_failure(&mut harness, 1, 0);
    assert!(repeated.ends.is_empty(), "it counts once: {repeated:?}");
    harness.end(task_id(1, 0, 0), 2, Exit::Failed);
    assert_eq!(harness.phase(1), "failed", "both of two attempts have failed");
}

#[test]
fn a_late_failure_of_a_gang_counts_once() {
    let mut harness = Harness::with_workers(2);
    harness.submit(1, "large", vec![gang(2)]);
    for index in [0, 1] {
        harness.start(task_id(1, 0, index), 1, "w0");
    }
    for index in [0, 1] {
        harness.end(task_id(1, 0, index), 1, Exit::Lapsed);
    }
    for index in [0, 1] {
        harness.start(task_id(1, 0, index), 2, "w1");
    }
    for index in [0, 1] {
        let receipt = report_failure(&mut harness, u64::from(index) + 1, index);
        harness.commit_ends(receipt);
    }
    assert_eq!(harness.phase(1), "running", "one of two attempts has failed");
}

/// Heartbeats without a clock are another writer's, however many of them follow answers.
#[test]
fn a_worker_without_a_clock_gets_no_work() {
    let mut harness = Harness::new();
    harness.submit(1, "small", vec![step(1)]);
    for _ in 0..5 {
        harness.receive_heartbeat("w0", |heartbeat| heartbeat.clock_ms = None);
        harness.answer_heartbeat("w0");
        assert!(harness.run_round().round.starts.is_empty());
    }
}

#[rstest]
#[case::usual("w0", 1, 1_700_000_000_000, false)]
#[case::without_a_start_time("w0", 1, 0, false)]
#[case::fast_clock("w0", 1, 1_700_000_060_000, false)]
#[case::longest_name(&"w".repeat(256), 1, 1, false)]
#[case::long_name(&"w".repeat(257), 1, 1, true)]
#[case::largest_sequence_number("w0", 1 << 53, 1, false)]
#[case::sequence_number_too_large("w0", (1 << 53) + 1, 1, true)]
#[case::starts_next_week("w0", 1, 1_700_604_800_000, true)]
#[case::start_time_too_large("w0", 1, u64::MAX, true)]
fn a_heartbeat_that_no_worker_can_have_sent_is_faulty(
    #[case] worker: &str,
    #[case] sequence: u64,
    #[case] incarnation: u64,
    #[case] expected: bool,
) {
    let mut harness = Harness::with_workers(1);
    harness.receive_heartbeat("w0", |_| {});
    let known = &harness.fleet.session("w0").expect("it is known").heartbeat;
    let heartbeat = Heartbeat { worker: worker.into(), sequence, incarnation, ..known.clone() };
    let fault = heartbeat.fault(1_700_000_000_000);
    assert_eq!(fault.is_some(), expected, "{fault:?}");
}

/// A heartbeat of another writer may claim any capacity. It neither makes a busy pool look idle, nor a
/// job satisfiable.
#[test]
fn an_unconfirmed_worker_is_no_capacity() {
    let mut harness = Harness::with_workers(2);
    harness.submit(1, "small", vec![step(16)]);
    harness.run_round();
    let too_large = gang(3);
    let claim = |harness: &mut Harness| {
        harness.receive_heartbeat("w9", |heartbeat| {
            heartbeat.capacity.accelerators = u32::MAX;
            heartbeat.capacity.cpu_milli = u64::MAX;
            heartbeat.capacity.memory_mb = u64::MAX;
        });
        let workers = harness.fleet.workers(&harness.table, harness.now_ms);
        let step = find_unsatisfiable_step(&workers, "pool", std::slice::from_ref(&too_large));
        (harness.run_round().utilization["pool"], step)
    };
    assert_eq!(claim(&mut harness), (1.0, Some(0)));
    harness.answer_heartbeat("w9");
    let (utilization, step) = claim(&mut harness);
    assert!(utilization < 0.01 && step.is_none(), "it answers to this leader: {utilization}");
}

/// Guards against a heartbeat of another writer, with a pool that no configuration names, which counts as a restart
/// of the worker: its tasks would start elsewhere while they go on.
#[rstest]
#[case::of_a_busy_worker("w0", true, true)]
#[case::of_an_idle_worker("w1", true, true)]
#[case::of_a_busy_worker_under_a_new_leader("w0", false, true)]
#[case::of_an_unknown_worker("w9", true, false)]
fn a_heartbeat_of_an_unknown_pool_changes_no_worker(
    #[case] worker: &str,
    #[case] is_leader_old: bool,
    #[case] is_ignored: bool,
) {
    let mut harness = with_running_task();
    if !is_leader_old {
        harness.fleet = eelgrassvalve::batch::fleet::Fleet::default();
    }
    let receipt = harness.receive_heartbeat(worker, |heartbeat| {
        heartbeat.pool = "print-room".into();
        heartbeat.incarnation = 2;
        heartbeat.running.clear();
    });
    assert_eq!((receipt.is_ignored, receipt.ends), (is_ignored, Vec::new()));
    harness.answer_heartbeats_of(["w0", "w1"]);
    let workers = harness.fleet.workers(&harness.table, harness.now_ms);
    let of_pool = workers.iter().filter(|known| known.pool == "pool" && known.incarnation == 1);
    assert_eq!(of_pool.count(), 2);
    assert_eq!(harness.worker_of(task_id(1, 0, 0)), Some("w0".into()));
}

/// The workers of a pool that the configuration no longer names finish their work.
#[test]
fn workers_of_a_removed_pool_are_heard() {
    let mut harness = with_running_task();
    let document = Document { revision: 2, ..Document::default() };
    harness.apply(Command::Publish(document.into()));
    assert!(!harness.receive_heartbeat("w0", |_| {}).is_ignored);
    harness.fleet = eelgrassvalve::batch::fleet::Fleet::default();
    assert!(!harness.receive_heartbeat("w0", |_| {}).is_ignored, "by a new leader too");
    harness.apply(Command::Cancel(Id(1)));
    assert!(!harness.receive_heartbeat("w0", |_| {}).is_ignored);
    assert_eq!(harness.fleet.issue_orders("w0", &harness.table).stop.len(), 0);
}

/// Guards against jobs that are placed on a worker which has crashed, and so count as begun, at once and when they
/// wait again.
#[test]
fn jobs_that_were_placed_and_never_begun_are_pending() {
    let mut harness = Harness::with_workers(1);
    for job in 1..=6 {
        harness.submit(job, "small", vec![step(1)]);
    }
    let pending = |harness: &Harness| harness.fleet.count_pending(&harness.table, "small");
    assert_eq!(harness.run_round().round.starts.len(), 6);
    assert_eq!(pending(&harness), 6);
    harness.now_ms += lease_bound_ms(LEASE_MS);
    let ends = harness.fleet.pending_ends(&harness.table, 0, harness.now_ms);
    assert_eq!(ends.len(), 6);
    harness.apply(Command::Round(Round { ends, ..Round::default() }));
    assert_eq!(pending(&harness), 6);
}

/// A job that has begun is no longer pending, whatever becomes of its run.
#[rstest]
#[case::stopped(Exit::Stopped, 0)]
#[case::lapsed(Exit::Lapsed, 0)]
#[case::failed(Exit::Failed, 0)]
#[case::refused_before_it_began(Exit::Refused, 1)]
fn a_job_that_has_begun_is_not_pending(#[case] how: Exit, #[case] expected: u64) {
    let mut harness = Harness::with_workers(1);
    harness.submit(1, "small", vec![step(1)]);
    harness.run_round();
    harness.receive_heartbeat("w0", |heartbeat| {
        if how == Exit::Refused {
            heartbeat.running.clear();
        }
    });
    let receipt = harness.receive_heartbeat("w0", |heartbeat| {
        heartbeat.running.clear();
        heartbeat.ended = vec![run_end(1, how)];
    });
    harness.commit_ends(receipt);
    assert_eq!(harness.fleet.count_pending(&harness.table, "small"), expected);
}

/// A new leader counts a job as begun until it has heard the worker on which it is placed.
#[rstest]
#[case::runs(true, 0)]
#[case::never_began(false, 1)]
fn a_new_leader_learns_from_heartbeats_which_jobs_have_begun(
    #[case] is_listed: bool,
    #[case] expected: u64,
) {
    let mut harness = Harness::with_workers(1);
    harness.submit(1, "small", vec![step(1)]);
    harness.run_round();
    harness.fleet = eelgrassvalve::batch::fleet::Fleet::default();
    let pending = |harness: &Harness| harness.fleet.count_pending(&harness.table, "small");
    assert_eq!(pending(&harness), 0);
    harness.receive_heartbeat("w0", |heartbeat| {
        if !is_listed {
            heartbeat.running.clear();
        }
    });
    assert_eq!(pending(&harness), expected);
}
