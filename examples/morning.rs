//! A morning at Tiffinpath Labs: one embedded member, stand-in upstreams and workers, and the
//! requests and gang jobs of a lunch round.

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
const REQUESTS: usize = 40;
/// Gang jobs of each kind.
const JOBS: usize = 4;
/// Stand-in upstreams and workers.
const UPSTREAMS: usize = 5;
const WORKERS: usize = 16;

struct Row {
    kind: &'static str,
    done: usize,
    asked: usize,
    times: Vec<Duration>,
}

fn main() -> miette::Result<()> {
    tokio::runtime::Runtime::new().into_diagnostic()?.block_on(morning())
}

async fn morning() -> miette::Result<()> {
    let layout = Cluster::new(1, 1);
    layout.write_settings(0, &|peer| peer.mesh());
    let settings = Settings::load(&layout.settings_path(0))?;
    Store::bootstrap(&layout.data_folder(0), &settings.name).into_diagnostic()?;
    let daemon = Daemon::open(settings)?.start().await?;
    tokio::spawn(daemon.run());
    layout.wait_until_ready(0).await;

    let document = tiffinpath()?;
    let headers = [("if-match", "0"), ("eelgrassvalve-request-id", "morning")];
    let operators = layout.operator_client(0);
    let applied: Rollout =
        operators.json(Method::PUT, "/v1/config", &headers, Some(&document)).await?;
    println!("configuration {} {}", applied.version, applied.state);

    let platform = [layout.hosts[0].platform()];
    let kinds = ["dispatch", "match", "menu-check"];
    let mut upstreams = Vec::new();
    for at in 0..UPSTREAMS {
        let id = format!("runner-{at}");
        let work = Duration::from_millis(20);
        upstreams.push(Upstream::start(&id, &kinds, work, &platform).await);
    }
    let mut workers = Vec::new();
    for at in 0..WORKERS {
        let (name, rack) = (format!("worker-{at}"), format!("rack-{}", at / 8));
        workers.push(Worker::start(&name, &rack, "kochi", Behavior::Normal, &platform));
    }
    let callers = layout.caller_client(0);
    let customer = document.customers[0].name.clone();
    let mut rows = Vec::new();
    for kind in kinds {
        rows.push(requests(&callers, &customer, kind).await);
    }
    rows.push(jobs(&callers, &customer, "round-planning", 2).await);
    rows.push(jobs(&callers, &customer, "menu-training", 4).await);
    let all_done = print(&mut rows);
    if all_done { Ok(()) } else { Err(miette!("not everything was done")) }
}

fn tiffinpath() -> miette::Result<Document> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/tiffinpath/config.json");
    let text = std::fs::read_to_string(&path).into_diagnostic().wrap_err("the document")?;
    serde_json::from_str(&text).into_diagnostic()
}

async fn requests(client: &Client, customer: &str, kind: &'static str) -> Row {
    let mut running = tokio::task::JoinSet::new();
    for at in 0..REQUESTS {
        let (client, customer) = (client.clone(), customer.to_string());
        running.spawn(async move {
            let started = Instant::now();
            let key = format!("{kind}-{at}");
            let headers =
                [("idempotency-key", key.as_str()), ("eelgrassvalve-customer", &customer)];
            let path = format!("/v1/requests/{kind}");
            let answer = client.send(Method::POST, &path, &headers, key.clone().into()).await;
            let whole = answer.is_ok_and(|answer| answer.body == format!("{kind}:{key}"));
            whole.then(|| started.elapsed())
        });
    }
    collect(kind, REQUESTS, running).await
}

async fn jobs(client: &Client, customer: &str, kind: &'static str, parts: u32) -> Row {
    let mut running = tokio::task::JoinSet::new();
    for _ in 0..JOBS {
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
            let fetched = client.json(Method::GET, &path, &headers, None::<&()>).await;
            let job: Job = fetched.ok()?;
            (job.phase == Phase::Finished).then(|| started.elapsed())
        });
    }
    collect(kind, JOBS, running).await
}

async fn collect(
    kind: &'static str,
    asked: usize,
    mut running: tokio::task::JoinSet<Option<Duration>>,
) -> Row {
    let mut times = Vec::new();
    while let Some(ended) = running.join_next().await {
        if let Ok(Some(time)) = ended {
            times.push(time);
        }
    }
    Row { kind, done: times.len(), asked, times }
}

fn print(rows: &mut [Row]) -> bool {
    println!("{:<16} {:>9} {:>10} {:>10}", "kind", "done", "median ms", "worst ms");
    let mut all_done = true;
    for row in rows {
        row.times.sort();
        let median = row.times.get(row.times.len() / 2).map_or(0, Duration::as_millis);
        let worst = row.times.last().map_or(0, Duration::as_millis);
        let done = format!("{}/{}", row.done, row.asked);
        println!("{:<16} {done:>9} {median:>10} {worst:>10}", row.kind);
        all_done &= row.done == row.asked;
    }
    all_done
}
