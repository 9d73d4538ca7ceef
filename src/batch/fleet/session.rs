//! What a leader knows of one incarnation of a worker.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use tokio::sync::Notify;

use super::former::Former;
use super::health::{Health, Lasting};
use super::progress::Progress;
use super::throttling::step_of;
use super::{CLOCK_DRIFT_DIVISOR, MAX_REPORTED_ENDS, lapsed};
use crate::batch::estimate::{Estimates, Kind};
use crate::batch::job::{Resources, TaskId};
use crate::batch::table::{End, Table};
use crate::batch::throttle::{FULL_PERCENT, Throttle};
use crate::batch::worker::{Heartbeat, Run, Stamp};

/// Time before a worker leaves at which its runs are stopped, in milliseconds: one round and one
/// heartbeat to deliver the order, 400 ms for the stop, and one heartbeat that reports the ends.
const EVACUATION_LEAD_MS: u64 = 1_000;
/// Run time before which a run with little progress is not expected to end, in milliseconds: hardly
/// any task is shorter.
const MIN_RUN_MS: u64 = 1_000;
/// Time after a heartbeat, on the worker's clock, until which the next one shows that the first was
/// answered, in milliseconds: a worker waits 1 s for an answer, less 4% for its timer.
const MAX_ANSWER_AGE_MS: u64 = 960;

/// Number of heartbeats without a run, each after an answer with its start order, from which on the run is
/// given up: two answers in a row may be lost.
const MAX_START_ORDERS: u32 = 3;

/// The leader's state for one incarnation of a worker.
#[derive(Debug)]
pub struct Session {
    /// Latest heartbeat; its running tasks are sorted.
    pub heartbeat: Heartbeat,
    /// Latest time at which the latest heartbeat can have been composed, on the leader's clock, in
    /// milliseconds. A heartbeat may arrive seconds late, when its worker no longer exists.
    pub last_heartbeat_ms: u64,
    /// When every lease granted to the worker has certainly expired, in milliseconds.
    pub lease_until_ms: u64,
    /// Notified when there are orders for the worker.
    pub orders_ready: Arc<Notify>,
    /// Whether an order for a run that was inherited from an earlier leader may still be in effect
    /// on the worker without showing in its latest heartbeat.
    pub(super) has_unconfirmed_runs: bool,
    // Whether the latest heartbeat was composed after an answer of this leader had arrived.
    is_current: bool,
    // Clock of the worker in the latest heartbeat, once that heartbeat was answered, and when it was.
    answered_clock_ms: Option<u64>,
    answered_ms: u64,
    // Runs placed by this leader.
    own_runs: BTreeSet<(TaskId, u32)>,
    // Those of them whose start orders were never sent.
    unsent_runs: BTreeSet<(TaskId, u32)>,
    // Start orders sent with the answer to the latest heartbeat.
    pub(super) sent_starts: BTreeSet<(TaskId, u32)>,
    // Heartbeats without the run after an answer with its start order, by run.
    unheeded_starts: BTreeMap<(TaskId, u32), u32>,
    // Whether that answer left no room for some of the orders.
    pub(super) has_more_orders: bool,
    pub(super) progress: BTreeMap<(TaskId, u32), Progress>,
    pub(super) health: Health,
    pub(super) lasting: Lasting,
    pub(super) former: Former,
    pub(super) throttle: Throttle,
    // Runs in progress that were slowed down at some time.
    pub(super) paced_runs: BTreeSet<(TaskId, u32)>,
    pub(super) has_new_pace: bool,
    // Whether the latest heartbeat holds latencies, and when such ones were last learned from.
    pub(super) is_serving: bool,
    pub(super) latency_turn_ms: u64,
}

