//! Scheduled jobs of many small tasks that are due at the same time.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::json::quote;
use crate::record::Record;
use crate::{Accepted, FINISH, KEY, OTHER_KEY, Outcome, deploy, is_lost, job, submit};

const PREFIX: &str = "/pule252/";
const URGENT_PREFIX: &str = "/pufi791/";
const IDS: [&str; 5] =
    ["c000000000000001", "c000000000000002", "c000000000000003", "c000000000000004", "c000000000000005"];
const URGENT_ID: &str = "00000000000000e1";
const WORKERS: usize = 30;
/// Tasks of each job. All of them together fit on the workers.
const TASKS: u64 = 9_500;
/// Demand of a task, in thousandths of a core.
const CPU: u64 = 40;
/// Time between the due times where the jobs are not due together, in milliseconds.
const APART_MS: u64 = 6_000;

pub fn play(record: &Record, has_trouble: bool) -> Outcome {
    let (cluster, fleet) = deploy(record, WORKERS)?;
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).map_err(|e| e.to_string())?;
    let first_ms = wall.as_millis() as u64 + 4_000;
    for (number, id) in IDS.into_iter().enumerate() {
        let due_ms = if has_trouble { first_ms } else { first_ms + number as u64 * APART_MS };
        let payload = quote(&format!("ms=300 cpu={CPU} mem=100 quiet=1"));
        let body = format!(
            "{{\"spec\":{payload},\"repeat_count\":1,\"first_ms\":{due_ms},\"interval_ms\":86400000,\
             \"phases\":[{{\"count\":{TASKS},\"cpu\":{CPU},\"mem_mb\":100,\"estimate_ms\":300}}]}}"
        );
        submit(&cluster, record, PREFIX, KEY, id, &body)?;
    }
    std::thread::sleep(Duration::from_millis(5_000));
    let body = job("ms=500 cpu=7500 mem=31000 gpu=4", 2, 7_500, 31_000, ",\"gpu\":4");
    submit(&cluster, record, URGENT_PREFIX, OTHER_KEY, URGENT_ID, &body)?;
    std::thread::sleep(Duration::from_millis(4 * APART_MS));
    record.write("the traffic has ended");
    std::thread::sleep(FINISH);
    let workers = fleet.names();
    let urgent = Accepted {
        prefix: URGENT_PREFIX,
        key: OTHER_KEY,
        id: URGENT_ID,
        tasks: 2,
        cpu: 7_500,
    };
    let mut is_kept = !is_lost(&cluster, &fleet, record, &urgent, &workers);
    for id in IDS {
        let bulk = Accepted { prefix: PREFIX, key: KEY, id, tasks: TASKS, cpu: CPU };
        is_kept &= !is_lost(&cluster, &fleet, record, &bulk, &workers);
    }
    Ok(is_kept)
}
