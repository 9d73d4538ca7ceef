//! Workers full of small runs, and work that needs room there: what a decision takes in memory.

mod support;

use std::sync::{Mutex, PoisonError};

use eelgrassvalve::batch::document::Customer;
use eelgrassvalve::batch::job::{Resources, Step, TaskId};
use eelgrassvalve::batch::table::{Command, Round, Start};
use peak_alloc::PeakAlloc;
use rstest::rstest;
use support::batch::{Harness, WORKER_CAPACITY, step};

#[global_allocator]
static ALLOCATOR: PeakAlloc = PeakAlloc;

/// One test at a time: what is allocated is counted for the process.
static ALONE: Mutex<()> = Mutex::new(());

/// Memory of a member on the smallest machines that the system runs on, in MB.
const MEMORY_MB: f32 = 256.0;
/// Most tasks of a job.
const JOB_TASKS: u32 = 10_000;

/// Small tasks that run on all workers.
#[derive(Clone)]
struct Running {
    workers: usize,
    on_each: u32,
    queue: &'static str,
    step: Step,
}

impl Running {
    fn of(workers: usize, on_each: u32) -> Self {
        Self { workers, on_each, queue: "small", step: Step::default() }
    }

    fn step(&self) -> Step {
        let cpu_milli = WORKER_CAPACITY.cpu_milli / u64::from(self.on_each);
        let demand = Resources { cpu_milli, memory_mb: 1, accelerators: 0 };
        Step { demand, estimate_ms: 600_000, ..self.step.clone() }
    }

    /// Places runs on all workers, as rounds have done before.
    fn place(&self) -> Harness {
        let mut harness = Harness::with_workers(self.workers);
        let mut document = support::batch::document();
        document.revision = 2;
        document.customers = vec![
            Customer { name: "customer".into(), keys: vec!["key".into()], guaranteed: 64 },
            Customer { name: "other".into(), keys: vec!["other".into()], guaranteed: 0 },
        ];
        harness.apply(Command::Publish(document.into()));
        let total = self.workers as u32 * self.on_each;
        let mut placed = 0;
        for job in 1.. {
            let count = JOB_TASKS.min(total - placed);
            harness.submit_as("other", job, self.queue, vec![Step { count, ..self.step() }]);
            let start = |index| {
                let worker = format!("w{}", (placed + index) / self.on_each);
                let task = TaskId { index, ..support::batch::task_id(job, 0, 0) };
                Start { task, run: 1, worker, incarnation: 1 }
            };
            let starts = (0..count).map(start).collect();
            harness.apply(Command::Round(Round { starts, ..Round::default() }));
            placed += count;
            if placed == total {
                break;
            }
        }
        harness.now_ms += 1_000;
        harness.receive_heartbeats(self.workers);
        harness.receive_heartbeats(self.workers);
        harness
    }
}

/// A task of so many cores.
fn cores(count: u32, cores: u64) -> Step {
    let demand = Resources { cpu_milli: cores * 1_000, memory_mb: 100, accelerators: 1 };
    Step { count, demand, estimate_ms: 2_000, ..step(count) }
}

fn tiny(count: u32, cpu_milli: u64) -> Step {
    let demand = Resources { cpu_milli, memory_mb: 1, accelerators: 0 };
    Step { count, demand, estimate_ms: 2_000, ..step(count) }
}

/// Guards against members that are killed for their memory one after the other: the search for runs to stop
/// took memory by the square of the runs on a worker, 797 MB for 48 workers with 1,600 runs each.
#[rstest]
#[case::many_small_tasks(Running::of(48, 1_600), tiny(2_000, 40))]
#[case::few_small_tasks(Running::of(48, 1_600), tiny(20, 40))]
#[case::as_many_as_a_job_may_have(Running::of(48, 1_600), tiny(10_000, 40))]
#[case::small_gang(Running::of(48, 1_600), Step { is_gang: true, ..tiny(2_000, 40) })]
#[case::large_tasks(Running::of(48, 1_600), cores(48, 40))]
#[case::large_gang(Running::of(48, 1_600), Step { is_gang: true, ..cores(48, 40) })]
#[case::gang_in_a_rack(Running::of(48, 1_600), Step { is_gang: true, is_rack_local: true, ..cores(4, 40) })]
#[case::smaller_runs(Running::of(16, 6_400), tiny(2_000, 10))]
#[case::small_tasks_in_the_place_of_large_ones(Running::of(200, 1), tiny(10_000, 1))]
#[case::small_gang_in_the_place_of_large_ones(Running::of(200, 1), Step { is_gang: true, ..tiny(10_000, 1) })]
#[case::running_gangs(Running { step: Step { is_gang: true, ..Step::default() }, ..Running::of(48, 1_600) }, tiny(2_000, 40))]
#[case::long_running_tasks(Running { step: Step { is_lasting: true, may_be_away: 10_000, ..Step::default() }, ..Running::of(48, 1_600) }, cores(48, 40))]
fn a_decision_stays_within_the_memory_of_a_member(
    #[case] running: Running,
    #[case] urgent: Step,
    #[values("urgent", "large")] queue: &str,
) {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let mut harness = running.place();
    harness.submit_as("customer", 1_000_000, queue, vec![urgent]);
    // Whatever its terms are, its guarantee is due.
    harness.now_ms += 4_000;
    harness.receive_heartbeats(running.workers);
    let before_mb = ALLOCATOR.current_usage_as_mb();
    ALLOCATOR.reset_peak_usage();
    harness.run_round();
    let peak_mb = ALLOCATOR.peak_usage_as_mb();
    assert!(peak_mb <= MEMORY_MB, "{peak_mb} MB, {before_mb} MB of them before");
}
