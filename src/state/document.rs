//! The configuration document: the complete intended configuration, validated as a whole.

use std::collections::BTreeSet;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::kernel::plugin;

/// The complete intended configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Settings of job placement.
    #[serde(default)]
    pub placement: Placement,
    /// Kinds of work, for both requests and jobs.
    #[serde(default)]
    pub kinds: Vec<Kind>,
    /// Customers and their guarantees.
    #[serde(default)]
    pub customers: Vec<Customer>,
    /// Limits of the claim table.
    #[serde(default)]
    pub claims: Claims,
}

/// Settings of job placement.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Placement {
    /// Name of a registered placement policy.
    pub policy: String,
    /// Weight of completion time in the score, 0 to 1.
    pub completion_weight: f64,
    /// Weight of fragmentation in the score, 0 to 1.
    pub fragmentation_weight: f64,
    /// Number of workers that may be lost while all guarantees still fit.
    pub spare_workers: u32,
    /// Time that an evicted task has to write a checkpoint, in milliseconds.
    pub checkpoint_grace_ms: u64,
    /// Time that a gang has to prepare all its parts, in milliseconds.
    pub prepare_timeout_ms: u64,
    /// A job fails permanently once it has failed on this many distinct workers.
    pub job_failures: u32,
    /// A worker is quarantined once this many distinct jobs have failed on it.
    pub worker_failures: u32,
}

impl Default for Placement {
    fn default() -> Self {
        Self {
            policy: "first-fit".into(),
            completion_weight: 0.5,
            fragmentation_weight: 0.5,
            spare_workers: 0,
            checkpoint_grace_ms: 1_500,
            prepare_timeout_ms: 10_000,
            job_failures: 3,
            worker_failures: 3,
        }
    }
}

/// A kind of work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Name, as used in the path of a request.
    pub name: String,
    /// Priority rank; 0 is the most urgent.
    pub rank: u8,
    /// Deadline of requests that do not set one, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
}

const fn default_deadline_ms() -> u64 {
    30_000
}

/// A customer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Name, as assigned to bearer tokens.
    pub name: String,
    /// Fair-share weight among customers at the same rank.
    #[serde(default = "default_share")]
    pub share: u32,
    /// Cells that are guaranteed to the customer.
    #[serde(default)]
    pub guarantee: Vec<Guarantee>,
    /// Limits of the customer's requests.
    #[serde(default)]
    pub limits: Limits,
}

const fn default_share() -> u32 {
    1
}

/// A guaranteed number of cells of one level.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Guarantee {
    /// Level of the cells.
    pub cell: Cell,
    /// Number of cells.
    pub count: u32,
}

/// Level of a cell in the hierarchy of accelerators.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum Cell {
    /// One accelerator.
    #[serde(rename = "1")]
    #[display("1")]
    One,
    /// Two adjacent accelerators of a worker.
    #[serde(rename = "2")]
    #[display("2")]
    Two,
    /// Four adjacent accelerators of a worker.
    #[serde(rename = "4")]
    #[display("4")]
    Four,
    /// Eight adjacent accelerators of a worker.
    #[serde(rename = "8")]
    #[display("8")]
    Eight,
    /// All accelerators of a worker.
    #[serde(rename = "worker")]
    #[display("worker")]
    Worker,
    /// All workers of a rack.
    #[serde(rename = "rack")]
    #[display("rack")]
    Rack,
}

/// Limits of a customer's requests; each entry enforces its part of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Requests per second, over all entries.
    pub requests_per_second: u32,
    /// Requests that wait or run at the same time, over all entries.
    pub concurrent: u32,
    /// Request payload held at the same time, over all entries, in bytes.
    pub bytes: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { requests_per_second: 10_000, concurrent: 20_000, bytes: 256 << 20 }
    }
}

/// Limits of the claim table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Claims {
    /// Largest number of claims; further ones are rejected.
    pub capacity: u64,
    /// How long a claim with an outcome is kept, in milliseconds.
    pub retention_ms: u64,
    /// Largest answer body that is recorded for resends, in bytes.
    pub answer_bytes: u64,
    /// Total size of all recorded answer bodies, in bytes; the oldest are evicted first.
    pub answers_bytes: u64,
}

impl Default for Claims {
    fn default() -> Self {
        Self {
            capacity: 200_000,
            retention_ms: 24 * 3_600_000,
            answer_bytes: 16 << 10,
            answers_bytes: 16 << 20,
        }
    }
}

