//! The replicated table of batch jobs: submissions, runs and their ends, and documents.

mod support;

use ciborium::Value;
use eelgrassvalve::batch::document::{Customer, Document, Queue};
use eelgrassvalve::batch::job::{Id, Schedule, Spec, Step, TaskId};
use eelgrassvalve::batch::table::{Command, End, Round, Table};
use eelgrassvalve::batch::worker::Exit;
use eelgrassvalve::error::Code;
use eelgrassvalve::verdict::Verdict;
use rstest::rstest;
use support::batch::{Harness, document, gang, step, task_id};

#[test]
fn steps_wait_for_the_ones_before_them() {
    let mut harness = Harness::with_workers(1);
    harness.submit(1, "small", vec![step(2), Step { after: vec![0], ..step(1) }]);
    harness.run_round();
    assert!(harness.worker_of(task_id(1, 0, 0)).is_some());
    assert!(harness.worker_of(task_id(1, 1, 0)).is_none());
    harness.end(task_id(1, 0, 0), 1, Exit::Done);
    harness.run_round();
    assert!(harness.worker_of(task_id(1, 1, 0)).is_none(), "one task of the first step still runs");
    harness.end(task_id(1, 0, 1), 1, Exit::Done);
    harness.run_round();
    assert!(harness.worker_of(task_id(1, 1, 0)).is_some());
    assert_eq!(harness.phase(1), "running");
    harness.end(task_id(1, 1, 0), 1, Exit::Done);
    assert_eq!(harness.phase(1), "completed");
}

#[rstest]
#[case::done(Exit::Done, "completed", None)]
#[case::failed_once(Exit::Failed, "running", Some(1))]
#[case::stopped(Exit::Stopped, "running", Some(0))]
#[case::lapsed(Exit::Lapsed, "running", Some(0))]
#[case::refused(Exit::Refused, "running", Some(0))]
fn the_end_of_a_run_updates_its_job(
    #[case] exit: Exit,
    #[case] phase: &str,
    #[case] failures: Option<u32>,
) {
    let mut harness = Harness::new();
    harness.submit(1, "small", vec![step(1)]);
    harness.start(task_id(1, 0, 0), 1, "w0");
    harness.end(task_id(1, 0, 0), 1, exit);
    assert_eq!(harness.phase(1), phase);
    let task = harness.table.job(Id(1)).and_then(|job| job.task(&task_id(1, 0, 0)).cloned());
    assert_eq!(task.map(|task| task.failures), failures);
}

#[test]
fn ends_of_inactive_runs_change_nothing() {
    let mut harness = Harness::new();
    harness.submit(1, "small", vec![step(1)]);
    harness.start(task_id(1, 0, 0), 1, "w0");
    harness.end(task_id(1, 0, 0), 1, Exit::Lapsed);
    harness.start(task_id(1, 0, 0), 2, "w1");
    let before = harness.table.clone();
    harness.end(task_id(1, 0, 0), 1, Exit::Done);
    harness.end(task_id(1, 0, 0), 3, Exit::Done);
    harness.end(task_id(7, 0, 0), 1, Exit::Done);
    assert_eq!(harness.table, before);
}

#[rstest]
#[case::not_higher_than_an_earlier_run(1)]
#[case::while_an_earlier_run_is_active(2)]
fn an_invalid_start_changes_nothing(#[case] run: u32) {
    let mut harness = Harness::new();
    harness.submit(1, "small", vec![step(1)]);
    harness.start(task_id(1, 0, 0), 1, "w0");
    if run == 1 {
        harness.end(task_id(1, 0, 0), 1, Exit::Stopped);
    }
    let before = harness.table.clone();
    harness.start(task_id(1, 0, 0), run, "w1");
    assert_eq!(harness.table, before);
}

#[test]
fn a_job_fails_after_the_attempts_of_its_queue() {
    let mut harness = Harness::new();
    harness.submit(1, "large", vec![step(2)]);
    harness.start(task_id(1, 0, 1), 1, "w1");
    for run in 1..=2 {
        assert_eq!(harness.phase(1), "running");
        harness.start(task_id(1, 0, 0), run, "w0");
        harness.end(task_id(1, 0, 0), run, Exit::Failed);
    }
    assert_eq!(harness.phase(1), "failed");
    assert_eq!(harness.table.runs_on("w1").count(), 0, "the other task is no longer placed");
}

