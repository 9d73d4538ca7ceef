//! A job of many small tasks whose payload is as long as the pages allow.

use std::time::Duration;

use crate::record::Record;
use crate::{Accepted, FINISH, KEY, OTHER_KEY, Outcome, deploy, is_lost, job, submit};

const PREFIX: &str = "/pule252/";
const URGENT_PREFIX: &str = "/pufi791/";
const ID: &str = "5c0e7a21d94b36f8";
const WORKERS: usize = 6;
const TASKS: u64 = 1_500;
/// Demand of a task, in thousandths of a core.
const CPU: u64 = 50;
/// Longest payload that the pages allow, in bytes.
const PAYLOAD_BYTES: usize = 4_000;
/// Job of the other tenant with one task on each worker.
const OTHER_ID: &str = "00bbbbbbbbbbbbbb";

pub fn play(record: &Record, has_trouble: bool) -> Outcome {
    let (cluster, fleet) = deploy(record, WORKERS)?;
    let body = job(
        "ms=8000 cpu=1000 mem=1000 gpu=8",
        WORKERS as u64,
        1_000,
        1_000,
        ",\"gpu\":8",
    );
    submit(&cluster, record, URGENT_PREFIX, OTHER_KEY, OTHER_ID, &body)?;
    std::thread::sleep(Duration::from_secs(2));
    let mut payload = format!("ms=300 cpu={CPU} mem=100 quiet=1 ");
    let bytes = if has_trouble { PAYLOAD_BYTES } else { 100 };
    while payload.len() < bytes {
        payload.push('x');
    }
    submit(&cluster, record, PREFIX, KEY, ID, &job(&payload, TASKS, CPU, 100, ""))?;
    record.write(&format!("{ID}: {TASKS} tasks with a payload of {} bytes", payload.len()));
    std::thread::sleep(Duration::from_secs(12));
    record.write("the traffic has ended");
    std::thread::sleep(FINISH);
    let workers = fleet.names();
    let bulk = Accepted { prefix: PREFIX, key: KEY, id: ID, tasks: TASKS, cpu: CPU };
    let other = Accepted {
        prefix: URGENT_PREFIX,
        key: OTHER_KEY,
        id: OTHER_ID,
        tasks: WORKERS as u64,
        cpu: 1_000,
    };
    let is_bulk_lost = is_lost(&cluster, &fleet, record, &bulk, &workers);
    let is_other_lost = is_lost(&cluster, &fleet, record, &other, &workers);
    let is_kept = !is_bulk_lost && !is_other_lost;
    let oversized = fleet.history().oversized;
    record.write(&format!("answers over 4 MiB that workers dropped: {oversized}"));
    Ok(is_kept)
}
