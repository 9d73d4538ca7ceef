//! Planned stops under load: requests in flight complete, verdicts are accurate, and each daemon
//! exits with 0.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use eelgrassvalve::client::Client;
use eelgrassvalve::error::Code;
use eelgrassvalve::state::document::Document;
use eelgrassvalve::verdict::Verdict;
use http::Method;
use support::cluster::{Cluster, Host};
use support::upstream::Upstream;
use support::wait_until;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::JoinSet;

/// Concurrent callers, each with one request in flight.
const CALLERS: usize = 24;
/// Longest wait for a daemon to drain and exit.
const EXIT_TIMEOUT: Duration = Duration::from_secs(100);

fn document() -> Document {
    serde_json::from_value(serde_json::json!({
        "kinds": [
            { "name": "plan", "rank": 0, "deadline_ms": 60_000 },
            { "name": "long", "rank": 0, "deadline_ms": 80_000 },
        ],
        "customers": [{ "name": "anyone" }],
    }))
    .expect("the document is valid")
}

/// Results of requests, by payload.
#[derive(Debug, Default)]
struct Results {
    ran: Vec<String>,
    not_run: Vec<String>,
    errors: Vec<String>,
}

/// Callers behind a load balancer that checks the readiness of each entry.
struct Load {
    stop: Arc<AtomicBool>,
    callers: JoinSet<Results>,
    balancer: tokio::task::JoinHandle<()>,
}

impl Load {
    fn start(hosts: &[Host]) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let ready: Arc<Vec<AtomicBool>> =
            Arc::new(hosts.iter().map(|_| AtomicBool::new(true)).collect());
        let balancer = tokio::spawn(check_readiness(hosts.to_vec(), ready.clone()));
        let mut callers = JoinSet::new();
        for caller in 0..CALLERS {
            callers.spawn(send_requests(caller, hosts.to_vec(), ready.clone(), stop.clone()));
        }
        Self { stop, callers, balancer }
    }

    async fn end(mut self) -> Results {
        self.stop.store(true, Ordering::SeqCst);
        let mut total = Results::default();
        while let Some(joined) = self.callers.join_next().await {
            let results = joined.expect("no caller panics");
            total.ran.extend(results.ran);
            total.not_run.extend(results.not_run);
            total.errors.extend(results.errors);
        }
        self.balancer.abort();
        total
    }
}

