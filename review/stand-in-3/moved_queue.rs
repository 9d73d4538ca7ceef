//! A queue that is sent to another service, and then a planned restart of the member that gives orders.

use std::time::{Duration, Instant};

use crate::Outcome;
use crate::config::{Route, Tenant, document};
use crate::record::Record;
use crate::runner::{End, LASTING};
use crate::scene::Scene;
use crate::system::Call;

const HOST: &str = "nony24.example";
const ID: &str = "00000000000000d1";
const OLD_SERVICE: &str = "huvo11a";
const NEW_SERVICE: &str = "huvo11b";
const TASKS: usize = 4;
const MAY_MISS: usize = 1;
/// `contact_ms`.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Longer than two leases of `hold_max_ms`.
const WATCHED: Duration = Duration::from_secs(15);

pub fn run(record: &Record, has_trouble: bool) -> Outcome {
    let tenants = [Tenant { name: "kaje80", key: "d4a3hwrr6x73d3zji9n7" }];
    let document = |version, service| {
        let route =
            Route { name: "r-plan", host: HOST, prefix: "/plan/", priority: 1, is_anonymous: false, service };
        document(version, &[route], &tenants)
    };
    let Some(mut scene) = Scene::start(record, &document(1, OLD_SERVICE)) else {
        return Outcome::CouldNotRun;
    };
    scene.add_runners_of(OLD_SERVICE, 4, LASTING);
    let body = format!(
        "{{\"spec\":\"serve\",\"phases\":[{{\"count\":{TASKS},\"cpu\":2000,\"mem_mb\":512,\
         \"long_running\":true,\"may_miss\":{MAY_MISS},\"anti_affinity\":1}}]}}"
    );
    let path = format!("/plan/{ID}");
    let key = Some("d4a3hwrr6x73d3zji9n7");
    let call = Call { method: "POST", host: HOST, path: &path, key, body: &body };
    if scene.call("tenant", &call).status != 200 {
        return Outcome::CouldNotRun;
    }
    scene.add_runners_of(NEW_SERVICE, 4, LASTING);
    if running(&scene) != TASKS {
        return Outcome::CouldNotRun;
    }
    record.line(&format!("{TASKS} tasks that last are at work on {OLD_SERVICE}"));
    if !scene.put_config(&document(2, NEW_SERVICE)) {
        return Outcome::CouldNotRun;
    }
    std::thread::sleep(CONTACT);
    record.line(&format!("{} tasks are at work", running(&scene)));
    let leader = *scene.watch.leader.lock().expect("no thread panicked");
    let at = scene.system.control.iter().position(|address| Some(*address) == leader);
    let Some(at) = at else { return Outcome::CouldNotRun };
    let mut stopped = Instant::now();
    if has_trouble {
        record.line(&format!("platform: core-{at}, which gives the orders, gets SIGTERM"));
        scene.system.members[at].lock().expect("no thread panicked").restart();
        stopped = Instant::now();
        record.line(&format!("platform: core-{at} has ended and is started again"));
    }
    std::thread::sleep(WATCHED);
    let ends: Vec<End> = scene.watch.ends.lock().expect("no thread panicked").clone();
    for End { task, run, how, runner, at } in &ends {
        let after = at.saturating_duration_since(stopped).as_secs_f64();
        record.line(&format!("{runner}: {task}, run {run}, ended {how} {after:.1} s after the restart"));
    }
    scene.record_starts();
    record.line(&format!("{} tasks are at work", running(&scene)));
    let state = scene.state("tenant", &call);
    // AVAIL: a lease that lapses with no disruption near counts as an order that ends the task; more than
    // `may_miss` are away at the same time.
    let lapsed = ends.iter().filter(|end| end.how == "lapsed" && end.at >= stopped + CONTACT).count();
    record.line(&format!(
        "{lapsed} of {TASKS} tasks of the job, which is {state}, lapsed on sound runners over {} s after the \
         restart; {MAY_MISS} may be away at a time",
        CONTACT.as_secs()
    ));
    if lapsed > MAY_MISS { Outcome::Broken } else { Outcome::Held }
}

fn running(scene: &Scene<'_>) -> usize {
    scene.watch.running.lock().expect("no thread panicked").len()
}
