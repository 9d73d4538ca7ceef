//! Assignment of guarantees to concrete cells of the live workers.

use std::collections::BTreeMap;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::capacity::{Occupancy, Slot};
use super::{Worker, cell};
use crate::state::document::{Cell, Document, Fault};

/// Cell levels in packing order, largest first: a small cell must not split the last space that a
/// large one needs.
const LEVELS: [Cell; 6] = [Cell::Rack, Cell::Worker, Cell::Eight, Cell::Four, Cell::Two, Cell::One];

/// Guaranteed cells of one level that do not fit on the live workers.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display(
    "guarantee of {customer} at risk: {missing} of {count} cells of level {cell} have no place"
)]
pub struct Risk {
    /// Name of the customer.
    pub customer: String,
    /// Level of the cells.
    pub cell: Cell,
    /// Number of cells guaranteed.
    pub count: u32,
    /// Number of cells that do not fit.
    pub missing: u32,
}

/// A cell reserved for a customer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// Index of the customer.
    pub customer: usize,
    /// Level of the cell.
    pub cell: Cell,
    /// Accelerators of the cell; a rack cell has one slot for each worker.
    pub slots: Vec<Slot>,
}

/// Reserved cells of all guarantees.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Cells that have been assigned.
    pub assignments: Vec<Assignment>,
    /// Cells that could not be assigned.
    pub risks: Vec<Risk>,
    // Accelerator masks, indexed by customer and worker.
    reserved_by_customer: Vec<Vec<u32>>,
    // Accelerator masks over all customers, indexed by worker.
    reserved: Vec<u32>,
}

impl Plan {
    /// Accelerators of a worker that are reserved for a customer, as a bit mask.
    pub fn reserved_for(&self, customer: Option<usize>, worker: usize) -> u32 {
        let masks = customer.and_then(|customer| self.reserved_by_customer.get(customer));
        masks.and_then(|masks| masks.get(worker)).copied().unwrap_or(0)
    }

    /// Total number of accelerators reserved for a customer.
    pub fn reserved_count(&self, customer: Option<usize>) -> u32 {
        let masks = customer.and_then(|customer| self.reserved_by_customer.get(customer));
        masks.map_or(0, |masks| masks.iter().map(|block| block.count_ones()).sum())
    }

    /// Accelerators of a worker that are reserved for any customer, as a bit mask.
    pub fn reserved(&self, worker: usize) -> u32 {
        self.reserved.get(worker).copied().unwrap_or(0)
    }

    /// Marks the allocations that lie entirely in cells reserved for their customers.
    pub fn mark_allocations(&self, occupancy: &mut Occupancy<'_>) {
        for allocation in &mut occupancy.allocations {
            let is_reserved = |slot: &Slot| {
                let reserved = self.reserved_for(allocation.customer, slot.worker);
                reserved != 0 && slot.block & !reserved == 0
            };
            allocation.in_reserved_cells = allocation.slots.iter().all(is_reserved);
        }
    }

    fn assign(&mut self, assignment: Assignment) {
        for slot in &assignment.slots {
            self.reserved_by_customer[assignment.customer][slot.worker] |= slot.block;
            self.reserved[slot.worker] |= slot.block;
        }
        self.assignments.push(assignment);
    }
}

/// Assigns cells to all guarantees, and keeps cells of `old` in place where possible.
///
/// If keeping them leaves some cells without space, packs from scratch and takes the result with
/// fewer cells missing.
pub fn pack(
    document: &Document,
    occupancy: &Occupancy<'_>,
    old: &[Assignment],
    rack_size: u32,
) -> Plan {
    let stable = Packer::new(document, occupancy, rack_size).run(old);
    if stable.risks.is_empty() || old.is_empty() {
        return stable;
    }
    let fresh = Packer::new(document, occupancy, rack_size).run(&[]);
    if fresh.missing() < stable.missing() { fresh } else { stable }
}

impl Plan {
    fn missing(&self) -> u32 {
        self.risks.iter().map(|risk| risk.missing).sum()
    }
}

