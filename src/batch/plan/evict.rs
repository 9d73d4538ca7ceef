//! Room for an urgent step: what frees by itself soon, or else the cheapest runs to evict.

mod index;

use std::collections::{BTreeMap, BTreeSet};

use super::allocation::{is_eligible, task_limit_on};
use super::{Candidate, Cluster, View, candidate, foresight, worker_groups};
use crate::batch::job::{Resources, Step, TaskId};
use index::{Allocation, Index, Quotas};

/// Runs to evict, and the slots that they free together with the capacity that is free already or soon.
#[derive(Debug)]
pub(super) struct Selection {
    /// Empty if the step is to wait for runs that end by themselves.
    pub(super) runs: Vec<(TaskId, u32)>,
    pub(super) slots: BTreeMap<String, u64>,
    /// What the evicted runs free, by worker.
    pub(super) freed: Vec<(String, Resources)>,
}

/// What a search may count on besides free capacity.
#[derive(Clone, Copy)]
struct Terms {
    // Wall time by which runs have to end by themselves, in milliseconds; 0 if none is waited for.
    until_ms: u64,
    may_evict: bool,
}

/// Searches for evictions within one decision.
pub(super) struct Evictor<'a> {
    view: View<'a>,
    index: Option<Index<'a>>,
    // Victims that an earlier search of the decision selected.
    evicted: BTreeSet<usize>,
}

/// Room for one task, with the victims that must stop for it.
struct Slot {
    worker: usize,
    // When the last run that is waited for is expected to end; 0 if there is none.
    at_ms: u64,
    cost_core_ms: u64,
    victims: Vec<usize>,
}

impl<'a> Evictor<'a> {
    pub(super) fn new(view: View<'a>) -> Self {
        Self { view, index: None, evicted: BTreeSet::new() }
    }

    /// Finds room for the whole step: where runs end by themselves soon enough, otherwise where the
    /// cheapest runs can be evicted.
    pub(super) fn find(
        &mut self,
        cluster: &Cluster<'_>,
        candidate: &Candidate<'_>,
    ) -> Option<Selection> {
        let view = self.view;
        let waits_until_ms = foresight::waits_until_ms(&view, candidate);
        if let Some(until_ms) = waits_until_ms {
            let promised = self.search(cluster, candidate, Terms { until_ms, may_evict: false });
            if let Some(room) = promised {
                return Some(self.select(cluster, room));
            }
        }
        // Runs that end while others stop need not stop.
        let until_ms = waits_until_ms.map_or(0, |_| view.wall_ms + candidate::EVICTION_MS);
        let room = self.search(cluster, candidate, Terms { until_ms, may_evict: true })?;
        if room.cost_core_ms > candidate.eviction_budget_core_ms(&view) {
            return None;
        }
        if room.victims.is_empty() && candidate.step.is_gang {
            return None;
        }
        Some(self.select(cluster, room))
    }

    // The cheapest room of all groups of workers, and of these the one that is free first.
    fn search(
        &mut self,
        cluster: &Cluster<'_>,
        candidate: &Candidate<'_>,
        terms: Terms,
    ) -> Option<Room> {
        let view = self.view;
        let index = self.index.get_or_insert_with(|| Index::new(&view));
        let mut best: Option<Room> = None;
        for members in worker_groups(cluster, candidate) {
            let room = find_room(cluster, candidate, members, index, &self.evicted, terms);
            let Some(room) = room else { continue };
            if best.as_ref().is_none_or(|best| room.rank() < best.rank()) {
                best = Some(room);
            }
        }
        best
    }

    // Takes the victims of a room out of further searches.
    fn select(&mut self, cluster: &Cluster<'_>, room: Room) -> Selection {
        let view = self.view;
        let index = self.index.get_or_insert_with(|| Index::new(&view));
        let mut slots = BTreeMap::new();
        for slot in room.slots {
            *slots.entry(cluster.workers[slot.worker].name.to_string()).or_insert(0) += 1;
        }
        for victim in &room.victims {
            index.quotas.take(&index.victims[*victim]);
        }
        self.evicted.extend(room.victims.iter().copied());
        let runs = room.victims.iter().flat_map(|at| index.victims[*at].runs.clone()).collect();
        let mut freed = Vec::new();
        for (worker, allocations) in &index.allocations {
            for allocation in allocations.iter().filter(|one| room.victims.contains(&one.victim)) {
                freed.push((worker.to_string(), allocation.demand));
            }
        }
        Selection { runs, slots, freed }
    }
}

/// Room for the whole step in a group of workers.
struct Room {
    slots: Vec<Slot>,
    // A gang that is evicted for several slots is counted once.
    victims: BTreeSet<usize>,
    cost_core_ms: u64,
    // When the last run that is waited for is expected to end; 0 if there is none.
    at_ms: u64,
}

impl Room {
    fn rank(&self) -> (u64, u64) {
        (self.cost_core_ms, self.at_ms)
    }
}

