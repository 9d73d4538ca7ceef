//! Faults of jobs, workers and reports: one row, one fault, one expected decision.

mod support;

use std::collections::BTreeMap;

use eelgrassvalve::control::gang::{Observation, Rules};
use eelgrassvalve::placement::health;
use eelgrassvalve::state::document::Document;
use eelgrassvalve::state::job::{Adjacency, Command, Disposition, Job, Phase, Spec, Table};
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
    serde_json::from_value(document).expect("the document is whole")
}

fn firm(spec: Spec) -> Spec {
    Spec { evictable: false, ..spec }
}

// What can never run is refused at once with its dimension; what can, is placed.
#[rstest]
#[case::accelerators(spec("usual", 1, 9), "failed: accelerators: a part needs 9")]
#[case::cores(Spec { cores: 65, ..spec("usual", 1, 1) }, "failed: cores: a part needs 65")]
#[case::memory(Spec { memory_mib: 1 << 30, ..spec("usual", 1, 1) }, "failed: memory")]
#[case::oversized_gang(spec("usual", 32, 8), "failed: gang: 32 parts of 8")]
#[case::adjacency(Spec { adjacency: Adjacency::Worker, ..spec("usual", 2, 8) }, "failed: gang")]
#[case::rack(Spec { adjacency: Adjacency::Rack, ..spec("usual", 9, 8) }, "failed: gang")]
#[case::no_guarantee(firm(spec("usual", 1, 1)), "failed: guarantee")]
#[case::unknown_kind(spec("nobody-knows", 1, 1), "preparing")]
#[case::no_accelerators(Spec { cores: 4, ..spec("usual", 2, 0) }, "preparing")]
#[case::whole_rack(Spec { adjacency: Adjacency::Rack, ..spec("usual", 8, 8) }, "preparing")]
#[case::large_gang(spec("usual", 16, 8), "preparing")]
fn a_wrong_shape_is_refused_and_blocks_nobody(#[case] spec: Spec, #[case] expected: &str) {
    let mut replay = Replay::new(document(), fleet(16, 8), None);
    replay.submit("a-wrong", "guest", spec, 1_000);
    replay.submit("behind", "guest", support::replay::spec("usual", 1, 8), 1_000);
    replay.step(200);
    let phase = &replay.jobs.get("a-wrong").expect("the job is known").phase;
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
fn a_gang_is_not_refused_because_workers_are_down_for_a_moment() {
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
fn a_closed_worker_takes_no_work() {
    let mut workers = fleet(3, 8);
    workers[0].is_schedulable = false;
    let mut replay = Replay::new(document(), workers, None);
    for at in 0..3 {
        replay.submit(&format!("job-{at}"), "guest", spec("usual", 1, 8), 60_000);
    }
    replay.step(200);
    for job in replay.jobs.live.values() {
        let Some(gang) = job.phase.gang() else { continue };
        assert_ne!(gang.parts[0].worker, "worker-000");
    }
    assert_eq!(replay.jobs.live.values().filter(|job| job.phase.gang().is_some()).count(), 2);
}

#[test]
fn a_lying_run_time_is_corrected_from_finished_jobs() {
    let mut replay = Replay::new(document(), fleet(4, 8), None);
    let liar = Spec { run_ms: 1_000, ..spec("usual", 1, 8) };
    for at in 0..8 {
        replay.submit(&format!("liar-{at}"), "guest", liar.clone(), 20_000);
    }
    while !replay.jobs.live.is_empty() {
        replay.step(500);
    }
    // A full cluster with one end in 10 s; the large gang waits for all of it.
    for at in 0..3 {
        let honest = Spec { run_ms: 10_000, ..spec("urgent", 1, 8) };
        replay.submit(&format!("honest-{at}"), "guest", honest, 10_000);
    }
    replay.step(200);
    replay.submit("a-gang", "guest", spec("usual", 4, 8), 1_000);
    replay.step(200);
    replay.submit("liar", "guest", liar, 20_000);
    replay.step(200);
    // Declared, it would be over in time for the gang; learned, it would delay it.
    assert_eq!(replay.phase("liar"), "waiting");
    while replay.phase("a-gang") != "started" {
        replay.step(200);
        assert!(replay.now_ms() < 1_000_000 + 60_000);
    }
}

#[test]
fn small_jobs_do_not_starve_a_large_one_nor_wait_for_it_in_vain() {
    let mut replay = Replay::new(document(), fleet(4, 8), None);
    let small = Spec { run_ms: 5_000, ..spec("usual", 1, 4) };
    let long = Spec { run_ms: 30_000, ..spec("usual", 1, 8) };
    replay.submit("a-long", "guest", long, 30_000);
    replay.step(200);
    replay.submit("large", "guest", Spec { run_ms: 5_000, ..spec("usual", 4, 8) }, 5_000);
    for at in 0..200 {
        replay.submit(&format!("small-{at:03}"), "guest", small.clone(), 5_000);
    }
    replay.step(200);
    let running = replay.jobs.live.values().filter(|job| job.phase.gang().is_some()).count();
    assert_eq!(running, 7, "small jobs fill what the large one can't use yet");
    let bound_ms = replay.now_ms() + 40_000;
    while replay.phase("large") != "started" {
        replay.step(200);
        assert!(replay.now_ms() < bound_ms, "{}", replay.explain("large"));
    }
}

#[rstest]
#[case::one_call(1_000)]
#[case::many_calls(1)]
fn a_cancel_wave_ends_jobs_in_every_phase(#[case] batch: usize) {
    let mut replay = Replay::new(document(), fleet(16, 8), None);
    let mut ids = Vec::new();
    for at in 0..1_000 {
        let id = format!("job-{at:04}");
        replay.submit(&id, "guest", spec("usual", 1, 4), 3_600_000);
        ids.push(id);
    }
    replay.step(200);
    replay.step(400);
    replay.jobs.apply(&stop_of(&replay, "job-0000"), replay.now_ms()).expect("it runs");
    for _resend in 0..2 {
        for ids in ids.chunks(batch) {
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

fn stop_of(replay: &Replay, id: &str) -> Command {
    let job = replay.jobs.get(id).expect("the job is known");
    let epoch = job.phase.gang().expect("the job runs").epoch;
    Command::Stop { id: id.into(), epoch, next: Disposition::Wait, failed_on: None }
}

fn started(failed_on: &[&str]) -> Job {
    let mut table = Table::default();
    let submit =
        Command::Submit { id: "job".into(), customer: "guest".into(), spec: spec("usual", 1, 1) };
    table.apply(&submit, 0).expect("the job is new");
    let part = eelgrassvalve::state::job::Part { worker: "worker-9".into(), accelerators: 1 };
    let place = Command::Place { id: "job".into(), parts: vec![part], guaranteed: false };
    table.apply(&place, 0).expect("the job waits");
    table.apply(&Command::Start { id: "job".into(), epoch: 1 }, 0).expect("it prepares");
    let mut job = table.get("job").expect("the job is known").clone();
    for name in failed_on {
        job.failed_on.insert((*name).into(), 0);
        job.failures += 1;
    }
    job
}

fn quarantined(names: &[&str]) -> worker::Table {
    let mut records = worker::Table::default();
    for name in names {
        let worker = (*name).to_string();
        records.apply(&worker::Command::Quarantine { worker, until_ms: 1 << 40 }, 0);
    }
    records
}

#[rstest]
#[case::first(&[], &[], true)]
#[case::second(&["worker-1"], &[], true)]
#[case::everywhere(&["worker-1", "worker-2"], &[], false)]
#[case::bad_workers(&["worker-1", "worker-2"], &["worker-1", "worker-2"], true)]
#[case::this_worker_is_bad(&["worker-1", "worker-2"], &["worker-9"], true)]
#[case::again_and_again(&["worker-1"; 9], &["worker-1"], false)]
fn a_job_is_failed_only_by_its_own_fault(
    #[case] failed_on: &[&str],
    #[case] bad: &[&str],
    #[case] may_rerun: bool,
) {
    let document = document();
    let records = quarantined(bad);
    let rules = Rules { placement: &document.placement, records: &records, wall_ms: 1_000 };
    let observed = Observation {
        failed_worker: Some("worker-9".into()),
        stopped: 1,
        ..Observation::default()
    };
    let next = rules.next_command(&started(failed_on), &observed);
    let Some(Command::Stop { next, failed_on, .. }) = next else { panic!("{next:?}") };
    assert_eq!(next == Disposition::Wait, may_rerun, "{next:?}");
    assert_eq!(failed_on.as_deref(), Some("worker-9"));
}

#[rstest]
#[case::sound(&["w-1", "w-2", "w-3"], &[], &[])]
#[case::fails_all(&["w-1", "w-1", "w-1"], &[], &["w-1"])]
#[case::jobs_fault(&["w-1 w-2", "w-1 w-3", "w-1 w-4"], &[], &[])]
#[case::others_known_bad(&["w-1 w-2", "w-1 w-2", "w-1"], &["w-2"], &["w-1"])]
#[case::already_out(&["w-1", "w-1", "w-1"], &["w-1"], &[])]
fn a_worker_is_quarantined_only_by_its_own_fault(
    #[case] failures: &[&str],
    #[case] bad: &[&str],
    #[case] expected: &[&str],
) {
    let mut jobs = Table::default();
    for (at, failed_on) in failures.iter().enumerate() {
        let mut job = started(&[]);
        job.id = format!("job-{at}");
        for name in failed_on.split(' ') {
            job.failed_on.insert(name.into(), 1_000);
        }
        jobs.live.insert(job.id.clone(), job);
    }
    let found =
        health::quarantine_commands(&jobs, &quarantined(bad), &document().placement, 16, 2_000);
    let mut names = Vec::new();
    for command in &found {
        let worker::Command::Quarantine { worker, until_ms } = command else { continue };
        assert!(*until_ms > 2_000);
        names.push(worker.as_str());
    }
    assert_eq!(names, expected);
}

#[test]
fn each_quarantine_is_longer_and_not_all_workers_go_at_once() {
    let mut jobs = Table::default();
    let mut lengths = BTreeMap::new();
    for at in 0..30 {
        let mut job = started(&[]);
        job.id = format!("job-{at:02}");
        job.failed_on.insert(format!("w-{}", at % 8), 1_000);
        jobs.live.insert(job.id.clone(), job);
    }
    let records = worker::Table::default();
    let found = health::quarantine_commands(&jobs, &records, &document().placement, 8, 2_000);
    assert_eq!(found.len(), 2, "a quarter of eight workers");
    for times in 0..3 {
        let mut records = worker::Table::default();
        for _ in 0..times {
            let worker = "w-0".to_string();
            records.apply(&worker::Command::Quarantine { worker, until_ms: 10 }, 0);
        }
        let found = health::quarantine_commands(&jobs, &records, &document().placement, 8, 2_000);
        let worker::Command::Quarantine { until_ms, .. } = &found[0] else { panic!("{found:?}") };
        lengths.insert(times, *until_ms);
    }
    assert!(lengths[&0] < lengths[&1] && lengths[&1] < lengths[&2], "{lengths:?}");
}

// Reports of use lag: what they say of the time before the throttle must not count after it.
#[rstest]
#[case::as_declared(100, None, 1_000, "go on")]
#[case::over(150, None, 1_000, "throttle")]
#[case::lagging(150, Some(1_000), 20_000, "go on")]
#[case::still_over(150, Some(1_000), 32_000, "stop")]
#[case::obeyed(90, Some(1_000), 32_000, "go on")]
fn an_over_user_is_throttled_then_stopped(
    #[case] usage_percent: u32,
    #[case] throttled_ms: Option<u64>,
    #[case] wall_ms: u64,
    #[case] expected: &str,
) {
    let document = document();
    let records = worker::Table::default();
    let rules = Rules { placement: &document.placement, records: &records, wall_ms };
    let job = Job { throttled_ms, ..started(&[]) };
    let observed = Observation { running: 1, usage_percent, ..Observation::default() };
    let decided = match rules.next_command(&job, &observed) {
        None => "go on",
        Some(Command::Throttle { .. }) => "throttle",
        Some(Command::Stop { next: Disposition::Fail(_), .. }) => "stop",
        Some(other) => panic!("{other:?}"),
    };
    assert_eq!(decided, expected);
}
