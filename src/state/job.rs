//! Jobs: gangs of tasks, their placements and epochs.

use std::collections::BTreeMap;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::{Reply, Result};
use crate::error::{Code, Error};

/// Finished jobs that are remembered.
const REMEMBERED: usize = 5_000;

/// What a customer asks for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// Kind of work.
    pub kind: String,
    /// Parts of the gang, 1 to 32.
    #[serde(default = "one")]
    pub parts: u32,
    /// Accelerators of each part.
    pub accelerators: u32,
    /// Processor cores of each part.
    #[serde(default)]
    pub cores: u32,
    /// Memory of each part, in MiB.
    #[serde(default)]
    pub memory_mib: u64,
    /// Declared run time, in milliseconds; a hint.
    #[serde(default)]
    pub run_ms: u64,
    /// Milliseconds from submission until the job should be finished.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// Whether the job may be started again after it may have started.
    #[serde(default)]
    pub idempotent: bool,
    /// Whether the job may be stopped for others and started or resumed later.
    #[serde(default)]
    pub evictable: bool,
    /// How close the parts must be.
    #[serde(default)]
    pub adjacency: Adjacency,
    /// Opaque text for the tasks.
    #[serde(default)]
    pub payload: String,
}

const fn one() -> u32 {
    1
}

/// How close the parts of a gang must be.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Adjacency {
    /// Anywhere.
    #[default]
    #[display("any")]
    Any,
    /// In one availability zone.
    #[display("zone")]
    Zone,
    /// In one rack.
    #[display("rack")]
    Rack,
    /// On one worker.
    #[display("worker")]
    Worker,
}

/// Where one part of a gang runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Worker.
    pub worker: String,
    /// Accelerators of the worker, one bit each.
    pub accelerators: u32,
}

/// A placed gang.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gang {
    /// Fencing epoch, unique over all jobs; greater is newer.
    pub epoch: u64,
    /// One placement for each part, in order.
    pub parts: Vec<Part>,
    /// Whether the gang sits inside its customer's guarantee.
    pub guaranteed: bool,
    /// When this phase began, in wall-clock milliseconds.
    pub since_ms: u64,
}

/// What follows when a gang has stopped.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Next {
    /// It waits again.
    Wait,
    /// It is cancelled.
    Cancel,
    /// It has failed.
    Fail(String),
}

/// Phase of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Waits to be placed.
    Waiting,
    /// Parts prepare; none has started.
    Preparing(Gang),
    /// All parts may have started.
    Started(Gang),
    /// Parts are being stopped.
    Stopping {
        /// The gang.
        gang: Gang,
        /// What follows.
        next: Next,
    },
    /// All parts finished.
    Finished,
    /// The job failed.
    Failed(String),
    /// The job was cancelled.
    Cancelled,
}

impl Phase {
    /// Name of the phase.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Waiting => "waiting",
            Self::Preparing(_) => "preparing",
            Self::Started(_) => "started",
            Self::Stopping { .. } => "stopping",
            Self::Finished => "finished",
            Self::Failed(_) => "failed",
            Self::Cancelled => "cancelled",
        }
    }

    /// Whether the job has ended.
    pub fn is_final(&self) -> bool {
        matches!(self, Self::Finished | Self::Failed(_) | Self::Cancelled)
    }

    /// The gang that holds accelerators, if any.
    pub fn gang(&self) -> Option<&Gang> {
        match self {
            Self::Preparing(gang) | Self::Started(gang) | Self::Stopping { gang, .. } => Some(gang),
            _ => None,
        }
    }
}

/// A job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Id.
    pub id: String,
    /// Customer.
    pub customer: String,
    /// What was asked for.
    pub spec: Spec,
    /// When it was submitted, in wall-clock milliseconds.
    pub submitted_ms: u64,
    /// When it first started, in wall-clock milliseconds.
    pub started_ms: Option<u64>,
    /// When it ended, in wall-clock milliseconds.
    pub ended_ms: Option<u64>,
    /// Phase.
    pub phase: Phase,
    /// Whether a task of it may ever have started.
    pub may_have_started: bool,
    /// Whether a task may have run since the checkpoint.
    #[serde(default)]
    pub ran_since_checkpoint: bool,
    /// Confirmed checkpoint from which it can be resumed.
    pub checkpoint: Option<String>,
    /// Workers on which it failed, and when it last did, in wall-clock milliseconds.
    pub failed_on: BTreeMap<String, u64>,
    /// How often a part of it failed.
    #[serde(default)]
    pub failures: u32,
    /// When its tasks were last told to use no more than declared, in wall-clock milliseconds.
    #[serde(default)]
    pub throttled_ms: Option<u64>,
    /// How often it was evicted.
    pub evictions: u32,
}

