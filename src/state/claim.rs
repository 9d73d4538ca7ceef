//! Claims: what makes a non-idempotent request run at most once.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::Result;
use super::document::ClaimLimits;
use crate::error::{Code, Error};

/// Milliseconds that the clock of a caller may be ahead of the leader's.
pub const MAX_CLOCK_SKEW_MS: u64 = 60_000;
/// Milliseconds beyond the retention for which a claim without an outcome is remembered; also
/// the longest deadline of a request.
pub const PENDING_RETENTION_MS: u64 = 86_400_000;
/// Milliseconds for which a released attempt is remembered, so that a late copy of its claim
/// is void.
pub const VOID_RETENTION_MS: u64 = 600_000;
/// Released attempts remembered at once; the oldest are forgotten first.
pub const MAX_VOIDS: usize = 16_384;

/// Hash of customer and idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key(pub u128);

/// The entry that may send a claimed request: one incarnation of a daemon.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Owner {
    /// Name of the daemon.
    pub entry: String,
    /// Random number of this start of the daemon.
    pub incarnation: u64,
}

/// Request to claim a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Key.
    pub key: Key,
    /// Digest of kind and payload.
    pub digest: u128,
    /// Who would send the request.
    pub owner: Owner,
    /// Random number of this attempt to claim, so that a resent command is recognised.
    pub attempt: u64,
    /// Wall-clock time at which the key was made, where the key tells it.
    pub made_ms: Option<u64>,
}

/// What became of a claimed request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Settlement {
    /// Key.
    pub key: Key,
    /// Owner of the claim.
    pub owner: Owner,
    /// Attempt that made the claim.
    pub attempt: u64,
    /// Outcome.
    pub outcome: Outcome,
}

/// Outcome of a claimed request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// No byte left: the claim is given up, and the key may be claimed again.
    Released,
    /// The request ran and gave this answer.
    Ran(Answer),
    /// The request may have run.
    MayHaveRun,
}

/// An upstream's whole answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: Option<String>,
    /// Body; absent where it was too long to record or has been dropped.
    #[serde(with = "optional_bytes")]
    pub body: Option<Vec<u8>>,
}

mod optional_bytes {
    use serde::{Deserialize, Deserializer, Serializer};

    pub fn serialize<S: Serializer>(body: &Option<Vec<u8>>, to: S) -> Result<S::Ok, S::Error> {
        match body {
            Some(body) => to.serialize_bytes(body),
            None => to.serialize_none(),
        }
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Option<Vec<u8>>, D::Error> {
        Option::<ciborium::value::Value>::deserialize(from)?
            .map(|value| value.into_bytes().map_err(|_| serde::de::Error::custom("not bytes")))
            .transpose()
    }
}

/// State of a claim as told to whoever asked.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ClaimState {
    /// The asker owns the claim and may send the request.
    Owned,
    /// Another attempt owns the claim and has not settled it.
    Pending(Owner),
    /// The request ran.
    Ran(Answer),
    /// The request may have run.
    MayHaveRun,
    /// The claim was given up.
    Released,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Claim {
    digest: u128,
    owner: Owner,
    attempt: u64,
    claimed_ms: u64,
    settled: Option<Settled>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Settled {
    at_ms: u64,
    outcome: Outcome,
}

/// All remembered claims.
///
/// A table of a state machine: every index is ordered, so that replicas stay equal.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Table {
    claims: BTreeMap<Key, Claim>,
    // Without outcome, by the time of the claim.
    pending: BTreeSet<(u64, Key)>,
    // With outcome, by the time of the outcome.
    settled: BTreeSet<(u64, Key)>,
    // With a recorded body, by the time of the outcome.
    bodies: BTreeSet<(u64, Key)>,
    body_bytes: u64,
    // Released attempts, by the time of the release.
    voids: BTreeSet<(u64, Key, u64)>,
    void_attempts: BTreeSet<(Key, u64)>,
    // Latest claim time among forgotten claims.
    forgotten_ms: Option<u64>,
}

impl Table {
    /// Number of remembered claims.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no claim is remembered.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Bytes of all recorded answers.
    pub fn body_bytes(&self) -> u64 {
        self.body_bytes
    }

