//! Heartbeats of workers and the orders sent in answer.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::job::TaskId;

/// How a run ended.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum Exit {
    /// The run completed its work.
    #[display("done")]
    Done,
    /// The run failed, because of the task or of the worker.
    #[display("failed")]
    Failed,
    /// The run was stopped on request.
    #[display("stopped")]
    Stopped,
    /// The lease of the worker expired.
    #[display("lapsed")]
    Lapsed,
    /// Another task of the gang ended.
    #[display("broken")]
    Broken,
    /// The other tasks of the gang did not start in time.
    #[display("alone")]
    Alone,
    /// The worker refused to start the run.
    #[display("refused")]
    Refused,
}

/// A run in progress, as reported by its worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// Task that the run belongs to.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// Latest checkpoint; empty if there is none.
    pub checkpoint: String,
    /// Completed share of the work, in percent; 100 for a long-running task that is operating.
    pub percent: u8,
    /// Tail latency in milliseconds for a task that serves requests; otherwise the processor time
    /// in use, in thousandths of a core.
    pub gauge: u64,
}

/// A run that ended on a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct End {
    /// Sequence number of the end, from 1 within the incarnation.
    pub number: u64,
    /// Task that the run belongs to.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// How the run ended.
    pub how: Exit,
    /// Latest checkpoint; empty if there is none.
    pub checkpoint: String,
}

/// A worker's heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the worker.
    pub worker: String,
    /// Start time of the worker, in milliseconds since 1970; a later start is a newer incarnation.
    pub incarnation: u64,
    /// Sequence number of the heartbeat, increasing within the incarnation.
    pub sequence: u64,
    /// Steady clock of the worker when it composed the heartbeat, in milliseconds; `None` if the
    /// daemon that passed the heartbeat on doesn't know the field.
    #[serde(default)]
    pub clock_ms: Option<u64>,
    /// Pool that the worker belongs to.
    pub pool: String,
    /// Availability zone.
    pub zone: String,
    /// Total resources.
    pub capacity: super::job::Resources,
    /// Labels by which steps select workers.
    pub labels: Vec<String>,
    /// Rack in which the worker is.
    pub rack: String,
    /// Whether the worker is about to leave.
    pub is_draining: bool,
    /// Minimum time until the worker leaves, in milliseconds, if it is draining.
    pub remaining_ms: Option<u64>,
    /// Runs in progress.
    pub running: Vec<Run>,
    /// Runs that ended and were not acknowledged yet.
    pub ended: Vec<End>,
}

impl Heartbeat {
    /// Runs that the heartbeat lists, as running or as ended.
    pub fn listed_runs(&self) -> BTreeSet<(TaskId, u32)> {
        let running = self.running.iter().map(|row| (row.task, row.run));
        running.chain(self.ended.iter().map(|end| (end.task, end.run))).collect()
    }
}

/// A task to start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Start {
    /// Task that the run belongs to.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// Payload of the job, passed to the task.
    pub payload: String,
    /// Checkpoint to resume from; empty if there is none.
    pub checkpoint: String,
}

/// Answer to a heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Orders {
    /// Lease, in milliseconds from when the heartbeat was sent; `None` if none is granted.
    pub lease_ms: Option<u64>,
    /// Term of the leader; a worker ignores orders of a lower term than the highest it has seen.
    pub term: u64,
    /// Ends up to this sequence number are stored durably.
    pub acknowledged: u64,
    /// Tasks to start.
    pub start: Vec<Start>,
    /// Runs to stop.
    pub stop: Vec<(TaskId, u32)>,
    /// Time to wait before the next heartbeat, in milliseconds.
    pub next_ms: u64,
    /// Name of the daemon that further heartbeats should be sent to.
    #[serde(rename = "leader")]
    pub next_member: String,
}
