//! A gang that waits for whole runners, and a small job behind it.

use std::time::{Duration, Instant};

use crate::Outcome;
use crate::config::{Route, SERVICE, Tenant, document};
use crate::record::Record;
use crate::scene::Scene;
use crate::system::Call;

const HOST: &str = "nony24.example";
const KEY: Option<&str> = Some("d4a3hwrr6x73d3zji9n7");
const RUNNERS: usize = 8;
const LONG_ID: &str = "00000000000000e3";
const GANG_ID: &str = "00000000000000e4";
const SMALL_ID: &str = "00000000000000e5";
/// Run time of the tasks that are on the runners first.
const LONG_RUN: Duration = Duration::from_secs(60);
/// Time after the last job was handed in until which a run has to be in progress: `finish_s`, and 3 s.
const ALLOWED: Duration = Duration::from_secs(14 + 3);
const WATCHED: Duration = Duration::from_secs(40);

pub fn run(record: &Record, has_trouble: bool) -> Outcome {
    let route = |name, prefix, priority| Route {
        name,
        host: HOST,
        prefix,
        priority,
        is_anonymous: false,
        service: SERVICE,
    };
    let routes = [route("r-plan", "/plan/", 1), route("r-match", "/match/", 2)];
    let tenants = [Tenant { name: "kaje80", key: "d4a3hwrr6x73d3zji9n7" }];
    let Some(mut scene) = Scene::start(record, &document(1, &routes, &tenants)) else {
        return Outcome::CouldNotRun;
    };
    for (id, need) in
        [(LONG_ID, (1_000, 1_000, 0)), (GANG_ID, (64_000, 10_000, 0)), (SMALL_ID, (1_000, 1_000, 0))]
    {
        scene.needs.lock().expect("no thread panicked").insert(id.into(), need);
    }
    scene.add_runners(RUNNERS, LONG_RUN);
    let submit = |scene: &Scene<'_>, prefix: &str, id: &str, step: &str| {
        let path = format!("{prefix}{id}");
        let body = format!("{{\"spec\":\"text\",\"phases\":[{{{step}}}]}}");
        let call = Call { method: "POST", host: HOST, path: &path, key: KEY, body: &body };
        scene.call("tenant", &call).status == 200
    };
    let step = format!(
        "\"count\":{RUNNERS},\"cpu\":1000,\"mem_mb\":1000,\"estimate_ms\":60000,\"anti_affinity\":1"
    );
    if !submit(&scene, "/plan/", LONG_ID, &step) {
        return Outcome::CouldNotRun;
    }
    std::thread::sleep(Duration::from_secs(2));
    if scene.tasks_begun(LONG_ID).len() < RUNNERS {
        return Outcome::CouldNotRun;
    }
    let step =
        format!("\"count\":{RUNNERS},\"cpu\":64000,\"mem_mb\":10000,\"estimate_ms\":10000,\"gang\":true");
    if has_trouble && !submit(&scene, "/plan/", GANG_ID, &step) {
        return Outcome::CouldNotRun;
    }
    std::thread::sleep(Duration::from_secs(2));
    let step = "\"count\":1,\"cpu\":1000,\"mem_mb\":1000,\"estimate_ms\":2000";
    if !submit(&scene, "/match/", SMALL_ID, step) {
        return Outcome::CouldNotRun;
    }
    let accepted = Instant::now();
    while accepted.elapsed() < WATCHED && scene.tasks_begun(SMALL_ID).is_empty() {
        std::thread::sleep(Duration::from_millis(50));
    }
    let waited = accepted.elapsed();
    let has_begun = !scene.tasks_begun(SMALL_ID).is_empty();
    scene.record_starts();
    let path = format!("/match/{SMALL_ID}");
    let state = scene.state("tenant", &Call { method: "GET", host: HOST, path: &path, key: KEY, body: "" });
    record.line(&format!(
        "the job of one core, shown as {state}, waited {:.1} s with nothing running, and was {}; \
         1 of 64 cores of each runner is in use",
        waited.as_secs_f64(),
        if has_begun { "begun" } else { "not begun" }
    ));
    // LOST: from `finish_s` after the end of the traffic on, a job has nothing running for 3 s.
    if waited > ALLOWED { Outcome::Broken } else { Outcome::Held }
}