async fn check_readiness(hosts: Vec<Host>, ready: Arc<Vec<AtomicBool>>) {
    loop {
        for (index, host) in hosts.iter().enumerate() {
            // Each check opens a new connection: an earlier one may be to a stopped daemon.
            let client = Client::new(host.health(), None);
            let answer = client.send(Method::GET, "/readyz", &[], Bytes::new()).await;
            let is_ready = answer.is_ok_and(|answer| answer.status.is_success());
            ready[index].store(is_ready, Ordering::SeqCst);
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

async fn send_requests(
    caller: usize,
    hosts: Vec<Host>,
    ready: Arc<Vec<AtomicBool>>,
    stop: Arc<AtomicBool>,
) -> Results {
    let mut results = Results::default();
    for number in 0_usize.. {
        if stop.load(Ordering::SeqCst) {
            break;
        }
        let index = (caller + number) % hosts.len();
        if !ready[index].load(Ordering::SeqCst) {
            tokio::time::sleep(Duration::from_millis(2)).await;
            continue;
        }
        let payload = format!("caller {caller} request {number}");
        let headers = [("idempotency-key", payload.as_str())];
        let client = Client::new(hosts[index].callers(), None);
        let path = "/v1/requests/plan";
        let result = client.send(Method::POST, path, &headers, payload.clone().into()).await;
        match result {
            Ok(answer) if answer.status.is_success() => {
                assert_eq!(answer.body, format!("plan:{payload}"));
                results.ran.push(payload);
            }
            Ok(answer) if answer.error().verdict == Verdict::NotRun => {
                results.not_run.push(payload)
            }
            Ok(answer) => results.errors.push(format!("{payload}: {}", answer.error())),
            Err(error) => results.errors.push(format!("{payload}: {error}")),
        }
    }
    results
}

async fn start(entries: usize, controls: usize) -> (Cluster, Vec<Upstream>) {
    let cluster = Cluster::start(entries, controls).await;
    cluster.apply(0, &document()).await.expect("the document is accepted");
    let platform: Vec<_> = cluster.hosts.iter().map(|host| host.platform()).collect();
    let mut upstreams = Vec::new();
    for index in 0..6 {
        let id = format!("runner-{index}");
        let work = Duration::from_millis(30);
        upstreams.push(Upstream::start(&id, &["plan"], work, &platform).await);
    }
    wait_until("each entry to know the upstreams", || async {
        for index in 0..entries {
            let rows = cluster
                .operator_client(index)
                .get::<serde_json::Value>("/v1/upstreams")
                .await
                .ok()?;
            (rows.as_array()?.len() == upstreams.len()).then_some(())?;
        }
        Some(())
    })
    .await;
    (cluster, upstreams)
}

/// Sends a daemon SIGTERM and waits for it to exit.
async fn stop(cluster: &mut Cluster, index: usize) {
    cluster.signal(index, "TERM");
    let exit = tokio::time::timeout(EXIT_TIMEOUT, cluster.wait_for_exit(index)).await;
    assert_eq!(exit, Ok(Some(0)), "host-{} did not exit with 0 in time", index + 1);
}

fn check_results(results: &Results, upstreams: &[Upstream]) {
    println!("{} ran, {} reported not_run", results.ran.len(), results.not_run.len());
    assert!(
        results.errors.is_empty(),
        "{} errors, the first is {:?}",
        results.errors.len(),
        results.errors.first()
    );
    assert!(results.ran.len() > 100, "only {} requests ran", results.ran.len());
    let count =
        |payload: &str| upstreams.iter().map(|upstream| upstream.count(payload)).sum::<usize>();
    for payload in &results.ran {
        assert_eq!(count(payload), 1, "{payload}");
    }
    for payload in &results.not_run {
        assert_eq!(count(payload), 0, "{payload}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn stopping_each_daemon_in_turn_under_load_interrupts_no_request() {
    let (mut cluster, upstreams) = start(3, 3).await;
    let load = Load::start(&cluster.hosts);
    for index in 0..3 {
        let leader_before = cluster.leader().await;
        stop(&mut cluster, index).await;
        if leader_before == index {
            let leader = wait_until("a new leader", || async {
                let status = cluster.status((index + 1) % 3).await.ok()?;
                cluster.hosts.iter().position(|host| host.name == status.leader)
            })
            .await;
            assert_ne!(leader, index);
        }
        cluster.spawn(index);
        cluster.wait_until_ready(index).await;
    }
    check_results(&load.end().await, &upstreams);
}

#[tokio::test(flavor = "multi_thread")]
async fn rolling_restart_of_six_daemons_under_load_interrupts_no_request() {
    let (mut cluster, upstreams) = start(6, 5).await;
    let load = Load::start(&cluster.hosts);
    for index in 0..6 {
        stop(&mut cluster, index).await;
        cluster.spawn(index);
        cluster.wait_until_ready(index).await;
    }
    check_results(&load.end().await, &upstreams);
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_completes_a_request_of_over_30_s_and_refuses_new_requests() {
    let cluster = Cluster::start(1, 1).await;
    cluster.apply(0, &document()).await.expect("the document is accepted");
    let platform = [cluster.hosts[0].platform()];
    let work = Duration::from_secs(34);
    let upstream = Upstream::start("runner-1", &["long"], work, &platform).await;
    let client = cluster.caller_client(0);
    let long = tokio::spawn(async move {
        let headers = [("idempotency-key", "the long one")];
        client.send(Method::POST, "/v1/requests/long", &headers, "long".into()).await
    });
    wait_until("the request to reach the upstream", || async {
        (upstream.count("long") == 1).then_some(())
    })
    .await;
    let mut cluster = cluster;
    cluster.signal(0, "TERM");
    let next_number = std::sync::atomic::AtomicU64::new(0);
    // Requests that arrive while the daemon waits for load balancers may still run.
    let (payload, refused) = wait_until("a new request to be refused", || async {
        let payload = format!("new {}", next_number.fetch_add(1, Ordering::SeqCst));
        let text = send_raw(&cluster.hosts[0], &payload).await?;
        text.contains("stopping").then_some((payload, text))
    })
    .await;
    assert!(refused.contains("eelgrassvalve-verdict: not_run"), "{refused}");
    assert!(refused.contains("connection: close"), "{refused}");
    assert!(refused.contains(&Code::Stopping.to_string()), "{refused}");
    let answer = long.await.expect("no panic").expect("a complete answer");
    assert_eq!((answer.status.as_u16(), answer.body), (200, "long:long".into()));
    let exit = tokio::time::timeout(EXIT_TIMEOUT, cluster.wait_for_exit(0)).await;
    assert_eq!(exit, Ok(Some(0)));
    assert_eq!((upstream.count("long"), upstream.count(&payload)), (1, 0));
}

/// Sends one request on a new connection; returns what is received until the connection closes, in
/// lower case.
async fn send_raw(host: &Host, payload: &str) -> Option<String> {
    let mut stream = tokio::net::TcpStream::connect(host.callers()).await.ok()?;
    let length = payload.len();
    let request = format!(
        "POST /v1/requests/long HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\
         idempotency-key: {payload}\r\neelgrassvalve-deadline-ms: 50\r\n\r\n{payload}"
    );
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut bytes = Vec::new();
    let read = stream.read_to_end(&mut bytes);
    // Before the drain, the daemon keeps the connection open after the answer.
    let _ = tokio::time::timeout(Duration::from_secs(2), read).await;
    Some(String::from_utf8_lossy(&bytes).to_lowercase())
}
