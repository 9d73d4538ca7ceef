//! Health of workers, judged by how their recent runs ended.

use std::collections::BTreeMap;

use super::failure::Source;
use crate::batch::job::TaskId;

/// Weight of a run that made no progress or never began, in failures: it took the worker far longer than
/// it should.
pub(super) const STALL_WEIGHT: u32 = 2;
/// Time for which a failure counts against a worker, in milliseconds.
const FAILURE_MS: u64 = 60_000;
/// Most sources of failed runs that are kept for a worker.
const MAX_SOURCES: usize = 16;
/// Duration of the first exclusion of a worker that failed or stalled a run, in milliseconds;
/// doubles with each further exclusion.
const EXCLUSION_MS: u64 = 1_500;
/// Longest exclusion of a worker, in milliseconds.
const MAX_EXCLUSION_MS: u64 = 12_000;
/// Time at work from which on a run of a long-running task shows that its worker can run it, in
/// milliseconds. Such a task may fail at any time later without a fault of its worker.
const SOUND_MS: u64 = 3_000;

/// Health of one worker.
#[derive(Clone, Debug, Default)]
pub(super) struct Health {
    // Failed runs since the last successful one, with the time of the latest.
    failures: BTreeMap<Source, (u32, u64)>,
    exclusions: u32,
    excluded_until_ms: u64,
}

impl Health {
    /// Whether the worker gets no new work, provided that it is to blame for its failures.
    pub(super) fn is_excluded(&self, now_ms: u64) -> bool {
        now_ms < self.excluded_until_ms
    }

    /// Recent failures, by source.
    pub(super) fn failures(&self, now_ms: u64) -> impl Iterator<Item = (&Source, u32)> {
        let is_recent = move |at_ms: u64| now_ms < at_ms + FAILURE_MS;
        let recent = self.failures.iter().filter(move |(_, (_, at_ms))| is_recent(*at_ms));
        recent.map(|(source, (count, _))| (source, *count))
    }

    pub(super) fn record_failure(&mut self, source: Source, weight: u32, now_ms: u64) {
        self.failures.retain(|_, (_, at_ms)| now_ms < *at_ms + FAILURE_MS);
        if self.failures.len() >= MAX_SOURCES && !self.failures.contains_key(&source) {
            return;
        }
        let (count, at_ms) = self.failures.entry(source).or_default();
        *count = count.saturating_add(weight);
        *at_ms = now_ms;
    }

    /// Excludes the worker from new work for a while; returns for how long, in milliseconds, unless it is
    /// excluded already.
    pub(super) fn exclude(&mut self, now_ms: u64) -> Option<u64> {
        // Runs that end together count as one event.
        if self.is_excluded(now_ms) {
            return None;
        }
        let length_ms = (EXCLUSION_MS << self.exclusions.min(4)).min(MAX_EXCLUSION_MS);
        self.exclusions += 1;
        self.excluded_until_ms = now_ms + length_ms;
        Some(length_ms)
    }
}

/// Runs of long-running tasks that are at work on one worker.
#[derive(Debug, Default)]
pub(super) struct Lasting {
    // Since when each run is known to be at work, in milliseconds.
    since_ms: BTreeMap<(TaskId, u32), u64>,
    observed_ms: u64,
}

impl Lasting {
    /// Replaces the runs at work by those in a heartbeat; returns those that have just turned out to be
    /// sound.
    pub(super) fn update(
        &mut self,
        at_work: impl Iterator<Item = (TaskId, u32)>,
        now_ms: u64,
    ) -> Vec<TaskId> {
        let known = std::mem::take(&mut self.since_ms);
        let mut turned_sound = Vec::new();
        for run in at_work {
            let since_ms = known.get(&run).copied().unwrap_or(now_ms);
            if !is_sound(since_ms, self.observed_ms) && is_sound(since_ms, now_ms) {
                turned_sound.push(run.0);
            }
            self.since_ms.insert(run, since_ms);
        }
        self.observed_ms = now_ms;
        turned_sound
    }

    /// Whether a run was at work for so long that its failure says nothing of its worker.
    pub(super) fn is_sound(&self, task: &TaskId, run: u32) -> bool {
        let since_ms = self.since_ms.get(&(*task, run));
        since_ms.is_some_and(|since_ms| is_sound(*since_ms, self.observed_ms))
    }
}

fn is_sound(since_ms: u64, now_ms: u64) -> bool {
    now_ms.saturating_sub(since_ms) >= SOUND_MS
}
