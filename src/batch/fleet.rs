//! The leader's view of workers: heartbeats, leases, and the health of their runs.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use tokio::sync::Notify;

use super::job::{Resources, TaskId};
use super::table::{End, Table};
use super::worker::{Exit, Heartbeat, Orders, Start};

/// Divisor of a lease for the assumed clock drift of a worker: a clock that is 2% slow, doubled as
/// a safety margin.
const CLOCK_DRIFT_DIVISOR: u64 = 25;
/// Margin after a lease before its runs count as ended, in milliseconds: allows for one late timer.
const LEASE_MARGIN_MS: u64 = 300;
/// Time after a worker announced its leave during which its last heartbeat is accepted, in
/// milliseconds: the longest that a worker waits for an answer before it sends the next heartbeat.
const LEAVE_GRACE_MS: u64 = 1_000;
/// Time before a worker leaves at which its runs are stopped, in milliseconds: one round and one
/// heartbeat to deliver the order, 400 ms for the stop, and one heartbeat that reports the ends.
const EVACUATION_LEAD_MS: u64 = 1_000;
/// Time without a heartbeat after which a worker gets no new work, in milliseconds: two missed
/// heartbeats.
const MAX_SILENCE_FOR_WORK_MS: u64 = 2_500;
/// Time without progress after which a run counts as stuck, in milliseconds. One percent of a run
/// far from its data, and the restore of a checkpoint, take less.
const STUCK_RUN_TIMEOUT_MS: u64 = 1_500;
/// Number of failed runs in a row after which a worker is excluded from new work.
const MAX_FAILURES: u32 = 2;
/// Time without a heartbeat after which a worker no longer counts as part of its pool, in
/// milliseconds: longer than any lease.
const MAX_SILENCE_IN_POOL_MS: u64 = 15_000;
/// Time without a heartbeat after which a worker's session is removed, in milliseconds; its runs
/// were declared lost long before.
const SESSION_RETENTION_MS: u64 = 120_000;
/// Run time before which a run with little progress is not expected to end, in milliseconds: hardly
/// any task is shorter.
const MIN_RUN_MS: u64 = 1_000;
/// Duration of the first exclusion of a worker that failed or stalled a run, in milliseconds;
/// doubles with each further exclusion.
const EXCLUSION_MS: u64 = 1_500;
/// Heartbeats per second above which a leader asks its workers to send fewer. At this rate 0.4 of a
/// core is about two thirds busy with 1,000 workers.
const MAX_HEARTBEATS_PER_S: u64 = 1_500;
/// Longest exclusion of a worker, in milliseconds.
const MAX_EXCLUSION_MS: u64 = 12_000;

/// Time from the receipt of a heartbeat until a lease granted for it has certainly expired, in
/// milliseconds.
pub fn lease_bound_ms(lease_ms: u64) -> u64 {
    lease_ms + lease_ms / CLOCK_DRIFT_DIVISOR + LEASE_MARGIN_MS
}

/// The leader's state for one incarnation of a worker.
#[derive(Debug)]
pub struct Session {
    /// Latest heartbeat.
    pub heartbeat: Heartbeat,
    /// When the latest heartbeat was received, on the leader's clock, in milliseconds.
    pub last_heartbeat_ms: u64,
    /// When every lease granted to the worker has certainly expired, in milliseconds.
    pub lease_until_ms: u64,
    /// Notified when there are orders for the worker.
    pub orders_ready: Arc<Notify>,
    // Start orders sent with the answer to the latest heartbeat.
    sent_starts: BTreeSet<(TaskId, u32)>,
    progress: BTreeMap<(TaskId, u32), Progress>,
    health: Health,
}

/// Health of a worker, judged by how its recent runs ended.
#[derive(Clone, Copy, Debug, Default)]
struct Health {
    // Failed runs since the last successful one.
    failures: u32,
    exclusions: u32,
    excluded_until_ms: u64,
}

impl Health {
    // A single failure may be the fault of the task rather than the worker.
    fn record_failure(&mut self, now_ms: u64) {
        self.failures += 1;
        if self.failures >= MAX_FAILURES {
            self.exclude(now_ms);
        }
    }

