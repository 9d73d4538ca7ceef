//! Workers that fail or stall what they run: whom work leaves.

mod support;

use support::batch::{Harness, step, task_id};

#[test]
fn a_worker_that_is_excluded_gets_its_next_chance_later_each_time() {
    let mut desk = Harness::with_workers(1);
    let mut pauses = Vec::new();
    for _ in 0..3 {
        desk.fleet.exclude("w0", desk.now_ms);
        let begun_ms = desk.now_ms;
        while !desk.fleet.workers(&desk.table, desk.now_ms)[0].is_open {
            desk.now_ms += 100;
            desk.receive_heartbeat("w0", |_| {});
        }
        pauses.push(desk.now_ms - begun_ms);
    }
    assert!(pauses[0] < pauses[1] && pauses[1] < pauses[2], "{pauses:?}");
}

#[test]
fn a_task_goes_elsewhere_after_it_failed() {
    let mut desk = Harness::with_workers(2);
    desk.submit(1, "small", vec![step(1)]);
    desk.run_round();
    let first = desk.worker_of(task_id(1, 0, 0)).expect("is placed");
    desk.end(task_id(1, 0, 0), 1, eelgrassvalve::batch::worker::Exit::Failed);
    desk.receive_heartbeats(2);
    desk.run_round();
    assert_ne!(desk.worker_of(task_id(1, 0, 0)).expect("is placed again"), first);
}
