//! A crowd of accepted jobs: whose further jobs are refused, and when their callers may return.

use eelgrassvalve::batch::job::{Id, Schedule, Spec, Step, TaskId};
use eelgrassvalve::batch::room::{self, Room, submission_bytes};
use eelgrassvalve::batch::table::{Command, End, Round, Start, Submission, Table};
use eelgrassvalve::batch::worker::Exit;
use rstest::rstest;

/// Size of the room in these tests, in bytes.
const ROOM_BYTES: u64 = 100_000;
/// Size of the jobs that are handed in, in bytes.
const JOB_BYTES: u64 = 1_000;

/// A room of which these customers hold so many bytes.
fn room(held: &[(&str, u64)]) -> Room {
    let mut room = Room::new(ROOM_BYTES);
    for (number, (customer, bytes)) in (1..).zip(held) {
        room.propose(Id(number), customer, *bytes, 0);
    }
    room
}

fn submission(id: u64, customer: &str, spec: Spec) -> Submission {
    let terms = eelgrassvalve::batch::document::Terms {
        pool: "pool".into(),
        priority: 1,
        attempts: 2,
        stretch: 2.0,
        target_ms: 1_000,
    };
    Submission {
        id: Id(id),
        queue: "queue".into(),
        address: String::new(),
        customer: customer.into(),
        terms,
        spec,
    }
}

fn spec(payload_bytes: usize, count: u32) -> Spec {
    let steps = vec![Step { count, ..Step::default() }];
    Spec { payload: "p".repeat(payload_bytes), steps, schedule: None }
}

#[rstest]
#[case::empty_room(&[], "crowd", false, true)]
#[case::crowd_has_its_part(&[("crowd", 80_000)], "crowd", false, false)]
#[case::another_customer_fits_beside_the_crowd(&[("crowd", 79_000)], "other", false, true)]
#[case::guarantee_fits_beside_its_own_crowd(&[("crowd", 79_000)], "crowd", true, true)]
#[case::two_crowds_leave_room_for_a_third(&[("crowd", 44_000), ("flood", 44_000)], "other", false, true)]
#[case::two_crowds_are_both_refused(&[("crowd", 44_000), ("flood", 44_000)], "flood", false, false)]
#[case::smaller_crowd_goes_on(&[("crowd", 60_000), ("flood", 10_000)], "flood", false, true)]
#[case::room_is_full(&[("crowd", 50_000), ("flood", 49_500)], "other", false, false)]
#[case::full_for_guarantees_too(&[("crowd", 50_000), ("flood", 49_500)], "other", true, false)]
fn customer_that_holds_most_is_refused_first(
    #[case] held: &[(&str, u64)],
    #[case] customer: &str,
    #[case] is_guaranteed: bool,
    #[case] fits: bool,
) {
    assert_eq!(room(held).check(customer, JOB_BYTES, is_guaranteed).is_ok(), fits);
}

#[test]
fn customer_of_a_crowd_stops_before_the_room_is_full() {
    let mut room = Room::new(ROOM_BYTES);
    for number in 1.. {
        if room.check("crowd", JOB_BYTES, false).is_err() {
            break;
        }
        room.propose(Id(number), "crowd", JOB_BYTES, 0);
    }
    assert!(room.held_bytes() <= ROOM_BYTES * 4 / 5, "{} bytes", room.held_bytes());
    assert!(room.held_bytes() >= ROOM_BYTES / 2, "{} bytes", room.held_bytes());
}

#[test]
fn proposed_job_holds_room_once_however_often_it_is_sent() {
    let mut room = room(&[("crowd", JOB_BYTES)]);
    room.propose(Id(1), "crowd", JOB_BYTES, 10);
    assert_eq!(room.held_bytes(), JOB_BYTES);
    assert!(room.is_proposed(Id(1)));
}

