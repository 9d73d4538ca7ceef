//! Seats for the tasks of one step.

use super::{Board, Candidate};
use crate::batch::fleet::Worker;
use crate::batch::job::State;

/// Wait for room near the data before a step goes elsewhere, in milliseconds: about one end of a
/// run on a busy rack.
pub(super) const PATIENCE_MS: u64 = 1_200;
/// Use of a pool below which a step that waited goes away from its data.
const IDLE: f64 = 0.5;
/// Use of a pool below which a step goes away from its data where it still ends on time.
const ROOMY: f64 = 0.5;

/// Time after a failure for which its worker is avoided by the task, in milliseconds: long enough
/// to find another place on a busy pool.
const AVOID_MS: u64 = 3_000;

/// Seats that were found.
#[derive(Debug, Default)]
pub(super) struct Seats {
    /// Places on the board, and tasks for each.
    pub(super) places: Vec<(usize, u64)>,
    /// Why there.
    pub(super) reason: &'static str,
}

impl Seats {
    pub(super) fn count(&self) -> usize {
        self.places.iter().map(|(_, count)| *count as usize).sum()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.places.is_empty()
    }
}

/// Seats for the tasks that wait: all of them for a gang, as many as there are otherwise.
pub(super) fn find(board: &Board<'_>, candidate: &Candidate<'_>) -> Seats {
    let step = candidate.step;
    let pool = &candidate.job.terms.pool;
    if !step.data_rack.is_empty() {
        let near = rack(board, candidate, &step.data_rack);
        let places = fill(candidate, near);
        if !places.is_empty() {
            return Seats { places, reason: "near its data" };
        }
        // A rack that has no worker at all won't get room by waiting.
        let exists =
            board.places.iter().any(|place| place.pool == *pool && place.rack == step.data_rack);
        if exists && !may_go_far(board, candidate) {
            return Seats::default();
        }
    }
    if step.is_rack_local {
        let places = best_rack(board, candidate);
        if !places.is_empty() {
            return Seats { places, reason: "in one rack" };
        }
        if could_fit_one_rack(board, candidate) && !may_go_far(board, candidate) {
            return Seats::default();
        }
    }
    let mut all = Vec::new();
    for (key, members) in &board.racks {
        if key.0 != *pool {
            continue;
        }
        all.extend(slots(board, candidate, members));
    }
    Seats { places: fill(candidate, all), reason: "where there is room" }
}

fn may_go_far(board: &Board<'_>, candidate: &Candidate<'_>) -> bool {
    if candidate.is_last_call(&board.view) {
        return true;
    }
    let used = board.used(&candidate.job.terms.pool);
    if candidate.waited_ms > PATIENCE_MS && used < IDLE {
        return true;
    }
    let factor = board.view.times.remote_factor;
    let extra_ms = candidate.run_ms * factor.saturating_sub(1);
    let done_ms = board.view.wall_ms + candidate.rest_ms + extra_ms;
    used < ROOMY && done_ms <= candidate.objective_ms
}

fn rack(board: &Board<'_>, candidate: &Candidate<'_>, name: &str) -> Vec<(usize, u64)> {
    let key = (candidate.job.terms.pool.clone(), name.to_string());
    let Some(members) = board.racks.get(&key) else { return Vec::new() };
    slots(board, candidate, members)
}

// The rack with the least room that holds the whole step, so that larger ones stay whole.
fn best_rack(board: &Board<'_>, candidate: &Candidate<'_>) -> Vec<(usize, u64)> {
    let mut best: Option<(u64, Vec<(usize, u64)>)> = None;
    for (key, members) in &board.racks {
        if key.0 != candidate.job.terms.pool {
            continue;
        }
        let found = slots(board, candidate, members);
        let total = found.iter().map(|(_, count)| *count).sum::<u64>();
        if total < candidate.progress.tasks.len() as u64 {
            continue;
        }
        if best.as_ref().is_none_or(|(held, _)| total < *held) {
            best = Some((total, found));
        }
    }
    best.map(|(_, found)| fill(candidate, found)).unwrap_or_default()
}

