//! Samples of how far tasks were slowed down, from ends of runs and from latencies.

use super::{Image, ImageId, Interference, Interval, Sample, sample_weight};
use crate::batch::job::{Run, TaskId};
use crate::batch::table::{End, Table};
use crate::batch::worker::{Exit, Heartbeat};

/// Maximum number of runs on a worker that are looked at; bounds the time for a sample.
const MAX_NEIGHBOURS: usize = 64;
/// Weight of one latency, in runs: those of one task resemble each other from second to second.
const LATENCY_WEIGHT: f64 = 0.2;

impl Interference {
    /// Observes the end of a run that is still active in the table. `expected_ms` is its expected time on
    /// its worker; `None` if the run is no measure of it.
    pub fn observe_end(
        &mut self,
        table: &Table,
        end: &End,
        expected_ms: Option<u64>,
        wall_ms: u64,
    ) {
        let Some(run) = table.active_run(&end.task).filter(|run| run.number == end.run) else {
            return;
        };
        let Some(image) = image_of(table, &end.task) else { return };
        let expected_ms = expected_ms.filter(|expected_ms| *expected_ms > 0);
        if let Some(expected_ms) = expected_ms.filter(|_| end.how == Exit::Done) {
            self.learn_from_run(table, (&end.task, run), expected_ms, wall_ms);
        }
        let image = self.register(image, wall_ms);
        let interval = Interval { image, from_ms: run.placed_ms, to_ms: wall_ms };
        self.history.add(&run.worker, interval);
    }

    fn learn_from_run(
        &mut self,
        table: &Table,
        (task, run): (&TaskId, &Run),
        expected_ms: u64,
        wall_ms: u64,
    ) {
        let Some(job) = table.live.get(&task.job) else { return };
        let step = &job.spec.steps[task.step as usize];
        let others = table.runs_on(&run.worker).filter(|(other, _)| *other != task);
        let others = others.take(MAX_NEIGHBOURS).filter_map(|(other, run)| {
            let image = self.find(image_of(table, other)?)?;
            Some(Interval { image, from_ms: run.placed_ms, to_ms: wall_ms })
        });
        let beside = self.history.beside(&run.worker, (run.placed_ms, wall_ms), others);
        let took_ms = wall_ms.saturating_sub(run.placed_ms).max(1);
        let sample = Sample {
            image: Image::of(job, step),
            ratio: took_ms as f64 / expected_ms as f64,
            weight: sample_weight(step),
            beside,
        };
        self.learn(&sample, wall_ms);
    }

    /// Observes the latencies in a heartbeat. Tasks that fill the worker count by their pace,
    /// `filler_percent`.
    pub fn observe_latencies(
        &mut self,
        table: &Table,
        heartbeat: &Heartbeat,
        filler_percent: u8,
        wall_ms: u64,
    ) {
        for row in &heartbeat.running {
            let Some(job) = table.live.get(&row.task.job) else { continue };
            let Some(step) = job.spec.steps.get(row.task.step as usize) else { continue };
            if !row.is_serving(step) {
                continue;
            }
            let beside = self.images_beside(table, heartbeat, &row.task, filler_percent, wall_ms);
            let sample = Sample {
                image: Image::of(job, step),
                ratio: row.gauge as f64 / step.target_ms as f64,
                weight: LATENCY_WEIGHT,
                beside,
            };
            self.learn(&sample, wall_ms);
        }
    }

    // Images of the other runs that a heartbeat lists, with the share that counts.
    fn images_beside(
        &mut self,
        table: &Table,
        heartbeat: &Heartbeat,
        task: &TaskId,
        filler_percent: u8,
        wall_ms: u64,
    ) -> Vec<(ImageId, f64)> {
        let mut beside: Vec<(ImageId, f64)> = Vec::new();
        for row in heartbeat.running.iter().filter(|row| row.task != *task).take(MAX_NEIGHBOURS) {
            let Some(job) = table.live.get(&row.task.job) else { continue };
            let Some(step) = job.spec.steps.get(row.task.step as usize) else { continue };
            let image = self.register(Image::of(job, step), wall_ms);
            let share = if step.is_filler { f64::from(filler_percent) / 100.0 } else { 1.0 };
            match beside.iter_mut().find(|(known, _)| *known == image) {
                Some((_, known)) => *known = known.max(share),
                None => beside.push((image, share)),
            }
        }
        beside
    }
}

fn image_of<'a>(table: &'a Table, task: &TaskId) -> Option<Image<'a>> {
    let job = table.live.get(&task.job)?;
    Some(Image::of(job, job.spec.steps.get(task.step as usize)?))
}
