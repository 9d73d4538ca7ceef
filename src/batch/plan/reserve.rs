//! Reservations of capacity for gangs, held while running work finishes.

use std::collections::BTreeMap;

use super::allocation::{is_eligible, task_limit_on};
use super::{Candidate, Cluster, outlook, worker_groups};

/// Room for some tasks on a worker, and when it is expected to be free.
struct Slot {
    at_ms: u64,
    worker: usize,
    tasks: u64,
}

/// Workers on which capacity is reserved for a gang, with the number of its tasks on each: those of
/// the group that is expected to hold the whole gang first.
pub(super) fn find(
    cluster: &Cluster<'_>,
    candidate: &Candidate<'_>,
) -> Option<BTreeMap<String, u64>> {
    let required = candidate.tasks.len() as u64;
    let mut best: Option<Vec<Slot>> = None;
    for members in worker_groups(cluster, candidate) {
        let mut slots = Vec::new();
        for worker in members {
            slots.extend(slots_on(cluster, candidate, worker));
        }
        slots.sort_by_key(|slot| (slot.at_ms, slot.worker));
        let Some(slots) = first_slots(slots, required) else { continue };
        let last_ms = |slots: &Vec<Slot>| slots.last().map_or(0, |slot| slot.at_ms);
        if best.as_ref().is_none_or(|earliest| last_ms(&slots) < last_ms(earliest)) {
            best = Some(slots);
        }
    }
    let mut reserved = BTreeMap::new();
    for slot in best? {
        *reserved.entry(cluster.workers[slot.worker].name.to_string()).or_insert(0) += slot.tasks;
    }
    Some(reserved)
}

// The first slots that hold this many tasks; `None` if all of them don't.
fn first_slots(mut slots: Vec<Slot>, required: u64) -> Option<Vec<Slot>> {
    let mut left = required;
    for (at, slot) in slots.iter_mut().enumerate() {
        slot.tasks = slot.tasks.min(left);
        left -= slot.tasks;
        if left == 0 {
            slots.truncate(at + 1);
            return Some(slots);
        }
    }
    None
}

// Slots for the step on one worker, in the order in which they become free.
fn slots_on(cluster: &Cluster<'_>, candidate: &Candidate<'_>, at: usize) -> Vec<Slot> {
    let step = candidate.step;
    let worker = &cluster.workers[at];
    if !is_eligible(candidate, worker) {
        return Vec::new();
    }
    let mut left = task_limit_on(candidate, worker);
    let mut free = worker.free;
    let mut free_at_ms = cluster.view.wall_ms;
    let mut releases =
        cluster.releases[at].get_or_init(|| outlook::releases_on(cluster, at)).iter();
    let mut slots = Vec::new();
    while left > 0 {
        let tasks = free.count_fitting(&step.demand, step.is_filler).min(left);
        if tasks > 0 {
            (0..tasks).for_each(|_| free.subtract(&step.demand, step.is_filler));
            slots.push(Slot { at_ms: free_at_ms, worker: at, tasks });
            left -= tasks;
            continue;
        }
        let Some(release) = releases.next() else { break };
        free.add(&release.demand, release.is_filler);
        free_at_ms = release.at_ms;
    }
    slots
}
