//! Configuration of batch jobs: one document with queues, pools and customers, whose revision the
//! operator sets.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::replica::Bytes;
use crate::state::document::Fault;

/// The whole configuration of batch jobs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// Revision, set by the operator; the highest is in force. 0 before the first document.
    pub revision: u64,
    /// Queues that jobs are submitted to.
    pub queues: Vec<Queue>,
    /// Pools of workers that jobs run on.
    pub pools: Vec<Pool>,
    /// Customers that submit jobs.
    pub customers: Vec<Customer>,
    /// The document as the operator sent it; reads return it unchanged.
    pub source: Bytes,
}

/// A queue: the address at which callers submit jobs, and the terms of these jobs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Unique name of the queue.
    pub name: String,
    /// Host that requests name.
    pub host: String,
    /// Prefix of the path that requests name.
    pub prefix: String,
    /// Timeout of a request, in milliseconds.
    pub timeout_ms: u64,
    /// Whether requests need no key.
    pub is_open: bool,
    /// Terms on which jobs of the queue run.
    pub terms: Terms,
}

/// Terms on which the jobs of a queue run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Terms {
    /// Pool that the tasks run in.
    pub pool: String,
    /// Priority class; 0 is the most urgent and may preempt others.
    pub priority: u32,
    /// Number of failed runs of one task, or of one gang, after which the job fails.
    pub attempts: u32,
    /// Multiple of the length of the job's critical path within which the job should complete.
    pub stretch: f64,
    /// Time added to that, in milliseconds.
    pub target_ms: u64,
}

/// A pool of workers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// Unique name of the pool, as workers report it.
    pub name: String,
    /// Whether workers of the pool refuse tasks that exceed their free resources.
    pub rejects_overload: bool,
}

/// A customer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Customer {
    /// Unique name of the customer.
    pub name: String,
    /// Bearer keys.
    pub keys: Vec<String>,
    /// Number of accelerators guaranteed to the customer's jobs of priority 0.
    pub guaranteed: u32,
}

impl Queue {
    /// Address of the queue, as jobs keep it: its host and its prefix.
    pub fn address(&self) -> String {
        format!("{} {}", self.host, self.prefix)
    }

    /// Whether this is the address of the queue.
    pub fn is_at(&self, address: &str) -> bool {
        address.split_once(' ').is_some_and(|parts| parts == (&self.host, &self.prefix))
    }
}

impl Document {
    /// Returns all faults of the document; empty if it may be put into force.
    pub fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        if self.revision == 0 {
            faults.push(fault("revision".into(), "is 0".into()));
        }
        let mut addresses = BTreeMap::new();
        for (at, queue) in self.queues.iter().enumerate() {
            if queue.timeout_ms == 0 {
                faults.push(fault(format!("queues.{at}.timeout_ms"), "is 0".into()));
            }
            if !self.pools.iter().any(|pool| pool.name == queue.terms.pool) {
                let message = format!("there is no pool {}", queue.terms.pool);
                faults.push(fault(format!("queues.{at}.terms.pool"), message));
            }
            if let Some(other) = addresses.insert((&queue.host, &queue.prefix), &queue.name) {
                let message = format!("{} has the same host and prefix", other);
                faults.push(fault(format!("queues.{at}"), message));
            }
        }
        let mut keys = BTreeMap::new();
        for (at, customer) in self.customers.iter().enumerate() {
            for key in &customer.keys {
                let previous = keys.insert(key, &customer.name);
                if previous.is_some_and(|other| *other != customer.name) {
                    let message = "a key is also another customer's".to_string();
                    faults.push(fault(format!("customers.{at}.keys"), message));
                }
            }
        }
        faults
    }

    /// Returns the queue of a host whose prefix is the longest that the path starts with, and the
    /// rest of the path.
    pub fn find_queue<'a>(&self, host: &str, path: &'a str) -> Option<(&Queue, &'a str)> {
        let mut best: Option<(&Queue, &str)> = None;
        for queue in &self.queues {
            if queue.host != host {
                continue;
            }
            let Some(rest) = path.strip_prefix(queue.prefix.as_str()) else { continue };
            if best.is_none_or(|(longest, _)| longest.prefix.len() < queue.prefix.len()) {
                best = Some((queue, rest));
            }
        }
        best
    }

    /// Returns the customer that a key belongs to.
    pub fn customer_by_key(&self, key: &str) -> Option<&Customer> {
        self.customers.iter().find(|customer| customer.keys.iter().any(|own| own == key))
    }

    /// Returns a customer by name.
    pub fn customer(&self, name: &str) -> Option<&Customer> {
        self.customers.iter().find(|customer| customer.name == name)
    }
}

fn fault(path: String, message: String) -> Fault {
    Fault { path, message }
}
