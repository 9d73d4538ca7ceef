//! Workers as known to the leader: kept in memory only, and rebuilt from reports within seconds.

use std::collections::BTreeMap;

use super::status;
use crate::mesh::call::Workers;
use crate::placement::Worker;
use crate::placement::report::{Report, Task};
use crate::state::worker;

#[derive(Debug)]
struct Record {
    report: Report,
    entry: String,
    last_contact_ms: u64,
}

fn to_placement_worker(report: &Report, is_open: bool) -> Worker {
    Worker {
        name: report.worker.clone(),
        rack: report.rack.clone(),
        zone: report.zone.clone(),
        shape: report.shape,
        is_schedulable: is_open,
    }
}

/// The workers that have reported to this leader.
#[derive(Debug, Default)]
pub struct Table {
    workers: BTreeMap<String, Record>,
    // Workers that each entry listed in its last full list, with the revision of that list.
    names_by_entry: BTreeMap<String, (u32, Vec<String>)>,
}

impl Table {
    /// Records a worker's report that an entry forwarded.
    pub fn record_report(&mut self, entry: &str, report: Report, now_ms: u64) {
        let name = report.worker.clone();
        let record = Record { report, entry: entry.into(), last_contact_ms: now_ms };
        self.workers.insert(name, record);
    }

    /// Records which workers an entry is in contact with. Returns `false` if the entry refers to a
    /// list of names that is not known here.
    pub fn record_contacts(&mut self, entry: &str, reported: &Workers, now_ms: u64) -> bool {
        if let Workers::Names(names) = reported {
            let revision_and_names = (Workers::revision(names), names.clone());
            self.names_by_entry.insert(entry.into(), revision_and_names);
        }
        let Some((revision, names)) = self.names_by_entry.get(entry) else { return false };
        if matches!(reported, Workers::Same { revision: claimed } if claimed != revision) {
            return false;
        }
        for name in names {
            let Some(record) = self.workers.get_mut(name) else { continue };
            record.last_contact_ms = now_ms;
            if record.entry != entry {
                record.entry = entry.into();
            }
        }
        true
    }

    /// Reports of the workers with a contact within the timeout, sorted by name.
    pub fn live(&self, now_ms: u64, worker_timeout_ms: u64) -> Vec<&Report> {
        let live = self
            .workers
            .values()
            .filter(|record| record.last_contact_ms + worker_timeout_ms > now_ms);
        live.map(|record| &record.report).collect()
    }

    /// Live workers in the form that placement policies take.
    pub fn placement_view(
        &self,
        records: &worker::Table,
        wall_ms: u64,
        now_ms: u64,
        worker_timeout_ms: u64,
    ) -> Vec<Worker> {
        let mut workers = Vec::new();
        for report in self.live(now_ms, worker_timeout_ms) {
            workers
                .push(to_placement_worker(report, records.accepts_work(&report.worker, wall_ms)));
        }
        workers
    }

    /// All workers that have ever reported to this leader, including those without recent contact,
    /// sorted by name.
    pub fn all(&self) -> Vec<Worker> {
        self.workers.values().map(|record| to_placement_worker(&record.report, true)).collect()
    }

    /// A worker's task as last reported; `None` if the worker did not list it.
    pub fn task(&self, worker: &str, job: &str, part: u32, epoch: u64) -> Option<&Task> {
        let record = self.workers.get(worker)?;
        let tasks = &record.report.tasks;
        tasks.iter().find(|task| task.job == job && task.part == part && task.epoch == epoch)
    }

    /// Time of the last contact with a worker, in milliseconds.
    pub fn last_contact_ms(&self, worker: &str) -> Option<u64> {
        self.workers.get(worker).map(|record| record.last_contact_ms)
    }

    /// Entry that holds the worker's open poll.
    pub fn entry(&self, worker: &str) -> Option<&str> {
        self.workers.get(worker).map(|record| record.entry.as_str())
    }

    /// Status rows for operators.
    pub fn status_rows(
        &self,
        records: &worker::Table,
        wall_ms: u64,
        now_ms: u64,
        worker_timeout_ms: u64,
    ) -> Vec<status::Worker> {
        let mut rows = Vec::new();
        for (name, record) in &self.workers {
            rows.push(status::Worker {
                name: name.clone(),
                rack: record.report.rack.clone(),
                zone: record.report.zone.clone(),
                shape: record.report.shape,
                entry: record.entry.clone(),
                silent_ms: now_ms.saturating_sub(record.last_contact_ms),
                is_live: record.last_contact_ms + worker_timeout_ms > now_ms,
                is_open: records.accepts_work(name, wall_ms),
                tasks: record.report.tasks.len() as u64,
            });
        }
        rows
    }
}
