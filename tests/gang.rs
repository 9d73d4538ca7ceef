//! Life cycle of gangs: all parts or none, never a second start that was not promised.

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
const URGENT: Duration = Duration::from_millis(6_200);
/// Silence after which a worker counts as dead, in these tests, in milliseconds.
const WORKER_TIMEOUT_MS: u64 = 5_000;
const NOW_MS: u64 = 100_000;

fn submitted(spec: Spec) -> Table {
    let mut table = Table::default();
    let submit = Command::Submit { id: "job".into(), customer: "anyone".into(), spec };
    table.apply(&submit, 0).expect("the job is new");
    table
}

fn place(table: &mut Table) -> u64 {
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

fn next(table: &Table, fleet: &fleet::Table) -> &'static str {
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
        Some(Command::Stop { failed_on: Some(_), .. }) => "stop and blame",
        Some(Command::Stop { .. }) => "stop",
        Some(Command::Stopped { checkpoint: Some(_), .. }) => "stopped with checkpoint",
        Some(Command::Stopped { .. }) => "stopped",
        Some(other) => panic!("{other:?}"),
    }
}

// What a worker shows: a task's state, no task at all, or silence beyond every lease.
#[derive(Clone, Copy, Debug)]
enum Shows {
    Task(State),
    Saved,
    Nothing,
    OldEpoch,
    Silence,
    SilenceAfter(State),
}

fn hear(fleet: &mut fleet::Table, worker: &str, shows: Shows, epoch: u64) {
    let (report, heard_ms) = match shows {
        Shows::Task(state) => (report(worker, Some(state), epoch, None), NOW_MS),
        Shows::Saved => (report(worker, Some(State::Stopped), epoch, Some("saved")), NOW_MS),
        Shows::Nothing => (report(worker, None, epoch, None), NOW_MS),
        Shows::OldEpoch => (report(worker, Some(State::Stopped), 0, Some("old")), NOW_MS),
        Shows::Silence => (report(worker, None, epoch, None), 0),
        Shows::SilenceAfter(state) => (report(worker, Some(state), epoch, None), 0),
    };
    fleet.record_report("entry", report, heard_ms);
}

#[rstest]
#[case::one_ready("preparing", Shows::Task(State::Prepared), Shows::Nothing, "wait")]
#[case::all_ready("preparing", Shows::Task(State::Prepared), Shows::Task(State::Prepared), "start")]
#[case::refused(
    "preparing",
    Shows::Task(State::Prepared),
    Shows::Task(State::Failed),
    "stop and blame"
)]
#[case::dead("preparing", Shows::Task(State::Prepared), Shows::Silence, "stop")]
#[case::old_task("preparing", Shows::Task(State::Prepared), Shows::OldEpoch, "wait")]
#[case::runs("started", Shows::Task(State::Running), Shows::Task(State::Running), "wait")]
#[case::half_done("started", Shows::Task(State::Finished), Shows::Task(State::Running), "wait")]
#[case::done("started", Shows::Task(State::Finished), Shows::Task(State::Finished), "finish")]
#[case::done_then_dead(
    "started",
    Shows::Task(State::Finished),
    Shows::SilenceAfter(State::Finished),
    "finish"
)]
#[case::lost("started", Shows::Task(State::Running), Shows::Silence, "stop")]
#[case::restarted("started", Shows::Task(State::Running), Shows::Nothing, "stop")]
#[case::done_and_lost("started", Shows::Task(State::Finished), Shows::Silence, "stop")]
#[case::lease_ran_out("started", Shows::Task(State::Running), Shows::Task(State::Stopped), "stop")]
#[case::failed(
    "started",
    Shows::Task(State::Running),
    Shows::Task(State::Failed),
    "stop and blame"
)]
#[case::failed_as_lost("started", Shows::Silence, Shows::Task(State::Failed), "stop")]
#[case::one_stopped("stopping", Shows::Task(State::Stopped), Shows::Task(State::Running), "wait")]
#[case::unconfirmed("stopping", Shows::Task(State::Stopped), Shows::Nothing, "wait")]
#[case::stopped("stopping", Shows::Task(State::Stopped), Shows::Task(State::Failed), "stopped")]
#[case::lease_chain_over("stopping", Shows::Task(State::Stopped), Shows::Silence, "stopped")]
#[case::all_saved("stopping", Shows::Saved, Shows::Saved, "stopped with checkpoint")]
#[case::half_saved("stopping", Shows::Saved, Shows::Task(State::Stopped), "stopped")]
#[case::old_checkpoint("stopping", Shows::Saved, Shows::OldEpoch, "wait")]
fn a_gang_moves_on_as_one(
    #[case] phase: &str,
    #[case] first: Shows,
    #[case] second: Shows,
    #[case] expected: &str,
) {
    let mut table = submitted(spec("usual", 2, 1));
    let epoch = place(&mut table);
    if phase != "preparing" {
        let start = Command::Start { id: "job".into(), epoch };
        table.apply(&start, 0).expect("it prepares");
    }
    if phase == "stopping" {
        let stop =
            Command::Stop { id: "job".into(), epoch, next: Disposition::Wait, failed_on: None };
        table.apply(&stop, 0).expect("it runs");
    }
    let mut fleet = fleet::Table::default();
    hear(&mut fleet, "w-1", first, epoch);
    hear(&mut fleet, "w-2", second, epoch);
    assert_eq!(next(&table, &fleet), expected);
}

