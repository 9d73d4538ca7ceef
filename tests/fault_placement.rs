//! Decisions about faulty jobs, workers and reports: each case has a single fault and the decision
//! that is expected.

mod support;

use std::collections::BTreeMap;

use eelgrassvalve::control::gang::{Observation, Rules};
use eelgrassvalve::placement::health;
use eelgrassvalve::state::document::Document;
use eelgrassvalve::state::job::{Adjacency, Command, Disposition, Job, Part, Phase, Spec, Table};
use eelgrassvalve::state::worker;
use rstest::rstest;
use serde_json::json;
use support::replay::{Replay, fleet, spec};

fn document() -> Document {
    let document = json!({
        "placement": { "policy": "cells" },
        "kinds": [
            { "name": "urgent", "rank": 0 },
            { "name": "usual", "rank": 1, "deadline_ms": 86_400_000 },
        ],
        "customers": [
            { "name": "owner", "guarantee": [{ "cell": "worker", "count": 2 }] },
            { "name": "guest" },
        ],
    });
    serde_json::from_value(document).expect("the document is valid")
}

fn non_evictable(spec: Spec) -> Spec {
    Spec { evictable: false, ..spec }
}

// A job that can never run fails at once and names the dimension; any other job is placed.
#[rstest]
#[case::accelerators(spec("usual", 1, 9), "failed: accelerators: a part needs 9")]
#[case::cores(Spec { cores: 65, ..spec("usual", 1, 1) }, "failed: cores: a part needs 65")]
#[case::memory(Spec { memory_mib: 1 << 30, ..spec("usual", 1, 1) }, "failed: memory")]
#[case::oversized_gang(spec("usual", 32, 8), "failed: gang: 32 parts of 8")]
#[case::adjacency(Spec { adjacency: Adjacency::Worker, ..spec("usual", 2, 8) }, "failed: gang")]
#[case::rack(Spec { adjacency: Adjacency::Rack, ..spec("usual", 9, 8) }, "failed: gang")]
#[case::no_guarantee(non_evictable(spec("usual", 1, 1)), "failed: guarantee")]
#[case::unknown_kind(spec("unknown-kind", 1, 1), "preparing")]
#[case::no_accelerators(Spec { cores: 4, ..spec("usual", 2, 0) }, "preparing")]
#[case::whole_rack(Spec { adjacency: Adjacency::Rack, ..spec("usual", 8, 8) }, "preparing")]
#[case::large_gang(spec("usual", 16, 8), "preparing")]
fn an_unsatisfiable_job_fails_at_once_and_blocks_no_other(
    #[case] spec: Spec,
    #[case] expected: &str,
) {
    let mut replay = Replay::new(document(), fleet(16, 8), None);
    replay.submit("a-faulty", "guest", spec, 1_000);
    replay.submit("behind", "guest", support::replay::spec("usual", 1, 8), 1_000);
    replay.step(200);
    let phase = &replay.jobs.get("a-faulty").expect("the job is known").phase;
    let text = match phase {
        Phase::Failed(reason) => format!("failed: {reason}"),
        phase => phase.name().to_string(),
    };
    assert!(text.starts_with(expected), "{text}");
    for _ in 0..20 {
        replay.step(200);
    }
    assert_eq!(replay.phase("behind"), "finished");
}

#[test]
fn a_gang_is_not_refused_while_workers_are_briefly_down() {
    let mut replay = Replay::new(document(), fleet(16, 8), None);
    replay.step(200);
    replay.remove_worker("worker-000");
    replay.submit("gang", "guest", spec("usual", 16, 8), 1_000);
    replay.step(200);
    assert_eq!(replay.phase("gang"), "waiting");
    assert!(replay.explain("gang").contains("accelerators: 128 needed, 120 free"));
    replay.workers = fleet(16, 8);
    replay.step(200);
    assert_eq!(replay.phase("gang"), "preparing");
}

