//! Requests that wait for a slot: bounded, by rank, then customers' shares, then deadline.

use std::collections::BTreeMap;

use derive_more::{Display, Error};

/// Result of joining the queue.
pub type Result<T> = std::result::Result<T, Rejection>;

/// Width of a bucket of deadlines in the estimate of the wait, in milliseconds.
const BUCKET_MS: u64 = 100;
/// Weight of the newest exchange in the mean time of a kind.
const NEWEST: f64 = 0.1;
/// Milliseconds after the last exchange of a kind at which its pace counts as unknown, so that
/// a slow past can't refuse requests for ever.
const FRESH_MS: u64 = 2_000;
/// Mean deviations above the mean within which most exchanges end.
const DEVIATIONS: f64 = 2.0;
/// Exchanges of a kind before its mean time is trusted.
const SAMPLES: u32 = 20;
/// Cost of one request against a share of 1.
const STRIDE: u64 = 1 << 20;

/// Why a request can't wait.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Rejection {
    /// The queue is full of requests that are no less urgent.
    #[display("the queue is full")]
    Full,
    /// The wait is estimated to outlast the deadline.
    #[display("the deadline can't be met: about {wait_ms} ms of waiting are ahead")]
    Late {
        /// Estimated wait, in milliseconds.
        wait_ms: u64,
    },
}

/// What the queue knows of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// Number of the request.
    pub number: u64,
    /// Kind.
    pub kind: String,
    /// Customer.
    pub customer: String,
    /// Rank of the kind; 0 is the most urgent.
    pub rank: u8,
    /// Share of the customer among customers.
    pub share: u32,
    /// Payload bytes.
    pub bytes: usize,
    /// Deadline, in milliseconds.
    pub deadline_ms: u64,
}

/// Bounds of a queue.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Most requests.
    pub requests: usize,
    /// Most payload bytes.
    pub bytes: usize,
}

/// What a request finds when it joins.
#[derive(Clone, Copy, Debug)]
pub struct Conditions {
    /// Slots that its kind may use.
    pub capacity: u32,
    /// Now, in milliseconds.
    pub now_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Lane {
    rank: u8,
    kind: String,
    customer: String,
}

/// Order within a lane.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    deadline_ms: u64,
    number: u64,
}

type Tickets<T> = BTreeMap<Place, (Ticket, T)>;

#[derive(Clone, Copy, Debug, Default)]
struct Pace {
    mean_ms: f64,
    deviation_ms: f64,
    samples: u32,
    learnt_ms: u64,
}

/// Waiting requests, each with a value of the caller's.
#[derive(Debug)]
pub struct Queue<T> {
    bounds: Bounds,
    lanes: BTreeMap<Lane, Tickets<T>>,
    depths: BTreeMap<(u8, u64), u32>,
    passes: BTreeMap<(u8, String), u64>,
    paces: BTreeMap<String, Pace>,
    requests: usize,
    bytes: usize,
}

