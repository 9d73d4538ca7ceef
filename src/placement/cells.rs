//! Policy `cells`: guarantees as buddy cells, ranks, eviction and backfill.

use std::collections::{BTreeMap, BTreeSet};

use super::backfill::Reservation;
use super::board::{Board, Holder, Seat};
use super::estimate::Estimate;
use super::eviction::{self, Claimant};
use super::fit::{self, Area};
use super::guarantee::{self, Kept, Plan};
use super::queue::{self, Entry};
use super::shape::{self, Shape};
use super::{Decision, Policy, View, Worker, audit, score};
use crate::kernel::plugin::Registration;
use crate::state::document::Document;
use crate::state::job::{Job, Next, Part, Phase};

/// Searches for evictions in one decision; further jobs wait for the next one.
const EVICTION_SEARCHES: usize = 8;

inventory::submit! {
    Registration { name: "cells", build: || Box::new(Cells::default()) }
}

/// The policy and its soft state, all of which can be rebuilt from the view.
#[derive(Debug, Default)]
pub struct Cells {
    estimate: Estimate,
    document: Document,
    workers: Vec<Worker>,
    kept: Vec<Kept>,
    rack_size: u32,
    // Every worker seen so far: a silent one still counts towards what the fleet can run.
    known: BTreeMap<String, Worker>,
    fleet: Vec<Worker>,
    // Guarantees packed over the whole fleet while it is empty.
    fleet_plan: Plan,
    possible: BTreeSet<u64>,
    claims: BTreeMap<String, Claim>,
    reservation: Option<String>,
}

/// Seats of a job that waits for evictions to be confirmed.
#[derive(Clone, Debug)]
struct Claim {
    parts: Vec<Part>,
}

/// One decision in the making.
struct Round<'a> {
    view: &'a View<'a>,
    board: Board<'a>,
    plan: Plan,
    decisions: Vec<Decision>,
    reservation: Option<Reservation>,
    searches: usize,
    placed: BTreeSet<&'a str>,
    // Shapes that found no seats; what is free only shrinks within a round.
    failed: BTreeSet<Shape<'a>>,
    failed_claims: BTreeSet<Shape<'a>>,
}

impl Policy for Cells {
    fn decide(&mut self, view: &View<'_>) -> Vec<Decision> {
        self.estimate.learn(view.jobs);
        let mut board = Board::new(view, &self.estimate);
        let plan = self.plan(view, &board);
        plan.cover(&mut board);
        let mut round = Round::new(view, board, plan);
        self.settle_claims(&mut round);
        let entries = queue::order(view, &round.board, &self.estimate);
        let entries = self.refuse_impossible(&mut round, entries);
        round.reserve(&entries, &self.claims);
        self.reservation = round.reservation.as_ref().map(|held| held.job.clone());
        for entry in &entries {
            if self.claims.contains_key(&entry.job.id) {
                continue;
            }
            if round.place(entry) {
                continue;
            }
            if let Some(claim) = round.claim(entry) {
                self.claims.insert(entry.job.id.clone(), claim);
            }
        }
        debug_assert_eq!(audit::breaches(&round.board, &round.plan), Vec::new());
        round.decisions
    }

    fn explain(&self, view: &View<'_>, job: &Job) -> String {
        let mut board = Board::new(view, &self.estimate);
        let kept = if self.workers == view.workers { self.kept.as_slice() } else { &[] };
        let plan = guarantee::pack(view.document, &board, kept, self.rack_size);
        plan.cover(&mut board);
        let mut text = format!("{} waits: ", job.id);
        if let Some(claim) = self.claims.get(&job.id) {
            text.push_str(&format!("for evictions on {}", names(&claim.parts)));
            return text;
        }
        text.push_str(&shape::shortage(&board, &plan, job));
        if let Some(held) = &self.reservation {
            match *held == job.id {
                true => text.push_str("; it holds the reservation that backfill can't delay"),
                false => text.push_str(&format!("; seats are reserved for {held}")),
            }
        }
        for risk in &plan.risks {
            if risk.customer == job.customer {
                text.push_str(&format!("; {risk}"));
            }
        }
        text
    }
}

