//! Refusals of jobs that can't be served. They are decided before a job is proposed, since a refusal
//! promises that the job never runs.

use std::time::Duration;

use super::{Control, Term};
use crate::batch::admission::{Backlog, Request};
use crate::batch::estimate::Estimates;
use crate::batch::fleet::{Fleet, lease_bound_ms};
use crate::batch::job::{Job, Step};
use crate::batch::plan::{find_unsatisfiable_step, longest_path_ms};
use crate::batch::room::{self, Room};
use crate::batch::share::Share;
use crate::batch::table::{Submission, Table};
use crate::error::{Code, Error, Result};
use crate::telemetry::{DECISION, Metrics};

/// Retry delay for a job that no known worker could run: new workers are added within minutes.
const IMPOSSIBLE_RETRY_DELAY: Duration = Duration::from_secs(60);

/// Rejects a job that can't be served, and takes note of one that is about to be proposed. A new leader
/// accepts every job until all live workers must have sent it a heartbeat.
pub(super) fn check(
    control: &Control,
    term: u64,
    jobs: &Table,
    submission: &Submission,
) -> Result<()> {
    let now_ms = control.timer.now_ms();
    let mut term_state = control.dispatch.term_state.lock();
    term_state.enter(term, control)?;
    let Term { fleet, admission, room, estimates, .. } = &mut *term_state;
    let leader_for_ms = now_ms.saturating_sub(control.group.role_since_ms());
    let knows_workers = leader_for_ms >= lease_bound_ms(control.dispatch.lease_ms);
    if knows_workers {
        reject_impossible(fleet, jobs, submission, now_ms)?;
    }
    reject_without_room(room, jobs, submission, now_ms)?;
    let bytes = room::submission_bytes(submission);
    let Some(backlog) = admission.backlog(&submission.terms.pool) else {
        room.propose(submission.id, &submission.customer, bytes, now_ms);
        return Ok(());
    };
    let request = new_request(submission, backlog, estimates);
    let is_exempt = submission.spec.schedule.is_some()
        || submission.spec.steps.iter().any(|step| step.is_lasting);
    let refusal = admission.refusal(&request, &jobs.document);
    let refusal = refusal.filter(|_| knows_workers && !is_exempt);
    let Some(refusal) = refusal.filter(|_| !is_within_guarantee(jobs, submission)) else {
        admission.record_proposed(&request, now_ms);
        room.propose(submission.id, &submission.customer, bytes, now_ms);
        return Ok(());
    };
    admission.record_refused(&request, refusal, now_ms);
    let (queue, customer, ahead_ms) = (&submission.queue, &submission.customer, refusal.ahead_ms);
    let retry_after_ms = refusal.retry_after_ms;
    tracing::info!(target: DECISION, job = %submission.id, queue, customer, ahead_ms, retry_after_ms, "job refused: it can't be done in time");
    Metrics::global().count_job("refused_backlog");
    let message = format!("the work ahead of the job takes the pool {ahead_ms} ms");
    let error = Error::not_run(Code::OverLimit, message);
    Err(error.retry_after(Duration::from_millis(retry_after_ms)))
}

// Rejects a job for which accepted jobs leave no memory.
fn reject_without_room(
    room: &mut Room,
    jobs: &Table,
    submission: &Submission,
    now_ms: u64,
) -> Result<()> {
    room.update(jobs, now_ms);
    if room.is_proposed(submission.id) {
        return Ok(());
    }
    let (customer, bytes) = (&submission.customer, room::submission_bytes(submission));
    let refused = room.check(customer, bytes, false);
    let refused = refused.or_else(|_| {
        let is_guaranteed = is_within_guarantee(jobs, submission);
        room.check(customer, bytes, is_guaranteed)
    });
    let Err(refusal) = refused else { return Ok(()) };
    let (queue, retry_after_ms) = (&submission.queue, refusal.retry_after_ms);
    let (held_bytes, free_bytes) = (refusal.held_bytes, refusal.free_bytes);
    tracing::info!(target: DECISION, job = %submission.id, queue, customer, bytes, held_bytes, free_bytes, retry_after_ms, "job refused: accepted jobs leave no memory for it");
    Metrics::global().count_job("refused_memory");
    let error = Error::not_run(Code::OverLimit, refusal.to_string());
    Err(error.retry_after(refusal.retry_after()))
}

// Rejects a job of which a step fits on no worker.
fn reject_impossible(
    fleet: &Fleet,
    jobs: &Table,
    submission: &Submission,
    now_ms: u64,
) -> Result<()> {
    let places = fleet.workers(jobs, now_ms);
    let steps = &submission.spec.steps;
    let Some(step) = find_unsatisfiable_step(&places, &submission.terms.pool, steps) else {
        return Ok(());
    };
    Metrics::global().count_job("refused_impossible");
    let message = format!("no workers of the pool could hold step {step}");
    Err(Error::not_run(Code::OverLimit, message).retry_after(IMPOSSIBLE_RETRY_DELAY))
}

fn new_request<'a>(
    submission: &'a Submission,
    backlog: &Backlog,
    estimates: &Estimates,
) -> Request<'a> {
    let steps = &submission.spec.steps;
    let run_ms = |at: usize| estimates.run_ms(&submission.queue, steps[at].estimate_ms);
    let work_of = |(at, step): (usize, &Step)| {
        backlog.work(&step.demand, step.is_filler, step.count.into(), run_ms(at))
    };
    Request {
        id: submission.id,
        customer: &submission.customer,
        terms: &submission.terms,
        work: steps.iter().enumerate().map(work_of).sum::<Share>(),
        critical_path_ms: longest_path_ms(steps, run_ms),
    }
}

// Whether the customer's jobs of priority 0, this one included, need no more accelerators than it is
// guaranteed.
fn is_within_guarantee(jobs: &Table, submission: &Submission) -> bool {
    if submission.terms.priority > 0 {
        return false;
    }
    let Some(customer) = jobs.document.customer(&submission.customer) else { return false };
    let is_claim = |job: &&Job| job.terms.priority == 0 && job.customer == submission.customer;
    let claims = jobs.live.values().filter(is_claim).map(|job| job.spec.accelerators());
    let needed = claims.sum::<u64>() + submission.spec.accelerators();
    needed <= customer.guaranteed.into()
}
