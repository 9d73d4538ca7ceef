//! Placement decisions for batch jobs: which tasks start and which runs stop.
//!
//! A decision depends only on the job table, the fleet and the learned run times.

mod allocation;
mod backlog;
mod candidate;
mod evict;
mod fairness;
mod foresight;
mod limit;
mod neighbour;
mod outlook;
mod preference;
mod reserve;

use std::cell::OnceCell;
use std::collections::{BTreeMap, BTreeSet};

use super::admission::Backlog;
use super::estimate::Estimates;
use super::fleet::{Fleet, Worker};
use super::job::{Id, Resources, Step, TaskId};
use super::table::{Round, Start, Table};
use allocation::Allocation;
use candidate::Class;
pub use candidate::{Candidate, candidates, longest_path_ms, startable_tasks};
use evict::{Evictor, Selection};
pub use fairness::Excess;
use foresight::{Ending, Keeps};
use neighbour::Neighbours;
use outlook::Release;

/// Age at which a pending eviction expires and its capacity is no longer held, in milliseconds. An
/// eviction takes one heartbeat and the stop of the run.
const EVICTION_TIMEOUT_MS: u64 = 2_500;
/// Age of a pending eviction after which a step whose guarantee is critical looks for capacity
/// elsewhere, in milliseconds: the workers chosen first have not responded by then.
const EVICTION_RESPONSE_MS: u64 = 900;
/// Maximum number of eviction searches in one decision; bounds the time that a decision takes.
const MAX_EVICTION_SEARCHES: usize = 6;
/// Number of starts after which a decision is cut short: committing them takes so little time that an
/// urgent job which arrives meanwhile need not wait for a backlog to be placed.
const MAX_STARTS: usize = 2_000;
/// Maximum number of gangs for which one decision reserves capacity ahead of less urgent work.
const MAX_RESERVATIONS: usize = 5;

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

/// Workers with the capacity that is left during a decision.
struct Cluster<'a> {
    view: View<'a>,
    // Sorted by name.
    workers: Vec<Worker<'a>>,
    // Open workers by pool and rack.
    racks: BTreeMap<(&'a str, &'a str), Vec<usize>>,
    // Workers that are excluded for failures, by pool.
    excluded: BTreeMap<&'a str, Vec<usize>>,
    utilization: BTreeMap<&'a str, f64>,
    // What the runs on each worker are expected to free; worked out when it is first needed.
    releases: Vec<OnceCell<Vec<Release>>>,
    // Like `releases`, as far as stops can be spared for them.
    endings: Vec<OnceCell<Vec<Ending>>>,
    // What was withdrawn from each worker beyond its free capacity: it is taken from what its runs free.
    owed: Vec<Resources>,
    // Workers whose room goes to urgent work only.
    kept: Vec<bool>,
    // How much longer than on average runs take on each worker, as a factor; looked up on first use.
    slowdowns: Vec<OnceCell<f64>>,
    neighbours: Neighbours,
}

impl<'a> Cluster<'a> {
    fn new(view: View<'a>, keeps: &Keeps) -> Self {
        let workers = view.fleet.workers(view.table, view.now_ms);
        let mut racks: BTreeMap<_, Vec<usize>> = BTreeMap::new();
        let mut excluded: BTreeMap<_, Vec<usize>> = BTreeMap::new();
        let mut sums: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
        for (at, worker) in workers.iter().enumerate() {
            if !worker.is_confirmed {
                continue;
            }
            let sum = sums.entry(worker.pool).or_default();
            let (free, capacity) = utilization_amounts(&worker.free, &worker.capacity);
            sum.0 = sum.0.saturating_add(free);
            sum.1 = sum.1.saturating_add(capacity);
            if worker.is_open {
                let key = (worker.pool, worker.rack);
                racks.entry(key).or_default().push(at);
            }
            if worker.is_excluded {
                excluded.entry(worker.pool).or_default().push(at);
            }
        }
        let share = |(free, total): (u64, u64)| 1.0 - free as f64 / total.max(1) as f64;
        let utilization = sums.into_iter().map(|(pool, sum)| (pool, share(sum))).collect();
        let releases = workers.iter().map(|_| OnceCell::new()).collect();
        let endings = workers.iter().map(|_| OnceCell::new()).collect();
        let owed = vec![Resources::default(); workers.len()];
        let kept = workers.iter().map(|worker| keeps.contains(worker.name, view.now_ms)).collect();
        let slowdowns = workers.iter().map(|_| OnceCell::new()).collect();
        let neighbours = Neighbours::new(&view, workers.len());
        Self {
            view,
            workers,
            racks,
            excluded,
            utilization,
            releases,
            endings,
            owed,
            kept,
            slowdowns,
            neighbours,
        }
    }

