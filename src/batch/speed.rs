//! Relative speed of workers, learned from the run times of tasks with the length of the tasks taken
//! out: by availability zone, by rack and by worker.
//!
//! Each level holds robust means of logarithms, shrunk by how far its members differ beyond chance
//! (empirical Bayes): where they are alike, all of them count as equally fast.

use super::bounded::Bounded;

/// Factor by which the weight of earlier samples of a zone or rack decays with each new one.
const GROUP_DECAY: f64 = 0.99;
/// The same for a worker: its speed rests on its last ten runs, since it may turn slow or recover.
const WORKER_DECAY: f64 = 0.9;
/// Largest deviation of a sample from the mean that counts, as a logarithm: a factor of two. Tasks
/// that are far longer than others don't make a worker slow.
const MAX_RESIDUAL: f64 = std::f64::consts::LN_2;
/// Prior variance of the samples of one place, as squared logarithms: a third of the run time.
const PRIOR_NOISE: f64 = 0.1;
/// Weight of that prior, in samples.
const PRIOR_NOISE_WEIGHT: f64 = 5.0;
/// Standard deviations by which the differences within a level must exceed those by chance to count.
const SIGNIFICANCE: f64 = 3.0;
/// Standard errors by which the mean of a single place must differ from that of all others to count
/// where the level as a whole does not differ: one slow worker among hundreds.
const OUTLIER_SIGNIFICANCE: f64 = 4.0;
/// Most places of a level whose speed is kept.
const MAX_PLACES: usize = 8_192;
/// Divisor of the number of places for the number of samples after which the spread of a level is
/// worked out again: the effort per sample stays the same in fleets of any size.
const REFRESH_DIVISOR: usize = 8;

/// Where a worker is, from its availability zone to itself. Levels that are not known are empty.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Location<'a> {
    /// Availability zone.
    pub zone: &'a str,
    /// Rack.
    pub rack: &'a str,
    /// Unique name of the worker.
    pub worker: &'a str,
}

/// Learned speeds of zones, racks and workers.
#[derive(Debug, Default)]
pub struct Speeds {
    zones: Level,
    racks: Level,
    workers: Level,
}

impl Speeds {
    /// Updates the speed of a zone with a run. `deviation` is the logarithm of its time as a multiple
    /// of the expected time on a worker of average speed.
    pub fn learn_zone(&mut self, zone: &str, deviation: f64, weight: f64) {
        self.zones.learn(zone, deviation, (weight, GROUP_DECAY));
    }

    /// Updates the speeds of a rack and a worker with a run. `deviation` is the logarithm of its time
    /// as a multiple of the usual one in its zone.
    pub fn learn_in_zone(&mut self, location: &Location<'_>, deviation: f64, weight: f64) {
        let of_rack = self.racks.learn(location.rack, deviation, (weight, GROUP_DECAY));
        self.workers.learn(location.worker, deviation - of_rack, (weight, WORKER_DECAY));
    }

    /// Logarithm of the factor by which runs take longer than average in a zone.
    pub fn zone_offset(&self, zone: &str) -> f64 {
        self.zones.offset(zone)
    }

    /// Logarithm of the factor by which runs take longer than average at a location.
    pub fn offset(&self, location: &Location<'_>) -> f64 {
        self.zones.offset(location.zone)
            + self.racks.offset(location.rack)
            + self.workers.offset(location.worker)
    }

    /// Whether all workers count as equally fast.
    pub fn is_even(&self) -> bool {
        [&self.zones, &self.racks, &self.workers].iter().all(|level| level.is_even())
    }

    /// Standard deviations of the speeds of zones, racks and workers, as logarithms; 0 where they
    /// don't differ beyond chance.
    pub fn spreads(&self) -> [f64; 3] {
        [&self.zones, &self.racks, &self.workers].map(|level| level.spread.sqrt())
    }
}

