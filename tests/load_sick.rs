//! Workers that fail or stall their runs: how long they are excluded, and where failed tasks go.

mod support;

use support::batch::{Harness, step, task_id};

#[test]
fn each_exclusion_of_a_worker_lasts_longer() {
    let mut desk = Harness::with_workers(1);
    let mut exclusions_ms = Vec::new();
    for _ in 0..3 {
        desk.fleet.exclude("w0", desk.now_ms);
        let excluded_ms = desk.now_ms;
        while !desk.fleet.workers(&desk.table, desk.now_ms)[0].is_open {
            desk.now_ms += 100;
            desk.receive_heartbeat("w0", |_| {});
        }
        exclusions_ms.push(desk.now_ms - excluded_ms);
    }
    assert!(
        exclusions_ms[0] < exclusions_ms[1] && exclusions_ms[1] < exclusions_ms[2],
        "{exclusions_ms:?}"
    );
}

#[test]
fn a_failed_task_is_placed_on_another_worker() {
    let mut desk = Harness::with_workers(2);
    desk.submit(1, "small", vec![step(1)]);
    desk.run_round();
    let first_worker = desk.worker_of(task_id(1, 0, 0)).expect("the task is placed");
    desk.end(task_id(1, 0, 0), 1, eelgrassvalve::batch::worker::Exit::Failed);
    desk.receive_heartbeats(2);
    desk.run_round();
    assert_ne!(desk.worker_of(task_id(1, 0, 0)).expect("the task is placed again"), first_worker);
}
