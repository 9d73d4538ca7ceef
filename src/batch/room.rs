//! Memory for accepted jobs, and whose jobs are refused when it runs short. Does no I/O.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::{Display, Error};

use super::job::{Id, Job, Spec, State};
use super::table::{Submission, Table};

/// Result of a request for room.
pub type Result<T> = std::result::Result<T, Refusal>;

/// Bytes of a live job apart from its steps and texts: its entry in the table and in the leader's
/// indices.
const LIVE_JOB_BYTES: u64 = 1_024;
/// Bytes of an ended job apart from its steps and texts.
const ENDED_JOB_BYTES: u64 = 512;
/// Bytes of a step as submitted, apart from its texts.
const STEP_BYTES: u64 = 256;
/// Bytes of the progress of a step in one occurrence, apart from tasks that have begun.
const PROGRESS_BYTES: u64 = 128;
/// Bytes of a task that has run and is not running.
const TASK_BYTES: u64 = 256;
/// Bytes of the reference to an earlier step.
const REFERENCE_BYTES: u64 = 4;

/// Multiple of the free room that one customer may hold. A customer with a crowd of jobs thus leaves
/// a fifth of the room to others, and two of them a ninth.
const HELD_PER_FREE: u64 = 4;
/// Time over which the rate is averaged at which jobs end, in milliseconds.
const RATE_WINDOW_MS: u64 = 30_000;
/// Shortest delay after which a refused caller may return, in milliseconds.
const MIN_DELAY_MS: u64 = 1_000;
/// Longest such delay, in milliseconds; the load is likely to be another one then.
const MAX_DELAY_MS: u64 = 60_000;
/// Shortest time between updates from the table, in milliseconds.
const UPDATE_INTERVAL_MS: u64 = 1_000;
/// Time for which a job that was proposed and not committed holds room, in milliseconds: a leader
/// whose proposals take longer is none.
const PROPOSED_MS: u64 = 60_000;

/// Refusal of a job for which there is no room.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
#[display(
    "accepted jobs leave no memory for it: {free_bytes} bytes are free, the customer holds {held_bytes}"
)]
pub struct Refusal {
    /// Time after which the caller may return, in milliseconds.
    pub retry_after_ms: u64,
    /// Bytes that no job holds.
    pub free_bytes: u64,
    /// Bytes that the customer's jobs hold.
    pub held_bytes: u64,
}

#[derive(Clone, Debug)]
struct Proposal {
    customer: String,
    bytes: u64,
    at_ms: u64,
}

/// Bytes that accepted jobs hold, by customer, against a maximum.
#[derive(Clone, Debug, Default)]
pub struct Room {
    max_bytes: u64,
    // Of jobs in the table and of proposed ones.
    held: BTreeMap<String, u64>,
    total_bytes: u64,
    // Jobs that were proposed and not in the table at the last update.
    proposed: BTreeMap<Id, Proposal>,
    updated_ms: Option<u64>,
    // Bytes released in a window, as an average that forgets the past exponentially.
    released_per_window: f64,
}

impl Room {
    /// Room of this size that nothing holds.
    pub fn new(max_bytes: u64) -> Self {
        Self { max_bytes, ..Self::default() }
    }

    /// Bytes that all jobs hold.
    pub fn held_bytes(&self) -> u64 {
        self.total_bytes
    }

    /// Checks whether a job of a customer fits. A job within the customer's guarantee may take all that
    /// is free; any other one only as long as its customer holds a limited multiple of what it leaves,
    /// so that the customers that hold most are refused first.
    ///
    /// # Errors
    /// If it doesn't fit.
    pub fn check(&self, customer: &str, bytes: u64, is_guaranteed: bool) -> Result<()> {
        let held_bytes = self.held.get(customer).copied().unwrap_or(0);
        let free_bytes = self.max_bytes.saturating_sub(self.total_bytes);
        let held = held_bytes.saturating_add(bytes);
        let limit = free_bytes.saturating_sub(bytes).saturating_mul(HELD_PER_FREE);
        let fits = bytes <= free_bytes && (is_guaranteed || held <= limit);
        if fits {
            return Ok(());
        }
        let missing = if is_guaranteed || bytes > free_bytes {
            bytes.saturating_sub(free_bytes)
        } else {
            // A byte that the customer's jobs release counts on both sides of the comparison.
            (held - limit).div_ceil(HELD_PER_FREE + 1)
        };
        Err(Refusal { retry_after_ms: self.delay_ms(missing), free_bytes, held_bytes })
    }

