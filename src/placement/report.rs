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
