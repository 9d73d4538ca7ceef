//! Eviction on a full cluster: which runs are stopped for urgent jobs and guarantees.

mod support;

use eelgrassvalve::batch::job::{Resources, Step};
use eelgrassvalve::batch::table::Command;
use eelgrassvalve::batch::worker::Exit;
use rstest::rstest;
use support::batch::{Harness, gang, step, task_id};

/// A cluster whose only work is a gang that has taken every worker for `run_ms`.
fn full_cluster(run_ms: u64, victim: &Step) -> Harness {
    let count = victim.count as usize;
    let mut harness = Harness::with_workers(count);
    harness.submit(1, "large", vec![victim.clone()]);
    harness.run_round();
    harness.receive_heartbeats(count);
    harness.now_ms += run_ms;
    harness.receive_heartbeats(count);
    harness
}

fn urgent_gang(count: u32) -> Step {
    Step { estimate_ms: 2_500, ..gang(count) }
}

#[rstest]
#[case::at_once(0)]
#[case::after_1_2_s(1_200)]
#[case::after_3_s(3_000)]
fn runs_that_cost_more_than_the_urgent_job_justifies_are_not_evicted(#[case] waited_ms: u64) {
    let mut harness = full_cluster(20_000, &Step { estimate_ms: 60_000, ..gang(2) });
    harness.submit_as("without a guarantee", 2, "urgent", vec![urgent_gang(1)]);
    harness.now_ms += waited_ms;
    harness.receive_heartbeats(2);
    assert!(harness.run_round().round.stops.is_empty());
}

#[test]
fn a_gang_is_evicted_as_a_whole() {
    let mut harness = full_cluster(500, &gang(2));
    harness.submit(2, "urgent", vec![urgent_gang(1)]);
    assert_eq!(harness.run_round().round.stops.len(), 2);
}

/// Guards against urgent jobs that evict others only when any further wait would make them late: 15
/// of 19 late urgent jobs had then waited for more than 1.5 s.
#[test]
fn urgent_work_evicts_a_run_that_has_just_started_without_delay() {
    let mut harness = full_cluster(50, &gang(1));
    harness.submit(2, "urgent", vec![urgent_gang(1)]);
    assert_eq!(harness.run_round().round.stops.len(), 1);
}

/// Runs that have lasted 5.5 s are worth evicting for a large urgent gang but not for a small one.
#[rstest]
#[case::small(1, 1_000, 0)]
#[case::large(8, 12_000, 8)]
fn a_larger_urgent_job_justifies_costlier_evictions(
    #[case] tasks: u32,
    #[case] estimate_ms: u64,
    #[case] stop_count: usize,
) {
    let mut harness = Harness::with_workers(8);
    let long = Step { estimate_ms: 60_000, ..gang(1) };
    for job in 1..=8 {
        harness.submit(job, "large", vec![long.clone()]);
    }
    harness.run_round();
    harness.now_ms += 5_500;
    harness.receive_heartbeats(8);
    harness.submit_as(
        "without a guarantee",
        9,
        "urgent",
        vec![Step { estimate_ms, ..gang(tasks) }],
    );
    assert_eq!(harness.run_round().round.stops.len(), stop_count);
}

/// One worker runs a task of four accelerators, three cheaper tasks of one accelerator and a
/// costlier one. Evicting the first task alone frees the four accelerators that are needed.
#[test]
fn no_more_runs_are_evicted_than_needed() {
    let mut harness = Harness::with_workers(1);
    let half_worker = Resources { cpu_milli: 8_000, memory_mb: 20_000, accelerators: 4 };
    harness.submit(1, "small", vec![step(1)]);
    harness.run_round();
    harness.now_ms += 8_000;
    harness.receive_heartbeats(1);
    harness.submit(2, "small", vec![Step { demand: half_worker, ..step(1) }]);
    harness.submit(3, "small", vec![step(3)]);
    harness.run_round();
    harness.now_ms += 1_000;
    harness.receive_heartbeats(1);
    harness.submit(4, "urgent", vec![Step { demand: half_worker, ..step(1) }]);
    assert_eq!(harness.run_round().round.stops, [(task_id(2, 0, 0), 1)]);
}

