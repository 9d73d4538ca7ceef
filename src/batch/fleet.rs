//! The leader's view of workers: heartbeats, leases, and the health of their runs.

mod begun;
mod crash_loop;
mod failure;
mod former;
mod health;
mod leave;
mod orders;
mod outcomes;
mod pending;
mod presumed;
mod progress;
mod session;
mod throttling;

use std::collections::{BTreeMap, BTreeSet};

use super::estimate::Estimates;
use super::job::{Id, Progress, Resources, TaskId};
use super::pace::Rate;
use super::speed::Location;
use super::table::{self, End, Table};
use super::throttle;
use super::worker::{Exit, Heartbeat, Stamp};
use leave::Leave;
pub use outcomes::Verdict;
use pending::Ends;
pub use session::Session;

/// Divisor of a lease for the assumed clock drift of a worker: a clock that is 2% slow, doubled as
/// a safety margin.
const CLOCK_DRIFT_DIVISOR: u64 = 25;
/// Margin after a lease before its runs count as ended, in milliseconds: allows for one late timer.
const LEASE_MARGIN_MS: u64 = 300;
/// Time without a heartbeat after which a worker gets no new work, in milliseconds: two missed
/// heartbeats.
const MAX_SILENCE_FOR_WORK_MS: u64 = 2_500;
/// Time without a heartbeat after which a worker no longer counts as part of its pool, in
/// milliseconds: longer than any lease.
const MAX_SILENCE_IN_POOL_MS: u64 = 15_000;
/// Maximum number of ended runs in one heartbeat: while there are more, a run that is not listed may
/// have ended.
const MAX_REPORTED_ENDS: usize = 500;

/// Time from the receipt of a heartbeat until a lease granted for it has certainly expired, in
/// milliseconds.
pub fn lease_bound_ms(lease_ms: u64) -> u64 {
    lease_ms + lease_ms / CLOCK_DRIFT_DIVISOR + LEASE_MARGIN_MS
}

/// A worker as placement sees it, with its free capacity.
#[derive(Clone, Debug, PartialEq)]
pub struct Worker<'a> {
    /// Unique name of the worker.
    pub name: &'a str,
    /// Incarnation from the latest heartbeat.
    pub incarnation: u64,
    /// Pool that the worker belongs to.
    pub pool: &'a str,
    /// Availability zone.
    pub zone: &'a str,
    /// Rack in which the worker is.
    pub rack: &'a str,
    /// Labels by which steps select workers.
    pub labels: &'a [String],
    /// Total resources.
    pub capacity: Resources,
    /// Free resources.
    pub free: Resources,
    /// Number of runs that are placed on the worker.
    pub runs: u64,
    /// Whether the worker is known to exist. Its capacity counts only then: a single heartbeat may be
    /// another writer's.
    pub is_confirmed: bool,
    /// Whether the worker takes new work.
    pub is_open: bool,
    /// Whether it would, but for the runs that failed there.
    pub is_excluded: bool,
}

impl<'a> Worker<'a> {
    /// Where the worker is.
    pub fn location(&self) -> Location<'a> {
        Location { zone: self.zone, rack: self.rack, worker: self.name }
    }
}

/// Result of receiving a heartbeat.
#[derive(Debug, Default, PartialEq)]
pub struct Receipt {
    /// Whether the heartbeat is ignored: it is older than one already received, of an incarnation that
    /// left, or another writer's.
    pub is_ignored: bool,
    /// Ends of runs to record.
    pub ends: Vec<End>,
    /// What follows from those that failed.
    pub verdict: Verdict,
}

/// All workers.
#[derive(Debug, Default)]
pub struct Fleet {
    term: u64,
    sessions: BTreeMap<String, Session>,
    // Workers that announced their leave.
    leaving: BTreeMap<String, Leave>,
    // Last incarnations of workers that left; their delayed heartbeats are ignored.
    departed: BTreeMap<String, u64>,
    // How often each task was stopped as stuck.
    stalls: BTreeMap<TaskId, u32>,
    // Ends that this leader has learned of or inferred. Their runs get no orders but to stop, since
    // the tasks may start elsewhere as soon as the ends are recorded.
    pending_ends: Ends,
    presumed: presumed::Runs,
    failures: failure::History,
    crash_loops: crash_loop::Tracker,
    // Live jobs of which a worker has reported a run that began.
    begun: BTreeSet<Id>,
    // When every lease that an earlier leader granted has expired.
    takeover_until_ms: u64,
    throttle_times: throttle::Times,
}

