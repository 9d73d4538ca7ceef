//! Placement decisions for batch jobs: which tasks start and which runs stop.
//!
//! A decision depends only on the job table, the fleet and the learned run times.

mod allocation;
mod backlog;
mod candidate;
mod cluster;
mod decision;
mod evict;
mod fairness;
mod foresight;
mod limit;
mod neighbour;
mod outlook;
mod preference;
mod reserve;

use std::collections::{BTreeMap, BTreeSet};

use super::admission::Backlog;
use super::estimate::Estimates;
use super::fleet::{Fleet, Worker};
use super::job::{Id, Step, TaskId};
use super::table::{Round, Table};
pub use candidate::{Candidate, candidates, longest_path_ms, startable_tasks};
use cluster::{Cluster, worker_groups};
use decision::{Decision, hold_capacity, place};
pub use fairness::Excess;
use foresight::Keeps;

/// Age at which a pending eviction expires and its capacity is no longer held, in milliseconds. An
/// eviction takes one heartbeat and the stop of the run.
const EVICTION_TIMEOUT_MS: u64 = 2_500;
/// Age of a pending eviction after which a step whose guarantee is critical looks for capacity
/// elsewhere, in milliseconds: the workers chosen first have not responded by then.
const EVICTION_RESPONSE_MS: u64 = 900;
/// Number of starts after which a decision is cut short: committing them takes so little time that an
/// urgent job which arrives meanwhile need not wait for a backlog to be placed.
const MAX_STARTS: usize = 2_000;

/// Input of a decision.
#[derive(Clone, Copy)]
pub struct View<'a> {
    /// Jobs and configuration.
    pub table: &'a Table,
    /// Workers that have sent heartbeats.
    pub fleet: &'a Fleet,
    /// Learned run times.
    pub estimates: &'a Estimates,
    /// Timing parameters of the platform that the workers run on.
    pub times: Times,
    /// Clock that the leader uses for heartbeats, in milliseconds.
    pub now_ms: u64,
    /// Wall clock, in milliseconds since 1970.
    pub wall_ms: u64,
}

/// Timing parameters that placement takes into account.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// Factor by which a task slows down when it runs away from its data or on more than one rack.
    pub remote_factor: u64,
    /// Interval between checkpoints of a run, in milliseconds.
    pub checkpoint_interval_ms: u64,
    /// Time that a resumed run takes to restore its checkpoint, in milliseconds.
    pub restore_ms: u64,
    /// Time within which guaranteed work of priority 0 must have started, in milliseconds.
    pub reclaim_ms: u64,
    /// Whether the learned speed of workers, the pace of runs and the customers' own run times count.
    pub are_speeds_used: bool,
    /// Whether urgent steps wait for runs that are expected to end soon instead of stopping others.
    pub are_ends_awaited: bool,
}

/// Identifies a waiting step: job, occurrence, step.
pub type StepId = (Id, u32, u32);

/// Why a candidate was placed or caused evictions; written to the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// Step that was considered.
    pub step: StepId,
    /// Number of tasks that were placed.
    pub placed: usize,
    /// Runs that are evicted for the step.
    pub evicted: Vec<(TaskId, u32)>,
    /// Expected run time of its tasks, in milliseconds.
    pub run_ms: u64,
    /// Time until the step must start for its job to complete on time, in milliseconds; negative if
    /// it is late.
    pub slack_ms: i64,
    /// Reason, as it appears in the log.
    pub reason: &'static str,
}

/// Result of a decision.
#[derive(Debug, Default)]
pub struct Plan {
    /// Changes to commit.
    pub round: Round,
    /// One entry for each candidate that was placed or caused evictions.
    pub explanations: Vec<Explanation>,
    /// Number of candidates that still wait.
    pub waiting: usize,
    /// Number of these that wait, since so many runs are placed already.
    pub beyond_limit: usize,
    /// Number of these that wait for runs to end instead of stopping others.
    pub promised: usize,
    /// Whether the decision was cut short, so that the next one is due at once.
    pub is_cut_short: bool,
    /// Number of candidates that are too late for their result to be of use.
    pub expired: usize,
    /// Share of each pool's accelerators (or cores, if it has none) that is in use.
    pub utilization: BTreeMap<String, f64>,
    /// Number of workers that get no new work, since runs failed there.
    pub excluded_workers: usize,
    /// Customers whose jobs yield to others', since the pool is too small for all.
    pub excess: Vec<Excess>,
    /// Work that waited before the decision, by pool.
    pub backlogs: BTreeMap<String, Backlog>,
}

/// Decides on placements and keeps track of pending evictions between decisions.
#[derive(Debug)]
pub struct Planner {
    evictions: BTreeMap<StepId, Eviction>,
    keeps: Keeps,
    max_runs: u64,
}

impl Default for Planner {
    fn default() -> Self {
        Self { evictions: BTreeMap::new(), keeps: Keeps::default(), max_runs: u64::MAX }
    }
}

/// A pending eviction: capacity that is held for a step until the evicted runs have stopped.
#[derive(Debug)]
struct Eviction {
    started_ms: u64,
    // Number of tasks to place, by worker.
    slots: BTreeMap<String, u64>,
}

