//! What a job needs, and which dimension of it is missing.

use std::hash::{DefaultHasher, Hash, Hasher};

use super::capacity::{Occupancy, Seat};
use super::eviction;
use super::fit::{self, Area};
use super::guarantee::Plan;
use crate::state::job::Job;

/// What decides whether a job finds seats.
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
    bound: bool,
}

impl<'a> Requirement<'a> {
    /// Shape of a job.
    pub fn new(job: &'a Job, board: &Occupancy<'_>) -> Self {
        Self {
            customer: &job.customer,
            parts: job.spec.parts,
            accelerators: job.spec.accelerators,
            cores: job.spec.cores,
            memory_mib: job.spec.memory_mib,
            adjacency: job.spec.adjacency as u8,
            evictable: job.spec.evictable,
            rank: board.rank(job),
            bound: false,
        }
    }

    /// The shape, where a reservation may keep it from seats.
    pub fn bound(self, bound: bool) -> Self {
        Self { bound, ..self }
    }

    /// The shape, where the customer makes no difference.
    pub fn of_anyone(self) -> Self {
        Self { customer: "", ..self }
    }

    /// The shape as a key that outlives its job.
    pub fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.hash(&mut hasher);
        hasher.finish()
    }
}

/// Why the whole fleet, empty, could never run a job; names the limiting dimension.
pub fn infeasibility(fleet: &Occupancy<'_>, plan: &Plan, job: &Job) -> Option<String> {
    if let Some(limit) = limit(fleet, job) {
        return Some(limit);
    }
    let area = Area::free(fleet);
    if fit::find(fleet, job, &area, &|_| 0).is_none() {
        return Some(gang(job));
    }
    if !job.spec.evictable && fit::find(fleet, job, &own(fleet, plan, job), &|_| 0).is_none() {
        return Some(format!(
            "guarantee: the job can't be evicted and does not fit in the guarantee of {}",
            job.customer
        ));
    }
    if job.failed_on.is_empty() {
        return None;
    }
    let fits = |name: &str| fleet.spots.iter().any(|spot| spot.worker.name == name);
    let failed = job.failed_on.keys().filter(|name| fits(name)).count();
    (failed == fleet.spots.len()).then(|| "the job failed on every worker".into())
}

// The one dimension of a part that no worker has.
fn limit(fleet: &Occupancy<'_>, job: &Job) -> Option<String> {
    let (mut accelerators, mut cores, mut memory_mib) = (0, 0, 0);
    for spot in &fleet.spots {
        let shape = &spot.worker.shape;
        accelerators = accelerators.max(shape.accelerators);
        cores = cores.max(shape.cores);
        memory_mib = memory_mib.max(shape.memory_mib);
    }
    let spec = &job.spec;
    if spec.accelerators > accelerators {
        let wanted = spec.accelerators;
        return Some(format!("accelerators: a part needs {wanted}, a worker has {accelerators}"));
    }
    if spec.cores > cores {
        return Some(format!("cores: a part needs {}, a worker has {cores}", spec.cores));
    }
    if spec.memory_mib > memory_mib {
        let wanted = spec.memory_mib;
        return Some(format!("memory: a part needs {wanted} MiB, a worker has {memory_mib}"));
    }
    None
}

fn gang(job: &Job) -> String {
    let spec = &job.spec;
    format!(
        "gang: {} parts of {} accelerators with adjacency {} exceed the fleet",
        spec.parts, spec.accelerators, spec.adjacency
    )
}

fn own(board: &Occupancy<'_>, plan: &Plan, job: &Job) -> Area {
    let mut area = Area::free(board);
    let customer = board.customer(job);
    for (at, allowed) in area.allowed.iter_mut().enumerate() {
        *allowed &= plan.own(customer, at);
    }
    eviction::limit_to_share(&mut area, board, plan, customer);
    area
}

/// Which dimension a waiting job lacks, and whom it waits for.
pub fn describe_shortage(board: &Occupancy<'_>, plan: &Plan, job: &Job) -> String {
    let area = match job.spec.evictable {
        true => Area::free(board),
        false => own(board, plan, job),
    };
    let place = match job.spec.evictable {
        true => "in the cluster".to_string(),
        false => format!("in the guarantee of {} (it can't be evicted)", job.customer),
    };
    let free: u32 = area.allowed.iter().map(|allowed| allowed.count_ones()).sum();
    let wanted = job.spec.parts * job.spec.accelerators;
    let dimension = if free < wanted {
        format!("accelerators: {wanted} needed, {free} free {place}")
    } else if fits_without_cores(board, &area, job) {
        format!("cores or memory {place}")
    } else {
        format!("adjacent accelerators: {free} free {place} are scattered")
    };
    match first_ending(board, plan, job) {
        Some(id) => format!("{dimension}; the next to end is {id}"),
        None => dimension,
    }
}

fn fits_without_cores(board: &Occupancy<'_>, area: &Area, job: &Job) -> bool {
    let mut area = area.clone();
    area.cores.fill(i64::MAX);
    area.memory_mib.fill(i64::MAX);
    fit::find(board, job, &area, &|_| 0).is_some()
}

fn first_ending<'b>(board: &Occupancy<'b>, plan: &Plan, job: &Job) -> Option<&'b str> {
    let customer = board.customer(job);
    let own = |seat: &Seat| plan.own(customer, seat.worker) != 0;
    let mut first: Option<(u64, &str)> = None;
    for holder in &board.holders {
        if !job.spec.evictable && !holder.seats.iter().any(own) {
            continue;
        }
        if first.is_none_or(|(ends_ms, _)| holder.ends_ms < ends_ms) {
            first = Some((holder.ends_ms, &holder.job.id));
        }
    }
    first.map(|(_, id)| id)
}
