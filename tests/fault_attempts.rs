//! How often a task is tried while some of its failures are not known yet.

mod support;

use eelgrassvalve::batch::fleet::{Fleet, lease_bound_ms};
use eelgrassvalve::batch::table::{Command, End as Ended, Round};
use eelgrassvalve::batch::worker::{End, Exit};
use rstest::rstest;
use support::batch::{Harness, LEASE_MS, gang, step, task_id};

/// Time after which a worker without a heartbeat counts as silent, in milliseconds.
const SILENCE_MS: u64 = 2_500;

fn record_ends(harness: &mut Harness) -> Vec<Ended> {
    let (fleet, table) = (&mut harness.fleet, &harness.table);
    let ends = fleet.pending_ends(table, 0, harness.now_ms);
    harness.apply(Command::Round(Round { ends: ends.clone(), ..Round::default() }));
    ends
}

/// Receives heartbeats of all workers but `w0`, which is cut off, and plans a round. Returns the number
/// of starts.
fn plan_without_w0(harness: &mut Harness) -> usize {
    for worker in ["w1", "w2", "w3"] {
        harness.receive_heartbeat(worker, |_| {});
        harness.answer_heartbeat(worker);
    }
    harness.run_round().round.starts.len()
}

fn report(harness: &mut Harness, worker: &str, index: u32, run: u32, how: Exit) {
    let end = End { number: 1, task: task_id(1, 0, index), run, how, checkpoint: String::new() };
    harness.receive_heartbeat(worker, |heartbeat| {
        heartbeat.running.clear();
        heartbeat.ended = vec![end];
    });
}

/// Runs a gang on `w0` and `w1`. Run `run` ends on `w0` while that is cut off; the task on `w1` reports
/// that it broke, so that the run is declared lost before the lease of `w0` has expired.
fn break_run(harness: &mut Harness, run: u32) {
    harness.start(task_id(1, 0, 0), run, "w0");
    harness.start(task_id(1, 0, 1), run, "w1");
    harness.receive_heartbeat("w0", |_| {});
    harness.receive_heartbeat("w1", |_| {});
    harness.now_ms += SILENCE_MS;
    report(harness, "w1", 1, run, Exit::Broken);
    for how in [Exit::Broken, Exit::Lapsed] {
        let ends = record_ends(harness);
        assert_eq!(ends.iter().map(|end| end.how).collect::<Vec<_>>(), [how]);
    }
}

fn with_broken_run(queue: &str, failures: u32) -> Harness {
    let mut harness = Harness::with_workers(4);
    harness.submit(1, queue, vec![gang(2)]);
    for run in 1..=failures {
        harness.start(task_id(1, 0, 0), run, "w0");
        harness.start(task_id(1, 0, 1), run, "w1");
        harness.end(task_id(1, 0, 0), run, Exit::Failed);
        harness.end(task_id(1, 0, 1), run, Exit::Broken);
    }
    break_run(&mut harness, failures + 1);
    harness
}

/// Guards against a run more than the queue allows: a gang's run that ended on a silent worker may have
/// failed, and be reported once the worker is heard again.
#[rstest]
#[case::last_attempt_of_two("large", 1, 0)]
#[case::first_attempt_of_two("large", 0, 2)]
#[case::last_attempt_of_three("urgent", 2, 0)]
#[case::second_attempt_of_three("urgent", 1, 2)]
#[case::last_attempt_of_four("small", 3, 0)]
#[case::third_attempt_of_four("small", 2, 2)]
fn a_gang_that_may_have_failed_for_the_last_time_waits(
    #[case] queue: &str,
    #[case] failures: u32,
    #[case] starts: usize,
) {
    let mut harness = with_broken_run(queue, failures);
    assert_eq!(plan_without_w0(&mut harness), starts);
}

#[test]
fn the_gang_fails_once_its_last_failure_is_reported() {
    let mut harness = with_broken_run("large", 1);
    report(&mut harness, "w0", 0, 2, Exit::Failed);
    assert_eq!(plan_without_w0(&mut harness), 0, "the failure is not committed yet");
    record_ends(&mut harness);
    assert_eq!(harness.phase(1), "failed");
}

