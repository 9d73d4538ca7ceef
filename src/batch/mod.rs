//! Batch jobs: steps of tasks on workers that lease their work by heartbeats.
//!
//! [`table`] is replicated state; [`fleet`] and [`plan`] are what a leader derives from it and from
//! the heartbeats that it hears. Nothing here has a clock or does I/O.

pub mod call;
pub mod document;
pub mod estimate;
pub mod fleet;
pub mod job;
pub mod plan;
pub mod table;
pub mod worker;

/// Result of a batch operation.
pub type Result<T> = crate::error::Result<T>;