/// Both gangs have run equally long; the queue `small` is less urgent than `large`.
#[test]
fn the_least_urgent_work_is_evicted_first() {
    let mut harness = Harness::with_workers(2);
    harness.submit(1, "large", vec![gang(1)]);
    harness.submit(2, "small", vec![gang(1)]);
    harness.run_round();
    harness.now_ms += 2_000;
    harness.receive_heartbeats(2);
    harness.submit(3, "urgent", vec![urgent_gang(1)]);
    let stops = harness.run_round().round.stops;
    assert_eq!(stops, [(task_id(2, 0, 0), 1)]);
}

#[test]
fn freed_capacity_is_held_for_the_job_that_caused_the_eviction() {
    let mut harness = full_cluster(500, &gang(2));
    harness.submit(2, "urgent", vec![urgent_gang(2)]);
    harness.now_ms += 1_200;
    harness.receive_heartbeats(2);
    assert_eq!(harness.run_round().round.stops.len(), 2);
    for index in 0..2 {
        harness.end(task_id(1, 0, index), 1, Exit::Stopped);
    }
    harness.receive_heartbeats(2);
    harness.submit(3, "small", vec![step(16)]);
    harness.run_round();
    let is_placed = |index| harness.worker_of(task_id(2, 0, index)).is_some();
    assert!(is_placed(0) && is_placed(1));
}

#[rstest]
#[case::covered_by_the_guarantee(16, true)]
#[case::not_covered(0, false)]
fn costly_runs_are_evicted_only_for_a_guarantee(#[case] guaranteed: u32, #[case] is_evicted: bool) {
    let mut harness = full_cluster(20_000, &Step { estimate_ms: 60_000, ..gang(4) });
    set_guarantee(&mut harness, guaranteed);
    harness.submit(2, "urgent", vec![urgent_gang(1)]);
    harness.now_ms += 3_300;
    harness.receive_heartbeats(4);
    assert_eq!(!harness.run_round().round.stops.is_empty(), is_evicted);
}

/// Guards against a guaranteed gang that starts too late (by 0.6 s when seen) because the rack of
/// its data is full of equally urgent work, which can't be evicted: runs in another rack have to be
/// evicted in time.
#[test]
fn a_due_guarantee_is_met_away_from_its_data_if_need_be() {
    let mut harness = Harness::with_workers(8);
    for (job, rack) in [(1, "r0"), (2, "r1")] {
        let queue = if job == 1 { "urgent" } else { "large" };
        harness.submit(job, queue, vec![Step { data_rack: rack.into(), ..gang(4) }]);
    }
    harness.run_round();
    harness.receive_heartbeats(8);
    set_guarantee(&mut harness, 64);
    harness.submit(3, "urgent", vec![Step { data_rack: "r0".into(), ..urgent_gang(2) }]);
    let deadline_ms = harness.now_ms + 5_900;
    let mut stops = Vec::new();
    while stops.is_empty() {
        harness.now_ms += 100;
        assert!(harness.now_ms < deadline_ms);
        harness.receive_heartbeats(8);
        stops = harness.run_round().round.stops;
    }
    assert_eq!(stops.len(), 4, "the gang in the other rack is evicted");
    // Duration of an eviction: a heartbeat, 400 ms for the stop, and another heartbeat.
    harness.now_ms += 900;
    for index in 0..4 {
        harness.end(task_id(2, 0, index), 1, Exit::Stopped);
    }
    harness.receive_heartbeats(8);
    harness.run_round();
    assert!(harness.worker_of(task_id(3, 0, 0)).is_some());
    assert!(harness.now_ms < deadline_ms);
}

#[test]
fn checkpointing_work_is_evicted_first() {
    let mut harness = Harness::with_workers(2);
    harness.submit(1, "large", vec![gang(1)]);
    harness.submit(2, "large", vec![Step { is_checkpointing: true, ..gang(1) }]);
    harness.run_round();
    harness.now_ms += 2_000;
    harness.submit(3, "urgent", vec![urgent_gang(1)]);
    harness.now_ms += 1_200;
    harness.receive_heartbeats(2);
    assert_eq!(harness.run_round().round.stops, [(task_id(2, 0, 0), 1)]);
}

#[test]
fn equally_urgent_work_is_never_evicted() {
    let mut harness = Harness::with_workers(1);
    harness.submit(1, "urgent", vec![urgent_gang(1)]);
    harness.run_round();
    harness.submit(2, "urgent", vec![urgent_gang(1)]);
    harness.now_ms += 1_500;
    harness.receive_heartbeats(1);
    assert!(harness.run_round().round.stops.is_empty());
}