#[test]
fn an_unschedulable_worker_takes_no_work() {
    let mut workers = fleet(3, 8);
    workers[0].is_schedulable = false;
    let mut replay = Replay::new(document(), workers, None);
    for index in 0..3 {
        replay.submit(&format!("job-{index}"), "guest", spec("usual", 1, 8), 60_000);
    }
    replay.step(200);
    for job in replay.jobs.live.values() {
        let Some(gang) = job.phase.gang() else { continue };
        assert_ne!(gang.parts[0].worker, "worker-000");
    }
    assert_eq!(replay.jobs.live.values().filter(|job| job.phase.gang().is_some()).count(), 2);
}

#[test]
fn an_understated_run_time_is_corrected_from_finished_jobs() {
    let mut replay = Replay::new(document(), fleet(4, 8), None);
    let understated = Spec { run_ms: 1_000, ..spec("usual", 1, 8) };
    for index in 0..8 {
        replay.submit(&format!("understated-{index}"), "guest", understated.clone(), 20_000);
    }
    while !replay.jobs.live.is_empty() {
        replay.step(500);
    }
    // Three of four workers are taken for 10 s; the gang waits for all four.
    for index in 0..3 {
        let accurate = Spec { run_ms: 10_000, ..spec("urgent", 1, 8) };
        replay.submit(&format!("accurate-{index}"), "guest", accurate, 10_000);
    }
    replay.step(200);
    replay.submit("a-gang", "guest", spec("usual", 4, 8), 1_000);
    replay.step(200);
    replay.submit("understated", "guest", understated, 20_000);
    replay.step(200);
    // By its declared run time the job would end before the gang can start; by the learned one, it
    // would delay the gang.
    assert_eq!(replay.phase("understated"), "waiting");
    while replay.phase("a-gang") != "started" {
        replay.step(200);
        assert!(replay.now_ms() < 1_000_000 + 60_000);
    }
}

#[test]
fn small_jobs_backfill_without_starving_a_large_one() {
    let mut replay = Replay::new(document(), fleet(4, 8), None);
    let small = Spec { run_ms: 5_000, ..spec("usual", 1, 4) };
    let long = Spec { run_ms: 30_000, ..spec("usual", 1, 8) };
    replay.submit("a-long", "guest", long, 30_000);
    replay.step(200);
    replay.submit("large", "guest", Spec { run_ms: 5_000, ..spec("usual", 4, 8) }, 5_000);
    for index in 0..200 {
        replay.submit(&format!("small-{index:03}"), "guest", small.clone(), 5_000);
    }
    replay.step(200);
    let running = replay.jobs.live.values().filter(|job| job.phase.gang().is_some()).count();
    assert_eq!(running, 7, "small jobs backfill what the large one can't use yet");
    let start_bound_ms = replay.now_ms() + 40_000;
    while replay.phase("large") != "started" {
        replay.step(200);
        assert!(replay.now_ms() < start_bound_ms, "{}", replay.explain("large"));
    }
}

#[rstest]
#[case::one_call(1_000)]
#[case::many_calls(1)]
fn a_mass_cancellation_ends_jobs_in_every_phase(#[case] batch_size: usize) {
    let mut replay = Replay::new(document(), fleet(16, 8), None);
    let mut ids = Vec::new();
    for index in 0..1_000 {
        let id = format!("job-{index:04}");
        replay.submit(&id, "guest", spec("usual", 1, 4), 3_600_000);
        ids.push(id);
    }
    replay.step(200);
    replay.step(400);
    replay.jobs.apply(&stop_command(&replay, "job-0000"), replay.now_ms()).expect("the job runs");
    for _resend in 0..2 {
        for ids in ids.chunks(batch_size) {
            replay.apply(Command::Cancel { customer: "guest".into(), ids: ids.to_vec() });
        }
        replay.step(100);
    }
    replay.submit("next", "guest", spec("usual", 1, 8), 200);
    for _ in 0..20 {
        replay.step(200);
    }
    for id in &ids {
        assert_eq!(replay.phase(id), "cancelled", "{id}");
    }
    assert_eq!(replay.phase("next"), "finished");
}

fn stop_command(replay: &Replay, id: &str) -> Command {
    let job = replay.jobs.get(id).expect("the job is known");
    let epoch = job.phase.gang().expect("the job runs").epoch;
    Command::Stop { id: id.into(), epoch, next: Disposition::Wait, failed_on: None }
}

