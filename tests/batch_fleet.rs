//! What a leader concludes from heartbeats: ends, losses, orders, acknowledgements.

mod support;

use eelgrassvalve::batch::fleet::lease_bound_ms;
use eelgrassvalve::batch::job::Id;
use eelgrassvalve::batch::table::Command;
use eelgrassvalve::batch::worker::{End, Exit, Heartbeat};
use rstest::rstest;
use support::batch::{Harness, LEASE_MS, step, task_id};

/// One job of one task that has its place on `w0`, as its worker knows.
fn running() -> Harness {
    let mut desk = Harness::with_workers(2);
    desk.submit(1, "small", vec![step(1)]);
    desk.start(task_id(1, 0, 0), 1, "w0");
    desk.receive_heartbeat("w0", |_| {});
    desk
}

fn end(number: u64, how: Exit) -> End {
    End { number, task: task_id(1, 0, 0), run: 1, how, checkpoint: String::new() }
}

#[test]
fn a_start_is_told_until_a_heartbeat_shows_it() {
    let mut desk = Harness::with_workers(1);
    desk.submit(1, "small", vec![step(1)]);
    desk.run_round();
    for _ in 0..2 {
        desk.receive_heartbeat("w0", |beat| beat.running.clear());
        let orders = desk.fleet.issue_orders("w0", &desk.table);
        assert_eq!(orders.start.len(), 1);
        assert_eq!(orders.start[0].payload, "text");
    }
    desk.receive_heartbeat("w0", |_| {});
    assert!(desk.fleet.issue_orders("w0", &desk.table).start.is_empty());
}

#[test]
fn an_end_is_acknowledged_only_once_it_is_stored() {
    let mut desk = running();
    let heard = desk.receive_heartbeat("w0", |beat| {
        beat.running.clear();
        beat.ended = vec![end(7, Exit::Done)];
    });
    assert_eq!(desk.fleet.issue_orders("w0", &desk.table).acknowledged, 0);
    desk.commit_ends(heard);
    assert_eq!(desk.fleet.issue_orders("w0", &desk.table).acknowledged, 7);
    assert_eq!(desk.phase(1), "completed");
}

#[test]
fn ends_of_runs_that_count_no_more_are_acknowledged_too() {
    let mut desk = running();
    desk.apply(Command::Cancel(Id(1)));
    let heard = desk.receive_heartbeat("w0", |beat| beat.ended = vec![end(3, Exit::Done)]);
    assert!(heard.ends.is_empty());
    assert_eq!(desk.fleet.issue_orders("w0", &desk.table).acknowledged, 3);
}

#[rstest]
#[case::sent_again(0, true)]
#[case::newer(1, false)]
fn late_heartbeats_change_nothing(#[case] later: u64, #[case] is_stale: bool) {
    let mut desk = running();
    let sequence = desk.fleet.session("w0").expect("is known").heartbeat.sequence;
    let heard = desk.receive_heartbeat("w0", |beat| {
        beat.sequence = sequence + later;
        beat.running.clear();
        beat.ended = vec![end(1, Exit::Failed)];
    });
    assert_eq!(heard.is_stale, is_stale);
    assert_eq!(heard.ends.is_empty(), is_stale);
}

#[test]
fn a_heartbeat_of_an_earlier_incarnation_is_late() {
    let mut desk = Harness::with_workers(1);
    desk.receive_heartbeat("w0", |beat| beat.incarnation = 5);
    let heard = desk.receive_heartbeat("w0", |beat| {
        beat.incarnation = 4;
        beat.sequence = 1_000;
    });
    assert!(heard.is_stale);
}

#[test]
fn a_newer_incarnation_holds_nothing_of_before() {
    let mut desk = running();
    let heard = desk.receive_heartbeat("w0", |beat| {
        beat.incarnation = 2;
        beat.sequence = 1;
        beat.running.clear();
    });
    assert_eq!(heard.ends.iter().map(|end| end.how).collect::<Vec<_>>(), [Exit::Lapsed]);
}