impl Cells {
    fn plan(&mut self, view: &View<'_>, board: &Board<'_>) -> Plan {
        let changed = self.document != *view.document || self.workers != view.workers;
        for worker in view.workers {
            if self.known.get(&worker.name).is_none_or(|known| known.shape != worker.shape) {
                self.known.insert(worker.name.clone(), Worker { is_open: true, ..worker.clone() });
            }
        }
        if changed {
            self.possible.clear();
            self.fleet = self.known.values().cloned().collect();
            let fleet = Board::empty(view.document, &self.fleet);
            self.rack_size = guarantee::rack_size(&fleet);
            self.fleet_plan = guarantee::pack(view.document, &fleet, &[], self.rack_size);
            self.kept = self.moved(board);
            self.document = view.document.clone();
            self.workers = view.workers.to_vec();
        }
        let plan = guarantee::pack(view.document, board, &self.kept, self.rack_size);
        self.kept = plan.kept.clone();
        plan
    }

    // Kept cells by the indices of the new list of workers; those on lost workers are dropped.
    fn moved(&self, board: &Board<'_>) -> Vec<Kept> {
        let mut moved = Vec::new();
        for kept in &self.kept {
            let name = |at: usize| self.document.customers.get(at).map(|held| &held.name);
            let customer = name(kept.customer).and_then(|name| board.customer_named(name));
            let Some(customer) = customer else { continue };
            let mut seats = Vec::new();
            for seat in &kept.seats {
                let Some(worker) = board.worker(&self.workers[seat.worker].name) else { break };
                seats.push(Seat { worker, block: seat.block });
            }
            if seats.len() == kept.seats.len() {
                moved.push(Kept { customer, cell: kept.cell, seats });
            }
        }
        moved
    }

    // Places claims whose evictions are confirmed; drops those that can't come true any more.
    fn settle_claims(&mut self, round: &mut Round<'_>) {
        let claims = std::mem::take(&mut self.claims);
        for (id, claim) in claims {
            if round.settle(&id, &claim) {
                self.claims.insert(id, claim);
            }
        }
    }

    fn refuse_impossible<'a>(
        &mut self,
        round: &mut Round<'a>,
        entries: Vec<Entry<'a>>,
    ) -> Vec<Entry<'a>> {
        // A fleet that can't even hold the guarantees is not whole yet.
        if !round.view.is_settled || !round.plan.risks.is_empty() || self.known.is_empty() {
            return entries;
        }
        let fleet = Board::empty(round.view.document, &self.fleet);
        let mut kept = Vec::with_capacity(entries.len());
        for entry in entries {
            let key = Shape::new(entry.job, &round.board).digest();
            if entry.job.failed_on.is_empty() && self.possible.contains(&key) {
                kept.push(entry);
                continue;
            }
            match shape::impossible(&fleet, &self.fleet_plan, entry.job) {
                Some(reason) => {
                    let job = entry.job.id.clone();
                    round.decisions.push(Decision::Refuse { job, reason });
                }
                None => {
                    self.possible.insert(key);
                    kept.push(entry);
                }
            }
        }
        kept
    }
}

impl<'a> Round<'a> {
    fn new(view: &'a View<'a>, board: Board<'a>, plan: Plan) -> Self {
        Self {
            view,
            board,
            plan,
            decisions: Vec::new(),
            reservation: None,
            searches: 0,
            placed: BTreeSet::new(),
            failed: BTreeSet::new(),
            failed_claims: BTreeSet::new(),
        }
    }

    // Whether the claim still waits.
    fn settle(&mut self, id: &str, claim: &Claim) -> bool {
        let Some(job) = self.view.jobs.live.get(id) else { return false };
        if job.phase != Phase::Waiting {
            return false;
        }
        let mut seats = Vec::new();
        for part in &claim.parts {
            let Some(worker) = self.board.worker(&part.worker) else { return false };
            seats.push(Seat { worker, block: part.accelerators });
        }
        let guaranteed = self.is_own(job, &seats);
        let is_open = seats.iter().all(|seat| self.board.spots[seat.worker].worker.is_open);
        if !is_open || !(guaranteed || job.spec.evictable) {
            return false;
        }
        let claimed =
            seats.iter().any(|seat| self.board.spots[seat.worker].claimed & seat.block != 0);
        if claimed {
            return false;
        }
        let claimant =
            Claimant { customer: self.board.customer(job), rank: self.board.rank(job), guaranteed };
        let spec = &job.spec;
        let now_ms = self.view.now_ms;
        let victims = claimant.victims(&self.board, &seats, spec.cores, spec.memory_mib, now_ms);
        if victims.iter().any(|at| !claimant.may_evict(&self.board.holders[*at])) {
            return false;
        }
        if victims.is_empty() {
            if self.has_room(job, &seats) {
                self.seat(job, seats, guaranteed, "evictions confirmed");
            }
            return false;
        }
        self.stop(&victims, id);
        self.keep(&seats);
        true
    }

