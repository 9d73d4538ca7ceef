//! Which runs stop so that an urgent step can start.

use std::collections::{BTreeMap, BTreeSet};

use super::seat::{bound_on, may_take};
use super::{Board, Candidate, View, groups};
use crate::batch::job::{Job, Resources, Step, TaskId, active_runs};

/// Cost of a stop beside the lost work, in core-milliseconds: what starts again waits again.
const STOP_COST: u64 = 20_000;
/// Cost of making a job late that would have been on time, in core-milliseconds: about what its
/// tasks use of a worker in ten seconds.
const LATE_COST: u64 = 800_000;
/// Runs to stop, and the seats that they free together with what is free already.
#[derive(Debug)]
pub(super) struct Found {
    pub(super) victims: Vec<(TaskId, u32)>,
    pub(super) seats: BTreeMap<String, u64>,
}

/// A run that may be stopped; a gang stops as a whole.
#[derive(Clone, Debug)]
struct Victim {
    runs: Vec<(TaskId, u32)>,
    priority: u32,
    // Work that is lost, in core-milliseconds.
    cost: u64,
}

/// Searches for evictions within one decision.
pub(super) struct Evictor<'a> {
    view: View<'a>,
    victims: Option<Index<'a>>,
    stopped: BTreeSet<usize>,
}

#[derive(Debug, Default)]
struct Index<'a> {
    victims: Vec<Victim>,
    held: BTreeMap<&'a str, Vec<Held>>,
}

/// A run of a victim, with what its stop frees on the worker.
#[derive(Clone, Copy, Debug)]
struct Held {
    victim: usize,
    demand: Resources,
    is_filler: bool,
}

struct Slot {
    place: usize,
    cost: u64,
    victims: Vec<usize>,
}

impl<'a> Evictor<'a> {
    pub(super) fn new(view: View<'a>) -> Self {
        Self { view, victims: None, stopped: BTreeSet::new() }
    }

    /// The cheapest runs whose stop makes room for the whole step.
    pub(super) fn find(&mut self, board: &Board<'_>, candidate: &Candidate<'_>) -> Option<Found> {
        let view = self.view;
        let index = self.victims.get_or_insert_with(|| Index::new(&view));
        let mut best: Option<(u64, Vec<Slot>)> = None;
        let step = candidate.step;
        let groups = groups(board, candidate);
        for members in groups {
            let mut slots = Vec::new();
            for at in members {
                slots.extend(slots_on(board, candidate, at, index, &self.stopped));
            }
            let wanted = candidate.tasks.len();
            if slots.len() < wanted {
                continue;
            }
            slots.sort_by_key(|slot| slot.cost);
            slots.truncate(wanted);
            // A gang that stops for several seats is lost once.
            let all: BTreeSet<usize> =
                slots.iter().flat_map(|slot| slot.victims.iter().copied()).collect();
            let cost = all.iter().map(|at| index.victims[*at].cost).sum::<u64>();
            if best.as_ref().is_none_or(|(held, _)| cost < *held) {
                best = Some((cost, slots));
            }
        }
        let (cost, slots) = best?;
        if cost > candidate.price(&view) {
            return None;
        }
        let mut seats = BTreeMap::new();
        let mut victims = BTreeSet::new();
        for slot in slots {
            *seats.entry(board.places[slot.place].name.clone()).or_insert(0) += 1;
            victims.extend(slot.victims);
        }
        if victims.is_empty() && step.is_gang {
            return None;
        }
        self.stopped.extend(victims.iter().copied());
        let runs = victims.iter().flat_map(|at| index.victims[*at].runs.clone());
        Some(Found { victims: runs.collect(), seats })
    }
}

