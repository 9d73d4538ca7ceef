//! Long-running tasks that end by themselves while other work waits for capacity: they run again at once.

mod support;

use eelgrassvalve::batch::job::Step;
use eelgrassvalve::batch::worker::Exit;
use rstest::rstest;
use support::batch::{Harness, gang, step, task_id};

fn lasting(count: u32) -> Step {
    Step { is_lasting: true, ..step(count) }
}

/// The first task of job 1 ends in a way, and its worker is avoided no longer.
fn end_first_task(harness: &mut Harness, workers: usize, how: Exit) {
    harness.end(task_id(1, 0, 0), 1, how);
    harness.now_ms += 3_100;
    harness.receive_heartbeats(workers);
    harness.receive_heartbeats(workers);
}

/// Guards against a task that isn't started again for 20 s while a worker idles, since its room is reserved
/// for a gang that waits for the other workers.
#[rstest]
#[case::gang_of_two(4, gang(2), Exit::Failed)]
#[case::gang_of_two_after_a_lapse(4, gang(2), Exit::Lapsed)]
#[case::gang_of_many_small_tasks(4, Step { is_gang: true, ..step(16) }, Exit::Done)]
#[case::large_pool(24, gang(8), Exit::Failed)]
fn room_reserved_for_a_gang_is_open_to_a_task_that_ran_before(
    #[case] workers: usize,
    #[case] waiting: Step,
    #[case] how: Exit,
) {
    let mut harness = Harness::with_workers(workers);
    harness.submit(1, "small", vec![lasting(1)]);
    harness.run_round();
    let full = Step { is_gang: false, estimate_ms: 600_000, ..gang(workers as u32 - 1) };
    harness.submit(2, "large", vec![full]);
    harness.run_round();
    harness.receive_heartbeats(workers);
    harness.submit(3, "large", vec![waiting]);
    harness.run_round();
    end_first_task(&mut harness, workers, how);
    harness.run_round();
    assert!(harness.worker_of(task_id(1, 0, 0)).is_some());
}

/// Guards against a task that waits for room near its data for as long as the pool is busy.
#[test]
fn a_task_that_ran_before_runs_away_from_its_data_if_need_be() {
    let mut harness = Harness::with_workers(8);
    harness.submit(1, "small", vec![Step { data_rack: "r0".into(), ..lasting(1) }]);
    harness.run_round();
    let full = Step { is_gang: false, estimate_ms: 600_000, ..gang(7) };
    harness.submit(2, "large", vec![full]);
    harness.run_round();
    harness.receive_heartbeats(8);
    // Its place near the data is taken by the time that it may return.
    harness.end(task_id(1, 0, 0), 1, Exit::Failed);
    harness.submit(
        3,
        "large",
        vec![Step { data_rack: "r0".into(), estimate_ms: 600_000, ..step(8) }],
    );
    harness.run_round();
    harness.end(task_id(2, 0, 6), 1, Exit::Done);
    harness.now_ms += 3_100;
    harness.receive_heartbeats(8);
    harness.receive_heartbeats(8);
    harness.run_round();
    assert!(harness.worker_of(task_id(1, 0, 0)).is_some());
}

/// A task that never ran waits its turn: it can't take the room of more urgent work by lasting.
#[test]
fn a_task_that_never_ran_gets_no_precedence() {
    let mut harness = Harness::with_workers(1);
    harness.submit(1, "small", vec![lasting(8)]);
    harness.submit(2, "urgent", vec![step(8)]);
    harness.run_round();
    assert!(harness.worker_of(task_id(1, 0, 0)).is_none());
    assert!(harness.worker_of(task_id(2, 0, 0)).is_some());
}