    fn has_room(&self, job: &Job, seats: &[Seat]) -> bool {
        seats.iter().all(|seat| {
            let spot = &self.board.spots[seat.worker];
            let parts = seats.iter().filter(|other| other.worker == seat.worker).count() as i64;
            spot.cores >= parts * i64::from(job.spec.cores)
                && spot.memory_mib >= parts * job.spec.memory_mib as i64
        })
    }

    fn is_own(&self, job: &Job, seats: &[Seat]) -> bool {
        let customer = self.board.customer(job);
        seats.iter().all(|seat| {
            let own = self.plan.own(customer, seat.worker);
            own != 0 && seat.block & !own == 0
        })
    }

    fn reserve(&mut self, entries: &[Entry<'a>], claims: &BTreeMap<String, Claim>) {
        let largest = self.view.workers.iter().map(|worker| worker.shape.accelerators).max();
        let mut oldest: Option<&Entry<'a>> = None;
        for entry in entries {
            let spec = &entry.job.spec;
            let is_large = spec.parts * spec.accelerators >= largest.unwrap_or(u32::MAX);
            if !is_large || claims.contains_key(&entry.job.id) {
                continue;
            }
            let older = |held: &&Entry<'_>| {
                (entry.rank, entry.job.submitted_ms) < (held.rank, held.job.submitted_ms)
            };
            if oldest.as_ref().is_none_or(older) {
                oldest = Some(entry);
            }
        }
        let Some(oldest) = oldest else { return };
        if !self.place(oldest) {
            self.reservation = Reservation::new(&self.board, oldest);
        }
    }

    // Places a job on what is free: in its guarantee first, then anywhere if it can be evicted.
    fn place(&mut self, entry: &Entry<'a>) -> bool {
        let job = entry.job;
        if self.placed.contains(job.id.as_str()) {
            return true;
        }
        let shape = Shape::new(job, &self.board);
        let is_bound =
            self.reservation.as_ref().is_some_and(|held| held.blocks(entry, self.view.now_ms));
        let shape = shape.bound(is_bound);
        if self.failed.contains(&shape) {
            return false;
        }
        let mut area = Area::free(&self.board);
        if let Some(seats) = self.find_own(job, &area) {
            self.seat(job, seats, true, "free, inside the guarantee");
            return true;
        }
        if job.spec.evictable {
            if is_bound && let Some(held) = &self.reservation {
                for (allowed, block) in area.allowed.iter_mut().zip(&held.blocks) {
                    *allowed &= !block;
                }
            }
            if let Some(seats) = self.find(job, &area) {
                let guaranteed = self.is_own(job, &seats) && !self.exceeds_share(job, &seats);
                self.seat(job, seats, guaranteed, "free, least cost");
                return true;
            }
        }
        self.failed.insert(shape);
        false
    }

    fn find_own(&self, job: &Job, free: &Area) -> Option<Vec<Seat>> {
        let mut own = free.clone();
        let customer = self.board.customer(job)?;
        for (at, allowed) in own.allowed.iter_mut().enumerate() {
            *allowed &= self.plan.own(Some(customer), at);
        }
        eviction::limit_to_share(&mut own, &self.board, &self.plan, Some(customer));
        self.find(job, &own)
    }

    // Own cells, but more cores or memory than go with them.
    fn exceeds_share(&self, job: &Job, seats: &[Seat]) -> bool {
        let mut area = Area::free(&self.board);
        let customer = self.board.customer(job);
        eviction::limit_to_share(&mut area, &self.board, &self.plan, customer);
        seats.iter().any(|seat| {
            let parts = seats.iter().filter(|other| other.worker == seat.worker).count() as i64;
            area.cores[seat.worker] < parts * i64::from(job.spec.cores)
                || area.memory_mib[seat.worker] < parts * job.spec.memory_mib as i64
        })
    }

