//! Soft state of workers at the leader, rebuilt from reports within seconds.

use std::collections::BTreeMap;

use super::status;
use crate::mesh::call::Heard;
use crate::placement::Worker;
use crate::placement::report::{Report, Task};
use crate::state::worker;

#[derive(Debug)]
struct Known {
    report: Report,
    entry: String,
    heard_ms: u64,
}

fn row(report: &Report, is_open: bool) -> Worker {
    Worker {
        name: report.worker.clone(),
        rack: report.rack.clone(),
        zone: report.zone.clone(),
        shape: report.shape,
        is_schedulable: is_open,
    }
}

/// Workers by name.
#[derive(Debug, Default)]
pub struct Table {
    known: BTreeMap<String, Known>,
    // Workers that each entry named last, with their revision.
    named: BTreeMap<String, (u32, Vec<String>)>,
}

impl Table {
    /// Takes a report that an entry passed on.
    pub fn report(&mut self, entry: &str, report: Report, now_ms: u64) {
        let name = report.worker.clone();
        let known = Known { report, entry: entry.into(), heard_ms: now_ms };
        self.known.insert(name, known);
    }

    /// Notes which workers an entry heard; `false` where it refers to names that are not known.
    pub fn hear(&mut self, entry: &str, heard: &Heard, now_ms: u64) -> bool {
        if let Heard::Names(names) = heard {
            let named = (Heard::revision(names), names.clone());
            self.named.insert(entry.into(), named);
        }
        let Some((revision, names)) = self.named.get(entry) else { return false };
        if matches!(heard, Heard::Same { revision: told } if told != revision) {
            return false;
        }
        for name in names {
            let Some(known) = self.known.get_mut(name) else { continue };
            known.heard_ms = now_ms;
            if known.entry != entry {
                known.entry = entry.into();
            }
        }
        true
    }

    /// Workers heard within the patience, sorted by name.
    pub fn live(&self, now_ms: u64, patience_ms: u64) -> Vec<&Report> {
        let live = self.known.values().filter(|known| known.heard_ms + patience_ms > now_ms);
        live.map(|known| &known.report).collect()
    }

    /// Live workers as policies see them.
    pub fn view(
        &self,
        records: &worker::Table,
        wall_ms: u64,
        now_ms: u64,
        patience_ms: u64,
    ) -> Vec<Worker> {
        let mut workers = Vec::new();
        for report in self.live(now_ms, patience_ms) {
            workers.push(row(report, records.is_open(&report.worker, wall_ms)));
        }
        workers
    }

    /// All workers heard so far, silent ones too, sorted by name.
    pub fn known(&self) -> Vec<Worker> {
        self.known.values().map(|known| row(&known.report, true)).collect()
    }

    /// A worker's task, as last reported.
    pub fn task(&self, worker: &str, job: &str, part: u32, epoch: u64) -> Option<&Task> {
        let known = self.known.get(worker)?;
        let tasks = &known.report.tasks;
        tasks.iter().find(|task| task.job == job && task.part == part && task.epoch == epoch)
    }

    /// When a worker was last heard.
    pub fn heard_ms(&self, worker: &str) -> Option<u64> {
        self.known.get(worker).map(|known| known.heard_ms)
    }

    /// The entry that holds a worker's poll.
    pub fn entry(&self, worker: &str) -> Option<&str> {
        self.known.get(worker).map(|known| known.entry.as_str())
    }

    /// Rows for operators.
    pub fn status(
        &self,
        records: &worker::Table,
        wall_ms: u64,
        now_ms: u64,
        patience_ms: u64,
    ) -> Vec<status::Worker> {
        let mut rows = Vec::new();
        for (name, known) in &self.known {
            rows.push(status::Worker {
                name: name.clone(),
                rack: known.report.rack.clone(),
                zone: known.report.zone.clone(),
                shape: known.report.shape,
                entry: known.entry.clone(),
                silent_ms: now_ms.saturating_sub(known.heard_ms),
                is_live: known.heard_ms + patience_ms > now_ms,
                is_open: records.is_open(name, wall_ms),
                tasks: known.report.tasks.len() as u64,
            });
        }
        rows
    }
}