    /// Whether a job was proposed and may still be committed, so that it must not be refused.
    pub fn is_proposed(&self, id: Id) -> bool {
        self.proposed.contains_key(&id)
    }

    /// Takes room for a job that is about to be proposed.
    pub fn propose(&mut self, id: Id, customer: &str, bytes: u64, now_ms: u64) {
        let proposal = Proposal { customer: customer.to_string(), bytes, at_ms: now_ms };
        if self.proposed.insert(id, proposal).is_none() {
            *self.held.entry(customer.to_string()).or_default() += bytes;
            self.total_bytes += bytes;
        }
    }

    /// Replaces what is held by the jobs of the table and the proposed ones that it lacks. Does nothing
    /// if that was done a short time ago.
    pub fn update(&mut self, table: &Table, now_ms: u64) {
        let passed_ms = self.updated_ms.map(|updated_ms| now_ms.saturating_sub(updated_ms));
        if passed_ms.is_some_and(|passed_ms| passed_ms < UPDATE_INTERVAL_MS) {
            return;
        }
        self.proposed.retain(|id, proposal| {
            table.job(*id).is_none() && now_ms <= proposal.at_ms.saturating_add(PROPOSED_MS)
        });
        let mut held: BTreeMap<&str, u64> = BTreeMap::new();
        for job in table.live.values().chain(table.ended.values()) {
            *held.entry(&job.customer).or_default() += job_bytes(job);
        }
        for proposal in self.proposed.values() {
            *held.entry(&proposal.customer).or_default() += proposal.bytes;
        }
        let total = held.values().sum();
        self.held = held.into_iter().map(|(name, bytes)| (name.to_string(), bytes)).collect();
        let kept = (-(passed_ms.unwrap_or(0) as f64) / RATE_WINDOW_MS as f64).exp();
        self.released_per_window *= kept;
        self.released_per_window += self.total_bytes.saturating_sub(total) as f64;
        (self.total_bytes, self.updated_ms) = (total, Some(now_ms));
    }

    // Time in which this many bytes are released at the recent rate.
    fn delay_ms(&self, bytes: u64) -> u64 {
        let delay_ms = bytes as f64 * RATE_WINDOW_MS as f64 / self.released_per_window.max(1.0);
        (delay_ms as u64).clamp(MIN_DELAY_MS, MAX_DELAY_MS)
    }
}

impl Refusal {
    /// Time after which the caller may return.
    pub fn retry_after(&self) -> Duration {
        Duration::from_millis(self.retry_after_ms)
    }
}

/// Bytes that a job takes once it is accepted, before any of its tasks begins.
pub fn submission_bytes(submission: &Submission) -> u64 {
    let queue = submission.queue.len() + submission.address.len() + submission.terms.pool.len();
    let names = queue + submission.customer.len();
    LIVE_JOB_BYTES + names as u64 + spec_bytes(&submission.spec)
}

/// Bytes that a job takes.
pub fn job_bytes(job: &Job) -> u64 {
    let queue = job.queue.len() + job.address.len() + job.terms.pool.len();
    let names = (queue + job.customer.len()) as u64;
    if job.outcome.is_some() {
        return ENDED_JOB_BYTES + names + job.spec.steps.len() as u64 * STEP_BYTES;
    }
    let steps = job.occurrences.values().flat_map(|occurrence| &occurrence.steps);
    let begun = steps.flat_map(|step| step.tasks.begun());
    // Runs have a limit of their own, or those of one customer would take the room of the others' jobs.
    let idle = begun.filter(|task| !matches!(task.state, State::Active(_))).count() as u64;
    LIVE_JOB_BYTES + names + spec_bytes(&job.spec) + idle * TASK_BYTES
}

// Bytes of a specification, and of the progress of as many occurrences as may be open at a time.
fn spec_bytes(spec: &Spec) -> u64 {
    let mut bytes = spec.payload.len() as u64;
    for step in &spec.steps {
        let texts = step.label.len() + step.data_rack.len() + step.image.len();
        bytes += STEP_BYTES + texts as u64 + step.after.len() as u64 * REFERENCE_BYTES;
    }
    let progress = spec.steps.len() as u64 * PROGRESS_BYTES;
    bytes + progress * u64::from(spec.max_open_occurrences())
}
