//! Orders for workers, derived from the replicated jobs: what each task should be doing.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};

use serde::{Deserialize, Serialize};

use crate::state::job::{Disposition, Job, Part, Phase, Table};

/// What a worker should do with one task.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Order {
    /// Job.
    pub job: String,
    /// Part of the gang, from 0.
    pub part: u32,
    /// Fencing epoch; a worker refuses one below the highest it has seen for the job.
    pub epoch: u64,
    /// What to do.
    pub action: Action,
}

/// Action of an order.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "do")]
pub enum Action {
    /// Make everything ready, but do not start.
    Prepare {
        /// Accelerators, one bit each.
        accelerators: u32,
        /// Opaque text of the job.
        payload: String,
        /// Checkpoint to resume from.
        checkpoint: Option<String>,
    },
    /// Run.
    Start,
    /// Slow down to what was declared.
    Throttle,
    /// Checkpoint where the grace allows, then stop.
    Stop {
        /// Milliseconds for a checkpoint.
        grace_ms: u64,
    },
    /// Drop a task that never started.
    Abandon,
}

/// All orders in force for a worker.
pub fn orders(jobs: &Table, worker: &str, grace_ms: u64) -> Vec<Order> {
    let workers = BTreeSet::from([worker.to_string()]);
    orders_by_worker(jobs, &workers, grace_ms).remove(worker).unwrap_or_default()
}

/// All orders in force for each of the workers, in one pass over the jobs.
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
        for (part, placed) in gang.parts.iter().enumerate() {
            let Some(orders) = orders.get_mut(&placed.worker) else { continue };
            orders.push(Order {
                job: job.id.clone(),
                part: part as u32,
                epoch: gang.epoch,
                action: action(job, placed, grace_ms),
            });
        }
    }
    orders
}

fn action(job: &Job, placed: &Part, grace_ms: u64) -> Action {
    match &job.phase {
        Phase::Preparing(_) => Action::Prepare {
            accelerators: placed.accelerators,
            payload: job.spec.payload.clone(),
            checkpoint: job.checkpoint.clone(),
        },
        Phase::Started(_) if job.throttled_ms.is_some() => Action::Throttle,
        Phase::Started(_) => Action::Start,
        Phase::Stopping { next: Disposition::Wait, .. } => Action::Stop { grace_ms },
        _ => Action::Stop { grace_ms: 0 },
    }
}

/// Revision of a list of orders; a poll that names another one is answered at once.
pub fn revision(orders: &[Order]) -> u32 {
    let mut hasher = DefaultHasher::new();
    orders.hash(&mut hasher);
    hasher.finish() as u32
}
