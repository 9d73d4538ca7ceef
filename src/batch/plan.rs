//! Who runs where, now: a pure decision over the table, the workers and what runs there.

mod candidate;
mod evict;
mod reserve;
mod seat;

use std::collections::{BTreeMap, BTreeSet};

use super::estimate::Estimates;
use super::fleet::{Fleet, Worker};
use super::job::{Id, Resources, Step, TaskId};
use super::table::{Round, Start, Table};
use candidate::Shape;
pub use candidate::{Candidate, candidates};
use evict::Evictor;
use seat::Seats;

/// Age of a claim on room that evictions free, in milliseconds, after which it lapses: an eviction
/// takes a heartbeat and a stop.
const CLAIM_MS: u64 = 2_500;
/// Age of a claim after which a guarantee at its last call makes room elsewhere, in milliseconds: by
/// then the workers of the first choice have not answered.
const UNANSWERED_MS: u64 = 900;
/// Candidates for which evictions are sought in one decision; it bounds the time of a decision.
const EVICTIONS: usize = 6;
/// Gangs for which room is held back from less urgent work in one decision.
const RESERVATIONS: usize = 5;

/// What a decision looks at.
#[derive(Clone, Copy)]
pub struct View<'a> {
    /// Jobs and configuration.
    pub table: &'a Table,
    /// Workers.
    pub fleet: &'a Fleet,
    /// Learned run times.
    pub estimates: &'a Estimates,
    /// Times of the platform that the workers run on.
    pub times: Times,
    /// Leader's clock for heartbeats, in milliseconds.
    pub now_ms: u64,
    /// Wall clock, in milliseconds since 1970.
    pub wall_ms: u64,
}

/// Times that placement weighs.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// How many times as long a task takes away from its data or on more than one rack.
    pub remote_factor: u64,
    /// Between checkpoints of a run, in milliseconds.
    pub checkpoint_interval_ms: u64,
    /// Time that a resumed run takes before it goes on, in milliseconds.
    pub restore_ms: u64,
    /// Time within which guaranteed work of priority 0 must have begun, in milliseconds.
    pub reclaim_ms: u64,
}

/// Identity of a step that waits: job, occurrence, step.
pub type StepId = (Id, u32, u32);

/// Why a candidate did or didn't get seats; for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// Step.
    pub step: StepId,
    /// Tasks that got seats.
    pub placed: usize,
    /// Runs that are stopped for it.
    pub evicted: Vec<(TaskId, u32)>,
    /// Expected run time of its tasks, in milliseconds.
    pub run_ms: u64,
    /// Time left until it must begin to complete on time, in milliseconds; negative where it is late.
    pub slack_ms: i64,
    /// Outcome in words.
    pub reason: &'static str,
}

/// A decision.
#[derive(Debug, Default)]
pub struct Plan {
    /// What to commit.
    pub round: Round,
    /// One line for each candidate that got seats or evictions.
    pub explanations: Vec<Explanation>,
    /// Candidates that wait.
    pub waiting: usize,
    /// Of these, the ones that are too late to be of use.
    pub expired: usize,
    /// Share of each pool's accelerators (or cores, where it has none) that is in use.
    pub utilization: BTreeMap<String, f64>,
}

/// What a planner remembers between decisions.
#[derive(Debug, Default)]
pub struct Planner {
    claims: BTreeMap<StepId, Claim>,
}

#[derive(Debug)]
struct Claim {
    made_ms: u64,
    // Tasks to be seated, by worker.
    seats: BTreeMap<String, u64>,
}

/// The workers as a decision fills them.
struct Board<'a> {
    view: View<'a>,
    places: Vec<Worker>,
    racks: BTreeMap<(String, String), Vec<usize>>,
    used: BTreeMap<String, f64>,
}

