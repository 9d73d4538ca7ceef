//! Work that waits, as admission counts it.

use std::collections::BTreeMap;

use super::{Candidate, Cluster};
use crate::batch::admission::Backlog;
use crate::batch::job::Resources;

/// Waiting work of each pool; without that of jobs which are of no more use. Workers that are silent or
/// excluded for a while count as capacity, since they may work again before the job would be late.
pub(super) fn collect(
    candidates: &[Candidate<'_>],
    cluster: &Cluster<'_>,
) -> BTreeMap<String, Backlog> {
    let mut capacities: BTreeMap<&str, Resources> = BTreeMap::new();
    for worker in cluster.workers.iter().filter(|worker| worker.is_confirmed) {
        capacities.entry(worker.pool).or_default().add(&worker.capacity, false);
    }
    let empty = |(pool, capacity): (&str, Resources)| (pool.to_string(), Backlog::new(capacity));
    let mut backlogs: BTreeMap<String, Backlog> = capacities.into_iter().map(empty).collect();
    for candidate in candidates {
        let (step, job) = (candidate.step, candidate.job);
        if candidate.is_expired || step.is_lasting {
            continue;
        }
        let Some(backlog) = backlogs.get_mut(&job.terms.pool) else { continue };
        let count = candidate.tasks.len() as u64;
        let work = backlog.work(&step.demand, step.is_filler, count, candidate.run_ms);
        backlog.add(job.terms.priority, &job.customer, work, candidate.is_late);
    }
    backlogs
}