impl Session {
    pub(super) fn new(heartbeat: Heartbeat, now_ms: u64, lease_until_ms: u64) -> Self {
        let former = Former::of_first_heartbeat(&heartbeat, now_ms);
        Self {
            heartbeat,
            last_heartbeat_ms: now_ms,
            lease_until_ms,
            orders_ready: Arc::new(Notify::new()),
            has_unconfirmed_runs: false,
            is_current: false,
            answered_clock_ms: None,
            answered_ms: 0,
            own_runs: BTreeSet::new(),
            unsent_runs: BTreeSet::new(),
            sent_starts: BTreeSet::new(),
            unheeded_starts: BTreeMap::new(),
            has_more_orders: false,
            progress: BTreeMap::new(),
            health: Health::default(),
            lasting: Lasting::default(),
            former,
            throttle: Throttle::full(now_ms),
            paced_runs: BTreeSet::new(),
            has_new_pace: false,
            is_serving: false,
            latency_turn_ms: 0,
        }
    }

    // Replaces the latest heartbeat by a newer one of the same incarnation.
    pub(super) fn update(&mut self, heartbeat: Heartbeat, now_ms: u64, lease_until_ms: u64) {
        self.last_heartbeat_ms = self.composed_ms(&heartbeat, now_ms);
        self.heartbeat = heartbeat;
        self.lease_until_ms = self.lease_until_ms.max(lease_until_ms);
        self.answered_clock_ms = None;
        self.sent_starts.clear();
        self.former.reset_revoked();
    }

    // Latest time at which a heartbeat can have been composed: the time of the one before, and what
    // has passed since then on the worker's clock, which may be slow. A heartbeat that follows an
    // answer is no older than that answer, even if the worker's clock stood still meanwhile.
    fn composed_ms(&self, heartbeat: &Heartbeat, now_ms: u64) -> u64 {
        if heartbeat.sequence == self.heartbeat.sequence {
            return self.last_heartbeat_ms;
        }
        let clocks_ms = heartbeat.clock_ms.zip(self.heartbeat.clock_ms);
        let Some((clock_ms, earlier_ms)) = clocks_ms else { return now_ms };
        let passed_ms = clock_ms.saturating_sub(earlier_ms);
        let composed_ms = self
            .last_heartbeat_ms
            .saturating_add(passed_ms)
            .saturating_add(passed_ms / CLOCK_DRIFT_DIVISOR);
        let answered_ms = if self.follows_answer(heartbeat) { self.answered_ms } else { 0 };
        composed_ms.max(answered_ms).min(now_ms)
    }

    // Whether a heartbeat was composed after the answer to the latest one had arrived. A worker has
    // one call outstanding at a time, so a heartbeat that follows an answered one within the timeout
    // of a call follows its answer.
    fn follows_answer(&self, heartbeat: &Heartbeat) -> bool {
        let gap_ms = heartbeat.clock_ms.zip(self.answered_clock_ms);
        let gap_ms = gap_ms.and_then(|(clock_ms, answered)| clock_ms.checked_sub(answered));
        gap_ms.is_some_and(|gap_ms| gap_ms < MAX_ANSWER_AGE_MS)
    }

    // Records that the heartbeat with this stamp was answered.
    pub(super) fn record_answer(&mut self, stamp: Stamp, now_ms: u64) {
        if self.heartbeat.stamp() == stamp {
            self.answered_clock_ms = self.heartbeat.clock_ms;
            self.answered_ms = now_ms;
        }
    }

    /// Whether the worker is known to have received an answer of this leader, so that it exists. A
    /// first heartbeat may be a late one of a worker that has left, and one without a clock is not a
    /// worker's.
    pub fn is_confirmed(&self) -> bool {
        self.is_current
    }

    // Records that this leader placed a run on the worker.
    pub(super) fn record_start(&mut self, task: TaskId, run: u32) {
        self.own_runs.insert((task, run));
        self.unsent_runs.insert((task, run));
    }

    // Records the start orders in the answer to the latest heartbeat.
    pub(super) fn record_orders(&mut self, starts: BTreeSet<(TaskId, u32)>) {
        self.unsent_runs.retain(|run| !starts.contains(run));
        self.sent_starts = starts;
    }

    // Whether the worker can't have begun a run, since it was placed by this leader and no start order
    // was sent.
    pub(super) fn is_unsent(&self, task: &TaskId, run: u32) -> bool {
        self.unsent_runs.contains(&(*task, run))
    }

