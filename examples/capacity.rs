//! Measures the slopes for docs/CAPACITY.md: bytes and time per job and per claim, message sizes,
//! and the processor, memory and network use of daemons by the number of simulated workers. Runs
//! for about a minute.

#[path = "../tests/support/mod.rs"]
mod support;

use std::time::{Duration, Instant};

use bytes::Bytes;
use eelgrassvalve::client::Client;
use eelgrassvalve::entry::platform::{Assignment, Poll};
use eelgrassvalve::mesh::call::{Call, Renewal, Workers};
use eelgrassvalve::mesh::frame::{Frame, Notice, encode};
use eelgrassvalve::placement::order::{Action, Order};
use eelgrassvalve::placement::report::{Report, Shape, State, Task};
use eelgrassvalve::replica::{Body, Message};
use eelgrassvalve::routing::upstream::{Announcement, Update};
use eelgrassvalve::state::claim::{self, Answer, Key, Outcome, Owner, Settlement};
use eelgrassvalve::state::job::{self, Part};
use eelgrassvalve::state::{self, Command, Machine};
use http::Method;
use support::cluster::Cluster;
use support::worker::{Behavior, Worker};

/// Numbers of objects in the state machine.
const OBJECT_COUNTS: [u64; 3] = [1_000, 4_000, 16_000];
/// Numbers of simulated workers.
const WORKER_COUNTS: [usize; 3] = [25, 50, 100];
/// Observation time for each number of workers.
const OBSERVATION: Duration = Duration::from_secs(8);
/// Clock ticks per second in which the kernel counts processor time.
const CLOCK_TICKS_PER_S: f64 = 100.0;
/// Attempt number of every claim, with an encoding as long as that of a random number.
const ATTEMPT: u64 = u64::MAX / 5;

fn main() {
    measure_objects();
    print_message_sizes();
    tokio::runtime::Runtime::new().expect("the Tokio runtime starts").block_on(measure_daemons());
}

fn measure_objects() {
    println!("object  count  snapshot_bytes  bytes_each  encode_ms  apply_us_each");
    for count in OBJECT_COUNTS {
        measure_object("job", count, |index| vec![build_submit(index), build_place(index)]);
    }
    for count in OBJECT_COUNTS {
        measure_object("claim", count, |index| vec![build_claim(index), build_settle(index)]);
    }
}

fn measure_object(name: &str, count: u64, commands: impl Fn(u64) -> Vec<Command>) {
    let mut machine = Machine::default();
    let empty_bytes = encode(&machine).len();
    let mut all_commands = Vec::new();
    for index in 0..count {
        all_commands.extend(commands(index));
    }
    let command_count = all_commands.len() as f64;
    let started = Instant::now();
    for command in all_commands {
        let timestamped = state::Record { at_ms: 1_800_000_000_000, command };
        machine.apply(&timestamped).expect("the command applies");
    }
    let apply_us = started.elapsed().as_secs_f64() * 1e6 / command_count;
    let started = Instant::now();
    let bytes = encode(&machine).len();
    let encode_ms = started.elapsed().as_secs_f64() * 1e3;
    let bytes_each = (bytes - empty_bytes) as f64 / count as f64;
    println!(
        "{name:<6} {count:>6} {bytes:>15} {bytes_each:>11.0} {encode_ms:>10.2} {apply_us:>14.2}"
    );
}

fn job_id(index: u64) -> String {
    format!("team-42.0197a0c0-0000-7000-8000-{index:012}")
}

fn build_submit(index: u64) -> Command {
    let spec = serde_json::json!({
        "kind": "training", "parts": 4, "accelerators": 8, "cores": 32, "memory_mib": 131_072,
        "run_ms": 14_400_000, "payload": "x".repeat(200),
    });
    let spec = serde_json::from_value(spec).expect("the spec is valid");
    let customer = "team-42".into();
    Command::Job(job::Command::Submit { id: job_id(index), customer, spec })
}

fn build_place(index: u64) -> Command {
    let mut parts = Vec::new();
    for part in 0..4 {
        parts.push(Part { worker: format!("worker-{index:05}-{part}"), accelerators: 255 });
    }
    Command::Job(job::Command::Place { id: job_id(index), parts, guaranteed: true })
}

fn owner() -> Owner {
    Owner { entry: "host-1".into(), incarnation: u64::MAX / 3 }
}

fn key(index: u64) -> Key {
    Key(u128::from(index) << 64 | 0x1234_5678_9abc_def0)
}

fn build_claim(index: u64) -> Command {
    let digest = u128::MAX / 3;
    Command::Claim(claim::Request {
        key: key(index),
        digest,
        owner: owner(),
        attempt: ATTEMPT,
        made_ms: None,
    })
}

fn build_settle(index: u64) -> Command {
    let answer = Answer { status: 200, content_type: None, body: Some(vec![7; 64]) };
    let outcome = Outcome::Ran(answer);
    Command::Settle(Settlement { key: key(index), owner: owner(), attempt: ATTEMPT, outcome })
}

fn build_report(tasks: usize) -> Report {
    let task = |index: usize| Task {
        job: job_id(index as u64),
        part: 1,
        epoch: 100_000,
        state: State::Running,
        checkpoint: None,
        usage_percent: Some(97),
    };
    Report {
        worker: "worker-00042".into(),
        incarnation: u64::MAX / 3,
        rack: "rack-042".into(),
        zone: "zone-1".into(),
        shape: Shape { accelerators: 8, cores: 64, memory_mib: 262_144 },
        tasks: (0..tasks).map(task).collect(),
    }
}