/// Whether these workers could hold a step if they were empty: all tasks of a gang, or one task of
/// any other step.
fn can_hold<'a>(workers: impl Iterator<Item = &'a Worker<'a>>, step: &Step) -> bool {
    let required = if step.is_gang { u64::from(step.count) } else { 1 };
    let mut total = 0u64;
    for worker in workers {
        if !allocation::has_label(worker, &step.label) {
            continue;
        }
        let mut fitting = worker.capacity.count_fitting(&step.demand, step.is_filler);
        if step.per_worker > 0 {
            fitting = fitting.min(step.per_worker.into());
        }
        total = total.saturating_add(fitting);
    }
    total >= required
}

/// Returns the first step that the workers of a pool could not hold even if they were empty; `None`
/// if the pool has no workers, since its capacity is unknown then.
pub fn find_unsatisfiable_step(
    workers: &[Worker<'_>],
    pool: &str,
    steps: &[Step],
) -> Option<usize> {
    let of_pool = || workers.iter().filter(|worker| worker.pool == pool && worker.is_confirmed);
    of_pool().next()?;
    steps.iter().position(|step| !can_hold(of_pool(), step))
}

impl Planner {
    /// Limits the runs that are placed on all workers at the same time.
    #[must_use]
    pub fn with_max_runs(self, max_runs: u64) -> Self {
        Self { max_runs, ..self }
    }

    /// Decides which tasks start and which runs stop now.
    pub fn decide(&mut self, view: View<'_>) -> Plan {
        let mut candidates = candidates(&view);
        self.remove_stale_evictions(view.now_ms, &candidates);
        self.keeps.remove_expired(view.now_ms);
        let mut decision = Decision::new(view, &self.keeps);
        let mut runs = limit::Budget::new(&view, self.max_runs);
        decision.plan.excess = fairness::mark_excess(&mut candidates, &decision.cluster);
        candidate::sort(&mut candidates, &view);
        decision.plan.backlogs = backlog::collect(&candidates, &decision.cluster);
        decision.plan.expired = candidates.iter().filter(|candidate| candidate.is_expired).count();
        for (at, candidate) in candidates.iter().enumerate() {
            let starts_left = MAX_STARTS.saturating_sub(decision.plan.round.starts.len());
            if starts_left == 0 {
                decision.cut_short(candidates.len() - at);
                break;
            }
            if decision.is_unplaceable(candidate) && !self.evictions.contains_key(&candidate.id) {
                decision.plan.waiting += 1;
                continue;
            }
            let allowed = runs.for_candidate(candidate) as usize;
            if allowed == 0 {
                decision.plan.waiting += 1;
                decision.plan.beyond_limit += 1;
                continue;
            }
            let mut allocation = allocation::find(&decision.cluster, candidate);
            let is_limited = !candidate.step.is_gang && allocation.count() > starts_left;
            allocation.truncate(if is_limited { starts_left.min(allowed) } else { allowed } as u64);
            if !allocation.is_empty() {
                self.evictions.remove(&candidate.id);
                runs.spend(allocation.count());
                place(&mut decision.cluster, candidate, &allocation, &mut decision.plan);
            }
            if is_limited {
                decision.cut_short(candidates.len() - at);
                break;
            }
            if allocation.count() >= candidate.tasks.len() {
                continue;
            }
            decision.plan.waiting += 1;
            if allocation.count() == allowed {
                decision.plan.beyond_limit += 1;
                continue;
            }
            decision.unplaceable.insert(candidate.equivalence_class());
            if allocation.is_empty() {
                let placed = self.make_room(&mut decision, candidate, allowed);
                runs.spend(placed);
            }
        }
        decision.plan
    }

    // Looks for room for a candidate that finds no free capacity. Returns how many of its tasks were placed
    // after all.
    fn make_room(
        &mut self,
        decision: &mut Decision<'_>,
        candidate: &Candidate<'_>,
        allowed: usize,
    ) -> usize {
        let view = decision.view;
        if let Some(eviction) = self.pending_eviction(candidate, &view) {
            hold_capacity(&mut decision.cluster, candidate, &eviction.slots);
            return 0;
        }
        let may_evict = candidate.may_evict(&view);
        let Some(selection) = may_evict.then(|| decision.make_room(candidate)).flatten() else {
            let placed = decision.place_on_excluded(candidate, allowed);
            if placed == 0 {
                decision.reserve(candidate);
            }
            return placed;
        };
        if selection.runs.is_empty() {
            decision.plan.promised += 1;
            return 0;
        }
        let workers = selection.freed.into_iter().map(|(worker, _)| worker);
        self.keeps.extend(workers, view.now_ms);
        let eviction = Eviction { started_ms: view.now_ms, slots: selection.slots };
        self.evictions.insert(candidate.id, eviction);
        0
    }

    // The eviction that a candidate waits for; `None` if its guarantee leaves no more time to wait.
    fn pending_eviction(&self, candidate: &Candidate<'_>, view: &View<'_>) -> Option<&Eviction> {
        let eviction = self.evictions.get(&candidate.id)?;
        let is_overdue = view.now_ms >= eviction.started_ms + EVICTION_RESPONSE_MS;
        (!candidate.is_guarantee_critical(view) || !is_overdue).then_some(eviction)
    }

    // Removes evictions that timed out or whose step no longer waits.
    fn remove_stale_evictions(&mut self, now_ms: u64, candidates: &[Candidate<'_>]) {
        let ids: BTreeSet<StepId> = candidates.iter().map(|candidate| candidate.id).collect();
        self.evictions.retain(|id, eviction| {
            now_ms < eviction.started_ms + EVICTION_TIMEOUT_MS && ids.contains(id)
        });
    }
}