#[test]
fn a_gang_completes_as_a_whole() {
    let mut harness = Harness::new();
    harness.submit(1, "large", vec![gang(3)]);
    for index in 0..3 {
        harness.start(task_id(1, 0, index), 1, &format!("w{index}"));
    }
    harness.end(task_id(1, 0, 1), 1, Exit::Done);
    assert_eq!(harness.phase(1), "completed");
}

#[test]
fn one_failure_of_a_gang_counts_once_and_stops_the_others() {
    let mut harness = Harness::new();
    harness.submit(1, "large", vec![gang(3)]);
    for index in 0..3 {
        harness.start(task_id(1, 0, index), 1, &format!("w{index}"));
    }
    harness.end(task_id(1, 0, 0), 1, Exit::Failed);
    let is_stopping =
        |index| harness.table.active_run(&task_id(1, 0, index)).is_some_and(|run| run.is_stopping);
    assert!(is_stopping(1) && is_stopping(2));
    harness.end(task_id(1, 0, 1), 1, Exit::Failed);
    harness.end(task_id(1, 0, 2), 1, Exit::Broken);
    let progress = &harness.table.live[&Id(1)].occurrences[&0].steps[0];
    assert_eq!(progress.failures, 1);
}

#[test]
fn a_checkpoint_of_one_task_applies_to_the_whole_gang() {
    let mut harness = Harness::new();
    harness.submit(1, "large", vec![Step { is_checkpointing: true, ..gang(2) }]);
    for index in 0..2 {
        harness.start(task_id(1, 0, index), 1, &format!("w{index}"));
    }
    let checkpoint = "saved".to_string();
    let end = End { task: task_id(1, 0, 0), run: 1, how: Exit::Stopped, checkpoint };
    harness.apply(Command::Round(Round { ends: vec![end], ..Round::default() }));
    harness.end(task_id(1, 0, 1), 1, Exit::Broken);
    let tasks = &harness.table.live[&Id(1)].occurrences[&0].steps[0].tasks;
    assert!(tasks.iter().all(|task| task.checkpoint == "saved"));
}

#[test]
fn a_cancelled_job_starts_nothing_and_keeps_no_placement() {
    let mut harness = Harness::with_workers(1);
    harness.submit(1, "small", vec![step(2)]);
    harness.start(task_id(1, 0, 0), 1, "w0");
    harness.apply(Command::Cancel(Id(1)));
    assert_eq!(harness.phase(1), "cancelled");
    assert!(harness.run_round().round.starts.is_empty());
    harness.start(task_id(1, 0, 1), 1, "w0");
    assert_eq!(harness.table.runs_on("w0").count(), 0);
    harness.apply(Command::Cancel(Id(1)));
    assert_eq!(harness.phase(1), "cancelled");
}

#[test]
fn resubmitting_a_job_changes_nothing() {
    let mut harness = Harness::new();
    harness.submit(1, "small", vec![step(1)]);
    harness.start(task_id(1, 0, 0), 1, "w0");
    let before = harness.table.clone();
    harness.submit(1, "small", vec![step(5)]);
    assert_eq!(harness.table, before);
    harness.end(task_id(1, 0, 0), 1, Exit::Done);
    harness.submit(1, "small", vec![step(1)]);
    assert_eq!(harness.phase(1), "completed");
}

#[test]
fn occurrences_start_when_due_and_a_job_completes_after_the_last() {
    let mut harness = Harness::with_workers(2);
    let schedule = Schedule { count: 2, first_ms: harness.now_ms + 1_000, interval_ms: 500 };
    let spec = Spec { payload: "text".into(), steps: vec![step(1)], schedule: Some(schedule) };
    harness.submit_spec(1, "small", spec);
    harness.run_round();
    assert!(harness.table.live[&Id(1)].occurrences.is_empty());
    assert!(!harness.table.has_due_occurrence(harness.now_ms + 999));
    harness.now_ms += 1_000;
    assert!(harness.table.has_due_occurrence(harness.now_ms));
    harness.run_round();
    harness.receive_heartbeats(2);
    harness.run_round();
    assert!(harness.worker_of(task_id(1, 0, 0)).is_some());
    harness.end(task_id(1, 0, 0), 1, Exit::Done);
    assert_eq!(harness.phase(1), "running", "the second occurrence is still to come");
    harness.now_ms += 500;
    harness.run_round();
    harness.receive_heartbeats(2);
    harness.run_round();
    harness.end(TaskId { occurrence: 1, ..task_id(1, 0, 0) }, 1, Exit::Done);
    assert_eq!(harness.phase(1), "completed");
}

