//! What workers report.

use serde::{Deserialize, Serialize};

/// What a worker has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shape {
    /// Accelerators, at most 32.
    pub accelerators: u32,
    /// Processor cores.
    pub cores: u32,
    /// Memory, in MiB.
    pub memory_mib: u64,
}

/// A worker's report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// Worker; taken from the path of the poll.
    #[serde(default)]
    pub worker: String,
    /// Random number of this start of the worker.
    pub incarnation: u64,
    /// Rack.
    pub rack: String,
    /// Availability zone.
    pub zone: String,
    /// What it has.
    pub shape: Shape,
    /// Its tasks, ended ones too until their order is gone.
    #[serde(default)]
    pub tasks: Vec<Task>,
}

/// Change of a task's use that the leader is told of, in percent of what was declared.
const USAGE_STEP_PERCENT: u32 = 20;

impl Report {
    /// Whether the leader, which has the report `told`, needs this one.
    pub fn is_significant_update(&self, told: &Self) -> bool {
        let same_worker = self.incarnation == told.incarnation
            && self.rack == told.rack
            && self.zone == told.zone
            && self.shape == told.shape;
        if !same_worker || self.tasks.len() != told.tasks.len() {
            return true;
        }
        for (task, before) in self.tasks.iter().zip(&told.tasks) {
            let used = task.usage_percent.unwrap_or(0);
            let moved = used.abs_diff(before.usage_percent.unwrap_or(0));
            let as_before = Task { usage_percent: before.usage_percent, ..task.clone() };
            if as_before != *before || moved >= USAGE_STEP_PERCENT {
                return true;
            }
        }
        false
    }
}

/// A task as its worker sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Task {
    /// Job.
    pub job: String,
    /// Part of the gang, from 0.
    pub part: u32,
    /// Fencing epoch.
    pub epoch: u64,
    /// State.
    pub state: State,
    /// Checkpoint that was made at the stop.
    #[serde(default)]
    pub checkpoint: Option<String>,
    /// Accelerator use since the last report, in percent of what was declared; lags.
    #[serde(default)]
    pub usage_percent: Option<u32>,
}

/// State of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Ready to start.
    Prepared,
    /// Running.
    Running,
    /// Ended well.
    Finished,
    /// Could not be prepared, or ended badly.
    Failed,
    /// Stopped on order, or because its lease ran out.
    Stopped,
}