fn started_job(failed_on: &[&str]) -> Job {
    let mut table = Table::default();
    let submit =
        Command::Submit { id: "job".into(), customer: "guest".into(), spec: spec("usual", 1, 1) };
    table.apply(&submit, 0).expect("the job is new");
    let part = eelgrassvalve::state::job::Part { worker: "worker-9".into(), accelerators: 1 };
    let place = Command::Place { id: "job".into(), parts: vec![part], guaranteed: false };
    table.apply(&place, 0).expect("the job waits");
    table
        .apply(&Command::Start { id: "job".into(), epoch: 1 }, 0)
        .expect("the job is being prepared");
    let mut job = table.get("job").expect("the job is known").clone();
    for name in failed_on {
        job.failed_on.insert((*name).into(), 0);
        job.failures += 1;
    }
    job
}

fn quarantine_records(names: &[&str]) -> worker::Table {
    let mut records = worker::Table::default();
    for name in names {
        let worker = (*name).to_string();
        records.apply(&worker::Command::Quarantine { worker, until_ms: 1 << 40 }, 0);
    }
    records
}

#[rstest]
#[case::first_failure(&[], &[], true)]
#[case::second_failure(&["worker-1"], &[], true)]
#[case::on_three_workers(&["worker-1", "worker-2"], &[], false)]
#[case::earlier_workers_quarantined(&["worker-1", "worker-2"], &["worker-1", "worker-2"], true)]
#[case::this_worker_quarantined(&["worker-1", "worker-2"], &["worker-9"], true)]
#[case::too_many_failures(&["worker-1"; 9], &["worker-1"], false)]
fn a_job_fails_only_by_its_own_fault(
    #[case] failed_on: &[&str],
    #[case] quarantined: &[&str],
    #[case] may_rerun: bool,
) {
    let document = document();
    let records = quarantine_records(quarantined);
    let rules = Rules { placement: &document.placement, records: &records, wall_ms: 1_000 };
    let observed = Observation {
        failed_worker: Some("worker-9".into()),
        stopped: 1,
        ..Observation::default()
    };
    let next = rules.next_command(&started_job(failed_on), &observed);
    let Some(Command::Stop { next, failed_on, .. }) = next else { panic!("{next:?}") };
    assert_eq!(next == Disposition::Wait, may_rerun, "{next:?}");
    assert_eq!(failed_on.as_deref(), Some("worker-9"));
}

#[rstest]
#[case::one_failure_each(&["w-1", "w-2", "w-3"], &[], &[])]
#[case::fails_every_job(&["w-1", "w-1", "w-1"], &[], &["w-1"])]
#[case::fault_of_the_jobs(&["w-1 w-2", "w-1 w-3", "w-1 w-4"], &[], &[])]
#[case::other_worker_quarantined(&["w-1 w-2", "w-1 w-2", "w-1"], &["w-2"], &["w-1"])]
#[case::already_quarantined(&["w-1", "w-1", "w-1"], &["w-1"], &[])]
fn a_worker_is_quarantined_only_by_its_own_fault(
    #[case] failures: &[&str],
    #[case] quarantined: &[&str],
    #[case] expected: &[&str],
) {
    let mut jobs = Table::default();
    for (index, failed_on) in failures.iter().enumerate() {
        let mut job = started_job(&[]);
        job.id = format!("job-{index}");
        for name in failed_on.split(' ') {
            job.failed_on.insert(name.into(), 1_000);
        }
        jobs.live.insert(job.id.clone(), job);
    }
    let found = health::quarantine_commands(
        &jobs,
        &quarantine_records(quarantined),
        &document().placement,
        16,
        2_000,
    );
    let mut names = Vec::new();
    for command in &found {
        let worker::Command::Quarantine { worker, until_ms } = command else { continue };
        assert!(*until_ms > 2_000);
        names.push(worker.as_str());
    }
    assert_eq!(names, expected);
}

