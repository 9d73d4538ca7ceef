//! Guarantees, gangs and quarantine with real daemons and simulated workers.

mod support;

use std::time::{Duration, Instant};

use eelgrassvalve::control::status;
use eelgrassvalve::state::document::Document;
use eelgrassvalve::state::job::{Job, Phase};
use http::Method;
use serde_json::json;
use support::cluster::Cluster;
use support::until;
use support::worker::{Manner, Worker, start_workers};

/// Longest time from the submission of guaranteed work to its start.
const MAX_RECLAIM_TIME: Duration = Duration::from_millis(6_200);

fn document() -> Document {
    let document = json!({
        "placement": { "policy": "cells", "checkpoint_grace_ms": 1_500, "worker_failures": 2 },
        "kinds": [{ "name": "urgent", "rank": 0 }, { "name": "usual", "rank": 1 }],
        "customers": [
            { "name": "owner", "guarantee": [{ "cell": "worker", "count": 2 }] },
            { "name": "guest" },
        ],
    });
    serde_json::from_value(document).expect("the document is valid")
}

async fn submit(cluster: &Cluster, host: usize, customer: &str, spec: serde_json::Value) -> Job {
    let headers = [("eelgrassvalve-customer", customer)];
    let client = cluster.callers(host);
    let submitted = client.json(Method::POST, "/v1/jobs", &headers, Some(&spec)).await;
    submitted.expect("the job is accepted")
}

async fn wait_for_phase(cluster: &Cluster, host: usize, job: &Job, phase: &str) -> Job {
    let path = format!("/v1/jobs/{}", job.id);
    let headers = [("eelgrassvalve-customer", job.customer.as_str())];
    until(&format!("{} to be {phase}", job.id), || async {
        let client = cluster.callers(host);
        let job: Job = client.json(Method::GET, &path, &headers, None::<&()>).await.ok()?;
        (job.phase.name() == phase).then_some(job)
    })
    .await
}

fn guest_job(kind: &str, run_ms: u64) -> serde_json::Value {
    json!({
        "kind": kind, "accelerators": 8, "evictable": true, "idempotent": true,
        "payload": run_ms.to_string(),
    })
}

#[tokio::test(flavor = "multi_thread")]
async fn a_guarantee_is_reclaimed_from_more_urgent_work_of_other_customers() {
    let cluster = Cluster::start(3, 3).await;
    cluster.apply(0, &document()).await.expect("the document is accepted");
    let workers = start_workers(&cluster, &[Manner::Obeys; 4]);
    let mut guests = Vec::new();
    for _ in 0..4 {
        guests.push(submit(&cluster, 0, "guest", guest_job("urgent", 600_000)).await);
    }
    for guest in &guests {
        wait_for_phase(&cluster, 0, guest, "started").await;
    }
    let spec = json!({ "kind": "usual", "parts": 2, "accelerators": 8, "payload": "300" });
    let submitted_at = Instant::now();
    let guaranteed_job = submit(&cluster, 1, "owner", spec).await;
    until("both parts to start", || async {
        let has_started =
            |worker: &Worker| worker.starts().iter().any(|(job, ..)| *job == guaranteed_job.id);
        (workers.iter().filter(|worker| has_started(worker)).count() == 2).then_some(())
    })
    .await;
    let elapsed = submitted_at.elapsed();
    assert!(elapsed < MAX_RECLAIM_TIME, "{elapsed:?}");
    wait_for_phase(&cluster, 0, &guaranteed_job, "finished").await;
    for guest in &guests {
        wait_for_phase(&cluster, 0, guest, "started").await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_gang_survives_a_leader_crash_and_starts_once() {
    let mut cluster = Cluster::start(3, 3).await;
    cluster.apply(0, &document()).await.expect("the document is accepted");
    let workers = start_workers(&cluster, &[Manner::Obeys; 3]);
    until("three workers", || async { (cluster.status(0).await.ok()?.workers == 3).then_some(()) })
        .await;
    let spec = json!({ "kind": "usual", "parts": 2, "accelerators": 8, "payload": "10000" });
    let leader = cluster.leader().await;
    let follower = (leader + 1) % 3;
    let gang = submit(&cluster, follower, "owner", spec).await;
    let before = wait_for_phase(&cluster, follower, &gang, "started").await;
    cluster.kill(leader);
    let after = wait_for_phase(&cluster, follower, &gang, "finished").await;
    assert_eq!((after.started_ms, after.evictions), (before.started_ms, 0));
    let mut starts = 0;
    for worker in &workers {
        starts += worker.starts().len();
    }
    assert_eq!(starts, 2, "each part started once");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_worker_that_fails_every_task_is_quarantined_and_blocks_no_job() {
    let cluster = Cluster::start(1, 1).await;
    cluster.apply(0, &document()).await.expect("the document is accepted");
    let _workers =
        start_workers(&cluster, &[Manner::FailsTasks, Manner::Obeys, Manner::Obeys, Manner::Obeys]);
    until("four workers", || async { (cluster.status(0).await.ok()?.workers == 4).then_some(()) })
        .await;
    // More jobs than workers, so that some are placed on the failing worker.
    let mut jobs = Vec::new();
    for _ in 0..12 {
        jobs.push(submit(&cluster, 0, "guest", guest_job("usual", 200)).await);
    }
    let quarantined = until("the worker in quarantine", || async {
        let rows: Vec<status::Worker> = cluster.operators(0).get("/v1/workers").await.ok()?;
        let quarantined: Vec<_> = rows.into_iter().filter(|row| !row.is_open).collect();
        (!quarantined.is_empty()).then_some(quarantined)
    })
    .await;
    assert_eq!((quarantined.len(), quarantined[0].name.as_str()), (1, "worker-0"));
    for job in &jobs {
        let job = wait_for_phase(&cluster, 0, job, "finished").await;
        assert_eq!(job.phase, Phase::Finished);
    }
}
