//! Policy `cells`: guarantees as buddy cells, ranks, eviction and backfill.

use std::collections::{BTreeMap, BTreeSet};

use super::capacity::{Occupancy, Seat};
use super::estimate::Estimator;
use super::guarantee::{self, Kept, Plan};
use super::queue::{self, Entry};
use super::round::{Claim, Round};
use super::shape::{self, Requirement};
use super::{Decision, Policy, View, Worker, audit};
use crate::kernel::plugin::Registration;
use crate::state::document::Document;
use crate::state::job::{Job, Part};

inventory::submit! {
    Registration { name: "cells", build: || Box::new(Cells::default()) }
}

/// The policy and its soft state, all of which can be rebuilt from the view.
#[derive(Debug, Default)]
pub struct Cells {
    estimate: Estimator,
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

impl Policy for Cells {
    fn decide(&mut self, view: &View<'_>) -> Vec<Decision> {
        self.estimate.learn(view.jobs);
        let mut board = Occupancy::new(view, &self.estimate);
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
        let mut board = Occupancy::new(view, &self.estimate);
        let kept = if self.workers == view.workers { self.kept.as_slice() } else { &[] };
        let plan = guarantee::pack(view.document, &board, kept, self.rack_size);
        plan.cover(&mut board);
        let mut text = format!("{} waits: ", job.id);
        if let Some(claim) = self.claims.get(&job.id) {
            text.push_str(&format!("for evictions on {}", names(&claim.parts)));
            return text;
        }
        text.push_str(&shape::describe_shortage(&board, &plan, job));
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
    fn plan(&mut self, view: &View<'_>, board: &Occupancy<'_>) -> Plan {
        let changed = self.document != *view.document || self.workers != view.workers;
        for worker in view.workers {
            if self.known.get(&worker.name).is_none_or(|known| known.shape != worker.shape) {
                self.known
                    .insert(worker.name.clone(), Worker { is_schedulable: true, ..worker.clone() });
            }
        }
        if changed {
            self.possible.clear();
            self.fleet = self.known.values().cloned().collect();
            let fleet = Occupancy::empty(view.document, &self.fleet);
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
    fn moved(&self, board: &Occupancy<'_>) -> Vec<Kept> {
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
        if !round.view.is_fleet_complete || !round.plan.risks.is_empty() || self.known.is_empty() {
            return entries;
        }
        let fleet = Occupancy::empty(round.view.document, &self.fleet);
        let mut kept = Vec::with_capacity(entries.len());
        for entry in entries {
            let key = Requirement::new(entry.job, &round.board).digest();
            if entry.job.failed_on.is_empty() && self.possible.contains(&key) {
                kept.push(entry);
                continue;
            }
            match shape::infeasibility(&fleet, &self.fleet_plan, entry.job) {
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

fn names(parts: &[Part]) -> String {
    let names: BTreeSet<&str> = parts.iter().map(|part| part.worker.as_str()).collect();
    names.into_iter().collect::<Vec<_>>().join(", ")
}
