//! Life cycle of gangs: parts run all together or not at all, and a gang that is not idempotent
//! restarts only from a fresh checkpoint.

mod support;

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use eelgrassvalve::control::fleet;
use eelgrassvalve::control::gang::{Clock, Observation, Rules};
use eelgrassvalve::placement::report::{Report, Shape, State, Task};
use eelgrassvalve::state::document::{Document, Placement};
use eelgrassvalve::state::job::{Command, Disposition, Job, Part, Phase, Spec, Table};
use eelgrassvalve::state::worker as records;
use http::Method;
use proptest::prelude::*;
use rstest::rstest;
use serde_json::json;
use support::cluster::Cluster;
use support::replay::spec;
use support::wait_until;
use support::worker::{Behavior, Worker, start_workers};

/// Longest time from submission to start of an urgent job.
const MAX_URGENT_START_TIME: Duration = Duration::from_millis(6_200);
/// Silence after which these tests count a worker as dead, in milliseconds.
const WORKER_TIMEOUT_MS: u64 = 5_000;
const NOW_MS: u64 = 100_000;

fn table_with_job(spec: Spec) -> Table {
    let mut table = Table::default();
    let submit = Command::Submit { id: "job".into(), customer: "anyone".into(), spec };
    table.apply(&submit, 0).expect("the job is new");
    table
}

fn place_job(table: &mut Table) -> u64 {
    let parts = ["w-1", "w-2"].map(|worker| Part { worker: worker.into(), accelerators: 1 });
    let place = Command::Place { id: "job".into(), parts: parts.to_vec(), guaranteed: false };
    table.apply(&place, 0).expect("the job waits");
    job(table).phase.gang().expect("the job is placed").epoch
}

fn job(table: &Table) -> &Job {
    table.get("job").expect("the job is known")
}

fn report(worker: &str, state: Option<State>, epoch: u64, checkpoint: Option<&str>) -> Report {
    let part = if worker == "w-1" { 0 } else { 1 };
    let mut tasks = Vec::new();
    if let Some(state) = state {
        let checkpoint = checkpoint.map(str::to_string);
        let usage_percent = Some(100);
        tasks.push(Task { job: "job".into(), part, epoch, state, checkpoint, usage_percent });
    }
    Report {
        worker: worker.into(),
        incarnation: 1,
        rack: "rack-1".into(),
        zone: "zone-1".into(),
        shape: Shape { accelerators: 8, cores: 64, memory_mib: 1 << 18 },
        tasks,
    }
}

fn next_decision(table: &Table, fleet: &fleet::Table) -> &'static str {
    let clock = Clock {
        now_ms: NOW_MS,
        wall_ms: NOW_MS,
        worker_timeout_ms: WORKER_TIMEOUT_MS,
        leader_for_ms: NOW_MS,
    };
    let placement = Placement { prepare_timeout_ms: 600_000, ..Placement::default() };
    let records = records::Table::default();
    let rules = Rules { placement: &placement, records: &records, wall_ms: NOW_MS };
    match rules.next_command(job(table), &Observation::new(fleet, job(table), &clock)) {
        None => "wait",
        Some(Command::Start { .. }) => "start",
        Some(Command::Finish { .. }) => "finish",
        Some(Command::Stop { next: Disposition::Fail(_), .. }) => "stop and fail",
        Some(Command::Stop { failed_on: Some(_), .. }) => "stop after failure",
        Some(Command::Stop { .. }) => "stop",
        Some(Command::Stopped { checkpoint: Some(_), .. }) => "stopped with checkpoint",
        Some(Command::Stopped { .. }) => "stopped",
        Some(other) => panic!("{other:?}"),
    }
}

// What a worker last reported to the leader, and whether it has been silent since then for longer
// than every lease.
#[derive(Clone, Copy, Debug)]
enum LastReport {
    Task(State),
    Checkpoint,
    NoTask,
    OldEpoch,
    Silence,
    SilenceAfter(State),
}

