//! More runs than members have memory for: who starts, and who waits.

mod support;

use eelgrassvalve::batch::job::{Resources, Step};
use eelgrassvalve::batch::plan::Planner;
use eelgrassvalve::batch::worker::Exit;
use rstest::rstest;
use support::batch::{Harness, task_id};

/// Limit on the runs of all workers.
const MAX_RUNS: u64 = 800;
/// Part of it that is left to urgent work, to restarts and to jobs of which nothing runs.
const RESERVED: u64 = 100;
const WORKERS: usize = 4;

fn tiny(count: u32) -> Step {
    let demand = Resources { cpu_milli: 10, memory_mb: 1, accelerators: 0 };
    Step { count, demand, estimate_ms: 600_000, ..Step::default() }
}

fn harness() -> Harness {
    let mut harness = Harness::with_workers(WORKERS);
    harness.planner = Planner::default().with_max_runs(MAX_RUNS);
    harness
}

fn run_rounds(harness: &mut Harness) {
    for _ in 0..3 {
        harness.receive_heartbeats(WORKERS);
        harness.run_round();
        harness.now_ms += 200;
    }
}

fn total(harness: &Harness) -> u64 {
    harness.table.occupied_workers().map(|worker| harness.table.count_runs_on(worker)).sum()
}

fn placed(harness: &Harness, job: u64, tasks: u32) -> usize {
    (0..tasks).filter(|index| harness.worker_of(task_id(job, 0, *index)).is_some()).count()
}

/// Guards against members that run out of memory, since jobs of many small tasks fit on the workers: 307,200
/// runs on 48 workers took 267 MB of a leader's 256, and no call was answered after that.
#[rstest]
#[case::one_job(1, tiny(5_000))]
#[case::several_jobs(9, tiny(500))]
#[case::long_running_tasks(1, Step { is_lasting: true, ..tiny(5_000) })]
#[case::tasks_that_fill(1, Step { is_filler: true, ..tiny(5_000) })]
#[case::tasks_that_need_nothing(1, Step { demand: Resources::default(), ..tiny(5_000) })]
fn runs_of_all_workers_are_limited(#[case] jobs: u64, #[case] step: Step) {
    let mut harness = harness();
    for job in 0..jobs {
        harness.submit(job, "small", vec![step.clone()]);
        run_rounds(&mut harness);
    }
    let total = total(&harness);
    // One run for each job that began when the rest was taken.
    assert!((MAX_RUNS - RESERVED..MAX_RUNS - RESERVED + jobs).contains(&total), "{total} runs");
}

/// The limit holds whatever is privileged.
#[rstest]
#[case::urgent_tasks("urgent", tiny(5_000))]
#[case::urgent_gangs("urgent", Step { is_gang: true, ..tiny(300) })]
#[case::gangs("small", Step { is_gang: true, ..tiny(300) })]
fn nothing_goes_beyond_the_limit(#[case] queue: &str, #[case] step: Step) {
    let mut harness = harness();
    for job in 1..10 {
        harness.submit(job, queue, vec![step.clone()]);
        run_rounds(&mut harness);
    }
    let total = total(&harness);
    assert!((MAX_RUNS / 2..=MAX_RUNS).contains(&total), "{total} runs");
}

/// What the limit leaves is for those who would suffer most.
#[rstest]
#[case::urgent_tasks("urgent", tiny(50), 50)]
#[case::urgent_gang("urgent", Step { is_gang: true, ..tiny(50) }, 50)]
#[case::a_job_of_which_nothing_runs("small", tiny(50), 1)]
#[case::a_gang_of_which_nothing_runs("small", Step { is_gang: true, ..tiny(50) }, 50)]
fn reserved_runs_go_to_privileged_work(
    #[case] queue: &str,
    #[case] step: Step,
    #[case] expected: usize,
) {
    let mut harness = harness();
    harness.submit(1, "small", vec![tiny(5_000)]);
    run_rounds(&mut harness);
    let tasks = step.count;
    harness.submit(2, queue, vec![step]);
    run_rounds(&mut harness);
    assert_eq!(placed(&harness, 2, tasks), expected);
}

/// A long-running task that ends runs again, although others wait for its place.
#[test]
fn a_long_running_task_keeps_its_run() {
    let mut harness = harness();
    harness.submit(1, "small", vec![Step { is_lasting: true, ..tiny(1) }]);
    run_rounds(&mut harness);
    harness.submit(2, "small", vec![tiny(5_000)]);
    run_rounds(&mut harness);
    harness.end(task_id(1, 0, 0), 1, Exit::Failed);
    run_rounds(&mut harness);
    assert_eq!(placed(&harness, 1, 1), 1);
}

/// All work is done in the end, in as many turns as it takes.
#[test]
fn work_beyond_the_limit_has_its_turn() {
    let mut harness = harness();
    for job in 1..5 {
        harness.submit(job, "small", vec![tiny(1_000)]);
    }
    for _ in 0..40 {
        run_rounds(&mut harness);
        let runs: Vec<_> = (0..WORKERS)
            .flat_map(|at| {
                let worker = format!("w{at}");
                let runs = harness.table.runs_on(&worker).map(|(task, run)| (*task, run.number));
                runs.collect::<Vec<_>>()
            })
            .collect();
        runs.into_iter().for_each(|(task, run)| harness.end(task, run, Exit::Done));
    }
    assert!((1..5).all(|job| harness.phase(job) == "completed"));
}