    /// State of a claim, if it is remembered.
    pub fn get(&self, key: Key) -> Option<ClaimState> {
        self.claims.get(&key).map(Claim::grant)
    }

    /// Claims a key, or tells what has become of it.
    ///
    /// # Errors
    /// `key_reused`, `key_expired`, `bad_request` or `claims_full`.
    pub fn claim(
        &mut self,
        request: &Request,
        limits: &ClaimLimits,
        now_ms: u64,
    ) -> Result<ClaimState> {
        self.forget(limits, now_ms);
        self.shed(limits);
        if let Some(claim) = self.claims.get(&request.key) {
            return claim.answer(request);
        }
        if self.void_attempts.contains(&(request.key, request.attempt)) {
            return Ok(ClaimState::Released);
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
        Ok(ClaimState::Owned)
    }

    // A key that may have been forgotten is refused, so that forgetting never runs it again.
    fn check_age(&self, request: &Request, limits: &ClaimLimits, now_ms: u64) -> Result<()> {
        let Some(made_ms) = request.made_ms else { return Ok(()) };
        if made_ms > now_ms + MAX_CLOCK_SKEW_MS {
            let message = "the key was made in the future";
            return Err(Error::not_run(Code::BadRequest, message));
        }
        let retained = made_ms >= now_ms.saturating_sub(limits.retention_ms);
        // The retention may have been shorter when a claim was forgotten.
        let forgotten = self.forgotten_ms.is_some_and(|at_ms| made_ms <= at_ms + MAX_CLOCK_SKEW_MS);
        if retained && !forgotten {
            return Ok(());
        }
        let message = "the key is older than claims are remembered";
        Err(Error::may_have_run(Code::KeyExpired, message))
    }

    /// Records an outcome; only the attempt that owns the claim may.
    ///
    /// An outcome is final, but for `MayHaveRun`, which a late answer replaces.
    ///
    /// # Errors
    /// `not_found` or `conflict`.
    pub fn settle(
        &mut self,
        settlement: &Settlement,
        limits: &ClaimLimits,
        now_ms: u64,
    ) -> Result<ClaimState> {
        self.forget(limits, now_ms);
        let released = settlement.outcome == Outcome::Released;
        let Some(claim) = self.claims.get(&settlement.key) else {
            if released {
                return Ok(self.void(settlement, now_ms));
            }
            return Err(Error::not_run(Code::NotFound, "no such claim"));
        };
        if claim.owner != settlement.owner || claim.attempt != settlement.attempt {
            if released {
                return Ok(self.void(settlement, now_ms));
            }
            return Err(Error::not_run(Code::Conflict, "the claim has another owner"));
        }
        let recorded = claim.settled.as_ref().map(|settled| &settled.outcome);
        match (recorded, &settlement.outcome) {
            (None, Outcome::Released) => {
                let claimed_ms = claim.claimed_ms;
                self.claims.remove(&settlement.key);
                self.pending.remove(&(claimed_ms, settlement.key));
                Ok(self.void(settlement, now_ms))
            }
            (None, _) | (Some(Outcome::MayHaveRun), Outcome::Ran(_)) => {
                Ok(self.record(settlement, limits, now_ms))
            }
            _ => Ok(claim.grant()),
        }
    }

    fn void(&mut self, settlement: &Settlement, now_ms: u64) -> ClaimState {
        if self.void_attempts.insert((settlement.key, settlement.attempt)) {
            self.voids.insert((now_ms, settlement.key, settlement.attempt));
        }
        while self.voids.len() > MAX_VOIDS {
            self.forget_void();
        }
        ClaimState::Released
    }

    fn forget_void(&mut self) {
        if let Some((_, key, attempt)) = self.voids.pop_first() {
            self.void_attempts.remove(&(key, attempt));
        }
    }

    fn record(&mut self, settlement: &Settlement, limits: &ClaimLimits, now_ms: u64) -> ClaimState {
        let key = settlement.key;
        let mut outcome = settlement.outcome.clone();
        if let Outcome::Ran(answer) = &mut outcome {
            answer.body.take_if(|body| body.len() as u64 > limits.answer_bytes);
            if let Some(body) = &answer.body {
                self.body_bytes += body.len() as u64;
                self.bodies.insert((now_ms, key));
            }
        }
        let claim = self.claims.get_mut(&key).expect("the caller found the claim");
        self.pending.remove(&(claim.claimed_ms, key));
        if let Some(before) = claim.settled.replace(Settled { at_ms: now_ms, outcome }) {
            self.settled.remove(&(before.at_ms, key));
        }
        self.settled.insert((now_ms, key));
        self.shed(limits);
        // Told as it came: the asker is the owner, whatever was kept.
        match &settlement.outcome {
            Outcome::Ran(answer) => ClaimState::Ran(answer.clone()),
            _ => ClaimState::MayHaveRun,
        }
    }

    // Bodies go before markers: the claim stays, as one that ran.
    fn shed(&mut self, limits: &ClaimLimits) {
        while self.body_bytes > limits.answers_bytes {
            let Some((_, key)) = self.bodies.pop_first() else { return };
            self.drop_body(key);
        }
    }

    fn drop_body(&mut self, key: Key) {
        let Some(claim) = self.claims.get_mut(&key) else { return };
        let Some(Settled { outcome: Outcome::Ran(answer), .. }) = &mut claim.settled else {
            return;
        };
        let body = answer.body.take();
        self.body_bytes -= body.map_or(0, |body| body.len() as u64);
    }

    fn forget(&mut self, limits: &ClaimLimits, now_ms: u64) {
        let keep_ms = limits.retention_ms + MAX_CLOCK_SKEW_MS;
        while let Some((at_ms, key)) = self.settled.first().copied() {
            if at_ms + keep_ms > now_ms {
                break;
            }
            self.settled.remove(&(at_ms, key));
            if self.bodies.remove(&(at_ms, key)) {
                self.drop_body(key);
            }
            self.forget_claim(key);
        }
        while let Some((at_ms, key)) = self.pending.first().copied() {
            if at_ms + keep_ms + PENDING_RETENTION_MS > now_ms {
                break;
            }
            self.pending.remove(&(at_ms, key));
            self.forget_claim(key);
        }
        while self.voids.first().is_some_and(|(at_ms, _, _)| at_ms + VOID_RETENTION_MS <= now_ms) {
            self.forget_void();
        }
    }

    fn forget_claim(&mut self, key: Key) {
        if let Some(claim) = self.claims.remove(&key) {
            self.forgotten_ms = self.forgotten_ms.max(Some(claim.claimed_ms));
        }
    }
}

impl Claim {
    fn answer(&self, request: &Request) -> Result<ClaimState> {
        if self.digest != request.digest {
            let message = "the idempotency key was used with another payload";
            return Err(Error::not_run(Code::KeyReused, message));
        }
        let resent = self.owner == request.owner && self.attempt == request.attempt;
        if resent && self.settled.is_none() {
            return Ok(ClaimState::Owned);
        }
        Ok(self.grant())
    }

    fn grant(&self) -> ClaimState {
        match self.settled.as_ref().map(|settled| &settled.outcome) {
            None => ClaimState::Pending(self.owner.clone()),
            Some(Outcome::Released) => ClaimState::Released,
            Some(Outcome::Ran(answer)) => ClaimState::Ran(answer.clone()),
            Some(Outcome::MayHaveRun) => ClaimState::MayHaveRun,
        }
    }
}
