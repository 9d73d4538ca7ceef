//! Resource requirements of jobs, and which of them can't be met.

use std::hash::{DefaultHasher, Hash, Hasher};

use super::capacity::{Occupancy, Slot};
use super::eviction;
use super::fit::{self, Availability};
use super::guarantee::Plan;
use crate::state::job::Job;

/// Everything that decides whether slots can be found for a job; jobs with equal requirements
/// succeed or fail alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Requirement<'a> {
    customer: &'a str,
    parts: u32,
    accelerators: u32,
    cores: u32,
    memory_mib: u64,
    adjacency: u8,
    evictable: bool,
    rank: u8,
    respects_reservation: bool,
}

impl<'a> Requirement<'a> {
    /// Requirement of a job.
    pub fn new(job: &'a Job, occupancy: &Occupancy<'_>) -> Self {
        Self {
            customer: &job.customer,
            parts: job.spec.parts,
            accelerators: job.spec.accelerators,
            cores: job.spec.cores,
            memory_mib: job.spec.memory_mib,
            adjacency: job.spec.adjacency as u8,
            evictable: job.spec.evictable,
            rank: occupancy.rank_of(job),
            respects_reservation: false,
        }
    }

    /// Same requirement; `respects_reservation` says whether reserved slots are off limits.
    pub fn with_reservation(self, respects_reservation: bool) -> Self {
        Self { respects_reservation, ..self }
    }

    /// Same requirement without the customer, where that makes no difference.
    pub fn for_any_customer(self) -> Self {
        Self { customer: "", ..self }
    }

    /// Hash of the requirement, which can be stored without borrowing the job.
    pub fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.hash(&mut hasher);
        hasher.finish()
    }
}

/// Returns why a job could never run, even with the whole fleet empty, and names the resource that
/// is insufficient. Returns nothing if the job could run.
pub fn infeasibility(fleet: &Occupancy<'_>, plan: &Plan, job: &Job) -> Option<String> {
    if let Some(exceeded) = exceeded_dimension(fleet, job) {
        return Some(exceeded);
    }
    let availability = Availability::free(fleet);
    if fit::find_slots(fleet, job, &availability, &|_| 0).is_none() {
        return Some(unplaceable_gang(job));
    }
    if !job.spec.evictable
        && fit::find_slots(fleet, job, &guarantee_availability(fleet, plan, job), &|_| 0).is_none()
    {
        return Some(format!(
            "guarantee: the job can't be evicted and does not fit in the guarantee of {}",
            job.customer
        ));
    }
    if job.failed_on.is_empty() {
        return None;
    }
    let is_known = |name: &str| fleet.workers.iter().any(|usage| usage.worker.name == name);
    let failed = job.failed_on.keys().filter(|name| is_known(name)).count();
    (failed == fleet.workers.len()).then(|| "the job failed on every worker".into())
}

// The first resource of which a part needs more than any worker has.
fn exceeded_dimension(fleet: &Occupancy<'_>, job: &Job) -> Option<String> {
    let (mut accelerators, mut cores, mut memory_mib) = (0, 0, 0);
    for usage in &fleet.workers {
        let shape = &usage.worker.shape;
        accelerators = accelerators.max(shape.accelerators);
        cores = cores.max(shape.cores);
        memory_mib = memory_mib.max(shape.memory_mib);
    }
    let spec = &job.spec;
    if spec.accelerators > accelerators {
        let required = spec.accelerators;
        return Some(format!("accelerators: a part needs {required}, a worker has {accelerators}"));
    }
    if spec.cores > cores {
        return Some(format!("cores: a part needs {}, a worker has {cores}", spec.cores));
    }
    if spec.memory_mib > memory_mib {
        let required = spec.memory_mib;
        return Some(format!("memory: a part needs {required} MiB, a worker has {memory_mib}"));
    }
    None
}

fn unplaceable_gang(job: &Job) -> String {
    let spec = &job.spec;
    format!(
        "gang: {} parts of {} accelerators with adjacency {} exceed the fleet",
        spec.parts, spec.accelerators, spec.adjacency
    )
}

// Free resources within the cells reserved for the job's customer.
fn guarantee_availability(occupancy: &Occupancy<'_>, plan: &Plan, job: &Job) -> Availability {
    let mut availability = Availability::free(occupancy);
    let customer = occupancy.customer_of(job);
    for (worker, allowed) in availability.allowed.iter_mut().enumerate() {
        *allowed &= plan.reserved_for(customer, worker);
    }
    eviction::limit_to_guaranteed_share(&mut availability, occupancy, plan, customer);
    availability
}

/// Describes which resource a waiting job lacks, and which job is expected to end next.
pub fn describe_shortage(occupancy: &Occupancy<'_>, plan: &Plan, job: &Job) -> String {
    let availability = match job.spec.evictable {
        true => Availability::free(occupancy),
        false => guarantee_availability(occupancy, plan, job),
    };
    let place = match job.spec.evictable {
        true => "in the cluster".to_string(),
        false => format!("in the guarantee of {} (it can't be evicted)", job.customer),
    };
    let free: u32 = availability.allowed.iter().map(|allowed| allowed.count_ones()).sum();
    let required = job.spec.parts * job.spec.accelerators;
    let dimension = if free < required {
        format!("accelerators: {required} needed, {free} free {place}")
    } else if fits_ignoring_cores_and_memory(occupancy, &availability, job) {
        format!("cores or memory {place}")
    } else {
        format!("adjacent accelerators: {free} free {place} are scattered")
    };
    match next_to_end(occupancy, plan, job) {
        Some(id) => format!("{dimension}; the next to end is {id}"),
        None => dimension,
    }
}

fn fits_ignoring_cores_and_memory(
    occupancy: &Occupancy<'_>,
    availability: &Availability,
    job: &Job,
) -> bool {
    let mut availability = availability.clone();
    availability.cores.fill(i64::MAX);
    availability.memory_mib.fill(i64::MAX);
    fit::find_slots(occupancy, job, &availability, &|_| 0).is_some()
}

fn next_to_end<'b>(occupancy: &Occupancy<'b>, plan: &Plan, job: &Job) -> Option<&'b str> {
    let customer = occupancy.customer_of(job);
    let is_reserved = |slot: &Slot| plan.reserved_for(customer, slot.worker) != 0;
    let mut first: Option<(u64, &str)> = None;
    for allocation in &occupancy.allocations {
        if !job.spec.evictable && !allocation.slots.iter().any(is_reserved) {
            continue;
        }
        if first.is_none_or(|(ends_ms, _)| allocation.ends_ms < ends_ms) {
            first = Some((allocation.ends_ms, &allocation.job.id));
        }
    }
    first.map(|(_, id)| id)
}
