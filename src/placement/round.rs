//! One scheduling round: places waiting jobs in queue order, reserves slots and evicts running
//! jobs.

use std::collections::{BTreeMap, BTreeSet};

use super::backfill::Reservation;
use super::capacity::{Allocation, Occupancy, Slot};
use super::eviction::{self, Preemptor};
use super::fit::{self, Availability};
use super::guarantee::Plan;
use super::queue::Entry;
use super::shape::Requirement;
use super::{Decision, View, score};
use crate::state::job::{Disposition, Job, Part, Phase};

/// Maximum number of searches for evictions outside guarantees in one round; further jobs wait for
/// the next round.
const MAX_EVICTION_SEARCHES: usize = 8;

/// Slots claimed by a job that waits until the evictions on them have finished.
#[derive(Clone, Debug)]
pub(super) struct Preemption {
    pub(super) parts: Vec<Part>,
}

/// State of one scheduling round.
pub(super) struct Round<'a> {
    pub(super) view: &'a View<'a>,
    pub(super) occupancy: Occupancy<'a>,
    pub(super) plan: Plan,
    pub(super) decisions: Vec<Decision>,
    pub(super) reservation: Option<Reservation>,
    eviction_searches: usize,
    placed: BTreeSet<&'a str>,
    // Requirements for which no free slots were found. Free resources only shrink within a round,
    // so these are not searched for again.
    unplaceable: BTreeSet<Requirement<'a>>,
    // Requirements for which no slots were found even with evictions.
    unplaceable_by_eviction: BTreeSet<Requirement<'a>>,
}

impl<'a> Round<'a> {
    pub(super) fn new(view: &'a View<'a>, occupancy: Occupancy<'a>, plan: Plan) -> Self {
        Self {
            view,
            occupancy,
            plan,
            decisions: Vec::new(),
            reservation: None,
            eviction_searches: 0,
            placed: BTreeSet::new(),
            unplaceable: BTreeSet::new(),
            unplaceable_by_eviction: BTreeSet::new(),
        }
    }

    // Places the job of a preemption if its evictions have finished, else claims its slots again.
    // Returns whether the preemption is still pending.
    pub(super) fn resume(&mut self, id: &str, preemption: &Preemption) -> bool {
        let Some(job) = self.view.jobs.live.get(id) else { return false };
        if job.phase != Phase::Waiting {
            return false;
        }
        let mut slots = Vec::new();
        for part in &preemption.parts {
            let Some(worker) = self.occupancy.worker_index(&part.worker) else { return false };
            slots.push(Slot { worker, block: part.accelerators });
        }
        let guaranteed = self.is_within_guarantee(job, &slots);
        let is_schedulable =
            slots.iter().all(|slot| self.occupancy.workers[slot.worker].worker.is_schedulable);
        if !is_schedulable || !(guaranteed || job.spec.evictable) {
            return false;
        }
        let is_claimed =
            slots.iter().any(|slot| self.occupancy.workers[slot.worker].claimed & slot.block != 0);
        if is_claimed {
            return false;
        }
        let preemptor = Preemptor {
            customer: self.occupancy.customer_of(job),
            rank: self.occupancy.rank_of(job),
            guaranteed,
        };
        let spec = &job.spec;
        let now_ms = self.view.now_ms;
        let victims =
            preemptor.victims(&self.occupancy, &slots, spec.cores, spec.memory_mib, now_ms);
        if victims.iter().any(|index| !preemptor.may_evict(&self.occupancy.allocations[*index])) {
            return false;
        }
        if victims.is_empty() {
            if self.has_room(job, &slots) {
                self.allocate(job, slots, guaranteed, "evictions confirmed");
            }
            return false;
        }
        self.evict(&victims, id);
        self.claim_slots(&slots);
        true
    }

    fn has_room(&self, job: &Job, slots: &[Slot]) -> bool {
        slots.iter().all(|slot| {
            let usage = &self.occupancy.workers[slot.worker];
            let parts = slots.iter().filter(|other| other.worker == slot.worker).count() as i64;
            usage.free_cores >= parts * i64::from(job.spec.cores)
                && usage.free_memory_mib >= parts * job.spec.memory_mib as i64
        })
    }

    fn is_within_guarantee(&self, job: &Job, slots: &[Slot]) -> bool {
        let customer = self.occupancy.customer_of(job);
        slots.iter().all(|slot| {
            let reserved = self.plan.reserved_for(customer, slot.worker);
            reserved != 0 && slot.block & !reserved == 0
        })
    }