/// Bytes that end while the room is watched, and the delay that a refused caller is told, in seconds.
#[rstest]
#[case::nothing_ends(0, 60)]
#[case::little_ends(3_000, 8)]
#[case::much_ends(60_000, 1)]
fn refused_caller_returns_when_room_is_expected(#[case] ended_bytes: usize, #[case] delay_s: u64) {
    let mut table = Table::default();
    let ending = submission(1, "other", spec(ended_bytes, 1));
    table.apply(&Command::Submit(Box::new(ending)), 1_000).expect("a submission");
    let mut room = Room::new(ROOM_BYTES + ended_bytes as u64);
    room.update(&table, 1_000);
    if ended_bytes > 0 {
        table.apply(&Command::Cancel(Id(1)), 2_000).expect("a cancellation");
    }
    room.update(&table, 2_000);
    let crowd_bytes = ROOM_BYTES + ended_bytes as u64 - room.held_bytes() - 1_000;
    room.propose(Id(2), "crowd", crowd_bytes, 2_000);
    let refusal = room.check("crowd", 2_000, true).expect_err("a refusal");
    assert_eq!(refusal.retry_after().as_secs(), delay_s);
}

#[test]
fn ended_jobs_hold_room_until_they_are_forgotten() {
    let mut table = Table::default();
    let job = submission(1, "crowd", spec(50_000, 100));
    let accepted_bytes = submission_bytes(&job);
    assert!(accepted_bytes > 50_000);
    table.apply(&Command::Submit(Box::new(job)), 1_000).expect("a submission");
    let mut room = Room::new(ROOM_BYTES);
    room.update(&table, 1_000);
    assert_eq!(room.held_bytes(), accepted_bytes);
    table.apply(&Command::Cancel(Id(1)), 2_000).expect("a cancellation");
    room.update(&table, 3_000);
    assert!((1..2_000).contains(&room.held_bytes()), "{} bytes", room.held_bytes());
    table.apply(&Command::Cancel(Id(2)), 1_000_000).expect("a cancellation");
    room.update(&table, 5_000);
    assert_eq!(room.held_bytes(), 0);
}

#[rstest]
#[case::tasks_that_wait_cost_nothing(spec(0, 1), spec(0, 10_000), 0)]
#[case::payload(spec(0, 1), spec(4_000, 1), 4_000)]
#[case::occurrences_that_may_be_open(spec(0, 1), Spec { schedule: Some(Schedule { count: 1_001, first_ms: 0, interval_ms: 0 }), ..spec(0, 1) }, 128_000)]
#[case::occurrences_that_can_never_be_open(spec(0, 10_000), Spec { schedule: Some(Schedule { count: 1_001, first_ms: 0, interval_ms: 0 }), ..spec(0, 10_000) }, 0)]
fn job_is_counted_by_what_it_can_become(#[case] one: Spec, #[case] other: Spec, #[case] more: u64) {
    let bytes = |spec: Spec| submission_bytes(&submission(1, "crowd", spec));
    assert_eq!(bytes(other), bytes(one) + more);
}

/// Guards against a customer whose running tasks take the room of everybody's new jobs: runs have a limit of their
/// own, and tasks that have run count.
#[rstest]
#[case::running(None, 0)]
#[case::done(Some(Exit::Done), 256)]
#[case::failed(Some(Exit::Failed), 256)]
fn only_tasks_that_have_run_hold_room(#[case] how: Option<Exit>, #[case] bytes_each: u64) {
    let mut table = Table::default();
    table.apply(&Command::Submit(Box::new(submission(1, "crowd", spec(0, 101)))), 0).unwrap();
    let job = |table: &Table| room::job_bytes(table.job(Id(1)).expect("the job is accepted"));
    let waiting_bytes = job(&table);
    for index in 0..100 {
        let task = TaskId { job: Id(1), occurrence: 0, step: 0, index };
        let start = Start { task, run: 1, worker: "w0".into(), incarnation: 1 };
        let ends = how.map(|how| End { task, run: 1, how, checkpoint: String::new() });
        let starts = Round { starts: vec![start], ..Round::default() };
        let ends = Round { ends: ends.into_iter().collect(), ..Round::default() };
        table.apply(&Command::Round(starts), 0).unwrap();
        table.apply(&Command::Round(ends), 0).unwrap();
    }
    assert_eq!(job(&table) - waiting_bytes, 100 * bytes_each);
}
