//! Measures an idle cluster, appends to disk, snapshots of many claims, and a restart after many
//! configuration changes.
//!
//! Usage: `cargo run --release --example idle -- <members> <seconds> <changes>`, after
//! `cargo build --release`, which builds the daemon.

#[path = "../tests/support/mod.rs"]
mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrassvalve::client::Client;
use eelgrassvalve::mesh::frame::encode;
use eelgrassvalve::replica::store::Store;
use eelgrassvalve::replica::{Entry, Payload, Snapshot, Vote};
use eelgrassvalve::state::Machine;
use eelgrassvalve::state::claim::{Key, Owner, Request};
use eelgrassvalve::state::document::{Claims, Document};
use http::Method;
use support::cluster::Cluster;

/// Clock ticks per second in which the kernel counts processor time.
const CLOCK_TICKS_PER_S: f64 = 100.0;
/// Appends measured for each batch size.
const APPENDS: u64 = 2_000;
/// Claims in the measured snapshot.
const CLAIMS: u64 = 100_000;

/// Bytes sent on the mesh and processor time since the start of a daemon, and its memory.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    sent_bytes: f64,
    cpu_s: f64,
    resident_kib: u64,
}

fn parse_argument(position: usize, default: u64) -> u64 {
    std::env::args().nth(position).and_then(|text| text.parse().ok()).unwrap_or(default)
}

async fn read_usage(cluster: &Cluster, index: usize) -> Usage {
    let client = Client::new(cluster.hosts[index].health(), None);
    let response = client.send(Method::GET, "/metrics", &[], bytes::Bytes::new()).await;
    let metrics =
        String::from_utf8_lossy(&response.expect("the metrics endpoint answers").body).into_owned();
    let mut sent_bytes = 0.0;
    for line in metrics.lines() {
        if !line.starts_with("eelgrassvalve_mesh_sent_bytes") {
            continue;
        }
        sent_bytes = line.rsplit(' ').next().and_then(|n| n.parse().ok()).unwrap_or(0.0);
    }
    let pid = cluster.pid(index);
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = |field: usize| fields.get(field).and_then(|n| n.parse::<f64>().ok()).unwrap_or(0.0);
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS")).unwrap_or("");
    let resident_kib = line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).unwrap_or(0);
    Usage { sent_bytes, cpu_s: (ticks(11) + ticks(12)) / CLOCK_TICKS_PER_S, resident_kib }
}

async fn measure_idle(cluster: &Cluster, seconds: u64) {
    tokio::time::sleep(Duration::from_secs(3)).await;
    let mut before = Vec::new();
    for index in 0..cluster.hosts.len() {
        before.push(read_usage(cluster, index).await);
    }
    let leader = cluster.leader().await;
    let start = Instant::now();
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    let elapsed_s = start.elapsed().as_secs_f64();
    for (index, before) in before.iter().enumerate() {
        let after = read_usage(cluster, index).await;
        println!(
            "{} {}: sent {:.0} B/s, cpu {:.2} % of a core, resident {} KiB",
            cluster.hosts[index].name,
            if index == leader { "leader" } else { "follower" },
            (after.sent_bytes - before.sent_bytes) / elapsed_s,
            (after.cpu_s - before.cpu_s) / elapsed_s * 100.0,
            after.resident_kib,
        );
    }
}

fn build_document(deadline_ms: u64) -> Document {
    serde_json::from_value(serde_json::json!({
        "kinds": [{ "name": "plan", "rank": 0, "deadline_ms": deadline_ms }],
        "customers": [{ "name": "anyone" }],
    }))
    .expect("the document is valid")
}

async fn measure_restart(cluster: &mut Cluster, changes: u64) {
    let start = Instant::now();
    for number in 0..changes {
        cluster.apply(0, &build_document(1_000 + number)).await.expect("the change is accepted");
    }
    println!("{changes} configuration changes in {:.1} s", start.elapsed().as_secs_f64());
    let mut bytes = 0;
    for file in std::fs::read_dir(cluster.data_folder(1)).expect("the folder can be read") {
        bytes += file.and_then(|file| file.metadata()).map_or(0, |meta| meta.len());
    }
    cluster.kill(1);
    let start = Instant::now();
    cluster.spawn(1);
    cluster.wait_until_ready(1).await;
    println!("restart to ready in {} ms, folder of {bytes} B", start.elapsed().as_millis());
}

fn measure_appends() {
    let folder = std::env::temp_dir().join(format!("eelgrassvalve-{}", uuid::Uuid::new_v4()));
    let (mut store, _) = Store::open(&folder).expect("the folder opens");
    store.save_vote(Vote { term: 1, candidate: None }).expect("the data is saved");
    let mut index = 0;
    for batch_size in [1, 16, 128] {
        let start = Instant::now();
        for _ in 0..APPENDS / batch_size {
            let mut entries = Vec::new();
            for _ in 0..batch_size {
                index += 1;
                let payload = Payload::Command(vec![7; 200].into());
                entries.push(Entry { index, term: 1, payload });
            }
            store.append(&entries).expect("the entries are written");
            store.sync().expect("the log is synced");
        }
        let rate = (APPENDS / batch_size * batch_size) as f64 / start.elapsed().as_secs_f64();
        println!("{rate:.0} appends/s of 200 B, {batch_size} per sync");
    }
    drop(store);
    let _ = std::fs::remove_dir_all(folder);
}

// Measures the steps in which the replica's thread makes a snapshot of many claims: clone, encode
// and save.
fn measure_snapshot() {
    let mut machine = Machine::default();
    let limits = Claims::default();
    for number in 0..CLAIMS {
        let owner = Owner { entry: "host-1".into(), incarnation: 1 };
        let (key, digest) = (Key(number.into()), number.into());
        let request = Request { key, digest, owner, attempt: 1, made_ms: None };
        machine.claims.claim(&request, &limits, 1).expect("the claim table has room");
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
    let snapshot = Snapshot { index: 1, data: Arc::new(data.into()), ..Snapshot::default() };
    let start = Instant::now();
    store.save_snapshot(&snapshot, &[]).expect("the data is saved");
    let save_ms = start.elapsed().as_millis();
    println!(
        "{CLAIMS} claims: {bytes} B, clone {clone_ms} ms, encode {encode_ms} ms, save {save_ms} ms"
    );
    drop(store);
    let _ = std::fs::remove_dir_all(folder);
}

#[tokio::main]
async fn main() {
    let members = parse_argument(1, 3) as usize;
    measure_appends();
    measure_snapshot();
    let mut cluster = Cluster::start(members, members).await;
    measure_idle(&cluster, parse_argument(2, 20)).await;
    measure_restart(&mut cluster, parse_argument(3, 500)).await;
}
