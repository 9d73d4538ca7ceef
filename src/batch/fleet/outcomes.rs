//! What the ends of runs tell about workers and tasks, and which workers get no new work for it.

use std::collections::BTreeMap;

use super::failure::Source;
use super::health::{Health, STALL_WEIGHT};
use super::session::Session;
use super::throttling::step_of;
use super::{Fleet, Worker};
use crate::batch::job::{Id, Job, Step, TaskId};
use crate::batch::table::{End, Table};
use crate::batch::worker::{Exit, Heartbeat};

/// Progress of a long-running task that is at work, in percent.
const AT_WORK_PERCENT: u8 = 100;
/// At most one in this many workers of a kind is excluded at a time, but always at least one: a step for
/// which a pool has room twice over fits beside the excluded workers.
const EXCLUDED_SHARE_DIVISOR: usize = 2;

/// What follows from failed runs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// How long the worker is excluded from new work, in milliseconds, if it is from now on.
    pub excluded_ms: Option<u64>,
    /// Long-running tasks that fail soon after each start, with the delay of their restart, in
    /// milliseconds.
    pub held_back: Vec<(TaskId, u64)>,
}

impl Fleet {
    /// Takes into account how runs ended on a worker according to its new heartbeat, and which runs are at
    /// work there.
    pub(super) fn record_outcomes(
        &mut self,
        heartbeat: &Heartbeat,
        ends: &[End],
        table: &Table,
        now_ms: u64,
    ) -> Verdict {
        let worker = &heartbeat.worker;
        let mut verdict = Verdict::default();
        let mut has_failed = false;
        for end in ends {
            // A worker lists an end until it is acknowledged.
            if self.pending_ends.has_exit(end) {
                continue;
            }
            let Some(session) = self.sessions.get_mut(worker) else { break };
            let Some(source) = Source::of(&end.task, table) else { continue };
            let is_lasting = step_of(table, &end.task).is_some_and(|step| step.is_lasting);
            let was_sound = is_lasting && session.lasting.is_sound(&end.task, end.run);
            let is_unheeded = session.is_unheeded(&end.task, end.run);
            let weight = match end.how {
                Exit::Failed if !was_sound => 1,
                Exit::Lapsed if is_unheeded => STALL_WEIGHT,
                _ => 0,
            };
            if weight > 0 {
                has_failed = true;
                session.health.record_failure(source.clone(), weight, now_ms);
                let placed_ms = placed_ms(end, table);
                self.failures.record_failure(&source, worker, placed_ms, now_ms);
            }
            if end.how == Exit::Done && !is_lasting {
                session.health = Health::default();
                self.failures.record_success(&source, worker, now_ms);
            }
            if !is_lasting || !matches!(end.how, Exit::Failed | Exit::Done) {
                continue;
            }
            if was_sound {
                self.crash_loops.reset(&end.task);
            } else if let Some(delay_ms) = self.crash_loops.record_failure(&end.task, now_ms) {
                verdict.held_back.push((end.task, delay_ms));
            }
        }
        self.record_lasting(heartbeat, table, now_ms);
        if has_failed {
            verdict.excluded_ms = self.exclude_if_blamed(worker, table, now_ms);
        }
        verdict
    }

    // Records the long-running tasks that are at work on a worker.
    fn record_lasting(&mut self, heartbeat: &Heartbeat, table: &Table, now_ms: u64) {
        let Some(session) = self.sessions.get_mut(&heartbeat.worker) else { return };
        let is_lasting = |task| step_of(table, task).is_some_and(|step| step.is_lasting);
        let at_work = heartbeat.running.iter().filter(|row| row.percent >= AT_WORK_PERCENT);
        let at_work = at_work.filter(|row| is_lasting(&row.task)).map(|row| (row.task, row.run));
        for task in session.lasting.update(at_work, now_ms) {
            session.health = Health::default();
            self.crash_loops.reset(&task);
            if let Some(source) = Source::of(&task, table) {
                self.failures.record_success(&source, &heartbeat.worker, now_ms);
            }
        }
    }

