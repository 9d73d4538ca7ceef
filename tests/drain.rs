//! Planned stops under load: nothing in flight is cut, no verdict is false, each daemon exits
//! with 0.

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

/// Requests under way at any time.
const CALLERS: usize = 24;
/// Longest wait for a daemon's exit, and so for its drain.
const EXIT: Duration = Duration::from_secs(100);

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

/// What callers saw.
#[derive(Debug, Default)]
struct Seen {
    ran: Vec<String>,
    not_run: Vec<String>,
    faults: Vec<String>,
}

/// Callers behind a balancer that asks each entry whether it is ready.
struct Load {
    stop: Arc<AtomicBool>,
    callers: JoinSet<Seen>,
    balancer: tokio::task::JoinHandle<()>,
}

impl Load {
    fn start(hosts: &[Host]) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let ready: Arc<Vec<AtomicBool>> =
            Arc::new(hosts.iter().map(|_| AtomicBool::new(true)).collect());
        let balancer = tokio::spawn(balance(hosts.to_vec(), ready.clone()));
        let mut callers = JoinSet::new();
        for caller in 0..CALLERS {
            callers.spawn(call(caller, hosts.to_vec(), ready.clone(), stop.clone()));
        }
        Self { stop, callers, balancer }
    }

    async fn end(mut self) -> Seen {
        self.stop.store(true, Ordering::SeqCst);
        let mut all = Seen::default();
        while let Some(ended) = self.callers.join_next().await {
            let seen = ended.expect("no caller panics");
            all.ran.extend(seen.ran);
            all.not_run.extend(seen.not_run);
            all.faults.extend(seen.faults);
        }
        self.balancer.abort();
        all
    }
}