    // Forgets runs of this leader that have ended. One that the table does not have yet is about to
    // be committed.
    pub(super) fn forget_ended_runs(&mut self, table: &Table) {
        self.own_runs.retain(|(name, run)| {
            let task = table.live.get(&name.job).and_then(|job| job.task(name));
            task.is_some_and(|task| task.runs < *run) || table.is_run_active(name, *run)
        });
        let own_runs = &self.own_runs;
        self.unsent_runs.retain(|run| own_runs.contains(run));
    }

    // Whether a heartbeat of a seemingly earlier incarnation may be one of a later incarnation, whose clock was
    // set back. It may also be a late one, so that nothing of the known incarnation may be left.
    pub(super) fn is_replaced_by(&self, heartbeat: &Heartbeat, table: &Table, now_ms: u64) -> bool {
        let mut runs = table.runs_on(&heartbeat.worker);
        heartbeat.incarnation < self.heartbeat.incarnation
            && now_ms >= self.lease_until_ms
            && runs.all(|(_, run)| run.incarnation <= heartbeat.incarnation)
    }

    // Whether a heartbeat was composed after an answer that this leader sent at `since_ms` or later.
    pub(super) fn is_after_answer_since(&self, heartbeat: &Heartbeat, since_ms: u64) -> bool {
        self.answered_ms >= since_ms && self.follows_answer(heartbeat)
    }

    // Makes the worker unconfirmed until a heartbeat follows an answer that is still to come.
    pub(super) fn revoke_confirmation(&mut self) {
        self.is_current = false;
        self.answered_clock_ms = None;
    }

    // Checks whether a heartbeat was composed after an answer of this leader.
    pub(super) fn update_currency(&mut self, heartbeat: &Heartbeat) {
        self.is_current |= self.follows_answer(heartbeat);
    }

    // Whether a run that a newer heartbeat does not list is certainly not on the worker. Start orders
    // of this leader precede every newer heartbeat; those of an earlier leader may have overtaken it.
    pub(super) fn is_absence_conclusive(&self, task: &TaskId, run: u32) -> bool {
        self.is_current || self.own_runs.contains(&(*task, run))
    }

    // Ends, according to a heartbeat, of the runs that the table places on the worker.
    pub(super) fn ends_in(&mut self, heartbeat: &Heartbeat, table: &Table) -> Vec<End> {
        let mut ends = Vec::new();
        let listed_runs = heartbeat.listed_runs();
        self.count_unheeded_starts(&listed_runs, table);
        let followed_ms = self.follows_answer(heartbeat).then_some(self.answered_ms);
        self.has_unconfirmed_runs = false;
        for (task, run) in table.runs_on(&heartbeat.worker) {
            if run.incarnation > heartbeat.incarnation {
                continue;
            }
            let is_listed = listed_runs.contains(&(*task, run.number));
            if run.incarnation < heartbeat.incarnation {
                // The worker has restarted and lost the run, unless its next incarnation begins it.
                let is_over = !is_listed
                    && heartbeat.ended.len() < MAX_REPORTED_ENDS
                    && self.former.is_over(task, run, heartbeat, followed_ms);
                if is_over {
                    ends.push(lapsed(*task, run.number, self.former.checkpoint(task, run.number)));
                }
                self.has_unconfirmed_runs |= !is_over;
                continue;
            }
            let will_start = !run.is_stopping
                && !is_closed(heartbeat, table)
                && !self.is_unheeded(task, run.number);
            if is_listed || will_start {
                continue;
            }
            if !self.is_absence_conclusive(task, run.number)
                || heartbeat.ended.len() >= MAX_REPORTED_ENDS
            {
                self.has_unconfirmed_runs = true;
                continue;
            }
            // The worker has not executed the start order, which will not be sent again.
            ends.push(lapsed(*task, run.number, ""));
        }
        for end in &heartbeat.ended {
            let active = table.active_run(&end.task).filter(|active| {
                active.number == end.run
                    && active.worker == heartbeat.worker
                    && active.incarnation <= heartbeat.incarnation
            });
            let is_late = !table.is_run_active(&end.task, end.run)
                && table.accepts_end(&end.task, end.run, end.how);
            if active.is_none() && !is_late {
                continue;
            }
            let checkpoint = end.checkpoint.clone();
            ends.push(End { task: end.task, run: end.run, how: end.how, checkpoint });
        }
        ends
    }

