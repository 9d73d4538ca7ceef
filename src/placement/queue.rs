//! Scheduling order of the waiting jobs.

use super::View;
use super::capacity::Occupancy;
use super::estimate::Estimator;
use crate::state::job::{Job, Phase};

/// Sort key of a waiting job; the lowest key is scheduled first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    rank: u8,
    // Slack shrinks while a job waits, so jobs age within their rank but never overtake a more
    // urgent one.
    slack: u32,
    load: u32,
    run_time: u32,
    submitted_ms: u64,
}

/// A waiting job with its sort key.
#[derive(Clone, Copy, Debug)]
pub struct Entry<'a> {
    /// The job.
    pub job: &'a Job,
    /// Rank of its kind.
    pub rank: u8,
    /// Estimated run time, in milliseconds.
    pub run_ms: u64,
    /// Whether the job, if started now, would miss its deadline or just meet the deadline.
    pub is_late: bool,
    key: Key,
}

/// Returns all waiting jobs in scheduling order.
pub fn waiting_entries<'a>(
    view: &View<'a>,
    occupancy: &Occupancy<'a>,
    estimator: &Estimator,
) -> Vec<Entry<'a>> {
    let weighted_loads = weighted_loads(view, occupancy);
    let mut entries = Vec::new();
    for job in view.jobs.live.values() {
        if job.phase != Phase::Waiting {
            continue;
        }
        let rank = occupancy.rank_of(job);
        let run_ms = estimator.run_ms(job);
        let slack_ms = slack_ms(view, job, run_ms);
        let load = occupancy.customer_of(job).map_or(u64::MAX, |customer| weighted_loads[customer]);
        let key = Key {
            rank,
            slack: log2_bucket(slack_ms / 1_000),
            load: log2_bucket(load),
            run_time: log2_bucket(run_ms / 1_000),
            submitted_ms: job.submitted_ms,
        };
        entries.push(Entry { job, rank, run_ms, is_late: slack_ms == 0, key });
    }
    entries.sort_by_key(|entry| (entry.key, &entry.job.id));
    entries
}

// Time that a job can still wait and meet its deadline.
fn slack_ms(view: &View<'_>, job: &Job, run_ms: u64) -> u64 {
    let kind_deadline_ms = view.document.kind(&job.spec.kind).map(|kind| kind.deadline_ms);
    let deadline_ms = job.spec.deadline_ms.or(kind_deadline_ms).unwrap_or(u64::MAX);
    let due_ms = job.submitted_ms.saturating_add(deadline_ms);
    due_ms.saturating_sub(view.now_ms.saturating_add(run_ms))
}

// Accelerators held by each customer in proportion to its share, in sixteenths.
fn weighted_loads(view: &View<'_>, occupancy: &Occupancy<'_>) -> Vec<u64> {
    let mut weighted_loads = vec![0; view.document.customers.len()];
    for allocation in &occupancy.allocations {
        let Some(customer) = allocation.customer else { continue };
        let spec = &allocation.job.spec;
        weighted_loads[customer] += u64::from(spec.parts * spec.accelerators);
    }
    for (load, customer) in weighted_loads.iter_mut().zip(&view.document.customers) {
        *load = *load * 16 / u64::from(customer.share.max(1));
    }
    weighted_loads
}

// Rounds to powers of two, so that similar values compare equal and the next criterion decides.
fn log2_bucket(value: u64) -> u32 {
    u64::BITS - value.leading_zeros()
}
