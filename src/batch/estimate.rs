//! Run times learned from runs that ended, by queue.

use std::collections::BTreeMap;

/// Weight of the newest run in the running mean: about the last ten runs count.
const NEWEST: f64 = 0.1;
/// Runs after which the mean goes before what a job declares.
const TRUSTED: u32 = 3;
/// Run time taken for tasks that declare none, in milliseconds.
const UNKNOWN_MS: u64 = 5_000;

/// Run times by queue.
#[derive(Debug, Default)]
pub struct Estimates {
    by_queue: BTreeMap<String, Mean>,
}

#[derive(Debug, Default)]
struct Mean {
    mean_ms: f64,
    runs: u32,
}

impl Estimates {
    /// Learns from a run that did all its work without a checkpoint to begin with.
    pub fn learn(&mut self, queue: &str, took_ms: u64) {
        let mean = self.by_queue.entry(queue.to_string()).or_default();
        mean.runs += 1;
        let weight = NEWEST.max(1.0 / f64::from(mean.runs));
        mean.mean_ms += (took_ms as f64 - mean.mean_ms) * weight;
    }

    /// Expected run time of a task, in milliseconds: what its queue's tasks took, else as declared.
    pub fn run_ms(&self, queue: &str, declared_ms: u64) -> u64 {
        let learned = self.by_queue.get(queue).filter(|mean| mean.runs >= TRUSTED);
        match learned {
            Some(mean) => mean.mean_ms as u64,
            None if declared_ms > 0 => declared_ms,
            None => UNKNOWN_MS,
        }
    }
}
