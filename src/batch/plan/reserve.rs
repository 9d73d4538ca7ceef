//! Room that is kept for a gang while it empties.

use std::collections::BTreeMap;

use super::seat::{bound_on, may_take};
use super::{Board, Candidate, groups};
use crate::batch::job::Resources;

/// Progress below which it says too little about a run's end, in percent.
const EARLY_PERCENT: u8 = 5;
/// Time that a stop takes until its room shows as free, in milliseconds: a heartbeat and the stop.
const STOP_MS: u64 = 500;
/// Least time until a run counts as ended, in milliseconds: the news of its end.
const NEWS_MS: u64 = 100;

/// What a run frees, and when.
struct Release {
    at_ms: u64,
    demand: Resources,
    is_filler: bool,
}

/// A seat, and when it is expected to be free.
struct Seat {
    at_ms: u64,
    place: usize,
}

/// Workers on which room for a gang is held back from less urgent work, with the number of its
/// tasks: those of the rack that is expected to hold all of them first.
pub(super) fn find(board: &Board<'_>, candidate: &Candidate<'_>) -> Option<BTreeMap<String, u64>> {
    let wanted = candidate.tasks.len();
    let mut best: Option<Vec<Seat>> = None;
    for members in groups(board, candidate) {
        let mut seats = Vec::new();
        for place in members {
            seats.extend(seats_on(board, candidate, place));
        }
        if seats.len() < wanted {
            continue;
        }
        seats.sort_by_key(|seat| (seat.at_ms, seat.place));
        seats.truncate(wanted);
        let last_ms = |seats: &Vec<Seat>| seats.last().map_or(0, |seat| seat.at_ms);
        if best.as_ref().is_none_or(|held| last_ms(&seats) < last_ms(held)) {
            best = Some(seats);
        }
    }
    let mut held = BTreeMap::new();
    for seat in best? {
        *held.entry(board.places[seat.place].name.clone()).or_insert(0) += 1;
    }
    Some(held)
}

// Seats of the step on one worker, in the order in which they get free.
fn seats_on(board: &Board<'_>, candidate: &Candidate<'_>, at: usize) -> Vec<Seat> {
    let step = candidate.step;
    let place = &board.places[at];
    if !may_take(board, candidate, place) {
        return Vec::new();
    }
    let bound = bound_on(candidate, place);
    let mut free = place.free;
    let mut now_ms = board.view.wall_ms;
    let mut releases = releases_on(board, at).into_iter();
    let mut seats = Vec::new();
    while (seats.len() as u64) < bound {
        if free.count_fitting(&step.demand, step.is_filler) > 0 {
            free.subtract(&step.demand, step.is_filler);
            seats.push(Seat { at_ms: now_ms, place: at });
            continue;
        }
        let Some(release) = releases.next() else { break };
        free.add(&release.demand, release.is_filler);
        now_ms = release.at_ms;
    }
    seats
}

// What the runs on a worker free, in the order of their expected ends.
fn releases_on(board: &Board<'_>, at: usize) -> Vec<Release> {
    let view = &board.view;
    let place = &board.places[at];
    let session = view.fleet.session(&place.name);
    let slowness = view.estimates.slowdown(&place.zone);
    let mut releases = Vec::new();
    for (name, run) in view.table.runs_on(&place.name) {
        let Some(job) = view.table.live.get(&name.job) else { continue };
        let step = &job.spec.steps[name.step as usize];
        if step.is_lasting {
            continue;
        }
        let ran_ms = view.wall_ms.saturating_sub(run.placed_ms);
        let percent = session.and_then(|held| held.progress_percent(name, run.number)).unwrap_or(0);
        let left_ms = if run.is_stopping {
            STOP_MS
        } else if percent >= EARLY_PERCENT {
            ran_ms * u64::from(100 - percent.min(100)) / u64::from(percent)
        } else {
            let run_ms = super::candidate::run_ms(view, job, step) as f64 * slowness;
            (run_ms as u64).saturating_sub(ran_ms)
        };
        let at_ms = view.wall_ms + left_ms.max(NEWS_MS);
        releases.push(Release { at_ms, demand: step.demand, is_filler: step.is_filler });
    }
    releases.sort_by_key(|release| release.at_ms);
    releases
}
