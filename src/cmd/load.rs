//! `eelgrassvalve load`: an open-loop load test, bounded in count and time.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use hdrhistogram::Histogram;
use http::Method;
use serde::Serialize;
use tokio::sync::Semaphore;
use tokio::sync::mpsc::{self, Receiver, Sender};
use tokio::time::Instant;

use super::{Subcommand, block_on, output, remote};
use crate::client::Client;
use crate::verdict::Verdict;

/// Greatest rate, in requests a second.
const RATE: u64 = 100_000;
/// Longest run, in seconds.
const SECONDS: u64 = 600;
/// Most requests under way at once.
const OPEN: u64 = 20_000;
/// Longest payload, in bytes.
const PAYLOAD: u64 = 1 << 20;
/// Longest latency that is told apart, in microseconds.
const LONGEST_US: u64 = 600_000_000;

/// Sends requests at a steady rate, whatever becomes of the earlier ones.
pub(super) struct Load;

/// What a run came to; times are in milliseconds, counted from when a request was due.
#[derive(Debug, Serialize)]
struct Report {
    sent: u64,
    skipped: u64,
    ran: u64,
    not_run: u64,
    may_have_run: u64,
    broken: u64,
    answered_a_second: f64,
    p50_ms: f64,
    p90_ms: f64,
    p99_ms: f64,
    p999_ms: f64,
    max_ms: f64,
}

/// End of one request.
struct Ended {
    /// `None` where no whole answer came.
    verdict: Option<Verdict>,
    took: Duration,
}

struct Plan {
    client: Client,
    path: String,
    payload: Bytes,
    is_claimed: bool,
    rate: u64,
    count: u64,
    open: usize,
    deadline_ms: String,
}

fn number(name: &'static str, default: &'static str, most: u64) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .value_parser(value_parser!(u64).range(1..=most))
        .default_value(default)
}

impl Subcommand for Load {
    fn command(&self) -> Command {
        let kind = Arg::new("kind").required(true).help("Kind of work");
        let flag = |name: &'static str| Arg::new(name).long(name).action(ArgAction::SetTrue);
        Command::new("load").about("Sends requests at a steady rate and reports latencies").args([
            kind,
            number("rate", "100", RATE).help("Requests a second"),
            number("seconds", "10", SECONDS).help("Length of the run"),
            number("open", "1000", OPEN).help("Most requests under way; more are skipped"),
            number("bytes", "128", PAYLOAD).help("Length of each payload"),
            number("deadline-ms", "10000", 600_000).help("Deadline of each request"),
            flag("claimed").help("Requests that must not run twice, each with a key of its own"),
            flag("direct").help("The address is an upstream, not an entry"),
        ])
    }

    fn run(&self, matches: &ArgMatches) -> super::Result {
        let report = block_on(Plan::new(matches).run());
        output::print(matches, &report)
    }
}

impl Plan {
    fn new(matches: &ArgMatches) -> Self {
        let number = |name: &str| *matches.get_one::<u64>(name).expect("has a default");
        let kind = matches.get_one::<String>("kind").expect("is required");
        let folder = if matches.get_flag("direct") { "run" } else { "requests" };
        Self {
            client: remote::callers(matches),
            path: format!("/v1/{folder}/{kind}"),
            payload: vec![b'x'; number("bytes") as usize].into(),
            is_claimed: matches.get_flag("claimed"),
            rate: number("rate"),
            count: number("rate") * number("seconds"),
            open: number("open") as usize,
            deadline_ms: number("deadline-ms").to_string(),
        }
    }

    async fn run(self) -> Report {
        let (sender, receiver) = mpsc::channel(1_024);
        let collected = tokio::spawn(collect(receiver));
        let start = Instant::now();
        let skipped = Arc::new(self).send_all(start, sender).await;
        let mut report = collected.await.expect("the collector does not panic");
        let seconds = start.elapsed().as_secs_f64();
        report.skipped = skipped;
        report.answered_a_second = (report.ran as f64 / seconds * 10.0).round() / 10.0;
        report
    }

    // Returns how many requests were skipped as too many were under way.
    async fn send_all(self: Arc<Self>, start: Instant, ended: Sender<Ended>) -> u64 {
        let permits = Arc::new(Semaphore::new(self.open));
        let mut skipped = 0;
        for number in 0..self.count {
            let due = start + Duration::from_nanos(number * 1_000_000_000 / self.rate);
            tokio::time::sleep_until(due).await;
            let Ok(permit) = permits.clone().try_acquire_owned() else {
                skipped += 1;
                continue;
            };
            let (plan, ended) = (self.clone(), ended.clone());
            tokio::spawn(async move {
                let verdict = plan.send().await;
                // Time since the request was due: a late start counts too.
                let took = due.elapsed();
                let _ = ended.send(Ended { verdict, took }).await;
                drop(permit);
            });
        }
        skipped
    }

    async fn send(&self) -> Option<Verdict> {
        let key = uuid::Uuid::now_v7().to_string();
        let idempotent = (!self.is_claimed).to_string();
        let headers = [
            ("idempotency-key", key.as_str()),
            ("eelgrassvalve-idempotent", &idempotent),
            ("eelgrassvalve-deadline-ms", &self.deadline_ms),
        ];
        let sent = self.client.send(Method::POST, &self.path, &headers, self.payload.clone());
        let answer = sent.await.ok()?;
        match answer.status.is_success() {
            true => Some(Verdict::Ran),
            false => Some(answer.error().verdict),
        }
    }
}

async fn collect(mut receiver: Receiver<Ended>) -> Report {
    let mut times = Histogram::<u64>::new_with_max(LONGEST_US, 3).expect("the bounds are valid");
    let (mut sent, mut ran, mut not_run, mut may_have_run, mut broken) = (0, 0, 0, 0, 0);
    while let Some(Ended { verdict, took }) = receiver.recv().await {
        sent += 1;
        match verdict {
            Some(Verdict::Ran) => {
                ran += 1;
                times.saturating_record(took.as_micros() as u64);
            }
            Some(Verdict::NotRun) => not_run += 1,
            Some(Verdict::MayHaveRun) => may_have_run += 1,
            None => broken += 1,
        }
    }
    let at = |quantile: f64| times.value_at_quantile(quantile) as f64 / 1_000.0;
    Report {
        sent,
        skipped: 0,
        ran,
        not_run,
        may_have_run,
        broken,
        answered_a_second: 0.0,
        p50_ms: at(0.5),
        p90_ms: at(0.9),
        p99_ms: at(0.99),
        p999_ms: at(0.999),
        max_ms: times.max() as f64 / 1_000.0,
    }
}