    // Counts the start orders of the latest answer whose runs a newer heartbeat does not list.
    fn count_unheeded_starts(&mut self, listed_runs: &BTreeSet<(TaskId, u32)>, table: &Table) {
        for start in self.sent_starts.difference(listed_runs) {
            *self.unheeded_starts.entry(*start).or_default() += 1;
        }
        self.unheeded_starts.retain(|(task, run), _| {
            !listed_runs.contains(&(*task, *run)) && table.is_run_active(task, *run)
        });
    }

    // Whether the worker has not begun a run despite repeated start orders.
    pub(super) fn is_unheeded(&self, task: &TaskId, run: u32) -> bool {
        self.unheeded_starts.get(&(*task, run)).is_some_and(|orders| *orders >= MAX_START_ORDERS)
    }

    /// Whether the worker gets no start orders, since it drains or its zone is evacuated.
    pub fn is_closed(&self, table: &Table) -> bool {
        is_closed(&self.heartbeat, table)
    }

    /// Progress of a run in percent, if the worker has reported it.
    pub fn progress_percent(&self, task: &TaskId, run: u32) -> Option<u8> {
        self.row(task, run).map(|row| row.percent)
    }

    fn row(&self, task: &TaskId, run: u32) -> Option<&Run> {
        let rows = &self.heartbeat.running;
        let at = rows.binary_search_by_key(&(*task, run), |row| (row.task, row.run)).ok()?;
        rows.get(at)
    }

    /// Whether the worker will leave before it could execute an order given now and report the
    /// result.
    pub fn is_about_to_leave(&self, now_ms: u64) -> bool {
        let Some(remaining_ms) = self.heartbeat.remaining_ms.filter(|_| self.heartbeat.is_draining)
        else {
            return false;
        };
        now_ms + EVACUATION_LEAD_MS >= self.last_heartbeat_ms.saturating_add(remaining_ms)
    }

    /// Whether the worker runs nothing and has nothing left to report.
    pub fn is_idle(&self) -> bool {
        self.heartbeat.running.is_empty() && self.heartbeat.ended.is_empty()
    }

    /// Expected time until the next of its runs ends, extrapolated from their progress, in
    /// milliseconds; `None` if nothing runs.
    pub fn next_end_ms(&self, table: &Table, wall_ms: u64) -> Option<u64> {
        // A draining worker may leave at any moment, and can't report an end while its heartbeat is
        // held.
        if self.heartbeat.is_draining {
            return Some(0);
        }
        let mut next_ms = None;
        for row in &self.heartbeat.running {
            let Some(run) = table.active_run(&row.task) else { return Some(0) };
            let ran_ms = wall_ms.saturating_sub(run.placed_ms);
            let percent = u64::from(row.percent);
            // Progress below 5% is too little to extrapolate from. A task of a gang that has done
            // its share ends together with the others, at any time.
            let left_ms = match percent {
                0..5 => MIN_RUN_MS.saturating_sub(ran_ms),
                5..100 => ran_ms.saturating_mul(100 - percent) / percent,
                _ => 0,
            };
            next_ms = Some(next_ms.map_or(left_ms, |least_ms: u64| least_ms.min(left_ms)));
        }
        next_ms
    }

