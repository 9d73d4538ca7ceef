//! Cost of a placement, and fragmentation of the free accelerators.

use std::collections::BTreeMap;

use super::View;
use super::capacity::{Occupancy, Slot};
use super::cell;
use super::estimate::Estimator;
use super::guarantee::Plan;
use crate::state::document::Placement;

/// Cost for each accelerator that another customer may reclaim.
const RECLAIM_COST: f64 = 64.0;
/// Cost for each free accelerator of the enclosing blocks that a placement splits.
const SPLIT_COST: f64 = 16.0;
/// Cost for each accelerator left free on the worker.
const LEFTOVER_COST: f64 = 4.0;
/// Additional cost of a worker on which the job has failed before; above the cost of any slot, which
/// [`MAX_SLOT_COST`] limits.
pub const FAILED_WORKER_COST: u64 = 1 << 56;
/// Upper limit of the cost of a slot without regard to failures. The costs of a gang's slots can be
/// added up without overflow.
pub const MAX_SLOT_COST: u64 = FAILED_WORKER_COST - 1;

/// Weighted cost of a free slot: expected delay from a later eviction, plus fragmentation.
pub fn slot_cost(
    placement: &Placement,
    occupancy: &Occupancy<'_>,
    plan: &Plan,
    customer: Option<usize>,
    slot: Slot,
) -> u64 {
    let usage = &occupancy.workers[slot.worker];
    let free = usage.free_accelerators();
    let reserved_for_others =
        plan.reserved(slot.worker) & !plan.reserved_for(customer, slot.worker);
    let reclaim = f64::from((reserved_for_others & slot.block).count_ones());
    let enclosing_free =
        f64::from(cell::enclosing_free(free, usage.worker.shape.accelerators, slot.block));
    let leftover = f64::from((free & !slot.block).count_ones());
    let delay = placement.completion_weight * reclaim * RECLAIM_COST;
    let fragmentation =
        placement.fragmentation_weight * (enclosing_free * SPLIT_COST + leftover * LEFTOVER_COST);
    // On equal cost the fuller worker is preferred, whatever the weights.
    ((delay + fragmentation) * 16.0 + enclosing_free + leftover) as u64
}

/// Size of a gang, used to describe a mix of jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Demand {
    /// Accelerators of each part.
    pub accelerators: u32,
    /// Number of parts.
    pub parts: u32,
}

/// Fragmentation of a view, measured against the mix of its live and ended jobs.
pub fn current_fragmentation(view: &View<'_>) -> f64 {
    let mut mix = BTreeMap::new();
    for job in view.jobs.live.values().chain(view.jobs.ended.values()) {
        if job.spec.accelerators == 0 {
            continue;
        }
        let demand = Demand { accelerators: job.spec.accelerators, parts: job.spec.parts };
        *mix.entry(demand).or_insert(0) += 1;
    }
    fragmentation(&Occupancy::new(view, &Estimator::default()), &mix)
}

/// Mean share of the free accelerators that a job of the mix can't use, from 0 to 1.
pub fn fragmentation(occupancy: &Occupancy<'_>, mix: &BTreeMap<Demand, u64>) -> f64 {
    unusable_share(occupancy, mix.iter())
}

/// Same as [`fragmentation`], but only for jobs that need no more accelerators than are free in
/// total.
pub fn external_fragmentation(occupancy: &Occupancy<'_>, mix: &BTreeMap<Demand, u64>) -> f64 {
    let free = free_accelerators(occupancy);
    let fits = |demand: &Demand| u64::from(demand.accelerators * demand.parts) <= free;
    unusable_share(occupancy, mix.iter().filter(|(demand, _)| fits(demand)))
}

fn free_accelerators(occupancy: &Occupancy<'_>) -> u64 {
    occupancy.workers.iter().map(|usage| u64::from(usage.free_accelerators().count_ones())).sum()
}

fn unusable_share<'m>(
    occupancy: &Occupancy<'_>,
    mix: impl Iterator<Item = (&'m Demand, &'m u64)> + Clone,
) -> f64 {
    let free = free_accelerators(occupancy);
    let jobs: u64 = mix.clone().map(|(_, count)| count).sum();
    if free == 0 || jobs == 0 {
        return 0.0;
    }
    let mut unusable = 0.0;
    for (demand, count) in mix {
        let usable = usable(occupancy, *demand);
        unusable += (free - usable) as f64 * *count as f64;
    }
    unusable / (free * jobs) as f64
}

// Free accelerators that jobs of one size could use.
fn usable(occupancy: &Occupancy<'_>, demand: Demand) -> u64 {
    let mut blocks = 0;
    for usage in &occupancy.workers {
        let total = usage.worker.shape.accelerators;
        blocks +=
            cell::blocks(usage.free_accelerators(), total, demand.accelerators).count() as u64;
    }
    if demand.accelerators == 0 || blocks < u64::from(demand.parts) {
        return 0;
    }
    blocks * u64::from(demand.accelerators)
}
