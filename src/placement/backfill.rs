//! Reservation for the oldest large job. Smaller jobs are backfilled only if they don't delay it.

use super::capacity::{Occupancy, Slot};
use super::fit::{self, Availability};
use super::guarantee::accelerators_on;
use super::queue::Entry;

/// Accelerators reserved for a waiting job from a point in time on.
#[derive(Clone, Debug)]
pub struct Reservation {
    /// ID of the job.
    pub job: String,
    /// Rank of the job's kind.
    pub rank: u8,
    /// Bit mask of reserved accelerators, indexed by worker.
    pub blocks: Vec<u32>,
    /// Expected time at which the last of them becomes free, in wall-clock milliseconds.
    pub start_ms: u64,
}

impl Reservation {
    /// Reserves the slots that are expected to become free first.
    pub fn new(occupancy: &Occupancy<'_>, entry: &Entry<'_>) -> Option<Self> {
        let availability = fleet_availability(occupancy);
        let cost = |slot: Slot| expected_free_ms(occupancy, slot);
        let slots = fit::find_slots(occupancy, entry.job, &availability, &cost)?;
        let mut blocks = vec![0; occupancy.workers.len()];
        let mut start_ms = 0;
        for slot in slots {
            blocks[slot.worker] |= slot.block;
            start_ms = start_ms.max(expected_free_ms(occupancy, slot));
        }
        Some(Self { job: entry.job.id.clone(), rank: entry.rank, blocks, start_ms })
    }

    /// Whether a job would still occupy its accelerators when the reservation starts, so that it
    /// must not use reserved ones.
    pub fn forbids(&self, entry: &Entry<'_>, now_ms: u64) -> bool {
        // Operators set the ranks, so a job of a more urgent kind never waits for a reservation.
        let applies = entry.rank >= self.rank && entry.job.id != self.job;
        applies && now_ms.saturating_add(entry.run_ms) > self.start_ms
    }
}

// All resources of the schedulable workers, in use or not, except claimed accelerators.
fn fleet_availability(occupancy: &Occupancy<'_>) -> Availability {
    let mut availability = Availability::empty(occupancy.workers.len());
    for (worker, usage) in occupancy.workers.iter().enumerate() {
        if !usage.worker.is_schedulable {
            continue;
        }
        availability.allowed[worker] = usage.all_accelerators() & !usage.claimed;
        availability.cores[worker] = usage.worker.shape.cores.into();
        availability.memory_mib[worker] = usage.worker.shape.memory_mib as i64;
    }
    availability
}

fn expected_free_ms(occupancy: &Occupancy<'_>, slot: Slot) -> u64 {
    let mut free_ms = 0;
    for &index in &occupancy.workers[slot.worker].allocations {
        let allocation = &occupancy.allocations[index];
        if accelerators_on(&allocation.slots, slot.worker) & slot.block != 0 {
            free_ms = free_ms.max(allocation.ends_ms);
        }
    }
    free_ms
}