    // Places the first large job, by rank and arrival, or reserves slots for it. A job is large if
    // it needs at least as many accelerators as the largest worker has.
    pub(super) fn reserve(
        &mut self,
        entries: &[Entry<'a>],
        preemptions: &BTreeMap<String, Preemption>,
    ) {
        let max_accelerators =
            self.view.workers.iter().map(|worker| worker.shape.accelerators).max();
        let mut first: Option<&Entry<'a>> = None;
        for entry in entries {
            let spec = &entry.job.spec;
            let is_large = spec.parts * spec.accelerators >= max_accelerators.unwrap_or(u32::MAX);
            if !is_large || preemptions.contains_key(&entry.job.id) {
                continue;
            }
            let precedes = |other: &&Entry<'_>| {
                (entry.rank, entry.job.submitted_ms) < (other.rank, other.job.submitted_ms)
            };
            if first.as_ref().is_none_or(precedes) {
                first = Some(entry);
            }
        }
        let Some(first) = first else { return };
        if !self.place(first) {
            self.reservation = Reservation::new(&self.occupancy, first);
        }
    }

    // Places a job on free resources: anywhere if it can be evicted. Otherwise, or if no slots are
    // found, in its customer's guarantee.
    pub(super) fn place(&mut self, entry: &Entry<'a>) -> bool {
        let job = entry.job;
        if self.placed.contains(job.id.as_str()) {
            return true;
        }
        let requirement = Requirement::new(job, &self.occupancy);
        let respects_reservation = self
            .reservation
            .as_ref()
            .is_some_and(|reservation| reservation.forbids(entry, self.view.now_ms));
        let requirement = requirement.with_reservation(respects_reservation);
        if self.unplaceable.contains(&requirement) {
            return false;
        }
        let availability = Availability::free(&self.occupancy);
        if self.place_anywhere(job, &availability, requirement, respects_reservation) {
            return true;
        }
        if let Some(slots) = self.find_in_guarantee(job, &availability) {
            self.allocate(job, slots, true, "free, inside the guarantee");
            return true;
        }
        self.unplaceable.insert(requirement);
        false
    }

    // Places an evictable job anywhere, at the lowest cost. Cells reserved for its own customer
    // have no cost of a later reclaim.
    fn place_anywhere(
        &mut self,
        job: &'a Job,
        free: &Availability,
        requirement: Requirement<'a>,
        respects_reservation: bool,
    ) -> bool {
        let requirement = requirement.for_any_customer();
        if !job.spec.evictable || self.unplaceable.contains(&requirement) {
            return false;
        }
        let mut availability = free.clone();
        if respects_reservation && let Some(reservation) = &self.reservation {
            for (allowed, block) in availability.allowed.iter_mut().zip(&reservation.blocks) {
                *allowed &= !block;
            }
        }
        let Some(slots) = self.find_slots(job, &availability) else {
            self.unplaceable.insert(requirement);
            return false;
        };
        let guaranteed = self.is_within_guarantee(job, &slots) && !self.exceeds_share(job, &slots);
        self.allocate(job, slots, guaranteed, "free, least cost");
        true
    }

    fn find_in_guarantee(&self, job: &Job, free: &Availability) -> Option<Vec<Slot>> {
        let customer = self.occupancy.customer_of(job)?;
        if self.plan.reserved_count(Some(customer)) < job.spec.parts * job.spec.accelerators {
            return None;
        }
        let mut availability = free.clone();
        for (worker, allowed) in availability.allowed.iter_mut().enumerate() {
            *allowed &= self.plan.reserved_for(Some(customer), worker);
        }
        eviction::limit_to_guaranteed_share(
            &mut availability,
            &self.occupancy,
            &self.plan,
            Some(customer),
        );
        self.find_slots(job, &availability)
    }

    // Whether the job needs more cores or memory than the share that belongs to the reserved cells.
    fn exceeds_share(&self, job: &Job, slots: &[Slot]) -> bool {
        let mut availability = Availability::free(&self.occupancy);
        let customer = self.occupancy.customer_of(job);
        eviction::limit_to_guaranteed_share(
            &mut availability,
            &self.occupancy,
            &self.plan,
            customer,
        );
        slots.iter().any(|slot| {
            let parts = slots.iter().filter(|other| other.worker == slot.worker).count() as i64;
            availability.cores[slot.worker] < parts * i64::from(job.spec.cores)
                || availability.memory_mib[slot.worker] < parts * job.spec.memory_mib as i64
        })
    }