impl<'a> Board<'a> {
    fn new(view: View<'a>) -> Self {
        let places = view.fleet.workers(view.table, view.now_ms);
        let mut racks: BTreeMap<_, Vec<usize>> = BTreeMap::new();
        let mut sums: BTreeMap<String, (u64, u64)> = BTreeMap::new();
        for (at, place) in places.iter().enumerate() {
            let sum = sums.entry(place.pool.clone()).or_default();
            let (free, capacity) = weight(&place.free, &place.capacity);
            sum.0 += free;
            sum.1 += capacity;
            if place.is_open {
                let key = (place.pool.clone(), place.rack.clone());
                racks.entry(key).or_default().push(at);
            }
        }
        let share = |(free, all): (u64, u64)| 1.0 - free as f64 / all.max(1) as f64;
        let used = sums.into_iter().map(|(pool, sum)| (pool, share(sum))).collect();
        Self { view, places, racks, used }
    }

    // Share of a pool's accelerators (or cores, where it has none) that is in use.
    fn used(&self, pool: &str) -> f64 {
        self.used.get(pool).copied().unwrap_or(1.0)
    }

    fn take(&mut self, place: usize, demand: &Resources, is_filler: bool, count: u64) {
        for _ in 0..count {
            self.places[place].free.subtract(demand, is_filler);
        }
    }
}

