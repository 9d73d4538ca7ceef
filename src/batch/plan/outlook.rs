//! When the runs on a worker are expected to end.

use super::{Cluster, candidate};
use crate::batch::job::{Job, Resources, Run, State, Step, TaskId};

/// Progress below which a run's end is not extrapolated from it, in percent.
const MIN_PROGRESS_PERCENT: u8 = 5;
/// Time from a stop order until the capacity shows as free, in milliseconds: one heartbeat and the
/// stop itself.
const STOP_MS: u64 = 500;
/// Minimum time until a run counts as ended, in milliseconds: its end has to be reported first.
const END_REPORT_MS: u64 = 100;

/// Divisor of the time for which a run has lasted, for the time that it is expected to take at least
/// from now on if its progress is not known: one that outlasts its expected time is likely a long one.
const SURVIVAL_DIVISOR: u64 = 2;

/// Resources that a run frees, and when.
#[derive(Debug)]
pub(super) struct Release {
    /// Expected time of the end, on the wall clock, in milliseconds.
    pub(super) at_ms: u64,
    pub(super) demand: Resources,
    pub(super) is_filler: bool,
}

/// Resources that the runs on a worker free, in the order of their expected ends.
pub(super) fn releases_on(cluster: &Cluster<'_>, at: usize) -> Vec<Release> {
    let view = &cluster.view;
    let mut releases = Vec::new();
    for (task, run) in view.table.runs_on(cluster.workers[at].name) {
        let Some(job) = view.table.live.get(&task.job) else { continue };
        let step = &job.spec.steps[task.step as usize];
        if step.is_lasting {
            continue;
        }
        let left_ms = left_ms(cluster, at, task, run, (job, step));
        let at_ms = view.wall_ms.saturating_add(left_ms);
        releases.push(Release { at_ms, demand: step.demand, is_filler: step.is_filler });
    }
    releases.sort_by_key(|release| release.at_ms);
    releases
}

/// Expected time until a run ends and its end is reported, in milliseconds.
pub(super) fn left_ms(
    cluster: &Cluster<'_>,
    at: usize,
    task: &TaskId,
    run: &Run,
    (job, step): (&Job, &Step),
) -> u64 {
    if run.is_stopping {
        return STOP_MS;
    }
    let session = cluster.view.fleet.session(cluster.workers[at].name);
    let percent = session.and_then(|session| session.progress_percent(task, run.number));
    if cluster.view.times.are_speeds_used && step.is_gang && percent >= Some(100) {
        return slowest_ms(cluster, task, run, (job, step));
    }
    work_left_ms(cluster, at, task, run, (job, step))
}

// Expected time until the last task of a gang has done its share: the gang ends as a whole.
fn slowest_ms(cluster: &Cluster<'_>, task: &TaskId, run: &Run, (job, step): (&Job, &Step)) -> u64 {
    let mut slowest_ms = END_REPORT_MS;
    let occurrence = job.occurrences.get(&task.occurrence);
    let members = occurrence.and_then(|occurrence| occurrence.steps.get(task.step as usize));
    for (index, member) in (0..).zip(members.map_or(&[][..], |progress| progress.tasks.begun())) {
        let State::Active(other) = &member.state else { continue };
        let Some(at) = cluster.position(&other.worker) else { continue };
        if other.number != run.number {
            continue;
        }
        let other_task = TaskId { index, ..*task };
        slowest_ms = slowest_ms.max(work_left_ms(cluster, at, &other_task, other, (job, step)));
    }
    slowest_ms
}

// Expected time until a run has done its own work and reported it.
fn work_left_ms(
    cluster: &Cluster<'_>,
    at: usize,
    task: &TaskId,
    run: &Run,
    (job, step): (&Job, &Step),
) -> u64 {
    let view = &cluster.view;
    let worker = &cluster.workers[at];
    let ran_ms = view.wall_ms.saturating_sub(run.placed_ms);
    let Some(session) = view.fleet.session(worker.name) else { return END_REPORT_MS };
    let percent = session.progress_percent(task, run.number).unwrap_or(0);
    let own_pace_ms = session.left_ms(task, run.number).filter(|_| view.times.are_speeds_used);
    let left_ms = if let Some(left_ms) = own_pace_ms {
        left_ms.saturating_sub(view.now_ms.saturating_sub(session.last_heartbeat_ms))
    } else if percent >= MIN_PROGRESS_PERCENT {
        ran_ms.saturating_mul(u64::from(100 - percent.min(100))) / u64::from(percent)
    } else {
        let run_ms = candidate::run_ms(view, job, step) as f64 * cluster.slowdown(at);
        let survived_ms = if view.times.are_speeds_used { ran_ms / SURVIVAL_DIVISOR } else { 0 };
        (run_ms as u64).saturating_sub(ran_ms).max(survived_ms)
    };
    left_ms.max(END_REPORT_MS)
}
