//! Which allocations a job may evict, and how much work an eviction loses.

use super::capacity::{Allocation, Occupancy, Slot};
use super::fit::Availability;
use super::guarantee::{Plan, accelerators_on};
use crate::state::job::Phase;

/// Factor on the loss of a gang that can't be run again unless a checkpoint succeeds.
const NON_REPEATABLE_FACTOR: u64 = 16;

/// A job that requests resources by eviction.
#[derive(Clone, Copy, Debug)]
pub struct Preemptor {
    /// Index of its customer.
    pub customer: Option<usize>,
    /// Rank of its kind.
    pub rank: u8,
    /// Whether the job requests cells that are reserved for its customer.
    pub guaranteed: bool,
}

impl Preemptor {
    /// Whether an allocation can be evicted for this job.
    pub fn may_evict(&self, allocation: &Allocation<'_>) -> bool {
        if allocation.stopping {
            return true;
        }
        if !allocation.job.spec.evictable {
            return false;
        }
        if self.guaranteed && allocation.customer != self.customer {
            return !allocation.in_reserved_cells;
        }
        let is_own = allocation.customer == self.customer;
        allocation.rank > self.rank && (is_own || !allocation.in_reserved_cells)
    }

    /// Resources that are free or can be freed by evictions.
    pub fn availability(&self, occupancy: &Occupancy<'_>, plan: &Plan) -> Availability {
        let mut availability = Availability::empty(occupancy.workers.len());
        for (worker, usage) in occupancy.workers.iter().enumerate() {
            if !usage.worker.is_schedulable {
                continue;
            }
            let mut allowed = usage.all_accelerators() & !usage.claimed;
            if self.guaranteed {
                allowed &= plan.reserved_for(self.customer, worker);
            }
            if allowed == 0 && self.guaranteed {
                continue;
            }
            let (mut cores, mut memory_mib) = (usage.free_cores, usage.free_memory_mib);
            for &index in &usage.allocations {
                let allocation = &occupancy.allocations[index];
                if !self.may_evict(allocation) {
                    allowed &= !accelerators_on(&allocation.slots, worker);
                    continue;
                }
                let parts = parts_on(allocation, worker);
                cores += parts * i64::from(allocation.job.spec.cores);
                memory_mib += parts * allocation.job.spec.memory_mib as i64;
            }
            availability.allowed[worker] = allowed;
            availability.cores[worker] = cores;
            availability.memory_mib[worker] = memory_mib;
        }
        if self.guaranteed {
            limit_to_guaranteed_share(&mut availability, occupancy, plan, self.customer);
        }
        availability
    }

    /// Allocations to evict so that the slots and the cores and memory of each part are free.
    ///
    /// All that overlap the slots are evicted; where more cores or memory are needed, those with
    /// the least loss follow.
    pub fn victims(
        &self,
        occupancy: &Occupancy<'_>,
        slots: &[Slot],
        cores: u32,
        memory_mib: u64,
        now_ms: u64,
    ) -> Vec<usize> {
        let mut victims = Vec::new();
        for slot in slots {
            for &index in &occupancy.workers[slot.worker].allocations {
                let overlap = accelerators_on(&occupancy.allocations[index].slots, slot.worker);
                if overlap & slot.block != 0 && !victims.contains(&index) {
                    victims.push(index);
                }
            }
        }
        for slot in slots {
            let usage = &occupancy.workers[slot.worker];
            let parts = slots.iter().filter(|other| other.worker == slot.worker).count() as i64;
            let mut candidates: Vec<usize> = usage.allocations.clone();
            candidates.retain(|index| {
                !victims.contains(index) && self.may_evict(&occupancy.allocations[*index])
            });
            candidates.sort_by_key(|index| {
                std::cmp::Reverse(eviction_loss(&occupancy.allocations[*index], now_ms))
            });
            loop {
                let freed = |resource: &dyn Fn(&Allocation<'_>) -> i64| -> i64 {
                    let evicted = usage.allocations.iter().filter(|index| victims.contains(index));
                    evicted.map(|index| resource(&occupancy.allocations[*index])).sum()
                };
                let cores_of = |allocation: &Allocation<'_>| {
                    parts_on(allocation, slot.worker) * i64::from(allocation.job.spec.cores)
                };
                let memory_of = |allocation: &Allocation<'_>| {
                    parts_on(allocation, slot.worker) * allocation.job.spec.memory_mib as i64
                };
                let fits = usage.free_cores + freed(&cores_of) >= parts * i64::from(cores)
                    && usage.free_memory_mib + freed(&memory_of) >= parts * memory_mib as i64;
                if fits {
                    break;
                }
                let Some(next) = candidates.pop() else { break };
                victims.push(next);
            }
        }
        victims
    }
}

