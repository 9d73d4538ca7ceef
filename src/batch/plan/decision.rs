//! A decision in progress: what is placed, stopped and reserved so far.

use std::collections::{BTreeMap, BTreeSet};

use super::allocation::{self, Allocation};
use super::candidate::Class;
use super::evict::{Evictor, Selection};
use super::foresight::Keeps;
use super::{Candidate, Cluster, Explanation, Plan, View, reserve};
use crate::batch::job::TaskId;
use crate::batch::table::Start;

/// Maximum number of eviction searches in one decision; bounds the time that a decision takes.
const MAX_EVICTION_SEARCHES: usize = 6;
/// Maximum number of gangs for which one decision reserves capacity ahead of less urgent work.
const MAX_RESERVATIONS: usize = 5;

/// State of a decision in progress.
pub(super) struct Decision<'a> {
    pub(super) view: View<'a>,
    pub(super) cluster: Cluster<'a>,
    evictor: Evictor<'a>,
    pub(super) plan: Plan,
    eviction_searches: usize,
    reservations: usize,
    // Free capacity only shrinks within a decision, so a class that did not fit once is not tried
    // again.
    pub(super) unplaceable: BTreeSet<Class<'a>>,
}

impl<'a> Decision<'a> {
    pub(super) fn new(view: View<'a>, keeps: &Keeps) -> Self {
        let cluster = Cluster::new(view, keeps);
        let utilization =
            cluster.utilization.iter().map(|(pool, share)| (pool.to_string(), *share));
        let excluded_workers = cluster.excluded.values().map(Vec::len).sum();
        let utilization = utilization.collect();
        let plan = Plan { utilization, excluded_workers, ..Plan::default() };
        let unplaceable = BTreeSet::new();
        Self {
            view,
            cluster,
            evictor: Evictor::new(view),
            plan,
            eviction_searches: 0,
            reservations: 0,
            unplaceable,
        }
    }

    // Whether an equivalent candidate did not fit, and this one may not evict others.
    pub(super) fn is_unplaceable(&self, candidate: &Candidate<'_>) -> bool {
        self.unplaceable.contains(&candidate.equivalence_class())
            && !candidate.may_evict(&self.view)
    }

    pub(super) fn cut_short(&mut self, candidates_left: usize) {
        self.plan.waiting += candidates_left;
        self.plan.is_cut_short = true;
    }

    // Holds capacity for a step that other runs free: soon by themselves, or because they are evicted.
    pub(super) fn make_room(&mut self, candidate: &Candidate<'_>) -> Option<Selection> {
        if self.eviction_searches >= MAX_EVICTION_SEARCHES {
            return None;
        }
        let found = self.evictor.find(&self.cluster, candidate);
        let is_promise = found.as_ref().is_some_and(|found| found.runs.is_empty());
        if !is_promise {
            self.eviction_searches += 1;
        }
        let found = found?;
        hold_capacity(&mut self.cluster, candidate, &found.slots);
        for (worker, demand) in &found.freed {
            if let Some(at) = self.cluster.position(worker) {
                self.cluster.owed[at].subtract(demand, false);
            }
        }
        if is_promise {
            return Some(found);
        }
        let is_guarantee_due = candidate.is_guarantee_due(&self.view);
        let reason =
            if is_guarantee_due { "reclaims its guarantee" } else { "stops less urgent runs" };
        let explanation = candidate.explain(&self.view, 0, reason);
        self.plan.explanations.push(Explanation { evicted: found.runs.clone(), ..explanation });
        self.plan.round.stops.extend(found.runs.iter().copied());
        Some(found)
    }

    // Places a step whose guarantee can't be kept otherwise on workers that are excluded for failures, as
    // far as the open ones have no room. Returns how many of its tasks were placed.
    pub(super) fn place_on_excluded(&mut self, candidate: &Candidate<'_>, allowed: usize) -> usize {
        if !candidate.is_guarantee_critical(&self.view) {
            return 0;
        }
        let mut allocation = allocation::find_among_all(&self.cluster, candidate);
        allocation.truncate(allowed as u64);
        if !allocation.is_empty() {
            place(&mut self.cluster, candidate, &allocation, &mut self.plan);
        }
        if allocation.count() >= candidate.tasks.len() {
            self.plan.waiting -= 1;
        }
        allocation.count()
    }

    // Reserves capacity for a gang ahead of the less urgent candidates that follow.
    pub(super) fn reserve(&mut self, candidate: &Candidate<'_>) {
        let is_useful = candidate.step.is_gang && !candidate.is_expired;
        // Capacity reserved for a gang that can never fit would stay idle.
        if !is_useful
            || self.reservations >= MAX_RESERVATIONS
            || !allocation::fits_empty_pool(&self.cluster, candidate)
        {
            return;
        }
        self.reservations += 1;
        if let Some(slots) = reserve::find(&self.cluster, candidate) {
            hold_capacity(&mut self.cluster, candidate, &slots);
        }
    }
}

pub(super) fn place(
    cluster: &mut Cluster<'_>,
    candidate: &Candidate<'_>,
    allocation: &Allocation,
    plan: &mut Plan,
) {
    let (job, occurrence, step) = candidate.id;
    let gang_run = candidate.next_gang_run();
    let mut tasks = candidate.tasks.iter();
    for (at, count) in &allocation.slots {
        cluster.allocate(*at, &candidate.step.demand, candidate.step.is_filler, *count);
        cluster.neighbours.add(*at, &cluster.view, candidate);
        let worker = &cluster.workers[*at];
        for index in tasks.by_ref().take(*count as usize) {
            let task = TaskId { job, occurrence, step, index };
            let run = gang_run.unwrap_or_else(|| candidate.progress.tasks[index as usize].runs + 1);
            plan.round.starts.push(Start {
                task,
                run,
                worker: worker.name.to_string(),
                incarnation: worker.incarnation,
            });
        }
    }
    plan.explanations.push(candidate.explain(&cluster.view, allocation.count(), allocation.reason));
}

// Withdraws capacity from the candidates that follow without starting anything on it.
pub(super) fn hold_capacity(
    cluster: &mut Cluster<'_>,
    candidate: &Candidate<'_>,
    slots: &BTreeMap<String, u64>,
) {
    for (worker, count) in slots {
        let Some(at) = cluster.position(worker) else { continue };
        cluster.allocate(at, &candidate.step.demand, candidate.step.is_filler, *count);
    }
}
