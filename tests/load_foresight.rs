//! Bursts of urgent work on a full pool, and gangs on fragmented workers: what is stopped for them,
//! what they wait for instead, and how often the same task is stopped.

mod support;

use std::collections::BTreeMap;

use eelgrassvalve::batch::job::{Resources, Step, TaskId};
use eelgrassvalve::batch::worker::Exit;
use rstest::rstest;
use support::batch::{Harness, gang, step, task_id};

/// Expected and actual run time of the less urgent tasks, in milliseconds.
const RUN_MS: u64 = 10_000;
/// Time between the bursts of urgent work, in milliseconds.
const BURST_INTERVAL_MS: u64 = 6_000;
/// Interval of rounds and heartbeats, in milliseconds.
const TICK_MS: u64 = 200;
/// Maximum number of stops of one task for urgent work without a guarantee.
const MAX_STOPS: u32 = 3;

fn whole_worker(count: u32, estimate_ms: u64) -> Step {
    Step { is_gang: false, estimate_ms, ..gang(count) }
}

/// A harness whose workers report progress in proportion to the time that a run has taken.
struct Cluster {
    harness: Harness,
    workers: usize,
    stops: BTreeMap<TaskId, u32>,
}

impl Cluster {
    fn new(workers: usize) -> Self {
        let mut harness = Harness::with_workers(workers);
        harness.are_ends_awaited = true;
        Self { harness, workers, stops: BTreeMap::new() }
    }

    fn submit(&mut self, job: u64, queue: &str, step: Step) {
        self.harness.submit_as("without a guarantee", job, queue, vec![step]);
    }

    fn percent(&self, task: &TaskId) -> u8 {
        let table = &self.harness.table;
        let Some(run) = table.active_run(task) else { return 0 };
        let run_ms = table.live[&task.job].spec.steps[task.step as usize].estimate_ms;
        ((self.harness.now_ms - run.placed_ms) * 100 / run_ms).min(100) as u8
    }

    fn receive_heartbeats(&mut self) {
        for index in 0..self.workers {
            let worker = format!("w{index}");
            let tasks: Vec<TaskId> =
                self.harness.table.runs_on(&worker).map(|(task, _)| *task).collect();
            let percents: Vec<u8> = tasks.iter().map(|task| self.percent(task)).collect();
            self.harness.receive_heartbeat(&worker, |heartbeat| {
                for (row, percent) in heartbeat.running.iter_mut().zip(percents) {
                    row.percent = percent;
                }
            });
            self.harness.answer_heartbeat(&worker);
        }
    }

    /// Ends what is done, runs a round, and stops at once what that decides. Returns the number of stops.
    fn tick(&mut self) -> usize {
        self.harness.now_ms += TICK_MS;
        for (task, run) in self.runs() {
            if self.percent(&task) == 100 {
                self.harness.end(task, run, Exit::Done);
            }
        }
        self.receive_heartbeats();
        let stops = self.harness.run_round().round.stops;
        for (task, run) in &stops {
            *self.stops.entry(*task).or_default() += 1;
            self.harness.end(*task, *run, Exit::Stopped);
        }
        stops.len()
    }

    fn runs(&self) -> Vec<(TaskId, u32)> {
        let workers = (0..self.workers).map(|index| format!("w{index}"));
        let mut runs = Vec::new();
        for worker in workers {
            runs.extend(self.harness.table.runs_on(&worker).map(|(task, run)| (*task, run.number)));
        }
        runs
    }

    fn run_for(&mut self, time_ms: u64) -> usize {
        (0..time_ms / TICK_MS).map(|_| self.tick()).sum()
    }
}

