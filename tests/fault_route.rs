//! Leaving upstreams, killed entries and concurrent callers, with real daemons.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use eelgrassvalve::error::Result;
use eelgrassvalve::routing::upstream::TTL_MS;
use eelgrassvalve::state::document::Document;
use eelgrassvalve::verdict::Verdict;
use http::Method;
use support::cluster::Cluster;
use support::upstream::Upstream;
use support::wait_until;

fn document() -> Document {
    serde_json::from_value(serde_json::json!({
        "kinds": [{ "name": "plan", "rank": 0, "deadline_ms": 10_000 }],
        "customers": [{ "name": "anyone" }],
    }))
    .expect("the document is valid")
}

/// Once an entry knows that an upstream is leaving, it sends no further requests to it.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_upstream_gets_no_new_requests_from_any_entry() {
    let cluster = Cluster::start(3, 3).await;
    cluster.apply(0, &document()).await.expect("the document is accepted");
    // Each upstream announces itself to one entry only.
    let first = [cluster.hosts[0].platform()];
    let leaving = Upstream::start("runner-1", &["plan"], Duration::from_millis(1), &first).await;
    let second = [cluster.hosts[1].platform()];
    let staying = Upstream::start("runner-2", &["plan"], Duration::from_millis(1), &second).await;
    let upstreams = [&leaving, &staying];
    for entry in 0..3 {
        wait_until("the entry to know both upstreams", || async {
            let runs = send(&cluster, entry, &upstreams).await.ok()?;
            (runs > 0 && leaving.executions().len() > 2 && staying.executions().len() > 2)
                .then_some(())
        })
        .await;
    }
    leaving.leave();
    // Covers the announcement interval and the time to live.
    tokio::time::sleep(Duration::from_millis(TTL_MS)).await;
    let runs_before = leaving.executions().len();
    for round in 0..90 {
        send(&cluster, round % 3, &upstreams).await.expect("the other upstream serves");
    }
    assert_eq!(leaving.executions().len(), runs_before);
}

/// The only entry that receives the leaving announcement is partitioned, and its delayed frames
/// arrive after the links are restored.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_upstream_gets_no_new_requests_across_a_partition() {
    let mut cluster = Cluster::new(3, 3);
    cluster.relay_links().await;
    cluster.boot().await;
    cluster.apply(0, &document()).await.expect("the document is accepted");
    let work = Duration::from_millis(1);
    let partitioned = [cluster.hosts[2].platform()];
    let leaving = Upstream::start("runner-1", &["plan"], work, &partitioned).await;
    let first = [cluster.hosts[0].platform()];
    let staying = Upstream::start("runner-2", &["plan"], work, &first).await;
    let upstreams = [&leaving, &staying];
    for entry in 0..3 {
        wait_until("the entry to know both upstreams", || async {
            let rows = cluster
                .operator_client(entry)
                .get::<serde_json::Value>("/v1/upstreams")
                .await
                .ok()?;
            (rows.as_array()?.len() == 2).then_some(())
        })
        .await;
    }
    wait_until("a request at the upstream that will leave", || async {
        send(&cluster, 0, &upstreams).await.ok()?;
        (!leaving.executions().is_empty()).then_some(())
    })
    .await;
    cluster.set_links(2, false, true);
    leaving.leave();
    tokio::time::sleep(Duration::from_millis(TTL_MS)).await;
    let runs_before = leaving.executions().len();
    wait_until("requests to be served by the other entries", || async {
        send(&cluster, 0, &upstreams).await.ok()?;
        send(&cluster, 1, &upstreams).await.ok()
    })
    .await;
    for round in 0..60 {
        // The partitioned entry refuses requests; the others may be electing a leader.
        let _ = send(&cluster, round % 3, &upstreams).await;
    }
    cluster.set_links(2, true, true);
    cluster.wait_until_ready(2).await;
    for round in 0..60 {
        send(&cluster, round % 3, &upstreams).await.expect("the other upstream serves");
    }
    assert_eq!(leaving.executions().len(), runs_before);
}

