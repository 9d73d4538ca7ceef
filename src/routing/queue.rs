//! Bounded queue of requests that wait for a slot, ordered by rank, then by weighted fair sharing
//! among customers, then by deadline.

use std::collections::BTreeMap;

use derive_more::{Display, Error};

/// Result of joining the queue.
pub type Result<T> = std::result::Result<T, Rejection>;

/// Width of a deadline bucket in the estimate of the wait, in milliseconds.
const BUCKET_MS: u64 = 100;
/// Weight of the latest sample in the moving averages of a kind's service time.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Milliseconds after the last exchange of a kind at which its service time counts as unknown;
/// otherwise one slow period would reject all requests of the kind, and no new sample could
/// correct the estimate.
const SERVICE_TIME_TTL_MS: u64 = 2_000;
/// Mean deviations above the mean within which most exchanges end.
const DEVIATIONS: f64 = 2.0;
/// Minimum samples before the service time of a kind is used.
const MIN_SAMPLES: u32 = 20;
/// Stride of a share of 1: the amount that one request adds to its customer's pass.
const STRIDE: u64 = 1 << 20;

/// Why a request is not queued.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Rejection {
    /// The queue is full of requests of the same or a more urgent rank.
    #[display("the queue is full")]
    Full,
    /// The estimated wait exceeds the time until the deadline.
    #[display("the deadline can't be met: about {wait_ms} ms of waiting are ahead")]
    Late {
        /// Estimated wait, in milliseconds.
        wait_ms: u64,
    },
}

/// Properties of a request by which it is queued.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// Number of the request.
    pub number: u64,
    /// Kind of request.
    pub kind: String,
    /// Name of the customer.
    pub customer: String,
    /// Rank of the kind; 0 is the most urgent.
    pub rank: u8,
    /// Weight of the customer in fair sharing.
    pub share: u32,
    /// Payload size, in bytes.
    pub bytes: usize,
    /// Deadline, in milliseconds.
    pub deadline_ms: u64,
}

/// Capacity of a queue.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Maximum number of requests.
    pub requests: usize,
    /// Maximum sum of payload bytes.
    pub bytes: usize,
}

/// Conditions under which a request joins.
#[derive(Clone, Copy, Debug)]
pub struct Conditions {
    /// Slots that its kind may use.
    pub capacity: u32,
    /// Current time, in milliseconds.
    pub now_ms: u64,
}

/// Class of requests that share a queue.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Class {
    rank: u8,
    kind: String,
    customer: String,
}

/// Sort key within the queue of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    deadline_ms: u64,
    number: u64,
}

type Backlog<T> = BTreeMap<Key, (Ticket, T)>;

/// Moving averages of the time that exchanges of a kind take.
#[derive(Clone, Copy, Debug, Default)]
struct Latency {
    mean_ms: f64,
    deviation_ms: f64,
    samples: u32,
    updated_ms: u64,
}

/// Waiting requests, each with a value of the caller.
#[derive(Debug)]
pub struct Queue<T> {
    bounds: Bounds,
    classes: BTreeMap<Class, Backlog<T>>,
    /// Number of requests by rank and deadline bucket.
    depths: BTreeMap<(u8, u64), u32>,
    /// Passes of stride scheduling, by rank and customer; the lowest pass is served next.
    passes: BTreeMap<(u8, String), u64>,
    service_times: BTreeMap<String, Latency>,
    requests: usize,
    bytes: usize,
}

