//! Search for slots for all parts of a gang.

use super::capacity::{Occupancy, Slot};
use super::cell;
use crate::state::job::{Adjacency, Job};

/// Resources of each worker that a gang may use.
#[derive(Clone, Debug)]
pub struct Availability {
    /// Accelerators as bit masks, indexed by worker.
    pub allowed: Vec<u32>,
    /// Processor cores, indexed by worker.
    pub cores: Vec<i64>,
    /// Memory in MiB, indexed by worker.
    pub memory_mib: Vec<i64>,
}

impl Availability {
    /// No resources on any worker.
    pub fn empty(workers: usize) -> Self {
        Self { allowed: vec![0; workers], cores: vec![0; workers], memory_mib: vec![0; workers] }
    }

    /// Resources that are free now.
    pub fn free(occupancy: &Occupancy<'_>) -> Self {
        let mut availability = Self::empty(occupancy.workers.len());
        for (worker, usage) in occupancy.workers.iter().enumerate() {
            if !usage.worker.is_schedulable {
                continue;
            }
            availability.allowed[worker] = usage.free_accelerators();
            availability.cores[worker] = usage.free_cores;
            availability.memory_mib[worker] = usage.free_memory_mib;
        }
        availability
    }

    fn total_accelerators(&self) -> u32 {
        self.allowed.iter().map(|allowed| allowed.count_ones()).sum()
    }

    // Number of parts of a job for which the worker has enough cores and memory.
    fn max_parts(&self, worker: usize, job: &Job) -> usize {
        let mut max_parts = job.spec.parts as i64;
        if job.spec.cores > 0 {
            max_parts = max_parts.min(self.cores[worker] / i64::from(job.spec.cores));
        }
        if job.spec.memory_mib > 0 {
            max_parts = max_parts.min(self.memory_mib[worker] / job.spec.memory_mib as i64);
        }
        max_parts.max(0) as usize
    }
}

/// Cost of one slot; lower is better.
pub type Cost<'a> = dyn Fn(Slot) -> u64 + 'a;

/// Finds the cheapest slots for all parts, as close together as possible: on one worker, in one
/// rack, in one availability zone, then anywhere the job's adjacency allows.
pub fn find_slots(
    occupancy: &Occupancy<'_>,
    job: &Job,
    limits: &Availability,
    cost: &Cost<'_>,
) -> Option<Vec<Slot>> {
    if limits.total_accelerators() < job.spec.parts * job.spec.accelerators {
        return None;
    }
    if job.spec.parts > 1 {
        if let Some(slots) =
            find_in_groups(occupancy.all_workers.chunks(1), occupancy, job, limits, cost)
        {
            return Some(slots);
        }
        if job.spec.adjacency == Adjacency::Worker {
            return None;
        }
        if let Some(slots) =
            find_in_groups(as_slices(&occupancy.racks), occupancy, job, limits, cost)
        {
            return Some(slots);
        }
        if job.spec.adjacency == Adjacency::Rack {
            return None;
        }
        if let Some(slots) =
            find_in_groups(as_slices(&occupancy.zones), occupancy, job, limits, cost)
        {
            return Some(slots);
        }
        if job.spec.adjacency == Adjacency::Zone {
            return None;
        }
    }
    find_in_groups(std::iter::once(occupancy.all_workers.as_slice()), occupancy, job, limits, cost)
}

fn as_slices(groups: &[Vec<usize>]) -> impl Iterator<Item = &[usize]> {
    groups.iter().map(Vec::as_slice)
}

// Finds the cheapest slots within one of the groups. Of equally cheap groups the one with the
// fewest available accelerators is taken.
fn find_in_groups<'g>(
    groups: impl Iterator<Item = &'g [usize]>,
    occupancy: &Occupancy<'_>,
    job: &Job,
    limits: &Availability,
    cost: &Cost<'_>,
) -> Option<Vec<Slot>> {
    let mut best: Option<((u64, u32), Vec<Slot>)> = None;
    let required = job.spec.parts * job.spec.accelerators;
    for group in groups {
        let free: u32 = group.iter().map(|worker| limits.allowed[*worker].count_ones()).sum();
        if free < required {
            continue;
        }
        let Some((sum, slots)) = fit_group(group, occupancy, job, limits, cost) else { continue };
        if best.as_ref().is_none_or(|(least, _)| (sum, free) < *least) {
            best = Some(((sum, free), slots));
        }
    }
    best.map(|(_, slots)| slots)
}

// Finds the cheapest slots on the workers of one group, with their total cost.
fn fit_group(
    group: &[usize],
    occupancy: &Occupancy<'_>,
    job: &Job,
    limits: &Availability,
    cost: &Cost<'_>,
) -> Option<(u64, Vec<Slot>)> {
    let spec = &job.spec;
    let parts = spec.parts as usize;
    let mut candidates: Vec<(u64, Slot)> = Vec::new();
    for &worker in group {
        let max_parts = limits.max_parts(worker, job);
        if max_parts == 0 {
            continue;
        }
        let shape = &occupancy.workers[worker].worker.shape;
        let start = candidates.len();
        if spec.accelerators == 0 {
            if !occupancy.workers[worker].worker.is_schedulable {
                continue;
            }
            let slot = Slot { worker, block: 0 };
            candidates.extend(std::iter::repeat_n((cost(slot), slot), max_parts));
            continue;
        }
        for block in cell::blocks(limits.allowed[worker], shape.accelerators, spec.accelerators) {
            let slot = Slot { worker, block };
            candidates.push((cost(slot), slot));
        }
        candidates[start..].sort_by_key(|(cost, _)| *cost);
        candidates.truncate(start + max_parts);
    }
    if candidates.len() < parts {
        return None;
    }
    candidates.sort_by_key(|(cost, slot)| (*cost, slot.worker));
    candidates.truncate(parts);
    let total_cost = candidates.iter().map(|(cost, _)| *cost).fold(0, u64::saturating_add);
    Some((total_cost, candidates.into_iter().map(|(_, slot)| slot).collect()))
}
