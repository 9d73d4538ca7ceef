//! Claims of idempotency keys: a non-idempotent request is sent only by the entry that owns the
//! claim of its key, so that it runs at most once.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::Result;
use super::document::Claims;
use crate::error::{Code, Error};

/// How far a caller's clock may be ahead of the leader's, in milliseconds.
pub const MAX_CLOCK_SKEW_MS: u64 = 60_000;
/// How long a claim without an outcome is kept beyond the retention, in milliseconds; equals the
/// longest deadline of a request.
pub const PENDING_RETENTION_MS: u64 = 86_400_000;
/// How long a released attempt is kept, in milliseconds, so that a claim command of that attempt
/// which commits late has no effect.
pub const VOID_RETENTION_MS: u64 = 600_000;
/// Largest number of released attempts that are kept; the oldest are removed first.
pub const MAX_VOIDS: usize = 16_384;

/// Hash of a customer and an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key(pub u128);

/// The entry that may send a claimed request: one incarnation of a daemon.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Owner {
    /// Daemon name.
    pub entry: String,
    /// Random number drawn at each start of the daemon.
    pub incarnation: u64,
}

/// Request to claim a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Key to claim.
    pub key: Key,
    /// Digest of the request's kind and payload.
    pub digest: u128,
    /// Entry that sends the request if the claim succeeds.
    pub owner: Owner,
    /// Random number that identifies this attempt, so that a resent command is recognised.
    pub attempt: u64,
    /// Wall-clock creation time of the key, if the key contains one (UUID version 7).
    pub made_ms: Option<u64>,
}

/// The outcome of a claimed request, as reported by the owner of the claim.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Settlement {
    /// Claimed key.
    pub key: Key,
    /// Owner of the claim.
    pub owner: Owner,
    /// Attempt that created the claim.
    pub attempt: u64,
    /// Outcome to record.
    pub outcome: Outcome,
}

/// Outcome of a claimed request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// No byte of the request was sent: the claim is removed, and the key may be claimed again.
    Released,
    /// The request ran and returned this answer.
    Ran(Answer),
    /// The request may have run.
    MayHaveRun,
}

/// A complete answer of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: Option<String>,
    /// Body; absent if it was too long to record or has been evicted.
    #[serde(with = "optional_bytes")]
    pub body: Option<Vec<u8>>,
}

mod optional_bytes {
    use serde::{Deserialize, Deserializer, Serializer};

    pub fn serialize<S: Serializer>(
        body: &Option<Vec<u8>>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        match body {
            Some(body) => serializer.serialize_bytes(body),
            None => serializer.serialize_none(),
        }
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Option<Vec<u8>>, D::Error> {
        Option::<ciborium::value::Value>::deserialize(deserializer)?
            .map(|value| value.into_bytes().map_err(|_| serde::de::Error::custom("not bytes")))
            .transpose()
    }
}

/// State of a claim, as seen by the attempt that asks for it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum State {
    /// The asking attempt owns the claim and may send the request.
    Owned,
    /// The given owner holds the claim and has not reported an outcome.
    Pending(Owner),
    /// The request ran.
    Ran(Answer),
    /// The request may have run.
    MayHaveRun,
    /// The claim was released.
    Released,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Claim {
    digest: u128,
    owner: Owner,
    attempt: u64,
    claimed_ms: u64,
    settled: Option<Record>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Record {
    at_ms: u64,
    outcome: Outcome,
}

/// The claims that are currently kept.
///
/// Part of the replicated state machine: every collection is ordered, so that all replicas iterate
/// over and serialize it identically.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Table {
    claims: BTreeMap<Key, Claim>,
    // Claims without an outcome, by claim time.
    pending: BTreeSet<(u64, Key)>,
    // Claims with an outcome, by the time of the outcome.
    settled: BTreeSet<(u64, Key)>,
    // Claims with a recorded body, by the time of the outcome.
    bodies: BTreeSet<(u64, Key)>,
    body_bytes: u64,
    // Released attempts, by release time.
    voids: BTreeSet<(u64, Key, u64)>,
    void_attempts: BTreeSet<(Key, u64)>,
    // Latest claim time among the claims that have expired.
    forgotten_ms: Option<u64>,
}

impl Table {
    /// Number of claims in the table.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether the table holds no claim.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Total size of the recorded answer bodies, in bytes.
    pub fn body_bytes(&self) -> u64 {
        self.body_bytes
    }