#[test]
fn a_long_running_job_restarts_however_its_tasks_end() {
    let mut harness = Harness::new();
    harness.submit(1, "large", vec![Step { is_lasting: true, ..step(1) }]);
    for (run, exit) in [(1, Exit::Done), (2, Exit::Failed), (3, Exit::Failed), (4, Exit::Lapsed)] {
        harness.start(task_id(1, 0, 0), run, "w0");
        harness.end(task_id(1, 0, 0), run, exit);
        assert_eq!(harness.phase(1), "running");
    }
}

#[test]
fn jobs_are_pending_until_a_task_starts() {
    let mut harness = Harness::new();
    harness.submit(1, "small", vec![step(1)]);
    harness.submit(2, "small", vec![step(1)]);
    harness.submit(3, "large", vec![step(1)]);
    assert_eq!(harness.fleet.count_pending(&harness.table, "small"), 2);
    harness.start(task_id(1, 0, 0), 1, "w0");
    assert_eq!(harness.fleet.count_pending(&harness.table, "small"), 1);
}

/// Pending jobs are the accepted ones of which no task has started, due or not.
#[test]
fn a_scheduled_job_is_pending_before_it_is_due() {
    let mut harness = Harness::new();
    let first_ms = harness.now_ms + 60_000;
    let schedule = Some(Schedule { count: 2, first_ms, interval_ms: 1_000 });
    let spec = Spec { payload: "text".into(), steps: vec![step(1)], schedule };
    harness.submit_spec(1, "small", spec);
    assert!(!harness.table.has_due_occurrence(harness.now_ms));
    assert_eq!(harness.fleet.count_pending(&harness.table, "small"), 1);
}

#[test]
fn an_ended_job_is_kept_for_the_retention_period() {
    let mut harness = Harness::new();
    harness.submit(1, "small", vec![step(1)]);
    harness.apply(Command::Cancel(Id(1)));
    harness.now_ms += 120_000;
    harness.submit(2, "small", vec![step(1)]);
    assert_eq!(harness.phase(1), "cancelled");
    harness.now_ms += 600_000;
    harness.submit(3, "small", vec![step(1)]);
    assert_eq!(harness.phase(1), "unknown");
    // The job may have run, or may never have been submitted.
    let unknown = harness.table.find_job(Id(1)).expect_err("the job is no longer kept");
    assert_eq!((unknown.code, unknown.verdict), (Code::KeyExpired, Verdict::MayHaveRun));
}

#[rstest]
#[case::higher(2, 2)]
#[case::equal(1, 1)]
#[case::lower(0, 1)]
fn the_highest_revision_is_in_force(#[case] published: u64, #[case] expected: u64) {
    let mut table = Table::default();
    table.apply(&Command::Publish(document().into()), 0).expect("applies");
    let next = Document { revision: published, queues: Vec::new(), ..document() };
    table.apply(&Command::Publish(next.into()), 0).expect("applies");
    assert_eq!(table.document.revision, expected);
    assert_eq!(
        table.document.queues.is_empty(),
        published > 1,
        "a lower or equal revision changes nothing"
    );
}

fn document_with_changed_queue(change: impl FnOnce(&mut Queue)) -> Document {
    let mut document = document();
    change(&mut document.queues[0]);
    document
}

#[rstest]
#[case::valid(document(), 0)]
#[case::no_revision(Document { revision: 0, ..document() }, 1)]
#[case::no_timeout(document_with_changed_queue(|queue| queue.timeout_ms = 0), 1)]
#[case::unknown_pool(document_with_changed_queue(|queue| queue.terms.pool = "other".into()), 1)]
#[case::duplicate_prefix(document_with_changed_queue(|queue| queue.prefix = "/large/".into()), 1)]
#[case::shared_key(document_with_shared_key(), 1)]
#[case::several_faults(document_with_changed_queue(|queue| { queue.timeout_ms = 0; queue.prefix = "/large/".into() }), 2)]
fn every_fault_of_a_document_is_reported(#[case] document: Document, #[case] fault_count: usize) {
    assert_eq!(document.faults().len(), fault_count, "{:?}", document.faults());
}

