//! Room for an urgent step: what frees by itself soon, or else the cheapest runs to evict.

mod index;

use std::collections::{BTreeMap, BTreeSet};

use super::allocation::{is_eligible, task_limit_on};
use super::{Candidate, Cluster, View, candidate, foresight, worker_groups};
use crate::batch::job::{Resources, Step, TaskId};
use index::{Allocation, Index, Taken};

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
    // What earlier searches of the decision have selected.
    spent: Budget,
}

/// Room for some tasks on one worker, made by the same victims.
struct Slot {
    // Position of the worker among those that are searched.
    member: usize,
    tasks: u64,
    // When the last run that is waited for is expected to end; 0 if there is none.
    at_ms: u64,
    // Cost of the victims that no earlier slot on the worker has.
    cost_core_ms: u64,
    // Number of the worker's victims that must stop: a slot also relies on those of the earlier ones.
    victims: usize,
}

/// Slots on one worker, with the victims that make them, in the order in which they are needed.
#[derive(Default)]
struct Slots {
    slots: Vec<Slot>,
    victims: Vec<usize>,
}

impl<'a> Evictor<'a> {
    pub(super) fn new(view: View<'a>) -> Self {
        Self { view, index: None, spent: Budget::default() }
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
        let search = Search { cluster, candidate, index, spent: &self.spent, terms };
        let mut best: Option<Room> = None;
        for members in worker_groups(cluster, candidate) {
            let Some(room) = search.find_room(&members) else { continue };
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
        for (worker, tasks) in room.tasks {
            *slots.entry(cluster.workers[worker].name.to_string()).or_insert(0) += tasks;
        }
        let runs = room.victims.iter().flat_map(|victim| index.runs_of(*victim)).collect();
        let mut freed: BTreeMap<&str, Resources> = BTreeMap::new();
        for (worker, allocation) in index.allocations_of(&room.victims) {
            freed.entry(worker).or_default().add(index.demand(allocation), false);
        }
        let freed = freed.into_iter().map(|(worker, demand)| (worker.to_string(), demand));
        self.spent.spend(index, room.victims);
        Selection { runs, slots, freed: freed.collect() }
    }
}

/// Room for the whole step in a group of workers.
struct Room {
    // Workers, each with a number of tasks; one may occur several times.
    tasks: Vec<(usize, u64)>,
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

/// Victims that are selected, and what they take from the quotas.
#[derive(Clone, Debug, Default)]
struct Budget {
    taken: Taken,
    victims: BTreeSet<usize>,
}

impl Budget {
    // Adds victims that the quotas permit.
    fn spend(&mut self, index: &Index<'_>, victims: impl IntoIterator<Item = usize>) {
        for victim in victims {
            if self.victims.insert(victim) {
                self.taken.take(index, victim);
            }
        }
    }

    // Adds all these victims, or none if the quotas don't permit that. Returns whether it has.
    fn try_spend(&mut self, index: &Index<'_>, victims: &[usize]) -> bool {
        let is_new = |victim: &&usize| !self.victims.contains(victim);
        let limited = victims.iter().filter(|victim| !index.is_unlimited(**victim));
        let limited: BTreeSet<usize> = limited.filter(is_new).copied().collect();
        if !limited.is_empty() {
            let mut taken = self.taken.clone();
            if !limited.iter().all(|victim| taken.take(index, *victim)) {
                return false;
            }
            self.taken = taken;
        }
        self.victims.extend(victims);
        true
    }
}

/// A search for room for a step.
struct Search<'a> {
    cluster: &'a Cluster<'a>,
    candidate: &'a Candidate<'a>,
    index: &'a Index<'a>,
    spent: &'a Budget,
    terms: Terms,
}

impl Search<'_> {
    // The cheapest room for the step that a group of workers has.
    fn find_room(&self, members: &[usize]) -> Option<Room> {
        let mut slots = Vec::new();
        let mut victims = Vec::with_capacity(members.len());
        for (member, at) in members.iter().enumerate() {
            let on_worker = self.slots_on(*at, member);
            slots.extend(on_worker.slots);
            victims.push(on_worker.victims);
        }
        let required = self.candidate.tasks.len() as u64;
        if slots.iter().map(|slot| slot.tasks).fold(0, u64::saturating_add) < required {
            return None;
        }
        slots.sort_by_key(|slot| (slot.cost_core_ms, slot.at_ms));
        let mut budget = Budget { taken: self.spent.taken.clone(), victims: BTreeSet::new() };
        // Number of the victims on each worker that are selected.
        let mut selected = vec![0; members.len()];
        let mut room =
            Room { tasks: Vec::new(), victims: BTreeSet::new(), cost_core_ms: 0, at_ms: 0 };
        let mut left = required;
        for slot in slots {
            if left == 0 {
                break;
            }
            let selected = &mut selected[slot.member];
            let added = victims[slot.member].get(*selected..slot.victims).unwrap_or_default();
            if !budget.try_spend(self.index, added) {
                continue;
            }
            *selected = slot.victims.max(*selected);
            let tasks = slot.tasks.min(left);
            left -= tasks;
            room.tasks.push((members[slot.member], tasks));
            room.at_ms = room.at_ms.max(slot.at_ms);
        }
        if left > 0 {
            return None;
        }
        room.victims = budget.victims;
        let costs = room.victims.iter().map(|victim| self.index.cost_core_ms(*victim));
        room.cost_core_ms = costs.fold(0, u64::saturating_add);
        Some(room)
    }