    fn exclude(&mut self, now_ms: u64) {
        // Runs that end together count as one event.
        if now_ms < self.excluded_until_ms {
            return;
        }
        let length_ms = EXCLUSION_MS << self.exclusions.min(4);
        self.exclusions += 1;
        self.excluded_until_ms = now_ms + length_ms.min(MAX_EXCLUSION_MS);
    }
}

/// Last change of a run's progress, to detect stuck runs.
#[derive(Clone, Copy, Debug)]
struct Progress {
    percent: u8,
    changed_ms: u64,
}

/// A worker as placement sees it, with its free capacity.
#[derive(Clone, Debug, PartialEq)]
pub struct Worker {
    /// Unique name of the worker.
    pub name: String,
    /// Incarnation from the latest heartbeat.
    pub incarnation: u64,
    /// Pool that the worker belongs to.
    pub pool: String,
    /// Availability zone.
    pub zone: String,
    /// Rack in which the worker is.
    pub rack: String,
    /// Labels by which steps select workers.
    pub labels: Vec<String>,
    /// Total resources.
    pub capacity: Resources,
    /// Free resources.
    pub free: Resources,
    /// Whether the worker takes new work.
    pub is_open: bool,
}

/// Result of receiving a heartbeat.
#[derive(Debug, Default, PartialEq)]
pub struct Receipt {
    /// Whether the heartbeat is older than one already received, or of an incarnation that left; it
    /// is ignored then.
    pub is_stale: bool,
    /// Ends of runs to record.
    pub ends: Vec<End>,
}

/// All workers.
#[derive(Debug, Default)]
pub struct Fleet {
    sessions: BTreeMap<String, Session>,
    // Workers that announced their leave, and when their runs count as lost.
    leaving: BTreeMap<String, u64>,
    // Last incarnations of workers that left; their delayed heartbeats are ignored.
    departed: BTreeMap<String, u64>,
}

impl Fleet {
    /// Receives a heartbeat and returns which runs placed on the worker have ended.
    pub fn receive(
        &mut self,
        heartbeat: Heartbeat,
        table: &Table,
        lease_ms: u64,
        now_ms: u64,
    ) -> Receipt {
        let known = self.sessions.get(&heartbeat.worker);
        let is_late = known.is_some_and(|session| {
            let latest = &session.heartbeat;
            (heartbeat.incarnation, heartbeat.sequence) <= (latest.incarnation, latest.sequence)
        });
        let has_left =
            self.departed.get(&heartbeat.worker).is_some_and(|left| heartbeat.incarnation <= *left);
        if is_late || has_left {
            return Receipt { is_stale: true, ends: Vec::new() };
        }
        let ends = ends_of(&heartbeat, table);
        let lease_until_ms = now_ms + lease_bound_ms(lease_ms);
        let is_same_incarnation =
            known.is_some_and(|session| session.heartbeat.incarnation == heartbeat.incarnation);
        let worker = heartbeat.worker.clone();
        if !is_same_incarnation {
            // The announced leave was that of an earlier incarnation.
            self.leaving.remove(&worker);
            let session = Session {
                heartbeat,
                last_heartbeat_ms: now_ms,
                lease_until_ms,
                orders_ready: Arc::new(Notify::new()),
                sent_starts: BTreeSet::new(),
                progress: BTreeMap::new(),
                health: Health::default(),
            };
            self.sessions.insert(worker, session);
            return Receipt { is_stale: false, ends };
        }
        let Some(session) = self.sessions.get_mut(&worker) else { return Receipt::default() };
        session.update_health(&heartbeat, &ends, table, now_ms);
        session.heartbeat = heartbeat;
        session.last_heartbeat_ms = now_ms;
        session.lease_until_ms = session.lease_until_ms.max(lease_until_ms);
        session.sent_starts.clear();
        Receipt { is_stale: false, ends }
    }

