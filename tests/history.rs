//! Checks histories of concurrent callers and operators while daemons fail: every request gets a
//! consistent verdict, and the configuration is linearizable.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use eelgrassvalve::client::Client;
use eelgrassvalve::entry::operator::{Config, Rollout};
use eelgrassvalve::error::Code;
use eelgrassvalve::state::document::Document;
use eelgrassvalve::verdict::Verdict;
use http::Method;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use support::cluster::{Cluster, Host};
use support::history::{Content, KeyRecord, Operation, Recorder};
use support::upstream::Upstream;
use support::wait_until;

/// Leases and election timeouts that are shorter than the faults.
const TIMES: &str = "[times]\nheartbeat_ms = 60\nelection_ms = 400\nentry_lease_ms = 800\n\
                     worker_lease_ms = 800\ndrain_ms = 100\n";
/// Time after which an answer that has not arrived counts as lost.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);
/// Lowest mark. A mark identifies a document; it is the deadline of its kind, in milliseconds.
const FIRST_MARK: u64 = 20_000;
const HOSTS: usize = 4;
const CONTROL_HOSTS: usize = 3;
const CALLERS: usize = 4;
const OPERATORS: usize = 2;

/// A fault that is injected and repaired in every round.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Kill,
    KillLeader,
    Freeze,
    FreezeLeader,
    CutOutgoing,
    CutIncoming,
    CutBoth,
    Wipe,
}

struct Context {
    hosts: Vec<Host>,
    finished: AtomicBool,
    recorder: Recorder,
}

impl Context {
    fn is_finished(&self) -> bool {
        self.finished.load(Ordering::Relaxed)
    }

    fn random_host(&self, rng: &mut SmallRng) -> &Host {
        self.hosts.choose(rng).expect("there are hosts")
    }
}

fn document(mark: u64) -> Document {
    serde_json::from_value(serde_json::json!({
        "kinds": [{ "name": "plan", "rank": 0, "deadline_ms": mark }],
        "customers": [{ "name": "anyone" }],
    }))
    .expect("the document is valid")
}

async fn send_request(context: &Context, rng: &mut SmallRng, key: &str, record: &mut KeyRecord) {
    let client = Client::new(context.random_host(rng).callers(), None);
    let headers = [("idempotency-key", key), ("eelgrassvalve-deadline-ms", "2000")];
    let body = Bytes::from(record.payload.clone());
    let sent = client.send(Method::POST, "/v1/requests/plan", &headers, body);
    let Ok(Ok(answer)) = tokio::time::timeout(ANSWER_TIMEOUT, sent).await else {
        record.verdicts.push(None);
        return;
    };
    record.verdicts.push(answer.verdict);
    if answer.status.is_success() {
        record.answers.push(answer.body);
    }
}

async fn run_caller(context: Arc<Context>, number: usize, seed: u64) -> Vec<KeyRecord> {
    const RESENDS: usize = 3;
    let mut rng = SmallRng::seed_from_u64(seed ^ (number as u64) << 32);
    let mut records = Vec::new();
    while !context.is_finished() {
        let key = uuid::Uuid::now_v7().to_string();
        let payload = format!("caller {number} request {}", records.len());
        let mut record = KeyRecord { payload, verdicts: Vec::new(), answers: Vec::new() };
        send_request(&context, &mut rng, &key, &mut record).await;
        for _ in 0..RESENDS {
            // Resends some answered requests and most requests in doubt; a few stay in doubt.
            let is_answered = record.verdicts.last() == Some(&Some(Verdict::Ran));
            if !rng.random_bool(if is_answered { 0.2 } else { 0.7 }) {
                break;
            }
            send_request(&context, &mut rng, &key, &mut record).await;
        }
        records.push(record);
        tokio::time::sleep(Duration::from_millis(rng.random_range(1..20))).await;
    }
    records
}

// Repeats the read after a lost answer, so that every operation in the history has an outcome.
async fn read_config(context: &Context, rng: &mut SmallRng, process: usize) -> u64 {
    context.recorder.record_call(process, Operation::Read(None));
    loop {
        let client = Client::new(context.random_host(rng).operators(), None);
        let sent = client.get::<Config>("/v1/config");
        let Ok(Ok(config)) = tokio::time::timeout(ANSWER_TIMEOUT, sent).await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let mark = config.document.kinds.first().map_or(0, |kind| kind.deadline_ms);
        let content = Content { version: config.version, mark };
        context.recorder.record_response(process, Operation::Read(Some(content)));
        return config.version;
    }
}

