//! Refusal of jobs that certainly can't be served in time, and the order in which their callers return.

use std::collections::BTreeMap;

use super::document::{Document, Terms};
use super::job::{Id, Resources};
use super::share::{Share, weight};
use super::table::Table;

/// Multiple of the time allowed for a job after which its result is of no more use to the caller.
const EXPIRY_FACTOR: u64 = 3;
/// Part of the expected run times that is taken as certain: estimates may be twice too high.
const CERTAIN_PART: f64 = 0.5;
/// Time after a caller's return is due during which its place is kept, in milliseconds: retries of
/// clients that round the delay up or are busy.
const PLACE_GRACE_MS: u64 = 5_000;
/// Time for which a job that was proposed and not committed is known, in milliseconds: longer than clients
/// resend it.
const UNKNOWN_OUTCOME_MS: u64 = 300_000;
/// Maximum number of places; further refused jobs get none.
const MAX_PLACES: usize = 1_024;
/// Maximum delay that a caller is told, in milliseconds: the load is likely to be another one then.
const MAX_DELAY_MS: u64 = 60_000;

/// Waiting work of a pool, by priority class and customer. Work is the share of the pool that it needs,
/// times milliseconds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Backlog {
    capacity: Resources,
    work: BTreeMap<u32, BTreeMap<String, Waiting>>,
}

/// Waiting work of a customer in one class.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Waiting {
    // Work of jobs that can still be on time. The others yield to them.
    on_time: Share,
    late: Share,
}

impl Backlog {
    /// An empty backlog of a pool with this capacity.
    pub fn new(capacity: Resources) -> Self {
        Self { capacity, work: BTreeMap::new() }
    }

    /// Work of `count` tasks, in shares of the pool times milliseconds.
    pub fn work(&self, demand: &Resources, is_filler: bool, count: u64, run_ms: u64) -> Share {
        Share::of(demand, is_filler, count, &self.capacity).scaled(run_ms as f64)
    }

    /// Adds waiting work.
    pub fn add(&mut self, priority: u32, customer: &str, work: Share, is_late: bool) {
        let class = self.work.entry(priority).or_default();
        let waiting = class.entry(customer.to_string()).or_default();
        if is_late {
            waiting.late += work;
        } else {
            waiting.on_time += work;
        }
    }

    // Work that is certainly done before a job, if customers take turns: what is more urgent, what its own
    // customer has waiting in the class, and of the other customers as much as that and the job, by weight.
    fn ahead_of(
        &self,
        request: &Request<'_>,
        waiting: &BTreeMap<&str, Share>,
        document: &Document,
    ) -> Share {
        let own = waiting.get(request.customer).copied().unwrap_or_default();
        let own_level = (own + request.work).dominant() / weight(document, request.customer);
        let mut ahead = own;
        for urgent in
            self.work.range(..request.terms.priority).flat_map(|(_, class)| class.values())
        {
            ahead += urgent.on_time;
            ahead += urgent.late;
        }
        for (other, work) in waiting.iter().filter(|(other, _)| **other != request.customer) {
            let level = work.dominant() / weight(document, other);
            let part = if level > own_level { own_level / level } else { 1.0 };
            ahead += work.scaled(part);
        }
        ahead
    }

    fn on_time(&self, priority: u32) -> BTreeMap<&str, Share> {
        let class = self.work.get(&priority).into_iter().flatten();
        class.map(|(customer, waiting)| (customer.as_str(), waiting.on_time)).collect()
    }
}

/// A job that is handed in.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Identity of the job.
    pub id: Id,
    /// Name of the customer.
    pub customer: &'a str,
    /// Terms of the queue.
    pub terms: &'a Terms,
    /// Work of all its tasks.
    pub work: Share,
    /// Expected length of its critical path, in milliseconds.
    pub critical_path_ms: u64,
}

impl Request<'_> {
    // Time until the job's result is of no more use, in milliseconds.
    fn useful_ms(&self) -> u64 {
        let stretched_ms = (self.terms.stretch * self.critical_path_ms as f64) as u64;
        stretched_ms.saturating_add(self.terms.target_ms).saturating_mul(EXPIRY_FACTOR)
    }
}

