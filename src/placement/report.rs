//! Reports from workers.

use serde::{Deserialize, Serialize};

/// Resources of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shape {
    /// Number of accelerators, at most 32.
    pub accelerators: u32,
    /// Number of processor cores.
    pub cores: u32,
    /// Memory, in MiB.
    pub memory_mib: u64,
}

/// State of a worker and its tasks, as the worker reports it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// Name of the worker; set from the path of the poll.
    #[serde(default)]
    pub worker: String,
    /// Random number that identifies this start of the worker process.
    pub incarnation: u64,
    /// Rack, unique within its availability zone.
    pub rack: String,
    /// Availability zone.
    pub zone: String,
    /// Resources of the worker.
    pub shape: Shape,
    /// Tasks of the worker, including ended ones until their order is withdrawn.
    #[serde(default)]
    pub tasks: Vec<Task>,
}

/// Smallest change of a task's accelerator use that is sent to the leader, in percentage points of
/// the declared use.
const USAGE_STEP_PERCENT: u32 = 20;

impl Report {
    /// Whether this report must be sent to a leader that has the `previous` one. Anything but a
    /// small change of accelerator use is significant.
    pub fn is_significant_update(&self, previous: &Self) -> bool {
        let is_same_worker = self.incarnation == previous.incarnation
            && self.rack == previous.rack
            && self.zone == previous.zone
            && self.shape == previous.shape;
        if !is_same_worker || self.tasks.len() != previous.tasks.len() {
            return true;
        }
        for (task, previous_task) in self.tasks.iter().zip(&previous.tasks) {
            let usage = task.usage_percent.unwrap_or(0);
            let usage_change = usage.abs_diff(previous_task.usage_percent.unwrap_or(0));
            let with_previous_usage =
                Task { usage_percent: previous_task.usage_percent, ..task.clone() };
            if with_previous_usage != *previous_task || usage_change >= USAGE_STEP_PERCENT {
                return true;
            }
        }
        false
    }
}

/// A task, as its worker reports it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Task {
    /// ID of the job.
    pub job: String,
    /// Index of the part in its gang, from 0.
    pub part: u32,
    /// Fencing epoch of the placement.
    pub epoch: u64,
    /// State of the task.
    pub state: State,
    /// Checkpoint written when the task stopped.
    #[serde(default)]
    pub checkpoint: Option<String>,
    /// Accelerator use since the last report, in percent of the declared use. The value may lag
    /// behind the actual use.
    #[serde(default)]
    pub usage_percent: Option<u32>,
}

/// State of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Ready to start.
    Prepared,
    /// Work on the task is in progress.
    Running,
    /// Ended successfully.
    Finished,
    /// Could not be prepared, or ended with an error.
    Failed,
    /// Stopped by an order, or because the worker's lease expired.
    Stopped,
}