    /// Expected time for a whole run of a task on this worker, in milliseconds. Runs away from their data
    /// take `remote_factor` times as long.
    pub fn expected_run_ms(
        &self,
        task: &TaskId,
        table: &Table,
        estimates: &Estimates,
        remote_factor: u64,
    ) -> u64 {
        let Some(job) = table.live.get(&task.job) else { return 0 };
        let Some(step) = job.spec.steps.get(task.step as usize) else { return 0 };
        let run_ms = estimates.task_ms(&Kind::of(job, step)) as f64;
        let is_remote = !step.data_rack.is_empty() && step.data_rack != self.heartbeat.rack;
        let factor = if is_remote { remote_factor } else { 1 };
        let slowdown = estimates.slowdown_at(&self.heartbeat.location());
        ((run_ms * slowdown) as u64).saturating_mul(factor)
    }

    // Updates the estimates with the runs whose pace has become known.
    pub(super) fn learn_paces(&mut self, table: &Table, estimates: &mut Estimates) {
        for ((task, _), progress) in &mut self.progress {
            let Some(job) = table.live.get(&task.job) else { continue };
            let Some(step) = job.spec.steps.get(task.step as usize) else { continue };
            let is_remote = !step.data_rack.is_empty() && step.data_rack != self.heartbeat.rack;
            // Fillers work at the pace that other tasks leave them.
            if is_remote || step.is_filler {
                continue;
            }
            let Some(whole_ms) = progress.take_whole_ms() else { continue };
            let kind = Kind::of(job, step);
            let location = self.heartbeat.location();
            estimates.learn_pace(&kind, (task.job, task.step), &location, whole_ms);
        }
    }

    /// Expected time until a run ends by its own pace, from the latest heartbeat on, in milliseconds;
    /// `None` until its pace is known.
    pub fn left_ms(&self, task: &TaskId, run: u32) -> Option<u64> {
        self.progress.get(&(*task, run))?.left_ms()
    }

    pub(super) fn checkpoint(&self, task: &TaskId, run: u32) -> &str {
        self.row(task, run).map_or("", |row| &row.checkpoint)
    }

    // Updates the progress of the worker's runs from a new heartbeat.
    pub(super) fn update_progress(&mut self, heartbeat: &Heartbeat, table: &Table, now_ms: u64) {
        let mut progress = BTreeMap::new();
        for row in &heartbeat.running {
            let key = (row.task, row.run);
            let step = step_of(table, &row.task);
            let is_lasting = step.is_some_and(|step| step.is_lasting);
            let is_paced =
                self.throttle.percent() < FULL_PERCENT && step.is_some_and(|step| step.is_filler);
            // A task of a gang that has done its share waits for the others and is not stuck.
            if is_lasting || is_paced || row.percent >= 100 {
                continue;
            }
            let previous = self.progress.get(&key).copied();
            let mut current = previous.unwrap_or_else(|| Progress::new(row.percent, now_ms));
            current.update(row.percent, now_ms, heartbeat.clock_ms);
            progress.insert(key, current);
        }
        self.progress = progress;
    }

    // Free resources of the worker. Runs that the table no longer places there use theirs until the
    // worker reports that they ended.
    pub(super) fn free(&self, worker: &str, table: &Table) -> Resources {
        let mut free = self.heartbeat.capacity;
        for (task, _) in table.runs_on(worker) {
            subtract_task(&mut free, task, table);
        }
        let running = self.heartbeat.running.iter().map(|row| (row.task, row.run));
        let mut others: BTreeSet<(TaskId, u32)> = BTreeSet::new();
        for (task, run) in running.chain(self.sent_starts.iter().copied()) {
            let active = table.active_run(&task);
            let is_counted =
                active.is_some_and(|active| active.number == run && active.worker == worker);
            if is_counted || !others.insert((task, run)) {
                continue;
            }
            subtract_task(&mut free, &task, table);
        }
        free
    }
}

// Whether the worker that sent a heartbeat gets no start orders.
fn is_closed(heartbeat: &Heartbeat, table: &Table) -> bool {
    heartbeat.is_draining || table.is_evacuated(&heartbeat.zone)
}

fn subtract_task(free: &mut Resources, task: &TaskId, table: &Table) {
    let step = table.job(task.job).and_then(|job| job.spec.steps.get(task.step as usize));
    if let Some(step) = step {
        free.subtract(&step.demand, step.is_filler);
    }
}
