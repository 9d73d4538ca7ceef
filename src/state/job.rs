//! Jobs: gangs of tasks with their placements and fencing epochs.

mod table;

use std::collections::BTreeMap;

use derive_more::Display;
use serde::{Deserialize, Serialize};

pub use table::Table;

/// Job specification, as submitted by a customer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// Kind of work.
    pub kind: String,
    /// Number of parts of the gang, 1 to 32.
    #[serde(default = "default_parts")]
    pub parts: u32,
    /// Number of accelerators of each part.
    pub accelerators: u32,
    /// Number of processor cores of each part.
    #[serde(default)]
    pub cores: u32,
    /// Memory of each part, in MiB.
    #[serde(default)]
    pub memory_mib: u64,
    /// Declared run time, in milliseconds; a hint for estimates.
    #[serde(default)]
    pub run_ms: u64,
    /// Time from submission until the job should have finished, in milliseconds.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// Whether the job may be started again although an earlier start may have run.
    #[serde(default)]
    pub idempotent: bool,
    /// Whether the job may be stopped in favour of other jobs and restarted or resumed later.
    #[serde(default)]
    pub evictable: bool,
    /// How close to each other the parts must be placed.
    #[serde(default)]
    pub adjacency: Adjacency,
    /// Opaque text that is passed to the tasks.
    #[serde(default)]
    pub payload: String,
}

const fn default_parts() -> u32 {
    1
}

/// How close to each other the parts of a gang must be placed.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Adjacency {
    /// Parts may be placed anywhere.
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

/// Placement of one part of a gang.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Worker that runs the part.
    pub worker: String,
    /// Bit mask of the worker's accelerators.
    pub accelerators: u32,
}

/// A placed gang.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gang {
    /// Fencing epoch, unique over all jobs; greater is newer.
    pub epoch: u64,
    /// Placements of the parts, in order.
    pub parts: Vec<Part>,
    /// Whether the gang is placed inside its customer's guarantee.
    pub guaranteed: bool,
    /// Start of the current phase, in wall-clock milliseconds.
    pub since_ms: u64,
}

/// What happens to a job once its gang has stopped.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Disposition {
    /// The job waits to be placed again.
    Wait,
    /// The job is cancelled.
    Cancel,
    /// The job fails for this reason.
    Fail(String),
}

/// Phase of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The job waits to be placed.
    Waiting,
    /// The parts are being prepared; none has started.
    Preparing(Gang),
    /// All parts may have started.
    Started(Gang),
    /// The parts are being stopped.
    Stopping {
        /// Gang that is being stopped.
        gang: Gang,
        /// What happens to the job afterwards.
        next: Disposition,
    },
    /// All parts have finished.
    Finished,
    /// The job failed for this reason.
    Failed(String),
    /// The job was cancelled.
    Cancelled,
}

impl Phase {
    /// Name of the phase, as shown to callers.
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

    /// The gang that occupies accelerators, if there is one.
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
    /// ID of the job.
    pub id: String,
    /// Customer that owns the job.
    pub customer: String,
    /// Specification, as submitted.
    pub spec: Spec,
    /// Submission time, in wall-clock milliseconds.
    pub submitted_ms: u64,
    /// Time of the first start, in wall-clock milliseconds.
    pub started_ms: Option<u64>,
    /// Time at which the job ended, in wall-clock milliseconds.
    pub ended_ms: Option<u64>,
    /// Current phase.
    pub phase: Phase,
    /// Whether any task of the job may ever have started.
    pub may_have_started: bool,
    /// Whether any task may have run since the checkpoint was taken.
    #[serde(default)]
    pub ran_since_checkpoint: bool,
    /// Confirmed checkpoint from which the job can be resumed.
    pub checkpoint: Option<String>,
    /// Workers on which the job failed, with the time of the last failure in wall-clock
    /// milliseconds.
    pub failed_on: BTreeMap<String, u64>,
    /// Number of failures of its parts.
    #[serde(default)]
    pub failures: u32,
    /// When the job's tasks were last instructed not to use more than the declared resources, in
    /// wall-clock milliseconds.
    #[serde(default)]
    pub throttled_ms: Option<u64>,
    /// Number of evictions.
    pub evictions: u32,
}

impl Job {
    /// Whether the job may be started (again): one that is not idempotent must not repeat work.
    pub fn may_run_again(&self) -> bool {
        // Work done after the checkpoint would be repeated by resuming from it.
        let can_resume = self.checkpoint.is_some() && !self.ran_since_checkpoint;
        !self.may_have_started || self.spec.idempotent || can_resume
    }
}

/// A change of one or more jobs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Adds a job; a resend returns the existing job.
    Submit {
        /// ID of the job.
        id: String,
        /// Customer that owns the job.
        customer: String,
        /// Specification as submitted.
        spec: Spec,
    },
    /// Cancels jobs; ended and unknown jobs are skipped.
    Cancel {
        /// Customer; jobs of other customers are skipped.
        customer: String,
        /// IDs of the jobs.
        ids: Vec<String>,
    },
    /// Places a waiting job.
    Place {
        /// ID of the job.
        id: String,
        /// Placements of the parts.
        parts: Vec<Part>,
        /// Whether the gang is placed inside its customer's guarantee.
        guaranteed: bool,
    },
    /// Starts a gang whose parts are all prepared.
    Start {
        /// ID of the job.
        id: String,
        /// Epoch of the gang.
        epoch: u64,
    },
    /// Ends a job whose parts have all finished.
    Finish {
        /// ID of the job.
        id: String,
        /// Epoch of the gang.
        epoch: u64,
    },
    /// Stops a gang.
    Stop {
        /// ID of the job.
        id: String,
        /// Epoch of the gang.
        epoch: u64,
        /// What happens to the job afterwards.
        next: Disposition,
        /// Worker on which a part failed, if one did.
        failed_on: Option<String>,
    },
    /// Instructs the gang's tasks not to use more than the declared resources.
    Throttle {
        /// ID of the job.
        id: String,
        /// Epoch of the gang.
        epoch: u64,
    },
    /// Completes a stop: each part is confirmed stopped, or the leases that allow its worker to
    /// run it have expired.
    Stopped {
        /// ID of the job.
        id: String,
        /// Epoch of the gang.
        epoch: u64,
        /// Checkpoint that all parts confirmed.
        checkpoint: Option<String>,
    },
    /// Fails a waiting job that can never be placed.
    Refuse {
        /// ID of the job.
        id: String,
        /// Reason of the failure.
        reason: String,
    },
}
