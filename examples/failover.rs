//! Measures failover, the time until a configuration is in force, the cost of claims, and a
//! restart after many configuration changes, on six daemons over loopback.

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
const CONTROLS: usize = 3;
/// Leaders that are killed.
const FAILOVERS: usize = 10;
/// Configuration changes that are timed.
const CHANGES: u64 = 20;
/// Configuration changes before the restart.
const HISTORY: u64 = 500;
/// Requests of one caller, one after the other.
const SEQUENCE: usize = 300;
/// Callers at once.
const CALLERS: usize = 64;
/// How long they call.
const SPAN: Duration = Duration::from_secs(5);

#[tokio::main]
async fn main() -> Result<()> {
    let mut cluster = Cluster::start(HOSTS, CONTROLS).await;
    let mut times = Vec::new();
    for change in 0..CHANGES {
        let start = Instant::now();
        let configured = cluster.apply(0, &document(change)).await?;
        assert_eq!(configured.state, "in_force");
        times.push(start.elapsed());
    }
    print("in force at six entries", times);

    let platform: Vec<_> = cluster.hosts.iter().map(|host| host.platform()).collect();
    let mut upstreams = Vec::new();
    for number in 0..20 {
        let id = format!("runner-{number}");
        let work = Duration::from_millis(1);
        upstreams.push(Upstream::start(&id, &["plan"], work, &platform).await);
    }
    for claimed in [false, true] {
        let label = if claimed { "claimed" } else { "unclaimed" };
        let client = cluster.caller_client(1);
        let mut times = Vec::new();
        for _ in 0..SEQUENCE {
            let start = Instant::now();
            if ask(&client, claimed).await == Some(Verdict::Ran) {
                times.push(start.elapsed());
            }
        }
        print(&format!("{label}, one caller"), times);
        throughput(&cluster, claimed, label).await;
    }

    let mut times = Vec::new();
    for _ in 0..FAILOVERS {
        let leader = cluster.leader().await;
        cluster.kill(leader);
        let start = Instant::now();
        times.push(until_served(&cluster, leader, start).await);
        cluster.spawn(leader);
        cluster.wait_until_ready(leader).await;
    }
    print("new claimed work after the leader's kill", times);

    drop(cluster);

    let mut fresh = Cluster::start(HOSTS, CONTROLS).await;
    restart(&mut fresh).await
}

fn document(change: u64) -> Document {
    serde_json::from_value(serde_json::json!({
        "kinds": [{ "name": "plan", "rank": 0, "deadline_ms": 10_000 + change }],
        "customers": [{ "name": "anyone" }],
    }))
    .expect("the document is valid")
}

async fn ask(client: &Client, claimed: bool) -> Option<Verdict> {
    let key = uuid::Uuid::now_v7().to_string();
    let idempotent = if claimed { "false" } else { "true" };
    let headers = [
        ("idempotency-key", &*key),
        ("eelgrassvalve-idempotent", idempotent),
        ("eelgrassvalve-deadline-ms", "3000"),
    ];
    let sent = client.send(Method::POST, "/v1/requests/plan", &headers, key.clone().into());
    sent.await.ok()?.verdict
}

async fn throughput(cluster: &Cluster, claimed: bool, label: &str) {
    let mut callers = Vec::new();
    let start = Instant::now();
    for number in 0..CALLERS {
        let client = cluster.caller_client(number % HOSTS);
        callers.push(tokio::spawn(async move {
            let mut times = Vec::new();
            while start.elapsed() < SPAN {
                let sent = Instant::now();
                if ask(&client, claimed).await == Some(Verdict::Ran) {
                    times.push(sent.elapsed());
                }
            }
            times
        }));
    }
    let mut times = Vec::new();
    for caller in callers {
        times.extend(caller.await.unwrap_or_default());
    }
    println!("{label}, {CALLERS} callers: {} a second", times.len() as u64 / SPAN.as_secs());
    print(&format!("{label}, {CALLERS} callers"), times);
}

async fn until_served(cluster: &Cluster, killed: usize, start: Instant) -> Duration {
    let mut tasks = Vec::new();
    for at in 0..HOSTS {
        if at == killed {
            continue;
        }
        let client = cluster.caller_client(at);
        tasks.push(tokio::spawn(async move {
            while ask(&client, true).await != Some(Verdict::Ran) {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }));
    }
    // Every entry serves again, not only the first.
    for task in tasks {
        let _ = task.await;
    }
    start.elapsed()
}

async fn restart(cluster: &mut Cluster) -> Result<()> {
    let mut version = cluster.config(0).await?.version;
    for change in 0..HISTORY {
        let headers = [
            ("if-match", &*version.to_string()),
            ("eelgrassvalve-request-id", &*format!("history-{change}")),
        ];
        let wanted = document(1_000 + change);
        let client = cluster.operator_client(0);
        let made: Rollout = client.json(Method::PUT, "/v1/config", &headers, Some(&wanted)).await?;
        version = made.version;
    }
    let leader = cluster.leader().await;
    let follower = (0..CONTROLS).find(|at| *at != leader).unwrap_or_default();
    println!("data folder after {HISTORY} changes: {} bytes", size(&cluster.data_folder(follower)));
    for (at, label) in [(follower, "a follower"), (leader, "the leader")] {
        cluster.kill(at);
        let start = Instant::now();
        cluster.spawn(at);
        cluster.wait_until_ready(at).await;
        println!("{label} ready {:?} after its start", start.elapsed());
    }
    for at in 0..HOSTS {
        cluster.kill(at);
    }
    let start = Instant::now();
    for at in 0..HOSTS {
        cluster.spawn(at);
    }
    for at in 0..HOSTS {
        cluster.wait_until_ready(at).await;
    }
    println!("all six ready {:?} after their start", start.elapsed());
    assert_eq!(cluster.config(1).await?.version, version);
    Ok(())
}

fn size(folder: &Path) -> u64 {
    let mut bytes = 0;
    for entry in std::fs::read_dir(folder).into_iter().flatten().flatten() {
        let path = entry.path();
        if path.is_dir() {
            bytes += size(&path);
            continue;
        }
        bytes += entry.metadata().map_or(0, |metadata| metadata.len());
    }
    bytes
}

fn print(label: &str, mut times: Vec<Duration>) {
    times.sort();
    let Some(last) = times.last() else {
        println!("{label}: nothing was served");
        return;
    };
    let median = times[times.len() / 2];
    let p99 = times[times.len() * 99 / 100];
    println!("{label}: n {}, median {median:?}, p99 {p99:?}, max {last:?}", times.len());
}
