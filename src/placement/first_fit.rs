//! Baseline policy: arrival order, first worker that fits, no backfill.

use std::collections::BTreeMap;

use super::{Decision, Policy, View, Worker, mask};
use crate::kernel::plugin::Registration;
use crate::state::job::{Job, Part, Phase};

inventory::submit! {
    Registration { name: "first-fit", build: || Box::new(FirstFit) }
}

/// The baseline policy.
struct FirstFit;

impl Policy for FirstFit {
    fn decide(&mut self, view: &View<'_>) -> Vec<Decision> {
        let mut used = used_masks(view);
        let mut waiting: Vec<&Job> = Vec::new();
        for job in view.jobs.live.values() {
            if job.phase == Phase::Waiting {
                waiting.push(job);
            }
        }
        waiting.sort_by_key(|job| (job.submitted_ms, &job.id));
        let mut decisions = Vec::new();
        for job in waiting {
            let Some(parts) = fit(view.workers, &mut used, job) else { break };
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

fn used_masks(view: &View<'_>) -> BTreeMap<String, u32> {
    let mut used: BTreeMap<String, u32> = BTreeMap::new();
    for job in view.jobs.live.values() {
        let Some(gang) = job.phase.gang() else { continue };
        for part in &gang.parts {
            *used.entry(part.worker.clone()).or_default() |= part.accelerators;
        }
    }
    used
}

fn fit(workers: &[Worker], used: &mut BTreeMap<String, u32>, job: &Job) -> Option<Vec<Part>> {
    let mut trial = used.clone();
    let mut parts = Vec::new();
    for worker in workers {
        if !worker.is_schedulable {
            continue;
        }
        while parts.len() < job.spec.parts as usize {
            let taken = trial.get(&worker.name).copied().unwrap_or(0);
            let free = mask(worker.shape.accelerators) & !taken;
            let Some(accelerators) = lowest(free, job.spec.accelerators) else { break };
            *trial.entry(worker.name.clone()).or_default() |= accelerators;
            parts.push(Part { worker: worker.name.clone(), accelerators });
        }
    }
    if parts.len() < job.spec.parts as usize {
        return None;
    }
    *used = trial;
    Some(parts)
}

// The lowest `count` bits of a mask.
fn lowest(free: u32, count: u32) -> Option<u32> {
    let mut rest = free;
    let mut taken = 0;
    for _ in 0..count {
        let bit = rest & rest.wrapping_neg();
        if bit == 0 {
            return None;
        }
        taken |= bit;
        rest &= !bit;
    }
    Some(taken)
}