/// Repeated bursts on a full pool: an urgent job arrives every few seconds, and each time the cheapest
/// runs are those that have just started again.
#[rstest]
#[case::tasks(whole_worker(4, 60_000))]
#[case::gang(Step { estimate_ms: 60_000, ..gang(4) })]
fn bursts_stop_the_same_task_a_bounded_number_of_times(#[case] running: Step) {
    let mut cluster = Cluster::new(4);
    cluster.submit(1, "large", running);
    cluster.run_for(1_000);
    for burst in 0..12 {
        cluster.submit(10 + burst, "urgent", Step { estimate_ms: 1_000, ..gang(1) });
        cluster.run_for(BURST_INTERVAL_MS);
    }
    let most = cluster.stops.values().copied().max();
    assert!(most.is_some_and(|most| (1..=MAX_STOPS).contains(&most)), "{:?}", cluster.stops);
}

/// A run that ends within half of the urgent job's slack isn't stopped for it; one that ends later is.
#[rstest]
#[case::ends_at_once(9_600, 0)]
#[case::ends_in_time(8_600, 0)]
#[case::ends_too_late(4_000, 1)]
fn urgent_work_waits_for_runs_that_end_in_time(#[case] ran_ms: u64, #[case] stops: usize) {
    let mut cluster = Cluster::new(1);
    cluster.submit(1, "large", whole_worker(1, RUN_MS));
    cluster.run_for(ran_ms + TICK_MS);
    // The slack is 0.8 s and half of the run time.
    cluster.submit(2, "urgent", Step { estimate_ms: 6_000, ..gang(1) });
    assert_eq!(cluster.run_for(2_000), stops);
    assert!(cluster.harness.worker_of(task_id(2, 0, 0)).is_some());
}

/// Two urgent jobs don't wait for the same run to end: the second one stops another run.
#[test]
fn room_is_promised_once() {
    let mut cluster = Cluster::new(2);
    cluster.submit(1, "large", whole_worker(1, RUN_MS));
    cluster.run_for(6_000);
    cluster.submit(2, "large", whole_worker(1, RUN_MS));
    cluster.run_for(3_000);
    for job in [3, 4] {
        cluster.submit(job, "urgent", Step { estimate_ms: 6_000, ..gang(1) });
    }
    cluster.run_for(2_000);
    let stopped: Vec<u64> = cluster.stops.keys().map(|task| task.job.0).collect();
    assert_eq!(stopped, [2]);
    for job in [3, 4] {
        assert!(cluster.harness.worker_of(task_id(job, 0, 0)).is_some());
    }
}

/// A gang on fragmented workers: of the three that it needs, one is free, one becomes free while the run on
/// the last one stops.
#[test]
fn a_gang_stops_only_what_does_not_end_by_itself() {
    let mut cluster = Cluster::new(3);
    cluster.submit(1, "large", whole_worker(1, RUN_MS));
    cluster.run_for(6_000);
    cluster.submit(2, "large", whole_worker(1, RUN_MS));
    cluster.run_for(3_400);
    cluster.submit(3, "urgent", Step { estimate_ms: 1_000, ..gang(3) });
    cluster.run_for(1_400);
    let stopped: Vec<u64> = cluster.stops.keys().map(|task| task.job.0).collect();
    assert_eq!(stopped, [2]);
    assert!(cluster.harness.worker_of(task_id(3, 0, 0)).is_some());
}

/// What a burst has made free is not filled by less urgent work before the next urgent job, which would
/// stop it again.
#[test]
fn room_made_for_a_burst_stays_with_urgent_work_for_a_while() {
    let mut cluster = Cluster::new(1);
    let demand = Resources { cpu_milli: 5_000, memory_mb: 20_000, accelerators: 1 };
    cluster.submit(1, "small", Step { demand, estimate_ms: 60_000, ..step(8) });
    cluster.run_for(1_000);
    cluster.submit(2, "urgent", Step { estimate_ms: 1_000, ..gang(1) });
    let stops = cluster.run_for(2_000);
    cluster.submit(3, "urgent", Step { estimate_ms: 1_000, ..gang(1) });
    assert_eq!((stops, cluster.run_for(1_400)), (8, 0));
    cluster.run_for(4_000);
    assert!(cluster.harness.worker_of(task_id(1, 0, 0)).is_some(), "the room is given back");
}
