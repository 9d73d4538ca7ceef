//! The table of jobs: applies changes, each only to the phase and epoch that it names.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::{Command, Disposition, Gang, Job, Part, Phase, Spec};
use crate::error::{Code, Error};
use crate::state::{Reply, Result};

/// Finished jobs that are remembered.
const REMEMBERED: usize = 5_000;

/// All jobs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Table {
    /// Jobs that have not ended, by id.
    pub live: BTreeMap<String, Job>,
    /// Jobs that have ended, by id.
    pub ended: BTreeMap<String, Job>,
    ended_order: VecDeque<String>,
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
                Phase::Stopping { next: Disposition::Cancel, .. } => continue,
                phase => phase.gang().cloned(),
            };
            changed += 1;
            match gang {
                Some(gang) => job.phase = Phase::Stopping { gang, next: Disposition::Cancel },
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
        next: &Disposition,
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
        } else if *next == Disposition::Wait {
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
            Disposition::Cancel => self.end(id, Phase::Cancelled, now_ms),
            Disposition::Fail(reason) => self.end(id, Phase::Failed(reason), now_ms),
            Disposition::Wait if job.may_run_again() => {
                job.throttled_ms = None;
                job.phase = Phase::Waiting;
            }
            Disposition::Wait => {
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

fn unknown(id: &str) -> Error {
    Error::not_run(Code::NotFound, format!("no job {id}"))
}

fn moved_on(id: &str, phase: &Phase) -> Error {
    Error::not_run(Code::Conflict, format!("job {id} is {}", phase.name()))
}
