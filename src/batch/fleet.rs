//! What a leader knows of workers: heartbeats, leases, and how their runs go.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use tokio::sync::Notify;

use super::job::{Resources, TaskId};
use super::table::{End, Table};
use super::worker::{Exit, Heartbeat, Orders, Start};

/// Largest deviation of a worker's clock, as a divisor: 2% slow, and as much again in reserve.
const DRIFT: u64 = 25;
/// Reserve on top of a lease before its runs count as ended, in milliseconds: one late timer.
const SLACK_MS: u64 = 300;
/// Time after a worker's leave for which its last heartbeat is waited for, in milliseconds: the
/// longest that a worker waits for an answer before it sends the next one.
const LEAVE_MS: u64 = 1_000;
/// Time before a worker's leave at which its runs are stopped, in milliseconds: a round and a
/// heartbeat until it is told, 400 for the stop, and a heartbeat that lists the ends.
const EVACUATE_MS: u64 = 1_000;
/// Silence after which a worker gets no new work, in milliseconds: two missed heartbeats.
const SILENT_MS: u64 = 2_500;
/// Time without any progress after which a run counts as stuck, in milliseconds: a percent of a run
/// far from its data, and the restore of a checkpoint, take less.
const STUCK_MS: u64 = 1_500;
/// Failed runs in a row after which a worker counts as sick.
const FAILURES: u32 = 2;
/// Silence after which a worker no longer counts as part of its pool, in milliseconds: longer than
/// any lease.
const GONE_MS: u64 = 15_000;
/// Silence after which a worker is forgotten, in milliseconds; its runs were lost long before.
const FORGET_MS: u64 = 120_000;
/// Run time below which hardly any task ends, in milliseconds.
const EARLY_MS: u64 = 1_000;
/// First exclusion of a worker that failed or stalled a run, in milliseconds; it doubles.
const EXCLUDE_MS: u64 = 1_500;
/// Heartbeats that a leader answers in a second before it asks its workers for fewer: with them 0.4 of a core
/// is about two thirds busy, on the bench with 1,000 workers.
const BEATS_PER_S: u64 = 1_500;
/// Longest exclusion of a worker, in milliseconds.
const EXCLUDE_MAX_MS: u64 = 12_000;

/// Milliseconds after a heartbeat was heard until a lease granted for it has surely ended.
pub fn lease_bound_ms(lease_ms: u64) -> u64 {
    lease_ms + lease_ms / DRIFT + SLACK_MS
}

/// A worker as heard.
#[derive(Debug)]
pub struct Session {
    /// Latest heartbeat.
    pub heartbeat: Heartbeat,
    /// When it was heard, on the leader's clock, in milliseconds.
    pub last_heartbeat_ms: u64,
    /// When every lease granted to it has surely ended, in milliseconds.
    pub lease_until_ms: u64,
    /// Woken where the worker has orders.
    pub orders_ready: Arc<Notify>,
    // Given with the answer to the latest heartbeat.
    sent: BTreeSet<(TaskId, u32)>,
    watched: BTreeMap<(TaskId, u32), Watch>,
    health: Health,
}

/// How the runs of a worker ended lately.
#[derive(Clone, Copy, Debug, Default)]
struct Health {
    // Runs that failed since one was done.
    failures: u32,
    exclusions: u32,
    excluded_until_ms: u64,
}

impl Health {
    // A task that failed once may have failed by its own fault.
    fn fail(&mut self, now_ms: u64) {
        self.failures += 1;
        if self.failures >= FAILURES {
            self.exclude(now_ms);
        }
    }

    fn exclude(&mut self, now_ms: u64) {
        // Runs that end together are one event.
        if now_ms < self.excluded_until_ms {
            return;
        }
        let length_ms = EXCLUDE_MS << self.exclusions.min(4);
        self.exclusions += 1;
        self.excluded_until_ms = now_ms + length_ms.min(EXCLUDE_MAX_MS);
    }
}

