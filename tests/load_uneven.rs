//! Workers of unlike speed: what is learned from the pace of runs, and where work goes.

mod support;

use eelgrassvalve::batch::estimate::{Estimates, Kind};
use eelgrassvalve::batch::job::{Id, Step};
use eelgrassvalve::batch::speed::Location;
use rstest::rstest;
use support::batch::{Harness, gang, step, task_id};

const KIND: Kind<'static> =
    Kind { queue: "small", image: "", customer: "customer", declared_ms: 5_000, tasks: 8 };

/// Time that a worker takes for work of this length.
type Pace = fn(worker: usize, work_ms: u64) -> u64;

fn even(_worker: usize, work_ms: u64) -> u64 {
    work_ms
}

fn slow_rack(worker: usize, work_ms: u64) -> u64 {
    if worker / 4 == 1 { work_ms * 2 } else { work_ms }
}

fn slow_worker(worker: usize, work_ms: u64) -> u64 {
    if worker == 5 { work_ms * 2 } else { work_ms }
}

/// Estimates after each of eight workers in two racks has run `rounds` tasks of steps of different
/// length.
fn learned(pace: Pace, rounds: u64) -> Estimates {
    let mut estimates = Estimates::default();
    for round in 0..rounds {
        let length_ms = 2_000 + round * 2_741 % 7_000;
        for worker in 0..8 {
            let name = format!("w{worker}");
            let rack = format!("r{}", worker / 4);
            let location = Location { zone: "zone", rack: &rack, worker: &name };
            let work_ms = length_ms * (9 + (round + worker as u64 * 5) % 3) / 10;
            estimates.learn_pace(&KIND, (Id(round), 0), &location, pace(worker, work_ms));
        }
    }
    estimates
}

fn slowdown(estimates: &Estimates, worker: usize) -> f64 {
    let (rack, worker) = (format!("r{}", worker / 4), format!("w{worker}"));
    estimates.slowdown_at(&Location { zone: "zone", rack: &rack, worker: &worker })
}

/// A harness with eight idle workers in two racks.
fn harness(estimates: Estimates) -> Harness {
    let mut harness = Harness::with_workers(8);
    harness.are_speeds_used = true;
    harness.estimates = estimates;
    harness
}

fn workers_of(harness: &Harness, job: u64, tasks: u32) -> Vec<usize> {
    let workers = (0..tasks).filter_map(|index| harness.worker_of(task_id(job, 0, index)));
    workers.map(|name| name[1..].parse().expect("a name is a letter and a number")).collect()
}

#[rstest]
#[case::rack(slow_rack, 5, 1)]
#[case::worker(slow_worker, 5, 4)]
fn slow_places_are_told_from_long_tasks(
    #[case] pace: Pace,
    #[case] slow: usize,
    #[case] usual: usize,
) {
    let estimates = learned(pace, 30);
    let ratio = slowdown(&estimates, slow) / slowdown(&estimates, usual);
    assert!((1.5..2.5).contains(&ratio), "{ratio}");
}

#[test]
fn an_even_fleet_counts_as_even() {
    let estimates = learned(even, 100);
    assert!(estimates.speeds().is_even(), "{:?}", estimates.speeds().spreads());
    assert_eq!(slowdown(&estimates, 5), 1.0);
}

#[test]
fn urgent_work_goes_to_fast_workers() {
    let mut harness = harness(learned(|worker, work_ms| work_ms * [3, 1][worker / 4], 30));
    harness.submit(1, "urgent", vec![step(4)]);
    harness.run_round();
    let workers = workers_of(&harness, 1, 4);
    assert_eq!(workers.len(), 4);
    assert!(workers.iter().all(|worker| worker / 4 == 1), "{workers:?}");
}

/// A gang ends with its slowest task.
#[rstest]
#[case::fast_workers(0, [4, 5, 6, 7])]
#[case::slow_workers_alone(4, [0, 1, 2, 3])]
fn a_gang_runs_on_workers_of_like_speed(#[case] in_use: usize, #[case] expected: [usize; 4]) {
    let mut harness = harness(learned(|worker, work_ms| work_ms * [3, 1][worker / 4], 30));
    harness.submit(1, "small", vec![step(1)]);
    harness.start(task_id(1, 0, 0), 1, &format!("w{in_use}"));
    harness.receive_heartbeats(8);
    harness.submit(2, "large", vec![gang(4)]);
    harness.run_round();
    let mut workers = workers_of(&harness, 2, 4);
    workers.sort_unstable();
    assert_eq!(workers, expected);
}

#[test]
fn a_gang_that_fits_on_unlike_workers_only_starts_there() {
    let mut harness = harness(learned(slow_rack, 30));
    harness.submit(1, "large", vec![gang(6)]);
    assert_eq!(harness.run_round().round.starts.len(), 6);
}

#[test]
fn work_on_an_even_fleet_goes_where_it_went_before() {
    let mut placed = Vec::new();
    for estimates in [Estimates::default(), learned(even, 100)] {
        let mut harness = harness(estimates);
        for job in 1..=3 {
            harness.submit(job, ["urgent", "large", "small"][job as usize - 1], vec![step(5)]);
            harness.run_round();
            harness.receive_heartbeats(8);
        }
        placed.push((1..=3).map(|job| workers_of(&harness, job, 5)).collect::<Vec<_>>());
    }
    assert_eq!(placed[0], placed[1]);
}

/// The pace of runs shows within a second or so; ends would come much later.
#[test]
fn speed_is_learned_from_the_progress_of_runs() {
    let mut harness = Harness::with_workers(8);
    harness.are_speeds_used = true;
    for job in 1..=12 {
        harness.submit(job, "small", vec![Step { per_worker: 1, ..step(8) }]);
        harness.run_round();
        // Heartbeats at the start, at 10% and at 30%; half of that on the slow rack.
        for (passed_ms, percent) in [(100, 0), (500, 10), (1_000, 30)] {
            harness.now_ms += passed_ms;
            for worker in 0..8 {
                let name = format!("w{worker}");
                let percent = if worker / 4 == 1 { percent / 2 } else { percent };
                harness.receive_heartbeat(&name, |heartbeat| {
                    heartbeat.running.iter_mut().for_each(|run| run.percent = percent);
                });
                harness.fleet.learn_paces(&name, &harness.table, &mut harness.estimates);
                harness.answer_heartbeat(&name);
            }
        }
        for index in 0..8 {
            harness.end(task_id(job, 0, index), 1, eelgrassvalve::batch::worker::Exit::Done);
        }
    }
    let ratio = slowdown(&harness.estimates, 5) / slowdown(&harness.estimates, 1);
    assert!((1.5..2.5).contains(&ratio), "{ratio}");
}