/// Racks that may hold the step together, each a group of places.
fn groups(board: &Board<'_>, candidate: &Candidate<'_>) -> Vec<Vec<usize>> {
    let step = candidate.step;
    let of_pool = board.racks.iter().filter(|(key, _)| key.0 == candidate.job.terms.pool);
    if candidate.is_last_call(&board.view) {
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

/// Whether these places could hold a step if they were empty: the whole of a gang, one task of
/// another step.
fn holds<'a>(places: impl Iterator<Item = &'a Worker>, step: &Step) -> bool {
    let wanted = if step.is_gang { u64::from(step.count) } else { 1 };
    let mut total = 0u64;
    for place in places {
        if !seat::has_label(place, &step.label) {
            continue;
        }
        let mut fits = place.capacity.count_fitting(&step.demand, step.is_filler);
        if step.per_worker > 0 {
            fits = fits.min(step.per_worker.into());
        }
        total = total.saturating_add(fits);
    }
    total >= wanted
}

/// The first step that no worker of a pool, however empty, could hold. A pool without any worker
/// says nothing.
pub fn find_unsatisfiable_step(places: &[Worker], pool: &str, steps: &[Step]) -> Option<usize> {
    let of_pool = || places.iter().filter(|place| place.pool == pool);
    of_pool().next()?;
    steps.iter().position(|step| !holds(of_pool(), step))
}

fn weight(free: &Resources, capacity: &Resources) -> (u64, u64) {
    if capacity.accelerators > 0 {
        return (free.accelerators.into(), capacity.accelerators.into());
    }
    (free.cpu_milli, capacity.cpu_milli)
}

impl Planner {
    /// Decides what starts and stops now.
    pub fn decide(&mut self, view: View<'_>) -> Plan {
        let candidates = candidates(&view);
        self.forget(view.now_ms, &candidates);
        let mut draft = Draft::new(view);
        draft.plan.expired = candidates.iter().filter(|candidate| candidate.is_hopeless).count();
        for candidate in &candidates {
            if draft.is_in_vain(candidate) && !self.claims.contains_key(&candidate.key) {
                draft.plan.waiting += 1;
                continue;
            }
            let seats = seat::find(&draft.board, candidate);
            if !seats.is_empty() {
                self.claims.remove(&candidate.key);
                place(&mut draft.board, candidate, &seats, &mut draft.plan);
            }
            if seats.count() >= candidate.tasks.len() {
                continue;
            }
            draft.plan.waiting += 1;
            draft.failed.insert(candidate.shape());
            if let Some(claim) = self.claim(candidate, &view) {
                hold_back(&mut draft.board, candidate, &claim.seats);
                continue;
            }
            let may_evict = seats.is_empty() && candidate.may_evict(&view);
            if let Some(seats) = may_evict.then(|| draft.evict(candidate)).flatten() {
                self.claims.insert(candidate.key, Claim { made_ms: view.now_ms, seats });
                continue;
            }
            draft.reserve(candidate);
        }
        draft.plan
    }

    // The room that a candidate waits for, unless it can't wait for it any longer.
    fn claim(&self, candidate: &Candidate<'_>, view: &View<'_>) -> Option<&Claim> {
        let claim = self.claims.get(&candidate.key)?;
        let is_unanswered = view.now_ms >= claim.made_ms + UNANSWERED_MS;
        (!candidate.is_last_call(view) || !is_unanswered).then_some(claim)
    }

    fn forget(&mut self, now_ms: u64, candidates: &[Candidate<'_>]) {
        let keys: BTreeSet<StepId> = candidates.iter().map(|candidate| candidate.key).collect();
        self.claims.retain(|key, claim| now_ms < claim.made_ms + CLAIM_MS && keys.contains(key));
    }
}

/// A decision in the making.
struct Draft<'a> {
    view: View<'a>,
    board: Board<'a>,
    evictor: Evictor<'a>,
    plan: Plan,
    searches: usize,
    reserved: usize,
    // Room only shrinks within a decision: what found none need not be tried again.
    failed: BTreeSet<Shape>,
}

impl<'a> Draft<'a> {
    fn new(view: View<'a>) -> Self {
        let board = Board::new(view);
        let plan = Plan { utilization: board.used.clone(), ..Plan::default() };
        let failed = BTreeSet::new();
        Self { view, board, evictor: Evictor::new(view), plan, searches: 0, reserved: 0, failed }
    }

    // Whether one like it found no room, and it may not make room either.
    fn is_in_vain(&self, candidate: &Candidate<'_>) -> bool {
        self.failed.contains(&candidate.shape()) && !candidate.may_evict(&self.view)
    }

    // Stops less urgent runs for a step, and keeps the room that they leave.
    fn evict(&mut self, candidate: &Candidate<'_>) -> Option<BTreeMap<String, u64>> {
        if self.searches >= EVICTIONS {
            return None;
        }
        self.searches += 1;
        let found = self.evictor.find(&self.board, candidate)?;
        let verdict = candidate.verdict(&self.view, 0, "stops less urgent runs");
        self.plan.explanations.push(Explanation { evicted: found.victims.clone(), ..verdict });
        self.plan.round.stops.extend(found.victims);
        hold_back(&mut self.board, candidate, &found.seats);
        Some(found.seats)
    }

    // Keeps room for a gang from the less urgent work that comes after it.
    fn reserve(&mut self, candidate: &Candidate<'_>) {
        let is_due = candidate.step.is_gang && !candidate.is_hopeless;
        // Room that is held back for what never fits would stand empty.
        if !is_due || self.reserved >= RESERVATIONS || !seat::could_fit(&self.board, candidate) {
            return;
        }
        self.reserved += 1;
        if let Some(held) = reserve::find(&self.board, candidate) {
            hold_back(&mut self.board, candidate, &held);
        }
    }
}

fn place(board: &mut Board<'_>, candidate: &Candidate<'_>, seats: &Seats, plan: &mut Plan) {
    let (job, occurrence, step) = candidate.key;
    let number = candidate.next_run();
    let mut tasks = candidate.tasks.iter();
    for (at, count) in &seats.places {
        board.take(*at, &candidate.step.demand, candidate.step.is_filler, *count);
        let place = &board.places[*at];
        for index in tasks.by_ref().take(*count as usize) {
            let name = TaskId { job, occurrence, step, index: *index };
            let run = number.unwrap_or_else(|| candidate.progress.tasks[*index as usize].runs + 1);
            plan.round.starts.push(Start {
                task: name,
                run,
                worker: place.name.clone(),
                incarnation: place.incarnation,
            });
        }
    }
    plan.explanations.push(candidate.verdict(&board.view, seats.count(), seats.reason));
}

fn hold_back(board: &mut Board<'_>, candidate: &Candidate<'_>, seats: &BTreeMap<String, u64>) {
    for at in 0..board.places.len() {
        let Some(count) = seats.get(&board.places[at].name) else { continue };
        board.take(at, &candidate.step.demand, candidate.step.is_filler, *count);
    }
}
