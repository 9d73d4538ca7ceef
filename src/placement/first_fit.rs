//! Baseline policy `first-fit`: jobs in arrival order, first worker with room, no backfill.

use std::collections::BTreeMap;

use super::{Decision, Policy, View, Worker, mask};
use crate::kernel::plugin::Registration;
use crate::state::job::{Job, Part, Phase};

inventory::submit! {
    Registration { name: "first-fit", build: || Box::new(FirstFit) }
}

/// The policy; it keeps no state.
struct FirstFit;

impl Policy for FirstFit {
    fn decide(&mut self, view: &View<'_>) -> Vec<Decision> {
        let mut allocated = allocated_masks(view);
        let mut waiting: Vec<&Job> = Vec::new();
        for job in view.jobs.live.values() {
            if job.phase == Phase::Waiting {
                waiting.push(job);
            }
        }
        waiting.sort_by_key(|job| (job.submitted_ms, &job.id));
        let mut decisions = Vec::new();
        for job in waiting {
            let Some(parts) = fit_parts(view.workers, &mut allocated, job) else { break };
            decisions.push(Decision::Place {
                job: job.id.clone(),
                parts,
                guaranteed: false,
                candidates: view.workers.len(),
                reason: "first that fits".into(),
            });
        }
        decisions
    }

    fn explain(&self, _view: &View<'_>, job: &Job) -> String {
        format!("{} waits in arrival order for accelerators", job.id)
    }
}

// Allocated accelerators as bit masks, by worker.
fn allocated_masks(view: &View<'_>) -> BTreeMap<String, u32> {
    let mut allocated: BTreeMap<String, u32> = BTreeMap::new();
    for job in view.jobs.live.values() {
        let Some(gang) = job.phase.gang() else { continue };
        for part in &gang.parts {
            *allocated.entry(part.worker.clone()).or_default() |= part.accelerators;
        }
    }
    allocated
}

// Places all parts of a job and adds them to `allocated`, or changes nothing.
fn fit_parts(
    workers: &[Worker],
    allocated: &mut BTreeMap<String, u32>,
    job: &Job,
) -> Option<Vec<Part>> {
    let mut trial = allocated.clone();
    let mut parts = Vec::new();
    for worker in workers {
        if !worker.is_schedulable {
            continue;
        }
        while parts.len() < job.spec.parts as usize {
            let in_use = trial.get(&worker.name).copied().unwrap_or(0);
            let free = mask(worker.shape.accelerators) & !in_use;
            let Some(accelerators) = lowest_bits(free, job.spec.accelerators) else { break };
            *trial.entry(worker.name.clone()).or_default() |= accelerators;
            parts.push(Part { worker: worker.name.clone(), accelerators });
        }
    }
    if parts.len() < job.spec.parts as usize {
        return None;
    }
    *allocated = trial;
    Some(parts)
}

// The lowest `count` set bits of a mask, if it has that many.
fn lowest_bits(free: u32, count: u32) -> Option<u32> {
    let mut remaining = free;
    let mut taken = 0;
    for _ in 0..count {
        let bit = remaining & remaining.wrapping_neg();
        if bit == 0 {
            return None;
        }
        taken |= bit;
        remaining &= !bit;
    }
    Some(taken)
}