impl<T> Queue<T> {
    /// An empty queue.
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            lanes: BTreeMap::new(),
            depths: BTreeMap::new(),
            passes: BTreeMap::new(),
            paces: BTreeMap::new(),
            requests: 0,
            bytes: 0,
        }
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.requests
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.requests == 0
    }

    /// Bytes of their payloads.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Notes how long an exchange of a kind took that ended now.
    pub fn record_service_time(&mut self, kind: &str, took_ms: u64, now_ms: u64) {
        let pace = self.paces.entry(kind.into()).or_default();
        if !pace.is_fresh(now_ms) {
            *pace = Pace::default();
        }
        pace.learnt_ms = now_ms;
        let newest = if pace.samples == 0 { 1.0 } else { NEWEST };
        let error_ms = took_ms as f64 - pace.mean_ms;
        pace.mean_ms += error_ms * newest;
        if pace.samples > 0 {
            pace.deviation_ms += (error_ms.abs() - pace.deviation_ms) * newest;
        }
        pace.samples = pace.samples.saturating_add(1);
    }

    fn pace(&self, kind: &str, now_ms: u64) -> Option<&Pace> {
        let pace = self.paces.get(kind)?;
        (pace.samples >= SAMPLES && pace.is_fresh(now_ms)).then_some(pace)
    }

    /// Time within which most exchanges of a kind end, in milliseconds; 0 while it is not known.
    pub fn service_time_ms(&self, kind: &str, now_ms: u64) -> u64 {
        let Some(pace) = self.pace(kind, now_ms) else { return 0 };
        (pace.mean_ms + DEVIATIONS * pace.deviation_ms) as u64
    }

    /// Estimated wait of a request, in milliseconds.
    pub fn wait_ms(&self, ticket: &Ticket, room: Conditions) -> u64 {
        let Some(pace) = self.pace(&ticket.kind, room.now_ms) else { return 0 };
        let bucket = ticket.deadline_ms / BUCKET_MS;
        let mut ahead = 0;
        for ((rank, at), depth) in self.depths.range(..=(ticket.rank, bucket)) {
            if *rank < ticket.rank || *at <= bucket {
                ahead += u64::from(*depth);
            }
        }
        (ahead as f64 * pace.mean_ms / f64::from(room.capacity.max(1))) as u64
    }

    /// Adds a request; less urgent requests that have to give way to it go into `shed`.
    ///
    /// # Errors
    /// Where it would miss its deadline, or the queue is full of requests no less urgent.
    pub fn push(
        &mut self,
        ticket: Ticket,
        value: T,
        room: Conditions,
        shed: &mut Vec<(Ticket, T)>,
    ) -> Result<()> {
        let wait_ms = self.wait_ms(&ticket, room);
        let work_ms = self.service_time_ms(&ticket.kind, room.now_ms);
        if room.now_ms + wait_ms + work_ms > ticket.deadline_ms {
            return Err(Rejection::Late { wait_ms });
        }
        while self.requests >= self.bounds.requests || self.bytes + ticket.bytes > self.bounds.bytes
        {
            let Some((lane, key)) = self.worst(ticket.rank) else { return Err(Rejection::Full) };
            shed.extend(self.take(&lane, key));
        }
        self.put(ticket, value);
        Ok(())
    }

    // The last one of the lowest rank below `rank`.
    fn worst(&self, rank: u8) -> Option<(Lane, Place)> {
        let lowest = self.lanes.keys().next_back()?.rank;
        if lowest <= rank {
            return None;
        }
        let mut worst: Option<(Lane, Place)> = None;
        for (lane, tickets) in self.lanes.iter().rev() {
            if lane.rank != lowest {
                break;
            }
            let Some((key, _)) = tickets.last_key_value() else { continue };
            if worst.as_ref().is_none_or(|(_, held)| key > held) {
                worst = Some((lane.clone(), *key));
            }
        }
        worst
    }

    fn put(&mut self, ticket: Ticket, value: T) {
        let lane = ticket.lane();
        self.join(&ticket);
        self.requests += 1;
        self.bytes += ticket.bytes;
        *self.depths.entry((ticket.rank, ticket.deadline_ms / BUCKET_MS)).or_default() += 1;
        let key = ticket.place();
        self.lanes.entry(lane).or_default().insert(key, (ticket, value));
    }

    // A customer that had nothing waiting starts level with the others: idle time earns nothing.
    fn join(&mut self, ticket: &Ticket) {
        let waits =
            self.lanes.keys().any(|l| l.rank == ticket.rank && l.customer == ticket.customer);
        if waits {
            return;
        }
        let mut least = None;
        for lane in self.lanes.keys().filter(|lane| lane.rank == ticket.rank) {
            let pass = self.passes.get(&(lane.rank, lane.customer.clone())).copied().unwrap_or(0);
            least = Some(least.map_or(pass, |least: u64| least.min(pass)));
        }
        let pass = self.passes.entry((ticket.rank, ticket.customer.clone())).or_default();
        *pass = (*pass).max(least.unwrap_or(0));
    }

    /// The next request of a kind that `is_open`, without removing it.
    fn next(&self, is_open: impl Fn(&str) -> bool) -> Option<(Lane, Place)> {
        let mut best: Option<(u8, u64, Place, &Lane)> = None;
        for (lane, tickets) in &self.lanes {
            if best.as_ref().is_some_and(|(rank, ..)| *rank < lane.rank) {
                break;
            }
            if !is_open(&lane.kind) {
                continue;
            }
            let Some((key, _)) = tickets.first_key_value() else { continue };
            let pass = self.passes.get(&(lane.rank, lane.customer.clone())).copied().unwrap_or(0);
            let better = best.as_ref().is_none_or(|(_, p, k, _)| (pass, *key) < (*p, *k));
            if better {
                best = Some((lane.rank, pass, *key, lane));
            }
        }
        best.map(|(_, _, key, lane)| (lane.clone(), key))
    }

    /// Removes the next request of a kind that `is_open`, and charges its customer.
    pub fn pop(&mut self, is_open: impl Fn(&str) -> bool) -> Option<(Ticket, T)> {
        let (lane, key) = self.next(is_open)?;
        let (ticket, value) = self.take(&lane, key)?;
        let pass = self.passes.entry((ticket.rank, ticket.customer.clone())).or_default();
        *pass += STRIDE / u64::from(ticket.share.max(1));
        Some((ticket, value))
    }

    /// Puts a request back that was popped in vain.
    pub fn put_back(&mut self, ticket: Ticket, value: T) {
        let pass = self.passes.entry((ticket.rank, ticket.customer.clone())).or_default();
        *pass = pass.saturating_sub(STRIDE / u64::from(ticket.share.max(1)));
        self.put(ticket, value);
    }

    /// Removes a request that no longer waits.
    pub fn remove(&mut self, ticket: &Ticket) -> Option<T> {
        let lane = ticket.lane();
        self.take(&lane, ticket.place()).map(|(_, value)| value)
    }

    fn take(&mut self, lane: &Lane, key: Place) -> Option<(Ticket, T)> {
        let tickets = self.lanes.get_mut(lane)?;
        let taken = tickets.remove(&key)?;
        if tickets.is_empty() {
            self.lanes.remove(lane);
        }
        let ticket = &taken.0;
        self.requests -= 1;
        self.bytes -= ticket.bytes;
        let bucket = (ticket.rank, ticket.deadline_ms / BUCKET_MS);
        if let Some(depth) = self.depths.get_mut(&bucket) {
            *depth -= 1;
            if *depth == 0 {
                self.depths.remove(&bucket);
            }
        }
        Some(taken)
    }
}

impl Pace {
    fn is_fresh(&self, now_ms: u64) -> bool {
        self.learnt_ms + FRESH_MS > now_ms
    }
}

impl Ticket {
    fn lane(&self) -> Lane {
        Lane { rank: self.rank, kind: self.kind.clone(), customer: self.customer.clone() }
    }

    fn place(&self) -> Place {
        Place { deadline_ms: self.deadline_ms, number: self.number }
    }
}