#[test]
fn a_worker_that_left_loses_its_runs_and_is_not_heard_again() {
    let mut desk = running();
    desk.fleet.mark_leaving("w0", None, desk.now_ms);
    assert!(desk.fleet.lost_runs(&desk.table, 0, desk.now_ms).is_empty());
    desk.now_ms += 1_000;
    let lost = desk.fleet.lost_runs(&desk.table, 0, desk.now_ms);
    assert_eq!(lost.len(), 1);
    desk.end(task_id(1, 0, 0), 1, Exit::Lapsed);
    desk.fleet.remove_departed(desk.now_ms);
    assert!(desk.receive_heartbeat("w0", |beat| beat.sequence = 1_000).is_stale);
    assert!(!desk.receive_heartbeat("w0", |beat| beat.incarnation = 2).is_stale);
}

/// Found on the day frozen-leader: a worker's last end and its leave come at the same moment, in
/// either order, and a task that was done ran again.
#[rstest]
#[case::at_once(5)]
#[case::after_an_answer_that_was_held(700)]
fn an_end_that_comes_right_after_its_worker_left_counts(#[case] late_ms: u64) {
    let mut desk = running();
    desk.fleet.mark_leaving("w0", None, desk.now_ms);
    desk.now_ms += late_ms;
    assert!(desk.fleet.lost_runs(&desk.table, 0, desk.now_ms).is_empty());
    desk.fleet.remove_departed(desk.now_ms);
    let heard = desk.receive_heartbeat("w0", |beat| {
        beat.is_draining = true;
        beat.running.clear();
        beat.ended = vec![end(1, Exit::Done)];
    });
    desk.commit_ends(heard);
    assert_eq!(desk.phase(1), "completed");
}

#[rstest]
#[case::of_this_life(Some(5), 0)]
#[case::untold(None, 0)]
#[case::of_an_earlier_life(Some(4), 1)]
fn a_late_leave_of_an_earlier_life_changes_nothing(
    #[case] left: Option<u64>,
    #[case] placed: usize,
) {
    let mut desk = Harness::with_workers(1);
    desk.receive_heartbeat("w0", |beat| beat.incarnation = 5);
    desk.fleet.mark_leaving("w0", left, desk.now_ms);
    desk.submit(1, "small", vec![step(1)]);
    assert_eq!(desk.run_round().round.starts.len(), placed);
}

/// Found on trouble-3 of Attica: a held heartbeat kept a leaving worker from listing its last end.
#[test]
fn heartbeats_of_a_draining_worker_are_not_held() {
    let mut desk = running();
    // Half done after four seconds: without the drain the next end would be four seconds away.
    desk.now_ms += 4_000;
    desk.receive_heartbeat("w0", |beat| beat.is_draining = true);
    let session = desk.fleet.session("w0").expect("is known");
    assert_eq!(session.next_end_ms(&desk.table, desk.now_ms), Some(0));
}

/// Found on leaving-runners of Attica: a run that was done 20 ms before its worker left was never
/// listed, and ran again.
#[rstest]
#[case::time_enough(Some(1_500), 0)]
#[case::about_to_leave(Some(900), 1)]
#[case::untold(None, 0)]
fn runs_are_stopped_before_their_worker_leaves(
    #[case] remaining_ms: Option<u64>,
    #[case] stopped: usize,
) {
    let mut desk = running();
    desk.receive_heartbeat("w0", |beat| {
        beat.is_draining = true;
        beat.remaining_ms = remaining_ms;
    });
    assert_eq!(desk.fleet.runs_to_evacuate(&desk.table, desk.now_ms).len(), stopped);
    let is_later_too = remaining_ms.is_some();
    assert_eq!(
        !desk.fleet.runs_to_evacuate(&desk.table, desk.now_ms + 600).is_empty(),
        is_later_too
    );
}

#[test]
fn a_worker_that_left_gets_no_work() {
    let mut desk = Harness::with_workers(1);
    desk.fleet.mark_leaving("w0", None, desk.now_ms);
    desk.submit(1, "small", vec![step(1)]);
    assert!(desk.run_round().round.starts.is_empty());
    desk.receive_heartbeat("w0", |_| {});
    assert!(desk.run_round().round.starts.is_empty(), "a late heartbeat opens nothing");
}