    /// Records that a worker leaves. Its runs count as lost only after a grace period, since its
    /// last heartbeat may still be in flight and report how they ended.
    pub fn mark_leaving(&mut self, worker: &str, incarnation: Option<u64>, now_ms: u64) {
        let current = self.sessions.get(worker).map(|session| session.heartbeat.incarnation);
        if incarnation.zip(current).is_some_and(|(left, current)| left < current) {
            // A delayed message of an earlier incarnation.
            return;
        }
        self.leaving.insert(worker.to_string(), now_ms + LEAVE_GRACE_MS);
    }

    /// Removes workers whose grace period after their leave is over, and workers that have
    /// sent no heartbeat for longer than sessions are kept.
    pub fn remove_departed(&mut self, now_ms: u64) {
        self.sessions
            .retain(|_, session| now_ms < session.last_heartbeat_ms + SESSION_RETENTION_MS);
        let is_over = |until_ms: &u64| *until_ms <= now_ms;
        let workers: Vec<String> = self
            .leaving
            .iter()
            .filter(|(_, until_ms)| is_over(until_ms))
            .map(|(name, _)| name.clone())
            .collect();
        for worker in workers {
            self.leaving.remove(&worker);
            if let Some(session) = self.sessions.remove(&worker) {
                self.departed.insert(worker, session.heartbeat.incarnation);
            }
        }
    }

    /// The session of a worker, if this leader has received a heartbeat of it.
    pub fn session(&self, worker: &str) -> Option<&Session> {
        self.sessions.get(worker)
    }

    /// Returns the ends of runs whose workers' leases have expired, or that left. The leases of
    /// workers that have sent this leader no heartbeat expire at `default_lease_until_ms`.
    pub fn lost_runs(&self, table: &Table, default_lease_until_ms: u64, now_ms: u64) -> Vec<End> {
        let mut ends = Vec::new();
        for worker in table.occupied_workers() {
            let session = self.sessions.get(worker);
            let lease_until_ms =
                session.map_or(default_lease_until_ms, |known| known.lease_until_ms);
            if now_ms < self.leaving.get(worker).copied().unwrap_or(lease_until_ms) {
                continue;
            }
            for (task, run) in table.runs_on(worker) {
                let checkpoint = session.map_or("", |known| known.checkpoint(task, run.number));
                ends.push(lapsed(*task, run.number, checkpoint));
            }
        }
        ends
    }

    /// Returns runs whose workers send heartbeats but report no progress. Workers
    /// without recent heartbeats are left out: the state of their runs is unknown.
    pub fn stuck_runs(&self, table: &Table) -> Vec<(TaskId, u32)> {
        let mut stuck = Vec::new();
        for session in self.sessions.values() {
            for ((task, run), change) in &session.progress {
                if session.last_heartbeat_ms < change.changed_ms + STUCK_RUN_TIMEOUT_MS {
                    continue;
                }
                let active = table.active_run(task).filter(|active| active.number == *run);
                if active.is_some_and(|active| !active.is_stopping) {
                    stuck.push((*task, *run));
                }
            }
        }
        stuck
    }

    /// Returns runs that must stop now because their workers are about to leave. A run that ends in
    /// the last moment is never reported, so work that was done would be counted as lost.
    pub fn runs_to_evacuate(&self, table: &Table, now_ms: u64) -> Vec<(TaskId, u32)> {
        let mut runs = Vec::new();
        for (worker, session) in &self.sessions {
            if !session.is_about_to_leave(now_ms) {
                continue;
            }
            let placed = table.runs_on(worker).filter(|(_, run)| !run.is_stopping);
            runs.extend(placed.map(|(task, run)| (*task, run.number)));
        }
        runs
    }

    /// Excludes a worker from new work for a while because a run on it is stuck.
    pub fn exclude(&mut self, worker: &str, now_ms: u64) {
        if let Some(session) = self.sessions.get_mut(worker) {
            session.health.exclude(now_ms);
        }
    }

