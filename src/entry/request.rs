//! The path of one request: admit, route, send, answer.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::watch;

use super::{Entry, InFlight, claimed};
use crate::error::{Code, Error, Result};
use crate::routing::Request;
use crate::routing::limit::Permit;
use crate::state::claim::Answer;
use crate::telemetry::Metrics;
use crate::verdict::Verdict;

/// What a caller asks for.
#[derive(Clone, Debug)]
pub(super) struct Asked {
    pub(super) kind: String,
    pub(super) customer: String,
    pub(super) payload: Bytes,
    pub(super) content_type: Option<String>,
    pub(super) key: Option<String>,
    pub(super) is_idempotent: bool,
    pub(super) deadline_ms: Option<u64>,
}

/// Serves a request to its end. Where the caller goes away meanwhile, one that waits is given up,
/// and one that was sent is followed to its outcome.
pub(super) async fn serve(entry: &Arc<Entry>, asked: Asked) -> Result<Answer> {
    let in_flight = entry.begin();
    let entry = entry.clone();
    // Closes when the listener drops this future.
    let (_waits, caller) = watch::channel(());
    let run = async move { run(&entry, asked, caller, &Arc::new(in_flight)).await };
    let served = tokio::spawn(run);
    let result = match served.await {
        Ok(result) => result,
        Err(_) => Err(Error::may_have_run(Code::Internal, "the request was lost in this entry")),
    };
    let verdict = result.as_ref().map_or_else(|error| error.verdict, |_| Verdict::Ran);
    Metrics::global().count_request(verdict);
    result
}

async fn run(
    entry: &Arc<Entry>,
    asked: Asked,
    caller: watch::Receiver<()>,
    in_flight: &Arc<InFlight>,
) -> Result<Answer> {
    let request = Request { caller: Some(caller), ..admit(entry, &asked)? };
    let _held = hold(entry, &request)?;
    let Some(key) = &asked.key else {
        return send(entry, &request).await;
    };
    if asked.is_idempotent {
        return send(entry, &request).await;
    }
    claimed::serve(entry, &request, &asked, key, in_flight).await
}

fn admit(entry: &Entry, asked: &Asked) -> Result<Request> {
    if entry.is_draining() {
        return Err(Error::not_run(Code::Stopping, "this entry is stopping"));
    }
    let now_ms = entry.timer.now_ms();
    let document = {
        let standing = entry.standing.lock();
        if !standing.holds_lease(now_ms) {
            return Err(no_lease());
        }
        standing.document.clone()
    };
    let Some(kind) = document.kind(&asked.kind) else {
        let message = format!("no kind `{}` in the configuration", asked.kind);
        return Err(Error::not_run(Code::NotFound, message));
    };
    let Some(customer) = document.customer(&asked.customer) else {
        let message = format!("no customer `{}` in the configuration", asked.customer);
        return Err(Error::not_run(Code::Forbidden, message));
    };
    if !asked.is_idempotent && asked.key.is_none() {
        let message = "a request that is not idempotent needs an Idempotency-Key";
        return Err(Error::not_run(Code::BadRequest, message));
    }
    Ok(Request {
        number: entry.next_request.fetch_add(1, Ordering::Relaxed),
        kind: asked.kind.clone(),
        rank: kind.rank,
        customer: asked.customer.clone(),
        share: customer.share,
        payload: asked.payload.clone(),
        content_type: asked.content_type.clone(),
        is_idempotent: asked.is_idempotent,
        caller: None,
        deadline_ms: now_ms + asked.deadline_ms.unwrap_or(kind.deadline_ms),
    })
}

// Takes this entry's part of the customer's limits, until the request ends.
fn hold(entry: &Entry, request: &Request) -> Result<Permit> {
    let (document, entries) = {
        let standing = entry.standing.lock();
        (standing.document.clone(), standing.entries.len() as u32)
    };
    let limits = document.customer(&request.customer).map(|customer| customer.limits);
    let limits = limits.unwrap_or_default();
    let bytes = request.payload.len() as u64;
    let now_ms = entry.timer.now_ms();
    let held = entry.router.limits.admit(&request.customer, &limits, entries, bytes, now_ms);
    held.map_err(|exceeded| {
        let error = Error::not_run(Code::OverLimit, exceeded.to_string());
        error.retry_after(Duration::from_secs(1))
    })
}

pub(super) fn no_lease() -> Error {
    let error = Error::not_run(Code::NoLease, "this entry holds no lease from the control members");
    error.retry_after(Duration::from_secs(1))
}

pub(super) async fn send(entry: &Arc<Entry>, request: &Request) -> Result<Answer> {
    let gate = || {
        let now_ms = entry.timer.now_ms();
        // A process that was frozen and resumes sends nothing on a lapsed lease.
        match entry.standing.lock().holds_lease(now_ms) {
            true => Ok(()),
            false => Err(no_lease()),
        }
    };
    entry.router.run(request, &gate).await
}
