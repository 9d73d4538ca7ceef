//! The table of jobs; a change applies only if the job is still in the expected phase and epoch.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::{Command, Disposition, Gang, Job, Part, Phase, Spec};
use crate::error::{Code, Error};
use crate::state::{Reply, Result};

/// Largest number of ended jobs that are kept.
const MAX_ENDED_JOBS: usize = 5_000;

/// All jobs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Table {
    /// Jobs that have not ended, by ID.
    pub live: BTreeMap<String, Job>,
    /// Jobs that have ended, by ID.
    pub ended: BTreeMap<String, Job>,
    ended_order: VecDeque<String>,
    #[serde(default)]
    ended_total: u64,
    last_epoch: u64,
}

impl Table {
    /// Returns the job with the given ID, live or ended.
    pub fn get(&self, id: &str) -> Option<&Job> {
        self.live.get(id).or_else(|| self.ended.get(id))
    }

    /// Number of jobs that have ended so far, including those no longer kept.
    pub fn ended_total(&self) -> u64 {
        self.ended_total
    }

    /// Returns the kept jobs that ended after the first `seen` ones, oldest first.
    pub fn ended_after(&self, seen: u64) -> impl Iterator<Item = &Job> {
        let new_count = self.ended_total.saturating_sub(seen) as usize;
        let skip_count = self.ended_order.len().saturating_sub(new_count);
        self.ended_order.iter().skip(skip_count).filter_map(|id| self.ended.get(id))
    }

    /// Applies a change.
    ///
    /// # Errors
    /// `not_found`, `key_reused` if a submitted ID belongs to another job, or `conflict` if the job
    /// is no longer in the expected phase or epoch.
    pub fn apply(&mut self, command: &Command, now_ms: u64) -> Result<Reply> {
        match command {
            Command::Submit { id, customer, spec } => self.submit(id, customer, spec, now_ms),
            Command::Cancel { customer, ids } => Ok(self.cancel(customer, ids, now_ms)),
            Command::Place { id, parts, guaranteed } => {
                self.place(id, parts, *guaranteed, now_ms)?;
                self.job_reply(id)
            }
            Command::Start { id, epoch } => {
                self.start(id, *epoch, now_ms)?;
                self.job_reply(id)
            }
            Command::Finish { id, epoch } => {
                let job = self.live_job(id)?;
                match &job.phase {
                    Phase::Started(gang) if gang.epoch == *epoch => {}
                    phase => return Err(phase_conflict(id, phase)),
                }
                self.end_job(id, Phase::Finished, now_ms);
                self.job_reply(id)
            }
            Command::Stop { id, epoch, next, failed_on } => {
                self.stop(id, *epoch, next, failed_on.as_deref(), now_ms)?;
                self.job_reply(id)
            }
            Command::Throttle { id, epoch } => {
                let job = self.live_job(id)?;
                match &job.phase {
                    Phase::Started(gang) if gang.epoch == *epoch => {}
                    phase => return Err(phase_conflict(id, phase)),
                }
                job.throttled_ms = Some(now_ms);
                self.job_reply(id)
            }
            Command::Stopped { id, epoch, checkpoint } => {
                self.complete_stop(id, *epoch, checkpoint.as_deref(), now_ms)?;
                self.job_reply(id)
            }
            Command::Refuse { id, reason } => {
                let job = self.live_job(id)?;
                if job.phase != Phase::Waiting {
                    return Err(phase_conflict(id, &job.phase));
                }
                self.end_job(id, Phase::Failed(reason.clone()), now_ms);
                self.job_reply(id)
            }
        }
    }

    fn job_reply(&self, id: &str) -> Result<Reply> {
        let job = self.get(id).ok_or_else(|| job_not_found(id))?;
        Ok(Reply::Job(Box::new(job.clone())))
    }

    fn live_job(&mut self, id: &str) -> Result<&mut Job> {
        self.live.get_mut(id).ok_or_else(|| job_not_found(id))
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
        let mut cancelled = 0;
        for id in ids {
            let Some(job) = self.live.get_mut(id) else { continue };
            if job.customer != customer {
                continue;
            }
            let gang = match &job.phase {
                Phase::Stopping { next: Disposition::Cancel, .. } => continue,
                phase => phase.gang().cloned(),
            };
            cancelled += 1;
            match gang {
                Some(gang) => job.phase = Phase::Stopping { gang, next: Disposition::Cancel },
                None => self.end_job(id, Phase::Cancelled, now_ms),
            }
        }
        Reply::Jobs(cancelled)
    }

    fn place(&mut self, id: &str, parts: &[Part], guaranteed: bool, now_ms: u64) -> Result<()> {
        let epoch = self.last_epoch + 1;
        let job = self.live_job(id)?;
        if job.phase != Phase::Waiting {
            return Err(phase_conflict(id, &job.phase));
        }
        job.phase =
            Phase::Preparing(Gang { epoch, parts: parts.to_vec(), guaranteed, since_ms: now_ms });
        self.last_epoch = epoch;
        Ok(())
    }

    fn start(&mut self, id: &str, epoch: u64, now_ms: u64) -> Result<()> {
        let job = self.live_job(id)?;
        let mut gang = match &job.phase {
            Phase::Preparing(gang) if gang.epoch == epoch => gang.clone(),
            phase => return Err(phase_conflict(id, phase)),
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
        let job = self.live_job(id)?;
        let mut gang = match &job.phase {
            Phase::Preparing(gang) | Phase::Started(gang) if gang.epoch == epoch => gang.clone(),
            phase => return Err(phase_conflict(id, phase)),
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

    fn complete_stop(
        &mut self,
        id: &str,
        epoch: u64,
        checkpoint: Option<&str>,
        now_ms: u64,
    ) -> Result<()> {
        let job = self.live_job(id)?;
        let next = match &job.phase {
            Phase::Stopping { gang, next } if gang.epoch == epoch => next.clone(),
            phase => return Err(phase_conflict(id, phase)),
        };
        if let Some(checkpoint) = checkpoint {
            job.checkpoint = Some(checkpoint.into());
            job.ran_since_checkpoint = false;
        }
        match next {
            Disposition::Cancel => self.end_job(id, Phase::Cancelled, now_ms),
            Disposition::Fail(reason) => self.end_job(id, Phase::Failed(reason), now_ms),
            Disposition::Wait if job.may_run_again() => {
                job.throttled_ms = None;
                job.phase = Phase::Waiting;
            }
            Disposition::Wait => {
                let reason = "may have started and is not idempotent".to_string();
                self.end_job(id, Phase::Failed(reason), now_ms);
            }
        }
        Ok(())
    }

    fn end_job(&mut self, id: &str, phase: Phase, now_ms: u64) {
        let Some(mut job) = self.live.remove(id) else { return };
        job.phase = phase;
        job.ended_ms = Some(now_ms);
        self.ended.insert(id.into(), job);
        self.ended_order.push_back(id.into());
        self.ended_total += 1;
        if self.ended_order.len() <= MAX_ENDED_JOBS {
            return;
        }
        if let Some(oldest) = self.ended_order.pop_front() {
            self.ended.remove(&oldest);
        }
    }
}

fn job_not_found(id: &str) -> Error {
    Error::not_run(Code::NotFound, format!("no job {id}"))
}

fn phase_conflict(id: &str, phase: &Phase) -> Error {
    Error::not_run(Code::Conflict, format!("job {id} is {}", phase.name()))
}
