//! Ends of runs: what they change in their job.

use super::{End, Outcome, State, Table};
use crate::batch::job::{Progress, TaskId};
use crate::batch::worker::Exit;

impl Table {
    pub(super) fn end_run(&mut self, end: &End, now_ms: u64) {
        if !self.is_run_active(&end.task, end.run) {
            self.record_late_failure(end, now_ms);
            return;
        }
        let Some(job) = self.live.get_mut(&end.task.job) else { return };
        let step = &job.spec.steps[end.task.step as usize];
        let (is_gang, is_lasting) = (step.is_gang, step.is_lasting);
        let attempts = job.terms.attempts;
        let Some(occurrence) = job.occurrences.get_mut(&end.task.occurrence) else { return };
        let progress = &mut occurrence.steps[end.task.step as usize];
        let is_done = end.how == Exit::Done && !is_lasting;
        let mut ended = vec![end.task];
        if is_gang && is_done {
            ended = gang_tasks(progress, &end.task);
        }
        let removed = end_tasks(progress, end, is_done, &ended, now_ms);
        if is_gang && !is_done {
            stop_gang(progress, end);
        }
        let failures = if is_gang {
            progress.failures
        } else {
            progress.tasks[end.task.index as usize].failures
        };
        let is_failed = !is_lasting && failures >= attempts;
        let is_occurrence_done = occurrence.steps.iter().all(Progress::is_done);
        if is_occurrence_done {
            job.occurrences.remove(&end.task.occurrence);
            job.finished += 1;
        }
        let is_complete = job.finished == job.occurrence_count();
        for (worker, task) in removed {
            self.remove_placement(&worker, &task);
        }
        if is_complete {
            self.finish_job(end.task.job, Outcome::Completed, now_ms);
        } else if is_failed {
            self.finish_job(end.task.job, Outcome::Failed, now_ms);
        }
    }

    // Counts the failure of a run that was declared lost before its worker could report it.
    fn record_late_failure(&mut self, end: &End, now_ms: u64) {
        if !self.accepts_end(&end.task, end.run, end.how) {
            return;
        }
        let Some(job) = self.live.get_mut(&end.task.job) else { return };
        let attempts = job.terms.attempts;
        let step = &job.spec.steps[end.task.step as usize];
        let (is_gang, is_lasting) = (step.is_gang, step.is_lasting);
        let Some(occurrence) = job.occurrences.get_mut(&end.task.occurrence) else { return };
        let progress = &mut occurrence.steps[end.task.step as usize];
        let failures = if is_gang {
            // The run of a gang fails once, however many of its tasks report it.
            for task in progress.tasks.iter_mut() {
                task.remove_lapsed_run(end.run);
            }
            progress.failures += u32::from(progress.failed_run != end.run);
            progress.failures
        } else {
            let task = &mut progress.tasks[end.task.index as usize];
            task.remove_lapsed_run(end.run);
            task.failures += 1;
            task.failures
        };
        let is_done = progress.tasks[end.task.index as usize].state == State::Done;
        if !is_done && !is_lasting && failures >= attempts {
            self.finish_job(end.task.job, Outcome::Failed, now_ms);
        }
    }
}

// All tasks of the gang that a task belongs to.
fn gang_tasks(progress: &Progress, task: &TaskId) -> Vec<TaskId> {
    (0..progress.tasks.len() as u32).map(|index| TaskId { index, ..*task }).collect()
}

// Ends the active runs of these tasks; returns the placements to remove, as pairs of worker and
// task.
fn end_tasks(
    progress: &mut Progress,
    end: &End,
    is_done: bool,
    ended: &[TaskId],
    now_ms: u64,
) -> Vec<(String, TaskId)> {
    let mut removed = Vec::new();
    for id in ended {
        let task = &mut progress.tasks[id.index as usize];
        let mut worker = String::new();
        if let State::Active(run) = &task.state {
            worker.clone_from(&run.worker);
            removed.push((run.worker.clone(), *id));
        }
        if is_done {
            if task.state != State::Done {
                progress.done += 1;
            }
            task.state = State::Done;
            continue;
        }
        task.state = State::Waiting;
        if !end.checkpoint.is_empty() {
            task.checkpoint.clone_from(&end.checkpoint);
        }
        match end.how {
            Exit::Broken => task.broken_run = end.run,
            Exit::Lapsed => task.add_lapsed_run(end.run),
            _ => {}
        }
        if end.how == Exit::Failed {
            task.failures += 1;
            task.failed_on = worker;
            task.failed_ms = now_ms;
        }
    }
    removed
}

// Stops the other tasks of a gang, which can't continue without the one that ended. A checkpoint of
// one task is that of the whole gang.
fn stop_gang(progress: &mut Progress, end: &End) {
    if end.how == Exit::Failed && progress.failed_run < end.run {
        progress.failed_run = end.run;
        progress.failures += 1;
    }
    for task in progress.tasks.iter_mut() {
        if !end.checkpoint.is_empty() {
            task.checkpoint.clone_from(&end.checkpoint);
        }
        if let State::Active(run) = &mut task.state {
            run.is_stopping = true;
        }
    }
}
