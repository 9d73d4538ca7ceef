//! Batch jobs: steps of tasks that run on workers, which renew their leases by heartbeats.
//!
//! [`table`] is replicated state; [`fleet`] and [`plan`] are derived by the leader from that state
//! and from the heartbeats that it receives. This module reads no clock and does no I/O.

pub mod access;
pub mod admission;
pub mod balance;
mod bounded;
pub mod call;
pub mod document;
pub mod estimate;
pub mod fleet;
pub mod interference;
pub mod job;
pub mod pace;
pub mod plan;
pub mod room;
pub mod share;
pub mod speed;
pub mod table;
pub mod throttle;
pub mod worker;

/// Result of a batch operation.
pub type Result<T> = crate::error::Result<T>;