/// A new leader that never heard the worker may learn of its leave first.
#[test]
fn runs_of_a_worker_that_only_its_leave_is_known_of_are_lost_soon() {
    let mut desk = running();
    desk.fleet = eelgrassvalve::batch::fleet::Fleet::default();
    desk.fleet.mark_leaving("w0", None, desk.now_ms);
    let unheard_until_ms = desk.now_ms + 7_000;
    assert!(desk.fleet.lost_runs(&desk.table, unheard_until_ms, desk.now_ms).is_empty());
    assert_eq!(desk.fleet.lost_runs(&desk.table, unheard_until_ms, desk.now_ms + 1_000).len(), 1);
}

#[rstest]
#[case::lease_may_run(lease_bound_ms(LEASE_MS) - 1, 0)]
#[case::lease_has_ended(lease_bound_ms(LEASE_MS), 1)]
fn a_silent_worker_is_lost_once_its_lease_has_ended(#[case] after_ms: u64, #[case] lost: usize) {
    let desk = running();
    let now_ms = desk.now_ms + after_ms;
    assert_eq!(desk.fleet.lost_runs(&desk.table, 0, now_ms).len(), lost);
}

#[test]
fn the_bound_of_a_lease_covers_a_clock_that_is_two_percent_slow() {
    for lease_ms in [100, 3_000, 6_000, 10_000] {
        assert!(lease_bound_ms(lease_ms) > lease_ms * 102 / 100);
    }
}

#[test]
fn workers_that_a_new_leader_never_heard_count_from_its_election() {
    let desk = running();
    let empty = eelgrassvalve::batch::fleet::Fleet::default();
    assert!(empty.lost_runs(&desk.table, 5_000, 4_999).is_empty());
    assert_eq!(empty.lost_runs(&desk.table, 5_000, 5_000).len(), 1);
}

#[test]
fn what_the_table_does_not_place_there_is_stopped() {
    let mut desk = running();
    desk.apply(Command::Cancel(Id(1)));
    let orders = desk.fleet.issue_orders("w0", &desk.table);
    assert_eq!(orders.stop, [(task_id(1, 0, 0), 1)]);
}

fn draining(beat: &mut Heartbeat) {
    beat.is_draining = true;
}

#[test]
fn a_draining_worker_is_told_no_start_and_gives_unstarted_runs_back() {
    let mut desk = Harness::with_workers(1);
    desk.submit(1, "small", vec![step(1)]);
    desk.run_round();
    let heard = desk.receive_heartbeat("w0", |beat| {
        draining(beat);
        beat.running.clear();
    });
    assert!(desk.fleet.issue_orders("w0", &desk.table).start.is_empty());
    assert_eq!(heard.ends.len(), 1);
    desk.commit_ends(heard);
    assert!(desk.run_round().round.starts.is_empty(), "nothing is placed on a draining worker");
}

#[test]
fn a_run_that_was_never_told_and_must_stop_is_given_back() {
    let mut desk = Harness::with_workers(1);
    desk.submit(1, "small", vec![step(1)]);
    desk.run_round();
    let round = eelgrassvalve::batch::table::Round {
        stops: vec![(task_id(1, 0, 0), 1)],
        ..Default::default()
    };
    desk.apply(Command::Round(round));
    let heard = desk.receive_heartbeat("w0", |beat| beat.running.clear());
    assert_eq!(heard.ends.len(), 1);
}

#[test]
fn room_is_free_only_once_the_worker_lists_the_end() {
    let mut desk = running();
    desk.apply(Command::Cancel(Id(1)));
    let free = |desk: &Harness| desk.fleet.workers(&desk.table, desk.now_ms)[0].free.accelerators;
    assert_eq!(free(&desk), 7);
    desk.receive_heartbeat("w0", |beat| beat.ended = vec![end(1, Exit::Stopped)]);
    assert_eq!(free(&desk), 8);
}

