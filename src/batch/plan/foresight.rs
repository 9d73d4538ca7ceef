//! Foresight before stops: how long a step waits for room that frees by itself, which runs are
//! expected to end by then, and which ones have been stopped often enough.

use std::collections::BTreeMap;

use super::{Candidate, Cluster, View, candidate, outlook};
use crate::batch::job::{Job, Resources, Run, Step, TaskId};

/// Divisor of a step's slack that gives the time for which it waits for runs to end. The rest is left
/// for stops in time if the runs take longer than expected.
const PATIENCE_DIVISOR: u64 = 2;
/// Divisor of the expected run time from which on a run's own progress is relied on. Before that, the
/// later one of both expected ends counts.
const RELIABLE_PROGRESS_DIVISOR: u64 = 4;
/// Maximum number of runs of a task that are stopped for urgent work: its caller has waited for all of
/// them. Only guarantees stop further ones.
const MAX_STOPPED_RUNS: u32 = 3;
/// Number of runs on a worker above which their ends are not worked out; bounds the time that a
/// decision takes.
const MAX_RUNS_FORESEEN: u64 = 256;

/// Time for which the room on a worker is kept for urgent work after a run was stopped there, in
/// milliseconds: urgent work comes in bursts of several seconds, and what starts meanwhile would be the
/// next to be stopped.
const KEEP_MS: u64 = 4_000;

/// Workers on which runs were stopped for urgent work a short time ago.
#[derive(Debug, Default)]
pub(super) struct Keeps(BTreeMap<String, u64>);

impl Keeps {
    /// Whether the room on a worker is kept.
    pub(super) fn contains(&self, worker: &str, now_ms: u64) -> bool {
        self.0.get(worker).is_some_and(|until_ms| now_ms < *until_ms)
    }

    /// Adds workers on which runs are stopped now.
    pub(super) fn extend(&mut self, workers: impl Iterator<Item = String>, now_ms: u64) {
        self.0.extend(workers.map(|worker| (worker, now_ms + KEEP_MS)));
    }

    /// Drops the workers that are kept no longer.
    pub(super) fn remove_expired(&mut self, now_ms: u64) {
        self.0.retain(|_, until_ms| now_ms < *until_ms);
    }
}

/// Resources that a run is expected to free by ending.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ending {
    /// Expected time of the end, on the wall clock, in milliseconds.
    pub(super) at_ms: u64,
    pub(super) task: TaskId,
    pub(super) demand: Resources,
    pub(super) is_filler: bool,
}

/// Wall time until which a step waits for room that frees by itself instead of stopping runs; `None`
/// if it doesn't wait.
pub(super) fn waits_until_ms(view: &View<'_>, candidate: &Candidate<'_>) -> Option<u64> {
    if !view.times.are_ends_awaited || candidate.is_guarantee_due(view) {
        return None;
    }
    let latest_start_ms = candidate.deadline_ms.saturating_sub(candidate.remaining_ms);
    let slack_ms = latest_start_ms.saturating_sub(view.wall_ms);
    // Room made by a stop isn't free any earlier.
    let patience_ms = (slack_ms / PATIENCE_DIVISOR).max(candidate::EVICTION_MS);
    Some(view.wall_ms.saturating_add(patience_ms))
}

/// Whether so many runs of a task were started before this one that it is not stopped for urgent work.
pub(super) fn is_exempt(run: &Run) -> bool {
    run.number > MAX_STOPPED_RUNS
}

/// Whether the room on a worker is kept for more urgent work than this.
pub(super) fn is_kept_from(cluster: &Cluster<'_>, at: usize, candidate: &Candidate<'_>) -> bool {
    cluster.kept[at] && candidate.job.terms.priority > 0 && !candidate.step.is_lasting
}

/// Runs on a worker that are expected to end by a wall time, in milliseconds; none if that is 0.
pub(super) fn endings_until<'a>(
    cluster: &'a Cluster<'_>,
    at: usize,
    until_ms: u64,
) -> &'a [Ending] {
    if until_ms == 0 {
        return &[];
    }
    let endings = cluster.endings[at].get_or_init(|| endings_on(cluster, at));
    &endings[..endings.partition_point(|ending| ending.at_ms <= until_ms)]
}

// Expected ends of the runs on a worker, earliest first.
fn endings_on(cluster: &Cluster<'_>, at: usize) -> Vec<Ending> {
    let view = &cluster.view;
    let worker = &cluster.workers[at];
    let mut endings = Vec::new();
    if worker.runs > MAX_RUNS_FORESEEN {
        return endings;
    }
    for (task, run) in view.table.runs_on(worker.name) {
        let Some(job) = view.table.live.get(&task.job) else { continue };
        let step = &job.spec.steps[task.step as usize];
        if step.is_lasting {
            continue;
        }
        let left_ms = left_ms(cluster, at, task, run, (job, step));
        let at_ms = view.wall_ms.saturating_add(left_ms);
        let (demand, is_filler) = (step.demand, step.is_filler);
        endings.push(Ending { at_ms, task: *task, demand, is_filler });
    }
    endings.sort_by_key(|ending| ending.at_ms);
    endings
}

fn left_ms(
    cluster: &Cluster<'_>,
    at: usize,
    task: &TaskId,
    run: &Run,
    (job, step): (&Job, &Step),
) -> u64 {
    let left_ms = outlook::left_ms(cluster, at, task, run, (job, step));
    let ran_ms = cluster.view.wall_ms.saturating_sub(run.placed_ms);
    let run_ms = candidate::run_ms(&cluster.view, job, step);
    if run.is_stopping || ran_ms >= run_ms / RELIABLE_PROGRESS_DIVISOR {
        return left_ms;
    }
    left_ms.max(run_ms - ran_ms)
}
