//! Jobs: gangs of tasks, their placements and epochs.

mod table;

use std::collections::BTreeMap;

use derive_more::Display;
use serde::{Deserialize, Serialize};

pub use table::Table;

/// What a customer asks for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// Kind of work.
    pub kind: String,
    /// Parts of the gang, 1 to 32.
    #[serde(default = "one")]
    pub parts: u32,
    /// Accelerators of each part.
    pub accelerators: u32,
    /// Processor cores of each part.
    #[serde(default)]
    pub cores: u32,
    /// Memory of each part, in MiB.
    #[serde(default)]
    pub memory_mib: u64,
    /// Declared run time, in milliseconds; a hint.
    #[serde(default)]
    pub run_ms: u64,
    /// Milliseconds from submission until the job should be finished.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// Whether the job may be started again after it may have started.
    #[serde(default)]
    pub idempotent: bool,
    /// Whether the job may be stopped for others and started or resumed later.
    #[serde(default)]
    pub evictable: bool,
    /// How close the parts must be.
    #[serde(default)]
    pub adjacency: Adjacency,
    /// Opaque text for the tasks.
    #[serde(default)]
    pub payload: String,
}

const fn one() -> u32 {
    1
}

/// How close the parts of a gang must be.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Adjacency {
    /// Anywhere.
    #[default]
    #[display("any")]
    Any,
    /// In one availability zone.
    #[display("zone")]
    Zone,
    /// In one rack.
    #[display("rack")]
    Rack,
    /// On one worker.
    #[display("worker")]
    Worker,
}

/// Where one part of a gang runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Worker.
    pub worker: String,
    /// Accelerators of the worker, one bit each.
    pub accelerators: u32,
}

/// A placed gang.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gang {
    /// Fencing epoch, unique over all jobs; greater is newer.
    pub epoch: u64,
    /// One placement for each part, in order.
    pub parts: Vec<Part>,
    /// Whether the gang sits inside its customer's guarantee.
    pub guaranteed: bool,
    /// When this phase began, in wall-clock milliseconds.
    pub since_ms: u64,
}

/// What follows when a gang has stopped.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Disposition {
    /// It waits again.
    Wait,
    /// It is cancelled.
    Cancel,
    /// It has failed.
    Fail(String),
}

/// Phase of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Waits to be placed.
    Waiting,
    /// Parts prepare; none has started.
    Preparing(Gang),
    /// All parts may have started.
    Started(Gang),
    /// Parts are being stopped.
    Stopping {
        /// The gang.
        gang: Gang,
        /// What follows.
        next: Disposition,
    },
    /// All parts finished.
    Finished,
    /// The job failed.
    Failed(String),
    /// The job was cancelled.
    Cancelled,
}

impl Phase {
    /// Name of the phase.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Waiting => "waiting",
            Self::Preparing(_) => "preparing",
            Self::Started(_) => "started",
            Self::Stopping { .. } => "stopping",
            Self::Finished => "finished",
            Self::Failed(_) => "failed",
            Self::Cancelled => "cancelled",
        }
    }

    /// Whether the job has ended.
    pub fn is_terminal(&self) -> bool {
        matches!(self, Self::Finished | Self::Failed(_) | Self::Cancelled)
    }

    /// The gang that holds accelerators, if any.
    pub fn gang(&self) -> Option<&Gang> {
        match self {
            Self::Preparing(gang) | Self::Started(gang) | Self::Stopping { gang, .. } => Some(gang),
            _ => None,
        }
    }
}

/// A job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Id.
    pub id: String,
    /// Customer.
    pub customer: String,
    /// What was asked for.
    pub spec: Spec,
    /// When it was submitted, in wall-clock milliseconds.
    pub submitted_ms: u64,
    /// When it first started, in wall-clock milliseconds.
    pub started_ms: Option<u64>,
    /// When it ended, in wall-clock milliseconds.
    pub ended_ms: Option<u64>,
    /// Phase.
    pub phase: Phase,
    /// Whether a task of it may ever have started.
    pub may_have_started: bool,
    /// Whether a task may have run since the checkpoint.
    #[serde(default)]
    pub ran_since_checkpoint: bool,
    /// Confirmed checkpoint from which it can be resumed.
    pub checkpoint: Option<String>,
    /// Workers on which it failed, and when it last did, in wall-clock milliseconds.
    pub failed_on: BTreeMap<String, u64>,
    /// How often a part of it failed.
    #[serde(default)]
    pub failures: u32,
    /// When its tasks were last told to use no more than declared, in wall-clock milliseconds.
    #[serde(default)]
    pub throttled_ms: Option<u64>,
    /// How often it was evicted.
    pub evictions: u32,
}

impl Job {
    /// Whether a (further) start keeps the job's promise of running at most once.
    pub fn may_run_again(&self) -> bool {
        // What ran after the checkpoint would run twice.
        let resumes = self.checkpoint.is_some() && !self.ran_since_checkpoint;
        !self.may_have_started || self.spec.idempotent || resumes
    }
}

/// A change of jobs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Takes a new job; a resend gives the same job.
    Submit {
        /// Id.
        id: String,
        /// Customer.
        customer: String,
        /// What is asked for.
        spec: Spec,
    },
    /// Cancels jobs; ended and unknown ones are passed over.
    Cancel {
        /// Customer whose jobs may be cancelled.
        customer: String,
        /// Ids.
        ids: Vec<String>,
    },
    /// Places a waiting job.
    Place {
        /// Job.
        id: String,
        /// One placement for each part.
        parts: Vec<Part>,
        /// Whether the gang sits inside its customer's guarantee.
        guaranteed: bool,
    },
    /// All parts are prepared: the gang may start.
    Start {
        /// Job.
        id: String,
        /// Epoch of the gang.
        epoch: u64,
    },
    /// All parts finished.
    Finish {
        /// Job.
        id: String,
        /// Epoch of the gang.
        epoch: u64,
    },
    /// Stops the gang.
    Stop {
        /// Job.
        id: String,
        /// Epoch of the gang.
        epoch: u64,
        /// What follows.
        next: Disposition,
        /// Worker at which a part failed, if one did.
        failed_on: Option<String>,
    },
    /// Tells the gang's tasks to use no more than declared.
    Throttle {
        /// Job.
        id: String,
        /// Epoch of the gang.
        epoch: u64,
    },
    /// Every part is confirmed stopped, or its lease chain ran out.
    Stopped {
        /// Job.
        id: String,
        /// Epoch of the gang.
        epoch: u64,
        /// Checkpoint that all parts confirmed.
        checkpoint: Option<String>,
    },
    /// Fails a waiting job that can never run.
    Refuse {
        /// Job.
        id: String,
        /// Why.
        reason: String,
    },
}
