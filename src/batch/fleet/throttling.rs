//! Pace of the tasks that fill a worker.

use super::session::Session;
use crate::batch::job::{Step, TaskId};
use crate::batch::table::Table;
use crate::batch::throttle::{FULL_PERCENT, Throttle, Times};

impl Session {
    /// Adapts the pace of the tasks that fill the worker to the latencies in its latest heartbeat.
    pub(super) fn update_throttle(&mut self, table: &Table, times: Times, now_ms: u64) {
        let previous_percent = self.throttle.percent();
        let mut strain_percent: Option<u64> = None;
        let mut fillers = Vec::new();
        for row in &self.heartbeat.running {
            let Some(step) = step_of(table, &row.task) else { continue };
            if step.is_filler {
                fillers.push((row.task, row.run));
            }
            if row.is_serving(step) {
                let strain = row.gauge.saturating_mul(100) / step.target_ms;
                strain_percent = Some(strain_percent.map_or(strain, |most| most.max(strain)));
            }
        }
        if !self.paced_runs.is_empty() {
            let listed_runs = self.heartbeat.listed_runs();
            self.paced_runs.retain(|run| listed_runs.contains(run));
        }
        self.is_serving = strain_percent.is_some();
        self.throttle.observe(strain_percent, times, now_ms);
        let percent = self.throttle.percent();
        if previous_percent.min(percent) < FULL_PERCENT {
            self.paced_runs.extend(&fillers);
        }
        self.has_new_pace = percent != previous_percent && !fillers.is_empty();
    }

    /// Takes into account that runs in the first heartbeat may have the pace that an earlier leader gave
    /// them.
    pub(super) fn resume_pace(&mut self, table: &Table, now_ms: u64) {
        let is_filler = |task| step_of(table, task).is_some_and(|step| step.is_filler);
        if self.heartbeat.running.iter().any(|row| is_filler(&row.task)) {
            self.throttle = Throttle::resumed(now_ms);
        }
    }

    pub(super) fn is_strained(&self) -> bool {
        self.throttle.is_strained() && self.throttle.percent() > 0
    }

    /// Whether the pace of runs in progress has changed with the latest heartbeat.
    pub fn has_new_pace(&self) -> bool {
        self.has_new_pace
    }

    /// Pace of the tasks that fill the worker, in percent.
    pub fn filler_percent(&self) -> u8 {
        self.throttle.percent()
    }

    /// Whether the latencies of the latest heartbeat are due to be learned from, `interval_ms` after the
    /// last ones. Always false if no task on the worker serves users.
    pub fn take_latency_turn(&mut self, interval_ms: u64, now_ms: u64) -> bool {
        let is_due = self.is_serving && now_ms >= self.latency_turn_ms.saturating_add(interval_ms);
        if is_due {
            self.latency_turn_ms = now_ms;
        }
        is_due
    }

    /// Whether a run was slowed down, so that its time says nothing of its queue or its worker.
    pub fn was_paced(&self, task: &TaskId, run: u32) -> bool {
        self.paced_runs.contains(&(*task, run))
    }
}

pub(super) fn step_of<'a>(table: &'a Table, task: &TaskId) -> Option<&'a Step> {
    table.live.get(&task.job)?.spec.steps.get(task.step as usize)
}
