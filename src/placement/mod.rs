//! Placement policies: which jobs start on which workers, and which running jobs are evicted.
//!
//! Decisions are pure functions over a borrowed view of the cluster.

pub mod audit;
mod backfill;
pub mod capacity;
mod cell;
mod cells;
pub mod estimate;
mod eviction;
mod first_fit;
mod fit;
pub mod guarantee;
pub mod health;
pub mod order;
mod queue;
pub mod report;
mod round;
pub mod score;
mod shape;

use crate::state::document::Document;
use crate::state::job::{self, Disposition, Part};
use report::Shape;

/// A placement policy.
pub trait Policy: Send {
    /// Returns the changes to make now. The caller applies them in order and drops those that the
    /// replicated state rejects.
    fn decide(&mut self, view: &View<'_>) -> Vec<Decision>;

    /// Describes for operators why a job is waiting.
    fn explain(&self, view: &View<'_>, job: &job::Job) -> String;
}

/// Input of a policy: the state of the cluster at one moment.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// Configuration in force.
    pub document: &'a Document,
    /// All jobs that the state machine remembers.
    pub jobs: &'a job::Table,
    /// Live workers, sorted by name.
    pub workers: &'a [Worker],
    /// Wall-clock time, in milliseconds since the Unix epoch.
    pub now_ms: u64,
    /// Whether every live worker has had time to report since this leader was elected. Until then
    /// workers may be missing from the view.
    pub is_fleet_complete: bool,
}

/// A live worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Worker {
    /// Unique name.
    pub name: String,
    /// Rack, unique within its availability zone.
    pub rack: String,
    /// Availability zone.
    pub zone: String,
    /// Resources of the worker.
    pub shape: Shape,
    /// Whether new work may be placed on the worker: it is neither draining nor quarantined.
    pub is_schedulable: bool,
}

/// A decision of a policy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Places a waiting job.
    Place {
        /// ID of the job.
        job: String,
        /// Worker and accelerators of each part.
        parts: Vec<Part>,
        /// Whether the placement counts towards the guarantee of the job's customer.
        guaranteed: bool,
        /// Number of workers that were considered.
        candidates: usize,
        /// Why these workers were chosen.
        reason: String,
    },
    /// Stops a running gang.
    Stop {
        /// ID of the job.
        job: String,
        /// Epoch of the gang, so that a later placement of the job is not stopped.
        epoch: u64,
        /// What happens to the job after the stop.
        next: Disposition,
        /// Why the gang is stopped.
        reason: String,
    },
    /// Fails a job that can never run.
    Refuse {
        /// ID of the job.
        job: String,
        /// Why the job can't run.
        reason: String,
    },
}

/// Bit mask of the lowest `count` accelerators; all 32 bits for a count of 32 or more.
pub fn mask(count: u32) -> u32 {
    1u32.checked_shl(count).map_or(u32::MAX, |bit| bit - 1)
}
