//! Queues, pools and customers: one document, numbered by the operator.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::replica::Bytes;
use crate::state::document::Fault;

/// The whole configuration of batch work.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// Number given by the operator; the highest is in force. 0 before the first document.
    pub revision: u64,
    /// Where jobs are handed in.
    pub queues: Vec<Queue>,
    /// Where jobs run.
    pub pools: Vec<Pool>,
    /// Who hands jobs in.
    pub customers: Vec<Customer>,
    /// Text that the operator sent; readers get it back unchanged.
    pub source: Bytes,
}

/// A queue: an address for callers and terms for its jobs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Name.
    pub name: String,
    /// Host that callers name.
    pub host: String,
    /// Beginning of the path that callers name.
    pub prefix: String,
    /// Longest time that one call may take, in milliseconds.
    pub timeout_ms: u64,
    /// Whether callers need no key.
    pub is_open: bool,
    /// Terms of its jobs.
    pub terms: Terms,
}

/// Terms on which the jobs of a queue run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Terms {
    /// Pool whose workers run the tasks.
    pub pool: String,
    /// Priority class; 0 is the most urgent and may preempt others.
    pub priority: u32,
    /// Failed runs of one task, or of one gang, after which the job has failed.
    pub attempts: u32,
    /// Multiple of the longest chain of steps within which a job should complete.
    pub stretch: f64,
    /// Time on top of that, in milliseconds.
    pub target_ms: u64,
}

/// A pool of workers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// Name that its workers report.
    pub name: String,
    /// Whether its workers refuse tasks that don't fit.
    pub rejects_overload: bool,
}

/// A customer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Customer {
    /// Name.
    pub name: String,
    /// Bearer keys.
    pub keys: Vec<String>,
    /// Accelerators kept for its jobs of priority 0.
    pub guaranteed: u32,
}

impl Document {
    /// Everything that forbids the document; empty where it may be put into force.
    pub fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        if self.revision == 0 {
            faults.push(fault("revision".into(), "is 0".into()));
        }
        let mut places = BTreeMap::new();
        for (at, queue) in self.queues.iter().enumerate() {
            if queue.timeout_ms == 0 {
                faults.push(fault(format!("queues.{at}.timeout_ms"), "is 0".into()));
            }
            if !self.pools.iter().any(|pool| pool.name == queue.terms.pool) {
                let message = format!("there is no pool {}", queue.terms.pool);
                faults.push(fault(format!("queues.{at}.terms.pool"), message));
            }
            if let Some(other) = places.insert((&queue.host, &queue.prefix), &queue.name) {
                let message = format!("{} has the same host and prefix", other);
                faults.push(fault(format!("queues.{at}"), message));
            }
        }
        let mut keys = BTreeMap::new();
        for (at, customer) in self.customers.iter().enumerate() {
            for key in &customer.keys {
                let held = keys.insert(key, &customer.name);
                if held.is_some_and(|other| *other != customer.name) {
                    let message = "a key is also another customer's".to_string();
                    faults.push(fault(format!("customers.{at}.keys"), message));
                }
            }
        }
        faults
    }

    /// The queue with the longest prefix of a path, and what follows the prefix.
    pub fn find_queue<'a>(&self, host: &str, path: &'a str) -> Option<(&Queue, &'a str)> {
        let mut best: Option<(&Queue, &str)> = None;
        for queue in &self.queues {
            if queue.host != host {
                continue;
            }
            let Some(rest) = path.strip_prefix(queue.prefix.as_str()) else { continue };
            if best.is_none_or(|(held, _)| held.prefix.len() < queue.prefix.len()) {
                best = Some((queue, rest));
            }
        }
        best
    }

    /// The customer that holds a key.
    pub fn customer_by_key(&self, key: &str) -> Option<&Customer> {
        self.customers.iter().find(|customer| customer.keys.iter().any(|held| held == key))
    }

    /// A customer by name.
    pub fn customer(&self, name: &str) -> Option<&Customer> {
        self.customers.iter().find(|customer| customer.name == name)
    }
}

fn fault(path: String, message: String) -> Fault {
    Fault { path, message }
}