/// Limits cores and memory of each worker to the share that belongs to the customer's reserved
/// accelerators, less what its allocations in reserved cells use.
pub fn limit_to_guaranteed_share(
    availability: &mut Availability,
    occupancy: &Occupancy<'_>,
    plan: &Plan,
    customer: Option<usize>,
) {
    for (worker, usage) in occupancy.workers.iter().enumerate() {
        let reserved = i64::from(plan.reserved_for(customer, worker).count_ones());
        if reserved == 0 {
            availability.cores[worker] = 0;
            availability.memory_mib[worker] = 0;
            continue;
        }
        let total = i64::from(usage.worker.shape.accelerators.max(1));
        let mut cores = i64::from(usage.worker.shape.cores) * reserved / total;
        let mut memory_mib = usage.worker.shape.memory_mib as i64 * reserved / total;
        for &index in &usage.allocations {
            let allocation = &occupancy.allocations[index];
            if allocation.customer != customer
                || !allocation.in_reserved_cells
                || allocation.stopping
            {
                continue;
            }
            let parts = parts_on(allocation, worker);
            cores -= parts * i64::from(allocation.job.spec.cores);
            memory_mib -= parts * allocation.job.spec.memory_mib as i64;
        }
        availability.cores[worker] = availability.cores[worker].min(cores);
        availability.memory_mib[worker] = availability.memory_mib[worker].min(memory_mib);
    }
}

/// Number of parts of a gang on a worker.
pub fn parts_on(allocation: &Allocation<'_>, worker: usize) -> i64 {
    allocation.slots.iter().filter(|slot| slot.worker == worker).count() as i64
}

/// Work that an eviction loses: accelerator-milliseconds since the gang started, or resumed from
/// its last checkpoint.
pub fn eviction_loss(allocation: &Allocation<'_>, now_ms: u64) -> u64 {
    let Phase::Started(gang) = &allocation.job.phase else { return 0 };
    let spec = &allocation.job.spec;
    let accelerators = u64::from(spec.parts * spec.accelerators.max(1));
    let lost = now_ms.saturating_sub(gang.since_ms).saturating_mul(accelerators);
    let can_repeat = spec.idempotent || allocation.job.checkpoint.is_some();
    if can_repeat { lost } else { lost.saturating_mul(NON_REPEATABLE_FACTOR) }
}

/// Loss of evicting all gangs that overlap a slot.
pub fn slot_loss(occupancy: &Occupancy<'_>, slot: Slot, now_ms: u64) -> u64 {
    let mut sum: u64 = 0;
    for &index in &occupancy.workers[slot.worker].allocations {
        let allocation = &occupancy.allocations[index];
        if accelerators_on(&allocation.slots, slot.worker) & slot.block == 0 {
            continue;
        }
        // An eviction has a cost even if the gang has made no progress yet.
        let eviction_cost = if allocation.stopping { 0 } else { 1_000 };
        sum = sum.saturating_add(eviction_cost + eviction_loss(allocation, now_ms));
    }
    sum
}
