//! The path of one request: claim, route, send, settle, answer.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use sha2::{Digest, Sha256};

use super::{Entry, InFlight};
use crate::error::{Code, Error, Result};
use crate::mesh::call::{Answer as CallAnswer, Call};
use crate::routing::Request;
use crate::routing::limit::Hold;
use crate::state::claim::{self, Answer, Grant, Key, Outcome, Settlement};
use crate::state::{Command, Reply};
use crate::telemetry::Metrics;
use crate::verdict::Verdict;

/// Longest wait for a claim to be committed.
const CLAIM: Duration = Duration::from_secs(3);
/// Longest time for which an outcome is offered to the log.
const SETTLE: Duration = Duration::from_secs(60);
/// Wait before a pending claim is looked at again.
const RECHECK: Duration = Duration::from_millis(50);

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

/// Serves a request to its end, also where the caller goes away meanwhile.
pub(super) async fn serve(entry: &Arc<Entry>, asked: Asked) -> Result<Answer> {
    let in_flight = entry.begin();
    let entry = entry.clone();
    let served = tokio::spawn(async move { run(&entry, asked, &Arc::new(in_flight)).await });
    let result = match served.await {
        Ok(result) => result,
        Err(_) => Err(Error::may_have_run(Code::Internal, "the request was lost in this entry")),
    };
    let verdict = result.as_ref().map_or_else(|error| error.verdict, |_| Verdict::Ran);
    Metrics::global().count_request(verdict);
    result
}

async fn run(entry: &Arc<Entry>, asked: Asked, in_flight: &Arc<InFlight>) -> Result<Answer> {
    let request = admit(entry, &asked)?;
    let _held = hold(entry, &request)?;
    let Some(key) = &asked.key else {
        return send_once(entry, &request).await;
    };
    if asked.is_idempotent {
        return send_once(entry, &request).await;
    }
    let claim = claim::Request {
        key: claim_key(&asked.customer, key),
        digest: digest(&[asked.kind.as_bytes(), &asked.payload]),
        owner: entry.owner.clone(),
        attempt: rand::random(),
        made_ms: uuid::Uuid::parse_str(key).ok().and_then(made_ms),
    };
    let left = Duration::from_millis(request.deadline_ms.saturating_sub(entry.timer.now_ms()));
    let command = Command::Claim(claim.clone());
    let reply = entry.client.propose(command, CLAIM.min(left)).await.map_err(|error| {
        // The claim may be held, but nothing was sent under it and nothing will be.
        release(entry, claim.key, in_flight);
        match error.code {
            Code::KeyExpired => error,
            _ => Error { verdict: Verdict::NotRun, ..error },
        }
    })?;
    Metrics::global().count_claim();
    match reply {
        Reply::Claim(Grant::Owned) => send_claimed(entry, &request, claim.key, in_flight).await,
        Reply::Claim(grant) => follow(entry, &request, claim.key, grant).await,
        _ => Err(Error::not_run(Code::Internal, "unexpected reply to a claim")),
    }
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
        deadline_ms: now_ms + asked.deadline_ms.unwrap_or(kind.deadline_ms),
    })
}

// Takes this entry's part of the customer's limits, until the request ends.
fn hold(entry: &Entry, request: &Request) -> Result<Hold> {
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

fn no_lease() -> Error {
    let error = Error::not_run(Code::NoLease, "this entry holds no lease from the control members");
    error.retry_after(Duration::from_secs(1))
}

async fn send_claimed(
    entry: &Arc<Entry>,
    request: &Request,
    key: Key,
    in_flight: &Arc<InFlight>,
) -> Result<Answer> {
    let sent = send_once(entry, request).await;
    let outcome = match &sent {
        Ok(answer) => Outcome::Ran(answer.clone()),
        Err(error) if error.verdict == Verdict::NotRun => Outcome::Released,
        Err(_) => Outcome::MayHaveRun,
    };
    settle(entry, key, outcome, in_flight);
    sent
}

async fn send_once(entry: &Arc<Entry>, request: &Request) -> Result<Answer> {
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

// Another attempt owns the claim: its outcome is this request's outcome too.
async fn follow(entry: &Entry, request: &Request, key: Key, first: Grant) -> Result<Answer> {
    let mut grant = Some(first);
    loop {
        match grant {
            Some(Grant::Ran(answer)) => return Ok(answer),
            Some(Grant::MayHaveRun) => {
                let message = "an earlier attempt under this key may have run";
                return Err(Error::may_have_run(Code::OwnerLost, message));
            }
            Some(Grant::Released) | None => {
                let message = "the earlier attempt under this key did not run; send it again";
                return Err(Error::not_run(Code::Conflict, message));
            }
            Some(Grant::Owned | Grant::Pending(_)) => {}
        }
        if entry.timer.now_ms() >= request.deadline_ms {
            let message = "an earlier attempt under this key has not ended";
            return Err(Error::may_have_run(Code::Deadline, message));
        }
        entry.timer.sleep(RECHECK).await;
        grant = match entry.client.call(Call::Claim(key), CLAIM).await {
            Ok(CallAnswer::Claim(grant)) => grant,
            _ => Some(Grant::Pending(entry.owner.clone())),
        };
    }
}

fn release(entry: &Arc<Entry>, key: Key, in_flight: &Arc<InFlight>) {
    settle(entry, key, Outcome::Released, in_flight);
}

// In the background: the answer need not wait, but a planned stop does.
fn settle(entry: &Arc<Entry>, key: Key, outcome: Outcome, in_flight: &Arc<InFlight>) {
    let entry = entry.clone();
    let in_flight = in_flight.clone();
    tokio::spawn(async move {
        let owner = entry.owner.clone();
        let command = Command::Settle(Settlement { key, owner, outcome });
        if let Err(error) = entry.client.propose(command, SETTLE).await {
            tracing::debug!(%error, "outcome not recorded");
        }
        drop(in_flight);
    });
}

fn claim_key(customer: &str, key: &str) -> Key {
    Key(digest(&[customer.as_bytes(), key.as_bytes()]))
}

// Each part is hashed with its length, so that parts can't run into one another.
fn digest(parts: &[&[u8]]) -> u128 {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut first = [0; 16];
    first.copy_from_slice(&hasher.finalize()[..16]);
    u128::from_le_bytes(first)
}

fn made_ms(uuid: uuid::Uuid) -> Option<u64> {
    let (seconds, nanos) = uuid.get_timestamp()?.to_unix();
    Some(seconds * 1_000 + u64::from(nanos / 1_000_000))
}
