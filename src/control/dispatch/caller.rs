//! Requests of callers and operators at the leader: jobs and the configuration document.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::MutexGuard;
use tokio::time::timeout;

use super::{Control, propose, refusal};
use crate::batch::access::{self, Caller};
use crate::batch::call::{Answer, Target};
use crate::batch::document::Document;
use crate::batch::job::{Id, Job, Phase, Spec, active_runs};
use crate::batch::table::{self, Command as Batch, Evacuation, Submission, Table};
use crate::error::{Code, Error, Result};
use crate::telemetry::{DECISION, Metrics};

/// Maximum length of the name of an availability zone, in bytes; names are part of the log.
const MAX_ZONE_BYTES: usize = 256;

/// Longest wait of a document for others, less than the timeout of a call to the leader.
const MAX_PUBLICATION_WAIT: Duration = Duration::from_millis(700);
/// Delay after which the sender of a document that had to wait too long may try again.
const PUBLICATION_RETRY_DELAY: Duration = Duration::from_secs(1);

pub(super) async fn submit(
    control: &Control,
    target: &Target,
    spec: std::result::Result<Spec, String>,
) -> Result<Answer> {
    let term = control.group.read_in_term().await?;
    let (submission, revision, is_open) = {
        let machine = control.machine.lock();
        let (caller, rest) = find_caller(&machine.batch.document, target)?;
        let id = parse_job_id(rest)?;
        let known = machine.batch.job(id);
        if known.is_some_and(|job| !caller.owns(job)) {
            return Err(id_conflict(id));
        }
        let mut spec = spec.map_err(|message| Error::not_run(Code::BadRequest, message))?;
        if let Some(fault) = spec.fault() {
            return Err(Error::not_run(Code::BadRequest, fault));
        }
        spec.remove_repeated_references();
        if let Some(job) = known {
            let is_repeated = caller.repeats(job, &spec);
            return if is_repeated { Ok(Answer::Phase(job.phase())) } else { Err(id_conflict(id)) };
        }
        let queue = caller.queue;
        let submission = Submission {
            id,
            queue: queue.name.clone(),
            address: queue.address(),
            customer: caller.customer.to_string(),
            terms: queue.terms.clone(),
            spec,
        };
        refusal::check(control, term, &machine.batch, &submission)?;
        (submission, machine.batch.document.revision, queue.is_open)
    };
    let (id, queue) = (submission.id, submission.queue.clone());
    let (customer, steps) = (submission.customer.clone(), submission.spec.steps.len());
    let (address, digest) = (submission.address.clone(), access::digest(&submission.spec));
    propose(control, Batch::Submit(Box::new(submission))).await?;
    // Another caller's job may have been committed under the same ID meanwhile.
    let is_own = |job: &Job| {
        let is_same_queue =
            if job.address.is_empty() { job.queue == queue } else { job.address == address };
        let is_same_caller = is_same_queue && (is_open || job.customer == customer);
        is_same_caller && (job.outcome.is_some() || access::digest(&job.spec) == digest)
    };
    if !control.machine.lock().batch.job(id).is_none_or(is_own) {
        return Err(id_conflict(id));
    }
    tracing::info!(target: DECISION, job = %id, queue, customer, steps, revision, "job accepted");
    Metrics::global().count_job("accepted");
    control.dispatch.round_requested.notify_one();
    Ok(Answer::Phase(Phase::Queued))
}

pub(super) async fn status(control: &Control, target: &Target) -> Result<Answer> {
    let term = control.group.read_in_term().await?;
    let machine = control.machine.lock();
    let (caller, rest) = find_caller(&machine.batch.document, target)?;
    if rest.is_empty() {
        let mut term_state = control.dispatch.term_state.lock();
        term_state.enter(term, control)?;
        let is_of_queue = |job: &Job| caller.is_of_queue(job);
        let pending = term_state.fleet.count_pending_where(&machine.batch, is_of_queue);
        return Ok(Answer::Pending(pending));
    }
    let Ok(id) = parse_job_id(rest) else {
        return Err(Error::not_run(Code::KeyExpired, format!("no job {rest}")));
    };
    Ok(Answer::Phase(find_own_job(&machine.batch, id, caller)?.phase()))
}

