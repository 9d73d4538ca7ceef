//! What workers report and what they are told.

use serde::{Deserialize, Serialize};

use super::job::TaskId;

/// How a run ended.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum Exit {
    /// It did its work.
    #[display("done")]
    Done,
    /// It failed, by its own fault or the worker's.
    #[display("failed")]
    Failed,
    /// It was stopped on request.
    #[display("stopped")]
    Stopped,
    /// The lease of its worker ran out.
    #[display("lapsed")]
    Lapsed,
    /// Another member of its gang ended.
    #[display("broken")]
    Broken,
    /// The other members of its gang did not come in time.
    #[display("alone")]
    Alone,
    /// The worker did not start it.
    #[display("refused")]
    Refused,
}

/// A run that a worker has.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Running {
    /// Task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// Latest checkpoint; empty where there is none.
    pub checkpoint: String,
    /// Share of the work that is done, in percent; of a lasting task, 100 when it is at work.
    pub percent: u8,
    /// Tail latency in milliseconds of a task that serves, else thousandths of a core in use.
    pub gauge: u64,
}

/// A run that ended on a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct End {
    /// Number of the end, growing from 1 within the incarnation.
    pub number: u64,
    /// Task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// How it ended.
    pub how: Exit,
    /// Latest checkpoint; empty where there is none.
    pub checkpoint: String,
}

/// A worker's heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Worker.
    pub worker: String,
    /// When it started, in milliseconds since 1970; a later start is a newer incarnation.
    pub incarnation: u64,
    /// Number of the heartbeat, growing within the incarnation.
    pub sequence: u64,
    /// Pool that it belongs to.
    pub pool: String,
    /// Availability zone.
    pub zone: String,
    /// What it has.
    pub capacity: super::job::Resources,
    /// Labels.
    pub labels: Vec<String>,
    /// Rack.
    pub rack: String,
    /// Whether it is leaving.
    pub is_draining: bool,
    /// Least time until it leaves, in milliseconds, where it is leaving.
    pub remaining_ms: Option<u64>,
    /// What it runs.
    pub running: Vec<Running>,
    /// What ended there and was not acknowledged yet.
    pub ended: Vec<End>,
}

/// A task to start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Start {
    /// Task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// Text for the task.
    pub payload: String,
    /// Checkpoint to resume from; empty where there is none.
    pub checkpoint: String,
}

/// Answer to a heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Orders {
    /// Lease, in milliseconds from when the heartbeat was sent; none where it can't be granted.
    pub lease_ms: Option<u64>,
    /// Term of the leader: a worker obeys none that is lower than the highest it has seen.
    pub term: u64,
    /// Ends up to this number are stored for good.
    pub acknowledged: u64,
    /// Tasks to start.
    pub start: Vec<Start>,
    /// Runs to stop.
    pub stop: Vec<(TaskId, u32)>,
    /// Wait before the next heartbeat, in milliseconds.
    pub next_ms: u64,
    /// Name of the daemon to send later heartbeats to.
    pub leader: String,
}
