//! Interference: how far tasks slow each other down on one worker, learned by image.
//!
//! Runs of an image beside another one are compared with runs of the same image apart from it. An
//! effect counts as far as it is certain, so that nothing is learned from few or scattered samples.

mod history;
mod observe;

use std::collections::BTreeMap;

use super::job::{Job, Step};
use history::{History, Interval};

/// Maximum number of images that are told apart; bounds the number of pairs.
const MAX_IMAGES: usize = 64;
/// Time in which the weight of a sample halves, in milliseconds. Images that are kept apart give no
/// new samples, so that evidence has to expire by time.
const HALF_LIFE_MS: f64 = 600_000.0;
/// Largest deviation of a sample from its image's mean, as a logarithm: a run that takes several times
/// as long by itself must not mark its neighbours.
const MAX_DEVIATION: f64 = 1.1;
/// Number of standard errors by which an effect must exceed 0: pairs are many, so that some of them
/// show twice their standard error by chance.
const CONFIDENCE: f64 = 3.0;
/// Smallest effect that counts, as a logarithm: a tenth of the run time.
const MIN_EFFECT: f64 = 0.095;
/// Least variance of the samples of an image, as a squared logarithm: rounding and the delay of
/// heartbeats alone cause it.
const MIN_VARIANCE: f64 = 0.01;
/// Weight of samples, in runs, from which on a mean is used.
const MIN_WEIGHT: f64 = 10.0;
/// Most samples that the tasks of one step count as: they resemble each other.
const MAX_STEP_SAMPLES: f64 = 4.0;

/// What a task runs: its image, or its queue if it names none.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Image<'a> {
    /// Image that the step names.
    #[display("{_0}")]
    Named(&'a str),
    /// Queue of a job whose step names no image.
    #[display("queue {_0}")]
    OfQueue(&'a str),
}

impl<'a> Image<'a> {
    /// Image of the tasks of a step.
    pub fn of(job: &'a Job, step: &'a Step) -> Self {
        if step.image.is_empty() { Self::OfQueue(&job.queue) } else { Self::Named(&step.image) }
    }
}

/// Identifies an image within [`Interference`]; valid until the next sample is learned.
pub type ImageId = u16;

/// How far a task was slowed down, and what ran beside it.
#[derive(Clone, Debug)]
pub struct Sample<'a> {
    /// Image of the task.
    pub image: Image<'a>,
    /// Ratio of what was measured to what was expected: run times, or a latency and its target.
    pub ratio: f64,
    /// Weight, in independent runs.
    pub weight: f64,
    /// Other images, with the share of the run's time in which a run of them was on the worker.
    pub beside: Vec<(ImageId, f64)>,
}

/// Weight of a sample that is one of the tasks of a step.
fn sample_weight(step: &Step) -> f64 {
    let samples = if step.is_gang { 1.0 } else { MAX_STEP_SAMPLES };
    (samples / f64::from(step.count.max(1))).min(1.0)
}

/// A pair of images of which one slows the other down.
#[derive(Clone, Debug, PartialEq)]
pub struct Pair {
    /// Image whose tasks are slowed down.
    pub image: String,
    /// Image beside which they are.
    pub beside: String,
    /// Factor by which they take longer at least.
    pub slowdown: f64,
}

/// Effects of images on each other, learned from samples.
#[derive(Debug, Default)]
pub struct Interference {
    images: Vec<Known>,
    // Samples of the first image beside the second one, and apart from it.
    contrasts: BTreeMap<(ImageId, ImageId), Contrast>,
    history: History,
}

/// An image of which a run was seen.
#[derive(Debug)]
struct Known {
    name: String,
    is_queue: bool,
    seen_ms: u64,
    // Logarithms of the ratios.
    ratios: Moments,
}

#[derive(Clone, Copy, Debug, Default)]
struct Contrast {
    beside: Moments,
    apart: Moments,
}

impl Interference {
    /// Identity of an image, if a run of it was seen.
    pub fn find(&self, image: Image<'_>) -> Option<ImageId> {
        let position = self.images.iter().position(|known| known.is(image));
        position.map(|at| at as ImageId)
    }

    /// Identity of an image, a run of which is seen now. If there is no room for another one, the image
    /// that was seen longest ago is forgotten.
    pub fn register(&mut self, image: Image<'_>, now_ms: u64) -> ImageId {
        if let Some(id) = self.find(image) {
            self.images[id as usize].seen_ms = now_ms;
            return id;
        }
        let known = Known::new(image, now_ms);
        if self.images.len() < MAX_IMAGES {
            self.images.push(known);
            return (self.images.len() - 1) as ImageId;
        }
        let oldest = (0..MAX_IMAGES).min_by_key(|at| self.images[*at].seen_ms).unwrap_or(0);
        let id = oldest as ImageId;
        self.images[oldest] = known;
        self.contrasts.retain(|(image, beside), _| *image != id && *beside != id);
        self.history.forget(id);
        id
    }