// Seats on one place, each with what must stop for it, cheapest first.
fn slots_on(
    board: &Board<'_>,
    candidate: &Candidate<'_>,
    at: usize,
    index: &Index<'_>,
    stopped: &BTreeSet<usize>,
) -> Vec<Slot> {
    let step = candidate.step;
    let place = &board.places[at];
    if !may_take(board, candidate, place) {
        return Vec::new();
    }
    let bound = bound_on(candidate, place);
    let mut free = place.free;
    let mut slots = Vec::new();
    let mut pending: Vec<Held> = Vec::new();
    let held = index.held.get(place.name.as_str()).map_or(&[][..], Vec::as_slice);
    let mut rest = held.iter().filter(|held| {
        index.victims[held.victim].priority > candidate.job.terms.priority
            && !stopped.contains(&held.victim)
    });
    while (slots.len() as u64) < bound {
        if free.count_fitting(&step.demand, step.is_filler) > 0 {
            spare(&mut pending, &mut free, step);
            let cost = pending.iter().map(|held| index.victims[held.victim].cost).sum();
            let victims = pending.drain(..).map(|held| held.victim).collect();
            free.subtract(&step.demand, step.is_filler);
            slots.push(Slot { place: at, cost, victims });
            continue;
        }
        let Some(held) = rest.next() else { break };
        free.add(&held.demand, held.is_filler);
        pending.push(*held);
    }
    // A later seat rests on the victims of the earlier ones.
    let mut so_far = Vec::new();
    for slot in &mut slots {
        so_far.append(&mut slot.victims);
        slot.victims.clone_from(&so_far);
    }
    slots
}

// Takes back, the dearest first, what need not stop for a task of the step to fit.
fn spare(pending: &mut Vec<Held>, free: &mut Resources, step: &Step) {
    for at in (0..pending.len()).rev() {
        let held = pending[at];
        let mut less = *free;
        less.subtract(&held.demand, held.is_filler);
        if less.count_fitting(&step.demand, step.is_filler) > 0 {
            *free = less;
            pending.remove(at);
        }
    }
}

// What it costs that a job's run begins again, beside the work itself.
fn late_cost(view: &View<'_>, job: &Job) -> u64 {
    let rest_ms = super::candidate::longest_ms(view, job);
    let span_ms = super::candidate::span_ms(view, job);
    let due_ms = job.occurrences.values().map(|occurrence| occurrence.due_ms).min();
    let objective_ms = due_ms.unwrap_or(job.accepted_ms) + span_ms;
    let would_end_ms = view.wall_ms + rest_ms;
    // What is late already, or still ends on time, loses little.
    let is_lost = view.wall_ms < objective_ms && would_end_ms > objective_ms;
    if is_lost { LATE_COST } else { 0 }
}

impl<'a> Index<'a> {
    fn new(view: &View<'a>) -> Self {
        let mut index = Self::default();
        let priorities = view.table.document.queues.iter().map(|queue| queue.terms.priority);
        let live = view.table.live.values().map(|job| job.terms.priority);
        let lowest = priorities.chain(live).max().unwrap_or(0);
        for job in view.table.live.values() {
            let mut gangs: BTreeMap<(u32, u32), usize> = BTreeMap::new();
            let late_cost = late_cost(view, job);
            for (name, run) in active_runs(job) {
                let step = &job.spec.steps[name.step as usize];
                if run.is_stopping || step.is_lasting {
                    continue;
                }
                let ran_ms = view.wall_ms.saturating_sub(run.placed_ms);
                let kept_ms = view.times.checkpoint_interval_ms + view.times.restore_ms;
                let lost_ms = if step.is_checkpointing { ran_ms.min(kept_ms) } else { ran_ms };
                let rank = lowest - job.terms.priority;
                let cost = step.demand.work_core_ms(lost_ms) * (1 + u64::from(rank)) + STOP_COST;
                let fresh = index.victims.len();
                let at = if step.is_gang {
                    *gangs.entry((name.occurrence, name.step)).or_insert(fresh)
                } else {
                    fresh
                };
                if at == fresh {
                    let priority = job.terms.priority;
                    index.victims.push(Victim { runs: Vec::new(), priority, cost: late_cost });
                }
                let victim = &mut index.victims[at];
                victim.runs.push((name, run.number));
                victim.cost += cost;
                let held = index.held.entry(run.worker.as_str()).or_default();
                held.push(Held { victim: at, demand: step.demand, is_filler: step.is_filler });
            }
        }
        for held in index.held.values_mut() {
            held.sort_by_key(|held| index.victims[held.victim].cost);
        }
        index
    }
}
