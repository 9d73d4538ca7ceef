//! Kernel: plug-in registry, timer service and ordered locks.

pub mod lock;
pub mod plugin;
pub mod timer;
