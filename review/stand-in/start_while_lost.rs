//! Workers come back from a cut just as their runs are declared lost.

use std::time::Duration;

use crate::record::Record;
use crate::worker::History;
use crate::{KEY, Outcome, deploy, job, submit};

const PREFIX: &str = "/lohu930/";
const WORKERS: usize = 12;
/// Workers that are cut off: a share of 0.167; the site has 0.17.
const CUT_WORKERS: usize = 2;
/// Length of a cut, as in the site.
const CUT: Duration = Duration::from_millis(5_500);
/// Time from the end of the cut until the leader's host freezes.
const BEFORE_FREEZE: Duration = Duration::from_millis(450);
/// Length of the freeze; the site has 4 s and more.
const FREEZE: Duration = Duration::from_millis(550);
const CYCLES: usize = 3;

pub fn play(record: &Record, has_trouble: bool) -> Outcome {
    let (cluster, fleet) = deploy(record, WORKERS)?;
    let names = fleet.names();
    for cycle in 0..CYCLES {
        let cut = &names[cycle % (WORKERS / CUT_WORKERS) * CUT_WORKERS..][..CUT_WORKERS];
        if has_trouble {
            cut.iter().for_each(|worker| fleet.cut(worker, true));
            record.write(&format!("cut off: {}", cut.join(", ")));
        }
        // A task for each worker; two of the starts can't be delivered now.
        let id = format!("6c44bd3ab3158f{cycle:02x}");
        let body = job(
            "ms=2500 cpu=26000 mem=140000 gpu=8",
            WORKERS as u64,
            26_000,
            140_000,
            ",\"gpu\":8",
        );
        submit(&cluster, record, PREFIX, KEY, &id, &body)?;
        std::thread::sleep(CUT);
        if has_trouble {
            cut.iter().for_each(|worker| fleet.cut(worker, false));
            record.write(&format!("joined again: {}", cut.join(", ")));
        }
        std::thread::sleep(BEFORE_FREEZE);
        if has_trouble {
            let leader = fleet.history().leader;
            let leader = cluster.members.iter().find(|member| Some(member.address) == leader);
            let leader = leader.ok_or("no leader is known")?;
            record.write(&format!("{} freezes", leader.address));
            leader.signal("STOP");
            std::thread::sleep(FREEZE);
            leader.signal("CONT");
            record.write(&format!("{} wakes", leader.address));
        }
        std::thread::sleep(Duration::from_millis(5_500));
    }
    let overlaps = report_overlaps(record, &fleet.history());
    Ok(overlaps == 0)
}

// Writes and counts the pairs of runs of one task that ran at the same time.
fn report_overlaps(record: &Record, history: &History) -> usize {
    let end_of = |task: &str, run: u64, worker: &str| {
        let mut ends = history.ended.iter();
        let end = ends.find(|end| end.task == task && end.run == run && end.worker == worker);
        end.map_or(u64::MAX, |end| end.at_ms)
    };
    let mut count = 0;
    for (at, first) in history.begun.iter().enumerate() {
        let first_end = end_of(&first.task, first.run, &first.worker);
        for second in &history.begun[at + 1..] {
            if second.task != first.task || second.at_ms >= first_end {
                continue;
            }
            count += 1;
            record.write(&format!(
                "{}: run {} on {} from {} to {first_end} ms, and run {} on {} from {} to {} ms",
                first.task,
                first.run,
                first.worker,
                first.at_ms,
                second.run,
                second.worker,
                second.at_ms,
                end_of(&second.task, second.run, &second.worker),
            ));
        }
    }
    count
}