pub(super) async fn cancel(control: &Control, target: &Target) -> Result<Answer> {
    control.group.read().await?;
    let (id, workers) = {
        let machine = control.machine.lock();
        let (caller, rest) = find_caller(&machine.batch.document, target)?;
        let id = parse_job_id(rest)?;
        find_own_job(&machine.batch, id, caller)?;
        let runs = machine.batch.live.get(&id).into_iter().flat_map(active_runs);
        let workers: BTreeSet<String> = runs.map(|(_, run)| run.worker.clone()).collect();
        (id, workers)
    };
    propose(control, Batch::Cancel(id)).await?;
    tracing::info!(target: DECISION, job = %id, workers = workers.len(), "job cancelled");
    {
        let term_state = control.dispatch.term_state.lock();
        workers.iter().for_each(|worker| term_state.fleet.wake(worker));
    }
    Metrics::global().count_job("cancelled");
    control.dispatch.round_requested.notify_one();
    Ok(Answer::Done)
}

pub(super) async fn publish(control: &Control, document: Arc<Document>) -> Result<Answer> {
    let faults = document.faults();
    if !faults.is_empty() {
        let messages: Vec<String> =
            faults.iter().map(|fault| format!("{}: {}", fault.path, fault.message)).collect();
        return Err(Error::not_run(Code::Unsatisfiable, messages.join("; ")));
    }
    let _turn = await_publication(control).await?;
    control.group.read().await?;
    let revision = document.revision;
    let current_revision = control.machine.lock().batch.document.revision;
    if revision > current_revision {
        propose(control, Batch::Publish(document)).await?;
    }
    tracing::info!(target: DECISION, revision, held = current_revision, "document received");
    control.dispatch.round_requested.notify_one();
    Ok(Answer::Done)
}

// Waits until no other document is being committed: each takes several times its size.
async fn await_publication(control: &Control) -> Result<MutexGuard<'_, ()>> {
    let turn = timeout(MAX_PUBLICATION_WAIT, control.dispatch.publication.lock()).await;
    turn.map_err(|_| {
        let error = Error::not_run(Code::Deadline, "another document is being committed");
        error.retry_after(PUBLICATION_RETRY_DELAY)
    })
}

pub(super) async fn evacuate(control: &Control, evacuation: Evacuation) -> Result<Answer> {
    let (zone, is_active) = (evacuation.zone.clone(), evacuation.is_active);
    if zone.is_empty() || zone.len() > MAX_ZONE_BYTES {
        let message = format!("a zone's name has 1 to {MAX_ZONE_BYTES} bytes");
        return Err(Error::not_run(Code::BadRequest, message));
    }
    control.group.read().await?;
    let was_active = control.machine.lock().batch.is_evacuated(&zone);
    if was_active != is_active {
        propose(control, Batch::Evacuate(evacuation)).await?;
    }
    tracing::info!(target: DECISION, zone, is_active, was_active, "evacuation received");
    control.dispatch.round_requested.notify_one();
    Ok(Answer::Done)
}

pub(super) async fn document(control: &Control) -> Result<Answer> {
    control.group.read().await?;
    let machine = control.machine.lock();
    let document = &machine.batch.document;
    if document.revision == 0 {
        return Err(Error::not_run(Code::NoLease, "no document yet"));
    }
    Ok(Answer::Document { revision: document.revision, source: document.source.clone() })
}

// The caller of a request, and the rest of its path behind the queue's prefix.
fn find_caller<'a, 'b>(
    document: &'a Document,
    target: &'b Target,
) -> Result<(Caller<'a>, &'b str)> {
    if document.revision == 0 {
        return Err(Error::not_run(Code::NoLease, "no document yet"));
    }
    let Some((queue, rest)) = document.find_queue(&target.host, &target.path) else {
        return Err(Error::not_run(Code::NotFound, "no such queue"));
    };
    let customer = target.key.as_deref().and_then(|key| document.customer_by_key(key));
    if customer.is_none() && !queue.is_open {
        return Err(Error::not_run(Code::Unauthorized, "no known key"));
    }
    let customer = customer.map_or("", |customer| customer.name.as_str());
    Ok((Caller { document, queue, customer }, rest))
}

fn id_conflict(id: Id) -> Error {
    Error::not_run(Code::Conflict, format!("another caller's job has the ID {id}"))
}

// A job of another caller is as good as none.
fn find_own_job<'a>(table: &'a Table, id: Id, caller: Caller<'_>) -> Result<&'a Job> {
    let job = table.find_job(id)?;
    if caller.owns(job) { Ok(job) } else { Err(table::unknown_job(id)) }
}

fn parse_job_id(rest: &str) -> Result<Id> {
    let id = Id::parse(rest);
    id.ok_or_else(|| Error::not_run(Code::BadRequest, "a job's name has 16 hexadecimal digits"))
}
