//! Blame for failed tasks: the worker's or the job's, never both.

use std::collections::{BTreeMap, BTreeSet};

use crate::state::document::Placement;
use crate::state::job::{Job, Table};
use crate::state::worker;

/// Milliseconds for which a failure counts against a worker.
const WINDOW_MS: u64 = 600_000;
/// First quarantine, in milliseconds; each further one lasts twice as long.
const PROBATION_MS: u64 = 60_000;
/// Longest quarantine, in milliseconds.
const LONGEST_MS: u64 = 24 * 3_600_000;
/// Share of the workers that may be in quarantine at once, as a divisor.
const SHARE: usize = 4;
/// Starts of a job that may fail in all, as a multiple of the distinct workers allowed.
const REPEATS: u32 = 3;

/// Whether a job with one more failure, at this worker, has failed by its own fault.
pub fn is_job_fault(
    job: &Job,
    worker: &str,
    placement: &Placement,
    records: &worker::Table,
    now_ms: u64,
) -> bool {
    // A failure at a worker that is known to fail everything says nothing of the job.
    let mut distinct: BTreeSet<&str> = BTreeSet::from([worker]);
    distinct.extend(job.failed_on.keys().map(String::as_str));
    distinct.retain(|name| !records.is_quarantined(name, now_ms));
    let failures = job.failures + 1;
    distinct.len() as u32 >= placement.job_failures || failures >= placement.job_failures * REPEATS
}

/// Workers to put into quarantine now.
pub fn quarantine_commands(
    jobs: &Table,
    records: &worker::Table,
    placement: &Placement,
    workers: usize,
    now_ms: u64,
) -> Vec<worker::Command> {
    let mut failed: BTreeMap<&str, u32> = BTreeMap::new();
    for job in jobs.live.values().chain(jobs.ended.values()) {
        let Some((name, at_ms)) = only_failure(job, records, now_ms) else { continue };
        let record = records.records.get(name).copied().unwrap_or_default();
        let counts_from_ms = record.quarantined_until_ms.max(now_ms.saturating_sub(WINDOW_MS));
        if at_ms >= counts_from_ms {
            *failed.entry(name).or_insert(0) += 1;
        }
    }
    let held = records.records.keys().filter(|name| records.is_quarantined(name, now_ms));
    let mut room = (workers / SHARE).max(1).saturating_sub(held.count());
    let mut commands = Vec::new();
    for (name, count) in failed {
        if count < placement.worker_failures || room == 0 {
            continue;
        }
        room -= 1;
        let times = records.records.get(name).map_or(0, |record| record.quarantines);
        let probation_ms = (PROBATION_MS << times.min(16)).min(LONGEST_MS);
        let until_ms = now_ms + probation_ms;
        commands.push(worker::Command::Quarantine { worker: name.into(), until_ms });
    }
    commands
}

// A job that failed at several sound workers accuses none of them.
fn only_failure<'a>(job: &'a Job, records: &worker::Table, now_ms: u64) -> Option<(&'a str, u64)> {
    if job.failed_on.is_empty() {
        return None;
    }
    let sound = |(name, _): &(&String, &u64)| !records.is_quarantined(name, now_ms);
    let mut sound = job.failed_on.iter().filter(sound);
    let (name, at_ms) = sound.next()?;
    sound.next().is_none().then_some((name.as_str(), *at_ms))
}
