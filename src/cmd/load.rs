//! `eelgrassvalve load`: an open-loop load test, bounded in rate, duration and requests in flight.

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

use super::{Run, block_on, output, remote};
use crate::client::Client;
use crate::verdict::Verdict;

/// Upper limit of the request rate, per second.
const MAX_RATE_PER_S: u64 = 100_000;
/// Upper limit of the duration of a run, in seconds.
const MAX_DURATION_S: u64 = 600;
/// Upper limit of the number of requests in flight.
const MAX_IN_FLIGHT: u64 = 20_000;
/// Upper limit of the payload length, in bytes.
const MAX_PAYLOAD_BYTES: u64 = 1 << 20;
/// Upper bound of the latency histogram, in microseconds. Longer latencies are recorded as this
/// value.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Sends requests at a constant rate without waiting for earlier answers.
pub(super) struct Load;

/// Result of a run. Latencies cover the requests that ran, each measured from the time at which the
/// request was due.
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

/// Result of one request.
struct Completion {
    /// `None` if no complete answer was received.
    verdict: Option<Verdict>,
    latency: Duration,
}

/// Parameters of a run.
struct Plan {
    client: Client,
    path: String,
    payload: Bytes,
    /// Whether the requests are non-idempotent, so that the entry claims their keys.
    is_claimed: bool,
    rate_per_s: u64,
    request_count: u64,
    max_in_flight: usize,
    deadline_ms: String,
}

fn number_arg(name: &'static str, default: &'static str, max: u64) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .value_parser(value_parser!(u64).range(1..=max))
        .default_value(default)
}

impl Run for Load {
    fn command(&self) -> Command {
        let kind = Arg::new("kind").required(true).help("Kind of the requests");
        let flag = |name: &'static str| Arg::new(name).long(name).action(ArgAction::SetTrue);
        Command::new("load").about("Sends requests at a constant rate and reports latencies").args(
            [
                kind,
                number_arg("rate", "100", MAX_RATE_PER_S).help("Requests per second"),
                number_arg("seconds", "10", MAX_DURATION_S).help("Duration of the run in seconds"),
                number_arg("open", "1000", MAX_IN_FLIGHT)
                    .help("Maximum number of requests in flight; requests above it are skipped"),
                number_arg("bytes", "128", MAX_PAYLOAD_BYTES)
                    .help("Length of each payload in bytes"),
                number_arg("deadline-ms", "10000", 600_000)
                    .help("Deadline of each request in milliseconds"),
                flag("claimed")
                    .help("Send non-idempotent requests, each claimed under a key of its own"),
                flag("direct").help("The address is that of an upstream, not of an entry"),
            ],
        )
    }

    fn run(&self, matches: &ArgMatches) -> super::Result {
        let report = block_on(Plan::new(matches).run());
        output::print(matches, &report)
    }
}

impl Plan {
    fn new(matches: &ArgMatches) -> Self {
        let read_number =
            |name: &str| *matches.get_one::<u64>(name).expect("the argument has a default value");
        let kind = matches.get_one::<String>("kind").expect("the argument is required");
        let folder = if matches.get_flag("direct") { "run" } else { "requests" };
        Self {
            client: remote::caller_client(matches),
            path: format!("/v1/{folder}/{kind}"),
            payload: vec![b'x'; read_number("bytes") as usize].into(),
            is_claimed: matches.get_flag("claimed"),
            rate_per_s: read_number("rate"),
            request_count: read_number("rate") * read_number("seconds"),
            max_in_flight: read_number("open") as usize,
            deadline_ms: read_number("deadline-ms").to_string(),
        }
    }

    async fn run(self) -> Report {
        let (sender, receiver) = mpsc::channel(1_024);
        let collector = tokio::spawn(collect(receiver));
        let started = Instant::now();
        let skipped = Arc::new(self).send_all(started, sender).await;
        let mut report = collector.await.expect("the collector task does not panic");
        let seconds = started.elapsed().as_secs_f64();
        report.skipped = skipped;
        report.answered_a_second = (report.ran as f64 / seconds * 10.0).round() / 10.0;
        report
    }

    // Sends all requests and returns the number skipped because too many were in flight.
    async fn send_all(self: Arc<Self>, started: Instant, completions: Sender<Completion>) -> u64 {
        let permits = Arc::new(Semaphore::new(self.max_in_flight));
        let mut skipped = 0;
        for number in 0..self.request_count {
            let due = started + Duration::from_nanos(number * 1_000_000_000 / self.rate_per_s);
            tokio::time::sleep_until(due).await;
            let Ok(permit) = permits.clone().try_acquire_owned() else {
                skipped += 1;
                continue;
            };
            let (plan, completions) = (self.clone(), completions.clone());
            tokio::spawn(async move {
                let verdict = plan.send().await;
                // Measured from the due time, so that a delayed start counts as latency.
                let latency = due.elapsed();
                let _ = completions.send(Completion { verdict, latency }).await;
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
        let response = self.client.send(Method::POST, &self.path, &headers, self.payload.clone());
        let answer = response.await.ok()?;
        match answer.status.is_success() {
            true => Some(Verdict::Ran),
            false => Some(answer.error().verdict),
        }
    }
}

async fn collect(mut receiver: Receiver<Completion>) -> Report {
    let mut latencies =
        Histogram::<u64>::new_with_max(MAX_LATENCY_US, 3).expect("the histogram bounds are valid");
    let (mut sent, mut ran, mut not_run, mut may_have_run, mut broken) = (0, 0, 0, 0, 0);
    while let Some(Completion { verdict, latency }) = receiver.recv().await {
        sent += 1;
        match verdict {
            Some(Verdict::Ran) => {
                ran += 1;
                latencies.saturating_record(latency.as_micros() as u64);
            }
            Some(Verdict::NotRun) => not_run += 1,
            Some(Verdict::MayHaveRun) => may_have_run += 1,
            None => broken += 1,
        }
    }
    let quantile_ms = |quantile: f64| latencies.value_at_quantile(quantile) as f64 / 1_000.0;
    Report {
        sent,
        skipped: 0,
        ran,
        not_run,
        may_have_run,
        broken,
        answered_a_second: 0.0,
        p50_ms: quantile_ms(0.5),
        p90_ms: quantile_ms(0.9),
        p99_ms: quantile_ms(0.99),
        p999_ms: quantile_ms(0.999),
        max_ms: latencies.max() as f64 / 1_000.0,
    }
}