fn record(fleet: &mut fleet::Table, worker: &str, last_report: LastReport, epoch: u64) {
    let (report, reported_ms) = match last_report {
        LastReport::Task(state) => (report(worker, Some(state), epoch, None), NOW_MS),
        LastReport::Checkpoint => {
            (report(worker, Some(State::Stopped), epoch, Some("saved")), NOW_MS)
        }
        LastReport::NoTask => (report(worker, None, epoch, None), NOW_MS),
        LastReport::OldEpoch => (report(worker, Some(State::Stopped), 0, Some("old")), NOW_MS),
        LastReport::Silence => (report(worker, None, epoch, None), 0),
        LastReport::SilenceAfter(state) => (report(worker, Some(state), epoch, None), 0),
    };
    fleet.record_report("entry", report, reported_ms);
}

#[rstest]
#[case::one_prepared("preparing", LastReport::Task(State::Prepared), LastReport::NoTask, "wait")]
#[case::all_prepared(
    "preparing",
    LastReport::Task(State::Prepared),
    LastReport::Task(State::Prepared),
    "start"
)]
#[case::refused(
    "preparing",
    LastReport::Task(State::Prepared),
    LastReport::Task(State::Failed),
    "stop after failure"
)]
#[case::lost_while_preparing(
    "preparing",
    LastReport::Task(State::Prepared),
    LastReport::Silence,
    "stop"
)]
#[case::earlier_epoch_while_preparing(
    "preparing",
    LastReport::Task(State::Prepared),
    LastReport::OldEpoch,
    "wait"
)]
#[case::all_running(
    "started",
    LastReport::Task(State::Running),
    LastReport::Task(State::Running),
    "wait"
)]
#[case::one_finished(
    "started",
    LastReport::Task(State::Finished),
    LastReport::Task(State::Running),
    "wait"
)]
#[case::all_finished(
    "started",
    LastReport::Task(State::Finished),
    LastReport::Task(State::Finished),
    "finish"
)]
#[case::finished_then_silent(
    "started",
    LastReport::Task(State::Finished),
    LastReport::SilenceAfter(State::Finished),
    "finish"
)]
#[case::one_lost("started", LastReport::Task(State::Running), LastReport::Silence, "stop")]
#[case::worker_restarted("started", LastReport::Task(State::Running), LastReport::NoTask, "stop")]
#[case::one_finished_one_lost(
    "started",
    LastReport::Task(State::Finished),
    LastReport::Silence,
    "stop"
)]
#[case::lease_expired(
    "started",
    LastReport::Task(State::Running),
    LastReport::Task(State::Stopped),
    "stop"
)]
#[case::failed(
    "started",
    LastReport::Task(State::Running),
    LastReport::Task(State::Failed),
    "stop after failure"
)]
#[case::one_lost_one_failed(
    "started",
    LastReport::Silence,
    LastReport::Task(State::Failed),
    "stop"
)]
#[case::one_stopped(
    "stopping",
    LastReport::Task(State::Stopped),
    LastReport::Task(State::Running),
    "wait"
)]
#[case::stop_unconfirmed("stopping", LastReport::Task(State::Stopped), LastReport::NoTask, "wait")]
#[case::all_stopped_or_failed(
    "stopping",
    LastReport::Task(State::Stopped),
    LastReport::Task(State::Failed),
    "stopped"
)]
#[case::one_stopped_one_silent(
    "stopping",
    LastReport::Task(State::Stopped),
    LastReport::Silence,
    "stopped"
)]
#[case::all_checkpointed(
    "stopping",
    LastReport::Checkpoint,
    LastReport::Checkpoint,
    "stopped with checkpoint"
)]
#[case::one_checkpointed(
    "stopping",
    LastReport::Checkpoint,
    LastReport::Task(State::Stopped),
    "stopped"
)]
#[case::earlier_epoch_checkpoint("stopping", LastReport::Checkpoint, LastReport::OldEpoch, "wait")]
fn a_gang_advances_as_a_whole(
    #[case] phase: &str,
    #[case] first: LastReport,
    #[case] second: LastReport,
    #[case] expected: &str,
) {
    let mut table = table_with_job(spec("usual", 2, 1));
    let epoch = place_job(&mut table);
    if phase != "preparing" {
        let start = Command::Start { id: "job".into(), epoch };
        table.apply(&start, 0).expect("the job is being prepared");
    }
    if phase == "stopping" {
        let stop =
            Command::Stop { id: "job".into(), epoch, next: Disposition::Wait, failed_on: None };
        table.apply(&stop, 0).expect("the job runs");
    }
    let mut fleet = fleet::Table::default();
    record(&mut fleet, "w-1", first, epoch);
    record(&mut fleet, "w-2", second, epoch);
    assert_eq!(next_decision(&table, &fleet), expected);
}

