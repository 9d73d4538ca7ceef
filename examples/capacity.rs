//! Slopes for docs/CAPACITY.md: bytes and time by jobs and claims, and what daemons spend on
//! stand-in workers. Runs for about a minute.

#[path = "../tests/support/mod.rs"]
mod support;

use std::time::{Duration, Instant};

use bytes::Bytes;
use eelgrassvalve::client::Client;
use eelgrassvalve::entry::platform::{Poll, PollResponse};
use eelgrassvalve::mesh::call::{ActiveWorkers, Call, Renewal};
use eelgrassvalve::mesh::frame::{Frame, Notice, encode};
use eelgrassvalve::placement::order::{Action, Order};
use eelgrassvalve::placement::report::{Report, Shape, State, Task};
use eelgrassvalve::replica::{Body, Message};
use eelgrassvalve::routing::upstream::{Announcement, Update};
use eelgrassvalve::state::claim::{self, Answer, Key, Outcome, Owner, Settlement};
use eelgrassvalve::state::job::{self, Part};
use eelgrassvalve::state::{Command, StateMachine, TimestampedCommand};
use http::Method;
use support::cluster::Cluster;
use support::worker::{Behavior, Worker};

/// Objects in the machine at each step.
const OBJECTS: [u64; 3] = [1_000, 4_000, 16_000];
/// Stand-in workers at each step.
const WORKERS: [usize; 3] = [25, 50, 100];
/// How long daemons are watched at each step.
const WATCH: Duration = Duration::from_secs(8);
/// Clock ticks a second in which the kernel counts processor time.
const TICKS: f64 = 100.0;
/// Number of every claim's attempt, as long as a random one.
const ATTEMPT: u64 = u64::MAX / 5;

fn main() {
    objects();
    messages();
    tokio::runtime::Runtime::new().expect("a runtime can be started").block_on(daemons());
}

fn objects() {
    println!("object  count  snapshot_bytes  bytes_each  encode_ms  apply_us_each");
    for count in OBJECTS {
        measure("job", count, |at| vec![submit(at), place(at)]);
    }
    for count in OBJECTS {
        measure("claim", count, |at| vec![claim(at), settle(at)]);
    }
}

fn measure(name: &str, count: u64, commands: impl Fn(u64) -> Vec<Command>) {
    let mut machine = StateMachine::default();
    let empty = encode(&machine).len();
    let mut prepared = Vec::new();
    for at in 0..count {
        prepared.extend(commands(at));
    }
    let applied = prepared.len() as f64;
    let started = Instant::now();
    for command in prepared {
        let stamped = TimestampedCommand { at_ms: 1_800_000_000_000, command };
        machine.apply(&stamped).expect("is valid");
    }
    let apply_us = started.elapsed().as_secs_f64() * 1e6 / applied;
    let started = Instant::now();
    let bytes = encode(&machine).len();
    let encode_ms = started.elapsed().as_secs_f64() * 1e3;
    let each = (bytes - empty) as f64 / count as f64;
    println!("{name:<6} {count:>6} {bytes:>15} {each:>11.0} {encode_ms:>10.2} {apply_us:>14.2}");
}

fn job_id(at: u64) -> String {
    format!("team-42.0197a0c0-0000-7000-8000-{at:012}")
}

fn submit(at: u64) -> Command {
    let spec = serde_json::json!({
        "kind": "training", "parts": 4, "accelerators": 8, "cores": 32, "memory_mib": 131_072,
        "run_ms": 14_400_000, "payload": "x".repeat(200),
    });
    let spec = serde_json::from_value(spec).expect("is valid");
    let customer = "team-42".into();
    Command::Job(job::Command::Submit { id: job_id(at), customer, spec })
}

fn place(at: u64) -> Command {
    let mut parts = Vec::new();
    for part in 0..4 {
        parts.push(Part { worker: format!("worker-{at:05}-{part}"), accelerators: 255 });
    }
    Command::Job(job::Command::Place { id: job_id(at), parts, guaranteed: true })
}

fn owner() -> Owner {
    Owner { entry: "host-1".into(), incarnation: u64::MAX / 3 }
}

fn key(at: u64) -> Key {
    Key(u128::from(at) << 64 | 0x1234_5678_9abc_def0)
}

fn claim(at: u64) -> Command {
    let digest = u128::MAX / 3;
    Command::Claim(claim::Request {
        key: key(at),
        digest,
        owner: owner(),
        attempt: ATTEMPT,
        made_ms: None,
    })
}

fn settle(at: u64) -> Command {
    let answer = Answer { status: 200, content_type: None, body: Some(vec![7; 64]) };
    let outcome = Outcome::Ran(answer);
    Command::Settle(Settlement { key: key(at), owner: owner(), attempt: ATTEMPT, outcome })
}