async fn balance(hosts: Vec<Host>, ready: Arc<Vec<AtomicBool>>) {
    loop {
        for (at, host) in hosts.iter().enumerate() {
            // A connection of its own for each check: the last one may be to a stopped daemon.
            let client = Client::new(host.health(), None);
            let answer = client.send(Method::GET, "/readyz", &[], Bytes::new()).await;
            let is_ready = answer.is_ok_and(|answer| answer.status.is_success());
            ready[at].store(is_ready, Ordering::SeqCst);
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

async fn call(
    caller: usize,
    hosts: Vec<Host>,
    ready: Arc<Vec<AtomicBool>>,
    stop: Arc<AtomicBool>,
) -> Seen {
    let mut seen = Seen::default();
    for number in 0_usize.. {
        if stop.load(Ordering::SeqCst) {
            break;
        }
        let at = (caller + number) % hosts.len();
        if !ready[at].load(Ordering::SeqCst) {
            tokio::time::sleep(Duration::from_millis(2)).await;
            continue;
        }
        let payload = format!("caller {caller} request {number}");
        let headers = [("idempotency-key", payload.as_str())];
        let client = Client::new(hosts[at].callers(), None);
        let path = "/v1/requests/plan";
        let sent = client.send(Method::POST, path, &headers, payload.clone().into()).await;
        match sent {
            Ok(answer) if answer.status.is_success() => {
                assert_eq!(answer.body, format!("plan:{payload}"));
                seen.ran.push(payload);
            }
            Ok(answer) if answer.error().verdict == Verdict::NotRun => seen.not_run.push(payload),
            Ok(answer) => seen.faults.push(format!("{payload}: {}", answer.error())),
            Err(error) => seen.faults.push(format!("{payload}: {error}")),
        }
    }
    seen
}

async fn start(entries: usize, controls: usize) -> (Cluster, Vec<Upstream>) {
    let cluster = Cluster::start(entries, controls).await;
    cluster.apply(0, &document()).await.expect("the document is accepted");
    let platform: Vec<_> = cluster.hosts.iter().map(|host| host.platform()).collect();
    let mut upstreams = Vec::new();
    for at in 0..6 {
        let id = format!("runner-{at}");
        let work = Duration::from_millis(30);
        upstreams.push(Upstream::start(&id, &["plan"], work, &platform).await);
    }
    wait_until("upstreams at each entry", || async {
        for at in 0..entries {
            let rows =
                cluster.operator_client(at).get::<serde_json::Value>("/v1/upstreams").await.ok()?;
            (rows.as_array()?.len() == upstreams.len()).then_some(())?;
        }
        Some(())
    })
    .await;
    (cluster, upstreams)
}

/// Stops a daemon and waits for its own end.
async fn stop(cluster: &mut Cluster, at: usize) {
    cluster.signal(at, "TERM");
    let ended = tokio::time::timeout(EXIT, cluster.wait_for_exit(at)).await;
    assert_eq!(ended, Ok(Some(0)), "host-{} did not exit with 0", at + 1);
}

fn check(seen: &Seen, upstreams: &[Upstream]) {
    println!("{} ran, {} not run", seen.ran.len(), seen.not_run.len());
    assert!(seen.faults.is_empty(), "{} faults, as {:?}", seen.faults.len(), seen.faults.first());
    assert!(seen.ran.len() > 100, "only {} ran", seen.ran.len());
    let count = |payload: &str| upstreams.iter().map(|u| u.count(payload)).sum::<usize>();
    for payload in &seen.ran {
        assert_eq!(count(payload), 1, "{payload}");
    }
    for payload in &seen.not_run {
        assert_eq!(count(payload), 0, "{payload}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn each_daemon_in_turn_stops_under_load_and_nothing_is_cut() {
    let (mut cluster, upstreams) = start(3, 3).await;
    let load = Load::start(&cluster.hosts);
    for at in 0..3 {
        let before = cluster.leader().await;
        stop(&mut cluster, at).await;
        if before == at {
            let after = wait_until("another leader", || async {
                let status = cluster.status((at + 1) % 3).await.ok()?;
                cluster.hosts.iter().position(|host| host.name == status.leader)
            })
            .await;
            assert_ne!(after, at);
        }
        cluster.spawn(at);
        cluster.wait_until_ready(at).await;
    }
    check(&load.end().await, &upstreams);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_restart_of_all_six_under_load_cuts_nothing() {
    let (mut cluster, upstreams) = start(6, 5).await;
    let load = Load::start(&cluster.hosts);
    for at in 0..6 {
        stop(&mut cluster, at).await;
        cluster.spawn(at);
        cluster.wait_until_ready(at).await;
    }
    check(&load.end().await, &upstreams);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_of_over_30_s_outlasts_the_drain_and_new_work_is_refused_meanwhile() {
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
    wait_until("the request at the upstream", || async {
        (upstream.count("long") == 1).then_some(())
    })
    .await;
    let mut cluster = cluster;
    cluster.signal(0, "TERM");
    let sent = std::sync::atomic::AtomicU64::new(0);
    // Requests that come before the wait for the balancer is over may still run.
    let (payload, refused) = wait_until("new work refused", || async {
        let payload = format!("new {}", sent.fetch_add(1, Ordering::SeqCst));
        let text = raw(&cluster.hosts[0], &payload).await?;
        text.contains("stopping").then_some((payload, text))
    })
    .await;
    assert!(refused.contains("eelgrassvalve-verdict: not_run"), "{refused}");
    assert!(refused.contains("connection: close"), "{refused}");
    assert!(refused.contains(&Code::Stopping.to_string()), "{refused}");
    let answer = long.await.expect("no panic").expect("an answer that is not cut");
    assert_eq!((answer.status.as_u16(), answer.body), (200, "long:long".into()));
    let ended = tokio::time::timeout(EXIT, cluster.wait_for_exit(0)).await;
    assert_eq!(ended, Ok(Some(0)));
    assert_eq!((upstream.count("long"), upstream.count(&payload)), (1, 0));
}

/// One request on a connection of its own; the answer as it came, until the other end closes.
async fn raw(host: &Host, payload: &str) -> Option<String> {
    let mut stream = tokio::net::TcpStream::connect(host.callers()).await.ok()?;
    let length = payload.len();
    let request = format!(
        "POST /v1/requests/long HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\
         idempotency-key: {payload}\r\neelgrassvalve-deadline-ms: 50\r\n\r\n{payload}"
    );
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut bytes = Vec::new();
    let read = stream.read_to_end(&mut bytes);
    // Before the drain the answer leaves the connection open.
    let _ = tokio::time::timeout(Duration::from_secs(2), read).await;
    Some(String::from_utf8_lossy(&bytes).to_lowercase())
}