    // Factor by which runs take longer than average on a worker.
    fn slowdown(&self, worker: usize) -> f64 {
        let location = self.workers[worker].location();
        *self.slowdowns[worker].get_or_init(|| self.view.estimates.slowdown_at(&location))
    }

    // Share of a pool's accelerators (or cores, if it has none) that is in use.
    fn utilization(&self, pool: &str) -> f64 {
        self.utilization.get(pool).copied().unwrap_or(1.0)
    }

    fn position(&self, worker: &str) -> Option<usize> {
        self.workers.binary_search_by_key(&worker, |known| known.name).ok()
    }

    fn allocate(&mut self, worker: usize, demand: &Resources, is_filler: bool, count: u64) {
        for _ in 0..count {
            let mut missing = *demand;
            if is_filler {
                missing.cpu_milli = 0;
            }
            self.workers[worker].free.settle(&mut missing);
            self.owed[worker].add(&missing, false);
        }
        self.workers[worker].runs += count;
    }
}

/// Groups of workers, each of which may hold the whole step: racks if the step is bound to one,
/// otherwise the whole pool.
fn worker_groups(cluster: &Cluster<'_>, candidate: &Candidate<'_>) -> Vec<Vec<usize>> {
    let step = candidate.step;
    let of_pool = cluster.racks.iter().filter(|(key, _)| key.0 == candidate.job.terms.pool);
    if candidate.is_guarantee_critical(&cluster.view) {
        return vec![of_pool.flat_map(|(_, members)| members.clone()).collect()];
    }
    if !step.data_rack.is_empty() {
        let near = of_pool.filter(|(key, _)| key.1 == step.data_rack);
        return near.map(|(_, members)| members.clone()).collect();
    }
    if step.is_rack_local {
        return of_pool.map(|(_, members)| members.clone()).collect();
    }
    vec![of_pool.flat_map(|(_, members)| members.clone()).collect()]
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

// Free and total amount of the resource by which utilization is measured.
fn utilization_amounts(free: &Resources, capacity: &Resources) -> (u64, u64) {
    if capacity.accelerators > 0 {
        return (free.accelerators.into(), capacity.accelerators.into());
    }
    (free.cpu_milli, capacity.cpu_milli)
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
            if let Some(eviction) = self.pending_eviction(candidate, &view) {
                hold_capacity(&mut decision.cluster, candidate, &eviction.slots);
                continue;
            }
            let may_evict = allocation.is_empty() && candidate.may_evict(&view);
            match may_evict.then(|| decision.make_room(candidate)).flatten() {
                Some(selection) if selection.runs.is_empty() => decision.plan.promised += 1,
                Some(Selection { slots, freed, .. }) => {
                    let workers = freed.into_iter().map(|(worker, _)| worker);
                    self.keeps.extend(workers, view.now_ms);
                    let eviction = Eviction { started_ms: view.now_ms, slots };
                    self.evictions.insert(candidate.id, eviction);
                }
                None if allocation.is_empty() => {
                    let placed = decision.place_on_excluded(candidate, allowed);
                    runs.spend(placed);
                    if placed == 0 {
                        decision.reserve(candidate);
                    }
                }
                None => decision.reserve(candidate),
            }
        }
        decision.plan
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

/// State of a decision in progress.
struct Decision<'a> {
    view: View<'a>,
    cluster: Cluster<'a>,
    evictor: Evictor<'a>,
    plan: Plan,
    eviction_searches: usize,
    reservations: usize,
    // Free capacity only shrinks within a decision, so a class that did not fit once is not tried
    // again.
    unplaceable: BTreeSet<Class<'a>>,
}

impl<'a> Decision<'a> {
    fn new(view: View<'a>, keeps: &Keeps) -> Self {
        let cluster = Cluster::new(view, keeps);
        let utilization =
            cluster.utilization.iter().map(|(pool, share)| (pool.to_string(), *share));
        let excluded_workers = cluster.excluded.values().map(Vec::len).sum();
        let utilization = utilization.collect();
        let plan = Plan { utilization, excluded_workers, ..Plan::default() };
        let unplaceable = BTreeSet::new();
        Self {
            view,
            cluster,
            evictor: Evictor::new(view),
            plan,
            eviction_searches: 0,
            reservations: 0,
            unplaceable,
        }
    }