/// A fault found by the validation of a document.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("{path}: {message}")]
pub struct Fault {
    /// Path of the faulty key in the document.
    pub path: String,
    /// Description of the fault.
    pub message: String,
}

impl Document {
    /// Returns the kind with the given name.
    pub fn kind(&self, name: &str) -> Option<&Kind> {
        self.kinds.iter().find(|kind| kind.name == name)
    }

    /// Returns the customer with the given name.
    pub fn customer(&self, name: &str) -> Option<&Customer> {
        self.customers.iter().find(|customer| customer.name == name)
    }

    /// Returns all faults that can be found without knowing the workers.
    pub fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        self.check_placement(&mut faults);
        let kinds = self.kinds.iter().map(|kind| kind.name.as_str());
        check_names("kinds", kinds, &mut faults);
        let customers = self.customers.iter().map(|customer| customer.name.as_str());
        check_names("customers", customers, &mut faults);
        for (index, kind) in self.kinds.iter().enumerate() {
            let path = format!("kinds[{index}].deadline_ms");
            check_range(&path, kind.deadline_ms, 1, 86_400_000, &mut faults);
        }
        for (index, customer) in self.customers.iter().enumerate() {
            let path = format!("customers[{index}].share");
            check_range(&path, u64::from(customer.share), 1, 1_000, &mut faults);
            for (guarantee_index, guarantee) in customer.guarantee.iter().enumerate() {
                let path = format!("customers[{index}].guarantee[{guarantee_index}].count");
                check_range(&path, u64::from(guarantee.count), 1, 10_000, &mut faults);
            }
        }
        check_range("claims.capacity", self.claims.capacity, 1, 10_000_000, &mut faults);
        let retention_ms = self.claims.retention_ms;
        check_range("claims.retention_ms", retention_ms, 1_000, 30 * 86_400_000, &mut faults);
        check_range("claims.answer_bytes", self.claims.answer_bytes, 0, 1 << 20, &mut faults);
        check_range("claims.answers_bytes", self.claims.answers_bytes, 0, 128 << 20, &mut faults);
        faults
    }

    fn check_placement(&self, faults: &mut Vec<Fault>) {
        let placement = &self.placement;
        if plugin::build_policy(&placement.policy).is_none() {
            let known = plugin::policy_names().join(", ");
            let message = format!("no policy `{}`; known: {known}", placement.policy);
            faults.push(Fault { path: "placement.policy".into(), message });
        }
        let weights = [
            ("placement.completion_weight", placement.completion_weight),
            ("placement.fragmentation_weight", placement.fragmentation_weight),
        ];
        for (path, weight) in weights {
            if (0.0..=1.0).contains(&weight) {
                continue;
            }
            let message = format!("{weight} is not from 0 to 1");
            faults.push(Fault { path: path.into(), message });
        }
        let grace_ms = placement.checkpoint_grace_ms;
        check_range("placement.checkpoint_grace_ms", grace_ms, 0, 3_000, faults);
        let timeout_ms = placement.prepare_timeout_ms;
        check_range("placement.prepare_timeout_ms", timeout_ms, 500, 600_000, faults);
        check_range("placement.job_failures", placement.job_failures.into(), 1, 100, faults);
        check_range("placement.worker_failures", placement.worker_failures.into(), 1, 100, faults);
    }
}

fn check_range(path: &str, value: u64, low: u64, high: u64, faults: &mut Vec<Fault>) {
    if (low..=high).contains(&value) {
        return;
    }
    let message = format!("{value} is not from {low} to {high}");
    faults.push(Fault { path: path.into(), message });
}

fn check_names<'a>(list: &str, names: impl Iterator<Item = &'a str>, faults: &mut Vec<Fault>) {
    let mut seen = BTreeSet::new();
    for (index, name) in names.enumerate() {
        let path = format!("{list}[{index}].name");
        if !is_name(name) {
            let message = format!("`{name}` is not 1 to 64 of a-z, 0-9, - and _");
            faults.push(Fault { path: path.clone(), message });
        }
        if !seen.insert(name) {
            faults.push(Fault { path, message: format!("`{name}` stands twice") });
        }
    }
}

/// Whether the text is a valid name of a kind, customer, worker or upstream.
pub fn is_name(text: &str) -> bool {
    let has_valid_length = (1..=64).contains(&text.len());
    has_valid_length
        && text.bytes().all(|byte| {
            byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-' || byte == b'_'
        })
}