/// A refusal.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// Time after which the caller may return, in milliseconds.
    pub retry_after_ms: u64,
    /// Time that the pool needs for the job and for the work that goes before it, in milliseconds.
    pub ahead_ms: u64,
}

/// Place of a refused job in the order of return.
#[derive(Clone, Debug)]
struct Place {
    // Places are ranked by the time of the first refusal.
    rank: u64,
    pool: String,
    priority: u32,
    customer: String,
    work: Share,
    return_ms: u64,
}

/// Decides which jobs are refused. Kept in memory by the leader.
#[derive(Debug, Default)]
pub struct Admission {
    backlogs: BTreeMap<String, Backlog>,
    places: BTreeMap<Id, Place>,
    next_rank: u64,
    // Jobs that this leader has proposed and not seen committed, with the time.
    proposed: BTreeMap<Id, u64>,
}

impl Admission {
    /// Replaces what is known of the waiting work, by pool, and removes places that nobody has claimed.
    pub fn update(&mut self, backlogs: BTreeMap<String, Backlog>, table: &Table, now_ms: u64) {
        self.backlogs = backlogs;
        self.places.retain(|_, place| now_ms <= place.return_ms.saturating_add(PLACE_GRACE_MS));
        self.proposed.retain(|id, at_ms| {
            table.job(*id).is_none() && now_ms <= at_ms.saturating_add(UNKNOWN_OUTCOME_MS)
        });
    }

    /// The waiting work of a pool; `None` if it isn't known.
    pub fn backlog(&self, pool: &str) -> Option<&Backlog> {
        self.backlogs.get(pool)
    }

    /// Refusal of a job that would be of no use to its caller although the whole pool worked on what goes
    /// before it and took only a part of the expected time.
    pub fn refusal(&self, request: &Request<'_>, document: &Document) -> Option<Refusal> {
        if self.proposed.contains_key(&request.id) {
            return None;
        }
        let terms = request.terms;
        let backlog = self.backlogs.get(&terms.pool)?;
        let rank = self.places.get(&request.id).map_or(u64::MAX, |place| place.rank);
        let mut waiting = backlog.on_time(terms.priority);
        for place in self.places.values() {
            if place.rank < rank && place.pool == terms.pool && place.priority == terms.priority {
                *waiting.entry(&place.customer).or_default() += place.work;
            }
        }
        let ahead_ms = backlog.ahead_of(request, &waiting, document).dominant() as u64;
        let done_ms = ahead_ms.saturating_add(request.critical_path_ms);
        let useful_ms = request.useful_ms();
        if (done_ms as f64 * CERTAIN_PART) as u64 <= useful_ms {
            return None;
        }
        // By then, what goes before the job has shrunk to what can be done in time.
        let retry_after_ms = done_ms.saturating_sub(useful_ms).min(MAX_DELAY_MS);
        Some(Refusal { retry_after_ms, ahead_ms })
    }

    /// Records that a job is refused, so that later ones return after it.
    pub fn record_refused(&mut self, request: &Request<'_>, refusal: Refusal, now_ms: u64) {
        let known = self.places.get(&request.id);
        if known.is_none() && self.places.len() >= MAX_PLACES {
            return;
        }
        let rank = known.map_or(self.next_rank, |place| place.rank);
        self.next_rank = self.next_rank.max(rank + 1);
        let place = Place {
            rank,
            pool: request.terms.pool.clone(),
            priority: request.terms.priority,
            customer: request.customer.to_string(),
            work: request.work,
            return_ms: now_ms.saturating_add(refusal.retry_after_ms),
        };
        self.places.insert(request.id, place);
    }

    /// Records that a job is about to be committed. From then on it is never refused: an earlier attempt
    /// to hand it in may still succeed.
    pub fn record_proposed(&mut self, request: &Request<'_>, now_ms: u64) {
        self.places.remove(&request.id);
        self.proposed.insert(request.id, now_ms);
        let terms = request.terms;
        if let Some(backlog) = self.backlogs.get_mut(&terms.pool) {
            backlog.add(terms.priority, request.customer, request.work, false);
        }
    }
}