    // Whether an equivalent candidate did not fit, and this one may not evict others.
    fn is_unplaceable(&self, candidate: &Candidate<'_>) -> bool {
        self.unplaceable.contains(&candidate.equivalence_class())
            && !candidate.may_evict(&self.view)
    }

    fn cut_short(&mut self, candidates_left: usize) {
        self.plan.waiting += candidates_left;
        self.plan.is_cut_short = true;
    }

    // Holds capacity for a step that other runs free: soon by themselves, or because they are evicted.
    fn make_room(&mut self, candidate: &Candidate<'_>) -> Option<Selection> {
        if self.eviction_searches >= MAX_EVICTION_SEARCHES {
            return None;
        }
        let found = self.evictor.find(&self.cluster, candidate);
        let is_promise = found.as_ref().is_some_and(|found| found.runs.is_empty());
        if !is_promise {
            self.eviction_searches += 1;
        }
        let found = found?;
        hold_capacity(&mut self.cluster, candidate, &found.slots);
        for (worker, demand) in &found.freed {
            if let Some(at) = self.cluster.position(worker) {
                self.cluster.owed[at].subtract(demand, false);
            }
        }
        if is_promise {
            return Some(found);
        }
        let is_guarantee_due = candidate.is_guarantee_due(&self.view);
        let reason =
            if is_guarantee_due { "reclaims its guarantee" } else { "stops less urgent runs" };
        let explanation = candidate.explain(&self.view, 0, reason);
        self.plan.explanations.push(Explanation { evicted: found.runs.clone(), ..explanation });
        self.plan.round.stops.extend(found.runs.iter().copied());
        Some(found)
    }

    // Places a step whose guarantee can't be kept otherwise on workers that are excluded for failures, as
    // far as the open ones have no room. Returns how many of its tasks were placed.
    fn place_on_excluded(&mut self, candidate: &Candidate<'_>, allowed: usize) -> usize {
        if !candidate.is_guarantee_critical(&self.view) {
            return 0;
        }
        let mut allocation = allocation::find_among_all(&self.cluster, candidate);
        allocation.truncate(allowed as u64);
        if !allocation.is_empty() {
            place(&mut self.cluster, candidate, &allocation, &mut self.plan);
        }
        if allocation.count() >= candidate.tasks.len() {
            self.plan.waiting -= 1;
        }
        allocation.count()
    }

    // Reserves capacity for a gang ahead of the less urgent candidates that follow.
    fn reserve(&mut self, candidate: &Candidate<'_>) {
        let is_useful = candidate.step.is_gang && !candidate.is_expired;
        // Capacity reserved for a gang that can never fit would stay idle.
        if !is_useful
            || self.reservations >= MAX_RESERVATIONS
            || !allocation::fits_empty_pool(&self.cluster, candidate)
        {
            return;
        }
        self.reservations += 1;
        if let Some(slots) = reserve::find(&self.cluster, candidate) {
            hold_capacity(&mut self.cluster, candidate, &slots);
        }
    }
}

fn place(
    cluster: &mut Cluster<'_>,
    candidate: &Candidate<'_>,
    allocation: &Allocation,
    plan: &mut Plan,
) {
    let (job, occurrence, step) = candidate.id;
    let gang_run = candidate.next_gang_run();
    let mut tasks = candidate.tasks.iter();
    for (at, count) in &allocation.slots {
        cluster.allocate(*at, &candidate.step.demand, candidate.step.is_filler, *count);
        cluster.neighbours.add(*at, &cluster.view, candidate);
        let worker = &cluster.workers[*at];
        for index in tasks.by_ref().take(*count as usize) {
            let task = TaskId { job, occurrence, step, index };
            let run = gang_run.unwrap_or_else(|| candidate.progress.tasks[index as usize].runs + 1);
            plan.round.starts.push(Start {
                task,
                run,
                worker: worker.name.to_string(),
                incarnation: worker.incarnation,
            });
        }
    }
    plan.explanations.push(candidate.explain(&cluster.view, allocation.count(), allocation.reason));
}

// Withdraws capacity from the candidates that follow without starting anything on it.
fn hold_capacity(
    cluster: &mut Cluster<'_>,
    candidate: &Candidate<'_>,
    slots: &BTreeMap<String, u64>,
) {
    for (worker, count) in slots {
        let Some(at) = cluster.position(worker) else { continue };
        cluster.allocate(at, &candidate.step.demand, candidate.step.is_filler, *count);
    }
}