    /// Records that a task is stopped as stuck. Returns for how long its worker is excluded from new work,
    /// in milliseconds, if it is from now on.
    pub fn record_stall(&mut self, task: &TaskId, table: &Table, now_ms: u64) -> Option<u64> {
        self.stalls.retain(|task, _| table.live.contains_key(&task.job));
        *self.stalls.entry(*task).or_default() += 1;
        let run = table.active_run(task)?;
        let source = Source::of(task, table)?;
        let session = self.sessions.get_mut(&run.worker)?;
        session.health.record_failure(source.clone(), STALL_WEIGHT, now_ms);
        self.failures.record_failure(&source, &run.worker, run.placed_ms, now_ms);
        self.exclude_if_blamed(&run.worker, table, now_ms)
    }

    fn exclude_if_blamed(&mut self, worker: &str, table: &Table, now_ms: u64) -> Option<u64> {
        let session = self.sessions.get(worker)?;
        if !self.failures.blames(&session.health, worker, table, now_ms) {
            return None;
        }
        self.exclude(worker, now_ms)
    }

    /// Excludes a worker from new work for a while; returns for how long, in milliseconds, unless it is
    /// excluded already.
    pub fn exclude(&mut self, worker: &str, now_ms: u64) -> Option<u64> {
        self.sessions.get_mut(worker)?.health.exclude(now_ms)
    }

    /// Workers on which runs of a step have failed lately and none has done its work.
    pub fn workers_failing_step(&self, job: Id, step: u32, now_ms: u64) -> Vec<&str> {
        self.failures.workers_failing_step((job, step), now_ms)
    }

    /// As [`Fleet::workers_failing_step`], for all of the customer's work in the queue with the step's image.
    pub fn workers_failing_kind(&self, job: &Job, step: &Step, now_ms: u64) -> Vec<&str> {
        self.failures.workers_failing_kind(job, step, now_ms)
    }

    /// Whether a long-running task may not start yet, since it fails soon after each start.
    pub fn is_held_back(&self, task: &TaskId, now_ms: u64) -> bool {
        self.crash_loops.is_held_back(task, now_ms)
    }

    // Whether a worker gets no new work for its failures. What it was excluded for may have turned out to
    // fail elsewhere, too.
    pub(super) fn is_excluded(
        &self,
        worker: &str,
        session: &Session,
        table: &Table,
        now_ms: u64,
    ) -> bool {
        let health = &session.health;
        let is_cleared = || {
            health.failures(now_ms).next().is_some()
                && !self.failures.blames(health, worker, table, now_ms)
        };
        health.is_excluded(now_ms) && !is_cleared()
    }

    // Opens the excluded workers of each kind that are too many, those to blame for the fewest failures
    // first.
    pub(super) fn limit_exclusions(&self, workers: &mut [Worker<'_>], table: &Table, now_ms: u64) {
        if !workers.iter().any(|worker| worker.is_excluded) {
            return;
        }
        let mut kinds: BTreeMap<_, (usize, Vec<usize>)> = BTreeMap::new();
        for (at, worker) in workers.iter().enumerate() {
            if !worker.is_open && !worker.is_excluded {
                continue;
            }
            let (count, excluded) = kinds.entry(kind_of(worker)).or_default();
            *count += 1;
            if worker.is_excluded {
                excluded.push(at);
            }
        }
        let mut opened = Vec::new();
        for (count, mut excluded) in kinds.into_values() {
            let allowed = (count / EXCLUDED_SHARE_DIVISOR).max(1);
            if excluded.len() <= allowed {
                continue;
            }
            excluded.sort_by(|one, other| {
                let blame = |at: usize| {
                    let session = self.sessions.get(workers[at].name);
                    session.map_or(0.0, |known| {
                        self.failures.blame(&known.health, workers[at].name, table, now_ms)
                    })
                };
                blame(*other).total_cmp(&blame(*one))
            });
            opened.extend(excluded.split_off(allowed));
        }
        for at in opened {
            workers[at].is_excluded = false;
            workers[at].is_open = true;
        }
    }
}

// Workers that are alike for a step: of one pool, with the same labels but for the rack.
fn kind_of<'a>(worker: &Worker<'a>) -> (&'a str, Vec<&'a str>) {
    let labels = worker.labels.iter().map(String::as_str);
    (worker.pool, labels.filter(|label| *label != worker.rack).collect())
}

// When a run that ended was placed, on the leader's wall clock, in milliseconds; 0 if that is not known.
fn placed_ms(end: &End, table: &Table) -> u64 {
    let run = table.active_run(&end.task).filter(|run| run.number == end.run);
    run.map_or(0, |run| run.placed_ms)
}
