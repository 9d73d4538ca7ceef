//! Run times learned from runs that ended: by queue and declaration, and how fast zones are.

use std::collections::BTreeMap;

/// Weight that a sample keeps with each later one: about the last fifty runs count.
const DECAY: f64 = 0.98;
/// Runs after which what was learned goes before what a job declares.
const TRUSTED: f64 = 3.0;
/// Run time taken for tasks that declare none, in milliseconds.
const UNKNOWN_MS: u64 = 5_000;
/// Share of a declaration's deviation from the queue's mean that is believed before runs have shown it.
const SLOPE: f64 = 0.5;
/// Weight of that share, as a sum of squared deviations of logarithms: that of about ten runs.
const SLOPE_WEIGHT: f64 = 0.5;
/// Runs in a zone that count as much as the assumption that it is as fast as the others.
const ZONE_WEIGHT: f64 = 5.0;

/// A run that did all its work, near its data and without a checkpoint to begin with.
#[derive(Clone, Copy, Debug)]
pub struct Sample<'a> {
    /// Queue of its job.
    pub queue: &'a str,
    /// Availability zone of its worker.
    pub zone: &'a str,
    /// Declared run time, in milliseconds; 0 where none was given.
    pub declared_ms: u64,
    /// Time from its placement to its end, in milliseconds.
    pub took_ms: u64,
}

/// Run times by queue, and the speed of zones.
#[derive(Debug, Default)]
pub struct Estimates {
    by_queue: BTreeMap<String, Line>,
    by_zone: BTreeMap<String, Mean>,
}

impl Estimates {
    /// Learns from a run.
    pub fn learn(&mut self, sample: &Sample<'_>) {
        let took = logarithm(sample.took_ms);
        let zone = self.zone(sample.zone);
        let line = self.by_queue.entry(sample.queue.to_string()).or_default();
        // What the queue's runs would have taken on workers of the usual speed.
        line.add((sample.declared_ms > 0).then(|| logarithm(sample.declared_ms)), took - zone);
        let expected = line.at(sample.declared_ms);
        self.by_zone.entry(sample.zone.to_string()).or_default().add(took - expected);
    }

    /// Expected run time of a task on a worker of the usual speed, in milliseconds.
    pub fn run_ms(&self, queue: &str, declared_ms: u64) -> u64 {
        let learned = self.by_queue.get(queue).filter(|line| line.took.weight >= TRUSTED);
        match learned {
            Some(line) => line.at(declared_ms).exp() as u64,
            None if declared_ms > 0 => declared_ms,
            None => UNKNOWN_MS,
        }
    }

    /// How many times as long as usual a run takes on the workers of a zone.
    pub fn slowdown(&self, zone: &str) -> f64 {
        self.zone(zone).exp()
    }

    fn zone(&self, zone: &str) -> f64 {
        let Some(mean) = self.by_zone.get(zone) else { return 0.0 };
        mean.mean * mean.weight / (mean.weight + ZONE_WEIGHT)
    }
}

fn logarithm(ms: u64) -> f64 {
    (ms.max(1) as f64).ln()
}

/// Mean that forgets.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    weight: f64,
    mean: f64,
}

impl Mean {
    fn add(&mut self, value: f64) {
        self.weight = self.weight * DECAY + 1.0;
        self.mean += (value - self.mean) / self.weight;
    }
}

/// Logarithm of the time that runs took as a linear function of the logarithm of what was declared.
#[derive(Clone, Copy, Debug, Default)]
struct Line {
    took: Mean,
    declared: Mean,
    // Sums of products of deviations from the means.
    squares: f64,
    products: f64,
}

impl Line {
    fn add(&mut self, declared: Option<f64>, took: f64) {
        let took_before = self.took.mean;
        self.took.add(took);
        let Some(declared) = declared else { return };
        let deviation = declared - self.declared.mean;
        self.declared.add(declared);
        if self.declared.weight <= 1.0 {
            return;
        }
        self.squares = self.squares * DECAY + deviation * (declared - self.declared.mean);
        self.products =
            self.products * DECAY + (took - took_before) * (declared - self.declared.mean);
    }

    fn at(&self, declared_ms: u64) -> f64 {
        if declared_ms == 0 || self.declared.weight < TRUSTED {
            return self.took.mean;
        }
        let slope = (self.products + SLOPE * SLOPE_WEIGHT) / (self.squares + SLOPE_WEIGHT);
        self.took.mean + slope.clamp(0.0, 1.0) * (logarithm(declared_ms) - self.declared.mean)
    }
}