/// Progress of a run, to tell one that is stuck.
#[derive(Clone, Copy, Debug)]
struct Watch {
    percent: u8,
    moved_ms: u64,
}

/// A worker that may take work, with the room that is left on it.
#[derive(Clone, Debug, PartialEq)]
pub struct Worker {
    /// Name.
    pub name: String,
    /// Incarnation.
    pub incarnation: u64,
    /// Pool.
    pub pool: String,
    /// Availability zone.
    pub zone: String,
    /// Rack.
    pub rack: String,
    /// Labels.
    pub labels: Vec<String>,
    /// What it has.
    pub capacity: Resources,
    /// What is left of it.
    pub free: Resources,
    /// Whether it takes new work.
    pub is_open: bool,
}

/// What a heartbeat meant.
#[derive(Debug, Default, PartialEq)]
pub struct Receipt {
    /// Whether it is older than what is known; then nothing of it counts.
    pub is_stale: bool,
    /// Ends to record.
    pub ends: Vec<End>,
}

/// All workers.
#[derive(Debug, Default)]
pub struct Fleet {
    sessions: BTreeMap<String, Session>,
    // Workers that said they leave, and when their runs count as lost.
    leaving: BTreeMap<String, u64>,
    // Incarnations that left; later heartbeats of them are late ones.
    left: BTreeMap<String, u64>,
}

impl Fleet {
    /// Takes a heartbeat and says what it means for the runs placed on the worker.
    pub fn receive(
        &mut self,
        beat: Heartbeat,
        table: &Table,
        lease_ms: u64,
        now_ms: u64,
    ) -> Receipt {
        let known = self.sessions.get(&beat.worker);
        let is_late = known.is_some_and(|session| {
            let held = &session.heartbeat;
            (beat.incarnation, beat.sequence) <= (held.incarnation, held.sequence)
        });
        let has_left = self.left.get(&beat.worker).is_some_and(|left| beat.incarnation <= *left);
        if is_late || has_left {
            return Receipt { is_stale: true, ends: Vec::new() };
        }
        let ends = ends_of(&beat, table);
        let bound_ms = now_ms + lease_bound_ms(lease_ms);
        let is_same =
            known.is_some_and(|session| session.heartbeat.incarnation == beat.incarnation);
        let worker = beat.worker.clone();
        if !is_same {
            // A newer incarnation of a worker that left is there to stay.
            self.leaving.remove(&worker);
            let session = Session {
                heartbeat: beat,
                last_heartbeat_ms: now_ms,
                lease_until_ms: bound_ms,
                orders_ready: Arc::new(Notify::new()),
                sent: BTreeSet::new(),
                watched: BTreeMap::new(),
                health: Health::default(),
            };
            self.sessions.insert(worker, session);
            return Receipt { is_stale: false, ends };
        }
        let Some(session) = self.sessions.get_mut(&worker) else { return Receipt::default() };
        session.judge(&beat, &ends, table, now_ms);
        session.heartbeat = beat;
        session.last_heartbeat_ms = now_ms;
        session.lease_until_ms = session.lease_until_ms.max(bound_ms);
        session.sent.clear();
        Receipt { is_stale: false, ends }
    }

    /// Notes that a worker leaves. Its last heartbeat may still be on its way with ends: its runs
    /// count as lost a little later.
    pub fn mark_leaving(&mut self, worker: &str, incarnation: Option<u64>, now_ms: u64) {
        let held = self.sessions.get(worker).map(|session| session.heartbeat.incarnation);
        if incarnation.zip(held).is_some_and(|(left, held)| left < held) {
            // A late word of an earlier life.
            return;
        }
        self.leaving.insert(worker.to_string(), now_ms + LEAVE_MS);
    }