impl Fleet {
    /// An empty fleet of the leader of a term.
    pub fn of_term(term: u64) -> Self {
        Self { term, ..Self::default() }
    }

    /// Sets the timing by which tasks that fill workers are paced.
    #[must_use]
    pub fn with_throttle_times(self, throttle_times: throttle::Times) -> Self {
        Self { throttle_times, ..self }
    }

    /// Term of the leader whose view this is.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Receives a heartbeat and returns which runs placed on the worker have ended.
    pub fn receive(
        &mut self,
        mut heartbeat: Heartbeat,
        table: &Table,
        lease_ms: u64,
        now_ms: u64,
    ) -> Receipt {
        let known = self.sessions.get(&heartbeat.worker);
        let is_late = known.is_some_and(|session| {
            heartbeat.stamp() <= session.heartbeat.stamp()
                && !session.is_replaced_by(&heartbeat, table, now_ms)
        });
        let has_left =
            self.departed.get(&heartbeat.worker).is_some_and(|left| heartbeat.incarnation <= *left);
        if is_late || has_left || self.is_foreign(&heartbeat, table) {
            return Receipt { is_ignored: true, ..Receipt::default() };
        }
        // Runs are looked up by their task: a worker may have thousands.
        heartbeat.running.sort_by_key(|row| (row.task, row.run));
        let lease_until_ms = now_ms + lease_bound_ms(lease_ms);
        let worker = heartbeat.worker.clone();
        if known.is_none_or(|session| session.heartbeat.incarnation != heartbeat.incarnation) {
            // The announced leave was that of an earlier incarnation.
            self.leaving.remove(&worker);
            let mut session = Session::new(heartbeat.clone(), now_ms, lease_until_ms);
            session.resume_pace(table, now_ms);
            if let Some(previous) = self.sessions.get(&worker) {
                session.former.add(&previous.heartbeat, &previous.former, table);
            }
            self.sessions.insert(worker.clone(), session);
        }
        let Some(session) = self.sessions.get_mut(&worker) else { return Receipt::default() };
        session.forget_ended_runs(table);
        session.update_currency(&heartbeat);
        let leave = self.leaving.get(&worker);
        if leave.is_some_and(|leave| session.is_after_answer_since(&heartbeat, leave.announced_ms))
        {
            // The worker is still there: an earlier incarnation has announced the leave.
            self.leaving.remove(&worker);
        }
        let ends = session.ends_in(&heartbeat, table);
        session.update_progress(&heartbeat, table, now_ms);
        let verdict = self.record_outcomes(&heartbeat, &ends, table, now_ms);
        let Some(session) = self.sessions.get_mut(&worker) else { return Receipt::default() };
        session.update(heartbeat, now_ms, lease_until_ms);
        session.update_throttle(table, self.throttle_times, now_ms);
        self.presumed.extend(&session.heartbeat, lease_until_ms);
        ends.iter().for_each(|end| self.pending_ends.add(end.clone()));
        self.record_begun(&worker, table);
        Receipt { is_ignored: false, ends, verdict }
    }

    // Whether a heartbeat under the name of a worker, with a pool that is not in use, is another writer's. The
    // workers of a pool that was in use finish their work.
    fn is_foreign(&self, heartbeat: &Heartbeat, table: &Table) -> bool {
        if table.uses_pool(&heartbeat.pool) {
            return false;
        }
        match self.session(&heartbeat.worker) {
            Some(session) => session.heartbeat.pool != heartbeat.pool,
            None => table.count_runs_on(&heartbeat.worker) > 0,
        }
    }

    /// Records the runs that this leader is about to place. Their start orders come from this leader
    /// alone, so that a later heartbeat without them shows that they did not arrive.
    pub fn record_starts(&mut self, starts: &[table::Start]) {
        for start in starts {
            if let Some(session) = self.sessions.get_mut(&start.worker) {
                session.record_start(start.task, start.run);
            }
        }
    }

