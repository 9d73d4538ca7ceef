//! Tasks of a step: those that wait cost next to nothing, in memory and in a snapshot.

use eelgrassvalve::batch::job::{Progress, Run, State, Task, Tasks};
use eelgrassvalve::mesh::frame::{decode, encode};
use rstest::rstest;
use serde::Serialize;

/// Bytes that a step with waiting tasks takes in a snapshot at most, whatever their number.
const MAX_WAITING_BYTES: usize = 256;

/// A step's progress as earlier versions stored it.
#[derive(Serialize)]
struct EarlierProgress {
    tasks: Vec<Task>,
    done: u32,
    failed_run: u32,
    failures: u32,
}

fn active(number: u32) -> Task {
    let run = Run { number, worker: "w".into(), incarnation: 1, placed_ms: 2, is_stopping: false };
    Task { state: State::Active(run), runs: number, ..Task::default() }
}

fn done() -> Task {
    Task { state: State::Done, runs: 1, ..Task::default() }
}

#[rstest]
#[case::none(&[], &[0, 1, 2, 3])]
#[case::first_runs(&[(0, active(1))], &[1, 2, 3])]
#[case::last_runs(&[(3, active(1))], &[0, 1, 2])]
#[case::one_in_the_middle_is_done(&[(1, done())], &[0, 2, 3])]
#[case::one_failed_and_waits_again(&[(1, Task { runs: 1, failures: 1, ..Task::default() }), (2, active(1))], &[0, 1, 3])]
#[case::all_are_done(&[(0, done()), (1, done()), (2, done()), (3, done())], &[])]
fn waiting_tasks_are_those_without_a_run(
    #[case] changed: &[(usize, Task)],
    #[case] waiting: &[u32],
) {
    let mut tasks = Tasks::new(4);
    for (index, task) in changed {
        tasks[*index] = task.clone();
    }
    assert_eq!(tasks.waiting().iter().collect::<Vec<u32>>(), waiting);
    assert_eq!(tasks.waiting().len(), waiting.len());
    assert_eq!(tasks.len(), 4);
    assert_eq!(tasks.iter().count(), 4);
    assert_eq!(tasks.get(4), None);
    assert_eq!(decode::<Tasks>(&encode(&tasks)).expect("tasks"), tasks);
}

#[rstest]
fn waiting_tasks_cost_a_snapshot_nothing(#[values(1, 10_000)] count: u32) {
    let progress = Progress { tasks: Tasks::new(count), ..Progress::default() };
    let bytes = encode(&progress).len();
    assert!(bytes <= MAX_WAITING_BYTES, "{bytes} bytes for {count} tasks");
}

#[rstest]
#[case::all_wait(vec![Task::default(); 3])]
#[case::some_have_begun(vec![done(), Task::default(), active(2), Task::default()])]
#[case::all_have_begun(vec![done(), active(7)])]
#[case::no_tasks(Vec::new())]
fn progress_of_earlier_versions_is_read(#[case] tasks: Vec<Task>) {
    let earlier = EarlierProgress { tasks: tasks.clone(), done: 1, failed_run: 2, failures: 3 };
    let read: Progress = decode(&encode(&earlier)).expect("progress");
    assert_eq!(read.tasks.iter().cloned().collect::<Vec<Task>>(), tasks);
    assert_eq!((read.done, read.failed_run, read.failures), (1, 2, 3));
}