#[test]
fn each_quarantine_is_longer_and_at_most_a_quarter_of_workers_is_quarantined() {
    let mut jobs = Table::default();
    let mut ends_ms = BTreeMap::new();
    for index in 0..30 {
        let mut job = started_job(&[]);
        job.id = format!("job-{index:02}");
        job.failed_on.insert(format!("w-{}", index % 8), 1_000);
        jobs.live.insert(job.id.clone(), job);
    }
    let records = worker::Table::default();
    let found = health::quarantine_commands(&jobs, &records, &document().placement, 8, 2_000);
    assert_eq!(found.len(), 2, "at most a quarter of eight workers");
    for earlier_quarantines in 0..3 {
        let mut records = worker::Table::default();
        for _ in 0..earlier_quarantines {
            let worker = "w-0".to_string();
            records.apply(&worker::Command::Quarantine { worker, until_ms: 10 }, 0);
        }
        let found = health::quarantine_commands(&jobs, &records, &document().placement, 8, 2_000);
        let worker::Command::Quarantine { until_ms, .. } = &found[0] else { panic!("{found:?}") };
        ends_ms.insert(earlier_quarantines, *until_ms);
    }
    assert!(ends_ms[&0] < ends_ms[&1] && ends_ms[&1] < ends_ms[&2], "{ends_ms:?}");
}

// Usage reports lag: usage from before the throttle must not count after it.
#[rstest]
#[case::as_declared(100, None, 1_000, "go on")]
#[case::above_declared(150, None, 1_000, "throttle")]
#[case::reported_late(150, Some(1_000), 20_000, "go on")]
#[case::still_above_declared(150, Some(1_000), 32_000, "stop")]
#[case::below_declared_again(90, Some(1_000), 32_000, "go on")]
fn a_job_above_its_declared_usage_is_throttled_then_stopped(
    #[case] usage_percent: u32,
    #[case] throttled_ms: Option<u64>,
    #[case] wall_ms: u64,
    #[case] expected: &str,
) {
    let document = document();
    let records = worker::Table::default();
    let rules = Rules { placement: &document.placement, records: &records, wall_ms };
    let job = Job { throttled_ms, ..started_job(&[]) };
    let observed = Observation { running: 1, usage_percent, ..Observation::default() };
    let decided = match rules.next_command(&job, &observed) {
        None => "go on",
        Some(Command::Throttle { .. }) => "throttle",
        Some(Command::Stop { next: Disposition::Fail(_), .. }) => "stop",
        Some(other) => panic!("{other:?}"),
    };
    assert_eq!(decided, expected);
}

// Places a job on all accelerators of a worker, and returns its epoch.
fn place_on(replay: &mut Replay, id: &str, worker: &str) -> u64 {
    let parts = vec![Part { worker: worker.into(), accelerators: 0xff }];
    replay.apply(Command::Place { id: id.into(), parts, guaranteed: false });
    replay.jobs.get(id).and_then(|job| job.phase.gang()).expect("the job is placed").epoch
}

/// The urgent job failed on the worker of `short`. `long` has run for 120 days and can't be
/// repeated, so that its eviction loses the most.
#[test]
fn a_worker_on_which_the_job_failed_costs_more_than_any_eviction() {
    const RUN_MS: u64 = 120 * 86_400_000;
    let mut replay = Replay::new(document(), fleet(2, 8), None);
    let long = Spec { idempotent: false, ..spec("usual", 1, 8) };
    for (id, spec, worker) in
        [("long", long, "worker-000"), ("short", spec("usual", 1, 8), "worker-001")]
    {
        replay.submit(id, "guest", spec, 2 * RUN_MS);
        let epoch = place_on(&mut replay, id, worker);
        replay.apply(Command::Start { id: id.into(), epoch });
    }
    replay.step(RUN_MS);
    replay.submit("urgent", "guest", spec("urgent", 1, 8), 1_000);
    let epoch = place_on(&mut replay, "urgent", "worker-001");
    let (id, failed_on) = ("urgent".to_string(), Some("worker-001".into()));
    replay.apply(Command::Stop { id: id.clone(), epoch, next: Disposition::Wait, failed_on });
    replay.apply(Command::Stopped { id, epoch, checkpoint: None });
    replay.decide();
    assert_eq!((replay.phase("long"), replay.phase("short")), ("stopping", "started"));
}
