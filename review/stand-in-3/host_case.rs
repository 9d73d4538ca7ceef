//! A configuration that writes the host of a queue with a capital letter.

use std::time::Duration;

use crate::Outcome;
use crate::config::{Job, Route, SERVICE, Tenant, document};
use crate::record::Record;
use crate::scene::Scene;
use crate::system::Call;

const HOST: &str = "nony24.example";
const KEY: Option<&str> = Some("d4a3hwrr6x73d3zji9n7");
/// `config_apply_ms`, with a second to spare.
const IN_FORCE: Duration = Duration::from_millis(2_000 + 1_000);

pub fn run(record: &Record, has_trouble: bool) -> Outcome {
    let tenants = [Tenant { name: "kaje80", key: "d4a3hwrr6x73d3zji9n7" }];
    let document = |version, host| {
        let route = Route { name: "r-plan", host, prefix: "/plan/", priority: 1, is_anonymous: false, service: SERVICE };
        document(version, &[route], &tenants)
    };
    let Some(mut scene) = Scene::start(record, &document(1, HOST)) else {
        return Outcome::CouldNotRun;
    };
    scene.add_runners(4, Duration::from_secs(20));
    let body = Job { spec: "plan", count: 2, cpu: 2_000, mem_mb: 512, estimate_ms: 20_000 }.body();
    let call = Call { method: "POST", host: HOST, path: "/plan/00000000000000c1", key: KEY, body: &body };
    if scene.call("client", &call).status != 200 {
        return Outcome::CouldNotRun;
    }
    let host = if has_trouble { "Nony24.example" } else { HOST };
    if !scene.put_config(&document(2, host)) {
        // To refuse the spelling would keep the rule.
        return Outcome::Held;
    }
    std::thread::sleep(IN_FORCE);
    // The client goes on writing the host as it did, and then just as the configuration does.
    let mut refusals = 0;
    for host in [HOST, host] {
        let call = Call { host, ..call };
        let state = scene.state("client", &call);
        let new = Call { path: "/plan/00000000000000c2", ..call };
        let status = scene.call("client", &new).status;
        let cancel = Call { method: "DELETE", body: "", ..call };
        let is_refused = state == "404" && status == 404;
        if is_refused && scene.call("client", &cancel).status == 404 {
            refusals += 1;
        }
    }
    let running = scene.watch.running.lock().expect("no thread panicked").len();
    scene.record_starts();
    record.line(&format!("{running} tasks of the accepted job go on running"));
    // CONFIG: refused with 404 though the route is there, in either spelling.
    if refusals == 2 { Outcome::Broken } else { Outcome::Held }
}
