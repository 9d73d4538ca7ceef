//! Who holds what: one linear pass over workers and live jobs, by index.

use std::collections::HashMap;

use super::estimate::Estimator;
use super::{View, Worker, mask};
use crate::state::document::Document;
use crate::state::job::{Job, Part, Phase};

/// Rank of a kind that the document does not name.
const UNRANKED: u8 = u8::MAX;

/// A worker and what is free on it.
#[derive(Clone, Debug)]
pub struct Spot<'a> {
    /// The worker.
    pub worker: &'a Worker,
    /// Accelerators that are held.
    pub held: u32,
    /// Accelerators kept for jobs whose evictions are under way.
    pub claimed: u32,
    /// Free processor cores; below zero where more is held than the worker has.
    pub cores: i64,
    /// Free memory, in MiB.
    pub memory_mib: i64,
    /// Indices of holders that have a part here.
    pub holders: Vec<usize>,
}

impl Spot<'_> {
    /// Accelerators that new work may take now.
    pub fn free(&self) -> u32 {
        if !self.worker.is_schedulable {
            return 0;
        }
        self.all() & !self.held & !self.claimed
    }

    /// All accelerators.
    pub fn all(&self) -> u32 {
        mask(self.worker.shape.accelerators)
    }
}

/// A part by the index of its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seat {
    /// Index of the worker.
    pub worker: usize,
    /// Accelerators, one bit each.
    pub block: u32,
}

/// A gang that holds accelerators.
#[derive(Clone, Debug)]
pub struct Holder<'a> {
    /// Its job.
    pub job: &'a Job,
    /// Index of its customer, if the document names it.
    pub customer: Option<usize>,
    /// Rank of its kind.
    pub rank: u8,
    /// Parts on live workers.
    pub seats: Vec<Seat>,
    /// Whether it was placed inside its customer's guarantee.
    pub guaranteed: bool,
    /// Whether it lies inside its customer's reserved cells now.
    pub covered: bool,
    /// Whether it is being stopped.
    pub stopping: bool,
    /// When it is expected to end, in wall-clock milliseconds.
    pub ends_ms: u64,
}

/// The cluster by index.
#[derive(Clone, Debug)]
pub struct Occupancy<'a> {
    /// Workers, in the order of the view.
    pub spots: Vec<Spot<'a>>,
    /// Gangs that hold accelerators.
    pub holders: Vec<Holder<'a>>,
    /// Indices of all workers.
    pub order: Vec<usize>,
    /// Indices of the workers of each rack.
    pub racks: Vec<Vec<usize>>,
    /// Indices of the workers of each availability zone.
    pub zones: Vec<Vec<usize>>,
    by_name: HashMap<&'a str, usize>,
    customers: HashMap<&'a str, usize>,
    ranks: HashMap<&'a str, u8>,
}

impl<'a> Occupancy<'a> {
    /// Reads the view once.
    pub fn new(view: &View<'a>, estimate: &Estimator) -> Self {
        let mut board = Self::empty(view.document, view.workers);
        for job in view.jobs.live.values() {
            board.hold(job, estimate, view.now_ms);
        }
        board
    }

    /// A board on which nothing is held.
    pub fn empty(document: &'a Document, workers: &'a [Worker]) -> Self {
        let mut board = Self {
            spots: Vec::with_capacity(workers.len()),
            holders: Vec::new(),
            order: (0..workers.len()).collect(),
            racks: Vec::new(),
            zones: Vec::new(),
            by_name: HashMap::with_capacity(workers.len()),
            customers: HashMap::new(),
            ranks: HashMap::new(),
        };
        for (at, customer) in document.customers.iter().enumerate() {
            board.customers.insert(&customer.name, at);
        }
        for kind in &document.kinds {
            board.ranks.insert(&kind.name, kind.rank);
        }
        let mut racks: HashMap<(&str, &str), usize> = HashMap::new();
        let mut zones: HashMap<&str, usize> = HashMap::new();
        for (at, worker) in workers.iter().enumerate() {
            let rack = racks.entry((&worker.zone, &worker.rack)).or_insert(board.racks.len());
            group(&mut board.racks, *rack, at);
            let zone = zones.entry(&worker.zone).or_insert(board.zones.len());
            group(&mut board.zones, *zone, at);
            board.by_name.insert(&worker.name, at);
            board.spots.push(Spot {
                worker,
                held: 0,
                claimed: 0,
                cores: worker.shape.cores.into(),
                memory_mib: worker.shape.memory_mib as i64,
                holders: Vec::new(),
            });
        }
        board
    }

    fn hold(&mut self, job: &'a Job, estimate: &Estimator, now_ms: u64) {
        let Some(gang) = job.phase.gang() else { return };
        let mut seats = Vec::with_capacity(gang.parts.len());
        for part in &gang.parts {
            let Some(&worker) = self.by_name.get(part.worker.as_str()) else { continue };
            seats.push(Seat { worker, block: part.accelerators });
        }
        self.add(Holder {
            job,
            customer: self.customer(job),
            rank: self.rank(job),
            seats,
            guaranteed: gang.guaranteed,
            covered: false,
            stopping: matches!(job.phase, Phase::Stopping { .. }),
            ends_ms: gang.since_ms.saturating_add(estimate.run_ms(job)).max(now_ms + 1),
        });
    }

    /// Adds a holder and takes its seats.
    pub fn add(&mut self, holder: Holder<'a>) {
        let at = self.holders.len();
        let spec = &holder.job.spec;
        for seat in &holder.seats {
            let spot = &mut self.spots[seat.worker];
            spot.held |= seat.block;
            spot.cores -= i64::from(spec.cores);
            spot.memory_mib -= spec.memory_mib as i64;
            if spot.holders.last() != Some(&at) {
                spot.holders.push(at);
            }
        }
        self.holders.push(holder);
    }

    /// Index of a worker.
    pub fn worker(&self, name: &str) -> Option<usize> {
        self.by_name.get(name).copied()
    }

    /// Index of a job's customer.
    pub fn customer(&self, job: &Job) -> Option<usize> {
        self.customers.get(job.customer.as_str()).copied()
    }

    /// Index of the customer of that name.
    pub fn customer_named(&self, name: &str) -> Option<usize> {
        self.customers.get(name).copied()
    }

    /// Rank of a job's kind.
    pub fn rank(&self, job: &Job) -> u8 {
        self.ranks.get(job.spec.kind.as_str()).copied().unwrap_or(UNRANKED)
    }

    /// Parts by the names of their workers.
    pub fn parts(&self, seats: &[Seat]) -> Vec<Part> {
        let mut parts = Vec::with_capacity(seats.len());
        for seat in seats {
            let worker = self.spots[seat.worker].worker.name.clone();
            parts.push(Part { worker, accelerators: seat.block });
        }
        parts
    }
}

fn group(groups: &mut Vec<Vec<usize>>, at: usize, worker: usize) {
    if at == groups.len() {
        groups.push(Vec::new());
    }
    groups[at].push(worker);
}
