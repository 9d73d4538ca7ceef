//! What a placement costs, and how broken up the free accelerators are.

use std::collections::BTreeMap;

use super::View;
use super::capacity::{Occupancy, Seat};
use super::cell;
use super::estimate::Estimator;
use super::guarantee::Plan;
use crate::state::document::Placement;

/// Cost of an accelerator that another customer may reclaim.
const RECLAIM: f64 = 64.0;
/// Cost of an accelerator of a block that is broken up.
const BREAK: f64 = 16.0;
/// Cost of an accelerator left free on the worker.
const LEFT: f64 = 4.0;
/// Cost of a worker on which the job failed before.
pub const FAILED_BEFORE: u64 = 1 << 40;

/// Weighted cost of a free seat: expected delay by a later eviction, and fragmentation.
pub fn seat(
    placement: &Placement,
    board: &Occupancy<'_>,
    plan: &Plan,
    customer: Option<usize>,
    seat: Seat,
) -> u64 {
    let spot = &board.spots[seat.worker];
    let free = spot.free();
    let foreign = plan.taken(seat.worker) & !plan.own(customer, seat.worker);
    let reclaim = f64::from((foreign & seat.block).count_ones());
    let broken = f64::from(cell::breakage(free, spot.worker.shape.accelerators, seat.block));
    let left = f64::from((free & !seat.block).count_ones());
    let delay = placement.completion_weight * reclaim * RECLAIM;
    let fragmentation = placement.fragmentation_weight * (broken * BREAK + left * LEFT);
    // Between equal costs the fuller worker wins, whatever the weights.
    ((delay + fragmentation) * 16.0 + broken + left) as u64
}

/// A shape of the observed mix of jobs: accelerators of a part, and parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Demand {
    /// Accelerators of each part.
    pub accelerators: u32,
    /// Parts of the gang.
    pub parts: u32,
}

/// Fragmentation of a view, against the jobs that it remembers.
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

/// Share of free accelerators that a job of the mix could not use, 0 to 1.
pub fn fragmentation(board: &Occupancy<'_>, mix: &BTreeMap<Demand, u64>) -> f64 {
    unusable_share(board, mix.iter())
}

/// The same for those jobs only that all free accelerators together could hold.
pub fn external_fragmentation(board: &Occupancy<'_>, mix: &BTreeMap<Demand, u64>) -> f64 {
    let free = free(board);
    let fits = |demand: &Demand| u64::from(demand.accelerators * demand.parts) <= free;
    unusable_share(board, mix.iter().filter(|(demand, _)| fits(demand)))
}

fn free(board: &Occupancy<'_>) -> u64 {
    board.spots.iter().map(|spot| u64::from(spot.free().count_ones())).sum()
}

fn unusable_share<'m>(
    board: &Occupancy<'_>,
    mix: impl Iterator<Item = (&'m Demand, &'m u64)> + Clone,
) -> f64 {
    let free = free(board);
    let jobs: u64 = mix.clone().map(|(_, count)| count).sum();
    if free == 0 || jobs == 0 {
        return 0.0;
    }
    let mut unusable = 0.0;
    for (demand, count) in mix {
        let usable = usable(board, *demand);
        unusable += (free - usable) as f64 * *count as f64;
    }
    unusable / (free * jobs) as f64
}

fn usable(board: &Occupancy<'_>, demand: Demand) -> u64 {
    let mut blocks = 0;
    for spot in &board.spots {
        let total = spot.worker.shape.accelerators;
        blocks += cell::blocks(spot.free(), total, demand.accelerators).count() as u64;
    }
    if demand.accelerators == 0 || blocks < u64::from(demand.parts) {
        return 0;
    }
    blocks * u64::from(demand.accelerators)
}
