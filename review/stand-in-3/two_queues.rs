//! Two queues of one tenant whose clients number their jobs alike.

use std::time::Duration;

use crate::Outcome;
use crate::config::{Job, Route, SERVICE, Tenant, document};
use crate::record::Record;
use crate::scene::Scene;
use crate::system::Call;

const HOST: &str = "nony24.example";
const ID: &str = "0000000000000001";
const OTHER_ID: &str = "00000000000000f1";
const KEY: Option<&str> = Some("d4a3hwrr6x73d3zji9n7");

pub fn run(record: &Record, has_trouble: bool) -> Outcome {
    let routes = [
        Route { name: "r-plan", host: HOST, prefix: "/plan/", priority: 1, is_anonymous: false, service: SERVICE },
        Route { name: "r-check", host: HOST, prefix: "/check/", priority: 0, is_anonymous: false, service: SERVICE },
    ];
    let tenants = [Tenant { name: "kaje80", key: "d4a3hwrr6x73d3zji9n7" }];
    let Some(mut scene) = Scene::start(record, &document(1, &routes, &tenants)) else {
        return Outcome::CouldNotRun;
    };
    scene.add_runners(4, Duration::from_secs(1));
    let plan = Job { spec: "plan", count: 2, cpu: 2_000, mem_mb: 512, estimate_ms: 1_000 }.body();
    let path = format!("/plan/{ID}");
    let plan = Call { method: "POST", host: HOST, path: &path, key: KEY, body: &plan };
    if scene.call("planner", &plan).status != 200 {
        return Outcome::CouldNotRun;
    }
    let id = if has_trouble { ID } else { OTHER_ID };
    let check = Job { spec: "check", count: 3, cpu: 1_000, mem_mb: 256, estimate_ms: 1_000 }.body();
    let path = format!("/check/{id}");
    let check = Call { method: "POST", host: HOST, path: &path, key: KEY, body: &check };
    let accepted = scene.call("checker", &check).status == 200;
    // Nothing else runs, so that both jobs, of a second each, are over long before that.
    std::thread::sleep(Duration::from_secs(15));
    let state = scene.state("checker", &check);
    scene.state("planner", &plan);
    scene.record_starts();
    let begun = scene.tasks_begun(id).len();
    let expected = if has_trouble { 5 } else { 3 };
    record.line(&format!(
        "the check of 3 tasks: accepted {accepted}, shown as {state}; of the jobs with its ID, \
         {expected} tasks were accepted and {begun} begun"
    ));
    // LOST: an accepted job never runs. MIXED: it is shown as completed all the same.
    if accepted && begun < expected { Outcome::Broken } else { Outcome::Held }
}