#[tokio::test(flavor = "multi_thread")]
async fn shares_of_a_killed_entry_go_to_the_others() {
    let mut cluster = Cluster::start(3, 3).await;
    cluster.apply(0, &document()).await.expect("the document is accepted");
    let platform: Vec<_> = cluster.hosts.iter().map(|host| host.platform()).collect();
    let work = Duration::from_secs(1);
    let upstream = Upstream::start("runner-1", &["plan"], work, &platform[..2]).await;
    let used_slots = async |cluster: &Cluster| {
        let rows =
            cluster.operator_client(0).get::<serde_json::Value>("/v1/upstreams").await.ok()?;
        rows.get(0)?.get("used")?.as_u64()
    };
    wait_until("the upstream to answer", || async { send(&cluster, 0, &[]).await.ok() }).await;
    cluster.kill(2);
    // Both remaining entries are kept under load, so that neither can borrow from the other.
    let mut callers = tokio::task::JoinSet::new();
    for entry in 0..2 {
        for _ in 0..16 {
            let client = cluster.caller_client(entry);
            callers.spawn(async move {
                for _ in 0..30 {
                    let key = uuid::Uuid::now_v7().to_string();
                    let headers =
                        [("idempotency-key", key.as_str()), ("eelgrassvalve-idempotent", "true")];
                    let path = "/v1/requests/plan";
                    let _ = client.send(Method::POST, path, &headers, "x".into()).await;
                }
            });
        }
    }
    // Eight slots shared by two entries; with three entries the share would be two or three slots.
    wait_until("half of the slots to be in use", || async {
        (used_slots(&cluster).await? == 4).then_some(())
    })
    .await;
    callers.abort_all();
    drop(upstream);
}

async fn send(cluster: &Cluster, entry: usize, upstreams: &[&Upstream]) -> Result<usize> {
    let key = uuid::Uuid::now_v7().to_string();
    let headers = [("idempotency-key", key.as_str()), ("eelgrassvalve-idempotent", "true")];
    let client = cluster.caller_client(entry);
    let answer = client.send(Method::POST, "/v1/requests/plan", &headers, "x".into()).await?;
    if !answer.status.is_success() {
        return Err(answer.error());
    }
    Ok(upstreams.iter().map(|upstream| upstream.executions().len()).sum())
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_callers_get_their_own_complete_answers() {
    const CALLERS: usize = 120;
    const REQUESTS_PER_CALLER: usize = 25;
    let cluster = std::sync::Arc::new(Cluster::start(3, 3).await);
    cluster.apply(0, &document()).await.expect("the document is accepted");
    let platform: Vec<_> = cluster.hosts.iter().map(|host| host.platform()).collect();
    let mut upstreams = Vec::new();
    for index in 0..8 {
        let id = format!("runner-{index}");
        let work = Duration::from_millis(2 + index * 3);
        upstreams.push(Upstream::start(&id, &["plan"], work, &platform).await);
    }
    wait_until("an upstream to answer", || async { send(&cluster, 0, &[]).await.ok() }).await;
    let mut callers = tokio::task::JoinSet::new();
    for caller in 0..CALLERS {
        let cluster = cluster.clone();
        callers.spawn(async move {
            let mut not_run = Vec::new();
            let client = cluster.caller_client(caller % 3);
            for number in 0..REQUESTS_PER_CALLER {
                let payload = format!("{caller}.{number}.{}", "x".repeat(number * 97));
                let key = format!("{caller}.{number}");
                // Some requests have a deadline that cannot be met; some callers give up early.
                let deadline = if number % 7 == 0 { "4" } else { "10000" };
                let headers = [("idempotency-key", &*key), ("eelgrassvalve-deadline-ms", deadline)];
                let sent = client.send(
                    Method::POST,
                    "/v1/requests/plan",
                    &headers,
                    payload.clone().into(),
                );
                let timeout = Duration::from_millis(if number % 5 == 0 { 5 } else { 30_000 });
                let Ok(answer) = tokio::time::timeout(timeout, sent).await else { continue };
                let answer = answer.expect("an answer");
                if answer.status.is_success() {
                    assert_eq!(answer.body, format!("plan:{payload}"));
                } else if answer.error().verdict == Verdict::NotRun {
                    not_run.push(payload);
                }
            }
            not_run
        });
    }
    let mut not_run = Vec::new();
    while let Some(joined) = callers.join_next().await {
        not_run.extend(joined.expect("each answer is the caller's own"));
    }
    let mut runs: BTreeMap<bytes::Bytes, usize> = BTreeMap::new();
    for run in upstreams.iter().flat_map(Upstream::executions) {
        *runs.entry(run.payload).or_default() += 1;
    }
    for (payload, count) in &runs {
        assert!(*count == 1 || payload == "x", "{payload:?} ran {count} times");
    }
    for payload in &not_run {
        assert!(!runs.contains_key(payload.as_bytes()), "{payload} was reported not_run, but ran");
    }
    println!("{} ran, {} reported not_run", runs.len(), not_run.len());
}