    fn find_slots(&self, job: &Job, availability: &Availability) -> Option<Vec<Slot>> {
        let customer = self.occupancy.customer_of(job);
        let placement = &self.view.document.placement;
        let cost = |slot: Slot| {
            score::slot_cost(placement, &self.occupancy, &self.plan, customer, slot)
                .min(score::MAX_SLOT_COST)
                + self.failure_penalty(job, slot)
        };
        fit::find_slots(&self.occupancy, job, availability, &cost)
    }

    fn failure_penalty(&self, job: &Job, slot: Slot) -> u64 {
        let name = &self.occupancy.workers[slot.worker].worker.name;
        if job.failed_on.contains_key(name) { score::FAILED_WORKER_COST } else { 0 }
    }

    // Searches for slots that evictions can free, and starts these evictions.
    pub(super) fn preempt(&mut self, entry: &Entry<'a>) -> Option<Preemption> {
        let job = entry.job;
        let requirement = Requirement::new(job, &self.occupancy);
        if self.unplaceable_by_eviction.contains(&requirement) {
            return None;
        }
        let customer = self.occupancy.customer_of(job);
        // Outside guarantees, other jobs are evicted only for work that can't wait.
        let is_urgent = entry.rank == 0 || entry.is_late;
        let mut preemptor = Preemptor { customer, rank: entry.rank, guaranteed: true };
        let mut slots = self.find_evictable_slots(job, preemptor);
        // The limit does not apply within guarantees: a guarantee is reclaimed however many jobs
        // wait.
        let may_search = is_urgent && self.eviction_searches < MAX_EVICTION_SEARCHES;
        if slots.is_none() && may_search && job.spec.evictable {
            self.eviction_searches += 1;
            preemptor.guaranteed = false;
            slots = self.find_evictable_slots(job, preemptor);
        }
        let Some(slots) = slots else {
            self.unplaceable_by_eviction.insert(requirement);
            return None;
        };
        let spec = &job.spec;
        let now_ms = self.view.now_ms;
        let victims =
            preemptor.victims(&self.occupancy, &slots, spec.cores, spec.memory_mib, now_ms);
        self.evict(&victims, &job.id);
        self.claim_slots(&slots);
        Some(Preemption { parts: self.occupancy.to_parts(&slots) })
    }

    fn find_evictable_slots(&self, job: &Job, preemptor: Preemptor) -> Option<Vec<Slot>> {
        let required = job.spec.parts * job.spec.accelerators;
        if preemptor.guaranteed && self.plan.reserved_count(preemptor.customer) < required {
            return None;
        }
        let availability = preemptor.availability(&self.occupancy, &self.plan);
        let now_ms = self.view.now_ms;
        let cost = |slot: Slot| {
            let loss = eviction::slot_loss(&self.occupancy, slot, now_ms);
            loss.min(score::MAX_SLOT_COST) + self.failure_penalty(job, slot)
        };
        fit::find_slots(&self.occupancy, job, &availability, &cost)
    }

    fn evict(&mut self, victims: &[usize], claimant: &str) {
        for &index in victims {
            let allocation = &mut self.occupancy.allocations[index];
            if allocation.stopping {
                continue;
            }
            allocation.stopping = true;
            let Some(gang) = allocation.job.phase.gang() else { continue };
            self.decisions.push(Decision::Stop {
                job: allocation.job.id.clone(),
                epoch: gang.epoch,
                next: Disposition::Wait,
                reason: format!("evicted for {claimant}"),
            });
        }
    }

    fn claim_slots(&mut self, slots: &[Slot]) {
        for slot in slots {
            self.occupancy.workers[slot.worker].claimed |= slot.block;
        }
    }

    fn allocate(&mut self, job: &'a Job, slots: Vec<Slot>, guaranteed: bool, reason: &str) {
        let parts = self.occupancy.to_parts(&slots);
        self.placed.insert(&job.id);
        self.occupancy.add(Allocation {
            job,
            customer: self.occupancy.customer_of(job),
            rank: self.occupancy.rank_of(job),
            slots,
            guaranteed,
            in_reserved_cells: guaranteed,
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
