//! Estimates learned from finished runs: run times by queue and declared run time, and the relative
//! speed of zones.

use std::collections::BTreeMap;

use super::interference::Interference;

/// Factor by which the weight of earlier samples decays with each new one: the estimate rests on
/// about the last fifty runs.
const DECAY: f64 = 0.98;
/// Total weight of samples, in runs, from which on the learned run time is used instead of the
/// declared one.
const MIN_WEIGHT: f64 = 3.0;
/// Run time assumed for tasks that declare none, in milliseconds.
const DEFAULT_RUN_MS: u64 = 5_000;
/// Prior slope of the regression: the share of a declared run time's deviation from the queue's
/// mean that is assumed to be real before samples show it.
const PRIOR_SLOPE: f64 = 0.5;
/// Weight of the prior slope, as a sum of squared deviations of logarithms: that of about ten runs.
const PRIOR_SLOPE_WEIGHT: f64 = 0.5;
/// Weight, in runs, of the prior assumption that a zone is as fast as the others.
const ZONE_PRIOR_WEIGHT: f64 = 5.0;

/// A finished run that did all its work near its data, without resuming from a checkpoint.
#[derive(Clone, Copy, Debug)]
pub struct Sample<'a> {
    /// Queue of its job.
    pub queue: &'a str,
    /// Availability zone of its worker.
    pub zone: &'a str,
    /// Declared run time, in milliseconds; 0 if none was given.
    pub declared_ms: u64,
    /// Time from placement to end, in milliseconds.
    pub took_ms: u64,
}

/// Learned run times by queue, and speeds of zones.
#[derive(Debug, Default)]
pub struct Estimates {
    /// How far tasks slow each other down.
    pub interference: Interference,
    by_queue: BTreeMap<String, Regression>,
    by_zone: BTreeMap<String, Mean>,
}

impl Estimates {
    /// Updates the estimates with a run.
    pub fn learn(&mut self, sample: &Sample<'_>) {
        let log_took = ln_ms(sample.took_ms);
        let zone_offset = self.zone_offset(sample.zone);
        let regression = self.by_queue.entry(sample.queue.to_string()).or_default();
        // Zone speed is factored out, so the regression holds for workers of average speed.
        regression.add(
            (sample.declared_ms > 0).then(|| ln_ms(sample.declared_ms)),
            log_took - zone_offset,
        );
        let log_expected = regression.predict(sample.declared_ms);
        self.by_zone.entry(sample.zone.to_string()).or_default().add(log_took - log_expected);
    }

    /// Expected run time of a task on a worker of average speed, in milliseconds.
    pub fn run_ms(&self, queue: &str, declared_ms: u64) -> u64 {
        let learned =
            self.by_queue.get(queue).filter(|regression| regression.took.weight >= MIN_WEIGHT);
        match learned {
            Some(regression) => regression.predict(declared_ms).exp() as u64,
            None if declared_ms > 0 => declared_ms,
            None => DEFAULT_RUN_MS,
        }
    }

    /// Factor by which runs take longer than average on the workers of a zone.
    pub fn slowdown(&self, zone: &str) -> f64 {
        self.zone_offset(zone).exp()
    }

    // Mean deviation of the logarithm of run times in a zone, shrunk towards 0 while there are few
    // samples.
    fn zone_offset(&self, zone: &str) -> f64 {
        let Some(mean) = self.by_zone.get(zone) else { return 0.0 };
        mean.mean * mean.weight / (mean.weight + ZONE_PRIOR_WEIGHT)
    }
}

fn ln_ms(ms: u64) -> f64 {
    (ms.max(1) as f64).ln()
}

/// Exponentially weighted moving mean.
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

/// Linear regression of the logarithm of run times on the logarithm of declared run times, with
/// exponentially decaying weights.
#[derive(Clone, Copy, Debug, Default)]
struct Regression {
    took: Mean,
    declared: Mean,
    // Weighted sums of the squared deviations of the declared run times, and of the products of
    // both deviations.
    squares: f64,
    products: f64,
}

impl Regression {
    fn add(&mut self, declared: Option<f64>, took: f64) {
        let previous_mean = self.took.mean;
        self.took.add(took);
        let Some(declared) = declared else { return };
        let deviation = declared - self.declared.mean;
        self.declared.add(declared);
        if self.declared.weight <= 1.0 {
            return;
        }
        self.squares = self.squares * DECAY + deviation * (declared - self.declared.mean);
        self.products =
            self.products * DECAY + (took - previous_mean) * (declared - self.declared.mean);
    }

    // Predicted logarithm of the run time.
    fn predict(&self, declared_ms: u64) -> f64 {
        if declared_ms == 0 || self.declared.weight < MIN_WEIGHT {
            return self.took.mean;
        }
        let slope = (self.products + PRIOR_SLOPE * PRIOR_SLOPE_WEIGHT)
            / (self.squares + PRIOR_SLOPE_WEIGHT);
        self.took.mean + slope.clamp(0.0, 1.0) * (ln_ms(declared_ms) - self.declared.mean)
    }
}
