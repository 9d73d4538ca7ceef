//! Reservations of capacity for gangs, held while running work finishes.

use std::collections::BTreeMap;

use super::allocation::{is_eligible, task_limit_on};
use super::{Candidate, Cluster, worker_groups};
use crate::batch::job::Resources;

/// Progress below which a run's end is not extrapolated from it, in percent.
const MIN_PROGRESS_PERCENT: u8 = 5;
/// Time from a stop order until the capacity shows as free, in milliseconds: one heartbeat and the
/// stop itself.
const STOP_MS: u64 = 500;
/// Minimum time until a run counts as ended, in milliseconds: its end has to be reported first.
const END_REPORT_MS: u64 = 100;

/// Resources that a run frees, and when.
#[derive(Debug)]
pub(super) struct Release {
    at_ms: u64,
    demand: Resources,
    is_filler: bool,
}

/// Room for one task, and when it is expected to be free.
struct Slot {
    at_ms: u64,
    worker: usize,
}

/// Workers on which capacity is reserved for a gang, with the number of its tasks on each: those of
/// the group that is expected to hold the whole gang first.
pub(super) fn find(
    cluster: &Cluster<'_>,
    candidate: &Candidate<'_>,
) -> Option<BTreeMap<String, u64>> {
    let required = candidate.tasks.len();
    let mut best: Option<Vec<Slot>> = None;
    for members in worker_groups(cluster, candidate) {
        let mut slots = Vec::new();
        for worker in members {
            slots.extend(slots_on(cluster, candidate, worker));
        }
        if slots.len() < required {
            continue;
        }
        slots.sort_by_key(|slot| (slot.at_ms, slot.worker));
        slots.truncate(required);
        let last_ms = |slots: &Vec<Slot>| slots.last().map_or(0, |slot| slot.at_ms);
        if best.as_ref().is_none_or(|earliest| last_ms(&slots) < last_ms(earliest)) {
            best = Some(slots);
        }
    }
    let mut reserved = BTreeMap::new();
    for slot in best? {
        *reserved.entry(cluster.workers[slot.worker].name.to_string()).or_insert(0) += 1;
    }
    Some(reserved)
}

// Slots for the step on one worker, in the order in which they become free.
fn slots_on(cluster: &Cluster<'_>, candidate: &Candidate<'_>, at: usize) -> Vec<Slot> {
    let step = candidate.step;
    let worker = &cluster.workers[at];
    if !is_eligible(candidate, worker) {
        return Vec::new();
    }
    let limit = task_limit_on(candidate, worker);
    let mut free = worker.free;
    let mut free_at_ms = cluster.view.wall_ms;
    let mut releases = cluster.releases[at].get_or_init(|| releases_on(cluster, at)).iter();
    let mut slots = Vec::new();
    while (slots.len() as u64) < limit {
        if free.count_fitting(&step.demand, step.is_filler) > 0 {
            free.subtract(&step.demand, step.is_filler);
            slots.push(Slot { at_ms: free_at_ms, worker: at });
            continue;
        }
        let Some(release) = releases.next() else { break };
        free.add(&release.demand, release.is_filler);
        free_at_ms = release.at_ms;
    }
    slots
}

// Resources that the runs on a worker free, in the order of their expected ends.
fn releases_on(cluster: &Cluster<'_>, at: usize) -> Vec<Release> {
    let view = &cluster.view;
    let worker = &cluster.workers[at];
    let session = view.fleet.session(worker.name);
    let slowdown = view.estimates.slowdown(worker.zone);
    let mut releases = Vec::new();
    for (task, run) in view.table.runs_on(worker.name) {
        let Some(job) = view.table.live.get(&task.job) else { continue };
        let step = &job.spec.steps[task.step as usize];
        if step.is_lasting {
            continue;
        }
        let ran_ms = view.wall_ms.saturating_sub(run.placed_ms);
        let percent =
            session.and_then(|session| session.progress_percent(task, run.number)).unwrap_or(0);
        let left_ms = if run.is_stopping {
            STOP_MS
        } else if percent >= MIN_PROGRESS_PERCENT {
            ran_ms.saturating_mul(u64::from(100 - percent.min(100))) / u64::from(percent)
        } else {
            let run_ms = super::candidate::run_ms(view, job, step) as f64 * slowdown;
            (run_ms as u64).saturating_sub(ran_ms)
        };
        let at_ms = view.wall_ms.saturating_add(left_ms.max(END_REPORT_MS));
        releases.push(Release { at_ms, demand: step.demand, is_filler: step.is_filler });
    }
    releases.sort_by_key(|release| release.at_ms);
    releases
}