impl<T> Queue<T> {
    /// Creates an empty queue.
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            classes: BTreeMap::new(),
            depths: BTreeMap::new(),
            passes: BTreeMap::new(),
            service_times: BTreeMap::new(),
            requests: 0,
            bytes: 0,
        }
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.requests
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.requests == 0
    }

    /// Sum of the payload bytes of the waiting requests.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Records the duration of an exchange of a kind that ended at `now_ms`.
    pub fn record_service_time(&mut self, kind: &str, took_ms: u64, now_ms: u64) {
        let service_time = self.service_times.entry(kind.into()).or_default();
        if !service_time.is_fresh(now_ms) {
            *service_time = Latency::default();
        }
        service_time.updated_ms = now_ms;
        let weight = if service_time.samples == 0 { 1.0 } else { SAMPLE_WEIGHT };
        let error_ms = took_ms as f64 - service_time.mean_ms;
        service_time.mean_ms += error_ms * weight;
        if service_time.samples > 0 {
            service_time.deviation_ms += (error_ms.abs() - service_time.deviation_ms) * weight;
        }
        service_time.samples = service_time.samples.saturating_add(1);
    }

    // Service time of a kind; `None` if it has too few samples or they are outdated.
    fn service_time(&self, kind: &str, now_ms: u64) -> Option<&Latency> {
        let estimate = self.service_times.get(kind)?;
        (estimate.samples >= MIN_SAMPLES && estimate.is_fresh(now_ms)).then_some(estimate)
    }

    /// Time within which most exchanges of a kind end, in milliseconds; 0 if it is unknown.
    pub fn service_time_ms(&self, kind: &str, now_ms: u64) -> u64 {
        let Some(estimate) = self.service_time(kind, now_ms) else { return 0 };
        (estimate.mean_ms + DEVIATIONS * estimate.deviation_ms) as u64
    }

    /// Estimated wait of a request, in milliseconds; 0 if the service time of its kind is unknown.
    pub fn wait_ms(&self, ticket: &Ticket, conditions: Conditions) -> u64 {
        let Some(estimate) = self.service_time(&ticket.kind, conditions.now_ms) else { return 0 };
        let bucket = ticket.deadline_ms / BUCKET_MS;
        let mut ahead = 0;
        for ((rank, at), depth) in self.depths.range(..=(ticket.rank, bucket)) {
            if *rank < ticket.rank || *at <= bucket {
                ahead += u64::from(*depth);
            }
        }
        (ahead as f64 * estimate.mean_ms / f64::from(conditions.capacity.max(1))) as u64
    }

    /// Adds a request. Less urgent requests that are removed to make room for it are appended to
    /// `shed`.
    ///
    /// # Errors
    /// If it would miss its deadline, or the queue is full of requests that are at least as urgent.
    pub fn push(
        &mut self,
        ticket: Ticket,
        value: T,
        conditions: Conditions,
        shed: &mut Vec<(Ticket, T)>,
    ) -> Result<()> {
        let wait_ms = self.wait_ms(&ticket, conditions);
        let service_time_ms = self.service_time_ms(&ticket.kind, conditions.now_ms);
        if conditions.now_ms + wait_ms + service_time_ms > ticket.deadline_ms {
            return Err(Rejection::Late { wait_ms });
        }
        while self.requests >= self.bounds.requests || self.bytes + ticket.bytes > self.bounds.bytes
        {
            let Some((class, key)) = self.victim(ticket.rank) else { return Err(Rejection::Full) };
            shed.extend(self.remove_at(&class, key));
        }
        self.insert(ticket, value);
        Ok(())
    }

    // The request with the latest deadline in the least urgent rank, if that rank is less urgent
    // than `rank`.
    fn victim(&self, rank: u8) -> Option<(Class, Key)> {
        let least_urgent_rank = self.classes.keys().next_back()?.rank;
        if least_urgent_rank <= rank {
            return None;
        }
        let mut last: Option<(Class, Key)> = None;
        for (class, tickets) in self.classes.iter().rev() {
            if class.rank != least_urgent_rank {
                break;
            }
            let Some((key, _)) = tickets.last_key_value() else { continue };
            if last.as_ref().is_none_or(|(_, last_key)| key > last_key) {
                last = Some((class.clone(), *key));
            }
        }
        last
    }

    fn insert(&mut self, ticket: Ticket, value: T) {
        let class = ticket.class();
        self.raise_pass(&ticket);
        self.requests += 1;
        self.bytes += ticket.bytes;
        *self.depths.entry((ticket.rank, ticket.deadline_ms / BUCKET_MS)).or_default() += 1;
        let key = ticket.sort_key();
        self.classes.entry(class).or_default().insert(key, (ticket, value));
    }

    // Raises the pass of a customer without waiting requests to the lowest pass of the waiting
    // customers, so that a customer can't accumulate credit while idle.
    fn raise_pass(&mut self, ticket: &Ticket) {
        let is_waiting = self
            .classes
            .keys()
            .any(|key| key.rank == ticket.rank && key.customer == ticket.customer);
        if is_waiting {
            return;
        }
        let mut lowest = None;
        for key in self.classes.keys().filter(|key| key.rank == ticket.rank) {
            let pass = self.passes.get(&(key.rank, key.customer.clone())).copied().unwrap_or(0);
            lowest = Some(lowest.map_or(pass, |lowest: u64| lowest.min(pass)));
        }
        let pass = self.passes.entry((ticket.rank, ticket.customer.clone())).or_default();
        *pass = (*pass).max(lowest.unwrap_or(0));
    }

    /// Finds the next request among the kinds for which `has_slot` is true.
    fn find_next(&self, has_slot: impl Fn(&str) -> bool) -> Option<(Class, Key)> {
        let mut best: Option<(u8, u64, Key, &Class)> = None;
        for (class, tickets) in &self.classes {
            if best.as_ref().is_some_and(|(rank, ..)| *rank < class.rank) {
                break;
            }
            if !has_slot(&class.kind) {
                continue;
            }
            let Some((key, _)) = tickets.first_key_value() else { continue };
            let pass = self.passes.get(&(class.rank, class.customer.clone())).copied().unwrap_or(0);
            let is_better = best.as_ref().is_none_or(|(_, p, k, _)| (pass, *key) < (*p, *k));
            if is_better {
                best = Some((class.rank, pass, *key, class));
            }
        }
        best.map(|(_, _, key, class)| (class.clone(), key))
    }

    /// Removes the next request among the kinds for which `has_slot` is true, and advances its
    /// customer's pass.
    pub fn pop(&mut self, has_slot: impl Fn(&str) -> bool) -> Option<(Ticket, T)> {
        let (class, key) = self.find_next(has_slot)?;
        let (ticket, value) = self.remove_at(&class, key)?;
        let pass = self.passes.entry((ticket.rank, ticket.customer.clone())).or_default();
        *pass += STRIDE / u64::from(ticket.share.max(1));
        Some((ticket, value))
    }

    /// Takes back the advance of a customer's pass for a popped request that got no slot.
    pub fn refund(&mut self, ticket: &Ticket) {
        let pass = self.passes.entry((ticket.rank, ticket.customer.clone())).or_default();
        *pass = pass.saturating_sub(STRIDE / u64::from(ticket.share.max(1)));
    }

    /// Reinserts a popped request for which no slot was free, without charge to its customer.
    pub fn requeue(&mut self, ticket: Ticket, value: T) {
        self.refund(&ticket);
        self.insert(ticket, value);
    }

    /// Removes a request that no longer waits.
    pub fn remove(&mut self, ticket: &Ticket) -> Option<T> {
        let class = ticket.class();
        self.remove_at(&class, ticket.sort_key()).map(|(_, value)| value)
    }

    fn remove_at(&mut self, class: &Class, key: Key) -> Option<(Ticket, T)> {
        let tickets = self.classes.get_mut(class)?;
        let removed = tickets.remove(&key)?;
        if tickets.is_empty() {
            self.classes.remove(class);
        }
        let ticket = &removed.0;
        self.requests -= 1;
        self.bytes -= ticket.bytes;
        let bucket = (ticket.rank, ticket.deadline_ms / BUCKET_MS);
        if let Some(depth) = self.depths.get_mut(&bucket) {
            *depth -= 1;
            if *depth == 0 {
                self.depths.remove(&bucket);
            }
        }
        Some(removed)
    }
}

impl Latency {
    fn is_fresh(&self, now_ms: u64) -> bool {
        self.updated_ms + SERVICE_TIME_TTL_MS > now_ms
    }
}

impl Ticket {
    fn class(&self) -> Class {
        Class { rank: self.rank, kind: self.kind.clone(), customer: self.customer.clone() }
    }

    fn sort_key(&self) -> Key {
        Key { deadline_ms: self.deadline_ms, number: self.number }
    }
}