/// Number of accelerators of the largest rack. A rack with fewer can't serve as a rack cell.
pub fn rack_size(occupancy: &Occupancy<'_>) -> u32 {
    let mut largest = 0;
    for rack in &occupancy.racks {
        largest = largest.max(rack_accelerators(occupancy, rack));
    }
    largest
}

fn rack_accelerators(occupancy: &Occupancy<'_>, rack: &[usize]) -> u32 {
    rack.iter().map(|&worker| occupancy.workers[worker].worker.shape.accelerators).sum()
}

struct Packer<'a, 'b> {
    document: &'a Document,
    occupancy: &'a Occupancy<'b>,
    rack_size: u32,
    plan: Plan,
    // Cells still to be assigned, by customer and level.
    remaining: BTreeMap<(usize, Cell), u32>,
    // Allocations with accelerators, indexed by worker.
    work: Vec<Vec<Work>>,
    // Whether a customer has work that counts towards its guarantee, indexed by customer.
    has_guaranteed_work: Vec<bool>,
}

/// Accelerators that one part of a gang holds on a worker.
#[derive(Clone, Copy)]
struct Work {
    block: u32,
    customer: Option<usize>,
    guaranteed: bool,
    // Whether it must not be displaced by another customer's cell.
    pinned: bool,
}

impl<'a, 'b> Packer<'a, 'b> {
    fn new(document: &'a Document, occupancy: &'a Occupancy<'b>, rack_size: u32) -> Self {
        let workers = occupancy.workers.len();
        let plan = Plan {
            reserved_by_customer: vec![vec![0; workers]; document.customers.len()],
            reserved: vec![0; workers],
            ..Plan::default()
        };
        let mut remaining = BTreeMap::new();
        for (index, customer) in document.customers.iter().enumerate() {
            for guarantee in &customer.guarantee {
                *remaining.entry((index, guarantee.cell)).or_insert(0) += guarantee.count;
            }
        }
        let mut packer = Self {
            document,
            occupancy,
            rack_size,
            plan,
            remaining,
            work: vec![Vec::new(); workers],
            has_guaranteed_work: vec![false; document.customers.len()],
        };
        packer.collect_work();
        packer
    }

    fn collect_work(&mut self) {
        for allocation in &self.occupancy.allocations {
            if let Some(customer) = allocation.customer.filter(|_| allocation.guaranteed) {
                self.has_guaranteed_work[customer] = true;
            }
            for slot in &allocation.slots {
                if slot.block == 0 {
                    continue;
                }
                self.work[slot.worker].push(Work {
                    block: slot.block,
                    customer: allocation.customer,
                    guaranteed: allocation.guaranteed,
                    pinned: allocation.guaranteed || !allocation.job.spec.evictable,
                });
            }
        }
    }

    fn run(mut self, old: &[Assignment]) -> Plan {
        for assignment in old {
            let is_valid =
                assignment.slots.iter().all(|slot| self.can_reserve(assignment.customer, *slot))
                    && self.is_complete(assignment);
            if is_valid && self.take_remaining(assignment.customer, assignment.cell) {
                self.plan.assign(assignment.clone());
            }
        }
        // First assign cells that hold work already running inside its customer's guarantee.
        for in_use in [true, false] {
            for cell in LEVELS {
                for customer in 0..self.document.customers.len() {
                    if in_use && !self.has_guaranteed_work[customer] {
                        continue;
                    }
                    while self.remaining.get(&(customer, cell)).is_some_and(|count| *count > 0) {
                        let Some(slots) = self.find_cell(customer, cell, in_use) else { break };
                        self.take_remaining(customer, cell);
                        self.plan.assign(Assignment { customer, cell, slots });
                    }
                }
            }
        }
        self.collect_risks();
        self.plan
    }

    fn is_complete(&self, assignment: &Assignment) -> bool {
        if assignment.cell != Cell::Rack {
            return true;
        }
        let accelerators: u32 = assignment.slots.iter().map(|slot| slot.block.count_ones()).sum();
        accelerators >= self.rack_size
    }

    // Counts one cell as assigned, if the guarantee has any left.
    fn take_remaining(&mut self, customer: usize, cell: Cell) -> bool {
        let Some(count) = self.remaining.get_mut(&(customer, cell)) else { return false };
        if *count == 0 {
            return false;
        }
        *count -= 1;
        true
    }

