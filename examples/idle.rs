//! Measures a cluster at rest, appends on its disk, and a restart after many changes.
//!
//! `cargo run --release --example idle -- <members> <seconds> <changes>`; build the daemon with
//! `cargo build --release` first.

#[path = "../tests/support/mod.rs"]
mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassvalve::client::Client;
use eelgrassvalve::mesh::frame::encode;
use eelgrassvalve::replica::store::Store;
use eelgrassvalve::replica::{Bytes, Entry, Payload, Snapshot, Vote};
use eelgrassvalve::state::StateMachine;
use eelgrassvalve::state::claim::{Key, Owner, Request};
use eelgrassvalve::state::document::{ClaimLimits, Document};
use http::Method;
use support::cluster::Cluster;

/// Clock ticks a second in the process table.
const TICKS: f64 = 100.0;
/// Appends measured for each batch length.
const APPENDS: u64 = 2_000;
/// Claims in the measured snapshot.
const CLAIMS: u64 = 100_000;

/// Use of one daemon since its start.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    sent_bytes: f64,
    cpu_s: f64,
    resident_kib: u64,
}

fn argument(at: usize, default: u64) -> u64 {
    std::env::args().nth(at).and_then(|text| text.parse().ok()).unwrap_or(default)
}

async fn usage(cluster: &Cluster, at: usize) -> Usage {
    let client = Client::new(cluster.hosts[at].health(), None);
    let scraped = client.send(Method::GET, "/metrics", &[], bytes::Bytes::new()).await;
    let text = String::from_utf8_lossy(&scraped.expect("the metrics answer").body).into_owned();
    let mut sent_bytes = 0.0;
    for line in text.lines() {
        if !line.starts_with("eelgrassvalve_mesh_sent_bytes") {
            continue;
        }
        sent_bytes = line.rsplit(' ').next().and_then(|n| n.parse().ok()).unwrap_or(0.0);
    }
    let pid = cluster.pid(at);
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = |at: usize| fields.get(at).and_then(|n| n.parse::<f64>().ok()).unwrap_or(0.0);
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS")).unwrap_or("");
    let resident_kib = line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).unwrap_or(0);
    Usage { sent_bytes, cpu_s: (ticks(11) + ticks(12)) / TICKS, resident_kib }
}

async fn rest(cluster: &Cluster, seconds: u64) {
    tokio::time::sleep(Duration::from_secs(3)).await;
    let mut before = Vec::new();
    for at in 0..cluster.hosts.len() {
        before.push(usage(cluster, at).await);
    }
    let leader = cluster.leader().await;
    let start = Instant::now();
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    let span_s = start.elapsed().as_secs_f64();
    for (at, before) in before.iter().enumerate() {
        let after = usage(cluster, at).await;
        println!(
            "{} {}: sent {:.0} B/s, cpu {:.2} % of a core, resident {} KiB",
            cluster.hosts[at].name,
            if at == leader { "leader" } else { "follower" },
            (after.sent_bytes - before.sent_bytes) / span_s,
            (after.cpu_s - before.cpu_s) / span_s * 100.0,
            after.resident_kib,
        );
    }
}

fn document(deadline_ms: u64) -> Document {
    serde_json::from_value(serde_json::json!({
        "kinds": [{ "name": "plan", "rank": 0, "deadline_ms": deadline_ms }],
        "customers": [{ "name": "anyone" }],
    }))
    .expect("the document is valid")
}

async fn restart(cluster: &mut Cluster, changes: u64) {
    let start = Instant::now();
    for number in 0..changes {
        cluster.apply(0, &document(1_000 + number)).await.expect("the change is accepted");
    }
    println!("{changes} configuration changes in {:.1} s", start.elapsed().as_secs_f64());
    let mut bytes = 0;
    for item in std::fs::read_dir(cluster.data_folder(1)).expect("the folder can be read") {
        bytes += item.and_then(|item| item.metadata()).map_or(0, |meta| meta.len());
    }
    cluster.kill(1);
    let start = Instant::now();
    cluster.spawn(1);
    cluster.wait_until_ready(1).await;
    println!("restart to ready in {} ms, folder of {bytes} B", start.elapsed().as_millis());
}

fn appends() {
    let folder = std::env::temp_dir().join(format!("eelgrassvalve-{}", uuid::Uuid::new_v4()));
    let (mut store, _) = Store::open(&folder).expect("the folder opens");
    store.save_vote(Vote { term: 1, candidate: None }).expect("is saved");
    let mut index = 0;
    for batch in [1, 16, 128] {
        let start = Instant::now();
        for _ in 0..APPENDS / batch {
            let mut entries = Vec::new();
            for _ in 0..batch {
                index += 1;
                let payload = Payload::Command(Bytes(vec![7; 200]));
                entries.push(Entry { index, term: 1, payload });
            }
            store.append(&entries).expect("is written");
            store.sync().expect("is synced");
        }
        let rate = (APPENDS / batch * batch) as f64 / start.elapsed().as_secs_f64();
        println!("{rate:.0} appends/s of 200 B, {batch} a sync");
    }
    drop(store);
    let _ = std::fs::remove_dir_all(folder);
}

// What the replica's thread does for a snapshot of many claims: clone, then save.
fn snapshots() {
    let mut machine = StateMachine::default();
    let limits = ClaimLimits::default();
    for number in 0..CLAIMS {
        let owner = Owner { entry: "host-1".into(), incarnation: 1 };
        let (key, digest) = (Key(number.into()), number.into());
        let request = Request { key, digest, owner, attempt: 1, made_ms: None };
        machine.claims.claim(&request, &limits, 1).expect("the table has room");
    }
    let start = Instant::now();
    let copy = machine.clone();
    let clone_ms = start.elapsed().as_millis();
    let start = Instant::now();
    let data = encode(&copy);
    let encode_ms = start.elapsed().as_millis();
    let bytes = data.len();
    let folder = std::env::temp_dir().join(format!("eelgrassvalve-{}", uuid::Uuid::new_v4()));
    let (mut store, _) = Store::open(&folder).expect("the folder opens");
    let snapshot = Snapshot { index: 1, data: Arc::new(Bytes(data)), ..Snapshot::default() };
    let start = Instant::now();
    store.save_snapshot(&snapshot, &[]).expect("is saved");
    let save_ms = start.elapsed().as_millis();
    println!(
        "{CLAIMS} claims: {bytes} B, clone {clone_ms} ms, encode {encode_ms} ms, save {save_ms} ms"
    );
    drop(store);
    let _ = std::fs::remove_dir_all(folder);
}

#[tokio::main]
async fn main() {
    let members = argument(1, 3) as usize;
    appends();
    snapshots();
    let mut cluster = Cluster::start(members, members).await;
    rest(&cluster, argument(2, 20)).await;
    restart(&mut cluster, argument(3, 500)).await;
}
