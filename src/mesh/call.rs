//! Calls between daemons and their answers.

use serde::{Deserialize, Serialize};

use crate::batch::call as batch;
use crate::control::status;
use crate::placement::order::Order;
use crate::placement::report::Report;
use crate::replica::member;
use crate::state::claim;
use crate::state::document::Document;
use crate::state::job::Job;
use crate::state::{Command, Reply};

/// A call to the leader of the control members.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Call {
    /// Proposes a command for the replicated log.
    Propose(Command),
    /// Renews the entry lease.
    Renew(Renewal),
    /// Waits until every live entry uses at least this configuration version.
    AwaitInForce {
        /// Configuration version.
        version: u64,
        /// Longest wait, in milliseconds.
        within_ms: u64,
    },
    /// Forwards a worker's report that contains a change.
    Report(Report),
    /// Reads the configuration.
    Config,
    /// Waits until a claim is no longer pending.
    AwaitClaim {
        /// Key of the claim.
        key: claim::Key,
        /// Longest wait, in milliseconds.
        within_ms: u64,
    },
    /// Reads a job.
    Job {
        /// ID of the job.
        id: String,
    },
    /// Reads jobs.
    Jobs {
        /// Customer whose jobs are returned; the jobs of all customers if absent.
        customer: Option<String>,
    },
    /// Explains why a job waits.
    Explain {
        /// ID of the job.
        id: String,
    },
    /// Validates a document against the live workers.
    Check(Box<Document>),
    /// Reads the state of the cluster.
    Status,
    /// Reads the workers.
    Workers,
    /// Changes the membership.
    Change(member::Change),
    /// A request about batch jobs.
    Batch(Box<batch::Request>),
    /// Adds the named daemon as a learner and promotes it to voter once it has caught up.
    AddMember {
        /// Name of the daemon.
        name: String,
    },
}

impl Call {
    /// Returns whether the call makes a durable change, so that it may have taken effect even if no
    /// answer arrives.
    pub fn is_durable(&self) -> bool {
        match self {
            Self::Propose(_) | Self::Change(_) | Self::AddMember { .. } => true,
            Self::Batch(request) => request.is_durable(),
            _ => false,
        }
    }
}

/// An entry's request to renew its lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// Incarnation of the entry.
    pub incarnation: u64,
    /// Configuration version that the entry uses.
    pub version: u64,
    /// Workers that polled the entry recently.
    pub workers: Workers,
}

/// Workers that polled an entry recently. Unchanged lists are sent as a checksum only.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Workers {
    /// Sorted names of the workers.
    Names(Vec<String>),
    /// The same list as in an earlier renewal sent to the same leader.
    Same {
        /// Checksum of the names.
        revision: u32,
    },
}

impl Workers {
    /// Returns the CRC-32 of a list of names; every daemon computes the same value.
    pub fn revision(names: &[String]) -> u32 {
        let mut hasher = crc32fast::Hasher::new();
        for name in names {
            hasher.update(name.as_bytes());
            hasher.update(b"\n");
        }
        hasher.finalize()
    }
}

/// A lease granted to an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Lease {
    /// Duration in milliseconds, counted from the time the renewal was sent.
    pub length_ms: u64,
    /// Term of the leader that granted the lease.
    pub term: u64,
    /// Current configuration version.
    pub version: u64,
    /// Configuration document, if the entry's version was older.
    pub document: Option<Box<Document>>,
    /// Sorted names of the live entries, among which the slots of upstreams are divided.
    pub entries: Vec<String>,
}

/// Answer to a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// Result of a durable change.
    Reply(Reply),
    /// A lease.
    Lease(Lease),
    /// Whether every live entry uses the configuration version.
    InForce(bool),
    /// Orders for the reporting worker.
    Orders(Vec<Order>),
    /// The configuration.
    Config {
        /// Configuration version.
        version: u64,
        /// Configuration document.
        document: Box<Document>,
    },
    /// State of a claim, if it is still retained.
    Claim(Option<claim::State>),
    /// The job, if it exists.
    Job(Option<Box<Job>>),
    /// The requested jobs.
    Jobs(Vec<Job>),
    /// Human-readable explanation.
    Text(String),
    /// Faults found in a document; empty if it is valid.
    Faults(Vec<crate::state::document::Fault>),
    /// State of the cluster.
    Status(Box<status::Cluster>),
    /// The known workers.
    Workers(Vec<status::Worker>),
    /// Answer to a request about batch jobs.
    Batch(Box<batch::Answer>),
    /// The called daemon is not the leader; names the leader if it is known.
    Redirect(Option<String>),
    /// Success without a result.
    Done,
}
