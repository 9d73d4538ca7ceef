//! Run times learned from finished jobs.

use std::collections::BTreeMap;

use crate::state::job::{Job, Phase, Table};

/// Finished jobs that are remembered for each customer and kind.
const SAMPLES: usize = 64;
/// Finished jobs needed before a declared run time is corrected.
const ENOUGH: usize = 5;
/// Quantile that is taken, in percent.
const QUANTILE: usize = 80;
/// Run time assumed where nothing is known, in milliseconds.
const UNKNOWN_MS: u64 = 600_000;

/// Run times of one customer's jobs of one kind.
#[derive(Clone, Debug, Default)]
struct History {
    // Actual run time in thousandths of the declared one.
    permille: Vec<u64>,
    run_ms: Vec<u64>,
}

/// Learned run times; soft state that is rebuilt from the ended jobs.
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    seen: u64,
    learned: BTreeMap<String, BTreeMap<String, History>>,
}

impl Estimator {
    /// Takes in the jobs that ended since the last call.
    pub fn learn(&mut self, jobs: &Table) {
        for job in jobs.ended_after(self.seen) {
            self.add(job);
        }
        self.seen = jobs.ended_total();
    }

    fn add(&mut self, job: &Job) {
        let (Some(started_ms), Some(ended_ms)) = (job.started_ms, job.ended_ms) else { return };
        // An evicted job's time includes its waits.
        if job.phase != Phase::Finished || job.evictions > 0 {
            return;
        }
        let run_ms = ended_ms.saturating_sub(started_ms);
        let kinds = self.learned.entry(job.customer.clone()).or_default();
        let history = kinds.entry(job.spec.kind.clone()).or_default();
        push(&mut history.run_ms, run_ms);
        let permille = run_ms.saturating_mul(1_000).checked_div(job.spec.run_ms);
        if let Some(permille) = permille {
            push(&mut history.permille, permille);
        }
    }

    /// Estimated run time of a job, in milliseconds.
    pub fn run_ms(&self, job: &Job) -> u64 {
        let declared_ms = job.spec.run_ms;
        let known = self.learned.get(&job.customer).and_then(|kinds| kinds.get(&job.spec.kind));
        let Some(history) = known else {
            return if declared_ms > 0 { declared_ms } else { UNKNOWN_MS };
        };
        if declared_ms == 0 {
            return quantile(&history.run_ms).unwrap_or(UNKNOWN_MS);
        }
        let permille = quantile(&history.permille).unwrap_or(1_000);
        (declared_ms.saturating_mul(permille) / 1_000).max(1)
    }
}

fn push(samples: &mut Vec<u64>, sample: u64) {
    if samples.len() == SAMPLES {
        samples.remove(0);
    }
    samples.push(sample);
}

fn quantile(samples: &[u64]) -> Option<u64> {
    if samples.len() < ENOUGH {
        return None;
    }
    let mut sorted = samples.to_vec();
    sorted.sort_unstable();
    Some(sorted[(sorted.len() - 1) * QUANTILE / 100])
}
