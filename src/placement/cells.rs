//! Policy `cells`: guarantees reserved as buddy cells, priority ranks, eviction and backfill.

use std::collections::{BTreeMap, BTreeSet};

use super::capacity::{Occupancy, Slot};
use super::estimate::Estimator;
use super::guarantee::{self, Assignment, Plan};
use super::queue::{self, Entry};
use super::round::{Preemption, Round};
use super::shape::{self, Requirement};
use super::{Decision, Policy, View, Worker, audit};
use crate::kernel::plugin::Registration;
use crate::state::document::Document;
use crate::state::job::{Job, Part};

inventory::submit! {
    Registration { name: "cells", build: || Box::new(Cells::default()) }
}

/// The policy. Its state is a cache that can be rebuilt from the view at any time.
#[derive(Debug, Default)]
pub struct Cells {
    estimator: Estimator,
    document: Document,
    workers: Vec<Worker>,
    // Reserved cells of the latest plan, by indices into `document` and `workers`.
    assignments: Vec<Assignment>,
    rack_size: u32,
    // Every worker seen so far: a worker that is down for a moment still counts when deciding
    // whether the fleet could ever run a job.
    known_workers: BTreeMap<String, Worker>,
    fleet: Vec<Worker>,
    // Reserved cells of the whole fleet with nothing allocated.
    fleet_plan: Plan,
    // Digests of requirements that the whole fleet can satisfy.
    feasible: BTreeSet<u64>,
    preemptions: BTreeMap<String, Preemption>,
    // Job of the latest reservation, kept for `explain`.
    reservation: Option<String>,
}

impl Policy for Cells {
    fn decide(&mut self, view: &View<'_>) -> Vec<Decision> {
        self.estimator.learn(view.jobs);
        let mut occupancy = Occupancy::new(view, &self.estimator);
        let plan = self.update_plan(view, &occupancy);
        plan.mark_allocations(&mut occupancy);
        let mut round = Round::new(view, occupancy, plan);
        self.resume_preemptions(&mut round);
        let entries = queue::waiting_entries(view, &round.occupancy, &self.estimator);
        let entries = self.refuse_impossible(&mut round, entries);
        round.reserve(&entries, &self.preemptions);
        self.reservation = round.reservation.as_ref().map(|reservation| reservation.job.clone());
        for entry in &entries {
            if self.preemptions.contains_key(&entry.job.id) {
                continue;
            }
            if round.place(entry) {
                continue;
            }
            if let Some(preemption) = round.preempt(entry) {
                self.preemptions.insert(entry.job.id.clone(), preemption);
            }
        }
        debug_assert_eq!(audit::violations(&round.occupancy, &round.plan), Vec::new());
        round.decisions
    }

    fn explain(&self, view: &View<'_>, job: &Job) -> String {
        let mut occupancy = Occupancy::new(view, &self.estimator);
        let assignments =
            if self.workers == view.workers { self.assignments.as_slice() } else { &[] };
        let plan = guarantee::pack(view.document, &occupancy, assignments, self.rack_size);
        plan.mark_allocations(&mut occupancy);
        let mut text = format!("{} waits: ", job.id);
        if let Some(preemption) = self.preemptions.get(&job.id) {
            text.push_str(&format!("for evictions on {}", worker_names(&preemption.parts)));
            return text;
        }
        text.push_str(&shape::describe_shortage(&occupancy, &plan, job));
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
    fn update_plan(&mut self, view: &View<'_>, occupancy: &Occupancy<'_>) -> Plan {
        let changed = self.document != *view.document || self.workers != view.workers;
        for worker in view.workers {
            if self.known_workers.get(&worker.name).is_none_or(|known| known.shape != worker.shape)
            {
                self.known_workers
                    .insert(worker.name.clone(), Worker { is_schedulable: true, ..worker.clone() });
            }
        }
        if changed {
            self.feasible.clear();
            self.fleet = self.known_workers.values().cloned().collect();
            let empty_fleet = Occupancy::empty(view.document, &self.fleet);
            self.rack_size = guarantee::rack_size(&empty_fleet);
            self.fleet_plan = guarantee::pack(view.document, &empty_fleet, &[], self.rack_size);
            self.assignments = self.remap_assignments(occupancy);
            self.document = view.document.clone();
            self.workers = view.workers.to_vec();
        }
        let plan = guarantee::pack(view.document, occupancy, &self.assignments, self.rack_size);
        self.assignments = plan.assignments.clone();
        plan
    }

    // Translates reserved cells to the indices of the current customers and workers. Cells of
    // removed customers and cells on lost workers are dropped.
    fn remap_assignments(&self, new: &Occupancy<'_>) -> Vec<Assignment> {
        let mut remapped = Vec::new();
        for assignment in &self.assignments {
            let name =
                |index: usize| self.document.customers.get(index).map(|customer| &customer.name);
            let customer = name(assignment.customer).and_then(|name| new.customer_index(name));
            let Some(customer) = customer else { continue };
            let mut slots = Vec::new();
            for slot in &assignment.slots {
                let Some(worker) = new.worker_index(&self.workers[slot.worker].name) else { break };
                slots.push(Slot { worker, block: slot.block });
            }
            if slots.len() == assignment.slots.len() {
                remapped.push(Assignment { customer, cell: assignment.cell, slots });
            }
        }
        remapped
    }

    // Places the jobs whose evictions have finished, and forgets preemptions that can no longer
    // succeed.
    fn resume_preemptions(&mut self, round: &mut Round<'_>) {
        let preemptions = std::mem::take(&mut self.preemptions);
        for (id, preemption) in preemptions {
            if round.resume(&id, &preemption) {
                self.preemptions.insert(id, preemption);
            }
        }
    }

    fn refuse_impossible<'a>(
        &mut self,
        round: &mut Round<'a>,
        entries: Vec<Entry<'a>>,
    ) -> Vec<Entry<'a>> {
        // A fleet too small for the guarantees is missing workers, so a job that does not fit now
        // may fit once they are back.
        if !round.view.is_fleet_complete
            || !round.plan.risks.is_empty()
            || self.known_workers.is_empty()
        {
            return entries;
        }
        let empty_fleet = Occupancy::empty(round.view.document, &self.fleet);
        let mut remaining = Vec::with_capacity(entries.len());
        for entry in entries {
            let digest = Requirement::new(entry.job, &round.occupancy).digest();
            if entry.job.failed_on.is_empty() && self.feasible.contains(&digest) {
                remaining.push(entry);
                continue;
            }
            match shape::infeasibility(&empty_fleet, &self.fleet_plan, entry.job) {
                Some(reason) => {
                    let job = entry.job.id.clone();
                    round.decisions.push(Decision::Refuse { job, reason });
                }
                None => {
                    self.feasible.insert(digest);
                    remaining.push(entry);
                }
            }
        }
        remaining
    }
}

fn worker_names(parts: &[Part]) -> String {
    let names: BTreeSet<&str> = parts.iter().map(|part| part.worker.as_str()).collect();
    names.into_iter().collect::<Vec<_>>().join(", ")
}
