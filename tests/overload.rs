//! More work than there are slots: goodput, deadlines of urgent kinds, and refusals that are true.

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

/// Slots of the replay.
const SLOTS: usize = 40;
/// Mean time of an exchange, in milliseconds.
const WORK_MS: f64 = 50.0;
/// Length of the replay, in milliseconds.
const LENGTH_MS: u64 = 20_000;
/// Start of the counting, in milliseconds.
const WARM_MS: u64 = 2_000;

#[derive(Debug, Default)]
struct Counts {
    offered: usize,
    in_time: usize,
    late: usize,
    refused: usize,
}

/// Replay of one entry's queue in virtual time, at a multiple of what its slots can do.
struct Replay {
    rng: SmallRng,
    queue: Queue<u64>,
    busy: Vec<(u64, Ticket, u64)>,
    counts: BTreeMap<u8, Counts>,
    most_waiting: usize,
}

impl Replay {
    fn run(times: f64, seed: u64) -> Self {
        let mut replay = Self {
            rng: SmallRng::seed_from_u64(seed),
            queue: Queue::new(Bounds { requests: 10_000, bytes: 64 << 20 }),
            busy: Vec::new(),
            counts: BTreeMap::new(),
            most_waiting: 0,
        };
        let a_ms = SLOTS as f64 / WORK_MS * times;
        let mut owed = 0.0;
        let mut number = 0;
        for now_ms in 0..LENGTH_MS {
            replay.finish(now_ms);
            // Arrivals come in bursts of a random size with the given mean.
            owed += a_ms * 2.0 * replay.rng.random::<f64>();
            while owed >= 1.0 {
                owed -= 1.0;
                number += 1;
                replay.arrive(number, now_ms);
            }
            replay.start(now_ms);
            replay.most_waiting = replay.most_waiting.max(replay.queue.len());
        }
        replay
    }

    fn count(&mut self, rank: u8, now_ms: u64) -> &mut Counts {
        // What comes before the counting starts goes into a rank of its own.
        self.counts.entry(if now_ms < WARM_MS { u8::MAX } else { rank }).or_default()
    }

    fn arrive(&mut self, number: u64, now_ms: u64) {
        // A tenth is urgent.
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
        let room = Conditions { capacity: SLOTS as u32, now_ms };
        let pushed: Result<(), Rejection> = self.queue.push(ticket, now_ms, room, &mut shed);
        self.count(rank, now_ms).refused += usize::from(pushed.is_err());
        for (ticket, arrived_ms) in shed {
            self.count(ticket.rank, arrived_ms).refused += 1;
        }
    }

    fn start(&mut self, now_ms: u64) {
        while self.busy.len() < SLOTS {
            let Some((ticket, arrived_ms)) = self.queue.pop(|_| true) else { return };
            if now_ms + self.queue.service_time_ms(&ticket.kind, now_ms) >= ticket.deadline_ms {
                self.count(ticket.rank, arrived_ms).refused += 1;
                continue;
            }
            let work_ms = WORK_MS * (0.5 + self.rng.random::<f64>());
            self.busy.push((now_ms + work_ms as u64, ticket, now_ms));
        }
    }

    fn finish(&mut self, now_ms: u64) {
        for (end_ms, ticket, start_ms) in std::mem::take(&mut self.busy) {
            if end_ms > now_ms {
                self.busy.push((end_ms, ticket, start_ms));
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
        answered as f64 * 1_000.0 / (LENGTH_MS - WARM_MS) as f64
    }
}

#[rstest]
fn goodput_and_urgent_deadlines_hold_at_any_load(
    #[values(2.0, 5.0)] times: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    let peak = Replay::run(1.0, seed).goodput();
    let replay = Replay::run(times, seed);
    let goodput = replay.goodput();
    let urgent = &replay.counts[&0];
    println!(
        "{times} times, seed {seed}: {goodput:.0}/s of {peak:.0}/s, urgent {urgent:?}, \
         most waiting {}",
        replay.most_waiting
    );
    assert!(goodput >= 0.9 * peak, "{goodput:.0}/s of {peak:.0}/s");
    assert_eq!((urgent.late, urgent.refused), (0, 0));
    assert!(replay.most_waiting <= 10_000);
}

#[tokio::test(flavor = "multi_thread")]
async fn what_is_refused_under_overload_never_ran() {
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
    wait_until("the upstream known everywhere", || async {
        for at in 0..3 {
            send(&cluster, at, "urgent", &format!("first {at}")).await.ok()?;
        }
        Some(())
    })
    .await;
    // Eight slots of 40 ms do 200 a second: 1,500 bulk requests at once are far beyond.
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
    while let Some(ended) = callers.join_next().await {
        let (payload, sent) = ended.expect("no caller panics");
        match sent {
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
        assert!(!not_run.contains(&payload), "{payload} was told not_run, but ran");
    }
    println!("{ran} ran, {} refused", not_run.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_that_are_being_read_are_bounded_in_sum() {
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
    wait_until("the upstream known", || async { send(&cluster, 0, "bulk", &payload).await.ok() })
        .await;

    let slow = tokio::net::TcpStream::connect(cluster.hosts[0].callers()).await;
    let mut slow = slow.expect("the listener accepts");
    let head = "POST /v1/requests/bulk HTTP/1.1\r\nhost: x\r\ncontent-length: 3000\r\n\
        idempotency-key: slow\r\n\r\nhalf";
    slow.write_all(head.as_bytes()).await.expect("the listener reads");
    let ran = upstream.executions().len();
    let refused = wait_until("a second body refused", || async {
        send(&cluster, 0, "bulk", &payload).await.err()
    })
    .await;
    assert_eq!(refused, Verdict::NotRun);
    // Operators are not kept out, and the room is free again once the slow caller is gone.
    cluster.apply(0, &document).await.expect("the document is accepted");
    drop(slow);
    wait_until("room for the next body", || async {
        send(&cluster, 0, "bulk", &payload).await.ok()
    })
    .await;
    assert!(upstream.executions().len() > ran);
}

async fn send(cluster: &Cluster, at: usize, kind: &str, payload: &str) -> Result<(), Verdict> {
    let key = &payload[..payload.len().min(64)];
    let headers = [("idempotency-key", key), ("eelgrassvalve-idempotent", "true")];
    let path = format!("/v1/requests/{kind}");
    let client = cluster.caller_client(at);
    let sent = client.send(Method::POST, &path, &headers, payload.to_string().into()).await;
    let answer = sent.map_err(|error| error.verdict)?;
    match answer.status.is_success() {
        true => Ok(()),
        false => Err(answer.error().verdict),
    }
}