    // Slots on one worker, each with the victims that must stop for it, cheapest first.
    fn slots_on(&self, at: usize, member: usize) -> Slots {
        let Self { cluster, candidate, index, terms, .. } = self;
        let step = candidate.step;
        let worker = &cluster.workers[at];
        let mut found = Slots::default();
        if !is_eligible(candidate, worker) {
            return found;
        }
        let mut left = task_limit_on(candidate, worker);
        let mut free = worker.free;
        let mut pending = Pending::new(self.spent);
        let allocations = if terms.may_evict { index.allocations_on(worker.name) } else { &[] };
        let endings = foresight::endings_until(cluster, at, terms.until_ms);
        let mut evictable = allocations.iter().filter(|allocation| {
            let task = index.task(allocation);
            !self.spent.victims.contains(&allocation.victim)
                && !endings.iter().any(|ending| ending.task == task)
                && index.yields(allocation.victim, candidate, &cluster.view)
        });
        let mut endings = endings.iter();
        let mut owed = cluster.owed[at];
        let mut at_ms = 0;
        while left > 0 {
            if free.count_fitting(&step.demand, step.is_filler) > 0 {
                let (cost_core_ms, victims) = pending.settle(index, &mut free, step);
                found.victims.extend(victims);
                let victims = found.victims.len();
                // What is left of the freed room costs nothing more.
                let fitting = free.count_fitting(&step.demand, step.is_filler).min(left);
                for (tasks, cost_core_ms) in [(1, cost_core_ms), (fitting - 1, 0)] {
                    if tasks > 0 {
                        found.slots.push(Slot { member, tasks, at_ms, cost_core_ms, victims });
                    }
                }
                (0..fitting).for_each(|_| free.subtract(&step.demand, step.is_filler));
                left -= fitting;
                continue;
            }
            if let Some(ending) = endings.next() {
                free.add(&ending.demand, ending.is_filler);
                free.settle(&mut owed);
                at_ms = ending.at_ms;
                continue;
            }
            let Some(allocation) = evictable.next() else { break };
            if pending.push(index, *allocation) {
                free.add(index.demand(allocation), index.is_filler(allocation));
            }
        }
        found
    }
}

/// Runs on one worker that are to make room for the next task, and what is selected there already.
struct Pending {
    allocations: Vec<Allocation>,
    settled: Budget,
    // What the quotas leave with the pending runs.
    taken: Option<Taken>,
    limited: BTreeSet<usize>,
}

impl Pending {
    fn new(spent: &Budget) -> Self {
        Self {
            allocations: Vec::new(),
            settled: Budget { taken: spent.taken.clone(), victims: BTreeSet::new() },
            taken: None,
            limited: BTreeSet::new(),
        }
    }

    // Adds a run, if the quotas permit that. Returns whether it has.
    fn push(&mut self, index: &Index<'_>, allocation: Allocation) -> bool {
        let victim = allocation.victim;
        let is_counted = index.is_unlimited(victim)
            || self.settled.victims.contains(&victim)
            || self.limited.contains(&victim);
        if !is_counted {
            let taken = self.taken.get_or_insert_with(|| self.settled.taken.clone());
            if !taken.take(index, victim) {
                return false;
            }
            self.limited.insert(victim);
        }
        self.allocations.push(allocation);
        true
    }

    // Selects the pending runs but for those, most expensive first, that need not be freed for a task of
    // the step to fit. Returns what they cost and their victims.
    fn settle(
        &mut self,
        index: &Index<'_>,
        free: &mut Resources,
        step: &Step,
    ) -> (u64, Vec<usize>) {
        let mut victims = Vec::with_capacity(self.allocations.len());
        let mut cost_core_ms = 0u64;
        for allocation in self.allocations.drain(..).rev() {
            let mut without = *free;
            without.subtract(index.demand(&allocation), index.is_filler(&allocation));
            if without.count_fitting(&step.demand, step.is_filler) > 0 {
                *free = without;
                continue;
            }
            victims.push(allocation.victim);
            cost_core_ms = cost_core_ms.saturating_add(index.cost_core_ms(allocation.victim));
        }
        victims.reverse();
        self.settled.spend(index, victims.iter().copied());
        (self.taken, self.limited) = (None, BTreeSet::new());
        (cost_core_ms, victims)
    }
}
