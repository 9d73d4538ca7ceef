//! Status of the cluster, its members and workers, as shown to operators.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::placement::guarantee::Risk;
use crate::placement::report::Shape;

/// State of the cluster, as known to the leader.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Cluster {
    /// Name of the leader's daemon.
    pub leader: String,
    /// Term of the leader.
    pub term: u64,
    /// Highest committed index.
    pub commit: u64,
    /// Version of the configuration in force.
    pub config_version: u64,
    /// Number of claims in the claim table.
    pub claims: u64,
    /// Control members.
    pub members: Vec<Member>,
    /// Entries that hold a lease, by name.
    pub entries: Vec<String>,
    /// Number of live workers.
    pub workers: u64,
    /// Number of live jobs by phase.
    pub jobs: BTreeMap<String, u64>,
    /// Guarantees for which the open workers lack room.
    #[serde(default)]
    pub risks: Vec<Risk>,
}

/// A control member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Identity of the member.
    pub id: String,
    /// Name of the member's daemon.
    pub name: String,
    /// Whether the member votes.
    pub is_voter: bool,
    /// Last log index known to be replicated to the member.
    pub matched: u64,
    /// Milliseconds since the member last answered the leader.
    pub silent_ms: u64,
}

/// A worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    /// Unique name of the worker.
    pub name: String,
    /// Rack, unique within its availability zone.
    pub rack: String,
    /// Availability zone.
    pub zone: String,
    /// Accelerators, cores and memory of the worker.
    pub shape: Shape,
    /// Entry that holds the worker's open poll.
    pub entry: String,
    /// Milliseconds since the last contact with the worker.
    pub silent_ms: u64,
    /// Whether leases of the worker may still be valid.
    pub is_live: bool,
    /// Whether the worker accepts new work.
    pub is_open: bool,
    /// Number of tasks that the worker reported.
    pub tasks: u64,
}