fn report(tasks: usize) -> Report {
    let task = |at: usize| Task {
        job: job_id(at as u64),
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

fn messages() {
    println!("\nmessage                          bytes");
    let show = |name: &str, bytes: usize| println!("{name:<30} {bytes:>7}");
    for tasks in [0, 8, 18] {
        let poll = Poll { report: report(tasks), seen: 7 };
        let body = serde_json::to_vec(&poll).expect("encodes");
        show(&format!("poll, {tasks} tasks, JSON"), body.len());
        let call = Frame::Call { number: 1, call: Call::Report(report(tasks)) };
        show(&format!("report frame, {tasks} tasks"), encode(&call).len());
        let order = |at: usize| Order {
            job: job_id(at as u64),
            part: 1,
            epoch: 100_000,
            action: Action::Start,
        };
        let orders = (0..tasks).map(order).collect();
        let entries = vec!["10.0.0.1:7003".parse().expect("an address"); 6];
        let polled = PollResponse { lease_ms: 3_000, next_ms: 0, revision: 7, orders, entries };
        let body = serde_json::to_vec(&polled).expect("encodes");
        show(&format!("poll answer, {tasks} orders, JSON"), body.len());
    }
    for workers in [0, 10, 82] {
        let names: Vec<String> = (0..workers).map(|at| format!("worker-{at:05}")).collect();
        let revision = ActiveWorkers::revision(&names);
        let first = renewal(ActiveWorkers::Names(names));
        show(&format!("lease renewal, {workers} new workers"), encode(&first).len());
        let next = renewal(ActiveWorkers::Same { revision });
        show(&format!("lease renewal, {workers} same workers"), encode(&next).len());
    }
    let announce = Announcement {
        address: "10.0.0.1:9000".parse().expect("an address"),
        zone: "zone-1".into(),
        slots: 8,
        connections: 60,
        kinds: ["dispatch", "match"].map(String::from).into(),
        incarnation: u64::MAX / 3,
        sequence: 10_000,
        state: eelgrassvalve::routing::upstream::State::Serving,
    };
    let delta = Update { id: "runner-042".into(), announce, age_ms: 40 };
    show("upstream delta frame", encode(&Frame::Notice(Notice::Upstreams(vec![delta]))).len());
    let body = Body::Append {
        prev_index: 100_000,
        prev_term: 7,
        entries: Vec::new(),
        commit: 100_000,
        sent_ms: 10_000_000,
    };
    show("replica heartbeat frame", encode(&Frame::Replica(Message { term: 7, body })).len());
}

fn renewal(workers: ActiveWorkers) -> Frame {
    let renewal = Renewal { incarnation: u64::MAX / 3, version: 680, workers };
    Frame::Call { number: 1, call: Call::Renew(renewal) }
}

#[derive(Clone, Copy, Debug)]
struct Usage {
    ticks: u64,
    resident_kib: u64,
    sent_bytes: u64,
}

async fn usage(cluster: &Cluster, at: usize) -> Usage {
    let read = |file: &str| {
        let path = format!("/proc/{}/{file}", cluster.pid(at));
        std::fs::read_to_string(path).expect("the daemon runs")
    };
    let stat = read("stat");
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = |field: usize| fields[field].parse::<u64>().expect("a number");
    let status = read("status");
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let resident = resident.and_then(|text| text.split_whitespace().next());
    let health = Client::new(cluster.hosts[at].health(), None);
    let scraped = health.send(Method::GET, "/metrics", &[], Bytes::new()).await;
    let text = String::from_utf8_lossy(&scraped.expect("the daemon answers").body).into_owned();
    let sent = text.lines().find(|line| line.starts_with("eelgrassvalve_mesh_sent_bytes"));
    let sent = sent.and_then(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
    Usage {
        ticks: ticks(11) + ticks(12),
        resident_kib: resident.and_then(|text| text.parse().ok()).unwrap_or(0),
        sent_bytes: sent.unwrap_or(0.0) as u64,
    }
}

async fn daemons() {
    let cluster = Cluster::start(3, 3).await;
    let leader = cluster.leader().await;
    println!("\nworkers  role      core_percent  resident_MiB  mesh_sent_bytes_per_s");
    let mut workers: Vec<Worker> = Vec::new();
    for count in WORKERS {
        while workers.len() < count {
            let at = workers.len();
            let name = format!("worker-{at:05}");
            let rack = format!("rack-{}", at / 8);
            let entry = [cluster.hosts[at % 3].platform()];
            workers.push(Worker::start(&name, &rack, "zone-1", Behavior::Normal, &entry));
        }
        tokio::time::sleep(Duration::from_secs(4)).await;
        let mut before = Vec::new();
        for at in 0..3 {
            before.push(usage(&cluster, at).await);
        }
        tokio::time::sleep(WATCH).await;
        for (at, before) in before.iter().enumerate() {
            let after = usage(&cluster, at).await;
            let seconds = WATCH.as_secs_f64();
            let core = (after.ticks - before.ticks) as f64 / TICKS / seconds * 100.0;
            let resident = after.resident_kib as f64 / 1_024.0;
            let sent = (after.sent_bytes - before.sent_bytes) as f64 / seconds;
            let role = if at == leader { "leader" } else { "follower" };
            println!("{count:>7}  {role:<8} {core:>13.2} {resident:>13.1} {sent:>22.0}");
        }
    }
}
