//! Rows that operators read.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::placement::guarantee::Risk;
use crate::placement::report::Shape;

/// State of the cluster, as the leader sees it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Cluster {
    /// Name of the leader's daemon.
    pub leader: String,
    /// Its term.
    pub term: u64,
    /// Highest committed index.
    pub commit: u64,
    /// Configuration version.
    pub config_version: u64,
    /// Claims remembered.
    pub claims: u64,
    /// Members.
    pub members: Vec<Member>,
    /// Entries whose lease runs.
    pub entries: Vec<String>,
    /// Live workers.
    pub workers: u64,
    /// Live jobs by phase.
    pub jobs: BTreeMap<String, u64>,
    /// Guarantees that the open workers can't hold.
    #[serde(default)]
    pub risks: Vec<Risk>,
}

/// A control member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Identity.
    pub id: String,
    /// Name of its daemon.
    pub name: String,
    /// Whether it votes.
    pub is_voter: bool,
    /// Entries it has, as known to the leader.
    pub matched: u64,
    /// Milliseconds since it last answered the leader.
    pub silent_ms: u64,
}

/// A worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    /// Name.
    pub name: String,
    /// Rack.
    pub rack: String,
    /// Availability zone.
    pub zone: String,
    /// What it has.
    pub shape: Shape,
    /// Entry that holds its poll.
    pub entry: String,
    /// Milliseconds since it was last heard.
    pub silent_ms: u64,
    /// Whether its leases may still run.
    pub is_live: bool,
    /// Whether it takes new work.
    pub is_open: bool,
    /// Tasks it reported.
    pub tasks: u64,
}