    /// State of a claim, if the table holds it.
    pub fn get(&self, key: Key) -> Option<State> {
        self.claims.get(&key).map(Claim::state)
    }

    /// Claims a key, or returns the state of the existing claim.
    ///
    /// # Errors
    /// `key_reused`, `key_expired`, `bad_request` or `claims_full`.
    pub fn claim(&mut self, request: &Request, limits: &Claims, now_ms: u64) -> Result<State> {
        self.expire(limits, now_ms);
        self.evict_bodies(limits);
        if let Some(claim) = self.claims.get(&request.key) {
            return claim.state_for(request);
        }
        if self.void_attempts.contains(&(request.key, request.attempt)) {
            return Ok(State::Released);
        }
        self.check_age(request, limits, now_ms)?;
        if self.claims.len() as u64 >= limits.capacity {
            return Err(Error::not_run(Code::ClaimsFull, "the claim table is full"));
        }
        let claim = Claim {
            digest: request.digest,
            owner: request.owner.clone(),
            attempt: request.attempt,
            claimed_ms: now_ms,
            settled: None,
        };
        self.claims.insert(request.key, claim);
        self.pending.insert((now_ms, request.key));
        Ok(State::Owned)
    }

    // Rejects a key whose claim may have expired, so that expiry never lets a request run twice.
    fn check_age(&self, request: &Request, limits: &Claims, now_ms: u64) -> Result<()> {
        let Some(made_ms) = request.made_ms else { return Ok(()) };
        if made_ms > now_ms + MAX_CLOCK_SKEW_MS {
            let message = "the key was made in the future";
            return Err(Error::not_run(Code::BadRequest, message));
        }
        let is_within_retention = made_ms >= now_ms.saturating_sub(limits.retention_ms);
        // The retention may have been shorter when an earlier claim of the key expired.
        let may_have_expired =
            self.forgotten_ms.is_some_and(|at_ms| made_ms <= at_ms + MAX_CLOCK_SKEW_MS);
        if is_within_retention && !may_have_expired {
            return Ok(());
        }
        let message = "the key is older than claims are remembered";
        Err(Error::may_have_run(Code::KeyExpired, message))
    }

    /// Records an outcome; only the attempt that owns the claim may do so.
    ///
    /// An outcome is final, except that a late answer replaces `MayHaveRun`.
    ///
    /// # Errors
    /// `not_found` or `conflict`.
    pub fn settle(
        &mut self,
        settlement: &Settlement,
        limits: &Claims,
        now_ms: u64,
    ) -> Result<State> {
        self.expire(limits, now_ms);
        let is_release = settlement.outcome == Outcome::Released;
        let Some(claim) = self.claims.get(&settlement.key) else {
            if is_release {
                return Ok(self.record_void(settlement, now_ms));
            }
            return Err(Error::not_run(Code::NotFound, "no such claim"));
        };
        if claim.owner != settlement.owner || claim.attempt != settlement.attempt {
            if is_release {
                return Ok(self.record_void(settlement, now_ms));
            }
            return Err(Error::not_run(Code::Conflict, "the claim has another owner"));
        }
        let recorded = claim.settled.as_ref().map(|settled| &settled.outcome);
        match (recorded, &settlement.outcome) {
            (None, Outcome::Released) => {
                let claimed_ms = claim.claimed_ms;
                self.claims.remove(&settlement.key);
                self.pending.remove(&(claimed_ms, settlement.key));
                Ok(self.record_void(settlement, now_ms))
            }
            (None, _) | (Some(Outcome::MayHaveRun), Outcome::Ran(_)) => {
                Ok(self.record_outcome(settlement, limits, now_ms))
            }
            _ => Ok(claim.state()),
        }
    }

