//! Load beyond capacity: goodput, deadlines of urgent kinds, and the verdicts of refusals.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use eelgrassvalve::routing::queue::{Bounds, Conditions, Queue, Rejection, Ticket};
use eelgrassvalve::state::document::Document;
use eelgrassvalve::verdict::Verdict;
use http::Method;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use support::cluster::Cluster;
use support::upstream::Upstream;
use support::wait_until;
use tokio::io::AsyncWriteExt;

/// Slots of the simulated entry.
const SLOTS: usize = 40;
/// Mean service time of a request.
const MEAN_SERVICE_MS: f64 = 50.0;
/// Simulated time.
const SIMULATION_MS: u64 = 20_000;
/// Time before which events are not counted.
const WARM_UP_MS: u64 = 2_000;

#[derive(Debug, Default)]
struct Counts {
    offered: usize,
    in_time: usize,
    late: usize,
    refused: usize,
}

/// Simulates one entry's queue in virtual time, at a multiple of the load that fills its slots.
struct Simulation {
    rng: SmallRng,
    queue: Queue<u64>,
    /// End, ticket and start of each request in service.
    running: Vec<(u64, Ticket, u64)>,
    counts: BTreeMap<u8, Counts>,
    max_queue_length: usize,
}

impl Simulation {
    fn run(load_factor: f64, seed: u64) -> Self {
        let mut simulation = Self {
            rng: SmallRng::seed_from_u64(seed),
            queue: Queue::new(Bounds { requests: 10_000, bytes: 64 << 20 }),
            running: Vec::new(),
            counts: BTreeMap::new(),
            max_queue_length: 0,
        };
        let arrivals_per_ms = SLOTS as f64 / MEAN_SERVICE_MS * load_factor;
        let mut due_arrivals = 0.0;
        let mut number = 0;
        for now_ms in 0..SIMULATION_MS {
            simulation.finish(now_ms);
            // Arrivals come in bursts of random size around the given mean.
            due_arrivals += arrivals_per_ms * 2.0 * simulation.rng.random::<f64>();
            while due_arrivals >= 1.0 {
                due_arrivals -= 1.0;
                number += 1;
                simulation.arrive(number, now_ms);
            }
            simulation.start(now_ms);
            simulation.max_queue_length = simulation.max_queue_length.max(simulation.queue.len());
        }
        simulation
    }

    fn count(&mut self, rank: u8, now_ms: u64) -> &mut Counts {
        // Events during warm-up are counted under an otherwise unused rank.
        self.counts.entry(if now_ms < WARM_UP_MS { u8::MAX } else { rank }).or_default()
    }

    fn arrive(&mut self, number: u64, now_ms: u64) {
        // One request in ten is urgent.
        let rank = u8::from(!number.is_multiple_of(10));
        let deadline_ms = now_ms + if rank == 0 { 500 } else { 2_000 };
        let ticket = Ticket {
            number,
            kind: format!("kind-{rank}"),
            customer: "anyone".into(),
            rank,
            share: 1,
            bytes: 1_000,
            deadline_ms,
        };
        self.count(rank, now_ms).offered += 1;
        let mut shed = Vec::new();
        let conditions = Conditions { capacity: SLOTS as u32, now_ms };
        let pushed: Result<(), Rejection> = self.queue.push(ticket, now_ms, conditions, &mut shed);
        self.count(rank, now_ms).refused += usize::from(pushed.is_err());
        for (ticket, arrived_ms) in shed {
            self.count(ticket.rank, arrived_ms).refused += 1;
        }
    }

    fn start(&mut self, now_ms: u64) {
        while self.running.len() < SLOTS {
            let Some((ticket, arrived_ms)) = self.queue.pop(|_| true) else { return };
            if now_ms + self.queue.service_time_ms(&ticket.kind, now_ms) >= ticket.deadline_ms {
                self.count(ticket.rank, arrived_ms).refused += 1;
                continue;
            }
            let service_ms = MEAN_SERVICE_MS * (0.5 + self.rng.random::<f64>());
            self.running.push((now_ms + service_ms as u64, ticket, now_ms));
        }
    }

    fn finish(&mut self, now_ms: u64) {
        for (end_ms, ticket, start_ms) in std::mem::take(&mut self.running) {
            if end_ms > now_ms {
                self.running.push((end_ms, ticket, start_ms));
                continue;
            }
            self.queue.record_service_time(&ticket.kind, end_ms - start_ms, now_ms);
            let in_time = end_ms <= ticket.deadline_ms;
            let counts = self.count(ticket.rank, start_ms);
            counts.in_time += usize::from(in_time);
            counts.late += usize::from(!in_time);
        }
    }

    fn goodput(&self) -> f64 {
        let ranks = self.counts.iter().filter(|(rank, _)| **rank != u8::MAX);
        let answered: usize = ranks.map(|(_, counts)| counts.in_time).sum();
        answered as f64 * 1_000.0 / (SIMULATION_MS - WARM_UP_MS) as f64
    }
}

