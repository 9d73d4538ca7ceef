//! Estimates learned from runs: run times by what tasks are and what they declare, and the relative
//! speed of workers.

use super::bounded::Bounded;
use super::interference::Interference;
use super::job::{Id, Job, Step};
use super::speed::{Location, Mean, Speeds};

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
/// Weight, in steps, of what is known of a queue in the estimate for one customer's tasks of an
/// image.
const QUEUE_WEIGHT: f64 = 10.0;
/// Weight of a run in the speed of its worker if no other run of its step has been measured, so that
/// a slow worker can't be told from a long task.
const LONE_RUN_WEIGHT: f64 = 0.2;
/// Most queues, and most customers' images in them, whose run times are kept.
const MAX_KINDS: usize = 4_096;
/// Most steps whose measured runs are compared with each other.
const MAX_STEPS: usize = 4_096;

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

/// What a task is, as far as its run time may depend on it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Kind<'a> {
    /// Queue of its job.
    pub queue: &'a str,
    /// Image that it runs.
    pub image: &'a str,
    /// Customer that submitted its job.
    pub customer: &'a str,
    /// Declared run time, in milliseconds; 0 if none was given.
    pub declared_ms: u64,
    /// Number of tasks of its step. They are alike, so that all of them count as one sample of what
    /// a customer submits; 0 counts as 1.
    pub tasks: u32,
}

impl<'a> Kind<'a> {
    /// Kind of a step's tasks.
    pub fn of(job: &'a Job, step: &'a Step) -> Self {
        Self {
            queue: &job.queue,
            image: &step.image,
            customer: &job.customer,
            declared_ms: step.estimate_ms,
            tasks: step.count,
        }
    }
}

/// Learned run times and speeds.
#[derive(Debug, Default)]
pub struct Estimates {
    /// How far tasks slow each other down.
    pub interference: Interference,
    by_queue: Bounded<String, Regression, MAX_KINDS>,
    by_customer: Bounded<String, Regression, MAX_KINDS>,
    // Mean deviation of the measured runs of a step from what was expected in their zones.
    by_step: Bounded<(Id, u32), Mean, MAX_STEPS>,
    speeds: Speeds,
}

impl Estimates {
    /// Updates the estimates with a run of which little is known.
    pub fn learn(&mut self, sample: &Sample<'_>) {
        let kind = Kind { queue: sample.queue, declared_ms: sample.declared_ms, ..Kind::default() };
        let location = Location { zone: sample.zone, ..Location::default() };
        self.learn_run_time(&kind, &location, sample.took_ms);
        let deviation = ln_ms(sample.took_ms) - self.ln_expected_ms(&kind);
        self.speeds.learn_zone(sample.zone, deviation, 1.0);
    }

    /// Updates the run times with a finished run that did all its work near its data, without
    /// resuming from a checkpoint. `took_ms` is the time from its placement to its end.
    pub fn learn_run_time(&mut self, kind: &Kind<'_>, location: &Location<'_>, took_ms: u64) {
        // Speed is factored out, so the regressions hold for workers of average speed.
        let took = ln_ms(took_ms) - self.speeds.offset(location);
        let declared = (kind.declared_ms > 0).then(|| ln_ms(kind.declared_ms));
        self.by_queue.update(kind.queue).add(declared, took, 1.0);
        if let Some(key) = customer_key(kind) {
            let weight = 1.0 / f64::from(kind.tasks.max(1));
            self.by_customer.update(&key).add(declared, took, weight);
        }
    }

    /// Updates the speeds with the pace of a run near its data. `whole_ms` is the time that the whole
    /// work of its task takes at this pace, `step` the step of its job.
    pub fn learn_pace(
        &mut self,
        kind: &Kind<'_>,
        step: (Id, u32),
        location: &Location<'_>,
        whole_ms: u64,
    ) {
        let deviation = ln_ms(whole_ms) - self.ln_expected_ms(kind);
        let siblings = self.by_step.get(&step).copied().unwrap_or_default();
        // Tasks of a step are alike, so that all of them together count as one in a zone.
        self.speeds.learn_zone(location.zone, deviation, 1.0 / (1.0 + siblings.weight));
        // Comparing them with each other takes their length out. Only the speed of the zone is taken
        // out of the runs compared with: what is learned of a worker must not confirm itself.
        let in_zone = deviation - self.speeds.zone_offset(location.zone);
        let weight = if siblings.weight > 0.0 { 1.0 } else { LONE_RUN_WEIGHT };
        self.speeds.learn_in_zone(location, in_zone - siblings.mean, weight);
        self.by_step.update(&step).add(in_zone, 1.0, DECAY);
    }

