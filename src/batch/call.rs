//! Calls between daemons about batch work.

use serde::{Deserialize, Serialize};

use super::document::Document;
use super::job::{Phase, Spec};
use super::worker::{Heartbeat, Orders};
use crate::replica::Bytes;
use crate::replica::member::Id;

/// Where a caller called, and with which key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// Host that it named.
    pub host: String,
    /// Path.
    pub path: String,
    /// Its bearer key.
    pub key: Option<String>,
}

/// A request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Hands in a job; `None` where its body could not be understood.
    Submit {
        /// Where.
        target: Target,
        /// The job, or what is wrong with it.
        spec: Result<Spec, String>,
    },
    /// Asks for a job's phase, or for what waits in a queue.
    Status(Target),
    /// Cancels a job.
    Cancel(Target),
    /// A worker's heartbeat.
    Beat(Box<Heartbeat>),
    /// A worker is gone.
    Leave {
        /// Worker.
        worker: String,
        /// Which incarnation of it, where it says so.
        incarnation: Option<u64>,
    },
    /// Puts a document into force.
    Publish(Box<Document>),
    /// Reads the document in force.
    Document,
    /// Asks any member who leads and who the members are.
    Standing,
    /// Asks to become a member.
    Join {
        /// Name of the daemon.
        name: String,
        /// Identity of its data folder.
        id: Id,
    },
}

impl Request {
    /// What a log line calls the request: its verb, and the path, worker or daemon that it is about.
    pub fn subject(&self) -> (&'static str, &str) {
        match self {
            Self::Submit { target, .. } => ("submit", &target.path),
            Self::Status(target) => ("status", &target.path),
            Self::Cancel(target) => ("cancel", &target.path),
            Self::Beat(beat) => ("heartbeat", &beat.worker),
            Self::Leave { worker, .. } => ("leave", worker),
            Self::Publish(_) => ("publish", ""),
            Self::Document => ("document", ""),
            Self::Standing => ("standing", ""),
            Self::Join { name, .. } => ("join", name),
        }
    }

    /// Whether the request orders a durable change, so that an unanswered one may have run.
    pub fn is_durable(&self) -> bool {
        matches!(self, Self::Submit { .. } | Self::Cancel(_) | Self::Publish(_))
    }
}

/// An answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// Phase of a job.
    Phase(Phase),
    /// Accepted jobs of a queue of which nothing has started.
    Pending(u64),
    /// Orders for a worker.
    Orders(Box<Orders>),
    /// The document in force, as the operator sent it.
    Document {
        /// Revision.
        revision: u64,
        /// Text.
        source: Bytes,
    },
    /// Who leads and who the members are.
    Standing {
        /// Name of the leader, if known.
        leader: Option<String>,
        /// Names of the members.
        members: Vec<String>,
    },
    /// Done.
    Done,
}
