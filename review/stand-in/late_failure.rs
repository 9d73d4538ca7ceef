//! A task of a gang fails for the last allowed time on a worker that is cut off.

use std::time::{Duration, Instant};

use crate::record::Record;
use crate::{KEY, Outcome, deploy, job, state, submit};

/// Queue with two attempts.
const PREFIX: &str = "/lohu930/";
const MAX_ATTEMPTS: usize = 2;
/// How long the worker is cut off. The site's sheet of disruptions has 5.5 s.
const CUT: Duration = Duration::from_millis(4_500);
const ID: &str = "50b1641ff008fdf2";

pub fn play(record: &Record, has_trouble: bool) -> Outcome {
    let (cluster, fleet) = deploy(record, 6)?;
    // Two tasks that each need a worker of their own. Task 0 can never be done: it fails 1.5 s after
    // both are present.
    let payload = "ms=6000 gang=2 fail=0 fail_ms=1500 cpu=26000 mem=140000 gpu=8";
    let step = ",\"gpu\":8,\"gang\":true";
    submit(&cluster, record, PREFIX, KEY, ID, &job(payload, 2, 26_000, 140_000, step))?;
    let task = format!("{ID}.0.0.0");
    let begun = |run: u64| {
        let history = fleet.history();
        let mut starts = history.begun.iter();
        starts.find(|start| start.task == task && start.run >= run).cloned()
    };
    let start = Instant::now();
    let second = loop {
        if let Some(second) = begun(2) {
            break second;
        }
        if start.elapsed() > Duration::from_secs(15) {
            return Err("the second run of the task has not begun".into());
        }
        std::thread::sleep(Duration::from_millis(10));
    };
    // The worker reports the run before it is cut off.
    std::thread::sleep(Duration::from_millis(700));
    if has_trouble {
        record.write(&format!("{} is cut off", second.worker));
        fleet.cut(&second.worker, true);
    }
    std::thread::sleep(CUT);
    if has_trouble {
        record.write(&format!("{} is joined again", second.worker));
        fleet.cut(&second.worker, false);
    }
    std::thread::sleep(Duration::from_secs(8));
    record.write(&format!("GET {PREFIX}{ID}: {}", state(&cluster, PREFIX, KEY, ID)));
    let history = fleet.history();
    let mut is_kept = true;
    for begun in history.begun.iter().filter(|begun| begun.task == task) {
        let failed = history.ended.iter().filter(|end| {
            let is_noted = end.noted_ms.is_some() && !end.lapsed_between;
            end.task == task && end.how == "failed" && end.at_ms < begun.at_ms && is_noted
        });
        let failed = failed.count();
        let (run, worker) = (begun.run, &begun.worker);
        record.write(&format!(
            "run {run} of {task} on {worker} at {} ms began after {failed} failed runs of {MAX_ATTEMPTS}",
            begun.at_ms
        ));
        is_kept &= failed < MAX_ATTEMPTS;
    }
    Ok(is_kept)
}
