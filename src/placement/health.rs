//! Attribution of task failures to the worker or the job, never to both, and quarantine of workers.

use std::collections::{BTreeMap, BTreeSet};

use crate::state::document::Placement;
use crate::state::job::{Job, Table};
use crate::state::worker;

/// How long a failure counts against a worker, in milliseconds.
const FAILURE_WINDOW_MS: u64 = 600_000;
/// Length of a worker's first quarantine, in milliseconds; each further one lasts twice as long.
const FIRST_QUARANTINE_MS: u64 = 60_000;
/// Upper limit on the length of a quarantine, in milliseconds.
const MAX_QUARANTINE_MS: u64 = 24 * 3_600_000;
/// At most one in this many workers may be in quarantine at once, but always at least one.
const QUARANTINE_SHARE_DIVISOR: usize = 4;
/// Limit on all failures of a job, as a multiple of the number of distinct workers it may fail on.
const MAX_FAILURES_FACTOR: u32 = 3;

/// Whether the job itself is at fault if it has now failed once more, on this worker.
pub fn is_job_fault(
    job: &Job,
    worker: &str,
    placement: &Placement,
    records: &worker::Table,
    now_ms: u64,
) -> bool {
    // A failure on a quarantined worker is no evidence against the job.
    let mut failed_on: BTreeSet<&str> = BTreeSet::from([worker]);
    failed_on.extend(job.failed_on.keys().map(String::as_str));
    failed_on.retain(|name| !records.is_quarantined(name, now_ms));
    let failures = job.failures + 1;
    failed_on.len() as u32 >= placement.job_failures
        || failures >= placement.job_failures * MAX_FAILURES_FACTOR
}

/// Returns commands that quarantine the workers with too many recent failures.
///
/// The share of workers in quarantine is limited; workers beyond the limit are left in service.
pub fn quarantine_commands(
    jobs: &Table,
    records: &worker::Table,
    placement: &Placement,
    workers: usize,
    now_ms: u64,
) -> Vec<worker::Command> {
    let mut failures_by_worker: BTreeMap<&str, u32> = BTreeMap::new();
    for job in jobs.live.values().chain(jobs.ended.values()) {
        let Some((name, at_ms)) = sole_failure(job, records, now_ms) else { continue };
        let record = records.records.get(name).copied().unwrap_or_default();
        let window_start_ms =
            record.quarantined_until_ms.max(now_ms.saturating_sub(FAILURE_WINDOW_MS));
        if at_ms >= window_start_ms {
            *failures_by_worker.entry(name).or_insert(0) += 1;
        }
    }
    let quarantined = records.records.keys().filter(|name| records.is_quarantined(name, now_ms));
    let mut allowance =
        (workers / QUARANTINE_SHARE_DIVISOR).max(1).saturating_sub(quarantined.count());
    let mut commands = Vec::new();
    for (name, count) in failures_by_worker {
        if count < placement.worker_failures || allowance == 0 {
            continue;
        }
        allowance -= 1;
        let quarantines = records.records.get(name).map_or(0, |record| record.quarantines);
        let quarantine_ms = (FIRST_QUARANTINE_MS << quarantines.min(16)).min(MAX_QUARANTINE_MS);
        let until_ms = now_ms + quarantine_ms;
        commands.push(worker::Command::Quarantine { worker: name.into(), until_ms });
    }
    commands
}

// The worker and time of a job's failure, if it failed on exactly one worker that is not
// quarantined. A job that failed on several such workers is no evidence against any of them.
fn sole_failure<'a>(job: &'a Job, records: &worker::Table, now_ms: u64) -> Option<(&'a str, u64)> {
    if job.failed_on.is_empty() {
        return None;
    }
    let is_in_service = |(name, _): &(&String, &u64)| !records.is_quarantined(name, now_ms);
    let mut failures = job.failed_on.iter().filter(is_in_service);
    let (name, at_ms) = failures.next()?;
    failures.next().is_none().then_some((name.as_str(), *at_ms))
}
