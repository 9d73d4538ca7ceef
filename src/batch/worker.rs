//! Heartbeats of workers and the orders sent in answer.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::job::{Step, TaskId};
use super::speed::Location;

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

impl Run {
    /// Whether the run, a task of this step, serves users now, so that its gauge is a latency.
    pub fn is_serving(&self, step: &Step) -> bool {
        step.is_lasting && step.target_ms > 0 && self.percent >= 100 && self.gauge > 0
    }
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

/// Position of a heartbeat among those of a worker: a later one has a higher stamp.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Stamp {
    /// Incarnation of the worker.
    pub incarnation: u64,
    /// Sequence number within the incarnation.
    pub sequence: u64,
}

/// Maximum length of the name of a worker, in bytes; names are part of the log.
pub const MAX_NAME_BYTES: usize = 256;
/// Highest sequence number of a heartbeat: larger numbers are not exact in all encodings, and no worker
/// counts that far.
const MAX_SEQUENCE: u64 = 1 << 53;
/// How far in the future the start of a worker may be, in milliseconds: more than any difference between
/// the clocks of two hosts.
const MAX_CLOCK_DIFFERENCE_MS: u64 = 86_400_000;

impl Heartbeat {
    /// Returns the reason why no worker can have sent the heartbeat, if there is one. If it were
    /// received, those that the worker itself sends would count as outdated.
    pub fn fault(&self, wall_ms: u64) -> Option<String> {
        if self.worker.len() > MAX_NAME_BYTES {
            return Some(format!("the worker's name is longer than {MAX_NAME_BYTES} bytes"));
        }
        if self.sequence > MAX_SEQUENCE {
            return Some(format!("sequence number {} is above {MAX_SEQUENCE}", self.sequence));
        }
        if self.incarnation > wall_ms.saturating_add(MAX_CLOCK_DIFFERENCE_MS) {
            let start_ms = self.incarnation;
            return Some(format!("a start at {start_ms} ms is far after the time, {wall_ms} ms"));
        }
        None
    }

    /// Position among the heartbeats of the worker.
    pub fn stamp(&self) -> Stamp {
        Stamp { incarnation: self.incarnation, sequence: self.sequence }
    }

    /// Where the worker is.
    pub fn location(&self) -> Location<'_> {
        Location { zone: &self.zone, rack: &self.rack, worker: &self.worker }
    }

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

/// Pace of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rate {
    /// Task that the run belongs to.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// Share of its usual pace at which the run works, in percent. A run begins at 100 and keeps its
    /// pace until it gets another one.
    pub percent: u8,
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
    /// Pace of runs that fill the worker.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rates: Vec<Rate>,
    /// Time to wait before the next heartbeat, in milliseconds.
    pub next_ms: u64,
    /// Name of the daemon that further heartbeats should be sent to.
    #[serde(rename = "leader")]
    pub next_member: String,
}
