//! Guarantees packed as concrete cells over live workers.

use std::collections::BTreeMap;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::capacity::{Occupancy, Seat};
use super::{Worker, cell};
use crate::state::document::{Cell, Document, Fault};

/// Levels, largest first: a small cell must not break up the last place of a large one.
const LEVELS: [Cell; 6] = [Cell::Rack, Cell::Worker, Cell::Eight, Cell::Four, Cell::Two, Cell::One];

/// Cells of a guarantee that have no place.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display(
    "guarantee of {customer} at risk: {missing} of {count} cells of level {cell} have no place"
)]
pub struct Risk {
    /// Customer.
    pub customer: String,
    /// Level of the cells.
    pub cell: Cell,
    /// How many are guaranteed.
    pub count: u32,
    /// How many have no place.
    pub missing: u32,
}

/// A cell kept for a customer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Kept {
    /// Index of the customer.
    pub customer: usize,
    /// Level.
    pub cell: Cell,
    /// Where, by index of the worker.
    pub seats: Vec<Seat>,
}

/// Places of all guarantees.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Cells with a place.
    pub kept: Vec<Kept>,
    /// Cells without one.
    pub risks: Vec<Risk>,
    // Accelerators by customer and worker.
    own: Vec<Vec<u32>>,
    // Accelerators of any customer by worker.
    taken: Vec<u32>,
}

impl Plan {
    /// Accelerators of a worker that are kept for a customer.
    pub fn own(&self, customer: Option<usize>, worker: usize) -> u32 {
        let own = customer.and_then(|customer| self.own.get(customer));
        own.and_then(|own| own.get(worker)).copied().unwrap_or(0)
    }

    /// Accelerators kept for a customer in all.
    pub fn size(&self, customer: Option<usize>) -> u32 {
        let own = customer.and_then(|customer| self.own.get(customer));
        own.map_or(0, |own| own.iter().map(|block| block.count_ones()).sum())
    }

    /// Accelerators of a worker that are kept for any customer.
    pub fn taken(&self, worker: usize) -> u32 {
        self.taken.get(worker).copied().unwrap_or(0)
    }

    /// Marks the holders that lie inside their customers' cells.
    pub fn cover(&self, board: &mut Occupancy<'_>) {
        for holder in &mut board.holders {
            let inside = |seat: &Seat| {
                let own = self.own(holder.customer, seat.worker);
                own != 0 && seat.block & !own == 0
            };
            holder.covered = holder.seats.iter().all(inside);
        }
    }

    fn keep(&mut self, kept: Kept) {
        for seat in &kept.seats {
            self.own[kept.customer][seat.worker] |= seat.block;
            self.taken[seat.worker] |= seat.block;
        }
        self.kept.push(kept);
    }
}

/// Packs all guarantees; cells of `old` stay where they can.
pub fn pack(document: &Document, board: &Occupancy<'_>, old: &[Kept], rack_size: u32) -> Plan {
    let sticky = Packer::new(document, board, rack_size).run(old);
    if sticky.risks.is_empty() || old.is_empty() {
        return sticky;
    }
    let fresh = Packer::new(document, board, rack_size).run(&[]);
    if fresh.missing() < sticky.missing() { fresh } else { sticky }
}

impl Plan {
    fn missing(&self) -> u32 {
        self.risks.iter().map(|risk| risk.missing).sum()
    }
}

/// Accelerators of the largest rack; a rack with fewer is not whole.
pub fn rack_size(board: &Occupancy<'_>) -> u32 {
    let mut largest = 0;
    for rack in &board.racks {
        largest = largest.max(accelerators(board, rack));
    }
    largest
}

fn accelerators(board: &Occupancy<'_>, rack: &[usize]) -> u32 {
    rack.iter().map(|&at| board.spots[at].worker.shape.accelerators).sum()
}

struct Packer<'a, 'b> {
    document: &'a Document,
    board: &'a Occupancy<'b>,
    rack_size: u32,
    plan: Plan,
    rest: BTreeMap<(usize, Cell), u32>,
    // Work with accelerators, by worker.
    work: Vec<Vec<Work>>,
    // Whether a customer has work inside its guarantee.
    has_own: Vec<bool>,
}

/// What a gang has on one worker.
#[derive(Clone, Copy)]
struct Work {
    block: u32,
    customer: Option<usize>,
    guaranteed: bool,
    firm: bool,
}