// The cheapest room for the step that a group of workers has.
fn find_room(
    cluster: &Cluster<'_>,
    candidate: &Candidate<'_>,
    members: Vec<usize>,
    index: &Index<'_>,
    evicted: &BTreeSet<usize>,
    terms: Terms,
) -> Option<Room> {
    let mut slots = Vec::new();
    for at in members {
        slots.extend(slots_on(cluster, candidate, at, index, evicted, terms));
    }
    let required = candidate.tasks.len();
    if slots.len() < required {
        return None;
    }
    slots.sort_by_key(|slot| (slot.cost_core_ms, slot.at_ms));
    let (slots, victims) = cheapest_within_quotas(index, slots, required)?;
    let at_ms = slots.iter().map(|slot| slot.at_ms).max().unwrap_or(0);
    let costs = victims.iter().map(|at| index.victims[*at].cost_core_ms);
    let cost_core_ms = costs.fold(0, u64::saturating_add);
    Some(Room { slots, victims, cost_core_ms, at_ms })
}

// The first `required` slots whose victims the quotas permit, with all these victims.
fn cheapest_within_quotas(
    index: &Index<'_>,
    slots: Vec<Slot>,
    required: usize,
) -> Option<(Vec<Slot>, BTreeSet<usize>)> {
    let mut budget = Budget::new(&index.quotas);
    let mut chosen = Vec::new();
    for slot in slots {
        if chosen.len() == required {
            break;
        }
        if !budget.allows(index, slot.victims.iter().copied()) {
            continue;
        }
        budget.spend(index, &slot.victims);
        chosen.push(slot);
    }
    (chosen.len() == required).then_some((chosen, budget.victims))
}

/// What the quotas leave after the victims that are selected so far.
struct Budget {
    quotas: Quotas,
    victims: BTreeSet<usize>,
}

impl Budget {
    fn new(quotas: &Quotas) -> Self {
        Self { quotas: quotas.clone(), victims: BTreeSet::new() }
    }

    // Whether all these victims can be added.
    fn allows(&self, index: &Index<'_>, victims: impl Iterator<Item = usize> + Clone) -> bool {
        if victims.clone().all(|victim| index.victims[victim].is_unlimited()) {
            return true;
        }
        let added: BTreeSet<usize> = victims.collect();
        let mut quotas = self.quotas.clone();
        added.difference(&self.victims).all(|victim| quotas.take(&index.victims[*victim]))
    }

    fn spend(&mut self, index: &Index<'_>, victims: &[usize]) {
        for victim in victims {
            if self.victims.insert(*victim) {
                self.quotas.take(&index.victims[*victim]);
            }
        }
    }
}

// Slots on one worker, each with the victims that must stop for it, cheapest first.
fn slots_on(
    cluster: &Cluster<'_>,
    candidate: &Candidate<'_>,
    at: usize,
    index: &Index<'_>,
    evicted: &BTreeSet<usize>,
    terms: Terms,
) -> Vec<Slot> {
    let step = candidate.step;
    let worker = &cluster.workers[at];
    if !is_eligible(candidate, worker) {
        return Vec::new();
    }
    let limit = task_limit_on(candidate, worker);
    let mut free = worker.free;
    let mut slots = Vec::new();
    let mut pending: Vec<Allocation> = Vec::new();
    let mut budget = Budget::new(&index.quotas);
    let allocations = index.allocations.get(worker.name).map_or(&[][..], Vec::as_slice);
    let allocations = if terms.may_evict { allocations } else { &[] };
    let endings = foresight::endings_until(cluster, at, terms.until_ms);
    let mut evictable = allocations.iter().filter(|allocation| {
        !evicted.contains(&allocation.victim)
            && !endings.iter().any(|ending| ending.task == allocation.task)
            && index.victims[allocation.victim].yields_to(candidate, &cluster.view)
    });
    let mut endings = endings.iter();
    let mut owed = cluster.owed[at];
    let mut at_ms = 0;
    while (slots.len() as u64) < limit {
        if free.count_fitting(&step.demand, step.is_filler) > 0 {
            drop_unneeded(&mut pending, &mut free, step);
            let cost_core_ms = pending
                .iter()
                .map(|allocation| index.victims[allocation.victim].cost_core_ms)
                .fold(0, u64::saturating_add);
            let victims: Vec<usize> =
                pending.drain(..).map(|allocation| allocation.victim).collect();
            budget.spend(index, &victims);
            free.subtract(&step.demand, step.is_filler);
            slots.push(Slot { worker: at, at_ms, cost_core_ms, victims });
            continue;
        }
        if let Some(ending) = endings.next() {
            free.add(&ending.demand, ending.is_filler);
            free.settle(&mut owed);
            at_ms = ending.at_ms;
            continue;
        }
        let Some(allocation) = evictable.next() else { break };
        let wanted = pending.iter().chain([allocation]).map(|allocation| allocation.victim);
        if !budget.allows(index, wanted) {
            continue;
        }
        free.add(&allocation.demand, allocation.is_filler);
        pending.push(*allocation);
    }
    // A later slot also relies on the victims of the earlier ones.
    let mut so_far = Vec::new();
    for slot in &mut slots {
        so_far.append(&mut slot.victims);
        slot.victims.clone_from(&so_far);
    }
    slots
}

// Removes allocations, most expensive first, that need not be freed for a task of the step to fit.
fn drop_unneeded(pending: &mut Vec<Allocation>, free: &mut Resources, step: &Step) {
    for at in (0..pending.len()).rev() {
        let allocation = pending[at];
        let mut without = *free;
        without.subtract(&allocation.demand, allocation.is_filler);
        if without.count_fitting(&step.demand, step.is_filler) > 0 {
            *free = without;
            pending.remove(at);
        }
    }
}
