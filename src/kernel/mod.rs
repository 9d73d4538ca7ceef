//! Basic services for all modules: ranked mutexes, policy registry, signals and timers.

pub mod buffer;
pub mod lock;
pub mod memory;
pub mod plugin;
pub mod signal;
pub mod task;
pub mod timer;
