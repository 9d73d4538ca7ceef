//! Requests and answers between daemons for batch jobs.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::document::Document;
use super::job::{Phase, Spec};
use super::table::Evacuation;
use super::worker::{Heartbeat, Orders};
use crate::replica::Bytes;
use crate::replica::member::Id;

/// Address and credentials of a caller's request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// Host that the request names.
    pub host: String,
    /// Path of the request.
    pub path: String,
    /// Bearer key, if one was sent.
    pub key: Option<String>,
}

/// A request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Submits a job.
    Submit {
        /// Address and credentials.
        target: Target,
        /// The job, or the error that its body could not be parsed with.
        spec: Result<Spec, String>,
    },
    /// Asks for the phase of a job, or for the number of pending jobs of a queue.
    Status(Target),
    /// Cancels a job.
    Cancel(Target),
    /// A worker's heartbeat.
    Beat(Box<Heartbeat>),
    /// Announces that a worker leaves.
    Leave {
        /// Name of the worker.
        worker: String,
        /// Incarnation of the worker, if the request names it.
        incarnation: Option<u64>,
    },
    /// Puts a document into force.
    Publish(Arc<Document>),
    /// Begins or ends the evacuation of a zone.
    Evacuate(Evacuation),
    /// Reads the document in force.
    Document,
    /// Asks any member for the names of the leader and of the members.
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
    /// The request in log lines: its verb, and the path, worker or daemon that it concerns.
    pub fn subject(&self) -> (&'static str, &str) {
        match self {
            Self::Submit { target, .. } => ("submit", &target.path),
            Self::Status(target) => ("status", &target.path),
            Self::Cancel(target) => ("cancel", &target.path),
            Self::Beat(heartbeat) => ("heartbeat", &heartbeat.worker),
            Self::Leave { worker, .. } => ("leave", worker),
            Self::Publish(_) => ("publish", ""),
            Self::Evacuate(evacuation) => ("evacuate", &evacuation.zone),
            Self::Document => ("document", ""),
            Self::Standing => ("standing", ""),
            Self::Join { name, .. } => ("join", name),
        }
    }

    /// Whether the request makes a durable change, so that it may have run even if it was not
    /// answered.
    pub fn is_durable(&self) -> bool {
        matches!(self, Self::Submit { .. } | Self::Cancel(_) | Self::Publish(_) | Self::Evacuate(_))
    }
}

/// An answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// Phase of a job.
    Phase(Phase),
    /// Number of jobs of a queue that were accepted and have not started.
    Pending(u64),
    /// Orders for a worker.
    Orders(Box<Orders>),
    /// The document in force, as the operator sent it.
    Document {
        /// Revision of the document.
        revision: u64,
        /// Text as the operator sent it.
        source: Bytes,
    },
    /// Names of the leader and of the members.
    Standing {
        /// Name of the leader, if known.
        leader: Option<String>,
        /// Names of the members.
        members: Vec<String>,
    },
    /// The request was executed.
    Done,
}