fn document_with_shared_key() -> Document {
    let other = Customer { name: "other".into(), keys: vec!["key".into()], guaranteed: 0 };
    let mut document = document();
    document.customers.push(other);
    document
}

#[rstest]
#[case("host", "/urgent/00", Some(("urgent", "00")))]
#[case("host", "/urgent/", Some(("urgent", "")))]
#[case("host", "/urgent/deep/00", Some(("deep", "00")))]
#[case("other", "/urgent/00", None)]
#[case("host", "/none/00", None)]
fn the_longest_matching_prefix_selects_the_queue(
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Option<(&str, &str)>,
) {
    let mut document = document();
    let deep =
        Queue { name: "deep".into(), prefix: "/urgent/deep/".into(), ..document.queues[0].clone() };
    document.queues.push(deep);
    let found = document.find_queue(host, path).map(|(queue, rest)| (queue.name.as_str(), rest));
    assert_eq!(found, expected);
}

#[rstest]
#[case("5c0e7a21d94b36f8.0.1.17", true)]
#[case("5C0E7A21D94B36F8.0.1.17", false)]
#[case("5c0e7a21d94b36f8.0.1", false)]
#[case("5c0e7a21d94b36f8.0.1.17.2", false)]
#[case("5c0e7a21d94b36f.0.1.17", false)]
#[case("5c0e7a21d94b36f8.0.-1.17", false)]
fn task_ids_are_parsed_and_formatted(#[case] text: &str, #[case] is_valid: bool) {
    let parsed = TaskId::parse(text);
    assert_eq!(parsed.map(|id| id.to_string()), is_valid.then(|| text.to_string()));
}

/// Removes a field from every map of a value.
fn remove_field(value: &mut Value, name: &str) -> usize {
    match value {
        Value::Map(entries) => {
            let before = entries.len();
            entries.retain(|(key, _)| key.as_text() != Some(name));
            let removed = before - entries.len();
            removed + entries.iter_mut().map(|(_, value)| remove_field(value, name)).sum::<usize>()
        }
        Value::Array(values) => values.iter_mut().map(|value| remove_field(value, name)).sum(),
        _ => 0,
    }
}

/// Snapshots of members that don't know these fields yet.
#[rstest]
#[case::broken_run("broken_run")]
#[case::lapsed_run("lapsed_run")]
fn a_stored_task_without_a_newer_field_is_read(#[case] field: &str) {
    let mut harness = Harness::new();
    harness.submit(1, "small", vec![step(1)]);
    harness.start(task_id(1, 0, 0), 1, "w0");
    let mut stored = Value::serialized(&harness.table).expect("the table is serialized");
    assert_eq!(remove_field(&mut stored, field), 1);
    let read: Table = stored.deserialized().expect("the older table is read");
    assert_eq!(read, harness.table);
}

#[test]
fn a_stored_task_without_earlier_lapsed_runs_is_read() {
    let mut harness = Harness::new();
    harness.submit(1, "small", vec![step(1)]);
    for run in 1..=3 {
        harness.start(task_id(1, 0, 0), run, "w0");
        harness.end(task_id(1, 0, 0), run, Exit::Lapsed);
    }
    let mut stored = Value::serialized(&harness.table).expect("the table is serialized");
    assert_eq!(remove_field(&mut stored, "earlier_lapsed_runs"), 1);
    let read: Table = stored.deserialized().expect("the older table is read");
    let task = read.live[&Id(1)].task(&task_id(1, 0, 0)).expect("it is known");
    assert_eq!(task.lapsed_runs().collect::<Vec<_>>(), [3]);
}

/// The list of a task that is lost again and again stays short.
#[test]
fn only_the_last_lapsed_runs_are_kept() {
    let mut harness = Harness::new();
    harness.submit(1, "small", vec![step(1)]);
    for run in 1..=20 {
        harness.start(task_id(1, 0, 0), run, "w0");
        harness.end(task_id(1, 0, 0), run, Exit::Lapsed);
    }
    let task = harness.table.live[&Id(1)].task(&task_id(1, 0, 0)).expect("it is known");
    assert_eq!(task.lapsed_runs().collect::<Vec<_>>(), (13..=20).collect::<Vec<_>>());
}