impl<'a, 'b> Packer<'a, 'b> {
    fn new(document: &'a Document, board: &'a Occupancy<'b>, rack_size: u32) -> Self {
        let workers = board.spots.len();
        let plan = Plan {
            own: vec![vec![0; workers]; document.customers.len()],
            taken: vec![0; workers],
            ..Plan::default()
        };
        let mut rest = BTreeMap::new();
        for (at, customer) in document.customers.iter().enumerate() {
            for guarantee in &customer.guarantee {
                *rest.entry((at, guarantee.cell)).or_insert(0) += guarantee.count;
            }
        }
        let mut packer = Self {
            document,
            board,
            rack_size,
            plan,
            rest,
            work: vec![Vec::new(); workers],
            has_own: vec![false; document.customers.len()],
        };
        packer.note_work();
        packer
    }

    fn note_work(&mut self) {
        for holder in &self.board.holders {
            if let Some(customer) = holder.customer.filter(|_| holder.guaranteed) {
                self.has_own[customer] = true;
            }
            for seat in &holder.seats {
                if seat.block == 0 {
                    continue;
                }
                self.work[seat.worker].push(Work {
                    block: seat.block,
                    customer: holder.customer,
                    guaranteed: holder.guaranteed,
                    firm: holder.guaranteed || !holder.job.spec.evictable,
                });
            }
        }
    }

    fn run(mut self, old: &[Kept]) -> Plan {
        for kept in old {
            let valid = kept.seats.iter().all(|seat| self.may_take(kept.customer, *seat))
                && self.is_whole(kept);
            if valid && self.take_one(kept.customer, kept.cell) {
                self.plan.keep(kept.clone());
            }
        }
        // Cells under work that already runs inside its guarantee come first.
        for own_work_only in [true, false] {
            for cell in LEVELS {
                for customer in 0..self.document.customers.len() {
                    if own_work_only && !self.has_own[customer] {
                        continue;
                    }
                    while self.rest.get(&(customer, cell)).is_some_and(|rest| *rest > 0) {
                        let Some(seats) = self.find(customer, cell, own_work_only) else { break };
                        self.take_one(customer, cell);
                        self.plan.keep(Kept { customer, cell, seats });
                    }
                }
            }
        }
        self.note_risks();
        self.plan
    }

    fn is_whole(&self, kept: &Kept) -> bool {
        if kept.cell != Cell::Rack {
            return true;
        }
        let held: u32 = kept.seats.iter().map(|seat| seat.block.count_ones()).sum();
        held >= self.rack_size
    }

    fn take_one(&mut self, customer: usize, cell: Cell) -> bool {
        let Some(rest) = self.rest.get_mut(&(customer, cell)) else { return false };
        if *rest == 0 {
            return false;
        }
        *rest -= 1;
        true
    }

    fn note_risks(&mut self) {
        for (&(customer, cell), &missing) in &self.rest {
            if missing == 0 {
                continue;
            }
            let customer = &self.document.customers[customer];
            let wanted = customer.guarantee.iter().filter(|guarantee| guarantee.cell == cell);
            let count = wanted.map(|guarantee| guarantee.count).sum();
            self.plan.risks.push(Risk { customer: customer.name.clone(), cell, count, missing });
        }
    }

    // Whether a seat is outside other cells and clear of work that must stay.
    fn may_take(&self, customer: usize, seat: Seat) -> bool {
        let Some(spot) = self.board.spots.get(seat.worker) else { return false };
        if seat.block & (self.plan.taken(seat.worker) | !spot.all()) != 0 {
            return false;
        }
        let mut own_work = 0;
        for work in &self.work[seat.worker] {
            if work.block & seat.block == 0 {
                continue;
            }
            if work.customer == Some(customer) {
                own_work |= work.block;
            } else if work.firm {
                return false;
            }
        }
        spot.worker.is_schedulable || own_work & seat.block != 0
    }

    fn own_work(&self, customer: usize, seat: Seat) -> u32 {
        if !self.has_own[customer] {
            return 0;
        }
        let mut own = 0;
        for work in &self.work[seat.worker] {
            if work.customer == Some(customer) && work.guaranteed {
                own |= work.block;
            }
        }
        (own & seat.block).count_ones()
    }

    fn find(&self, customer: usize, cell: Cell, own_work_only: bool) -> Option<Vec<Seat>> {
        let mut best = None;
        for seats in self.places(cell) {
            if !seats.iter().all(|seat| self.may_take(customer, *seat)) {
                continue;
            }
            let own: u32 = seats.iter().map(|seat| self.own_work(customer, *seat)).sum();
            if own_work_only && own == 0 {
                continue;
            }
            let waste: u32 = seats.iter().map(|seat| self.waste(*seat)).sum();
            let score = (std::cmp::Reverse(own), waste);
            if best.as_ref().is_none_or(|(least, _)| score < *least) {
                best = Some((score, seats));
            }
        }
        best.map(|(_, seats)| seats)
    }

    // Small cells go where least is left over; foreign work counts as it would be evicted.
    fn waste(&self, seat: Seat) -> u32 {
        let spot = &self.board.spots[seat.worker];
        let left = (spot.all() & !self.plan.taken(seat.worker)).count_ones();
        left * 2 + u32::from(spot.held & seat.block != 0)
    }

