//! Workers that fail or stall their runs: how long they are excluded, and where failed tasks go.

mod support;

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
