//! Runs beside a task that disturb it, or that it disturbs.

use std::cell::OnceCell;

use super::{Candidate, Cluster, View, outlook};
use crate::batch::interference::{Effects, Image, ImageId};

/// Maximum number of runs on a worker that are looked at; bounds the time that a decision takes.
const MAX_NEIGHBOURS: usize = 64;

/// Time by which a task of the step and the runs on a worker are expected to slow each other down, in
/// milliseconds.
pub(super) fn extra_ms(cluster: &Cluster<'_>, candidate: &Candidate<'_>, worker: usize) -> u64 {
    let neighbours = &cluster.neighbours;
    if neighbours.effects.is_empty() {
        return 0;
    }
    let Some(image) = image_of(&cluster.view, candidate) else { return 0 };
    let mut extra_ms = 0.0;
    for neighbour in neighbours.on(cluster, worker) {
        let common_ms = neighbour.left_ms.min(candidate.run_ms) as f64;
        let slowdown = neighbours.effects.slowdown(image, neighbour.image) - 1.0;
        let caused = neighbours.effects.slowdown(neighbour.image, image) - 1.0;
        extra_ms += common_ms * (slowdown + caused);
    }
    extra_ms as u64
}

fn image_of(view: &View<'_>, candidate: &Candidate<'_>) -> Option<ImageId> {
    view.estimates.interference.find(Image::of(candidate.job, candidate.step))
}

/// Runs of known images on the workers during a decision, where images affect each other.
pub(super) struct Neighbours {
    effects: Effects,
    // By worker; worked out when it is first needed.
    placed: Vec<OnceCell<Vec<Neighbour>>>,
    // Tasks placed by this decision, by worker.
    added: Vec<Vec<Neighbour>>,
}

#[derive(Clone, Copy, Debug)]
struct Neighbour {
    image: ImageId,
    // Expected time until it ends, in milliseconds.
    left_ms: u64,
}

impl Neighbours {
    pub(super) fn new(view: &View<'_>, workers: usize) -> Self {
        let effects = view.estimates.interference.effects(view.wall_ms);
        let workers = if effects.is_empty() { 0 } else { workers };
        let placed = (0..workers).map(|_| OnceCell::new()).collect();
        Self { effects, placed, added: vec![Vec::new(); workers] }
    }

    /// Adds a task of a step that is placed on a worker.
    pub(super) fn add(&mut self, worker: usize, view: &View<'_>, candidate: &Candidate<'_>) {
        let Some(added) = self.added.get_mut(worker) else { return };
        let Some(image) = image_of(view, candidate) else { return };
        let left_ms = if candidate.step.is_lasting { u64::MAX } else { candidate.run_ms };
        added.push(Neighbour { image, left_ms });
    }

    fn on(&self, cluster: &Cluster<'_>, worker: usize) -> impl Iterator<Item = &Neighbour> {
        let placed = self.placed.get(worker);
        let placed = placed.map(|cell| cell.get_or_init(|| find(cluster, worker)));
        placed.into_iter().flatten().chain(self.added.get(worker).into_iter().flatten())
    }
}

fn find(cluster: &Cluster<'_>, worker: usize) -> Vec<Neighbour> {
    let view = &cluster.view;
    let mut neighbours = Vec::new();
    for (task, run) in view.table.runs_on(cluster.workers[worker].name).take(MAX_NEIGHBOURS) {
        let Some(job) = view.table.live.get(&task.job) else { continue };
        let step = &job.spec.steps[task.step as usize];
        let Some(image) = view.estimates.interference.find(Image::of(job, step)) else { continue };
        let left_ms = if step.is_lasting {
            u64::MAX
        } else {
            outlook::left_ms(cluster, worker, task, run, (job, step))
        };
        neighbours.push(Neighbour { image, left_ms });
    }
    neighbours
}
