//! Requests that are not idempotent: their idempotency key is claimed in the replicated log before
//! the first byte is sent to an upstream.

use std::sync::Arc;
use std::time::Duration;

use sha2::{Digest, Sha256};

use super::request;
use super::{Entry, Guard};
use crate::error::{Code, Error, Result};
use crate::mesh::call::{Answer as CallAnswer, Call};
use crate::routing::Request;
use crate::state::claim::{self, Answer, Key, Outcome, Settlement};
use crate::state::{Command, Reply};
use crate::telemetry::Metrics;
use crate::verdict::Verdict;

/// Maximum time for a claim to be committed.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum time for which a graceful shutdown waits for one outcome to be recorded.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum time for which one call to the leader waits for a pending claim, in milliseconds.
const MAX_AWAIT_MS: u64 = 10_000;
/// Delay before the leader is asked again about a pending claim after it did not answer.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Claims the key of a request and serves the request, or returns the outcome of the attempt that
/// already owns the claim.
pub(super) async fn serve(
    entry: &Arc<Entry>,
    request: &Request,
    caller_request: &request::Request,
    key: &str,
    in_flight: &Arc<Guard>,
) -> Result<Answer> {
    let mut claim = claim::Request {
        key: claim_key(&caller_request.customer, key),
        digest: digest(&[caller_request.kind.as_bytes(), &caller_request.payload]),
        owner: entry.owner.clone(),
        attempt: rand::random(),
        made_ms: uuid::Uuid::parse_str(key).ok().and_then(creation_time_ms),
    };
    loop {
        let mut state = propose_claim(entry, request, &claim, in_flight).await?;
        if state == claim::State::Owned {
            return send_claimed(entry, request, &claim, in_flight).await;
        }
        if matches!(state, claim::State::Pending(_)) {
            state = await_outcome(entry, request, claim.key).await?;
        }
        match state {
            claim::State::Ran(answer) => return Ok(answer),
            claim::State::MayHaveRun => {
                let message = "an earlier attempt under this key may have run";
                return Err(Error::may_have_run(Code::OwnerLost, message));
            }
            // The earlier attempt did not run, so this one may claim the key.
            claim::State::Released | claim::State::Owned | claim::State::Pending(_) => {
                claim.attempt = rand::random()
            }
        }
    }
}

async fn propose_claim(
    entry: &Arc<Entry>,
    request: &Request,
    claim: &claim::Request,
    in_flight: &Arc<Guard>,
) -> Result<claim::State> {
    let remaining = Duration::from_millis(request.deadline_ms.saturating_sub(entry.timer.now_ms()));
    let command = Command::Claim(claim.clone());
    match entry.client.propose(command, CLAIM_TIMEOUT.min(remaining)).await {
        Ok(Reply::Claim(state)) => {
            Metrics::global().count_claim();
            Ok(state)
        }
        Ok(_) => Err(Error::not_run(Code::Internal, "unexpected reply to a claim")),
        Err(error) if is_claim_rejected(error.code) => Err(error),
        Err(error) => {
            // The claim may have been committed, but nothing was or will be sent under it.
            settle(entry, claim, Outcome::Released, in_flight);
            Err(Error { verdict: Verdict::NotRun, ..error })
        }
    }
}

// Whether the claim table itself rejected the claim, so that nothing was claimed.
fn is_claim_rejected(code: Code) -> bool {
    matches!(code, Code::KeyExpired | Code::KeyReused | Code::ClaimsFull | Code::BadRequest)
}

async fn send_claimed(
    entry: &Arc<Entry>,
    request: &Request,
    claim: &claim::Request,
    in_flight: &Arc<Guard>,
) -> Result<Answer> {
    let result = request::send(entry, request).await;
    let outcome = match &result {
        Ok(answer) => Outcome::Ran(answer.clone()),
        Err(error) if error.verdict == Verdict::NotRun => Outcome::Released,
        Err(_) => Outcome::MayHaveRun,
    };
    settle(entry, claim, outcome, in_flight);
    result
}

// Waits for the outcome of the attempt that owns the claim; it is this request's outcome too.
async fn await_outcome(entry: &Entry, request: &Request, key: Key) -> Result<claim::State> {
    loop {
        let remaining_ms = request.deadline_ms.saturating_sub(entry.timer.now_ms());
        if remaining_ms == 0 {
            let message = "an earlier attempt under this key has not ended";
            return Err(Error::may_have_run(Code::Deadline, message));
        }
        let within_ms = remaining_ms.min(MAX_AWAIT_MS);
        let call = Call::AwaitClaim { key, within_ms };
        match entry.client.call(call, Duration::from_millis(within_ms)).await {
            Ok(CallAnswer::Claim(None)) => return Ok(claim::State::Released),
            Ok(CallAnswer::Claim(Some(claim::State::Pending(_)))) => {}
            Ok(CallAnswer::Claim(Some(state))) => return Ok(state),
            _ => entry.timer.sleep(RETRY_DELAY).await,
        }
    }
}

// Records the outcome in the background: the answer does not wait for the record, but a graceful
// shutdown does, for a limited time.
fn settle(entry: &Arc<Entry>, claim: &claim::Request, outcome: Outcome, in_flight: &Arc<Guard>) {
    let entry = entry.clone();
    let mut in_flight = Some(in_flight.clone());
    let key = claim.key;
    let settlement =
        Settlement { key, owner: claim.owner.clone(), attempt: claim.attempt, outcome };
    tokio::spawn(async move {
        loop {
            let command = Command::Settle(settlement.clone());
            let Err(error) = entry.client.propose(command, SETTLE_TIMEOUT).await else { return };
            if !matches!(error.code, Code::NoQuorum | Code::NotLeader) {
                tracing::warn!(%error, "claim outcome rejected by the leader");
                return;
            }
            // An owner that was cut off still records the outcome once it is connected again, but
            // no longer delays a graceful shutdown.
            drop(in_flight.take());
        }
    });
}

fn claim_key(customer: &str, key: &str) -> Key {
    Key(digest(&[customer.as_bytes(), key.as_bytes()]))
}

// Hashes each part after its length, so that moving bytes between parts changes the digest.
fn digest(parts: &[&[u8]]) -> u128 {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut prefix = [0; 16];
    prefix.copy_from_slice(&hasher.finalize()[..16]);
    u128::from_le_bytes(prefix)
}

// Creation time of a version 7 UUID; other versions carry no usable wall-clock time.
fn creation_time_ms(uuid: uuid::Uuid) -> Option<u64> {
    if uuid.get_version_num() != 7 {
        return None;
    }
    let (seconds, nanos) = uuid.get_timestamp()?.to_unix();
    Some(seconds * 1_000 + u64::from(nanos / 1_000_000))
}