    /// Records that the worker's heartbeat with this stamp was answered.
    pub fn record_answer(&mut self, worker: &str, stamp: Stamp, now_ms: u64) {
        if let Some(session) = self.sessions.get_mut(worker) {
            session.record_answer(stamp, now_ms);
        }
    }

    /// The session of a worker, if this leader has received a heartbeat of it.
    pub fn session(&self, worker: &str) -> Option<&Session> {
        self.sessions.get(worker)
    }

    /// Updates the estimates with the runs of a worker whose pace its latest heartbeat has shown.
    pub fn learn_paces(&mut self, worker: &str, table: &Table, estimates: &mut Estimates) {
        if let Some(session) = self.sessions.get_mut(worker) {
            session.learn_paces(table, estimates);
        }
    }

    /// As [`Fleet::session`], to be changed.
    pub fn session_mut(&mut self, worker: &str) -> Option<&mut Session> {
        self.sessions.get_mut(worker)
    }

    /// Returns the ends of runs whose workers' leases have expired, or that left, and of runs on silent
    /// workers that were never ordered there, or are of a gang and must have ended there. The leases of
    /// workers that have sent this leader no
    /// heartbeat expire at `default_lease_until_ms`.
    pub fn lost_runs(&self, table: &Table, default_lease_until_ms: u64, now_ms: u64) -> Vec<End> {
        let mut ends = Vec::new();
        for worker in table.occupied_workers() {
            let session = self.sessions.get(worker);
            let lease_until_ms =
                session.map_or(default_lease_until_ms, |known| known.lease_until_ms);
            // A worker that still sends heartbeats will report how the run ended.
            let is_silent = session
                .is_some_and(|known| now_ms >= known.last_heartbeat_ms + MAX_SILENCE_FOR_WORK_MS);
            for (task, run) in table.runs_on(worker) {
                let is_lost = match self.leave_of(worker, run) {
                    Some(leave) => leave.is_over(now_ms),
                    None => now_ms >= lease_until_ms,
                };
                let is_over = || {
                    session.is_some_and(|known| known.is_unsent(task, run.number))
                        || table.has_ended_unreported(task, run)
                };
                let has_ended = is_lost || (is_silent && is_over());
                if !has_ended {
                    continue;
                }
                let checkpoint = session.map_or("", |known| known.checkpoint(task, run.number));
                ends.push(lapsed(*task, run.number, checkpoint));
            }
        }
        ends
    }

    /// Returns the ends to record: those that workers reported, and those of [`Fleet::lost_runs`]. From
    /// now on the leader treats all these runs as ended, and returns their ends again until the table has
    /// recorded them.
    pub fn pending_ends(
        &mut self,
        table: &Table,
        default_lease_until_ms: u64,
        now_ms: u64,
    ) -> Vec<End> {
        self.takeover_until_ms = default_lease_until_ms;
        self.pending_ends.remove_recorded(table);
        self.begun.retain(|job| table.live.contains_key(job));
        self.presumed.remove_settled(table, now_ms);
        for end in self.lost_runs(table, default_lease_until_ms, now_ms) {
            if let Some(lease_until_ms) = self.open_lease_ms(&end, table, now_ms) {
                self.presumed.add(end.task, end.run, lease_until_ms);
            }
            self.pending_ends.add(end);
        }
        self.pending_ends.iter().cloned().collect()
    }

    // When the lease of the run's worker has certainly expired, if it has not and the worker has not left.
    fn open_lease_ms(&self, end: &End, table: &Table, now_ms: u64) -> Option<u64> {
        let run = table.active_run(&end.task)?;
        let session =
            self.sessions.get(&run.worker).filter(|_| self.leave_of(&run.worker, run).is_none())?;
        (now_ms < session.lease_until_ms).then_some(session.lease_until_ms)
    }

    /// Runs of a step's tasks that have failed or may have, as pairs of task index and run, though the
    /// table has not recorded it: it is being committed, or the worker may still report it. `step` is any
    /// task of the step.
    pub fn unrecorded_failures(&self, step: &TaskId) -> Vec<(u32, u32)> {
        let reported = self.pending_ends.of_step(step).filter(|end| end.how == Exit::Failed);
        let reported = reported.map(|end| (end.task.index, end.run));
        reported.chain(self.presumed.of_step(step)).collect()
    }