#[rstest]
fn goodput_and_urgent_deadlines_hold_under_overload(
    #[values(2.0, 5.0)] load_factor: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    let peak = Simulation::run(1.0, seed).goodput();
    let simulation = Simulation::run(load_factor, seed);
    let goodput = simulation.goodput();
    let urgent = &simulation.counts[&0];
    println!(
        "load factor {load_factor}, seed {seed}: {goodput:.0}/s of {peak:.0}/s, urgent {urgent:?}, \
         longest queue {}",
        simulation.max_queue_length
    );
    assert!(goodput >= 0.9 * peak, "{goodput:.0}/s of {peak:.0}/s");
    assert_eq!((urgent.late, urgent.refused), (0, 0));
    assert!(simulation.max_queue_length <= 10_000);
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_reported_not_run_under_overload_never_ran() {
    let cluster = std::sync::Arc::new(Cluster::start(3, 3).await);
    let document: Document = serde_json::from_value(serde_json::json!({
        "kinds": [
            { "name": "urgent", "rank": 0, "deadline_ms": 20_000 },
            { "name": "bulk", "rank": 1, "deadline_ms": 700 },
        ],
        "customers": [{ "name": "anyone" }],
    }))
    .expect("the document is valid");
    cluster.apply(0, &document).await.expect("the document is accepted");
    let platform: Vec<_> = cluster.hosts.iter().map(|host| host.platform()).collect();
    let kinds = ["urgent", "bulk"];
    let upstream = Upstream::start("runner-1", &kinds, Duration::from_millis(40), &platform).await;
    wait_until("every entry to know the upstream", || async {
        for index in 0..3 {
            send(&cluster, index, "urgent", &format!("first {index}")).await.ok()?;
        }
        Some(())
    })
    .await;
    // Eight slots at 40 ms serve 200 requests per second, so 1,500 requests at once overload them.
    let mut callers = tokio::task::JoinSet::new();
    for number in 0..1_500_usize {
        let cluster = cluster.clone();
        let kind = if number.is_multiple_of(30) { "urgent" } else { "bulk" };
        callers.spawn(async move {
            let payload = format!("{kind} {number}");
            let verdict = send(&cluster, number % 3, kind, &payload).await;
            (payload, verdict)
        });
    }
    let mut not_run = BTreeSet::new();
    let mut ran = 0;
    while let Some(joined) = callers.join_next().await {
        let (payload, result) = joined.expect("no caller panics");
        match result {
            Ok(()) => ran += 1,
            Err(Verdict::NotRun) => {
                assert!(!payload.starts_with("urgent"), "{payload} was refused");
                not_run.insert(payload);
            }
            Err(_) => {}
        }
    }
    assert!(!not_run.is_empty() && ran > 50, "{ran} ran, {} refused", not_run.len());
    for line in upstream.executions() {
        let payload = String::from_utf8_lossy(&line.payload).into_owned();
        assert!(!not_run.contains(&payload), "{payload} was reported not_run, but ran");
    }
    println!("{ran} ran, {} refused", not_run.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn total_size_of_bodies_being_read_is_bounded() {
    let mut cluster = Cluster::new(1, 1);
    cluster.extra_settings = "[limits]\nqueue_bytes = 4096\n".into();
    cluster.boot().await;
    let document: Document = serde_json::from_value(serde_json::json!({
        "kinds": [{ "name": "bulk", "rank": 0, "deadline_ms": 20_000 }],
        "customers": [{ "name": "anyone" }],
    }))
    .expect("the document is valid");
    cluster.apply(0, &document).await.expect("the document is accepted");
    let platform = [cluster.hosts[0].platform()];
    let upstream = Upstream::start("runner-1", &["bulk"], Duration::ZERO, &platform).await;
    let payload = "x".repeat(3_000);
    wait_until("the entry to know the upstream", || async {
        send(&cluster, 0, "bulk", &payload).await.ok()
    })
    .await;

    let slow = tokio::net::TcpStream::connect(cluster.hosts[0].callers()).await;
    let mut slow = slow.expect("the listener accepts");
    let head = "POST /v1/requests/bulk HTTP/1.1\r\nhost: x\r\ncontent-length: 3000\r\n\
        idempotency-key: slow\r\n\r\nhalf";
    slow.write_all(head.as_bytes()).await.expect("the listener reads");
    let runs_before = upstream.executions().len();
    let refused = wait_until("a second body to be refused", || async {
        send(&cluster, 0, "bulk", &payload).await.err()
    })
    .await;
    assert_eq!(refused, Verdict::NotRun);
    // The bound does not apply to operators, and a disconnected caller releases its part of it.
    cluster.apply(0, &document).await.expect("the document is accepted");
    drop(slow);
    wait_until("capacity for the next body", || async {
        send(&cluster, 0, "bulk", &payload).await.ok()
    })
    .await;
    assert!(upstream.executions().len() > runs_before);
}

async fn send(cluster: &Cluster, entry: usize, kind: &str, payload: &str) -> Result<(), Verdict> {
    let key = &payload[..payload.len().min(64)];
    let headers = [("idempotency-key", key), ("eelgrassvalve-idempotent", "true")];
    let path = format!("/v1/requests/{kind}");
    let client = cluster.caller_client(entry);
    let result = client.send(Method::POST, &path, &headers, payload.to_string().into()).await;
    let answer = result.map_err(|error| error.verdict)?;
    match answer.status.is_success() {
        true => Ok(()),
        false => Err(answer.error().verdict),
    }
}