    fn record_void(&mut self, settlement: &Settlement, now_ms: u64) -> State {
        if self.void_attempts.insert((settlement.key, settlement.attempt)) {
            self.voids.insert((now_ms, settlement.key, settlement.attempt));
        }
        while self.voids.len() > MAX_VOIDS {
            self.remove_oldest_void();
        }
        State::Released
    }

    fn remove_oldest_void(&mut self) {
        if let Some((_, key, attempt)) = self.voids.pop_first() {
            self.void_attempts.remove(&(key, attempt));
        }
    }

    fn record_outcome(&mut self, settlement: &Settlement, limits: &Claims, now_ms: u64) -> State {
        let key = settlement.key;
        let mut outcome = settlement.outcome.clone();
        if let Outcome::Ran(answer) = &mut outcome {
            answer.body.take_if(|body| body.len() as u64 > limits.answer_bytes);
            if let Some(body) = &answer.body {
                self.body_bytes += body.len() as u64;
                self.bodies.insert((now_ms, key));
            }
        }
        let claim = self.claims.get_mut(&key).expect("the caller checked that the claim exists");
        self.pending.remove(&(claim.claimed_ms, key));
        if let Some(previous) = claim.settled.replace(Record { at_ms: now_ms, outcome }) {
            self.settled.remove(&(previous.at_ms, key));
        }
        self.settled.insert((now_ms, key));
        self.evict_bodies(limits);
        // The owner gets the full answer, even if its body is too long to be recorded.
        match &settlement.outcome {
            Outcome::Ran(answer) => State::Ran(answer.clone()),
            _ => State::MayHaveRun,
        }
    }

    // Evicts the oldest recorded bodies; the claims stay and still say that the request ran.
    fn evict_bodies(&mut self, limits: &Claims) {
        while self.body_bytes > limits.answers_bytes {
            let Some((_, key)) = self.bodies.pop_first() else { return };
            self.clear_body(key);
        }
    }

    fn clear_body(&mut self, key: Key) {
        let Some(claim) = self.claims.get_mut(&key) else { return };
        let Some(Record { outcome: Outcome::Ran(answer), .. }) = &mut claim.settled else {
            return;
        };
        let body = answer.body.take();
        self.body_bytes -= body.map_or(0, |body| body.len() as u64);
    }

    fn expire(&mut self, limits: &Claims, now_ms: u64) {
        // A key may carry a creation time that is later than its claim by the clock skew.
        let settled_retention_ms = limits.retention_ms + MAX_CLOCK_SKEW_MS;
        while let Some((at_ms, key)) = self.settled.first().copied() {
            if at_ms + settled_retention_ms > now_ms {
                break;
            }
            self.settled.remove(&(at_ms, key));
            if self.bodies.remove(&(at_ms, key)) {
                self.clear_body(key);
            }
            self.expire_claim(key);
        }
        while let Some((at_ms, key)) = self.pending.first().copied() {
            if at_ms + settled_retention_ms + PENDING_RETENTION_MS > now_ms {
                break;
            }
            self.pending.remove(&(at_ms, key));
            self.expire_claim(key);
        }
        while self.voids.first().is_some_and(|(at_ms, _, _)| at_ms + VOID_RETENTION_MS <= now_ms) {
            self.remove_oldest_void();
        }
    }

    fn expire_claim(&mut self, key: Key) {
        if let Some(claim) = self.claims.remove(&key) {
            self.forgotten_ms = self.forgotten_ms.max(Some(claim.claimed_ms));
        }
    }
}

impl Claim {
    fn state_for(&self, request: &Request) -> Result<State> {
        if self.digest != request.digest {
            let message = "the idempotency key was used with another payload";
            return Err(Error::not_run(Code::KeyReused, message));
        }
        let is_resend = self.owner == request.owner && self.attempt == request.attempt;
        if is_resend && self.settled.is_none() {
            return Ok(State::Owned);
        }
        Ok(self.state())
    }

    fn state(&self) -> State {
        match self.settled.as_ref().map(|settled| &settled.outcome) {
            None => State::Pending(self.owner.clone()),
            Some(Outcome::Released) => State::Released,
            Some(Outcome::Ran(answer)) => State::Ran(answer.clone()),
            Some(Outcome::MayHaveRun) => State::MayHaveRun,
        }
    }
}
