//! Kernel: plug-in registry, timer service and ordered locks.

pub mod lock;
pub mod plugin;
pub mod signal;
pub mod timer;