#[derive(Clone, Copy, Debug)]
enum Action {
    Place,
    Start(u64),
    Stop(u64),
    Stopped(u64, bool),
    Finish(u64),
    Cancel,
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        3 => Just(Action::Place),
        3 => (0..3u64).prop_map(Action::Start),
        3 => (0..3u64).prop_map(Action::Stop),
        3 => (0..3u64, any::<bool>())
            .prop_map(|(epochs_back, is_saved)| Action::Stopped(epochs_back, is_saved)),
        1 => (0..3u64).prop_map(Action::Finish),
        1 => Just(Action::Cancel),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, rng_seed: prop::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    // Commands arrive late, twice and out of order; `epochs_back` is how many epochs ago each was
    // issued.
    #[test]
    fn a_non_idempotent_gang_restarts_only_from_a_fresh_checkpoint(actions in prop::collection::vec(action(), 1..60)) {
        let mut table = table_with_job(Spec { idempotent: false, ..spec("usual", 2, 1) });
        let (mut epoch, mut has_run, mut has_checkpoint) = (0u64, false, false);
        for action in actions {
            let id = "job".to_string();
            let command = match action {
                Action::Place => {
                    let part = Part { worker: "w-1".into(), accelerators: 1 };
                    Command::Place { id, parts: vec![part.clone(), part], guaranteed: false }
                }
                Action::Start(epochs_back) =>
                    Command::Start { id, epoch: epoch.saturating_sub(epochs_back) },
                Action::Stop(epochs_back) => {
                    let epoch = epoch.saturating_sub(epochs_back);
                    Command::Stop { id, epoch, next: Disposition::Wait, failed_on: None }
                }
                Action::Stopped(epochs_back, is_saved) => {
                    let checkpoint = is_saved.then(|| "saved".into());
                    Command::Stopped { id, epoch: epoch.saturating_sub(epochs_back), checkpoint }
                }
                Action::Finish(epochs_back) =>
                    Command::Finish { id, epoch: epoch.saturating_sub(epochs_back) },
                Action::Cancel => Command::Cancel { customer: "anyone".into(), ids: vec![id] },
            };
            if table.apply(&command, 0).is_err() {
                continue;
            }
            match action {
                Action::Place => epoch = job(&table).phase.gang().expect("the job is placed").epoch,
                Action::Start(_) => {
                    prop_assert!(
                        !has_run || has_checkpoint, "a second start without a fresh checkpoint"
                    );
                    (has_run, has_checkpoint) = (true, false);
                }
                Action::Stopped(_, is_saved) => has_checkpoint |= is_saved,
                _ => {}
            }
        }
    }
}

fn document(grace_ms: u64) -> Document {
    let document = json!({
        "placement": {
            "policy": "cells", "checkpoint_grace_ms": grace_ms, "prepare_timeout_ms": 2_000,
        },
        "kinds": [{ "name": "urgent", "rank": 0 }, { "name": "usual", "rank": 1 }],
        "customers": [{ "name": "anyone" }],
    });
    serde_json::from_value(document).expect("the document is valid")
}

async fn submit(cluster: &Cluster, kind: &str, parts: u32, run_ms: u64) -> Job {
    let spec = json!({
        "kind": kind, "parts": parts, "accelerators": 8, "evictable": true, "idempotent": true,
        "payload": run_ms.to_string(),
    });
    let client = cluster.caller_client(0);
    client.json(Method::POST, "/v1/jobs", &[], Some(&spec)).await.expect("the job is accepted")
}

async fn wait_for_phase(cluster: &Cluster, id: &str, phase: &str) -> Job {
    let path = format!("/v1/jobs/{id}");
    wait_until(&format!("{id} to be {phase}"), || async {
        let job: Job = cluster.caller_client(0).get(&path).await.ok()?;
        (job.phase.name() == phase).then_some(job)
    })
    .await
}

async fn start_cluster(grace_ms: u64) -> Cluster {
    let cluster = Cluster::start(1, 1).await;
    cluster.apply(0, &document(grace_ms)).await.expect("the document is accepted");
    cluster
}

