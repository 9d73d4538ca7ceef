//! Requests that are not idempotent: claimed in the log before the first byte leaves.

use std::sync::Arc;
use std::time::Duration;

use sha2::{Digest, Sha256};

use super::request::{self, Asked};
use super::{Entry, InFlight};
use crate::error::{Code, Error, Result};
use crate::mesh::call::{Answer as CallAnswer, Call};
use crate::routing::Request;
use crate::state::claim::{self, Answer, ClaimState, Key, Outcome, Settlement};
use crate::state::{Command, Reply};
use crate::telemetry::Metrics;
use crate::verdict::Verdict;

/// Longest wait for a claim to be committed.
const CLAIM: Duration = Duration::from_secs(3);
/// Longest time for which a planned stop waits for one outcome to be recorded.
const SETTLE: Duration = Duration::from_secs(60);
/// Longest wait at the leader for a pending claim before it is asked again, in milliseconds.
const AWAIT_MS: u64 = 10_000;
/// Wait before a claim is looked for again after the leader did not answer.
const PAUSE: Duration = Duration::from_millis(100);

/// Serves a request under a claim of its key, or gives the outcome of the claim's owner.
pub(super) async fn serve(
    entry: &Arc<Entry>,
    request: &Request,
    asked: &Asked,
    key: &str,
    in_flight: &Arc<InFlight>,
) -> Result<Answer> {
    let mut claim = claim::Request {
        key: claim_key(&asked.customer, key),
        digest: digest(&[asked.kind.as_bytes(), &asked.payload]),
        owner: entry.owner.clone(),
        attempt: rand::random(),
        made_ms: uuid::Uuid::parse_str(key).ok().and_then(made_ms),
    };
    loop {
        let mut grant = propose(entry, request, &claim, in_flight).await?;
        if grant == ClaimState::Owned {
            return send(entry, request, &claim, in_flight).await;
        }
        if matches!(grant, ClaimState::Pending(_)) {
            grant = follow(entry, request, claim.key).await?;
        }
        match grant {
            ClaimState::Ran(answer) => return Ok(answer),
            ClaimState::MayHaveRun => {
                let message = "an earlier attempt under this key may have run";
                return Err(Error::may_have_run(Code::OwnerLost, message));
            }
            // The earlier attempt did not run: this one may.
            ClaimState::Released | ClaimState::Owned | ClaimState::Pending(_) => {
                claim.attempt = rand::random()
            }
        }
    }
}

async fn propose(
    entry: &Arc<Entry>,
    request: &Request,
    claim: &claim::Request,
    in_flight: &Arc<InFlight>,
) -> Result<ClaimState> {
    let left = Duration::from_millis(request.deadline_ms.saturating_sub(entry.timer.now_ms()));
    let command = Command::Claim(claim.clone());
    match entry.client.propose(command, CLAIM.min(left)).await {
        Ok(Reply::Claim(grant)) => {
            Metrics::global().count_claim();
            Ok(grant)
        }
        Ok(_) => Err(Error::not_run(Code::Internal, "unexpected reply to a claim")),
        Err(error) if is_refusal(error.code) => Err(error),
        Err(error) => {
            // The claim may be held, but nothing was sent under it and nothing will be.
            settle(entry, claim, Outcome::Released, in_flight);
            Err(Error { verdict: Verdict::NotRun, ..error })
        }
    }
}

// Refused by the table itself: nothing was claimed.
fn is_refusal(code: Code) -> bool {
    matches!(code, Code::KeyExpired | Code::KeyReused | Code::ClaimsFull | Code::BadRequest)
}

async fn send(
    entry: &Arc<Entry>,
    request: &Request,
    claim: &claim::Request,
    in_flight: &Arc<InFlight>,
) -> Result<Answer> {
    let sent = request::send(entry, request).await;
    let outcome = match &sent {
        Ok(answer) => Outcome::Ran(answer.clone()),
        Err(error) if error.verdict == Verdict::NotRun => Outcome::Released,
        Err(_) => Outcome::MayHaveRun,
    };
    settle(entry, claim, outcome, in_flight);
    sent
}

// Another attempt owns the claim: its outcome is this request's outcome too.
async fn follow(entry: &Entry, request: &Request, key: Key) -> Result<ClaimState> {
    loop {
        let left_ms = request.deadline_ms.saturating_sub(entry.timer.now_ms());
        if left_ms == 0 {
            let message = "an earlier attempt under this key has not ended";
            return Err(Error::may_have_run(Code::Deadline, message));
        }
        let within_ms = left_ms.min(AWAIT_MS);
        let call = Call::AwaitClaim { key, within_ms };
        match entry.client.call(call, Duration::from_millis(within_ms)).await {
            Ok(CallAnswer::Claim(None)) => return Ok(ClaimState::Released),
            Ok(CallAnswer::Claim(Some(ClaimState::Pending(_)))) => {}
            Ok(CallAnswer::Claim(Some(grant))) => return Ok(grant),
            _ => entry.timer.sleep(PAUSE).await,
        }
    }
}

// In the background: the answer need not wait, but a planned stop does for a while.
fn settle(entry: &Arc<Entry>, claim: &claim::Request, outcome: Outcome, in_flight: &Arc<InFlight>) {
    let entry = entry.clone();
    let mut in_flight = Some(in_flight.clone());
    let key = claim.key;
    let settlement =
        Settlement { key, owner: claim.owner.clone(), attempt: claim.attempt, outcome };
    tokio::spawn(async move {
        loop {
            let command = Command::Settle(settlement.clone());
            let Err(error) = entry.client.propose(command, SETTLE).await else { return };
            if !matches!(error.code, Code::NoQuorum | Code::NotLeader) {
                tracing::warn!(%error, "outcome of a claim refused");
                return;
            }
            // A cut-off owner that returns still records what became of its claims.
            drop(in_flight.take());
        }
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

// Only a version 7 key tells when it was made; other versions' clocks mean nothing here.
fn made_ms(uuid: uuid::Uuid) -> Option<u64> {
    if uuid.get_version_num() != 7 {
        return None;
    }
    let (seconds, nanos) = uuid.get_timestamp()?.to_unix();
    Some(seconds * 1_000 + u64::from(nanos / 1_000_000))
}
