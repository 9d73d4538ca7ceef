//! A job of a queue with keys, and a client of an anonymous queue that numbers its jobs alike.

use std::time::Duration;

use crate::Outcome;
use crate::config::{Job, Route, SERVICE, Tenant, document};
use crate::record::Record;
use crate::scene::Scene;
use crate::system::Call;

const HOST: &str = "nony24.example";
const ID: &str = "0000000000000007";
const OTHER_ID: &str = "00000000000000f7";

pub fn run(record: &Record, has_trouble: bool) -> Outcome {
    let routes = [
        Route { name: "r-plan", host: HOST, prefix: "/plan/", priority: 1, is_anonymous: false, service: SERVICE },
        Route { name: "r-open", host: HOST, prefix: "/open/", priority: 2, is_anonymous: true, service: SERVICE },
    ];
    let tenants = [Tenant { name: "kaje80", key: "d4a3hwrr6x73d3zji9n7" }];
    let Some(mut scene) = Scene::start(record, &document(1, &routes, &tenants)) else {
        return Outcome::CouldNotRun;
    };
    scene.add_runners(4, Duration::from_secs(6));
    let body = Job { spec: "plan", count: 2, cpu: 2_000, mem_mb: 512, estimate_ms: 6_000 }.body();
    let path = format!("/plan/{ID}");
    let key = Some("d4a3hwrr6x73d3zji9n7");
    let own = Call { method: "POST", host: HOST, path: &path, key, body: &body };
    if scene.call("tenant", &own).status != 200 {
        return Outcome::CouldNotRun;
    }
    std::thread::sleep(Duration::from_secs(1));
    // The other client has no key and knows nothing of the tenant's job.
    let other_id = if has_trouble { ID } else { OTHER_ID };
    let body = Job { spec: "open", count: 3, cpu: 1_000, mem_mb: 256, estimate_ms: 6_000 }.body();
    let path = format!("/open/{other_id}");
    let other = Call { method: "POST", host: HOST, path: &path, key: None, body: &body };
    let accepted = scene.call("anonymous", &other).status == 200;
    std::thread::sleep(Duration::from_millis(500));
    let shown = scene.state("anonymous", &other);
    let cancelled = scene.call("anonymous", &Call { method: "DELETE", body: "", ..other }).status;
    std::thread::sleep(Duration::from_millis(500));
    let state = scene.state("tenant", &own);
    std::thread::sleep(Duration::from_secs(8));
    let last_state = scene.state("tenant", &own);
    scene.record_starts();
    record.line(&format!(
        "the tenant's job, which it has not cancelled, is shown as {state}, then as {last_state}"
    ));
    record.line(&format!(
        "the anonymous client's job: accepted {accepted}, shown as {shown}, its cancelling answered {cancelled}"
    ));
    // LOST: shown as cancelled without cause.
    let is_lost = matches!(state.as_str(), "cancelled" | "failed" | "410")
        || matches!(last_state.as_str(), "cancelled" | "failed" | "410");
    if is_lost { Outcome::Broken } else { Outcome::Held }
}