fn print_message_sizes() {
    println!("\nmessage                          bytes");
    let print_size = |name: &str, bytes: usize| println!("{name:<30} {bytes:>7}");
    for tasks in [0, 8, 18] {
        let poll = Poll { report: build_report(tasks), seen: 7 };
        let body = serde_json::to_vec(&poll).expect("the value encodes as JSON");
        print_size(&format!("poll, {tasks} tasks, JSON"), body.len());
        let call = Frame::Call { number: 1, call: Call::Report(build_report(tasks)) };
        print_size(&format!("report frame, {tasks} tasks"), encode(&call).len());
        let order = |index: usize| Order {
            job: job_id(index as u64),
            part: 1,
            epoch: 100_000,
            action: Action::Start,
        };
        let orders = (0..tasks).map(order).collect();
        let entries = vec!["10.0.0.1:7003".parse().expect("the address is valid"); 6];
        let polled = Assignment { lease_ms: 3_000, next_ms: 0, revision: 7, orders, entries };
        let body = serde_json::to_vec(&polled).expect("the value encodes as JSON");
        print_size(&format!("poll answer, {tasks} orders, JSON"), body.len());
    }
    for workers in [0, 10, 82] {
        let names: Vec<String> = (0..workers).map(|index| format!("worker-{index:05}")).collect();
        let revision = Workers::revision(&names);
        let first = build_renewal(Workers::Names(names));
        print_size(&format!("lease renewal, {workers} new workers"), encode(&first).len());
        let next = build_renewal(Workers::Same { revision });
        print_size(&format!("lease renewal, {workers} same workers"), encode(&next).len());
    }
    let announce = Announcement {
        address: "10.0.0.1:9000".parse().expect("the address is valid"),
        zone: "zone-1".into(),
        slots: 8,
        connections: 60,
        kinds: ["dispatch", "match"].map(String::from).into(),
        incarnation: u64::MAX / 3,
        sequence: 10_000,
        state: eelgrassvalve::routing::upstream::State::Serving,
    };
    let update = Update { id: "runner-042".into(), announce, age_ms: 40 };
    print_size(
        "upstream delta frame",
        encode(&Frame::Notice(Notice::Upstreams(vec![update]))).len(),
    );
    let body = Body::Append {
        prev_index: 100_000,
        prev_term: 7,
        entries: Vec::new(),
        commit: 100_000,
        sent_ms: 10_000_000,
    };
    print_size("replica heartbeat frame", encode(&Frame::Replica(Message { term: 7, body })).len());
}

fn build_renewal(workers: Workers) -> Frame {
    let renewal = Renewal { incarnation: u64::MAX / 3, version: 680, workers };
    Frame::Call { number: 1, call: Call::Renew(renewal) }
}

/// Processor ticks and bytes sent on the mesh since the start of a daemon, and its memory.
#[derive(Clone, Copy, Debug)]
struct Usage {
    cpu_ticks: u64,
    resident_kib: u64,
    mesh_sent_bytes: u64,
}

async fn read_usage(cluster: &Cluster, index: usize) -> Usage {
    let read = |file: &str| {
        let path = format!("/proc/{}/{file}", cluster.pid(index));
        std::fs::read_to_string(path).expect("the daemon is running")
    };
    let stat = read("stat");
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = |field: usize| fields[field].parse::<u64>().expect("the field is a number");
    let status = read("status");
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let resident = resident.and_then(|text| text.split_whitespace().next());
    let health = Client::new(cluster.hosts[index].health(), None);
    let response = health.send(Method::GET, "/metrics", &[], Bytes::new()).await;
    let metrics = String::from_utf8_lossy(&response.expect("the daemon answers").body).into_owned();
    let sent = metrics.lines().find(|line| line.starts_with("eelgrassvalve_mesh_sent_bytes"));
    let sent = sent.and_then(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
    Usage {
        cpu_ticks: ticks(11) + ticks(12),
        resident_kib: resident.and_then(|text| text.parse().ok()).unwrap_or(0),
        mesh_sent_bytes: sent.unwrap_or(0.0) as u64,
    }
}

async fn measure_daemons() {
    let cluster = Cluster::start(3, 3).await;
    let leader = cluster.leader().await;
    println!("\nworkers  role      core_percent  resident_MiB  mesh_sent_bytes_per_s");
    let mut workers: Vec<Worker> = Vec::new();
    for count in WORKER_COUNTS {
        while workers.len() < count {
            let index = workers.len();
            let name = format!("worker-{index:05}");
            let rack = format!("rack-{}", index / 8);
            let entries = [cluster.hosts[index % 3].platform()];
            workers.push(Worker::start(&name, &rack, "zone-1", Behavior::Normal, &entries));
        }
        tokio::time::sleep(Duration::from_secs(4)).await;
        let mut before = Vec::new();
        for index in 0..3 {
            before.push(read_usage(&cluster, index).await);
        }
        tokio::time::sleep(OBSERVATION).await;
        for (index, before) in before.iter().enumerate() {
            let after = read_usage(&cluster, index).await;
            let seconds = OBSERVATION.as_secs_f64();
            let core_percent =
                (after.cpu_ticks - before.cpu_ticks) as f64 / CLOCK_TICKS_PER_S / seconds * 100.0;
            let resident_mib = after.resident_kib as f64 / 1_024.0;
            let sent_bytes_per_s =
                (after.mesh_sent_bytes - before.mesh_sent_bytes) as f64 / seconds;
            let role = if index == leader { "leader" } else { "follower" };
            println!(
                "{count:>7}  {role:<8} {core_percent:>13.2} {resident_mib:>13.1} {sent_bytes_per_s:>22.0}"
            );
        }
    }
}
