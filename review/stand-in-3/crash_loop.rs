//! A job whose tasks last but fail soon after each start, and a gang of another tenant, within its guarantee.

use std::time::{Duration, Instant};

use crate::Outcome;
use crate::config::{Route, SERVICE, Tenant, document};
use crate::record::Record;
use crate::runner::{LASTING, Span};
use crate::scene::Scene;
use crate::system::Call;

const HOST: &str = "nony24.example";
const RUNNERS: usize = 8;
const FAILING_ID: &str = "00000000000000e6";
const GANG_ID: &str = "00000000000000e7";
/// Time from the start of a failing task to its failure.
const UNTIL_FAILURE: Duration = Duration::from_millis(500);
const GANG_RUN: Duration = Duration::from_secs(2);
/// Time for which the tasks fail before the gang is handed in.
const LEAD: Duration = Duration::from_secs(30);
/// Time after the last job was handed in until which a run has to be in progress: `finish_s`, and 3 s.
const ALLOWED: Duration = Duration::from_secs(14 + 3);
const WATCHED: Duration = Duration::from_secs(60);

pub fn run(record: &Record, has_trouble: bool) -> Outcome {
    let route = |name, prefix, priority| Route {
        name,
        host: HOST,
        prefix,
        priority,
        is_anonymous: false,
        service: SERVICE,
    };
    let routes = [route("r-check", "/check/", 0), route("r-match", "/match/", 2)];
    let tenants = [
        Tenant { name: "kaje80", key: "d4a3hwrr6x73d3zji9n7" },
        Tenant { name: "mira81", key: "3hh2b9wu3fexd9dnn2ct" },
    ];
    let Some(mut scene) = Scene::start(record, &document(1, &routes, &tenants)) else {
        return Outcome::CouldNotRun;
    };
    scene.needs.lock().expect("no thread panicked").insert(FAILING_ID.into(), (1_000, 1_000, 0));
    scene.needs.lock().expect("no thread panicked").insert(GANG_ID.into(), (40_000, 10_000, 1));
    scene.add_runners(RUNNERS, GANG_RUN);
    let span = if has_trouble {
        Span { run_for: UNTIL_FAILURE, how: "failed" }
    } else {
        Span { run_for: LASTING, how: "done" }
    };
    scene.spans.lock().expect("no thread panicked").insert(format!("{FAILING_ID}.0.0"), span);
    let submit = |scene: &Scene<'_>, key, path: &str, step: &str| {
        let body = format!("{{\"spec\":\"text\",\"phases\":[{{{step}}}]}}");
        let call = Call { method: "POST", host: HOST, path, key: Some(key), body: &body };
        scene.call("tenant", &call).status == 200
    };
    let step = "\"count\":16,\"cpu\":1000,\"mem_mb\":1000,\"long_running\":true";
    if !submit(&scene, tenants[1].key, &format!("/match/{FAILING_ID}"), step) {
        return Outcome::CouldNotRun;
    }
    std::thread::sleep(LEAD);
    let step = "\"count\":4,\"cpu\":40000,\"mem_mb\":10000,\"gpu\":1,\"estimate_ms\":2000,\"gang\":true";
    let path = format!("/check/{GANG_ID}");
    if !submit(&scene, tenants[0].key, &path, step) {
        return Outcome::CouldNotRun;
    }
    let accepted = Instant::now();
    while accepted.elapsed() < WATCHED && scene.tasks_begun(GANG_ID).is_empty() {
        std::thread::sleep(Duration::from_millis(50));
    }
    let waited = accepted.elapsed();
    let has_begun = !scene.tasks_begun(GANG_ID).is_empty();
    scene.record_starts();
    let call = Call { method: "GET", host: HOST, path: &path, key: Some(tenants[0].key), body: "" };
    let state = scene.state("tenant", &call);
    record.line(&format!(
        "the gang, shown as {state}, waited {:.1} s with nothing running, and was {}; \
         the other job's tasks, of 1 of 64 cores, were begun {} times",
        waited.as_secs_f64(),
        if has_begun { "begun" } else { "not begun" },
        scene.watch.starts.lock().expect("no thread panicked").len()
    ));
    // LOST: from `finish_s` after the end of the traffic on, a job has nothing running for 3 s.
    if waited > ALLOWED { Outcome::Broken } else { Outcome::Held }
}