    fn collect_risks(&mut self) {
        for (&(customer, cell), &missing) in &self.remaining {
            if missing == 0 {
                continue;
            }
            let customer = &self.document.customers[customer];
            let guarantees = customer.guarantee.iter().filter(|guarantee| guarantee.cell == cell);
            let count = guarantees.map(|guarantee| guarantee.count).sum();
            self.plan.risks.push(Risk { customer: customer.name.clone(), cell, count, missing });
        }
    }

    // Whether a slot overlaps neither another cell nor work of others that can't be moved. A worker
    // that takes no new work qualifies only if the customer already runs on the slot.
    fn can_reserve(&self, customer: usize, slot: Slot) -> bool {
        let Some(usage) = self.occupancy.workers.get(slot.worker) else { return false };
        if slot.block & (self.plan.reserved(slot.worker) | !usage.all_accelerators()) != 0 {
            return false;
        }
        let mut own_work = 0;
        for work in &self.work[slot.worker] {
            if work.block & slot.block == 0 {
                continue;
            }
            if work.customer == Some(customer) {
                own_work |= work.block;
            } else if work.pinned {
                return false;
            }
        }
        usage.worker.is_schedulable || own_work & slot.block != 0
    }

    fn guaranteed_accelerators(&self, customer: usize, slot: Slot) -> u32 {
        if !self.has_guaranteed_work[customer] {
            return 0;
        }
        let mut accelerators = 0;
        for work in &self.work[slot.worker] {
            if work.customer == Some(customer) && work.guaranteed {
                accelerators |= work.block;
            }
        }
        (accelerators & slot.block).count_ones()
    }

    // Finds the best cell for a customer; with `in_use`, only among those that hold its
    // guaranteed work.
    fn find_cell(&self, customer: usize, cell: Cell, in_use: bool) -> Option<Vec<Slot>> {
        let mut best = None;
        for slots in self.candidate_slots(cell) {
            if !slots.iter().all(|slot| self.can_reserve(customer, *slot)) {
                continue;
            }
            let guaranteed: u32 =
                slots.iter().map(|slot| self.guaranteed_accelerators(customer, *slot)).sum();
            if in_use && guaranteed == 0 {
                continue;
            }
            let leftover: u32 = slots.iter().map(|slot| self.leftover(*slot)).sum();
            let score = (std::cmp::Reverse(guaranteed), leftover);
            if best.as_ref().is_none_or(|(least, _)| score < *least) {
                best = Some((score, slots));
            }
        }
        best.map(|(_, slots)| slots)
    }

    // Prefers workers with the fewest unreserved accelerators, then slots that are free now, as
    // work on others would be evicted.
    fn leftover(&self, slot: Slot) -> u32 {
        let usage = &self.occupancy.workers[slot.worker];
        let unreserved = (usage.all_accelerators() & !self.plan.reserved(slot.worker)).count_ones();
        unreserved * 2 + u32::from(usage.allocated & slot.block != 0)
    }

    fn candidate_slots(&self, cell: Cell) -> Vec<Vec<Slot>> {
        let mut candidates = Vec::new();
        let whole_worker = |worker: usize| Slot {
            worker,
            block: self.occupancy.workers[worker].all_accelerators(),
        };
        let Some(count) = accelerators_in(cell) else {
            if cell == Cell::Worker {
                candidates.extend(
                    (0..self.occupancy.workers.len()).map(|worker| vec![whole_worker(worker)]),
                );
                return candidates;
            }
            for rack in &self.occupancy.racks {
                if rack_accelerators(self.occupancy, rack) >= self.rack_size {
                    candidates.push(rack.iter().map(|worker| whole_worker(*worker)).collect());
                }
            }
            return candidates;
        };
        for (worker, usage) in self.occupancy.workers.iter().enumerate() {
            let free = usage.all_accelerators() & !self.plan.reserved(worker);
            let Some(block) = cell::blocks(free, usage.worker.shape.accelerators, count)
                .min_by_key(|block| {
                    cell::enclosing_free(free, usage.worker.shape.accelerators, *block)
                })
            else {
                continue;
            };
            candidates.push(vec![Slot { worker, block }]);
            let blocks = cell::blocks(free, usage.worker.shape.accelerators, count);
            candidates.extend(blocks.map(|block| vec![Slot { worker, block }]));
        }
        candidates
    }
}