    fn places(&self, cell: Cell) -> Vec<Vec<Seat>> {
        let mut places = Vec::new();
        let whole = |worker: usize| Seat { worker, block: self.board.spots[worker].all() };
        let Some(count) = count(cell) else {
            if cell == Cell::Worker {
                places.extend((0..self.board.spots.len()).map(|at| vec![whole(at)]));
                return places;
            }
            for rack in &self.board.racks {
                if accelerators(self.board, rack) >= self.rack_size {
                    places.push(rack.iter().map(|at| whole(*at)).collect());
                }
            }
            return places;
        };
        for (worker, spot) in self.board.spots.iter().enumerate() {
            let free = spot.all() & !self.plan.taken(worker);
            let Some(block) = cell::blocks(free, spot.worker.shape.accelerators, count)
                .min_by_key(|block| cell::breakage(free, spot.worker.shape.accelerators, *block))
            else {
                continue;
            };
            places.push(vec![Seat { worker, block }]);
            let blocks = cell::blocks(free, spot.worker.shape.accelerators, count);
            places.extend(blocks.map(|block| vec![Seat { worker, block }]));
        }
        places
    }
}

/// Accelerators that a gang has on one worker.
pub fn block_on(seats: &[Seat], worker: usize) -> u32 {
    let mut block = 0;
    for seat in seats {
        if seat.worker == worker {
            block |= seat.block;
        }
    }
    block
}

const fn count(cell: Cell) -> Option<u32> {
    match cell {
        Cell::One => Some(1),
        Cell::Two => Some(2),
        Cell::Four => Some(4),
        Cell::Eight => Some(8),
        Cell::Worker | Cell::Rack => None,
    }
}

/// Guarantees that the open workers can't hold; `known` are all workers ever heard.
pub fn find_risks(document: &Document, open: &[Worker], known: &[Worker]) -> Vec<Risk> {
    // A rack that lost a worker is not whole, so the size is that of the fleet at full strength.
    let size = rack_size(&Occupancy::empty(document, known));
    pack(document, &Occupancy::empty(document, open), &[], size).risks
}

/// Why these workers can't hold a document's guarantees, also with its spare workers lost.
///
/// Silent where no worker is known, so that a first document can come before the workers. Two
/// patterns of loss are tried: the largest workers, and one worker in each of the largest racks.
pub fn validate(document: &Document, workers: &[Worker]) -> Vec<Fault> {
    if workers.is_empty() {
        return Vec::new();
    }
    let board = Occupancy::empty(document, workers);
    let size = rack_size(&board);
    let whole = pack(document, &board, &[], size).risks;
    if !whole.is_empty() {
        return whole.iter().map(|risk| fault(document, risk, "")).collect();
    }
    let spare = document.placement.spare_workers as usize;
    if spare == 0 {
        return Vec::new();
    }
    let suffix = format!(" once {spare} workers are lost");
    for lost in [largest(workers), one_a_rack(&board)] {
        let lost = &lost[..spare.min(lost.len())];
        let left = workers.iter().enumerate().filter(|(at, _)| !lost.contains(at));
        let left: Vec<Worker> = left.map(|(_, worker)| worker.clone()).collect();
        let short = pack(document, &Occupancy::empty(document, &left), &[], size).risks;
        if !short.is_empty() {
            return short.iter().map(|risk| fault(document, risk, &suffix)).collect();
        }
    }
    Vec::new()
}

fn fault(document: &Document, risk: &Risk, suffix: &str) -> Fault {
    let at = document.customers.iter().position(|customer| customer.name == risk.customer);
    let path = format!("customers[{}].guarantee", at.unwrap_or(0));
    let Risk { customer, cell, count, missing } = risk;
    let message = format!(
        "{missing} of {count} cells of level {cell} for {customer} have no place on the live workers{suffix}"
    );
    Fault { path, message }
}

fn largest(workers: &[Worker]) -> Vec<usize> {
    let mut all: Vec<usize> = (0..workers.len()).collect();
    all.sort_by_key(|at| std::cmp::Reverse(workers[*at].shape.accelerators));
    all
}

fn one_a_rack(board: &Occupancy<'_>) -> Vec<usize> {
    let mut racks: Vec<&Vec<usize>> = board.racks.iter().collect();
    racks.sort_by_key(|rack| std::cmp::Reverse(accelerators(board, rack)));
    let deepest = racks.iter().map(|rack| rack.len()).max().unwrap_or(0);
    let mut lost = Vec::new();
    for depth in 0..deepest {
        lost.extend(racks.iter().filter_map(|rack| rack.get(depth)));
    }
    lost
}