#[test]
fn a_start_that_was_just_told_takes_room_even_when_its_job_is_cancelled() {
    let mut desk = Harness::with_workers(1);
    desk.submit(1, "small", vec![step(1)]);
    desk.run_round();
    desk.receive_heartbeat("w0", |beat| beat.running.clear());
    desk.fleet.issue_orders("w0", &desk.table);
    desk.apply(Command::Cancel(Id(1)));
    assert_eq!(desk.fleet.workers(&desk.table, desk.now_ms)[0].free.accelerators, 7);
}

/// Found on the calm day of Attica: members of gangs that had done their share were stopped.
#[rstest]
#[case::stands_still(50, 1)]
#[case::waits_for_the_others(100, 0)]
fn a_run_without_progress_is_stuck(#[case] percent: u8, #[case] stuck: usize) {
    let mut desk = running();
    for _ in 0..8 {
        desk.receive_heartbeat("w0", |beat| beat.running[0].percent = percent);
        desk.now_ms += 500;
    }
    assert_eq!(desk.fleet.stuck_runs(&desk.table).len(), stuck);
}

/// Cuts and changes of leader leave workers unheard for seconds, while their runs go on.
#[test]
fn a_run_on_a_silent_worker_is_not_stuck() {
    let mut desk = running();
    desk.receive_heartbeat("w0", |beat| beat.running[0].percent = 50);
    desk.now_ms += 5_000;
    assert!(desk.fleet.stuck_runs(&desk.table).is_empty());
    desk.receive_heartbeat("w0", |beat| beat.running[0].percent = 90);
    assert!(desk.fleet.stuck_runs(&desk.table).is_empty());
}

/// A task may fail by its own fault; a worker that fails two in a row is sick.
#[rstest]
#[case::one_failure(1, true)]
#[case::two_in_a_row(2, false)]
fn a_worker_that_fails_its_runs_gets_no_work_for_a_while(#[case] count: u32, #[case] open: bool) {
    let mut desk = Harness::with_workers(1);
    desk.submit(1, "small", vec![step(2)]);
    desk.run_round();
    let heard = desk.receive_heartbeat("w0", |beat| {
        beat.running.clear();
        for index in 0..count {
            let end = End { task: task_id(1, 0, index), ..end(1 + u64::from(index), Exit::Failed) };
            beat.ended.push(end);
        }
    });
    desk.commit_ends(heard);
    let is_open = |desk: &Harness| desk.fleet.workers(&desk.table, desk.now_ms)[0].is_open;
    assert_eq!(is_open(&desk), open);
    desk.now_ms += 2_000;
    desk.receive_heartbeat("w0", |_| {});
    assert!(is_open(&desk));
}

/// A held heartbeat delays the news of an end, so the hold stops before the next one.
#[rstest]
#[case::nothing_runs(None, None)]
#[case::half_done(Some(50), Some(4_000))]
#[case::nearly_done(Some(80), Some(1_000))]
#[case::waits_for_its_gang(Some(100), Some(0))]
fn the_next_end_is_foretold(#[case] percent: Option<u8>, #[case] next_ms: Option<u64>) {
    let mut desk = running();
    desk.now_ms += 4_000;
    desk.receive_heartbeat("w0", |beat| match percent {
        Some(percent) => beat.running[0].percent = percent,
        None => beat.running.clear(),
    });
    let session = desk.fleet.session("w0").expect("is known");
    assert_eq!(session.next_end_ms(&desk.table, desk.now_ms), next_ms);
}

/// As many heartbeats as a leader can answer, however many workers there are.
#[rstest]
#[case::small(48, 0, 100)]
#[case::grown(350, 0, 300)]
#[case::large(3_000, 1_500, 2_400)]
fn large_fleets_are_asked_for_fewer_heartbeats(
    #[case] workers: usize,
    #[case] least_ms: u64,
    #[case] most_ms: u64,
) {
    let mut desk = Harness::with_workers(0);
    desk.receive_heartbeats(workers);
    let interval_ms = desk.fleet.min_heartbeat_interval_ms();
    assert!((least_ms..most_ms).contains(&interval_ms), "{interval_ms}");
    assert!(interval_ms * 3 < LEASE_MS * 2, "two of three heartbeats may be lost within a lease");
}