    /// Forgets workers whose time after their leave is over, and those silent for very long.
    pub fn remove_departed(&mut self, now_ms: u64) {
        self.sessions.retain(|_, session| now_ms < session.last_heartbeat_ms + FORGET_MS);
        let gone = |until_ms: &u64| *until_ms <= now_ms;
        let workers: Vec<String> =
            self.leaving.iter().filter(|(_, at)| gone(at)).map(|(name, _)| name.clone()).collect();
        for worker in workers {
            self.leaving.remove(&worker);
            if let Some(session) = self.sessions.remove(&worker) {
                self.left.insert(worker, session.heartbeat.incarnation);
            }
        }
    }

    /// A worker as heard.
    pub fn session(&self, worker: &str) -> Option<&Session> {
        self.sessions.get(worker)
    }

    /// Runs whose workers were silent for so long that their leases have ended. Workers that this
    /// leader never heard count from `unheard_until_ms` on.
    pub fn lost_runs(&self, table: &Table, unheard_until_ms: u64, now_ms: u64) -> Vec<End> {
        let mut ends = Vec::new();
        for worker in table.occupied_workers() {
            let session = self.sessions.get(worker);
            let lease_ms = session.map_or(unheard_until_ms, |held| held.lease_until_ms);
            if now_ms < self.leaving.get(worker).copied().unwrap_or(lease_ms) {
                continue;
            }
            for (name, run) in table.runs_on(worker) {
                let saved = session.map_or("", |held| held.checkpoint(name, run.number));
                ends.push(lapsed(*name, run.number, saved));
            }
        }
        ends
    }

    /// Runs whose workers are heard and report no progress; silence says nothing about them.
    pub fn stuck_runs(&self, table: &Table) -> Vec<(TaskId, u32)> {
        let mut stuck = Vec::new();
        for session in self.sessions.values() {
            for ((name, run), watch) in &session.watched {
                if session.last_heartbeat_ms < watch.moved_ms + STUCK_MS {
                    continue;
                }
                let held = table.active_run(name).filter(|held| held.number == *run);
                if held.is_some_and(|held| !held.is_stopping) {
                    stuck.push((*name, *run));
                }
            }
        }
        stuck
    }

    /// Runs that must stop now, since their workers are about to leave: an end in the last moment
    /// before that is never listed, and what is lost with a worker may have been done.
    pub fn runs_to_evacuate(&self, table: &Table, now_ms: u64) -> Vec<(TaskId, u32)> {
        let mut runs = Vec::new();
        for (worker, session) in &self.sessions {
            if !session.is_about_to_leave(now_ms) {
                continue;
            }
            let placed = table.runs_on(worker).filter(|(_, run)| !run.is_stopping);
            runs.extend(placed.map(|(name, run)| (*name, run.number)));
        }
        runs
    }

    /// Gives a worker no work for a while, since a run on it is stuck.
    pub fn exclude(&mut self, worker: &str, now_ms: u64) {
        if let Some(session) = self.sessions.get_mut(worker) {
            session.health.exclude(now_ms);
        }
    }

    /// Every worker that was heard lately, with the room that is left on it, sorted by name.
    pub fn workers(&self, table: &Table, now_ms: u64) -> Vec<Worker> {
        let mut places = Vec::new();
        for (worker, session) in &self.sessions {
            let beat = &session.heartbeat;
            let silent_ms = now_ms.saturating_sub(session.last_heartbeat_ms);
            if silent_ms > GONE_MS {
                continue;
            }
            let is_excluded = now_ms < session.health.excluded_until_ms;
            places.push(Worker {
                name: worker.clone(),
                incarnation: beat.incarnation,
                pool: beat.pool.clone(),
                zone: beat.zone.clone(),
                rack: beat.rack.clone(),
                labels: beat.labels.clone(),
                capacity: beat.capacity,
                free: session.free(worker, table),
                is_open: !beat.is_draining
                    && !self.leaving.contains_key(worker)
                    && silent_ms < SILENT_MS
                    && !is_excluded,
            });
        }
        places
    }