    /// Runs of a gang's tasks that an earlier leader may have presumed ended, as pairs of task index and
    /// run; none once all leases that it granted have expired.
    pub fn inherited_lapses(&self, progress: &Progress, now_ms: u64) -> Vec<(u32, u32)> {
        if now_ms >= self.takeover_until_ms {
            return Vec::new();
        }
        let tasks = (0..).zip(progress.tasks.begun());
        tasks.flat_map(|(index, task)| task.lapsed_runs().map(move |run| (index, run))).collect()
    }

    /// Returns runs whose workers send heartbeats but report no progress for far longer than the
    /// expected time for one percent. Workers without recent heartbeats are left out: the state of
    /// their runs is unknown. Runs away from their data take `remote_factor` times as long.
    pub fn stuck_runs(
        &self,
        table: &Table,
        estimates: &Estimates,
        remote_factor: u64,
    ) -> Vec<(TaskId, u32)> {
        let mut stuck = Vec::new();
        for session in self.sessions.values() {
            for ((task, run), progress) in &session.progress {
                if progress.is_recent(session.last_heartbeat_ms) {
                    continue;
                }
                let active = table.active_run(task).filter(|active| active.number == *run);
                if active.is_none_or(|active| active.is_stopping) {
                    continue;
                }
                let expected_ms = session.expected_run_ms(task, table, estimates, remote_factor);
                let stalls = self.stalls.get(task).copied().unwrap_or(0);
                let timeout_ms = progress.timeout_ms(expected_ms, stalls);
                if progress.stalled_ms(session.last_heartbeat_ms) >= timeout_ms {
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

    /// Returns every worker that is part of its pool, with its free capacity, sorted by name.
    pub fn workers(&self, table: &Table, now_ms: u64) -> Vec<Worker<'_>> {
        let mut workers = Vec::new();
        for (name, session) in &self.sessions {
            let heartbeat = &session.heartbeat;
            let silent_ms = now_ms.saturating_sub(session.last_heartbeat_ms);
            if silent_ms > MAX_SILENCE_IN_POOL_MS {
                continue;
            }
            let may_take_work = session.is_confirmed()
                && !session.is_closed(table)
                && !self.leaving.contains_key(name)
                && silent_ms < MAX_SILENCE_FOR_WORK_MS;
            let is_excluded = may_take_work && self.is_excluded(name, session, table, now_ms);
            workers.push(Worker {
                name,
                incarnation: heartbeat.incarnation,
                pool: &heartbeat.pool,
                zone: &heartbeat.zone,
                rack: &heartbeat.rack,
                labels: &heartbeat.labels,
                capacity: heartbeat.capacity,
                free: session.free(name, table),
                runs: table.count_runs_on(name),
                is_confirmed: session.is_confirmed(),
                is_open: may_take_work && !is_excluded,
                is_excluded,
            });
        }
        self.limit_exclusions(&mut workers, table, now_ms);
        workers
    }

    /// Shortest interval between heartbeats of a worker, in milliseconds, at a rate for the whole fleet.
    /// The end of a run is still reported at once, and a worker that is unconfirmed, or has
    /// unconfirmed runs or tasks near their latency target, is not slowed down.
    pub fn min_heartbeat_interval_ms(&self, worker: &str, rate: Rate) -> u64 {
        let may_be_slowed = |session: &Session| {
            session.is_confirmed() && !session.has_unconfirmed_runs && !session.is_strained()
        };
        if self.session(worker).is_some_and(|session| !may_be_slowed(session)) {
            return 0;
        }
        rate.interval_ms(self.sessions.len())
    }

    /// Number of workers with a session.
    pub fn size(&self) -> usize {
        self.sessions.len()
    }

    /// Wakes the held heartbeat of a worker so that it is answered.
    pub fn wake(&self, worker: &str) {
        if let Some(session) = self.sessions.get(worker) {
            session.orders_ready.notify_one();
        }
    }

    /// Whether the latest answer to a worker left no room for some of its orders.
    pub fn has_more_orders(&self, worker: &str) -> bool {
        self.session(worker).is_some_and(|session| session.has_more_orders)
    }
}

fn lapsed(task: TaskId, run: u32, checkpoint: &str) -> End {
    End { task, run, how: Exit::Lapsed, checkpoint: checkpoint.to_string() }
}
