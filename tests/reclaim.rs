//! Guarantees, gangs and quarantine through real daemons and stand-in workers.

mod support;

use std::time::{Duration, Instant};

use eelgrassvalve::control::status;
use eelgrassvalve::state::document::Document;
use eelgrassvalve::state::job::{Job, Phase};
use http::Method;
use serde_json::json;
use support::cluster::Cluster;
use support::wait_until;
use support::worker::{Behavior, Worker, start_workers};

/// Longest time from a claim on a guarantee to the start of its work.
const RECLAIM: Duration = Duration::from_millis(6_200);

fn document() -> Document {
    let document = json!({
        "placement": { "policy": "cells", "checkpoint_grace_ms": 1_500, "worker_failures": 2 },
        "kinds": [{ "name": "urgent", "rank": 0 }, { "name": "usual", "rank": 1 }],
        "customers": [
            { "name": "owner", "guarantee": [{ "cell": "worker", "count": 2 }] },
            { "name": "guest" },
        ],
    });
    serde_json::from_value(document).expect("the document is whole")
}

async fn submit(cluster: &Cluster, at: usize, customer: &str, spec: serde_json::Value) -> Job {
    let headers = [("eelgrassvalve-customer", customer)];
    let client = cluster.caller_client(at);
    let sent = client.json(Method::POST, "/v1/jobs", &headers, Some(&spec)).await;
    sent.expect("the job is taken")
}

async fn reaches(cluster: &Cluster, at: usize, job: &Job, phase: &str) -> Job {
    let path = format!("/v1/jobs/{}", job.id);
    let headers = [("eelgrassvalve-customer", job.customer.as_str())];
    wait_until(&format!("{} to be {phase}", job.id), || async {
        let client = cluster.caller_client(at);
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
async fn a_guarantee_is_reclaimed_from_more_urgent_work_of_others() {
    let cluster = Cluster::start(3, 3).await;
    cluster.apply(0, &document()).await.expect("the document is accepted");
    let workers = start_workers(&cluster, &[Behavior::Normal; 4]);
    let mut guests = Vec::new();
    for _ in 0..4 {
        guests.push(submit(&cluster, 0, "guest", guest_job("urgent", 600_000)).await);
    }
    for guest in &guests {
        reaches(&cluster, 0, guest, "started").await;
    }
    let spec = json!({ "kind": "usual", "parts": 2, "accelerators": 8, "payload": "300" });
    let asked = Instant::now();
    let claimed = submit(&cluster, 1, "owner", spec).await;
    wait_until("both parts to start", || async {
        let of_job = |worker: &Worker| worker.starts().iter().any(|(job, ..)| *job == claimed.id);
        (workers.iter().filter(|worker| of_job(worker)).count() == 2).then_some(())
    })
    .await;
    let took = asked.elapsed();
    assert!(took < RECLAIM, "{took:?}");
    reaches(&cluster, 0, &claimed, "finished").await;
    for guest in &guests {
        reaches(&cluster, 0, guest, "started").await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_gang_outlives_the_kill_of_the_leader_and_starts_once() {
    let mut cluster = Cluster::start(3, 3).await;
    cluster.apply(0, &document()).await.expect("the document is accepted");
    let workers = start_workers(&cluster, &[Behavior::Normal; 3]);
    wait_until("three workers", || async {
        (cluster.status(0).await.ok()?.workers == 3).then_some(())
    })
    .await;
    let spec = json!({ "kind": "usual", "parts": 2, "accelerators": 8, "payload": "10000" });
    let leader = cluster.leader().await;
    let other = (leader + 1) % 3;
    let gang = submit(&cluster, other, "owner", spec).await;
    let before = reaches(&cluster, other, &gang, "started").await;
    cluster.kill(leader);
    let after = reaches(&cluster, other, &gang, "finished").await;
    assert_eq!((after.started_ms, after.evictions), (before.started_ms, 0));
    let mut starts = 0;
    for worker in &workers {
        starts += worker.starts().len();
    }
    assert_eq!(starts, 2, "each part started once");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_worker_that_fails_every_task_is_quarantined_and_blocks_nobody() {
    let cluster = Cluster::start(1, 1).await;
    cluster.apply(0, &document()).await.expect("the document is accepted");
    let _workers = start_workers(
        &cluster,
        &[Behavior::FailsTasks, Behavior::Normal, Behavior::Normal, Behavior::Normal],
    );
    wait_until("four workers", || async {
        (cluster.status(0).await.ok()?.workers == 4).then_some(())
    })
    .await;
    // As many as the workers at once, so that some come to the failing one.
    let mut jobs = Vec::new();
    for _ in 0..12 {
        jobs.push(submit(&cluster, 0, "guest", guest_job("usual", 200)).await);
    }
    let closed = wait_until("the worker in quarantine", || async {
        let rows: Vec<status::Worker> = cluster.operator_client(0).get("/v1/workers").await.ok()?;
        let closed: Vec<_> = rows.into_iter().filter(|row| !row.is_open).collect();
        (!closed.is_empty()).then_some(closed)
    })
    .await;
    assert_eq!((closed.len(), closed[0].name.as_str()), (1, "worker-0"));
    for job in &jobs {
        let job = reaches(&cluster, 0, job, "finished").await;
        assert_eq!(job.phase, Phase::Finished);
    }
}
