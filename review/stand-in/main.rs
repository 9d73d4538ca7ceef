//! Scripts of the review: `stand-in CASE` starts the system, plays a case and checks one rule.
//!
//! It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
//! `TROUBLE=0` the disruption is left out.

mod bulk_payload;
mod cluster;
mod due_together;
mod http;
mod json;
mod late_failure;
mod moved_queue;
mod record;
mod start_while_lost;
mod worker;

use std::collections::BTreeSet;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use cluster::Cluster;
use record::Record;
use worker::{CAPACITY, Fleet};

/// Longest time that a script may take, less a few seconds.
const MAX_TIME: Duration = Duration::from_secs(115);
/// `finish_s` of the site.
pub const FINISH: Duration = Duration::from_secs(14);
/// Time without a run of a job after which the rule LOST is broken.
const IDLE: Duration = Duration::from_secs(3);

/// Result of a case: whether the rule held, or why the case could not run.
pub type Outcome = Result<bool, String>;

/// Service of the workers.
pub const SERVICE: &str = "huvo11a";
/// Another service, which has workers in some cases only.
pub const OTHER_SERVICE: &str = "rilu47";
/// Key of the first tenant.
pub const KEY: &str = "d4a3hwrr6x73d3zji9n7";
/// Key of the second tenant.
pub const OTHER_KEY: &str = "q8h2b9wu3fexd9dnn2ct";

fn main() -> ExitCode {
    let case = std::env::args().nth(1).unwrap_or_default();
    let record_path = std::env::args().nth(2).unwrap_or_else(|| "record.txt".into());
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(&record_path);
    let watched = record.clone();
    std::thread::spawn(move || {
        std::thread::sleep(MAX_TIME);
        watched.write("the case could not run: it took too long");
        cluster::kill_all();
        std::process::exit(2);
    });
    let outcome = std::panic::catch_unwind(|| match case.as_str() {
        "late-failure" => late_failure::play(&record, has_trouble),
        "due-together" => due_together::play(&record, has_trouble),
        "start-while-lost" => start_while_lost::play(&record, has_trouble),
        "moved-queue" => moved_queue::play(&record, has_trouble),
        "bulk-payload" => bulk_payload::play(&record, has_trouble),
        _ => Err(format!("no case {case}")),
    });
    match outcome {
        Ok(Ok(true)) => {
            record.write("the rule held");
            ExitCode::from(0)
        }
        Ok(Ok(false)) => {
            record.write("THE RULE WAS BROKEN");
            ExitCode::from(1)
        }
        Ok(Err(reason)) => {
            record.write(&format!("the case could not run: {reason}"));
            ExitCode::from(2)
        }
        Err(_) => {
            record.write("the case could not run: the stand-in panicked");
            ExitCode::from(2)
        }
    }
}

/// Starts three members, an entry and workers, and waits until a small job has run.
pub fn deploy(record: &Record, workers: usize) -> Result<(Cluster, Fleet), String> {
    let cluster = Cluster::start(3, 1);
    let mut fleet = Fleet::empty();
    fleet.add(SERVICE, workers, &cluster.member_addresses(), record);
    if !cluster.put_config(&configuration(1, SERVICE)) {
        return Err("the configuration was not acknowledged".into());
    }
    record.write("configuration 1 acknowledged");
    // All workers must be known, and the first leader must have been in office for a while.
    std::thread::sleep(Duration::from_secs(4));
    let id = "00000000000000aa";
    submit(&cluster, record, "/pufi791/", KEY, id, &job("ms=200 cpu=1000 mem=10", 1, 1_000, 10, ""))?;
    wait_for_state(&cluster, "/pufi791/", KEY, id, "completed", Duration::from_secs(10))?;
    record.write("the system serves");
    Ok((cluster, fleet))
}