/// A change of jobs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Takes a new job; a resend gives the same job.
    Submit {
        /// Id.
        id: String,
        /// Customer.
        customer: String,
        /// What is asked for.
        spec: Spec,
    },
    /// Cancels jobs; ended and unknown ones are passed over.
    Cancel {
        /// Customer whose jobs may be cancelled.
        customer: String,
        /// Ids.
        ids: Vec<String>,
    },
    /// Places a waiting job.
    Place {
        /// Job.
        id: String,
        /// One placement for each part.
        parts: Vec<Part>,
        /// Whether the gang sits inside its customer's guarantee.
        guaranteed: bool,
    },
    /// All parts are prepared: the gang may start.
    Start {
        /// Job.
        id: String,
        /// Epoch of the gang.
        epoch: u64,
    },
    /// All parts finished.
    Finish {
        /// Job.
        id: String,
        /// Epoch of the gang.
        epoch: u64,
    },
    /// Stops the gang.
    Stop {
        /// Job.
        id: String,
        /// Epoch of the gang.
        epoch: u64,
        /// What follows.
        next: Next,
        /// Worker at which a part failed, if one did.
        failed_on: Option<String>,
    },
    /// Tells the gang's tasks to use no more than declared.
    Throttle {
        /// Job.
        id: String,
        /// Epoch of the gang.
        epoch: u64,
    },
    /// Every part is confirmed stopped, or its lease chain ran out.
    Stopped {
        /// Job.
        id: String,
        /// Epoch of the gang.
        epoch: u64,
        /// Checkpoint that all parts confirmed.
        checkpoint: Option<String>,
    },
    /// Fails a waiting job that can never run.
    Refuse {
        /// Job.
        id: String,
        /// Why.
        reason: String,
    },
}

/// All jobs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Table {
    /// Jobs that have not ended, by id.
    pub live: BTreeMap<String, Job>,
    /// Jobs that have ended, by id.
    pub ended: BTreeMap<String, Job>,
    ended_order: std::collections::VecDeque<String>,
    #[serde(default)]
    ended_total: u64,
    last_epoch: u64,
}

impl Table {
    /// The job of that id, ended or not.
    pub fn get(&self, id: &str) -> Option<&Job> {
        self.live.get(id).or_else(|| self.ended.get(id))
    }

    /// Jobs that have ended so far, forgotten ones too.
    pub fn ended_total(&self) -> u64 {
        self.ended_total
    }

    /// Remembered jobs that ended after the first `seen`, oldest first.
    pub fn ended_after(&self, seen: u64) -> impl Iterator<Item = &Job> {
        let fresh = self.ended_total.saturating_sub(seen) as usize;
        let skipped = self.ended_order.len().saturating_sub(fresh);
        self.ended_order.iter().skip(skipped).filter_map(|id| self.ended.get(id))
    }

    /// Applies a change.
    ///
    /// # Errors
    /// `not_found`, or `conflict` where the job's phase or epoch has moved on.
    pub fn apply(&mut self, command: &Command, now_ms: u64) -> Result<Reply> {
        match command {
            Command::Submit { id, customer, spec } => self.submit(id, customer, spec, now_ms),
            Command::Cancel { customer, ids } => Ok(self.cancel(customer, ids, now_ms)),
            Command::Place { id, parts, guaranteed } => {
                self.place(id, parts, *guaranteed, now_ms)?;
                self.reply(id)
            }
            Command::Start { id, epoch } => {
                self.start(id, *epoch, now_ms)?;
                self.reply(id)
            }
            Command::Finish { id, epoch } => {
                let job = self.job(id)?;
                match &job.phase {
                    Phase::Started(gang) if gang.epoch == *epoch => {}
                    phase => return Err(moved_on(id, phase)),
                }
                self.end(id, Phase::Finished, now_ms);
                self.reply(id)
            }
            Command::Stop { id, epoch, next, failed_on } => {
                self.stop(id, *epoch, next, failed_on.as_deref(), now_ms)?;
                self.reply(id)
            }
            Command::Throttle { id, epoch } => {
                let job = self.job(id)?;
                match &job.phase {
                    Phase::Started(gang) if gang.epoch == *epoch => {}
                    phase => return Err(moved_on(id, phase)),
                }
                job.throttled_ms = Some(now_ms);
                self.reply(id)
            }
            Command::Stopped { id, epoch, checkpoint } => {
                self.stopped(id, *epoch, checkpoint.as_deref(), now_ms)?;
                self.reply(id)
            }
            Command::Refuse { id, reason } => {
                let job = self.job(id)?;
                if job.phase != Phase::Waiting {
                    return Err(moved_on(id, &job.phase));
                }
                self.end(id, Phase::Failed(reason.clone()), now_ms);
                self.reply(id)
            }
        }
    }

    fn reply(&self, id: &str) -> Result<Reply> {
        let job = self.get(id).ok_or_else(|| unknown(id))?;
        Ok(Reply::Job(Box::new(job.clone())))
    }

    fn job(&mut self, id: &str) -> Result<&mut Job> {
        self.live.get_mut(id).ok_or_else(|| unknown(id))
    }