    /// Returns every worker that is part of its pool, with its free capacity, sorted by name.
    pub fn workers(&self, table: &Table, now_ms: u64) -> Vec<Worker> {
        let mut workers = Vec::new();
        for (name, session) in &self.sessions {
            let heartbeat = &session.heartbeat;
            let silent_ms = now_ms.saturating_sub(session.last_heartbeat_ms);
            if silent_ms > MAX_SILENCE_IN_POOL_MS {
                continue;
            }
            let is_excluded = now_ms < session.health.excluded_until_ms;
            workers.push(Worker {
                name: name.clone(),
                incarnation: heartbeat.incarnation,
                pool: heartbeat.pool.clone(),
                zone: heartbeat.zone.clone(),
                rack: heartbeat.rack.clone(),
                labels: heartbeat.labels.clone(),
                capacity: heartbeat.capacity,
                free: session.free(name, table),
                is_open: !heartbeat.is_draining
                    && !self.leaving.contains_key(name)
                    && silent_ms < MAX_SILENCE_FOR_WORK_MS
                    && !is_excluded,
            });
        }
        workers
    }

    /// Minimum interval between heartbeats of a worker, in milliseconds, so that all workers
    /// together send no more than the leader can answer. The end of a run is still reported at
    /// once.
    pub fn min_heartbeat_interval_ms(&self) -> u64 {
        self.sessions.len() as u64 * 1_000 / MAX_HEARTBEATS_PER_S
    }

    /// Wakes the held heartbeat of a worker so that it is answered.
    pub fn wake(&self, worker: &str) {
        if let Some(session) = self.sessions.get(worker) {
            session.orders_ready.notify_one();
        }
    }

    /// Derives the orders for a worker from the table and the worker's latest heartbeat, and
    /// records the starts as sent.
    pub fn issue_orders(&mut self, worker: &str, table: &Table) -> Orders {
        let mut orders = Orders::default();
        let Some(session) = self.sessions.get_mut(worker) else { return orders };
        let heartbeat = &session.heartbeat;
        for end in &heartbeat.ended {
            // Ends are acknowledged in the order of the list, once the table has recorded them.
            if table.is_run_active(&end.task, end.run) {
                break;
            }
            orders.acknowledged = end.number;
        }
        for row in &heartbeat.running {
            let active = table.active_run(&row.task).filter(|active| {
                active.number == row.run
                    && active.worker == *worker
                    && active.incarnation == heartbeat.incarnation
            });
            if active.is_none_or(|active| active.is_stopping) {
                orders.stop.push((row.task, row.run));
            }
        }
        if heartbeat.is_draining {
            return orders;
        }
        for (task, run) in table.runs_on(worker) {
            let is_known =
                heartbeat.running.iter().any(|row| row.task == *task && row.run == run.number)
                    || heartbeat.ended.iter().any(|end| end.task == *task && end.run == run.number);
            if is_known || run.is_stopping || run.incarnation != heartbeat.incarnation {
                continue;
            }
            let Some(job) = table.live.get(&task.job) else { continue };
            let checkpoint = job.task(task).map(|task| task.checkpoint.clone()).unwrap_or_default();
            let payload = job.spec.payload.clone();
            orders.start.push(Start { task: *task, run: run.number, payload, checkpoint });
        }
        session.sent_starts = orders.start.iter().map(|start| (start.task, start.run)).collect();
        orders
    }
}

impl Session {
    /// Progress of a run in percent, if the worker has reported it.
    pub fn progress_percent(&self, task: &TaskId, run: u32) -> Option<u8> {
        let row = self.heartbeat.running.iter().find(|row| row.task == *task && row.run == run);
        row.map(|row| row.percent)
    }

