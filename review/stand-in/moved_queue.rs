//! A queue is sent to another service, and the workers of the old service leave.

use std::time::Duration;

use crate::record::Record;
use crate::{
    Accepted, FINISH, KEY, OTHER_SERVICE, Outcome, SERVICE, configuration, deploy, is_lost, job,
    submit,
};

const PREFIX: &str = "/lohu930/";
const ID: &str = "695cd8b730583f2a";
/// Workers of the old service: less than 0.15 of all, as the pages' `scale_in` takes away.
const OLD_WORKERS: usize = 2;
/// Workers of the service that the queue is sent to.
const NEW_WORKERS: usize = 12;

pub fn play(record: &Record, has_trouble: bool) -> Outcome {
    let (cluster, mut fleet) = deploy(record, OLD_WORKERS)?;
    let old_workers = fleet.names();
    fleet.add(OTHER_SERVICE, NEW_WORKERS, &cluster.member_addresses(), record);
    let new_workers: Vec<String> =
        fleet.names().into_iter().filter(|name| !old_workers.contains(name)).collect();
    std::thread::sleep(Duration::from_secs(3));
    // Four tasks, of which two run at a time on the old service.
    let tasks = 4;
    let body = job(
        "ms=8500 cpu=26000 mem=140000 gpu=8",
        tasks,
        26_000,
        140_000,
        ",\"gpu\":8",
    );
    submit(&cluster, record, PREFIX, KEY, ID, &body)?;
    std::thread::sleep(Duration::from_secs(2));
    if !cluster.put_config(&configuration(2, OTHER_SERVICE)) {
        return Err("the second configuration was not acknowledged".into());
    }
    record.write(&format!("configuration 2 acknowledged: {PREFIX} goes from {SERVICE} to {OTHER_SERVICE}"));
    std::thread::sleep(Duration::from_secs(1));
    if has_trouble {
        for worker in &old_workers {
            fleet.leave(worker);
        }
    }
    std::thread::sleep(Duration::from_secs(12));
    record.write("the traffic has ended");
    std::thread::sleep(FINISH);
    let job = Accepted { prefix: PREFIX, key: KEY, id: ID, tasks, cpu: 26_000 };
    Ok(!is_lost(&cluster, &fleet, record, &job, &new_workers))
}
