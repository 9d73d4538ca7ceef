//! Persistent records of workers: quarantine and drain.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// A change of a worker's record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Assigns no new work to the worker until the given time.
    Quarantine {
        /// Worker name.
        worker: String,
        /// End of the quarantine, in wall-clock milliseconds.
        until_ms: u64,
    },
    /// Starts or ends the drain of a worker.
    Drain {
        /// Worker name.
        worker: String,
        /// Whether the worker must not take new work.
        draining: bool,
    },
}

/// Quarantine and drain state of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// End of the quarantine, in wall-clock milliseconds; 0 if it was never quarantined.
    pub quarantined_until_ms: u64,
    /// Number of quarantines so far; their duration grows with it, up to a limit.
    pub quarantines: u32,
    /// Whether an operator has drained the worker.
    pub draining: bool,
}

/// Records of all workers that were ever quarantined or drained.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// Records by worker name.
    pub records: BTreeMap<String, Record>,
}

impl Table {
    /// Applies a change.
    pub fn apply(&mut self, command: &Command, _now_ms: u64) {
        match command {
            Command::Quarantine { worker, until_ms } => {
                let record = self.records.entry(worker.clone()).or_default();
                record.quarantined_until_ms = *until_ms;
                record.quarantines += 1;
            }
            Command::Drain { worker, draining } => {
                self.records.entry(worker.clone()).or_default().draining = *draining;
            }
        }
    }

    /// Whether the worker is quarantined at the given time.
    pub fn is_quarantined(&self, worker: &str, now_ms: u64) -> bool {
        self.records.get(worker).is_some_and(|record| record.quarantined_until_ms > now_ms)
    }

    /// Whether the worker may take new work at the given time.
    pub fn accepts_work(&self, worker: &str, now_ms: u64) -> bool {
        self.records
            .get(worker)
            .is_none_or(|record| !record.draining && record.quarantined_until_ms <= now_ms)
    }
}