    /// Learns from a run, or from a measurement of one that goes on.
    pub fn learn(&mut self, sample: &Sample<'_>, now_ms: u64) {
        if !(sample.ratio > 0.0 && sample.ratio.is_finite()) {
            return;
        }
        let id = self.register(sample.image, now_ms);
        let ratios = &mut self.images[id as usize].ratios;
        let value = sample.ratio.ln();
        let deviation = if ratios.weight < MIN_WEIGHT {
            0.0
        } else {
            (value - ratios.mean).clamp(-MAX_DEVIATION, MAX_DEVIATION)
        };
        let clipped = if ratios.weight < MIN_WEIGHT { value } else { ratios.mean + deviation };
        ratios.add(clipped, sample.weight, now_ms);
        if ratios.weight < MIN_WEIGHT {
            return;
        }
        let effects: Vec<(ImageId, f64)> = sample
            .beside
            .iter()
            .map(|(other, share)| (*other, share * self.effect(id, *other, now_ms)))
            .collect();
        let total: f64 = effects.iter().map(|(_, effect)| effect).sum();
        for other in 0..self.images.len() as ImageId {
            let share = sample.beside.iter().find(|(known, _)| *known == other);
            let share = share.map_or(0.0, |(_, share)| share.clamp(0.0, 1.0));
            let own = effects.iter().find(|(known, _)| *known == other);
            let own = own.map_or(0.0, |(_, effect)| *effect);
            // The known effect of the other neighbours is not this one's.
            let value = clipped - (total - own);
            let contrast = self.contrasts.entry((id, other)).or_default();
            contrast.beside.add(value, sample.weight * share, now_ms);
            contrast.apart.add(value, sample.weight * (1.0 - share), now_ms);
        }
    }

    /// Certain effect of an image on the runs of another one, as the logarithm of a factor; 0 if there
    /// is none.
    fn effect(&self, image: ImageId, beside: ImageId, now_ms: u64) -> f64 {
        self.contrasts.get(&(image, beside)).map_or(0.0, |contrast| contrast.effect(now_ms))
    }

    /// All certain effects.
    pub fn effects(&self, now_ms: u64) -> Effects {
        let mut effects = Effects { images: self.images.len(), ..Effects::default() };
        for ((image, beside), contrast) in &self.contrasts {
            let effect = contrast.effect(now_ms);
            if effect <= 0.0 {
                continue;
            }
            let images = effects.images;
            effects.factors.resize(images * images, 1.0);
            effects.factors[*image as usize * images + *beside as usize] = effect.exp();
        }
        effects
    }

    /// The pairs with a certain effect.
    pub fn pairs(&self, now_ms: u64) -> Vec<Pair> {
        let mut pairs = Vec::new();
        for ((image, beside), contrast) in &self.contrasts {
            let effect = contrast.effect(now_ms);
            if effect <= 0.0 {
                continue;
            }
            let name = |id: ImageId| self.images[id as usize].to_string();
            let (image, beside) = (name(*image), name(*beside));
            pairs.push(Pair { image, beside, slowdown: effect.exp() });
        }
        pairs
    }
}

/// Factors by which the tasks of an image take longer beside those of another one.
#[derive(Debug, Default)]
pub struct Effects {
    images: usize,
    // By image and then by neighbour; empty if all of them are 1.
    factors: Vec<f64>,
}

impl Effects {
    /// Whether no image affects another one.
    pub fn is_empty(&self) -> bool {
        self.factors.is_empty()
    }

    /// Factor by which the tasks of an image take longer beside those of another one.
    pub fn slowdown(&self, image: ImageId, beside: ImageId) -> f64 {
        let at = image as usize * self.images + beside as usize;
        self.factors.get(at).copied().unwrap_or(1.0)
    }
}

impl Known {
    fn new(image: Image<'_>, seen_ms: u64) -> Self {
        let (name, is_queue) = match image {
            Image::Named(name) => (name, false),
            Image::OfQueue(name) => (name, true),
        };
        Self { name: name.into(), is_queue, seen_ms, ratios: Moments::default() }
    }

    fn is(&self, image: Image<'_>) -> bool {
        match image {
            Image::Named(name) => !self.is_queue && self.name == name,
            Image::OfQueue(name) => self.is_queue && self.name == name,
        }
    }
}

impl std::fmt::Display for Known {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let image =
            if self.is_queue { Image::OfQueue(&self.name) } else { Image::Named(&self.name) };
        image.fmt(formatter)
    }
}

impl Contrast {
    // Certain difference between the samples beside an image and those apart from it.
    fn effect(&self, now_ms: u64) -> f64 {
        let beside_weight = self.beside.weight_at(now_ms);
        let apart_weight = self.apart.weight_at(now_ms);
        if beside_weight < MIN_WEIGHT || apart_weight < MIN_WEIGHT {
            return 0.0;
        }
        let variance =
            self.beside.variance() / beside_weight + self.apart.variance() / apart_weight;
        let certain = self.beside.mean - self.apart.mean - CONFIDENCE * variance.sqrt();
        if certain >= MIN_EFFECT { certain.min(MAX_DEVIATION) } else { 0.0 }
    }
}

/// Weighted mean and variance of samples whose weights halve in [`HALF_LIFE_MS`].
#[derive(Clone, Copy, Debug, Default)]
struct Moments {
    weight: f64,
    mean: f64,
    // Weighted sum of squared deviations from the mean.
    squares: f64,
    updated_ms: u64,
}

impl Moments {
    fn add(&mut self, value: f64, weight: f64, now_ms: u64) {
        if weight <= 0.0 {
            return;
        }
        let decay = self.decay(now_ms);
        self.updated_ms = self.updated_ms.max(now_ms);
        self.weight = self.weight * decay + weight;
        let deviation = value - self.mean;
        self.mean += deviation * weight / self.weight;
        self.squares = self.squares * decay + weight * deviation * (value - self.mean);
    }

    fn decay(&self, now_ms: u64) -> f64 {
        (-(now_ms.saturating_sub(self.updated_ms) as f64) / HALF_LIFE_MS).exp2()
    }

    fn weight_at(&self, now_ms: u64) -> f64 {
        self.weight * self.decay(now_ms)
    }

    fn variance(&self) -> f64 {
        (self.squares / self.weight.max(1.0)).max(MIN_VARIANCE)
    }
}