#[test]
fn expired_jobs_are_placed_last() {
    let mut harness = Harness::with_workers(1);
    harness.submit(1, "urgent", vec![urgent_gang(1)]);
    harness.now_ms += 60_000;
    harness.receive_heartbeats(1);
    harness.submit(2, "small", vec![gang(1)]);
    harness.run_round();
    assert!(harness.worker_of(task_id(2, 0, 0)).is_some());
}

/// A pool of two racks of four workers, each filled by a gang; the gang in the first rack costs
/// more to evict.
fn two_full_racks() -> Harness {
    let mut harness = Harness::with_workers(8);
    let long = Step { estimate_ms: 60_000, ..gang(4) };
    harness.submit(1, "large", vec![Step { data_rack: "r0".into(), ..long.clone() }]);
    harness.run_round();
    harness.now_ms += 10_000;
    harness.receive_heartbeats(8);
    harness.submit(2, "large", vec![Step { data_rack: "r1".into(), ..long }]);
    harness.run_round();
    harness.receive_heartbeats(8);
    harness
}

fn set_guarantee(harness: &mut Harness, accelerators: u32) {
    let mut document = support::batch::document();
    document.revision = harness.table.document.revision + 1;
    document.customers[0].guaranteed = accelerators;
    harness.apply(Command::Publish(document.into()));
}

/// Guards against guaranteed gangs that run three times as long because they are placed far from
/// their data, although work in the rack of the data could be evicted.
#[test]
fn a_due_guarantee_evicts_work_near_its_data_first() {
    let mut harness = two_full_racks();
    set_guarantee(&mut harness, 64);
    harness.submit(3, "urgent", vec![Step { data_rack: "r0".into(), ..urgent_gang(2) }]);
    harness.now_ms += 3_300;
    harness.receive_heartbeats(8);
    let stops = harness.run_round().round.stops;
    assert_eq!(stops.len(), 4);
    assert!(stops.iter().all(|(task, _)| task.job.0 == 1), "{stops:?}");
}

/// Guards against a late guarantee that has to wait for a second eviction because the capacity
/// freed for it goes to urgent work that is still on time.
#[test]
fn a_due_guarantee_precedes_urgent_work_that_is_on_time() {
    let mut harness = full_cluster(20_000, &Step { estimate_ms: 60_000, ..gang(1) });
    set_guarantee(&mut harness, 8);
    harness.submit(2, "urgent", vec![urgent_gang(1)]);
    harness.now_ms += 5_000;
    harness.receive_heartbeats(1);
    assert_eq!(harness.run_round().round.stops.len(), 1);
    harness.submit_as("another", 3, "urgent", vec![urgent_gang(1)]);
    harness.end(task_id(1, 0, 0), 1, Exit::Stopped);
    harness.receive_heartbeats(1);
    harness.run_round();
    assert!(harness.worker_of(task_id(2, 0, 0)).is_some());
}

/// A very short job expires, at three times its allowed time, before its guarantee is due.
#[test]
fn a_guarantee_holds_for_an_expired_job() {
    let mut harness = full_cluster(20_000, &Step { estimate_ms: 60_000, ..gang(1) });
    set_guarantee(&mut harness, 8);
    harness.submit(2, "urgent", vec![Step { estimate_ms: 100, ..gang(1) }]);
    harness.now_ms += 3_300;
    harness.receive_heartbeats(1);
    assert_eq!(harness.run_round().round.stops.len(), 1);
}

/// The runs that are evicted first do not stop, so that capacity must be freed elsewhere in time.
#[test]
fn a_guarantee_evicts_elsewhere_when_its_evictions_do_not_complete() {
    let mut harness = two_full_racks();
    set_guarantee(&mut harness, 64);
    harness.submit(3, "urgent", vec![Step { data_rack: "r0".into(), ..urgent_gang(2) }]);
    harness.now_ms += 3_300;
    harness.receive_heartbeats(8);
    assert_eq!(harness.run_round().round.stops.len(), 4);
    harness.now_ms += 1_000;
    harness.receive_heartbeats(8);
    let stops = harness.run_round().round.stops;
    assert_eq!(stops.len(), 4);
    assert!(stops.iter().all(|(task, _)| task.job.0 == 2), "{stops:?}");
}
