//! One decision in the making: seats that are taken, kept and cleared, in the order of the queue.

use std::collections::{BTreeMap, BTreeSet};

use super::backfill::Reservation;
use super::capacity::{Holder, Occupancy, Seat};
use super::eviction::{self, Claimant};
use super::fit::{self, Area};
use super::guarantee::Plan;
use super::queue::Entry;
use super::shape::Requirement;
use super::{Decision, View, score};
use crate::state::job::{Disposition, Job, Part, Phase};

/// Searches for evictions in one decision; further jobs wait for the next one.
const EVICTION_SEARCHES: usize = 8;

/// Seats of a job that waits for evictions to be confirmed.
#[derive(Clone, Debug)]
pub(super) struct Claim {
    pub(super) parts: Vec<Part>,
}

/// One decision in the making.
pub(super) struct Round<'a> {
    pub(super) view: &'a View<'a>,
    pub(super) board: Occupancy<'a>,
    pub(super) plan: Plan,
    pub(super) decisions: Vec<Decision>,
    pub(super) reservation: Option<Reservation>,
    searches: usize,
    placed: BTreeSet<&'a str>,
    // Shapes that found no seats; what is free only shrinks within a round.
    failed: BTreeSet<Requirement<'a>>,
    failed_claims: BTreeSet<Requirement<'a>>,
}

impl<'a> Round<'a> {
    pub(super) fn new(view: &'a View<'a>, board: Occupancy<'a>, plan: Plan) -> Self {
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
    pub(super) fn settle(&mut self, id: &str, claim: &Claim) -> bool {
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
        let is_schedulable =
            seats.iter().all(|seat| self.board.spots[seat.worker].worker.is_schedulable);
        if !is_schedulable || !(guaranteed || job.spec.evictable) {
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

    pub(super) fn reserve(&mut self, entries: &[Entry<'a>], claims: &BTreeMap<String, Claim>) {
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
    pub(super) fn place(&mut self, entry: &Entry<'a>) -> bool {
        let job = entry.job;
        if self.placed.contains(job.id.as_str()) {
            return true;
        }
        let shape = Requirement::new(job, &self.board);
        let is_bound =
            self.reservation.as_ref().is_some_and(|held| held.blocks(entry, self.view.now_ms));
        let shape = shape.bound(is_bound);
        if self.failed.contains(&shape) {
            return false;
        }
        let area = Area::free(&self.board);
        if self.place_open(job, &area, shape, is_bound) {
            return true;
        }
        if let Some(seats) = self.find_own(job, &area) {
            self.seat(job, seats, true, "free, inside the guarantee");
            return true;
        }
        self.failed.insert(shape);
        false
    }

    // Anywhere, at the least cost; own cells carry no cost of a later reclaim.
    fn place_open(
        &mut self,
        job: &'a Job,
        free: &Area,
        shape: Requirement<'a>,
        is_bound: bool,
    ) -> bool {
        let shape = shape.of_anyone();
        if !job.spec.evictable || self.failed.contains(&shape) {
            return false;
        }
        let mut area = free.clone();
        if is_bound && let Some(held) = &self.reservation {
            for (allowed, block) in area.allowed.iter_mut().zip(&held.blocks) {
                *allowed &= !block;
            }
        }
        let Some(seats) = self.find(job, &area) else {
            self.failed.insert(shape);
            return false;
        };
        let guaranteed = self.is_own(job, &seats) && !self.exceeds_share(job, &seats);
        self.seat(job, seats, guaranteed, "free, least cost");
        true
    }

    fn find_own(&self, job: &Job, free: &Area) -> Option<Vec<Seat>> {
        let customer = self.board.customer(job)?;
        if self.plan.size(Some(customer)) < job.spec.parts * job.spec.accelerators {
            return None;
        }
        let mut own = free.clone();
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
    pub(super) fn claim(&mut self, entry: &Entry<'a>) -> Option<Claim> {
        let job = entry.job;
        let shape = Requirement::new(job, &self.board);
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
                next: Disposition::Wait,
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
