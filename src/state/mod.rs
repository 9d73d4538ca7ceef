//! The replicated state machine: deterministic, without clock or I/O.

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

/// A durable change, as ordered by the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Replaces the configuration document.
    Configure(config::Change),
    /// Claims a non-idempotent request.
    Claim(claim::Request),
    /// Records what became of a claimed request.
    Settle(claim::Settlement),
    /// Changes a job.
    Job(job::Command),
    /// Changes what is remembered of a worker.
    Worker(worker::Command),
    /// Changes batch work.
    Batch(table::Command),
}

/// A command with the time that the leader gave it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TimestampedCommand {
    /// Wall-clock milliseconds since the Unix epoch, as read by the leader.
    pub at_ms: u64,
    /// The change.
    pub command: Command,
}

/// What applying a command gave.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// Configuration accepted (or accepted before, for a resent change) at this version.
    Configured(u64),
    /// State of the claim after the command.
    Claim(claim::ClaimState),
    /// The job after the command.
    Job(Box<job::Job>),
    /// Count of jobs that a batch changed.
    Jobs(u64),
    /// Nothing to report.
    Done,
}

/// All replicated state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StateMachine {
    /// Configuration document and its history.
    pub config: config::Register,
    /// Claims of non-idempotent requests.
    pub claims: claim::Table,
    /// Jobs.
    pub jobs: job::Table,
    /// Workers that are in quarantine or drained.
    pub workers: worker::Table,
    /// Batch work: its document and jobs.
    #[serde(default)]
    pub batch: table::Table,
    /// Greatest time applied so far, in wall-clock milliseconds.
    pub now_ms: u64,
}

impl StateMachine {
    /// Applies one committed command.
    ///
    /// # Errors
    /// The typed refusal, which leaves the state as it was.
    pub fn apply(&mut self, stamped: &TimestampedCommand) -> Result<Reply> {
        // A new leader's clock may be behind the old one's; state time never goes back.
        self.now_ms = self.now_ms.max(stamped.at_ms);
        let now_ms = self.now_ms;
        match &stamped.command {
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