/// Speeds of the places of one level.
#[derive(Debug, Default)]
struct Level {
    places: Bounded<String, Mean, MAX_PLACES>,
    // Squared deviations of samples from the means of their places.
    noise: Mean,
    // Variance between the places beyond chance.
    spread: f64,
    // Mean of all places.
    center: f64,
    has_outliers: bool,
    samples_until_refresh: usize,
}

impl Level {
    // Adds a sample and returns the resulting offset of its place.
    fn learn(&mut self, place: &str, deviation: f64, (weight, decay): (f64, f64)) -> f64 {
        if place.is_empty() {
            return 0.0;
        }
        let mean = self.places.update(place);
        let is_known = mean.weight > 0.0;
        let residual = (deviation - mean.mean).clamp(-MAX_RESIDUAL, MAX_RESIDUAL);
        mean.add(mean.mean + residual, weight, decay);
        if is_known {
            self.noise.add(residual * residual, weight, GROUP_DECAY);
        }
        match self.samples_until_refresh.checked_sub(1) {
            Some(left) => self.samples_until_refresh = left,
            None => self.refresh(),
        }
        self.offset(place)
    }

    fn is_even(&self) -> bool {
        self.spread == 0.0 && !self.has_outliers
    }

    fn offset(&self, place: &str) -> f64 {
        if self.is_even() {
            return 0.0;
        }
        let Some(mean) = self.places.get(place) else { return 0.0 };
        let chance = self.chance(mean);
        let shrunk = self.spread / (self.spread + chance);
        (mean.mean - self.center) * shrunk.max(self.outlier_share(mean))
    }

    // Variance of the mean of a place by chance.
    fn chance(&self, mean: &Mean) -> f64 {
        self.noise() / mean.weight.max(f64::MIN_POSITIVE)
    }

    // Share of an outlier's difference from the other places that is beyond chance.
    fn outlier_share(&self, mean: &Mean) -> f64 {
        let difference = mean.mean - self.center;
        let by_chance = OUTLIER_SIGNIFICANCE * OUTLIER_SIGNIFICANCE * self.chance(mean);
        (1.0 - by_chance / (difference * difference).max(f64::MIN_POSITIVE)).max(0.0)
    }

    // Variance of the samples of one place.
    fn noise(&self) -> f64 {
        let prior = PRIOR_NOISE * PRIOR_NOISE_WEIGHT;
        (self.noise.mean * self.noise.weight + prior) / (self.noise.weight + PRIOR_NOISE_WEIGHT)
    }

    // Works out how far the places differ (analysis of variance with random effects).
    fn refresh(&mut self) {
        self.samples_until_refresh = self.places.len() / REFRESH_DIVISOR;
        let (mut weight, mut squares, mut sum) = (0.0, 0.0, 0.0);
        for place in self.places.values() {
            weight += place.weight;
            squares += place.weight * place.weight;
            sum += place.weight * place.mean;
        }
        if self.places.len() < 2 || weight <= 0.0 {
            self.spread = 0.0;
            self.has_outliers = false;
            return;
        }
        self.center = sum / weight;
        let differences = self.places.values().map(|place| {
            let difference = place.mean - self.center;
            place.weight * difference * difference
        });
        let freedom = (self.places.len() - 1) as f64;
        let by_chance = self.noise() * (freedom + SIGNIFICANCE * (2.0 * freedom).sqrt());
        let excess = differences.sum::<f64>() - by_chance;
        self.spread = (excess / (weight - squares / weight).max(f64::MIN_POSITIVE)).max(0.0);
        self.has_outliers = self.places.values().any(|place| self.outlier_share(place) > 0.0);
    }
}

/// Exponentially weighted moving mean.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Mean {
    pub(super) weight: f64,
    pub(super) mean: f64,
}

impl Mean {
    pub(super) fn add(&mut self, value: f64, weight: f64, decay: f64) {
        self.weight = self.weight * decay.powf(weight) + weight;
        self.mean += (value - self.mean) * weight / self.weight;
    }
}