/// A configuration with three queues, as in the examples of the pages, and two tenants. The second
/// queue is sent to `second`.
pub fn configuration(version: u64, second: &str) -> String {
    let route = |name: &str, prefix: &str, priority: u64, attempts: u64, stretch: &str| {
        let service = if priority == 1 { second } else { SERVICE };
        format!(
            "{{\"name\":\"{name}\",\"host\":\"nony24.example\",\"path_prefix\":\"{prefix}\",\
             \"kind\":\"non_idempotent\",\"timeout_ms\":3000,\"target_latency_ms\":1500,\
             \"priority\":{priority},\"service\":\"{service}\",\"max_attempts\":{attempts},\
             \"stretch\":{stretch},\"anonymous\":false}}"
        )
    };
    let service = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_connections\":64,\
             \"protocol\":\"h1\",\"tls\":false,\"rejects_overload\":true,\"standby\":false}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{},{},{}],\"services\":[{},{}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"kaje80\",\"api_keys\":[\"{KEY}\"],\"priority\":1,\
         \"guaranteed\":{{\"gpu\":8}}}},{{\"name\":\"bovu31\",\"api_keys\":[\"{OTHER_KEY}\"],\
         \"priority\":1,\"guaranteed\":{{\"gpu\":8}}}}]}}",
        route("r-3ajwyy7", "/pule252/", 2, 4, "3.0"),
        route("r-ce7ejsm", "/lohu930/", 1, 2, "3.0"),
        route("r-zzyyjsg", "/pufi791/", 0, 3, "1.5"),
        service(SERVICE),
        service(OTHER_SERVICE),
    )
}

/// A job of one step. `more` holds further fields of the step, each with a comma before it.
pub fn job(payload: &str, count: u64, cpu: u64, mem_mb: u64, more: &str) -> String {
    format!(
        "{{\"spec\":{},\"phases\":[{{\"count\":{count},\"cpu\":{cpu},\"mem_mb\":{mem_mb},\
         \"estimate_ms\":1000{more}}}]}}",
        json::quote(payload)
    )
}

/// Hands in a job, again after each answer that lets it, until it is accepted.
pub fn submit(
    cluster: &Cluster,
    record: &Record,
    prefix: &str,
    key: &str,
    id: &str,
    body: &str,
) -> Result<(), String> {
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(10) {
        let status = cluster.client("POST", &format!("{prefix}{id}"), key, body).status;
        record.write(&format!("POST {prefix}{id} ({} bytes): {status}", body.len()));
        if status == 200 {
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(500));
    }
    Err(format!("job {id} was not accepted"))
}

/// The state of a job, or the status of the answer if it is not 200.
pub fn state(cluster: &Cluster, prefix: &str, key: &str, id: &str) -> String {
    let answer = cluster.client("GET", &format!("{prefix}{id}"), key, "");
    match answer.status {
        200 => answer.json().get("state").text().to_string(),
        status => status.to_string(),
    }
}

pub fn wait_for_state(
    cluster: &Cluster,
    prefix: &str,
    key: &str,
    id: &str,
    wanted: &str,
    within: Duration,
) -> Result<(), String> {
    let start = Instant::now();
    let mut last = String::new();
    while start.elapsed() < within {
        last = state(cluster, prefix, key, id);
        if last == wanted {
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    Err(format!("job {id} is {last}, not {wanted}"))
}

/// A job that was accepted.
pub struct Accepted {
    pub prefix: &'static str,
    pub key: &'static str,
    pub id: &'static str,
    pub tasks: u64,
    /// Demand of a task, in thousandths of a core.
    pub cpu: u64,
}

/// Checks the last sentence of the rule LOST: whether, for 3 s, nothing of the job runs while tasks of
/// it wait that would fit twice over on these workers, of which none runs anything.
pub fn is_lost(cluster: &Cluster, fleet: &Fleet, record: &Record, job: &Accepted, workers: &[String]) -> bool {
    let room = CAPACITY[0] * workers.len() as u64;
    let started = Instant::now();
    let mut idle_since = Instant::now();
    let mut left = 0;
    while started.elapsed() < IDLE * 2 && idle_since.elapsed() < IDLE {
        let history = fleet.history();
        let is_own = |task: &str| task.split('.').next() == Some(job.id);
        let is_running = history.running.values().flatten().any(|(task, _)| is_own(task));
        let ends = history.ended.iter();
        let done = ends.filter(|end| end.how == "done" && is_own(&end.task));
        left = job.tasks - done.map(|end| &end.task).collect::<BTreeSet<_>>().len() as u64;
        let is_idle = workers.iter().all(|worker| {
            history.running.get(worker).is_none_or(BTreeSet::is_empty)
        });
        drop(history);
        if is_running || left == 0 || !is_idle || left * job.cpu * 2 > room {
            idle_since = Instant::now();
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    let shown = state(cluster, job.prefix, job.key, job.id);
    let (prefix, id, tasks) = (job.prefix, job.id, job.tasks);
    record.write(&format!("GET {prefix}{id}: {shown}; {left} of its {tasks} tasks are not done"));
    let is_lost = idle_since.elapsed() >= IDLE;
    if is_lost {
        record.write(&format!("nothing of {id} has run for 3 s; {} workers are idle", workers.len()));
    }
    is_lost
}
