//! eelgrassvalve: a scheduler for multi-accelerator jobs under customer guarantees.
//!
//! It routes the requests of callers to upstreams and places jobs on the workers of the platform.

pub mod batch;
pub mod client;
pub mod cmd;
pub mod control;
pub mod daemon;
pub mod entry;
pub mod error;
pub mod kernel;
pub mod listener;
pub mod mesh;
pub mod node;
pub mod placement;
pub mod replica;
pub mod routing;
pub mod settings;
pub mod state;
pub mod telemetry;
pub mod verdict;
