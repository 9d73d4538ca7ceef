//! Serves one request of a caller: admission, routing and the answer.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::watch;

use super::{Entry, Guard, claimed};
use crate::error::{Code, Error, Result};
use crate::routing;
use crate::routing::limit::Permit;
use crate::state::claim::Answer;
use crate::telemetry::Metrics;
use crate::verdict::Verdict;

/// A request as received from a caller.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub(super) kind: String,
    pub(super) customer: String,
    pub(super) payload: Bytes,
    pub(super) content_type: Option<String>,
    pub(super) key: Option<String>,
    pub(super) is_idempotent: bool,
    pub(super) deadline_ms: Option<u64>,
}

/// Serves a request to its end, even if the caller disconnects: one that still waits is then
/// abandoned, and one that was sent is followed until its outcome is known.
pub(super) async fn serve(entry: &Arc<Entry>, caller_request: Request) -> Result<Answer> {
    let in_flight = entry.track_request();
    let entry = entry.clone();
    // The channel closes when the listener drops this future because the caller disconnected.
    let (_caller_guard, caller) = watch::channel(());
    let task =
        async move { run_request(&entry, caller_request, caller, &Arc::new(in_flight)).await };
    let handle = tokio::spawn(task);
    let result = match handle.await {
        Ok(result) => result,
        Err(_) => Err(Error::may_have_run(Code::Internal, "the request was lost in this entry")),
    };
    let verdict = result.as_ref().map_or_else(|error| error.verdict, |_| Verdict::Ran);
    Metrics::global().count_request(verdict);
    result
}

async fn run_request(
    entry: &Arc<Entry>,
    caller_request: Request,
    caller: watch::Receiver<()>,
    in_flight: &Arc<Guard>,
) -> Result<Answer> {
    let request = routing::Request { caller: Some(caller), ..admit(entry, &caller_request)? };
    let _permit = acquire_permit(entry, &request)?;
    let Some(key) = &caller_request.key else {
        return send(entry, &request).await;
    };
    if caller_request.is_idempotent {
        return send(entry, &request).await;
    }
    claimed::serve(entry, &request, &caller_request, key, in_flight).await
}

fn admit(entry: &Entry, caller_request: &Request) -> Result<routing::Request> {
    if entry.is_draining() {
        return Err(Error::not_run(Code::Stopping, "this entry is stopping"));
    }
    let now_ms = entry.timer.now_ms();
    let document = {
        let lease = entry.lease.lock();
        if !lease.is_valid(now_ms) {
            return Err(no_lease_error());
        }
        lease.document.clone()
    };
    let Some(kind) = document.kind(&caller_request.kind) else {
        let message = format!("no kind `{}` in the configuration", caller_request.kind);
        return Err(Error::not_run(Code::NotFound, message));
    };
    let Some(customer) = document.customer(&caller_request.customer) else {
        let message = format!("no customer `{}` in the configuration", caller_request.customer);
        return Err(Error::not_run(Code::Forbidden, message));
    };
    if !caller_request.is_idempotent && caller_request.key.is_none() {
        let message = "a request that is not idempotent needs an Idempotency-Key";
        return Err(Error::not_run(Code::BadRequest, message));
    }
    Ok(routing::Request {
        number: entry.next_request_number.fetch_add(1, Ordering::Relaxed),
        kind: caller_request.kind.clone(),
        rank: kind.rank,
        customer: caller_request.customer.clone(),
        share: customer.share,
        payload: caller_request.payload.clone(),
        content_type: caller_request.content_type.clone(),
        is_idempotent: caller_request.is_idempotent,
        caller: None,
        deadline_ms: now_ms + caller_request.deadline_ms.unwrap_or(kind.deadline_ms),
    })
}

// Charges the request to this entry's part of the customer's limits until it ends.
fn acquire_permit(entry: &Entry, request: &routing::Request) -> Result<Permit> {
    let (document, entry_count) = {
        let lease = entry.lease.lock();
        (lease.document.clone(), lease.entries.len() as u32)
    };
    let limits = document.customer(&request.customer).map(|customer| customer.limits);
    let limits = limits.unwrap_or_default();
    let bytes = request.payload.len() as u64;
    let now_ms = entry.timer.now_ms();
    let permit = entry.router.limits.admit(&request.customer, &limits, entry_count, bytes, now_ms);
    permit.map_err(|exceeded| {
        let error = Error::not_run(Code::OverLimit, exceeded.to_string());
        error.retry_after(Duration::from_secs(1))
    })
}

pub(super) fn no_lease_error() -> Error {
    let error = Error::not_run(Code::NoLease, "this entry holds no lease from the control members");
    error.retry_after(Duration::from_secs(1))
}

pub(super) async fn send(entry: &Arc<Entry>, request: &routing::Request) -> Result<Answer> {
    let check_lease = || {
        let now_ms = entry.timer.now_ms();
        // Checked right before sending, so that a process that was suspended and resumes sends
        // nothing on an expired lease.
        match entry.lease.lock().is_valid(now_ms) {
            true => Ok(()),
            false => Err(no_lease_error()),
        }
    };
    entry.router.run(request, &check_lease).await
}
