//! Guarantees that are claimed while work that may not be evicted otherwise uses the accelerators: urgent jobs
//! of other customers, and tasks that run until their job is cancelled.

mod support;

use std::collections::BTreeSet;

use eelgrassvalve::batch::document::Customer;
use eelgrassvalve::batch::job::{Resources, Step, TaskId};
use eelgrassvalve::batch::table::Command;
use eelgrassvalve::batch::worker::Exit;
use rstest::rstest;
use support::batch::{Harness, gang, step, task_id};

/// Time within which guaranteed work of priority 0 must have started, in milliseconds.
const RECLAIM_MS: u64 = 5_900;
/// Interval of rounds and heartbeats, in milliseconds.
const TICK_MS: u64 = 100;
/// Time from the decision to stop a run until its worker reports the end, in milliseconds: a heartbeat and
/// the stop.
const STOP_MS: u64 = 600;
/// Job that claims a guarantee.
const CLAIM: u64 = 99;

/// Workers and customers with guarantees; the customer `other` has none.
struct Cluster {
    harness: Harness,
    workers: usize,
    stopping: Vec<(u64, TaskId, u32)>,
    stopped: BTreeSet<TaskId>,
}

impl Cluster {
    fn new(workers: usize, guarantees: &[(&str, u32)]) -> Self {
        let mut harness = Harness::with_workers(workers);
        let mut document = support::batch::document();
        document.revision = 2;
        document.customers = Vec::new();
        for (name, guaranteed) in [("other", 0)].iter().chain(guarantees) {
            let keys = vec![format!("key of {name}")];
            document.customers.push(Customer {
                name: (*name).into(),
                keys,
                guaranteed: *guaranteed,
            });
        }
        harness.apply(Command::Publish(document.into()));
        Self { harness, workers, stopping: Vec::new(), stopped: BTreeSet::new() }
    }

    fn submit(&mut self, customer: &str, job: u64, queue: &str, step: Step) {
        self.harness.submit_as(customer, job, queue, vec![step]);
        self.tick();
    }

    /// Ends the runs whose stop is due, receives a heartbeat of each worker, and runs a round.
    fn tick(&mut self) {
        let now_ms = self.harness.now_ms;
        for (at_ms, task, run) in std::mem::take(&mut self.stopping) {
            if at_ms > now_ms {
                self.stopping.push((at_ms, task, run));
                continue;
            }
            self.stopped.insert(task);
            self.harness.end(task, run, Exit::Stopped);
        }
        self.receive_heartbeats();
        for (task, run) in self.harness.run_round().round.stops {
            self.stopping.push((now_ms + STOP_MS, task, run));
        }
        self.harness.now_ms += TICK_MS;
    }

    fn receive_heartbeats(&mut self) {
        for index in 0..self.workers {
            let worker = format!("w{index}");
            let lasting: Vec<TaskId> = self
                .harness
                .table
                .runs_on(&worker)
                .map(|(task, _)| *task)
                .filter(|task| self.harness.table.live[&task.job].spec.steps[0].is_lasting)
                .collect();
            self.harness.receive_heartbeat(&worker, |heartbeat| {
                for row in &mut heartbeat.running {
                    row.percent = if lasting.contains(&row.task) { 100 } else { row.percent };
                }
            });
            self.harness.answer_heartbeat(&worker);
        }
    }

    fn run_for(&mut self, time_ms: u64) {
        let end_ms = self.harness.now_ms + time_ms;
        while self.harness.now_ms < end_ms {
            self.tick();
        }
    }

    fn count_placed(&self, job: u64, tasks: u32) -> u32 {
        let is_placed = |index: &u32| self.harness.worker_of(task_id(job, 0, *index)).is_some();
        (0..tasks).filter(is_placed).count() as u32
    }

    fn count_stopped(&self, job: u64) -> usize {
        self.stopped.iter().filter(|task| task.job.0 == job).count()
    }
}

fn lasting(count: u32, may_be_away: u32) -> Step {
    Step { is_lasting: true, may_be_away, ..step(count) }
}

/// A task of every accelerator of a worker.
fn whole_worker(count: u32) -> Step {
    Step { is_gang: false, ..gang(count) }
}

/// Guards against guarantees that are kept only against work of a lower priority that ends by itself: all
/// accelerators are used by the customer `other`, which has no guarantee.
#[rstest]
#[case::urgent_tasks(2, ("urgent", step(16)), step(8))]
#[case::urgent_gang(2, ("urgent", gang(2)), step(8))]
#[case::urgent_gang_for_a_gang(4, ("urgent", gang(4)), gang(2))]
#[case::urgent_tasks_for_a_gang(6, ("urgent", step(48)), gang(3))]
#[case::large_urgent_tasks(5, ("urgent", whole_worker(5)), step(12))]
#[case::large_cluster(40, ("urgent", step(320)), step(64))]
#[case::whole_cluster(4, ("urgent", step(32)), step(32))]
#[case::lasting_tasks(2, ("small", lasting(16, 0)), step(8))]
#[case::urgent_lasting_tasks(2, ("urgent", lasting(16, 0)), step(8))]
#[case::lasting_gang(2, ("small", Step { is_gang: true, ..lasting(16, 0) }), step(8))]
#[case::lasting_tasks_that_may_be_away(4, ("small", lasting(32, 8)), step(8))]
fn a_guarantee_is_reclaimed_from_work_of_a_customer_without_one(
    #[case] workers: usize,
    #[case] (queue, borrowed): (&str, Step),
    #[case] claim: Step,
) {
    let tasks = claim.count;
    let accelerators = claim.count * claim.demand.accelerators;
    let mut cluster = Cluster::new(workers, &[("owner", accelerators)]);
    cluster.submit("other", 1, queue, Step { estimate_ms: 600_000, ..borrowed });
    cluster.run_for(1_000);
    cluster.submit("owner", CLAIM, "urgent", Step { estimate_ms: 2_500, ..claim });
    cluster.run_for(RECLAIM_MS - TICK_MS);
    assert_eq!(cluster.count_placed(CLAIM, tasks), tasks);
}

