//! What is remembered of workers: quarantine and drain.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// A change of a worker's record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Keeps new work away until the given wall-clock time.
    Quarantine {
        /// Worker.
        worker: String,
        /// End of the quarantine, in wall-clock milliseconds.
        until_ms: u64,
    },
    /// Starts or ends a drain.
    Drain {
        /// Worker.
        worker: String,
        /// Whether the worker is to take no new work.
        draining: bool,
    },
}

/// Record of one worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// End of the quarantine, in wall-clock milliseconds; 0 where there was none.
    pub quarantined_until_ms: u64,
    /// How often the worker was quarantined; each time lasts longer.
    pub quarantines: u32,
    /// Whether an operator drains it.
    pub draining: bool,
}

/// Records of workers that have one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// Records by worker.
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

    /// Whether the worker is in quarantine at this time.
    pub fn is_quarantined(&self, worker: &str, now_ms: u64) -> bool {
        self.records.get(worker).is_some_and(|record| record.quarantined_until_ms > now_ms)
    }

    /// Whether the worker may take new work at this time.
    pub fn accepts_work(&self, worker: &str, now_ms: u64) -> bool {
        self.records
            .get(worker)
            .is_none_or(|record| !record.draining && record.quarantined_until_ms <= now_ms)
    }
}
