//! Placement: which job runs where, now, and who must yield.
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
    /// Decides what changes now. Decisions are tried in order; a refused one is dropped.
    fn decide(&mut self, view: &View<'_>) -> Vec<Decision>;

    /// Tells a person why a job waits.
    fn explain(&self, view: &View<'_>, job: &job::Job) -> String;
}

/// The cluster as a policy sees it.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// Configuration in force.
    pub document: &'a Document,
    /// Jobs.
    pub jobs: &'a job::Table,
    /// Live workers, sorted by name.
    pub workers: &'a [Worker],
    /// Wall-clock time, in milliseconds.
    pub now_ms: u64,
    /// Whether every live worker must have been heard: a new leader hears them one by one.
    pub is_fleet_complete: bool,
}

/// A live worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Worker {
    /// Name.
    pub name: String,
    /// Rack.
    pub rack: String,
    /// Availability zone.
    pub zone: String,
    /// What it has.
    pub shape: Shape,
    /// Whether it may take new work.
    pub is_schedulable: bool,
}

/// A decision of a policy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Places a waiting job.
    Place {
        /// Job.
        job: String,
        /// One placement for each part.
        parts: Vec<Part>,
        /// Whether it sits inside its customer's guarantee.
        guaranteed: bool,
        /// Number of candidates that were weighed.
        candidates: usize,
        /// Why there.
        reason: String,
    },
    /// Stops a gang.
    Stop {
        /// Job.
        job: String,
        /// Epoch of the gang.
        epoch: u64,
        /// What follows.
        next: Disposition,
        /// Why.
        reason: String,
    },
    /// Fails a job that can never run.
    Refuse {
        /// Job.
        job: String,
        /// Why.
        reason: String,
    },
}

/// A mask of the lowest `count` accelerators; all where a worker has 32 or more.
pub fn mask(count: u32) -> u32 {
    1u32.checked_shl(count).map_or(u32::MAX, |bit| bit - 1)
}
