//! Measures failover, the time until a configuration is in force, the cost of claims, and a restart
//! after many configuration changes, on six daemons over loopback.

#[path = "../tests/support/mod.rs"]
mod support;

use std::path::Path;
use std::time::{Duration, Instant};

use eelgrassvalve::client::Client;
use eelgrassvalve::entry::operator::Rollout;
use eelgrassvalve::error::Result;
use eelgrassvalve::state::document::Document;
use eelgrassvalve::verdict::Verdict;
use http::Method;
use support::cluster::Cluster;
use support::upstream::Upstream;

const HOSTS: usize = 6;
const CONTROL_HOSTS: usize = 3;
/// Number of times that the leader is killed.
const LEADER_KILLS: usize = 10;
/// Configuration changes measured.
const TIMED_CHANGES: u64 = 20;
/// Configuration changes before the restart.
const CHANGES_BEFORE_RESTART: u64 = 500;
/// Requests that a single caller sends one after the other.
const SEQUENTIAL_REQUESTS: usize = 300;
/// Concurrent callers of the throughput measurement.
const CONCURRENT_CALLERS: usize = 64;
/// Duration of the throughput measurement.
const THROUGHPUT_PERIOD: Duration = Duration::from_secs(5);

#[tokio::main]
async fn main() -> Result<()> {
    let mut cluster = Cluster::start(HOSTS, CONTROL_HOSTS).await;
    let mut times = Vec::new();
    for change in 0..TIMED_CHANGES {
        let start = Instant::now();
        let configured = cluster.apply(0, &build_document(change)).await?;
        assert_eq!(configured.state, "in_force");
        times.push(start.elapsed());
    }
    print_latencies("in force at six entries", times);

    let entries: Vec<_> = cluster.hosts.iter().map(|host| host.platform()).collect();
    let mut upstreams = Vec::new();
    for number in 0..20 {
        let id = format!("runner-{number}");
        let work_time = Duration::from_millis(1);
        upstreams.push(Upstream::start(&id, &["plan"], work_time, &entries).await);
    }
    for claimed in [false, true] {
        let label = if claimed { "claimed" } else { "unclaimed" };
        let client = cluster.caller_client(1);
        let mut times = Vec::new();
        for _ in 0..SEQUENTIAL_REQUESTS {
            let start = Instant::now();
            if send_request(&client, claimed).await == Some(Verdict::Ran) {
                times.push(start.elapsed());
            }
        }
        print_latencies(&format!("{label}, one caller"), times);
        measure_throughput(&cluster, claimed, label).await;
    }

    let mut times = Vec::new();
    for _ in 0..LEADER_KILLS {
        let leader = cluster.leader().await;
        cluster.kill(leader);
        let start = Instant::now();
        times.push(wait_until_served(&cluster, leader, start).await);
        cluster.spawn(leader);
        cluster.wait_until_ready(leader).await;
    }
    print_latencies("new claimed work after the leader's kill", times);

    drop(cluster);

    let mut new_cluster = Cluster::start(HOSTS, CONTROL_HOSTS).await;
    measure_restart(&mut new_cluster).await
}

fn build_document(change: u64) -> Document {
    serde_json::from_value(serde_json::json!({
        "kinds": [{ "name": "plan", "rank": 0, "deadline_ms": 10_000 + change }],
        "customers": [{ "name": "anyone" }],
    }))
    .expect("the document is valid")
}

async fn send_request(client: &Client, claimed: bool) -> Option<Verdict> {
    let key = uuid::Uuid::now_v7().to_string();
    let idempotent = if claimed { "false" } else { "true" };
    let headers = [
        ("idempotency-key", &*key),
        ("eelgrassvalve-idempotent", idempotent),
        ("eelgrassvalve-deadline-ms", "3000"),
    ];
    let response = client.send(Method::POST, "/v1/requests/plan", &headers, key.clone().into());
    response.await.ok()?.verdict
}