    /// Expected run time of a queue's tasks on a worker of average speed, in milliseconds.
    pub fn run_ms(&self, queue: &str, declared_ms: u64) -> u64 {
        self.task_ms(&Kind { queue, declared_ms, ..Kind::default() })
    }

    /// Expected run time of a task on a worker of average speed, in milliseconds.
    pub fn task_ms(&self, kind: &Kind<'_>) -> u64 {
        self.ln_expected_ms(kind).exp().round() as u64
    }

    /// Factor by which runs take longer than average on the workers of a zone.
    pub fn slowdown(&self, zone: &str) -> f64 {
        self.slowdown_at(&Location { zone, ..Location::default() })
    }

    /// Factor by which runs take longer than average at a location: 1 where nothing has shown a
    /// difference.
    pub fn slowdown_at(&self, location: &Location<'_>) -> f64 {
        self.speeds.offset(location).exp()
    }

    /// Number of queues, customers' images and steps whose run times are kept.
    pub fn len(&self) -> usize {
        self.by_queue.len() + self.by_customer.len() + self.by_step.len()
    }

    /// Whether nothing has been learned of any run time.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Learned speeds.
    pub fn speeds(&self) -> &Speeds {
        &self.speeds
    }

    // Logarithm of the expected run time: what is known of the queue, and of the customer's tasks of
    // this image as far as there are samples.
    fn ln_expected_ms(&self, kind: &Kind<'_>) -> f64 {
        let of_queue = self.by_queue.get(kind.queue);
        let learned = of_queue.filter(|regression| regression.took.weight >= MIN_WEIGHT);
        let Some(of_queue) = learned else {
            let declared_ms = if kind.declared_ms > 0 { kind.declared_ms } else { DEFAULT_RUN_MS };
            return ln_ms(declared_ms);
        };
        let slope = of_queue.slope(PRIOR_SLOPE);
        let expected = of_queue.predict(kind.declared_ms, slope);
        let of_customer = customer_key(kind).and_then(|key| self.by_customer.get(&key));
        let Some(of_customer) = of_customer else { return expected };
        let own = of_customer.predict(kind.declared_ms, of_customer.slope(slope));
        let weight = of_customer.took.weight;
        (own * weight + expected * QUEUE_WEIGHT) / (weight + QUEUE_WEIGHT)
    }
}

// Key of one customer's tasks of an image in a queue.
fn customer_key(kind: &Kind<'_>) -> Option<String> {
    let is_known = !kind.customer.is_empty() || !kind.image.is_empty();
    is_known.then(|| [kind.queue, kind.image, kind.customer].join("\n"))
}

fn ln_ms(ms: u64) -> f64 {
    (ms.max(1) as f64).ln()
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
    fn add(&mut self, declared: Option<f64>, took: f64, weight: f64) {
        let previous_mean = self.took.mean;
        self.took.add(took, weight, DECAY);
        let Some(declared) = declared else { return };
        let deviation = declared - self.declared.mean;
        self.declared.add(declared, weight, DECAY);
        if self.declared.weight <= weight {
            return;
        }
        let decay = DECAY.powf(weight);
        let weighted = weight * (declared - self.declared.mean);
        self.squares = self.squares * decay + weighted * deviation;
        self.products = self.products * decay + weighted * (took - previous_mean);
    }

    // Share of a declared run time's deviation from the mean that is real.
    fn slope(&self, prior: f64) -> f64 {
        let slope =
            (self.products + prior * PRIOR_SLOPE_WEIGHT) / (self.squares + PRIOR_SLOPE_WEIGHT);
        slope.clamp(0.0, 1.0)
    }

    // Predicted logarithm of the run time.
    fn predict(&self, declared_ms: u64, slope: f64) -> f64 {
        if declared_ms == 0 || self.declared.weight < MIN_WEIGHT {
            return self.took.mean;
        }
        self.took.mean + slope * (ln_ms(declared_ms) - self.declared.mean)
    }
}
