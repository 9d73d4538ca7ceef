//! Runners that are full of less urgent work, six jobs of one tenant that fit on no runner, and the guarantee of
//! another tenant.

use std::time::{Duration, Instant};

use crate::Outcome;
use crate::config::{Route, SERVICE, Tenant, document};
use crate::record::Record;
use crate::scene::Scene;
use crate::system::Call;

const HOST: &str = "nony24.example";
const RUNNERS: usize = 8;
const HOPELESS: usize = 6;
const URGENT_ID: &str = "00000000000000f2";
const URGENT_TASKS: usize = 4;
/// `reclaim_ms`.
const RECLAIM: Duration = Duration::from_millis(5_900);
const WATCHED: Duration = Duration::from_secs(25);

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
        Tenant { name: "bovu31", key: "8fd2c1m0x7q5t9w4z6hk" },
    ];
    let Some(mut scene) = Scene::start(record, &document(1, &routes, &tenants)) else {
        return Outcome::CouldNotRun;
    };
    scene.add_runners(RUNNERS, Duration::from_secs(300));
    let submit = |scene: &Scene<'_>, tenant: usize, path: &str, step: &str| {
        let body = format!("{{\"spec\":\"text\",\"phases\":[{{{step}}}]}}");
        let key = Some(tenants[tenant].key);
        let call = Call { method: "POST", host: HOST, path, key, body: &body };
        scene.call(tenants[tenant].name, &call).status == 200
    };
    let step = "\"count\":64,\"cpu\":8000,\"mem_mb\":100,\"gpu\":1,\"estimate_ms\":300000";
    if !submit(&scene, 2, "/match/00000000000000f0", step) {
        return Outcome::CouldNotRun;
    }
    std::thread::sleep(Duration::from_secs(2));
    // More memory than a runner has.
    let mem_mb = if has_trouble { 300_000 } else { 100 };
    for at in 0..HOPELESS {
        let step =
            format!("\"count\":1,\"cpu\":1000,\"mem_mb\":{mem_mb},\"gpu\":1,\"long_running\":true");
        if !submit(&scene, 0, &format!("/check/00000000000000d{at}"), &step) {
            return Outcome::CouldNotRun;
        }
    }
    std::thread::sleep(Duration::from_secs(8));
    let step = format!(
        "\"count\":{URGENT_TASKS},\"cpu\":8000,\"mem_mb\":100,\"gpu\":1,\"estimate_ms\":2000"
    );
    if !submit(&scene, 1, &format!("/check/{URGENT_ID}"), &step) {
        return Outcome::CouldNotRun;
    }
    let accepted = Instant::now();
    while accepted.elapsed() < WATCHED && scene.tasks_begun(URGENT_ID).len() < URGENT_TASKS {
        std::thread::sleep(Duration::from_millis(50));
    }
    let (begun, waited) = (scene.tasks_begun(URGENT_ID).len(), accepted.elapsed());
    record.line(&format!(
        "{begun} of {URGENT_TASKS} guaranteed tasks begun within {:.1} s",
        waited.as_secs_f64()
    ));
    // RECLAIM: not all tasks of the first step have begun `reclaim_ms` after the acknowledgement.
    if waited > RECLAIM { Outcome::Broken } else { Outcome::Held }
}
