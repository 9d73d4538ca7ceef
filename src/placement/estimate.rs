//! Run time estimates learned from finished jobs.

use std::collections::BTreeMap;

use crate::state::job::{Job, Phase, Table};

/// Number of most recent finished jobs kept for each customer and kind.
const MAX_SAMPLES: usize = 64;
/// Number of finished jobs needed before their run times are used.
const MIN_SAMPLES: usize = 5;
/// Quantile of the samples that is used as the estimate, in percent.
const QUANTILE_PERCENT: usize = 80;
/// Run time assumed for a job that declares none and has no history, in milliseconds.
const DEFAULT_RUN_MS: u64 = 600_000;

/// Samples from one customer's jobs of one kind, oldest first.
#[derive(Clone, Debug, Default)]
struct History {
    // Actual run time divided by the declared one, in thousandths.
    ratio_permille: Vec<u64>,
    run_ms: Vec<u64>,
}

/// Estimates run times; its state can be rebuilt from the ended jobs.
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    // Number of ended jobs taken in so far.
    processed: u64,
    // By customer, then by kind.
    histories: BTreeMap<String, BTreeMap<String, History>>,
}

impl Estimator {
    /// Records the jobs that ended since the last call.
    pub fn learn(&mut self, jobs: &Table) {
        for job in jobs.ended_after(self.processed) {
            self.record(job);
        }
        self.processed = jobs.ended_total();
    }

    fn record(&mut self, job: &Job) {
        let (Some(started_ms), Some(ended_ms)) = (job.started_ms, job.ended_ms) else { return };
        // For an evicted job the time from start to end includes waiting.
        if job.phase != Phase::Finished || job.evictions > 0 {
            return;
        }
        let run_ms = ended_ms.saturating_sub(started_ms);
        let by_kind = self.histories.entry(job.customer.clone()).or_default();
        let history = by_kind.entry(job.spec.kind.clone()).or_default();
        push_sample(&mut history.run_ms, run_ms);
        let ratio_permille = run_ms.saturating_mul(1_000).checked_div(job.spec.run_ms);
        if let Some(ratio_permille) = ratio_permille {
            push_sample(&mut history.ratio_permille, ratio_permille);
        }
    }

    /// Estimated run time of a job, in milliseconds.
    pub fn run_ms(&self, job: &Job) -> u64 {
        let declared_ms = job.spec.run_ms;
        let history =
            self.histories.get(&job.customer).and_then(|by_kind| by_kind.get(&job.spec.kind));
        let Some(history) = history else {
            return if declared_ms > 0 { declared_ms } else { DEFAULT_RUN_MS };
        };
        if declared_ms == 0 {
            return quantile(&history.run_ms).unwrap_or(DEFAULT_RUN_MS);
        }
        let ratio_permille = quantile(&history.ratio_permille).unwrap_or(1_000);
        (declared_ms.saturating_mul(ratio_permille) / 1_000).max(1)
    }
}

fn push_sample(samples: &mut Vec<u64>, sample: u64) {
    if samples.len() == MAX_SAMPLES {
        samples.remove(0);
    }
    samples.push(sample);
}

fn quantile(samples: &[u64]) -> Option<u64> {
    if samples.len() < MIN_SAMPLES {
        return None;
    }
    let mut sorted = samples.to_vec();
    sorted.sort_unstable();
    Some(sorted[(sorted.len() - 1) * QUANTILE_PERCENT / 100])
}
