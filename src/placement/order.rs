//! Orders to workers: the desired state of each task, derived from the replicated jobs.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};

use serde::{Deserialize, Serialize};

use crate::state::job::{Disposition, Job, Part, Phase, Table};

/// Instruction to a worker about one task.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Order {
    /// ID of the job.
    pub job: String,
    /// Index of the part in its gang, from 0.
    pub part: u32,
    /// Fencing epoch. A worker rejects an order whose epoch is below the highest it has seen for
    /// the job.
    pub epoch: u64,
    /// Desired state of the task.
    pub action: Action,
}

/// What a worker is to do with a task.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "do")]
pub enum Action {
    /// Make the task ready to start, but do not start it.
    Prepare {
        /// Accelerators, one bit each.
        accelerators: u32,
        /// Payload of the job, opaque to the scheduler.
        payload: String,
        /// Checkpoint to resume from.
        checkpoint: Option<String>,
    },
    /// Run the task.
    Start,
    /// Limit the task to the accelerator use that it declared.
    Throttle,
    /// Write a checkpoint if the grace period allows, then stop.
    Stop {
        /// Time allowed for the checkpoint, in milliseconds.
        grace_ms: u64,
    },
    /// Discard a task that has not started.
    Abandon,
}

/// Returns all current orders for a worker.
pub fn orders(jobs: &Table, worker: &str, grace_ms: u64) -> Vec<Order> {
    let workers = BTreeSet::from([worker.to_string()]);
    orders_by_worker(jobs, &workers, grace_ms).remove(worker).unwrap_or_default()
}

/// Returns all current orders for each of the workers, in one pass over the jobs.
pub fn orders_by_worker(
    jobs: &Table,
    workers: &BTreeSet<String>,
    grace_ms: u64,
) -> BTreeMap<String, Vec<Order>> {
    let mut orders: BTreeMap<String, Vec<Order>> = BTreeMap::new();
    for worker in workers {
        orders.insert(worker.clone(), Vec::new());
    }
    for job in jobs.live.values() {
        let Some(gang) = job.phase.gang() else { continue };
        for (index, part) in gang.parts.iter().enumerate() {
            let Some(orders) = orders.get_mut(&part.worker) else { continue };
            orders.push(Order {
                job: job.id.clone(),
                part: index as u32,
                epoch: gang.epoch,
                action: action_for(job, part, grace_ms),
            });
        }
    }
    orders
}

fn action_for(job: &Job, part: &Part, grace_ms: u64) -> Action {
    match &job.phase {
        Phase::Preparing(_) => Action::Prepare {
            accelerators: part.accelerators,
            payload: job.spec.payload.clone(),
            checkpoint: job.checkpoint.clone(),
        },
        Phase::Started(_) if job.throttled_ms.is_some() => Action::Throttle,
        Phase::Started(_) => Action::Start,
        Phase::Stopping { next: Disposition::Wait, .. } => Action::Stop { grace_ms },
        _ => Action::Stop { grace_ms: 0 },
    }
}

/// Hash of a list of orders. A poll that carries a different revision is answered at once.
pub fn revision(orders: &[Order]) -> u32 {
    let mut hasher = DefaultHasher::new();
    orders.hash(&mut hasher);
    hasher.finish() as u32
}