#[derive(Clone, Copy, Debug)]
enum Act {
    Place,
    Start(u64),
    Stop(u64),
    Stopped(u64, bool),
    Finish(u64),
    Cancel,
}

fn act() -> impl Strategy<Value = Act> {
    prop_oneof![
        3 => Just(Act::Place),
        3 => (0..3u64).prop_map(Act::Start),
        3 => (0..3u64).prop_map(Act::Stop),
        3 => (0..3u64, any::<bool>()).prop_map(|(back, saved)| Act::Stopped(back, saved)),
        1 => (0..3u64).prop_map(Act::Finish),
        1 => Just(Act::Cancel),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, rng_seed: prop::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    // Late, doubled and reordered commands; `back` epochs ago.
    #[test]
    fn a_non_idempotent_gang_restarts_only_from_a_fresh_checkpoint(acts in prop::collection::vec(act(), 1..60)) {
        let mut table = submitted(Spec { idempotent: false, ..spec("usual", 2, 1) });
        let (mut epoch, mut ran, mut saved) = (0u64, false, false);
        for act in acts {
            let id = "job".to_string();
            let command = match act {
                Act::Place => {
                    let part = Part { worker: "w-1".into(), accelerators: 1 };
                    Command::Place { id, parts: vec![part.clone(), part], guaranteed: false }
                }
                Act::Start(back) => Command::Start { id, epoch: epoch.saturating_sub(back) },
                Act::Stop(back) => {
                    let epoch = epoch.saturating_sub(back);
                    Command::Stop { id, epoch, next: Disposition::Wait, failed_on: None }
                }
                Act::Stopped(back, saved) => {
                    let checkpoint = saved.then(|| "saved".into());
                    Command::Stopped { id, epoch: epoch.saturating_sub(back), checkpoint }
                }
                Act::Finish(back) => Command::Finish { id, epoch: epoch.saturating_sub(back) },
                Act::Cancel => Command::Cancel { customer: "anyone".into(), ids: vec![id] },
            };
            if table.apply(&command, 0).is_err() {
                continue;
            }
            match act {
                Act::Place => epoch = job(&table).phase.gang().expect("it is placed").epoch,
                Act::Start(_) => {
                    prop_assert!(!ran || saved, "a second start without a fresh checkpoint");
                    (ran, saved) = (true, false);
                }
                Act::Stopped(_, checkpoint) => saved |= checkpoint,
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
    serde_json::from_value(document).expect("the document is whole")
}

async fn submit(cluster: &Cluster, kind: &str, parts: u32, run_ms: u64) -> Job {
    let spec = json!({
        "kind": kind, "parts": parts, "accelerators": 8, "evictable": true, "idempotent": true,
        "payload": run_ms.to_string(),
    });
    let client = cluster.caller_client(0);
    client.json(Method::POST, "/v1/jobs", &[], Some(&spec)).await.expect("the job is taken")
}

async fn reaches(cluster: &Cluster, id: &str, phase: &str) -> Job {
    let path = format!("/v1/jobs/{id}");
    wait_until(&format!("{id} to be {phase}"), || async {
        let job: Job = cluster.caller_client(0).get(&path).await.ok()?;
        (job.phase.name() == phase).then_some(job)
    })
    .await
}

async fn cluster(grace_ms: u64) -> Cluster {
    let cluster = Cluster::start(1, 1).await;
    cluster.apply(0, &document(grace_ms)).await.expect("the document is accepted");
    cluster
}

#[tokio::test(flavor = "multi_thread")]
async fn an_urgent_gang_starts_in_time_on_a_full_cluster() {
    let cluster = Cluster::start(3, 3).await;
    cluster.apply(0, &document(1_500)).await.expect("the document is accepted");
    let workers = start_workers(&cluster, &[Behavior::Normal; 4]);
    let mut full = Vec::new();
    for _ in 0..4 {
        full.push(submit(&cluster, "usual", 1, 600_000).await.id);
    }
    for id in &full {
        reaches(&cluster, id, "started").await;
    }
    let asked = Instant::now();
    let urgent = submit(&cluster, "urgent", 2, 300).await;
    wait_until("both urgent parts to start", || async {
        let mut parts = BTreeSet::new();
        for worker in &workers {
            parts.extend(worker.starts().into_iter().filter(|(job, ..)| *job == urgent.id));
        }
        (parts.len() == 2).then_some(())
    })
    .await;
    let took = asked.elapsed();
    assert!(took < URGENT, "{took:?}");
    reaches(&cluster, &urgent.id, "finished").await;
    for id in &full {
        let job = reaches(&cluster, id, "started").await;
        assert_eq!(job.checkpoint.is_some(), job.evictions > 0, "resumed from its checkpoint");
    }
}

// Whatever one worker does, no part starts alone and the gang ends up on sound workers.
#[rstest]
#[case::refuses(Behavior::FailsPreparation, false)]
#[case::stalls(Behavior::StallsPreparation, false)]
#[case::fails(Behavior::FailsTasks, true)]
#[case::loses(Behavior::LosesTasks, true)]
#[tokio::test(flavor = "multi_thread")]
async fn a_gang_runs_with_all_parts_or_none(#[case] manner: Behavior, #[case] may_start: bool) {
    let cluster = cluster(0).await;
    let mut workers = start_workers(&cluster, &[manner, Behavior::Normal]);
    wait_until("two workers", || async {
        (cluster.status(0).await.ok()?.workers == 2).then_some(())
    })
    .await;
    let gang = submit(&cluster, "usual", 2, 300).await;
    let path = format!("/v1/jobs/{}", gang.id);
    wait_until("a second epoch", || async {
        let job: Job = cluster.caller_client(0).get(&path).await.ok()?;
        let is_again = job.failures > 0 || job.evictions > 0;
        is_again.then_some(())
    })
    .await;
    if !may_start {
        assert_eq!(workers[1].starts(), Vec::new(), "a part started alone");
    }
    workers.extend(start_more(&cluster));
    reaches(&cluster, &gang.id, "finished").await;
    // No part runs under two epochs at once: each worker saw its epochs in order.
    for worker in &workers {
        let starts = worker.starts();
        assert!(starts.is_sorted_by_key(|(_, _, epoch)| *epoch), "{starts:?}");
    }
}

fn start_more(cluster: &Cluster) -> Vec<Worker> {
    let platform: Vec<_> = cluster.hosts.iter().map(|host| host.platform()).collect();
    let mut workers = Vec::new();
    for at in 0..2 {
        let name = format!("sound-{at}");
        workers.push(Worker::start(&name, "rack-1", "zone-1", Behavior::Normal, &platform));
    }
    workers
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_worker_ends_all_parts_before_the_rerun() {
    let cluster = cluster(0).await;
    let mut workers = start_workers(&cluster, &[Behavior::Normal, Behavior::Normal]);
    let gang = submit(&cluster, "usual", 2, 12_000).await;
    let first = reaches(&cluster, &gang.id, "started").await;
    let epoch = first.phase.gang().expect("it runs").epoch;
    drop(workers.remove(0));
    workers.extend(start_more(&cluster));
    let path = format!("/v1/jobs/{}", gang.id);
    let again = wait_until("a start under a later epoch", || async {
        let job: Job = cluster.caller_client(0).get(&path).await.ok()?;
        let Phase::Started(gang) = &job.phase else { return None };
        (gang.epoch > epoch).then_some(job)
    })
    .await;
    assert!(again.failed_on.is_empty(), "a lost worker is nobody's fault");
    let gang = again.phase.gang().expect("it runs");
    assert!(gang.parts.iter().all(|part| part.worker != "worker-0"));
}