    /// Least time between two heartbeats of a worker, in milliseconds, so that all together are no more
    /// than a leader can answer; an end is told at once all the same.
    pub fn min_heartbeat_interval_ms(&self) -> u64 {
        self.sessions.len() as u64 * 1_000 / BEATS_PER_S
    }

    /// Wakes the held heartbeat of a worker.
    pub fn wake(&self, worker: &str) {
        if let Some(session) = self.sessions.get(worker) {
            session.orders_ready.notify_one();
        }
    }

    /// Orders for a worker, from the table and its latest heartbeat.
    pub fn issue_orders(&mut self, worker: &str, table: &Table) -> Orders {
        let mut orders = Orders::default();
        let Some(session) = self.sessions.get_mut(worker) else { return orders };
        let beat = &session.heartbeat;
        for end in &beat.ended {
            // An end is acknowledged once the table has it, in the order of the list.
            if table.is_run_active(&end.task, end.run) {
                break;
            }
            orders.acknowledged = end.number;
        }
        for row in &beat.running {
            let held = table.active_run(&row.task).filter(|held| {
                held.number == row.run
                    && held.worker == *worker
                    && held.incarnation == beat.incarnation
            });
            if held.is_none_or(|held| held.is_stopping) {
                orders.stop.push((row.task, row.run));
            }
        }
        if beat.is_draining {
            return orders;
        }
        for (name, run) in table.runs_on(worker) {
            let is_known =
                beat.running.iter().any(|row| row.task == *name && row.run == run.number)
                    || beat.ended.iter().any(|end| end.task == *name && end.run == run.number);
            if is_known || run.is_stopping || run.incarnation != beat.incarnation {
                continue;
            }
            let Some(job) = table.live.get(&name.job) else { continue };
            let checkpoint = job.task(name).map(|task| task.checkpoint.clone()).unwrap_or_default();
            let payload = job.spec.payload.clone();
            orders.start.push(Start { task: *name, run: run.number, payload, checkpoint });
        }
        session.sent = orders.start.iter().map(|start| (start.task, start.run)).collect();
        orders
    }
}

impl Session {
    /// Progress of a run in percent, where the worker has reported it.
    pub fn progress_percent(&self, name: &TaskId, run: u32) -> Option<u8> {
        let row = self.heartbeat.running.iter().find(|row| row.task == *name && row.run == run);
        row.map(|row| row.percent)
    }

    /// Whether the time that the worker has left is over before what is told it now is listed.
    pub fn is_about_to_leave(&self, now_ms: u64) -> bool {
        let Some(remaining_ms) = self.heartbeat.remaining_ms.filter(|_| self.heartbeat.is_draining)
        else {
            return false;
        };
        now_ms + EVACUATE_MS >= self.last_heartbeat_ms + remaining_ms
    }

    /// Whether the worker runs nothing and has nothing left to report.
    pub fn is_idle(&self) -> bool {
        self.heartbeat.running.is_empty() && self.heartbeat.ended.is_empty()
    }

    /// Milliseconds until one of its runs may end, judged by their progress; `None` where nothing
    /// runs that can end by itself.
    pub fn next_end_ms(&self, table: &Table, wall_ms: u64) -> Option<u64> {
        // A worker that leaves may do so at any moment, and lists no end while a heartbeat is held.
        if self.heartbeat.is_draining {
            return Some(0);
        }
        let mut next = None;
        for row in &self.heartbeat.running {
            let Some(run) = table.active_run(&row.task) else { return Some(0) };
            let ran_ms = wall_ms.saturating_sub(run.placed_ms);
            let done = u64::from(row.percent);
            // The first percents tell too little; a gang whose share is done ends with the others.
            let left_ms = match done {
                0..5 => EARLY_MS.saturating_sub(ran_ms),
                5..100 => ran_ms * (100 - done) / done,
                _ => 0,
            };
            next = Some(next.map_or(left_ms, |held: u64| held.min(left_ms)));
        }
        next
    }

