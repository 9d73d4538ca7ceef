//! What a leader orders while the ends of runs are being committed.

mod support;

use eelgrassvalve::batch::fleet::lease_bound_ms;
use eelgrassvalve::batch::table::{Command, End as Ended, Round};
use eelgrassvalve::batch::worker::{End, Exit};
use rstest::rstest;
use support::batch::{Harness, LEASE_MS, gang, step, task_id};

/// A task that was placed on `w0`, which has not received the start order.
fn with_undelivered_start() -> Harness {
    let mut harness = Harness::with_workers(2);
    harness.submit(1, "small", vec![step(1)]);
    harness.start(task_id(1, 0, 0), 1, "w0");
    harness
}

fn pending_ends(harness: &mut Harness) -> Vec<Ended> {
    let (fleet, table) = (&mut harness.fleet, &harness.table);
    fleet.pending_ends(table, harness.now_ms, harness.now_ms)
}

fn commit(harness: &mut Harness, ends: Vec<Ended>) {
    harness.apply(Command::Round(Round { ends, ..Round::default() }));
}

/// Starts that `w0` is ordered to make after a heartbeat that lists no runs.
fn starts_of_idle_worker(harness: &mut Harness) -> usize {
    harness.receive_heartbeat("w0", |heartbeat| heartbeat.running.clear());
    harness.answer_heartbeat("w0");
    harness.fleet.issue_orders("w0", &harness.table).start.len()
}

/// Guards against two runs of a task: its worker is heard again after its run was declared lost, and
/// before that is committed. The start order that it missed must not be sent any more.
#[rstest]
#[case::lease_expired(false, lease_bound_ms(LEASE_MS))]
#[case::long_silent(false, 60_000)]
#[case::left(true, 1_000)]
fn a_run_whose_loss_is_being_committed_is_not_started(
    #[case] leaves: bool,
    #[case] silent_ms: u64,
) {
    let mut harness = with_undelivered_start();
    if leaves {
        harness.fleet.mark_leaving("w0", Some(1), harness.now_ms);
    }
    harness.now_ms += silent_ms;
    let ends = pending_ends(&mut harness);
    assert_eq!(ends.len(), 1);
    for _ in 0..3 {
        assert_eq!(starts_of_idle_worker(&mut harness), 0);
        harness.now_ms += 20;
    }
    commit(&mut harness, ends);
    assert_eq!(starts_of_idle_worker(&mut harness), 0);
}

/// The outcome of a proposal may be unknown: the end is proposed until the table has it, though the
/// worker is in touch again meanwhile.
#[test]
fn a_lost_run_stays_lost_until_the_table_has_its_end() {
    let mut harness = with_undelivered_start();
    harness.now_ms += lease_bound_ms(LEASE_MS);
    let ends = pending_ends(&mut harness);
    assert_eq!(starts_of_idle_worker(&mut harness), 0);
    assert_eq!(pending_ends(&mut harness), ends);
    commit(&mut harness, ends);
    assert_eq!(pending_ends(&mut harness), []);
    harness.start(task_id(1, 0, 0), 2, "w0");
    assert_eq!(starts_of_idle_worker(&mut harness), 1, "the next run is started");
}

#[test]
fn a_run_that_was_declared_lost_is_stopped_if_it_is_listed() {
    let mut harness = with_undelivered_start();
    harness.now_ms += lease_bound_ms(LEASE_MS);
    pending_ends(&mut harness);
    harness.receive_heartbeat("w0", |_| {});
    let orders = harness.fleet.issue_orders("w0", &harness.table);
    assert_eq!(orders.stop, [(task_id(1, 0, 0), 1)]);
}

/// A task of a gang has ended, so that the others are about to be stopped: none of them starts while
/// that is being committed.
#[rstest]
#[case::failed(Exit::Failed)]
#[case::stopped(Exit::Stopped)]
#[case::alone(Exit::Alone)]
fn a_gang_of_which_a_task_has_ended_is_not_started(#[case] how: Exit) {
    let mut harness = Harness::with_workers(2);
    harness.submit(1, "small", vec![gang(2)]);
    harness.start(task_id(1, 0, 0), 1, "w0");
    harness.start(task_id(1, 0, 1), 1, "w1");
    assert_eq!(starts_of_idle_worker(&mut harness), 1);
    let task = task_id(1, 0, 1);
    harness.receive_heartbeat("w1", |heartbeat| {
        heartbeat.running.clear();
        heartbeat.ended = vec![End { number: 1, task, run: 1, how, checkpoint: String::new() }];
    });
    assert_eq!(starts_of_idle_worker(&mut harness), 0);
}

/// A worker reports how a run ended, and the leader infers that it was lost, in either order: the
/// report counts.
#[rstest]
#[case::declared_lost_before(true)]
#[case::restarted_afterwards(false)]
fn a_reported_end_goes_before_an_inferred_one(#[case] is_lost_before: bool) {
    let mut harness = with_undelivered_start();
    if is_lost_before {
        harness.now_ms += lease_bound_ms(LEASE_MS);
        pending_ends(&mut harness);
    }
    let task = task_id(1, 0, 0);
    harness.receive_heartbeat("w0", |heartbeat| {
        heartbeat.running.clear();
        heartbeat.ended =
            vec![End { number: 1, task, run: 1, how: Exit::Done, checkpoint: String::new() }];
    });
    if !is_lost_before {
        let receipt = harness.receive_heartbeat("w0", |heartbeat| {
            heartbeat.incarnation = 2;
            heartbeat.running.clear();
        });
        assert_eq!(receipt.ends.len(), 1);
    }
    let ends = pending_ends(&mut harness);
    assert_eq!(ends.iter().map(|end| end.how).collect::<Vec<_>>(), [Exit::Done]);
    commit(&mut harness, ends);
    assert_eq!(harness.phase(1), "completed");
}