    fn submit(&mut self, id: &str, customer: &str, spec: &Spec, now_ms: u64) -> Result<Reply> {
        if let Some(job) = self.get(id) {
            if job.customer != customer || job.spec != *spec {
                let message = format!("job {id} exists with another content");
                return Err(Error::not_run(Code::KeyReused, message));
            }
            return Ok(Reply::Job(Box::new(job.clone())));
        }
        let job = Job {
            id: id.into(),
            customer: customer.into(),
            spec: spec.clone(),
            submitted_ms: now_ms,
            started_ms: None,
            ended_ms: None,
            phase: Phase::Waiting,
            may_have_started: false,
            ran_since_checkpoint: false,
            checkpoint: None,
            failed_on: BTreeMap::new(),
            failures: 0,
            throttled_ms: None,
            evictions: 0,
        };
        self.live.insert(id.into(), job.clone());
        Ok(Reply::Job(Box::new(job)))
    }

    fn cancel(&mut self, customer: &str, ids: &[String], now_ms: u64) -> Reply {
        let mut changed = 0;
        for id in ids {
            let Some(job) = self.live.get_mut(id) else { continue };
            if job.customer != customer {
                continue;
            }
            let gang = match &job.phase {
                Phase::Stopping { next: Next::Cancel, .. } => continue,
                phase => phase.gang().cloned(),
            };
            changed += 1;
            match gang {
                Some(gang) => job.phase = Phase::Stopping { gang, next: Next::Cancel },
                None => self.end(id, Phase::Cancelled, now_ms),
            }
        }
        Reply::Jobs(changed)
    }

    fn place(&mut self, id: &str, parts: &[Part], guaranteed: bool, now_ms: u64) -> Result<()> {
        let epoch = self.last_epoch + 1;
        let job = self.job(id)?;
        if job.phase != Phase::Waiting {
            return Err(moved_on(id, &job.phase));
        }
        job.phase =
            Phase::Preparing(Gang { epoch, parts: parts.to_vec(), guaranteed, since_ms: now_ms });
        self.last_epoch = epoch;
        Ok(())
    }

    fn start(&mut self, id: &str, epoch: u64, now_ms: u64) -> Result<()> {
        let job = self.job(id)?;
        let mut gang = match &job.phase {
            Phase::Preparing(gang) if gang.epoch == epoch => gang.clone(),
            phase => return Err(moved_on(id, phase)),
        };
        gang.since_ms = now_ms;
        job.phase = Phase::Started(gang);
        job.may_have_started = true;
        job.ran_since_checkpoint = true;
        job.started_ms.get_or_insert(now_ms);
        Ok(())
    }

    fn stop(
        &mut self,
        id: &str,
        epoch: u64,
        next: &Next,
        failed_on: Option<&str>,
        now_ms: u64,
    ) -> Result<()> {
        let job = self.job(id)?;
        let mut gang = match &job.phase {
            Phase::Preparing(gang) | Phase::Started(gang) if gang.epoch == epoch => gang.clone(),
            phase => return Err(moved_on(id, phase)),
        };
        gang.since_ms = now_ms;
        if let Some(worker) = failed_on {
            job.failed_on.insert(worker.into(), now_ms);
            job.failures += 1;
        } else if *next == Next::Wait {
            job.evictions += 1;
        }
        job.phase = Phase::Stopping { gang, next: next.clone() };
        Ok(())
    }

    fn stopped(
        &mut self,
        id: &str,
        epoch: u64,
        checkpoint: Option<&str>,
        now_ms: u64,
    ) -> Result<()> {
        let job = self.job(id)?;
        let next = match &job.phase {
            Phase::Stopping { gang, next } if gang.epoch == epoch => next.clone(),
            phase => return Err(moved_on(id, phase)),
        };
        if let Some(checkpoint) = checkpoint {
            job.checkpoint = Some(checkpoint.into());
            job.ran_since_checkpoint = false;
        }
        match next {
            Next::Cancel => self.end(id, Phase::Cancelled, now_ms),
            Next::Fail(reason) => self.end(id, Phase::Failed(reason), now_ms),
            Next::Wait if job.may_run_again() => {
                job.throttled_ms = None;
                job.phase = Phase::Waiting;
            }
            Next::Wait => {
                let reason = "may have started and is not idempotent".to_string();
                self.end(id, Phase::Failed(reason), now_ms);
            }
        }
        Ok(())
    }

    fn end(&mut self, id: &str, phase: Phase, now_ms: u64) {
        let Some(mut job) = self.live.remove(id) else { return };
        job.phase = phase;
        job.ended_ms = Some(now_ms);
        self.ended.insert(id.into(), job);
        self.ended_order.push_back(id.into());
        self.ended_total += 1;
        if self.ended_order.len() <= REMEMBERED {
            return;
        }
        if let Some(oldest) = self.ended_order.pop_front() {
            self.ended.remove(&oldest);
        }
    }
}

impl Job {
    /// Whether a (further) start keeps the job's promise of running at most once.
    pub fn may_run_again(&self) -> bool {
        // What ran after the checkpoint would run twice.
        let resumes = self.checkpoint.is_some() && !self.ran_since_checkpoint;
        !self.may_have_started || self.spec.idempotent || resumes
    }
}

fn unknown(id: &str) -> Error {
    Error::not_run(Code::NotFound, format!("no job {id}"))
}

fn moved_on(id: &str, phase: &Phase) -> Error {
    Error::not_run(Code::Conflict, format!("job {id} is {}", phase.name()))
}
