//! Allocated and free capacity of every worker, built in one pass over workers and live jobs.
//!
//! Workers, customers and allocations are referred to by index.

use std::collections::HashMap;

use super::estimate::Estimator;
use super::{View, Worker, mask};
use crate::state::document::Document;
use crate::state::job::{Job, Part, Phase};

/// Rank of a kind that the document does not list: the least urgent.
const UNKNOWN_KIND_RANK: u8 = u8::MAX;

/// What is allocated and free on a worker.
#[derive(Clone, Debug)]
pub struct Usage<'a> {
    /// The worker.
    pub worker: &'a Worker,
    /// Accelerators that gangs hold, one bit each.
    pub allocated: u32,
    /// Accelerators claimed by jobs that wait for evictions to finish, one bit each.
    pub claimed: u32,
    /// Free processor cores; negative if more are allocated than the worker has.
    pub free_cores: i64,
    /// Free memory, in MiB; negative if more is allocated than the worker has.
    pub free_memory_mib: i64,
    /// Indices of the allocations with a part on this worker.
    pub allocations: Vec<usize>,
}

impl Usage<'_> {
    /// Accelerators that new work can use now.
    pub fn free_accelerators(&self) -> u32 {
        if !self.worker.is_schedulable {
            return 0;
        }
        self.all_accelerators() & !self.allocated & !self.claimed
    }

    /// All accelerators of the worker, allocated or not.
    pub fn all_accelerators(&self) -> u32 {
        mask(self.worker.shape.accelerators)
    }
}

/// Accelerators on one worker that hold one part of a gang.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Slot {
    /// Index of the worker.
    pub worker: usize,
    /// Accelerators, one bit each; 0 for a part that needs none.
    pub block: u32,
}

/// Resources held by the gang of one job.
#[derive(Clone, Debug)]
pub struct Allocation<'a> {
    /// The job.
    pub job: &'a Job,
    /// Index of the job's customer, if the document lists the customer.
    pub customer: Option<usize>,
    /// Rank of the job's kind.
    pub rank: u8,
    /// Slots of its parts that are on live workers.
    pub slots: Vec<Slot>,
    /// Whether the gang counted towards its customer's guarantee when it was placed.
    pub guaranteed: bool,
    /// Whether all its slots are in cells that are reserved for its customer now.
    pub in_reserved_cells: bool,
    /// Whether the gang is being stopped.
    pub stopping: bool,
    /// Expected end, in wall-clock milliseconds.
    pub ends_ms: u64,
}

/// Allocations of the whole cluster.
#[derive(Clone, Debug)]
pub struct Occupancy<'a> {
    /// Usage of each worker, in the order of the view.
    pub workers: Vec<Usage<'a>>,
    /// Allocations of all placed gangs.
    pub allocations: Vec<Allocation<'a>>,
    /// Indices of all workers.
    pub all_workers: Vec<usize>,
    /// Indices of the workers of each rack.
    pub racks: Vec<Vec<usize>>,
    /// Indices of the workers of each availability zone.
    pub zones: Vec<Vec<usize>>,
    by_name: HashMap<&'a str, usize>,
    customers: HashMap<&'a str, usize>,
    ranks: HashMap<&'a str, u8>,
}

impl<'a> Occupancy<'a> {
    /// Collects the allocations of all live jobs.
    pub fn new(view: &View<'a>, estimator: &Estimator) -> Self {
        let mut occupancy = Self::empty(view.document, view.workers);
        for job in view.jobs.live.values() {
            occupancy.add_gang(job, estimator, view.now_ms);
        }
        occupancy
    }

