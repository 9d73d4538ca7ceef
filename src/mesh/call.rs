//! Calls between daemons.

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
    /// Orders a durable change.
    Propose(Command),
    /// Renews the entry lease.
    Renew(Renewal),
    /// Waits until a configuration version is in force at every live entry.
    AwaitInForce {
        /// Version.
        version: u64,
        /// Longest wait, in milliseconds.
        within_ms: u64,
    },
    /// A worker's report that changed something.
    Report(Report),
    /// Reads the configuration.
    Config,
    /// Waits until a claim is no longer pending.
    AwaitClaim {
        /// Key.
        key: claim::Key,
        /// Longest wait, in milliseconds.
        within_ms: u64,
    },
    /// Reads a job.
    Job {
        /// Job.
        id: String,
    },
    /// Reads jobs.
    Jobs {
        /// Customer whose jobs are asked for; all where absent.
        customer: Option<String>,
    },
    /// Tells why a job waits.
    Explain {
        /// Job.
        id: String,
    },
    /// Checks a document against the live workers.
    Check(Box<Document>),
    /// Reads the state of the cluster.
    Status,
    /// Reads the workers.
    Workers,
    /// Changes the membership.
    Change(member::Change),
    /// A request about batch work.
    Batch(Box<batch::Request>),
    /// Adds the daemon of this name as a member, and makes it a voter once it has caught up.
    AddMember {
        /// Name.
        name: String,
    },
}

impl Call {
    /// Whether the call orders a durable change, so that an unanswered one may have run.
    pub fn is_durable(&self) -> bool {
        match self {
            Self::Propose(_) | Self::Change(_) | Self::AddMember { .. } => true,
            Self::Batch(request) => request.is_durable(),
            _ => false,
        }
    }
}

/// An entry's request for a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// Incarnation of the entry.
    pub incarnation: u64,
    /// Configuration version in force at the entry.
    pub version: u64,
    /// Workers heard lately.
    pub workers: ActiveWorkers,
}

/// Workers that an entry heard lately.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ActiveWorkers {
    /// Their names, sorted.
    Names(Vec<String>),
    /// The same as those of an earlier renewal to the same leader.
    Same {
        /// Revision of the names.
        revision: u32,
    },
}

impl ActiveWorkers {
    /// Revision of a list of names, the same at every daemon.
    pub fn revision(names: &[String]) -> u32 {
        let mut hasher = crc32fast::Hasher::new();
        for name in names {
            hasher.update(name.as_bytes());
            hasher.update(b"\n");
        }
        hasher.finalize()
    }
}

/// A lease for an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Lease {
    /// Length, in milliseconds, counted from when the renewal was sent.
    pub length_ms: u64,
    /// Term of the leader that granted it.
    pub term: u64,
    /// Current configuration version.
    pub version: u64,
    /// The document, where the entry's was older.
    pub document: Option<Box<Document>>,
    /// Live entries, sorted by name; they share the slots of upstreams.
    pub entries: Vec<String>,
}

/// Answer to a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// Result of a durable change.
    Reply(Reply),
    /// A lease.
    Lease(Lease),
    /// Whether the version is in force everywhere.
    InForce(bool),
    /// Orders for a worker.
    Orders(Vec<Order>),
    /// The configuration.
    Config {
        /// Version.
        version: u64,
        /// Document.
        document: Box<Document>,
    },
    /// A claim's state, if it is remembered.
    Claim(Option<claim::ClaimState>),
    /// A job.
    Job(Option<Box<Job>>),
    /// Jobs.
    Jobs(Vec<Job>),
    /// Explanation for a person.
    Text(String),
    /// Faults of a document; empty where there is none.
    Faults(Vec<crate::state::document::Fault>),
    /// State of the cluster.
    Status(Box<status::Cluster>),
    /// Workers.
    Workers(Vec<status::Worker>),
    /// Answer to a request about batch work.
    Batch(Box<batch::Answer>),
    /// The receiver does not lead; the leader's name, if it is known.
    Redirect(Option<String>),
    /// Done.
    Done,
}
