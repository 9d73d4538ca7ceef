//! A job that fits on no runner for now, and one of the same shape that fills.

use std::time::{Duration, Instant};

use crate::Outcome;
use crate::config::{Route, SERVICE, Tenant, document};
use crate::record::Record;
use crate::runner::{LASTING, Span};
use crate::scene::Scene;
use crate::system::Call;

const HOST: &str = "nony24.example";
const KEY: Option<&str> = Some("d4a3hwrr6x73d3zji9n7");
const RUNNERS: usize = 4;
/// Of 64 cores: the serving tasks take less than half, and leave no room for a whole task of the shape.
const SERVING: &str = "\"cpu\":31000,\"mem_mb\":8000,\"image\":\"web\",\"target_ms\":200";
const SHAPE: &str = "\"cpu\":34000,\"mem_mb\":16000,\"image\":\"batch\"";
const SERVING_ID: &str = "00000000000000e0";
const WAITING_ID: &str = "00000000000000e1";
const FILLING_ID: &str = "00000000000000e2";
const FIRST_STEP: Duration = Duration::from_secs(2);
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
    let routes = [route("r-plan", "/plan/", 1), route("r-match", "/match/", 2)];
    let tenants = [Tenant { name: "kaje80", key: "d4a3hwrr6x73d3zji9n7" }];
    let Some(mut scene) = Scene::start(record, &document(1, &routes, &tenants)) else {
        return Outcome::CouldNotRun;
    };
    let first = Span { run_for: FIRST_STEP, how: "done" };
    scene.spans.lock().expect("no thread panicked").insert(format!("{FILLING_ID}.0.0"), first);
    scene.needs.lock().expect("no thread panicked").insert(SERVING_ID.into(), (31_000, 8_000, 0));
    scene.add_runners(RUNNERS, LASTING);
    let serving = format!(
        "{{\"spec\":\"serve\",\"phases\":[{{\"count\":{RUNNERS},{SERVING},\"long_running\":true,\
         \"may_miss\":1,\"anti_affinity\":1}}]}}"
    );
    let waiting =
        format!("{{\"spec\":\"wait\",\"phases\":[{{\"count\":1,{SHAPE},\"long_running\":true}}]}}");
    let filling = format!(
        "{{\"spec\":\"fill\",\"phases\":[{{\"count\":1,\"cpu\":1000,\"mem_mb\":500,\"estimate_ms\":2000}},\
         {{\"count\":1,{SHAPE},\"after\":[0],\"fills\":true,\"long_running\":true}}]}}"
    );
    let submit = |scene: &Scene<'_>, prefix: &str, id: &str, body: &str| {
        let path = format!("{prefix}{id}");
        let call = Call { method: "POST", host: HOST, path: &path, key: KEY, body };
        scene.call("tenant", &call).status == 200
    };
    if !submit(&scene, "/plan/", SERVING_ID, &serving) {
        return Outcome::CouldNotRun;
    }
    std::thread::sleep(Duration::from_secs(2));
    if scene.tasks_begun(SERVING_ID).len() < RUNNERS {
        return Outcome::CouldNotRun;
    }
    if has_trouble && !submit(&scene, "/plan/", WAITING_ID, &waiting) {
        return Outcome::CouldNotRun;
    }
    std::thread::sleep(Duration::from_secs(2));
    if !submit(&scene, "/match/", FILLING_ID, &filling) {
        return Outcome::CouldNotRun;
    }
    let accepted = Instant::now();
    let first = format!("{FILLING_ID}.0.0.0");
    let second = format!("{FILLING_ID}.0.1.0");
    let until = Instant::now() + WATCHED;
    let (mut due, mut begun) = (None, None);
    while Instant::now() < until && begun.is_none() {
        std::thread::sleep(Duration::from_millis(50));
        let ends = scene.watch.ends.lock().expect("no thread panicked");
        due = ends.iter().find(|end| end.task == first && end.how == "done").map(|end| end.at);
        begun = scene.tasks_begun(FILLING_ID).contains(&second).then(Instant::now);
    }
    scene.record_starts();
    let path = format!("/match/{FILLING_ID}");
    let state = scene.state("tenant", &Call { method: "GET", host: HOST, path: &path, key: KEY, body: "" });
    let Some(due) = due else { return Outcome::CouldNotRun };
    let waited = begun.unwrap_or_else(Instant::now).saturating_duration_since(due);
    record.line(&format!(
        "the job that fills, shown as {state}: its second step waited {:.1} s with nothing running, and was {}; \
         31 of 64 cores and 8,000 of 262,144 MB of each runner are in use",
        waited.as_secs_f64(),
        if begun.is_some() { "begun" } else { "not begun" }
    ));
    // LOST: from `finish_s` after the end of the traffic on, a job has nothing running for 3 s.
    let is_late = begun.unwrap_or_else(Instant::now) > accepted + ALLOWED && due < accepted + ALLOWED / 2;
    if is_late { Outcome::Broken } else { Outcome::Held }
}