    /// Creates the state in which nothing is allocated.
    pub fn empty(document: &'a Document, workers: &'a [Worker]) -> Self {
        let mut occupancy = Self {
            workers: Vec::with_capacity(workers.len()),
            allocations: Vec::new(),
            all_workers: (0..workers.len()).collect(),
            racks: Vec::new(),
            zones: Vec::new(),
            by_name: HashMap::with_capacity(workers.len()),
            customers: HashMap::new(),
            ranks: HashMap::new(),
        };
        for (index, customer) in document.customers.iter().enumerate() {
            occupancy.customers.insert(&customer.name, index);
        }
        for kind in &document.kinds {
            occupancy.ranks.insert(&kind.name, kind.rank);
        }
        let mut racks: HashMap<(&str, &str), usize> = HashMap::new();
        let mut zones: HashMap<&str, usize> = HashMap::new();
        for (index, worker) in workers.iter().enumerate() {
            let rack = racks.entry((&worker.zone, &worker.rack)).or_insert(occupancy.racks.len());
            add_to_group(&mut occupancy.racks, *rack, index);
            let zone = zones.entry(&worker.zone).or_insert(occupancy.zones.len());
            add_to_group(&mut occupancy.zones, *zone, index);
            occupancy.by_name.insert(&worker.name, index);
            occupancy.workers.push(Usage {
                worker,
                allocated: 0,
                claimed: 0,
                free_cores: worker.shape.cores.into(),
                free_memory_mib: worker.shape.memory_mib as i64,
                allocations: Vec::new(),
            });
        }
        occupancy
    }

    fn add_gang(&mut self, job: &'a Job, estimator: &Estimator, now_ms: u64) {
        let Some(gang) = job.phase.gang() else { return };
        let mut slots = Vec::with_capacity(gang.parts.len());
        for part in &gang.parts {
            let Some(&worker) = self.by_name.get(part.worker.as_str()) else { continue };
            slots.push(Slot { worker, block: part.accelerators });
        }
        self.add(Allocation {
            job,
            customer: self.customer_of(job),
            rank: self.rank_of(job),
            slots,
            guaranteed: gang.guaranteed,
            in_reserved_cells: false,
            stopping: matches!(job.phase, Phase::Stopping { .. }),
            ends_ms: gang.since_ms.saturating_add(estimator.run_ms(job)).max(now_ms + 1),
        });
    }

    /// Adds an allocation and subtracts its resources from the workers.
    pub fn add(&mut self, allocation: Allocation<'a>) {
        let index = self.allocations.len();
        let spec = &allocation.job.spec;
        for slot in &allocation.slots {
            let usage = &mut self.workers[slot.worker];
            usage.allocated |= slot.block;
            usage.free_cores -= i64::from(spec.cores);
            usage.free_memory_mib -= spec.memory_mib as i64;
            if usage.allocations.last() != Some(&index) {
                usage.allocations.push(index);
            }
        }
        self.allocations.push(allocation);
    }

    /// Index of the worker with the given name.
    pub fn worker_index(&self, name: &str) -> Option<usize> {
        self.by_name.get(name).copied()
    }

    /// Index of a job's customer.
    pub fn customer_of(&self, job: &Job) -> Option<usize> {
        self.customers.get(job.customer.as_str()).copied()
    }

    /// Index of the customer with the given name.
    pub fn customer_index(&self, name: &str) -> Option<usize> {
        self.customers.get(name).copied()
    }

    /// Rank of a job's kind.
    pub fn rank_of(&self, job: &Job) -> u8 {
        self.ranks.get(job.spec.kind.as_str()).copied().unwrap_or(UNKNOWN_KIND_RANK)
    }

    /// Converts slots to parts, which name their workers.
    pub fn to_parts(&self, slots: &[Slot]) -> Vec<Part> {
        let mut parts = Vec::with_capacity(slots.len());
        for slot in slots {
            let worker = self.workers[slot.worker].worker.name.clone();
            parts.push(Part { worker, accelerators: slot.block });
        }
        parts
    }
}

fn add_to_group(groups: &mut Vec<Vec<usize>>, index: usize, worker: usize) {
    if index == groups.len() {
        groups.push(Vec::new());
    }
    groups[index].push(worker);
}