async fn measure_throughput(cluster: &Cluster, claimed: bool, label: &str) {
    let mut callers = Vec::new();
    let start = Instant::now();
    for number in 0..CONCURRENT_CALLERS {
        let client = cluster.caller_client(number % HOSTS);
        callers.push(tokio::spawn(async move {
            let mut times = Vec::new();
            while start.elapsed() < THROUGHPUT_PERIOD {
                let sent_at = Instant::now();
                if send_request(&client, claimed).await == Some(Verdict::Ran) {
                    times.push(sent_at.elapsed());
                }
            }
            times
        }));
    }
    let mut times = Vec::new();
    for caller in callers {
        times.extend(caller.await.unwrap_or_default());
    }
    println!(
        "{label}, {CONCURRENT_CALLERS} callers: {} a second",
        times.len() as u64 / THROUGHPUT_PERIOD.as_secs()
    );
    print_latencies(&format!("{label}, {CONCURRENT_CALLERS} callers"), times);
}

// Waits until every live entry serves a claimed request, and returns the time since `start`.
async fn wait_until_served(cluster: &Cluster, killed: usize, start: Instant) -> Duration {
    let mut tasks = Vec::new();
    for index in 0..HOSTS {
        if index == killed {
            continue;
        }
        let client = cluster.caller_client(index);
        tasks.push(tokio::spawn(async move {
            while send_request(&client, true).await != Some(Verdict::Ran) {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }));
    }
    // Failover is complete only when every entry serves again, not just the first one.
    for task in tasks {
        let _ = task.await;
    }
    start.elapsed()
}

async fn measure_restart(cluster: &mut Cluster) -> Result<()> {
    let mut version = cluster.config(0).await?.version;
    for change in 0..CHANGES_BEFORE_RESTART {
        let headers = [
            ("if-match", &*version.to_string()),
            ("eelgrassvalve-request-id", &*format!("history-{change}")),
        ];
        let document = build_document(1_000 + change);
        let client = cluster.operator_client(0);
        let configured: Rollout =
            client.json(Method::PUT, "/v1/config", &headers, Some(&document)).await?;
        version = configured.version;
    }
    let leader = cluster.leader().await;
    let follower = (0..CONTROL_HOSTS).find(|index| *index != leader).unwrap_or_default();
    println!(
        "data folder after {CHANGES_BEFORE_RESTART} changes: {} bytes",
        folder_bytes(&cluster.data_folder(follower))
    );
    for (index, label) in [(follower, "a follower"), (leader, "the leader")] {
        cluster.kill(index);
        let start = Instant::now();
        cluster.spawn(index);
        cluster.wait_until_ready(index).await;
        println!("{label} ready {:?} after its start", start.elapsed());
    }
    for index in 0..HOSTS {
        cluster.kill(index);
    }
    let start = Instant::now();
    for index in 0..HOSTS {
        cluster.spawn(index);
    }
    for index in 0..HOSTS {
        cluster.wait_until_ready(index).await;
    }
    println!("all six ready {:?} after their start", start.elapsed());
    assert_eq!(cluster.config(1).await?.version, version);
    Ok(())
}

fn folder_bytes(folder: &Path) -> u64 {
    let mut bytes = 0;
    for entry in std::fs::read_dir(folder).into_iter().flatten().flatten() {
        let path = entry.path();
        if path.is_dir() {
            bytes += folder_bytes(&path);
            continue;
        }
        bytes += entry.metadata().map_or(0, |metadata| metadata.len());
    }
    bytes
}

fn print_latencies(label: &str, mut times: Vec<Duration>) {
    times.sort();
    let Some(max) = times.last() else {
        println!("{label}: no request succeeded");
        return;
    };
    let median = times[times.len() / 2];
    let p99 = times[times.len() * 99 / 100];
    println!("{label}: n {}, median {median:?}, p99 {p99:?}, max {max:?}", times.len());
}