/// Whether the pool could hold the step if it were empty; a gang must fit whole.
pub(super) fn could_fit(board: &Board<'_>, candidate: &Candidate<'_>) -> bool {
    let of_pool = board.places.iter().filter(|place| place.pool == candidate.job.terms.pool);
    super::holds(of_pool, candidate.step)
}

// Whether some rack of the pool could hold the whole step if it were empty.
fn could_fit_one_rack(board: &Board<'_>, candidate: &Candidate<'_>) -> bool {
    let step = candidate.step;
    for (key, members) in &board.racks {
        if key.0 != candidate.job.terms.pool {
            continue;
        }
        if super::holds(members.iter().map(|at| &board.places[*at]), step) {
            return true;
        }
    }
    false
}

// How many tasks fit on each of these places now.
fn slots(board: &Board<'_>, candidate: &Candidate<'_>, members: &[usize]) -> Vec<(usize, u64)> {
    let step = candidate.step;
    let mut found = Vec::new();
    for at in members {
        let place = &board.places[*at];
        if !may_take(board, candidate, place) {
            continue;
        }
        let fits =
            place.free.count_fitting(&step.demand, step.is_filler).min(bound_on(candidate, place));
        if fits > 0 {
            found.push((*at, fits));
        }
    }
    // The fullest worker that still fits comes first, so that others stay whole.
    found.sort_by_key(|(at, fits)| {
        let place = &board.places[*at];
        (place.free.accelerators, *fits, place.name.clone())
    });
    found
}

/// Whether a worker may be given tasks of the step at all.
pub(super) fn may_take(board: &Board<'_>, candidate: &Candidate<'_>, place: &Worker) -> bool {
    has_label(place, &candidate.step.label) && !is_unlucky(board, candidate, place)
}

pub(super) fn has_label(place: &Worker, label: &str) -> bool {
    label.is_empty() || place.labels.iter().any(|held| held == label)
}

// A task that has just failed there goes elsewhere; later on the worker may be the only one left.
fn is_unlucky(board: &Board<'_>, candidate: &Candidate<'_>, place: &Worker) -> bool {
    let tasks = &candidate.progress.tasks;
    let failed = |index: &u32| {
        let task = &tasks[*index as usize];
        let is_fresh = board.view.wall_ms < task.failed_ms + AVOID_MS;
        is_fresh && task.failed_on == place.name
    };
    candidate.tasks.iter().any(failed)
}

/// Most tasks of the step that a worker may be given. More than there are tasks says nothing, and
/// tasks that take nothing fit without end.
pub(super) fn bound_on(candidate: &Candidate<'_>, place: &Worker) -> u64 {
    let tasks = candidate.tasks.len() as u64;
    match u64::from(candidate.step.per_worker) {
        0 => tasks,
        bound => tasks.min(bound.saturating_sub(held_by(candidate, &place.name))),
    }
}

// Tasks of the step that have a place on a worker.
fn held_by(candidate: &Candidate<'_>, worker: &str) -> u64 {
    let tasks = &candidate.progress.tasks;
    let on = |state: &State| matches!(state, State::Active(run) if run.worker == worker);
    tasks.iter().filter(|task| on(&task.state)).count() as u64
}

// Spreads the tasks over slots in their order; nothing where a gang does not fit whole.
fn fill(candidate: &Candidate<'_>, slots: Vec<(usize, u64)>) -> Vec<(usize, u64)> {
    let mut left = candidate.tasks.len() as u64;
    let total = slots.iter().map(|(_, count)| *count).fold(0, u64::saturating_add);
    if candidate.step.is_gang && total < left {
        return Vec::new();
    }
    let mut places = Vec::new();
    for (at, count) in slots {
        let count = count.min(left);
        if count == 0 {
            break;
        }
        places.push((at, count));
        left -= count;
    }
    places
}
