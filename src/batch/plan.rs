//! Who runs where, now: a pure decision over the table, the workers and what runs there.

mod candidate;
mod evict;
mod seat;

use std::collections::{BTreeMap, BTreeSet};

use super::estimate::Estimates;
use super::fleet::{Fleet, Place};
use super::job::{Demand, Id, Name};
use super::table::{Round, Start, Table};
pub use candidate::{Candidate, candidates};
use evict::Evictor;
use seat::Seats;

/// Age of a claim on room that evictions free, in milliseconds, after which it lapses: an eviction
/// takes a heartbeat and a stop.
const CLAIM_MS: u64 = 2_500;
/// Candidates for which evictions are sought in one decision; it bounds the time of a decision.
const EVICTIONS: usize = 6;
/// Gangs for which room is held back from less urgent work in one decision.
const RESERVATIONS: usize = 2;

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
    pub checkpoint_ms: u64,
    /// Time that a resumed run takes before it goes on, in milliseconds.
    pub restore_ms: u64,
    /// Time within which guaranteed work of priority 0 must have begun, in milliseconds.
    pub reclaim_ms: u64,
}

/// Identity of a step that waits: job, occurrence, step.
pub type Key = (Id, u32, u32);

/// Why a candidate did or didn't get seats; for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Verdict {
    /// Step.
    pub key: Key,
    /// Tasks that got seats.
    pub seated: usize,
    /// Runs that are stopped for it.
    pub evicted: Vec<(Name, u32)>,
    /// Outcome in words.
    pub reason: &'static str,
}

/// A decision.
#[derive(Debug, Default)]
pub struct Plan {
    /// What to commit.
    pub round: Round,
    /// One line for each candidate that got seats or evictions.
    pub verdicts: Vec<Verdict>,
    /// Candidates that wait.
    pub waiting: usize,
    /// Of these, the ones that are too late to be of use.
    pub hopeless: usize,
    /// Share of each pool's accelerators (or cores, where it has none) that is in use.
    pub used: BTreeMap<String, f64>,
}

/// What a planner remembers between decisions.
#[derive(Debug, Default)]
pub struct Planner {
    claims: BTreeMap<Key, Claim>,
}

#[derive(Debug)]
struct Claim {
    until_ms: u64,
    // Tasks to be seated, by worker.
    seats: BTreeMap<String, u64>,
}

/// The workers as a decision fills them.
struct Board<'a> {
    view: View<'a>,
    places: Vec<Place>,
    racks: BTreeMap<(String, String), Vec<usize>>,
    used: BTreeMap<String, f64>,
}

impl<'a> Board<'a> {
    fn new(view: View<'a>) -> Self {
        let places = view.fleet.places(view.table, view.now_ms);
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

    fn take(&mut self, place: usize, demand: &Demand, is_filler: bool, count: u64) {
        for _ in 0..count {
            self.places[place].free.take(demand, is_filler);
        }
    }
}

fn weight(free: &Demand, capacity: &Demand) -> (u64, u64) {
    if capacity.accelerators > 0 {
        return (free.accelerators.into(), capacity.accelerators.into());
    }
    (free.cpu_milli, capacity.cpu_milli)
}

impl Planner {
    /// Decides what starts and stops now.
    pub fn decide(&mut self, view: View<'_>) -> Plan {
        let mut plan = Plan::default();
        let mut board = Board::new(view);
        let mut evictor = Evictor::new(view);
        let mut searches = 0;
        let mut reserved = 0;
        // Room only shrinks within a decision: what found none need not be tried again.
        let mut failed = BTreeSet::new();
        let candidates = candidates(&view);
        self.forget(view.now_ms, &candidates);
        plan.hopeless = candidates.iter().filter(|candidate| candidate.is_hopeless).count();
        plan.used.clone_from(&board.used);
        for candidate in &candidates {
            let shape = candidate.shape();
            if failed.contains(&shape) && !self.claims.contains_key(&candidate.key) {
                plan.waiting += 1;
                if !candidate.may_evict(&view) {
                    continue;
                }
            }
            let seats = seat::find(&board, candidate);
            if !seats.is_empty() {
                self.claims.remove(&candidate.key);
                place(&mut board, candidate, &seats, &mut plan);
            }
            if seats.count() >= candidate.tasks.len() {
                continue;
            }
            plan.waiting += 1;
            failed.insert(shape);
            if let Some(claim) = self.claims.get(&candidate.key) {
                hold_back(&mut board, candidate, &claim.seats);
                continue;
            }
            if seats.is_empty() && candidate.may_evict(&view) && searches < EVICTIONS {
                searches += 1;
                if let Some(found) = evictor.find(&board, candidate) {
                    let verdict = Verdict {
                        key: candidate.key,
                        seated: 0,
                        evicted: found.victims.clone(),
                        reason: "stops less urgent runs",
                    };
                    plan.verdicts.push(verdict);
                    plan.round.stops.extend(found.victims);
                    hold_back(&mut board, candidate, &found.seats);
                    let until_ms = view.now_ms + CLAIM_MS;
                    self.claims.insert(candidate.key, Claim { until_ms, seats: found.seats });
                    continue;
                }
            }
            if candidate.step.is_gang && !candidate.is_hopeless && reserved < RESERVATIONS {
                reserved += 1;
                if let Some(held) = seat::reserve(&board, candidate) {
                    hold_back(&mut board, candidate, &held);
                }
            }
        }
        plan
    }

    fn forget(&mut self, now_ms: u64, candidates: &[Candidate<'_>]) {
        let keys: BTreeSet<Key> = candidates.iter().map(|candidate| candidate.key).collect();
        self.claims.retain(|key, claim| now_ms < claim.until_ms && keys.contains(key));
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
            let name = Name { job, occurrence, step, index: *index };
            let run = number.unwrap_or_else(|| candidate.progress.tasks[*index as usize].runs + 1);
            plan.round.starts.push(Start {
                task: name,
                run,
                worker: place.worker.clone(),
                incarnation: place.incarnation,
            });
        }
    }
    let reason = seats.reason;
    plan.verdicts.push(Verdict {
        key: candidate.key,
        seated: seats.count(),
        evicted: Vec::new(),
        reason,
    });
}

fn hold_back(board: &mut Board<'_>, candidate: &Candidate<'_>, seats: &BTreeMap<String, u64>) {
    for at in 0..board.places.len() {
        let Some(count) = seats.get(&board.places[at].worker) else { continue };
        board.take(at, &candidate.step.demand, candidate.step.is_filler, *count);
    }
}