    /// Whether the worker will leave before it could execute an order given now and report the
    /// result.
    pub fn is_about_to_leave(&self, now_ms: u64) -> bool {
        let Some(remaining_ms) = self.heartbeat.remaining_ms.filter(|_| self.heartbeat.is_draining)
        else {
            return false;
        };
        now_ms + EVACUATION_LEAD_MS >= self.last_heartbeat_ms + remaining_ms
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
                5..100 => ran_ms * (100 - percent) / percent,
                _ => 0,
            };
            next_ms = Some(next_ms.map_or(left_ms, |least_ms: u64| least_ms.min(left_ms)));
        }
        next_ms
    }

    fn checkpoint(&self, task: &TaskId, run: u32) -> &str {
        let row = self.heartbeat.running.iter().find(|row| row.task == *task && row.run == run);
        row.map_or("", |row| &row.checkpoint)
    }

    // Updates the worker's health and the progress of its runs from a new heartbeat.
    fn update_health(&mut self, heartbeat: &Heartbeat, ends: &[End], table: &Table, now_ms: u64) {
        for end in ends {
            match end.how {
                Exit::Failed => self.health.record_failure(now_ms),
                Exit::Done => self.health = Health::default(),
                _ => {}
            }
        }
        let mut progress = BTreeMap::new();
        for row in &heartbeat.running {
            let key = (row.task, row.run);
            let is_lasting = table.live.get(&row.task.job).is_some_and(|job| {
                job.spec.steps.get(row.task.step as usize).is_some_and(|step| step.is_lasting)
            });
            // A task of a gang that has done its share waits for the others and is not stuck.
            if is_lasting || row.percent >= 100 {
                continue;
            }
            let current = Progress { percent: row.percent, changed_ms: now_ms };
            let previous = self.progress.get(&key).copied().unwrap_or(current);
            let change = if previous.percent == row.percent { previous } else { current };
            progress.insert(key, change);
        }
        self.progress = progress;
    }

    // Free resources of the worker. Runs that the table no longer places there use theirs until the
    // worker reports that they ended.
    fn free(&self, worker: &str, table: &Table) -> Resources {
        let mut free = self.heartbeat.capacity;
        for (task, _) in table.runs_on(worker) {
            subtract_task(&mut free, task, table);
        }
        let running = self.heartbeat.running.iter().map(|row| (row.task, row.run));
        let mut others: Vec<(TaskId, u32)> = Vec::new();
        for (task, run) in running.chain(self.sent_starts.iter().copied()) {
            let active = table.active_run(&task);
            let is_counted =
                active.is_some_and(|active| active.number == run && active.worker == worker);
            if is_counted || others.contains(&(task, run)) {
                continue;
            }
            others.push((task, run));
            subtract_task(&mut free, &task, table);
        }
        free
    }
}

fn subtract_task(free: &mut Resources, task: &TaskId, table: &Table) {
    let step = table.job(task.job).and_then(|job| job.spec.steps.get(task.step as usize));
    if let Some(step) = step {
        free.subtract(&step.demand, step.is_filler);
    }
}

fn lapsed(task: TaskId, run: u32, checkpoint: &str) -> End {
    End { task, run, how: Exit::Lapsed, checkpoint: checkpoint.to_string() }
}

// Ends, according to a heartbeat, of the runs that the table places on its worker.
fn ends_of(heartbeat: &Heartbeat, table: &Table) -> Vec<End> {
    let mut ends = Vec::new();
    for (task, run) in table.runs_on(&heartbeat.worker) {
        if run.incarnation > heartbeat.incarnation {
            continue;
        }
        if run.incarnation < heartbeat.incarnation {
            // The worker has restarted and lost the runs of its earlier incarnation.
            ends.push(lapsed(*task, run.number, ""));
            continue;
        }
        let is_ended = heartbeat.ended.iter().any(|end| end.task == *task && end.run == run.number);
        let is_running =
            heartbeat.running.iter().any(|row| row.task == *task && row.run == run.number);
        let will_start = !run.is_stopping && !heartbeat.is_draining;
        if is_ended || is_running || will_start {
            continue;
        }
        // The start order never reached the worker and will not be sent again.
        ends.push(lapsed(*task, run.number, ""));
    }
    for end in &heartbeat.ended {
        let active = table.active_run(&end.task).filter(|active| {
            active.number == end.run
                && active.worker == heartbeat.worker
                && active.incarnation == heartbeat.incarnation
        });
        if active.is_none() {
            continue;
        }
        let checkpoint = end.checkpoint.clone();
        ends.push(End { task: end.task, run: end.run, how: end.how, checkpoint });
    }
    ends
}