/// A failure that is reported after the lease of its worker has expired is no attempt, so that the gang
/// need not wait for it any longer.
#[rstest]
#[case::before_it_expires(lease_bound_ms(LEASE_MS) - SILENCE_MS - 1, 0)]
#[case::once_it_has_expired(lease_bound_ms(LEASE_MS) - SILENCE_MS, 2)]
fn the_gang_waits_until_the_lease_has_expired(#[case] wait_ms: u64, #[case] starts: usize) {
    let mut harness = with_broken_run("large", 1);
    harness.now_ms += wait_ms;
    plan_without_w0(&mut harness);
    record_ends(&mut harness);
    assert_eq!(harness.run_round().round.starts.len(), starts);
}

/// A heartbeat that was composed before the run ended arrives after it was declared lost, and extends the
/// lease of its worker.
#[test]
fn a_late_heartbeat_that_lists_the_run_prolongs_the_wait() {
    let mut harness = with_broken_run("large", 1);
    harness.receive_heartbeat("w0", |heartbeat| {
        let row = |task| eelgrassvalve::batch::worker::Run {
            task,
            run: 2,
            checkpoint: String::new(),
            percent: 50,
            gauge: 0,
        };
        heartbeat.running = vec![row(task_id(1, 0, 0))];
    });
    harness.now_ms += lease_bound_ms(LEASE_MS) - SILENCE_MS;
    record_ends(&mut harness);
    assert_eq!(plan_without_w0(&mut harness), 0);
}

/// Of two runs that were declared lost one after the other both may have failed; the failures of both
/// are counted when they are reported.
#[test]
fn each_run_that_may_have_failed_counts() {
    let mut harness = with_broken_run("urgent", 0);
    assert_eq!(plan_without_w0(&mut harness), 2);
    let restart = task_id(1, 0, 0);
    let worker = harness.worker_of(restart).expect("it is placed");
    // The worker of the second run lists it and restarts, and the gang is placed a third time.
    harness.receive_heartbeat(&worker, |_| {});
    harness.receive_heartbeat(&worker, |heartbeat| {
        heartbeat.incarnation = 2;
        heartbeat.running.clear();
    });
    let other = harness.worker_of(task_id(1, 0, 1)).expect("it is placed");
    report(&mut harness, &other, 1, 2, Exit::Broken);
    record_ends(&mut harness);
    let task = &harness.table.live[&task_id(1, 0, 0).job].occurrences[&0].steps[0].tasks[0];
    assert_eq!(task.lapsed_runs().collect::<Vec<_>>(), [1, 2]);
    report(&mut harness, "w0", 0, 1, Exit::Failed);
    assert_eq!(record_ends(&mut harness).len(), 1, "the first run's failure is still accepted");
    let steps = &harness.table.live[&task_id(1, 0, 0).job].occurrences[&0].steps;
    assert_eq!(steps[0].failures, 1);
}

/// A new leader doesn't know which runs the one before had declared lost early.
#[rstest]
#[case::at_once(0, 0)]
#[case::before_all_leases_have_expired(lease_bound_ms(LEASE_MS) - 1, 0)]
#[case::later(lease_bound_ms(LEASE_MS), 2)]
fn a_new_leader_waits_for_the_leases_of_the_one_before(
    #[case] elapsed_ms: u64,
    #[case] starts: usize,
) {
    let mut harness = with_broken_run("large", 1);
    harness.fleet = Fleet::of_term(2);
    let takeover_until_ms = harness.now_ms + lease_bound_ms(LEASE_MS);
    harness.now_ms += elapsed_ms;
    harness.fleet.pending_ends(&harness.table, takeover_until_ms, harness.now_ms);
    plan_without_w0(&mut harness);
    assert_eq!(plan_without_w0(&mut harness), starts);
}

/// A late failure that is about to be committed is an attempt of a single task, too.
#[rstest]
#[case::last_attempt("large", 1, 0)]
#[case::attempts_left("small", 1, 1)]
fn a_task_does_not_start_while_its_last_failure_is_committed(
    #[case] queue: &str,
    #[case] failures: u32,
    #[case] starts: usize,
) {
    let mut harness = Harness::with_workers(4);
    harness.submit(1, queue, vec![step(1)]);
    for run in 1..=failures {
        harness.start(task_id(1, 0, 0), run, "w1");
        harness.end(task_id(1, 0, 0), run, Exit::Failed);
    }
    harness.start(task_id(1, 0, 0), failures + 1, "w0");
    harness.end(task_id(1, 0, 0), failures + 1, Exit::Lapsed);
    report(&mut harness, "w0", 0, failures + 1, Exit::Failed);
    harness.now_ms += 3_000;
    assert_eq!(plan_without_w0(&mut harness), starts);
}
