//! Upstreams that leave, entries that die, and whole answers under load, on real daemons.

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

/// Number of requests that one entry sends to a leaving upstream once it knows.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_upstream_gets_no_new_work_from_any_entry() {
    let cluster = Cluster::start(3, 3).await;
    cluster.apply(0, &document()).await.expect("the document is accepted");
    // Each announces itself to one entry only.
    let one = [cluster.hosts[0].platform()];
    let leaving = Upstream::start("runner-1", &["plan"], Duration::from_millis(1), &one).await;
    let two = [cluster.hosts[1].platform()];
    let staying = Upstream::start("runner-2", &["plan"], Duration::from_millis(1), &two).await;
    let upstreams = [&leaving, &staying];
    for at in 0..3 {
        wait_until("both upstreams known", || async {
            let all = send(&cluster, at, &upstreams).await.ok()?;
            (all > 0 && leaving.executions().len() > 2 && staying.executions().len() > 2)
                .then_some(())
        })
        .await;
    }
    leaving.leave();
    // The announcement interval and the time to live.
    tokio::time::sleep(Duration::from_millis(TTL_MS)).await;
    let before = leaving.executions().len();
    for round in 0..90 {
        send(&cluster, round % 3, &upstreams).await.expect("the other upstream serves");
    }
    assert_eq!(leaving.executions().len(), before);
}

/// The only entry that hears of the leaving is cut off, and its late frames arrive afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_upstream_gets_no_new_work_across_cut_links() {
    let mut cluster = Cluster::new(3, 3);
    cluster.relay_links().await;
    cluster.boot().await;
    cluster.apply(0, &document()).await.expect("the document is accepted");
    let work = Duration::from_millis(1);
    let cut = [cluster.hosts[2].platform()];
    let leaving = Upstream::start("runner-1", &["plan"], work, &cut).await;
    let one = [cluster.hosts[0].platform()];
    let staying = Upstream::start("runner-2", &["plan"], work, &one).await;
    let upstreams = [&leaving, &staying];
    for at in 0..3 {
        wait_until("both upstreams known", || async {
            let rows =
                cluster.operator_client(at).get::<serde_json::Value>("/v1/upstreams").await.ok()?;
            (rows.as_array()?.len() == 2).then_some(())
        })
        .await;
    }
    wait_until("work at the one that will leave", || async {
        send(&cluster, 0, &upstreams).await.ok()?;
        (!leaving.executions().is_empty()).then_some(())
    })
    .await;
    cluster.set_links(2, false, true);
    leaving.leave();
    tokio::time::sleep(Duration::from_millis(TTL_MS)).await;
    let before = leaving.executions().len();
    wait_until("requests served by the others", || async {
        send(&cluster, 0, &upstreams).await.ok()?;
        send(&cluster, 1, &upstreams).await.ok()
    })
    .await;
    for at in 0..60 {
        // The entry that is cut off refuses; the others may be electing a leader.
        let _ = send(&cluster, at % 3, &upstreams).await;
    }
    cluster.set_links(2, true, true);
    cluster.wait_until_ready(2).await;
    for at in 0..60 {
        send(&cluster, at % 3, &upstreams).await.expect("the other upstream serves");
    }
    assert_eq!(leaving.executions().len(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_shares_of_a_killed_entry_move_to_the_others() {
    let mut cluster = Cluster::start(3, 3).await;
    cluster.apply(0, &document()).await.expect("the document is accepted");
    let platform: Vec<_> = cluster.hosts.iter().map(|host| host.platform()).collect();
    let work = Duration::from_secs(1);
    let upstream = Upstream::start("runner-1", &["plan"], work, &platform[..2]).await;
    let used = async |cluster: &Cluster| {
        let rows =
            cluster.operator_client(0).get::<serde_json::Value>("/v1/upstreams").await.ok()?;
        rows.get(0)?.get("used")?.as_u64()
    };
    wait_until("the upstream", || async { send(&cluster, 0, &[]).await.ok() }).await;
    cluster.kill(2);
    // Both that are left are kept busy; neither can borrow from the other.
    let mut callers = tokio::task::JoinSet::new();
    for at in 0..2 {
        for _ in 0..16 {
            let client = cluster.caller_client(at);
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
    // Eight slots over two entries; over three it would hold two or three.
    wait_until("half of the slots in use", || async { (used(&cluster).await? == 4).then_some(()) })
        .await;
    callers.abort_all();
    drop(upstream);
}

async fn send(cluster: &Cluster, at: usize, upstreams: &[&Upstream]) -> Result<usize> {
    let key = uuid::Uuid::now_v7().to_string();
    let headers = [("idempotency-key", key.as_str()), ("eelgrassvalve-idempotent", "true")];
    let client = cluster.caller_client(at);
    let answer = client.send(Method::POST, "/v1/requests/plan", &headers, "x".into()).await?;
    if !answer.status.is_success() {
        return Err(answer.error());
    }
    Ok(upstreams.iter().map(|upstream| upstream.executions().len()).sum())
}

#[tokio::test(flavor = "multi_thread")]
async fn each_of_thousands_of_callers_gets_its_own_whole_answer() {
    const CALLERS: usize = 120;
    const EACH: usize = 25;
    let cluster = std::sync::Arc::new(Cluster::start(3, 3).await);
    cluster.apply(0, &document()).await.expect("the document is accepted");
    let platform: Vec<_> = cluster.hosts.iter().map(|host| host.platform()).collect();
    let mut upstreams = Vec::new();
    for at in 0..8 {
        let id = format!("runner-{at}");
        let work = Duration::from_millis(2 + at * 3);
        upstreams.push(Upstream::start(&id, &["plan"], work, &platform).await);
    }
    wait_until("an upstream", || async { send(&cluster, 0, &[]).await.ok() }).await;
    let mut callers = tokio::task::JoinSet::new();
    for caller in 0..CALLERS {
        let cluster = cluster.clone();
        callers.spawn(async move {
            let mut not_run = Vec::new();
            let client = cluster.caller_client(caller % 3);
            for at in 0..EACH {
                let payload = format!("{caller}.{at}.{}", "x".repeat(at * 97));
                let key = format!("{caller}.{at}");
                // Some want an answer sooner than they can have it; some go away.
                let deadline = if at % 7 == 0 { "4" } else { "10000" };
                let headers = [("idempotency-key", &*key), ("eelgrassvalve-deadline-ms", deadline)];
                let sent = client.send(
                    Method::POST,
                    "/v1/requests/plan",
                    &headers,
                    payload.clone().into(),
                );
                let patience = Duration::from_millis(if at % 5 == 0 { 5 } else { 30_000 });
                let Ok(answer) = tokio::time::timeout(patience, sent).await else { continue };
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
    while let Some(ended) = callers.join_next().await {
        not_run.extend(ended.expect("each answer is the caller's own"));
    }
    let mut runs: BTreeMap<bytes::Bytes, usize> = BTreeMap::new();
    for ran in upstreams.iter().flat_map(Upstream::executions) {
        *runs.entry(ran.payload).or_default() += 1;
    }
    for (payload, count) in &runs {
        assert!(*count == 1 || payload == "x", "{payload:?} ran {count} times");
    }
    for payload in &not_run {
        assert!(!runs.contains_key(payload.as_bytes()), "{payload} was told not_run, but ran");
    }
    println!("{} ran, {} told not_run", runs.len(), not_run.len());
}