    fn checkpoint(&self, name: &TaskId, run: u32) -> &str {
        let row = self.heartbeat.running.iter().find(|row| row.task == *name && row.run == run);
        row.map_or("", |row| &row.checkpoint)
    }

    // Judges the worker by what became of its runs since the last heartbeat.
    fn judge(&mut self, beat: &Heartbeat, ends: &[End], table: &Table, now_ms: u64) {
        for end in ends {
            match end.how {
                Exit::Failed => self.health.fail(now_ms),
                Exit::Done => self.health = Health::default(),
                _ => {}
            }
        }
        let mut watched = BTreeMap::new();
        for row in &beat.running {
            let key = (row.task, row.run);
            let is_lasting = table.live.get(&row.task.job).is_some_and(|job| {
                job.spec.steps.get(row.task.step as usize).is_some_and(|step| step.is_lasting)
            });
            // A member of a gang that has done its share waits for the others.
            if is_lasting || row.percent >= 100 {
                continue;
            }
            let fresh = Watch { percent: row.percent, moved_ms: now_ms };
            let held = self.watched.get(&key).copied().unwrap_or(fresh);
            let kept = if held.percent == row.percent { held } else { fresh };
            watched.insert(key, kept);
        }
        self.watched = watched;
    }

    // Runs that the table no longer places there still take room until the worker lists their end.
    fn free(&self, worker: &str, table: &Table) -> Resources {
        let mut free = self.heartbeat.capacity;
        for (name, _) in table.runs_on(worker) {
            take(&mut free, name, table);
        }
        let running = self.heartbeat.running.iter().map(|row| (row.task, row.run));
        let mut others: Vec<(TaskId, u32)> = Vec::new();
        for (name, run) in running.chain(self.sent.iter().copied()) {
            let held = table.active_run(&name);
            let is_counted = held.is_some_and(|held| held.number == run && held.worker == worker);
            if is_counted || others.contains(&(name, run)) {
                continue;
            }
            others.push((name, run));
            take(&mut free, &name, table);
        }
        free
    }
}

fn take(free: &mut Resources, name: &TaskId, table: &Table) {
    let step = table.job(name.job).and_then(|job| job.spec.steps.get(name.step as usize));
    if let Some(step) = step {
        free.subtract(&step.demand, step.is_filler);
    }
}

fn lapsed(task: TaskId, run: u32, checkpoint: &str) -> End {
    End { task, run, how: Exit::Lapsed, checkpoint: checkpoint.to_string() }
}

// What the heartbeat says of the runs that the table has on this worker.
fn ends_of(beat: &Heartbeat, table: &Table) -> Vec<End> {
    let mut ends = Vec::new();
    for (name, run) in table.runs_on(&beat.worker) {
        if run.incarnation > beat.incarnation {
            continue;
        }
        if run.incarnation < beat.incarnation {
            // The worker started again and holds nothing of before.
            ends.push(lapsed(*name, run.number, ""));
            continue;
        }
        let is_listed = beat.ended.iter().any(|end| end.task == *name && end.run == run.number);
        let is_running = beat.running.iter().any(|row| row.task == *name && row.run == run.number);
        let is_kept = !run.is_stopping && !beat.is_draining;
        if is_listed || is_running || is_kept {
            continue;
        }
        // Never arrived, and is not told again.
        ends.push(lapsed(*name, run.number, ""));
    }
    for end in &beat.ended {
        let held = table.active_run(&end.task).filter(|held| {
            held.number == end.run
                && held.worker == beat.worker
                && held.incarnation == beat.incarnation
        });
        if held.is_none() {
            continue;
        }
        let checkpoint = end.checkpoint.clone();
        ends.push(End { task: end.task, run: end.run, how: end.how, checkpoint });
    }
    ends
}
