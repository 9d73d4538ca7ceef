//! End-to-end run of the Tiffinpath example: one embedded daemon with simulated upstreams and
//! workers serves requests and gang jobs of several kinds. Fails if any of them does not complete.

#[path = "../tests/support/mod.rs"]
mod support;

use std::path::Path;
use std::time::{Duration, Instant};

use eelgrassvalve::client::Client;
use eelgrassvalve::daemon::Daemon;
use eelgrassvalve::entry::operator::Rollout;
use eelgrassvalve::replica::store::Store;
use eelgrassvalve::settings::Settings;
use eelgrassvalve::state::document::Document;
use eelgrassvalve::state::job::{Job, Phase};
use http::Method;
use miette::{IntoDiagnostic, WrapErr, miette};
use support::cluster::Cluster;
use support::upstream::Upstream;
use support::worker::{Behavior, Worker};

/// Requests of each kind.
const REQUESTS_PER_KIND: usize = 40;
/// Gang jobs of each kind.
const JOBS_PER_KIND: usize = 4;
/// Simulated upstreams.
const UPSTREAMS: usize = 5;
/// Simulated workers.
const WORKERS: usize = 16;

/// Result for one kind; `times` are those of the completed requests or jobs.
struct Summary {
    kind: &'static str,
    completed: usize,
    total: usize,
    times: Vec<Duration>,
}

fn main() -> miette::Result<()> {
    tokio::runtime::Runtime::new().into_diagnostic()?.block_on(run())
}

async fn run() -> miette::Result<()> {
    let cluster = Cluster::new(1, 1);
    cluster.write_settings(0, &|peer| peer.mesh());
    let settings = Settings::load(&cluster.settings_path(0))?;
    Store::bootstrap(&cluster.data_folder(0), &settings.name).into_diagnostic()?;
    let daemon = Daemon::open(settings)?.start().await?;
    tokio::spawn(daemon.run());
    cluster.wait_until_ready(0).await;

    let document = read_document()?;
    let headers = [("if-match", "0"), ("eelgrassvalve-request-id", "morning")];
    let operators = cluster.operator_client(0);
    let applied: Rollout =
        operators.json(Method::PUT, "/v1/config", &headers, Some(&document)).await?;
    println!("configuration {} {}", applied.version, applied.state);

    let entries = [cluster.hosts[0].platform()];
    let kinds = ["dispatch", "match", "menu-check"];
    let mut upstreams = Vec::new();
    for index in 0..UPSTREAMS {
        let id = format!("runner-{index}");
        let work_time = Duration::from_millis(20);
        upstreams.push(Upstream::start(&id, &kinds, work_time, &entries).await);
    }
    let mut workers = Vec::new();
    for index in 0..WORKERS {
        let (name, rack) = (format!("worker-{index}"), format!("rack-{}", index / 8));
        workers.push(Worker::start(&name, &rack, "kochi", Behavior::Normal, &entries));
    }
    let callers = cluster.caller_client(0);
    let customer = document.customers[0].name.clone();
    let mut summaries = Vec::new();
    for kind in kinds {
        summaries.push(run_requests(&callers, &customer, kind).await);
    }
    summaries.push(run_jobs(&callers, &customer, "round-planning", 2).await);
    summaries.push(run_jobs(&callers, &customer, "menu-training", 4).await);
    let all_completed = print(&mut summaries);
    if all_completed { Ok(()) } else { Err(miette!("some requests or jobs did not complete")) }
}

fn read_document() -> miette::Result<Document> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/tiffinpath/config.json");
    let text = std::fs::read_to_string(&path)
        .into_diagnostic()
        .wrap_err("cannot read the configuration document")?;
    serde_json::from_str(&text).into_diagnostic()
}

async fn run_requests(client: &Client, customer: &str, kind: &'static str) -> Summary {
    let mut running = tokio::task::JoinSet::new();
    for index in 0..REQUESTS_PER_KIND {
        let (client, customer) = (client.clone(), customer.to_string());
        running.spawn(async move {
            let started = Instant::now();
            let key = format!("{kind}-{index}");
            let headers =
                [("idempotency-key", key.as_str()), ("eelgrassvalve-customer", &customer)];
            let path = format!("/v1/requests/{kind}");
            let answer = client.send(Method::POST, &path, &headers, key.clone().into()).await;
            let is_correct = answer.is_ok_and(|answer| answer.body == format!("{kind}:{key}"));
            is_correct.then(|| started.elapsed())
        });
    }
    collect(kind, REQUESTS_PER_KIND, running).await
}

async fn run_jobs(client: &Client, customer: &str, kind: &'static str, parts: u32) -> Summary {
    let mut running = tokio::task::JoinSet::new();
    for _ in 0..JOBS_PER_KIND {
        let (client, customer) = (client.clone(), customer.to_string());
        running.spawn(async move {
            let started = Instant::now();
            let headers = [("eelgrassvalve-customer", customer.as_str())];
            let spec = serde_json::json!({
                "kind": kind, "parts": parts, "accelerators": 8, "run_ms": 300, "payload": "300",
            });
            let job: Job =
                client.json(Method::POST, "/v1/jobs", &headers, Some(&spec)).await.ok()?;
            let path = format!("/v1/jobs/{}?wait_ms=20000", job.id);
            let response = client.json(Method::GET, &path, &headers, None::<&()>).await;
            let job: Job = response.ok()?;
            (job.phase == Phase::Finished).then(|| started.elapsed())
        });
    }
    collect(kind, JOBS_PER_KIND, running).await
}

async fn collect(
    kind: &'static str,
    total: usize,
    mut running: tokio::task::JoinSet<Option<Duration>>,
) -> Summary {
    let mut times = Vec::new();
    while let Some(ended) = running.join_next().await {
        if let Ok(Some(time)) = ended {
            times.push(time);
        }
    }
    Summary { kind, completed: times.len(), total, times }
}

fn print(summaries: &mut [Summary]) -> bool {
    println!("{:<16} {:>9} {:>10} {:>10}", "kind", "done", "median ms", "worst ms");
    let mut all_completed = true;
    for summary in summaries {
        summary.times.sort();
        let median = summary.times.get(summary.times.len() / 2).map_or(0, Duration::as_millis);
        let worst = summary.times.last().map_or(0, Duration::as_millis);
        let completed = format!("{}/{}", summary.completed, summary.total);
        println!("{:<16} {completed:>9} {median:>10} {worst:>10}", summary.kind);
        all_completed &= summary.completed == summary.total;
    }
    all_completed
}
