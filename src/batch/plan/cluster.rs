//! Workers during a decision, with the capacity that is left.

use std::cell::OnceCell;
use std::collections::BTreeMap;

use super::foresight::{Ending, Keeps};
use super::neighbour::Neighbours;
use super::outlook::Release;
use super::{Candidate, View};
use crate::batch::fleet::Worker;
use crate::batch::job::Resources;

/// Workers with the capacity that is left during a decision.
pub(super) struct Cluster<'a> {
    pub(super) view: View<'a>,
    // Sorted by name.
    pub(super) workers: Vec<Worker<'a>>,
    // Open workers by pool and rack.
    pub(super) racks: BTreeMap<(&'a str, &'a str), Vec<usize>>,
    // Workers that are excluded for failures, by pool.
    pub(super) excluded: BTreeMap<&'a str, Vec<usize>>,
    pub(super) utilization: BTreeMap<&'a str, f64>,
    // What the runs on each worker are expected to free; worked out when it is first needed.
    pub(super) releases: Vec<OnceCell<Vec<Release>>>,
    // Like `releases`, as far as stops can be spared for them.
    pub(super) endings: Vec<OnceCell<Vec<Ending>>>,
    // What was withdrawn from each worker beyond its free capacity: it is taken from what its runs free.
    pub(super) owed: Vec<Resources>,
    // Workers whose room goes to urgent work only.
    pub(super) kept: Vec<bool>,
    // How much longer than on average runs take on each worker, as a factor; looked up on first use.
    slowdowns: Vec<OnceCell<f64>>,
    pub(super) neighbours: Neighbours,
}

impl<'a> Cluster<'a> {
    pub(super) fn new(view: View<'a>, keeps: &Keeps) -> Self {
        let workers = view.fleet.workers(view.table, view.now_ms);
        let mut racks: BTreeMap<_, Vec<usize>> = BTreeMap::new();
        let mut excluded: BTreeMap<_, Vec<usize>> = BTreeMap::new();
        let mut sums: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
        for (at, worker) in workers.iter().enumerate() {
            if !worker.is_confirmed {
                continue;
            }
            let sum = sums.entry(worker.pool).or_default();
            let (free, capacity) = utilization_amounts(&worker.free, &worker.capacity);
            sum.0 = sum.0.saturating_add(free);
            sum.1 = sum.1.saturating_add(capacity);
            if worker.is_open {
                let key = (worker.pool, worker.rack);
                racks.entry(key).or_default().push(at);
            }
            if worker.is_excluded {
                excluded.entry(worker.pool).or_default().push(at);
            }
        }
        let share = |(free, total): (u64, u64)| 1.0 - free as f64 / total.max(1) as f64;
        let utilization = sums.into_iter().map(|(pool, sum)| (pool, share(sum))).collect();
        let releases = workers.iter().map(|_| OnceCell::new()).collect();
        let endings = workers.iter().map(|_| OnceCell::new()).collect();
        let owed = vec![Resources::default(); workers.len()];
        let kept = workers.iter().map(|worker| keeps.contains(worker.name, view.now_ms)).collect();
        let slowdowns = workers.iter().map(|_| OnceCell::new()).collect();
        let neighbours = Neighbours::new(&view, workers.len());
        Self {
            view,
            workers,
            racks,
            excluded,
            utilization,
            releases,
            endings,
            owed,
            kept,
            slowdowns,
            neighbours,
        }
    }

    // Factor by which runs take longer than average on a worker.
    pub(super) fn slowdown(&self, worker: usize) -> f64 {
        let location = self.workers[worker].location();
        *self.slowdowns[worker].get_or_init(|| self.view.estimates.slowdown_at(&location))
    }

    // Share of a pool's accelerators (or cores, if it has none) that is in use.
    pub(super) fn utilization(&self, pool: &str) -> f64 {
        self.utilization.get(pool).copied().unwrap_or(1.0)
    }

    pub(super) fn position(&self, worker: &str) -> Option<usize> {
        self.workers.binary_search_by_key(&worker, |known| known.name).ok()
    }

    pub(super) fn allocate(
        &mut self,
        worker: usize,
        demand: &Resources,
        is_filler: bool,
        count: u64,
    ) {
        for _ in 0..count {
            let mut missing = *demand;
            if is_filler {
                missing.cpu_milli = 0;
            }
            self.workers[worker].free.settle(&mut missing);
            self.owed[worker].add(&missing, false);
        }
        self.workers[worker].runs += count;
    }
}

/// Groups of workers, each of which may hold the whole step: racks if the step is bound to one,
/// otherwise the whole pool.
pub(super) fn worker_groups(cluster: &Cluster<'_>, candidate: &Candidate<'_>) -> Vec<Vec<usize>> {
    let step = candidate.step;
    let of_pool = cluster.racks.iter().filter(|(key, _)| key.0 == candidate.job.terms.pool);
    if candidate.is_guarantee_critical(&cluster.view) {
        return vec![of_pool.flat_map(|(_, members)| members.clone()).collect()];
    }
    if !step.data_rack.is_empty() {
        let near = of_pool.filter(|(key, _)| key.1 == step.data_rack);
        return near.map(|(_, members)| members.clone()).collect();
    }
    if step.is_rack_local {
        return of_pool.map(|(_, members)| members.clone()).collect();
    }
    vec![of_pool.flat_map(|(_, members)| members.clone()).collect()]
}

// Free and total amount of the resource by which utilization is measured.
fn utilization_amounts(free: &Resources, capacity: &Resources) -> (u64, u64) {
    if capacity.accelerators > 0 {
        return (free.accelerators.into(), capacity.accelerators.into());
    }
    (free.cpu_milli, capacity.cpu_milli)
}