/// The other customer uses 24 accelerators and has a guarantee of 16: no more than what exceeds that is taken.
#[rstest]
#[case::beyond_the_guarantee(8, 8, 8)]
#[case::more_than_is_borrowed(16, 0, 0)]
fn a_guarantee_takes_only_what_others_use_beyond_theirs(
    #[case] claimed: u32,
    #[case] placed: u32,
    #[case] stopped: usize,
) {
    let mut cluster = Cluster::new(3, &[("owner", claimed), ("second", 16)]);
    cluster.submit("second", 1, "urgent", Step { estimate_ms: 600_000, ..step(24) });
    cluster.run_for(1_000);
    cluster.submit("owner", CLAIM, "urgent", step(claimed));
    cluster.run_for(RECLAIM_MS - TICK_MS);
    assert_eq!((cluster.count_placed(CLAIM, claimed), cluster.count_stopped(1)), (placed, stopped));
}

/// Both customers claim what is guaranteed to them. Neither may take from the other, however long one waits.
#[test]
fn guarantees_do_not_evict_each_other() {
    let mut cluster = Cluster::new(2, &[("owner", 16), ("second", 16)]);
    cluster.submit("second", 1, "urgent", Step { estimate_ms: 600_000, ..step(16) });
    cluster.run_for(1_000);
    cluster.submit("owner", CLAIM, "urgent", step(16));
    cluster.run_for(3 * RECLAIM_MS);
    assert_eq!(cluster.count_stopped(1), 0);
}

/// Work of a lower priority goes first, however much of it is lost.
#[rstest]
#[case::equal_loss(0)]
#[case::larger_loss(120_000)]
fn urgent_work_of_others_is_evicted_last(#[case] longer_ms: u64) {
    let mut cluster = Cluster::new(2, &[("owner", 8)]);
    cluster.submit("other", 2, "small", Step { estimate_ms: 600_000, ..step(8) });
    cluster.run_for(longer_ms);
    cluster.submit("other", 1, "urgent", Step { estimate_ms: 600_000, ..step(8) });
    cluster.run_for(500);
    cluster.submit("owner", CLAIM, "urgent", step(8));
    cluster.run_for(RECLAIM_MS - TICK_MS);
    assert_eq!(cluster.count_placed(CLAIM, 8), 8);
    assert_eq!((cluster.count_stopped(1), cluster.count_stopped(2)), (0, 8));
}

/// Runs that a guarantee of their own protects don't keep those beside them on the worker from being evicted.
#[test]
fn protected_runs_do_not_shield_their_worker() {
    let mut cluster = Cluster::new(1, &[("owner", 4), ("second", 4)]);
    cluster.submit("second", 1, "urgent", Step { estimate_ms: 600_000, ..step(4) });
    cluster.submit("other", 2, "urgent", Step { estimate_ms: 600_000, ..step(4) });
    cluster.run_for(1_000);
    cluster.submit("owner", CLAIM, "urgent", step(4));
    cluster.run_for(RECLAIM_MS - TICK_MS);
    assert_eq!(cluster.count_placed(CLAIM, 4), 4);
    assert_eq!((cluster.count_stopped(1), cluster.count_stopped(2)), (0, 4));
}

/// No more tasks of a long-running step are stopped at once than may be unavailable, even if the guarantee is
/// missed for it.
#[rstest]
#[case::two_may_be_away(2)]
#[case::seven_may_be_away(7)]
fn availability_of_lasting_tasks_limits_evictions(#[case] may_be_away: u32) {
    let mut cluster = Cluster::new(2, &[("owner", 8)]);
    cluster.submit("other", 1, "small", lasting(16, may_be_away));
    cluster.run_for(1_000);
    cluster.submit("owner", CLAIM, "urgent", step(8));
    cluster.run_for(2 * RECLAIM_MS);
    assert_eq!(cluster.count_stopped(1), 0, "a part of the claimed room is of no use");
}

/// Without a guarantee, urgent work stops neither equally urgent work nor tasks that last.
#[rstest]
#[case::urgent_tasks("urgent", step(16))]
#[case::lasting_tasks("small", lasting(16, 0))]
fn urgent_work_without_a_guarantee_takes_nothing_from_such_work(
    #[case] queue: &str,
    #[case] running: Step,
) {
    let mut cluster = Cluster::new(2, &[]);
    cluster.submit("other", 1, queue, Step { estimate_ms: 600_000, ..running });
    cluster.run_for(1_000);
    cluster.submit("another", CLAIM, "urgent", step(8));
    cluster.run_for(2 * RECLAIM_MS);
    assert_eq!(cluster.count_stopped(1), 0);
}

/// Tasks that need no accelerators don't count towards a guarantee, but may keep the processors of workers busy.
#[test]
fn a_guarantee_is_reclaimed_from_tasks_without_accelerators() {
    let mut cluster = Cluster::new(2, &[("owner", 8)]);
    let demand = Resources { cpu_milli: 16_000, memory_mb: 1_000, accelerators: 0 };
    cluster.submit("other", 1, "urgent", step(1));
    cluster.submit("other", 2, "urgent", Step { demand, estimate_ms: 600_000, ..step(8) });
    cluster.run_for(1_000);
    cluster.submit("owner", CLAIM, "urgent", step(8));
    cluster.run_for(RECLAIM_MS - TICK_MS);
    assert_eq!(cluster.count_placed(CLAIM, 8), 8);
}
