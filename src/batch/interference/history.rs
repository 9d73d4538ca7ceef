//! What ran on each worker a short time ago.

use std::collections::{BTreeMap, VecDeque};

use super::ImageId;

/// Maximum number of ended runs that are remembered of one worker.
const MAX_ENDED_RUNS: usize = 16;
/// Time for which the ended runs of a worker are remembered after the last one, in milliseconds:
/// longer than nearly all runs.
const RETENTION_MS: u64 = 600_000;
/// Number of ended runs after which those of workers without recent ones are removed.
const CLEANUP_INTERVAL: u32 = 4_096;

/// Time in which a run was on a worker, on the wall clock, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Interval {
    /// Image of the run.
    pub(super) image: ImageId,
    /// When it was placed.
    pub(super) from_ms: u64,
    /// When it ended, or now.
    pub(super) to_ms: u64,
}

/// Runs that ended a short time ago, by worker.
#[derive(Debug, Default)]
pub(super) struct History {
    ended: BTreeMap<String, VecDeque<Interval>>,
    added: u32,
}

impl History {
    /// Records a run that has ended.
    pub(super) fn add(&mut self, worker: &str, run: Interval) {
        self.added += 1;
        if self.added >= CLEANUP_INTERVAL {
            self.added = 0;
            self.ended.retain(|_, runs| {
                runs.back().is_some_and(|last| run.to_ms < last.to_ms + RETENTION_MS)
            });
        }
        let runs = self.ended.entry(worker.to_string()).or_default();
        if runs.len() >= MAX_ENDED_RUNS {
            runs.pop_front();
        }
        runs.push_back(run);
    }

    /// Forgets the runs of an image.
    pub(super) fn forget(&mut self, image: ImageId) {
        for runs in self.ended.values_mut() {
            runs.retain(|run| run.image != image);
        }
    }

    /// Images that were on a worker in a period, with the share of the period in which at least one run of
    /// each was. `active` are the runs that go on.
    pub(super) fn beside(
        &self,
        worker: &str,
        (from_ms, to_ms): (u64, u64),
        active: impl Iterator<Item = Interval>,
    ) -> Vec<(ImageId, f64)> {
        let ended = self.ended.get(worker).into_iter().flatten().copied();
        let mut runs: Vec<Interval> = ended.chain(active).collect();
        runs.sort_by_key(|run| (run.image, run.from_ms));
        let period_ms = to_ms.saturating_sub(from_ms).max(1) as f64;
        let mut shares: Vec<(ImageId, f64)> = Vec::new();
        // End of the part of the period that is counted for the image already.
        let mut counted_ms = from_ms;
        for run in runs {
            if shares.last().is_none_or(|(image, _)| *image != run.image) {
                shares.push((run.image, 0.0));
                counted_ms = from_ms;
            }
            let overlap_ms = run.to_ms.min(to_ms).saturating_sub(run.from_ms.max(counted_ms));
            counted_ms = counted_ms.max(run.to_ms.min(to_ms));
            if let Some((_, share)) = shares.last_mut() {
                *share += overlap_ms as f64 / period_ms;
            }
        }
        shares.retain(|(_, share)| *share > 0.0);
        shares
    }
}