    fn find(&self, job: &Job, area: &Area) -> Option<Vec<Seat>> {
        let customer = self.board.customer(job);
        let placement = &self.view.document.placement;
        let cost = |seat: Seat| {
            score::seat(placement, &self.board, &self.plan, customer, seat)
                + self.failed_before(job, seat)
        };
        fit::find(&self.board, job, area, &cost)
    }

    fn failed_before(&self, job: &Job, seat: Seat) -> u64 {
        let name = &self.board.spots[seat.worker].worker.name;
        if job.failed_on.contains_key(name) { score::FAILED_BEFORE } else { 0 }
    }

    // Looks for seats that evictions would free, and begins those.
    fn claim(&mut self, entry: &Entry<'a>) -> Option<Claim> {
        let job = entry.job;
        let shape = Shape::new(job, &self.board);
        if self.failed_claims.contains(&shape) {
            return None;
        }
        let customer = self.board.customer(job);
        // Outside guarantees others yield only to work that can't wait.
        let is_urgent = entry.rank == 0 || entry.is_late;
        let mut claimant = Claimant { customer, rank: entry.rank, guaranteed: true };
        let mut seats = self.find_claim(job, claimant);
        // The bound is on others' room only: a guarantee is reclaimed whoever else waits.
        let may_search = is_urgent && self.searches < EVICTION_SEARCHES;
        if seats.is_none() && may_search && job.spec.evictable {
            self.searches += 1;
            claimant.guaranteed = false;
            seats = self.find_claim(job, claimant);
        }
        let Some(seats) = seats else {
            self.failed_claims.insert(shape);
            return None;
        };
        let spec = &job.spec;
        let now_ms = self.view.now_ms;
        let victims = claimant.victims(&self.board, &seats, spec.cores, spec.memory_mib, now_ms);
        self.stop(&victims, &job.id);
        self.keep(&seats);
        Some(Claim { parts: self.board.parts(&seats) })
    }

    fn find_claim(&self, job: &Job, claimant: Claimant) -> Option<Vec<Seat>> {
        let wanted = job.spec.parts * job.spec.accelerators;
        if claimant.guaranteed && self.plan.size(claimant.customer) < wanted {
            return None;
        }
        let area = claimant.area(&self.board, &self.plan);
        let now_ms = self.view.now_ms;
        let cost = |seat: Seat| {
            let loss = eviction::seat_loss(&self.board, seat, now_ms);
            loss.saturating_add(self.failed_before(job, seat))
        };
        fit::find(&self.board, job, &area, &cost)
    }

    fn stop(&mut self, victims: &[usize], claimant: &str) {
        for &at in victims {
            let holder = &mut self.board.holders[at];
            if holder.stopping {
                continue;
            }
            holder.stopping = true;
            let Some(gang) = holder.job.phase.gang() else { continue };
            self.decisions.push(Decision::Stop {
                job: holder.job.id.clone(),
                epoch: gang.epoch,
                next: Next::Wait,
                reason: format!("evicted for {claimant}"),
            });
        }
    }

    fn keep(&mut self, seats: &[Seat]) {
        for seat in seats {
            self.board.spots[seat.worker].claimed |= seat.block;
        }
    }

    fn seat(&mut self, job: &'a Job, seats: Vec<Seat>, guaranteed: bool, reason: &str) {
        let parts = self.board.parts(&seats);
        self.placed.insert(&job.id);
        self.board.add(Holder {
            job,
            customer: self.board.customer(job),
            rank: self.board.rank(job),
            seats,
            guaranteed,
            covered: guaranteed,
            stopping: false,
            ends_ms: self.view.now_ms.saturating_add(job.spec.run_ms),
        });
        self.decisions.push(Decision::Place {
            job: job.id.clone(),
            parts,
            guaranteed,
            candidates: self.view.workers.len(),
            reason: reason.into(),
        });
    }
}

fn names(parts: &[Part]) -> String {
    let names: BTreeSet<&str> = parts.iter().map(|part| part.worker.as_str()).collect();
    names.into_iter().collect::<Vec<_>>().join(", ")
}