#[tokio::test(flavor = "multi_thread")]
async fn an_urgent_gang_starts_in_time_on_a_full_cluster() {
    let cluster = Cluster::start(3, 3).await;
    cluster.apply(0, &document(1_500)).await.expect("the document is accepted");
    let workers = start_workers(&cluster, &[Behavior::Normal; 4]);
    let mut running = Vec::new();
    for _ in 0..4 {
        running.push(submit(&cluster, "usual", 1, 600_000).await.id);
    }
    for id in &running {
        wait_for_phase(&cluster, id, "started").await;
    }
    let submitted_at = Instant::now();
    let urgent = submit(&cluster, "urgent", 2, 300).await;
    wait_until("both urgent parts to start", || async {
        let mut parts = BTreeSet::new();
        for worker in &workers {
            parts.extend(worker.starts().into_iter().filter(|(job, ..)| *job == urgent.id));
        }
        (parts.len() == 2).then_some(())
    })
    .await;
    let elapsed = submitted_at.elapsed();
    assert!(elapsed < MAX_URGENT_START_TIME, "{elapsed:?}");
    wait_for_phase(&cluster, &urgent.id, "finished").await;
    for id in &running {
        let job = wait_for_phase(&cluster, id, "started").await;
        assert_eq!(
            job.checkpoint.is_some(),
            job.evictions > 0,
            "exactly the evicted jobs have a checkpoint"
        );
    }
}

// Whatever fault one worker has, no part starts alone and the gang finishes on healthy workers.
#[rstest]
#[case::refuses(Behavior::FailsPreparation, false)]
#[case::stalls(Behavior::StallsPreparation, false)]
#[case::fails(Behavior::FailsTasks, true)]
#[case::loses(Behavior::LosesTasks, true)]
#[tokio::test(flavor = "multi_thread")]
async fn a_gang_runs_with_all_parts_or_none(#[case] behavior: Behavior, #[case] may_start: bool) {
    let cluster = start_cluster(0).await;
    let mut workers = start_workers(&cluster, &[behavior, Behavior::Normal]);
    wait_until("two workers", || async {
        (cluster.status(0).await.ok()?.workers == 2).then_some(())
    })
    .await;
    let gang = submit(&cluster, "usual", 2, 300).await;
    let path = format!("/v1/jobs/{}", gang.id);
    wait_until("a second epoch", || async {
        let job: Job = cluster.caller_client(0).get(&path).await.ok()?;
        let is_rerun = job.failures > 0 || job.evictions > 0;
        is_rerun.then_some(())
    })
    .await;
    if !may_start {
        assert_eq!(workers[1].starts(), Vec::new(), "a part started alone");
    }
    workers.extend(start_healthy_workers(&cluster));
    wait_for_phase(&cluster, &gang.id, "finished").await;
    // No part runs under two epochs at once: each worker started its epochs in order.
    for worker in &workers {
        let starts = worker.starts();
        assert!(starts.is_sorted_by_key(|(_, _, epoch)| *epoch), "{starts:?}");
    }
}

fn start_healthy_workers(cluster: &Cluster) -> Vec<Worker> {
    let platform: Vec<_> = cluster.hosts.iter().map(|host| host.platform()).collect();
    let mut workers = Vec::new();
    for index in 0..2 {
        let name = format!("healthy-{index}");
        workers.push(Worker::start(&name, "rack-1", "zone-1", Behavior::Normal, &platform));
    }
    workers
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_worker_ends_all_parts_of_its_gang_before_the_rerun() {
    let cluster = start_cluster(0).await;
    let mut workers = start_workers(&cluster, &[Behavior::Normal, Behavior::Normal]);
    let gang = submit(&cluster, "usual", 2, 12_000).await;
    let started = wait_for_phase(&cluster, &gang.id, "started").await;
    let epoch = started.phase.gang().expect("the job runs").epoch;
    drop(workers.remove(0));
    workers.extend(start_healthy_workers(&cluster));
    let path = format!("/v1/jobs/{}", gang.id);
    let restarted = wait_until("a start under a later epoch", || async {
        let job: Job = cluster.caller_client(0).get(&path).await.ok()?;
        let Phase::Started(gang) = &job.phase else { return None };
        (gang.epoch > epoch).then_some(job)
    })
    .await;
    assert!(restarted.failed_on.is_empty(), "the loss of a worker does not count as a failure");
    let gang = restarted.phase.gang().expect("the job runs");
    assert!(gang.parts.iter().all(|part| part.worker != "worker-0"));
}
