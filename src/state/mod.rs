//! The replicated state machine: deterministic, with no clock and no I/O of its own.

pub mod claim;
pub mod config;
pub mod document;
pub mod job;
pub mod worker;

use serde::{Deserialize, Serialize};

use crate::batch::table;
use crate::error;

/// Result of applying a command.
pub type Result<T> = error::Result<T>;

/// A change of the replicated state, as stored in the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Replaces the configuration document.
    Configure(config::Change),
    /// Claims the idempotency key of a non-idempotent request.
    Claim(claim::Request),
    /// Records the outcome of a claimed request.
    Settle(claim::Settlement),
    /// Changes jobs.
    Job(job::Command),
    /// Changes the record of a worker.
    Worker(worker::Command),
    /// Changes batch state.
    Batch(table::Command),
}

/// A command with the timestamp assigned by the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Wall-clock milliseconds since the Unix epoch, as read by the leader.
    pub at_ms: u64,
    /// Command to apply.
    pub command: Command,
}

/// Result of a successfully applied command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// Version of the accepted configuration; a resent change gets the version of the first
    /// request.
    Configured(u64),
    /// State of the claim after the command.
    Claim(claim::State),
    /// The job after the command.
    Job(Box<job::Job>),
    /// Number of jobs that a cancel command changed.
    Jobs(u64),
    /// The command was applied and has no result.
    Done,
}

/// All replicated state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Machine {
    /// Configuration document and the results of recent changes.
    pub config: config::Register,
    /// Claims of non-idempotent requests.
    pub claims: claim::Table,
    /// Live jobs, and the ended jobs that are kept.
    pub jobs: job::Table,
    /// Records of workers that were quarantined or drained.
    pub workers: worker::Table,
    /// Batch document and jobs.
    #[serde(default)]
    pub batch: table::Table,
    /// Greatest time applied so far, in wall-clock milliseconds.
    pub now_ms: u64,
}

impl Machine {
    /// Applies one committed command.
    ///
    /// # Errors
    /// The typed error of a rejected command, which does not take effect.
    pub fn apply(&mut self, timestamped: &Record) -> Result<Reply> {
        // A new leader's clock may be behind the old leader's; the state's time never decreases.
        self.now_ms = self.now_ms.max(timestamped.at_ms);
        let now_ms = self.now_ms;
        match &timestamped.command {
            Command::Configure(change) => self.config.apply(change).map(Reply::Configured),
            Command::Claim(request) => {
                let limits = &self.config.document.claims;
                self.claims.claim(request, limits, now_ms).map(Reply::Claim)
            }
            Command::Settle(settlement) => {
                let limits = &self.config.document.claims;
                self.claims.settle(settlement, limits, now_ms).map(Reply::Claim)
            }
            Command::Job(command) => self.jobs.apply(command, now_ms),
            Command::Worker(command) => {
                self.workers.apply(command, now_ms);
                Ok(Reply::Done)
            }
            Command::Batch(command) => self.batch.apply(command, now_ms).map(|()| Reply::Done),
        }
    }
}