/// Accelerators that a gang holds on a worker, as a bit mask.
pub fn accelerators_on(slots: &[Slot], worker: usize) -> u32 {
    let mut block = 0;
    for slot in slots {
        if slot.worker == worker {
            block |= slot.block;
        }
    }
    block
}

const fn accelerators_in(cell: Cell) -> Option<u32> {
    match cell {
        Cell::One => Some(1),
        Cell::Two => Some(2),
        Cell::Four => Some(4),
        Cell::Eight => Some(8),
        Cell::Worker | Cell::Rack => None,
    }
}

/// Returns the guarantees that do not fit on the schedulable workers; `known` lists all workers
/// that have ever reported.
pub fn find_risks(document: &Document, schedulable: &[Worker], known: &[Worker]) -> Vec<Risk> {
    // A rack that has lost a worker is incomplete, so its full size is taken from all known
    // workers.
    let size = rack_size(&Occupancy::empty(document, known));
    pack(document, &Occupancy::empty(document, schedulable), &[], size).risks
}

/// Checks that a document's guarantees fit on the given workers, also after losing as many workers
/// as the document's `spare_workers`.
///
/// Reports nothing if no worker is known, so that the first document can be submitted before
/// workers join. Two patterns of loss are tried: the largest workers, and one worker in each of the
/// largest racks.
pub fn validate(document: &Document, workers: &[Worker]) -> Vec<Fault> {
    if workers.is_empty() {
        return Vec::new();
    }
    let occupancy = Occupancy::empty(document, workers);
    let size = rack_size(&occupancy);
    let risks = pack(document, &occupancy, &[], size).risks;
    if !risks.is_empty() {
        return risks.iter().map(|risk| fault(document, risk, "")).collect();
    }
    let spare = document.placement.spare_workers as usize;
    if spare == 0 {
        return Vec::new();
    }
    let suffix = format!(" once {spare} workers are lost");
    for lost in [largest_first(workers), one_per_rack_first(&occupancy)] {
        let lost = &lost[..spare.min(lost.len())];
        let survivors = workers.iter().enumerate().filter(|(index, _)| !lost.contains(index));
        let survivors: Vec<Worker> = survivors.map(|(_, worker)| worker.clone()).collect();
        let risks = pack(document, &Occupancy::empty(document, &survivors), &[], size).risks;
        if !risks.is_empty() {
            return risks.iter().map(|risk| fault(document, risk, &suffix)).collect();
        }
    }
    Vec::new()
}

fn fault(document: &Document, risk: &Risk, suffix: &str) -> Fault {
    let index = document.customers.iter().position(|customer| customer.name == risk.customer);
    let path = format!("customers[{}].guarantee", index.unwrap_or(0));
    let Risk { customer, cell, count, missing } = risk;
    let message = format!(
        "{missing} of {count} cells of level {cell} for {customer} have no place on the live workers{suffix}"
    );
    Fault { path, message }
}

fn largest_first(workers: &[Worker]) -> Vec<usize> {
    let mut all: Vec<usize> = (0..workers.len()).collect();
    all.sort_by_key(|index| std::cmp::Reverse(workers[*index].shape.accelerators));
    all
}

// Workers in an order that takes one from each rack before the next, starting with the largest
// rack.
fn one_per_rack_first(occupancy: &Occupancy<'_>) -> Vec<usize> {
    let mut racks: Vec<&Vec<usize>> = occupancy.racks.iter().collect();
    racks.sort_by_key(|rack| std::cmp::Reverse(rack_accelerators(occupancy, rack)));
    let longest_rack = racks.iter().map(|rack| rack.len()).max().unwrap_or(0);
    let mut order = Vec::new();
    for depth in 0..longest_rack {
        order.extend(racks.iter().filter_map(|rack| rack.get(depth)));
    }
    order
}
