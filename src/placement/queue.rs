//! Order in which waiting jobs are served.

use super::View;
use super::capacity::Occupancy;
use super::estimate::Estimator;
use crate::state::job::{Job, Phase};

/// Place of a job in the queue; the least is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    rank: u8,
    // Waiting uses slack up, so a job ages within its rank and never beyond it.
    slack: u32,
    share: u32,
    length: u32,
    submitted_ms: u64,
}

/// A waiting job with its place.
#[derive(Clone, Copy, Debug)]
pub struct Entry<'a> {
    /// The job.
    pub job: &'a Job,
    /// Rank of its kind.
    pub rank: u8,
    /// Estimated run time, in milliseconds.
    pub run_ms: u64,
    /// Whether it would be late if it started now.
    pub is_late: bool,
    key: Key,
}

/// All waiting jobs, first one first.
pub fn order<'a>(view: &View<'a>, board: &Occupancy<'a>, estimate: &Estimator) -> Vec<Entry<'a>> {
    let loads = loads(view, board);
    let mut entries = Vec::new();
    for job in view.jobs.live.values() {
        if job.phase != Phase::Waiting {
            continue;
        }
        let rank = board.rank(job);
        let run_ms = estimate.run_ms(job);
        let slack_ms = slack_ms(view, job, run_ms);
        let load = board.customer(job).map_or(u64::MAX, |customer| loads[customer]);
        let key = Key {
            rank,
            slack: bucket(slack_ms / 1_000),
            share: bucket(load),
            length: bucket(run_ms / 1_000),
            submitted_ms: job.submitted_ms,
        };
        entries.push(Entry { job, rank, run_ms, is_late: slack_ms == 0, key });
    }
    entries.sort_by_key(|entry| (entry.key, &entry.job.id));
    entries
}

fn slack_ms(view: &View<'_>, job: &Job, run_ms: u64) -> u64 {
    let kind_ms = view.document.kind(&job.spec.kind).map(|kind| kind.deadline_ms);
    let within_ms = job.spec.deadline_ms.or(kind_ms).unwrap_or(u64::MAX);
    let due_ms = job.submitted_ms.saturating_add(within_ms);
    due_ms.saturating_sub(view.now_ms.saturating_add(run_ms))
}

// Accelerators held by each customer, by its weight.
fn loads(view: &View<'_>, board: &Occupancy<'_>) -> Vec<u64> {
    let mut loads = vec![0; view.document.customers.len()];
    for holder in &board.holders {
        let Some(customer) = holder.customer else { continue };
        let spec = &holder.job.spec;
        loads[customer] += u64::from(spec.parts * spec.accelerators);
    }
    for (load, customer) in loads.iter_mut().zip(&view.document.customers) {
        *load = *load * 16 / u64::from(customer.share.max(1));
    }
    loads
}

// Powers of two: near values count as equal, so that the next criterion decides.
fn bucket(value: u64) -> u32 {
    u64::BITS - value.leading_zeros()
}