async fn replace_config(
    context: &Context,
    rng: &mut SmallRng,
    process: usize,
    expected: u64,
    mark: u64,
) {
    let request_id = format!("operator-{process}-{mark}");
    let version = expected.to_string();
    let headers = [("if-match", &*version), ("eelgrassvalve-request-id", &*request_id)];
    context.recorder.record_call(process, Operation::Replace { expected, mark, new_version: None });
    loop {
        let client = Client::new(context.random_host(rng).operators(), None);
        let new_document = document(mark);
        let sent = client.json::<Rollout>(Method::PUT, "/v1/config", &headers, Some(&new_document));
        let accepted_version = match tokio::time::timeout(ANSWER_TIMEOUT, sent).await {
            Ok(Ok(configured)) => Some(configured.version),
            Ok(Err(error)) if error.code == Code::Conflict => None,
            _ => {
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        context.recorder.record_response(
            process,
            Operation::Replace { expected, mark, new_version: accepted_version },
        );
        return;
    }
}

async fn run_operator(context: Arc<Context>, process: usize, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed ^ (process as u64) << 40);
    let mut mark = FIRST_MARK + 10_000 * process as u64;
    while !context.is_finished() {
        let expected = read_config(&context, &mut rng, process).await;
        mark += 1;
        replace_config(&context, &mut rng, process, expected, mark).await;
        tokio::time::sleep(Duration::from_millis(rng.random_range(1..100))).await;
    }
}

/// Configuration version in force at a daemon, from its metrics; `None` while it has none.
async fn config_version(host: &Host) -> Option<u64> {
    let client = Client::new(host.health(), None);
    let sent = client.send(Method::GET, "/metrics", &[], Bytes::new());
    let answer = tokio::time::timeout(ANSWER_TIMEOUT, sent).await.ok()?.ok()?;
    let text = String::from_utf8(answer.body.to_vec()).ok()?;
    for line in text.lines() {
        if !line.starts_with("eelgrassvalve_config_version") {
            continue;
        }
        let value = line.rsplit(' ').next()?.parse::<f64>().ok()?;
        return (value > 0.0).then_some(value as u64);
    }
    None
}

async fn watch_versions(context: Arc<Context>, host: usize) -> u64 {
    let mut newest = 0;
    while !context.is_finished() {
        if let Some(version) = config_version(&context.hosts[host]).await {
            assert!(version >= newest, "host {host} went from {newest} to {version}");
            newest = version;
        }
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
    newest
}

// Waits until another host reports that this host's lease has expired and that it does not lead.
async fn wait_until_lease_expired(cluster: &Cluster, host: usize) {
    let name = &cluster.hosts[host].name;
    let other = (host + 1) % HOSTS;
    wait_until("an expired lease", || async {
        let response = tokio::time::timeout(ANSWER_TIMEOUT, cluster.status(other)).await;
        let status = response.ok()?.ok()?;
        (status.leader != *name && !status.entries.contains(name)).then_some(())
    })
    .await;
}

// Waits until a cut-off host reports itself unready after its lease expired, and another leads.
async fn wait_until_unready(cluster: &Cluster, host: usize) {
    let name = &cluster.hosts[host].name;
    let other = (host + 1) % HOSTS;
    let health = Client::new(cluster.hosts[host].health(), None);
    wait_until("an unready host", || async {
        let response = health.send(Method::GET, "/readyz", &[], Bytes::new()).await;
        let status =
            tokio::time::timeout(ANSWER_TIMEOUT, cluster.status(other)).await.ok()?.ok()?;
        (!response.ok()?.status.is_success() && status.leader != *name).then_some(())
    })
    .await;
}

async fn run_round(cluster: &mut Cluster, fault: Fault, rng: &mut SmallRng) {
    let leader = cluster.leader().await;
    let random_host = rng.random_range(0..HOSTS);
    match fault {
        Fault::Kill | Fault::KillLeader => {
            let host = if matches!(fault, Fault::Kill) { random_host } else { leader };
            cluster.kill(host);
            wait_until_lease_expired(cluster, host).await;
            cluster.spawn(host);
            cluster.wait_until_ready(host).await;
        }
        Fault::Freeze | Fault::FreezeLeader => {
            let host = if matches!(fault, Fault::Freeze) { random_host } else { leader };
            cluster.signal(host, "STOP");
            wait_until_lease_expired(cluster, host).await;
            cluster.signal(host, "CONT");
            cluster.wait_until_ready(host).await;
        }
        Fault::CutOutgoing | Fault::CutIncoming | Fault::CutBoth => {
            let opens_outgoing = matches!(fault, Fault::CutIncoming);
            let opens_incoming = matches!(fault, Fault::CutOutgoing);
            // Cutting off the leader is the hardest case, so half of the rounds choose it on purpose.
            let host = if rng.random_bool(0.5) { leader } else { random_host };
            cluster.set_links(host, opens_outgoing, opens_incoming);
            wait_until_unready(cluster, host).await;
            cluster.set_links(host, true, true);
            cluster.wait_until_ready(host).await;
        }
        Fault::Wipe => {
            let host = rng.random_range(0..CONTROL_HOSTS);
            cluster.kill(host);
            wait_until_lease_expired(cluster, host).await;
            std::fs::remove_dir_all(cluster.data_folder(host))
                .expect("the data folder is removable");
            cluster.spawn(host);
            cluster.replace_member(host).await;
            cluster.wait_until_ready(host).await;
        }
    }
}

#[rstest]
#[case::kill(Fault::Kill, 1)]
#[case::kill_leader(Fault::KillLeader, 2)]
#[case::freeze(Fault::Freeze, 3)]
#[case::freeze_leader(Fault::FreezeLeader, 4)]
#[case::cut_outgoing(Fault::CutOutgoing, 5)]
#[case::cut_incoming(Fault::CutIncoming, 6)]
#[case::cut_both(Fault::CutBoth, 7)]
#[case::wipe(Fault::Wipe, 8)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn history_is_consistent_under_fault(#[case] fault: Fault, #[case] seed: u64) {
    const ROUNDS: usize = 5;
    // EELGRASSVALVE_SEED gives other schedules than the fixed ones of CI.
    let offset = std::env::var("EELGRASSVALVE_SEED").ok().and_then(|text| text.parse().ok());
    let seed = seed + offset.unwrap_or(0);
    let mut cluster = Cluster::new(HOSTS, CONTROL_HOSTS);
    cluster.extra_settings = TIMES.into();
    cluster.relay_links().await;
    cluster.boot().await;
    let hosts = cluster.hosts.clone();
    let platform_addresses: Vec<_> = hosts.iter().map(|host| host.platform()).collect();
    let run_time = Duration::from_millis(10);
    let upstreams = [
        Upstream::start("runner-1", &["plan"], run_time, &platform_addresses).await,
        Upstream::start("runner-2", &["plan"], run_time, &platform_addresses[1..]).await,
    ];
    let context = Arc::new(Context {
        hosts,
        finished: AtomicBool::new(false),
        recorder: Recorder::default(),
    });
    let mut rng = SmallRng::seed_from_u64(seed);
    replace_config(&context, &mut rng, OPERATORS, 0, FIRST_MARK).await;

    let mut callers = Vec::new();
    for number in 0..CALLERS {
        callers.push(tokio::spawn(run_caller(context.clone(), number, seed)));
    }
    let mut operators = Vec::new();
    for process in 0..OPERATORS {
        operators.push(tokio::spawn(run_operator(context.clone(), process, seed)));
    }
    let mut watchers = Vec::new();
    for host in 0..HOSTS {
        watchers.push(tokio::spawn(watch_versions(context.clone(), host)));
    }
    for _ in 0..ROUNDS {
        run_round(&mut cluster, fault, &mut rng).await;
    }
    context.finished.store(true, Ordering::Relaxed);

    let mut records = Vec::new();
    for task in callers {
        records.extend(task.await.expect("a caller ends"));
    }
    for task in operators {
        task.await.expect("an operator ends");
    }
    for task in watchers {
        assert!(task.await.expect("versions only go up") > 0);
    }
    let mut run_counts: BTreeMap<Bytes, usize> = BTreeMap::new();
    for upstream in &upstreams {
        for execution in upstream.executions() {
            *run_counts.entry(execution.payload).or_default() += 1;
        }
    }
    let (mut ran, mut not_run, mut in_doubt) = (0, 0, 0);
    for record in &records {
        record.check(&run_counts);
        for verdict in &record.verdicts {
            match verdict {
                Some(Verdict::Ran) => ran += 1,
                Some(Verdict::NotRun) => not_run += 1,
                _ => in_doubt += 1,
            }
        }
    }
    let keys = records.len();
    assert!(ran > 0, "no request ran");
    let context = Arc::into_inner(context).expect("all tasks ended");
    let (linearizable, operations) = context.recorder.check();
    println!(
        "{fault:?}, seed {seed}: {keys} keys, {ran} ran, {not_run} not_run, {in_doubt} in doubt, \
         {operations} configuration operations"
    );
    assert!(linearizable, "the configuration is not linearizable, seed {seed}");
}
