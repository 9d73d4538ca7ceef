//! Claims: what makes a non-idempotent request run at most once.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::Result;
use super::document::Claims;
use crate::error::{Code, Error};

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
pub enum Grant {
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
    outcome: Option<Outcome>,
    at_ms: u64,
}

/// All remembered claims.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Table {
    claims: BTreeMap<Key, Claim>,
    by_age: VecDeque<(u64, Key)>,
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

    /// State of a claim, if it is remembered.
    pub fn get(&self, key: Key) -> Option<Grant> {
        self.claims.get(&key).map(Claim::grant)
    }

    /// Claims a key, or tells what has become of it.
    ///
    /// # Errors
    /// `key_reused`, `key_expired` or `claims_full`.
    pub fn claim(&mut self, request: &Request, limits: &Claims, now_ms: u64) -> Result<Grant> {
        self.forget(limits, now_ms);
        if let Some(claim) = self.claims.get(&request.key) {
            return claim.answer(request);
        }
        let oldest_ms = now_ms.saturating_sub(limits.retention_ms);
        if request.made_ms.is_some_and(|made| made < oldest_ms) {
            let message = "the key is older than claims are remembered";
            return Err(Error::may_have_run(Code::KeyExpired, message));
        }
        if self.claims.len() as u64 >= limits.capacity {
            return Err(Error::not_run(Code::ClaimsFull, "the claim table is full"));
        }
        let claim = Claim {
            digest: request.digest,
            owner: request.owner.clone(),
            attempt: request.attempt,
            outcome: None,
            at_ms: now_ms,
        };
        self.claims.insert(request.key, claim);
        self.by_age.push_back((now_ms, request.key));
        Ok(Grant::Owned)
    }

    /// Records an outcome; only the owner may.
    ///
    /// # Errors
    /// `not_found` or `conflict`.
    pub fn settle(&mut self, settlement: &Settlement, _: &Claims, now_ms: u64) -> Result<Grant> {
        let Some(claim) = self.claims.get_mut(&settlement.key) else {
            return Err(Error::not_run(Code::NotFound, "no such claim"));
        };
        if claim.owner != settlement.owner {
            return Err(Error::not_run(Code::Conflict, "the claim has another owner"));
        }
        if settlement.outcome == Outcome::Released {
            self.claims.remove(&settlement.key);
            return Ok(Grant::Released);
        }
        claim.outcome = Some(settlement.outcome.clone());
        claim.at_ms = now_ms;
        Ok(claim.grant())
    }

    fn forget(&mut self, limits: &Claims, now_ms: u64) {
        while let Some((at_ms, key)) = self.by_age.front().copied() {
            if at_ms + limits.retention_ms > now_ms {
                break;
            }
            self.by_age.pop_front();
            self.claims.remove(&key);
        }
    }
}

impl Claim {
    fn answer(&self, request: &Request) -> Result<Grant> {
        if self.digest != request.digest {
            let message = "the idempotency key was used with another payload";
            return Err(Error::not_run(Code::KeyReused, message));
        }
        let resent = self.owner == request.owner && self.attempt == request.attempt;
        if resent && self.outcome.is_none() {
            return Ok(Grant::Owned);
        }
        Ok(self.grant())
    }

    fn grant(&self) -> Grant {
        match &self.outcome {
            None => Grant::Pending(self.owner.clone()),
            Some(Outcome::Released) => Grant::Released,
            Some(Outcome::Ran(answer)) => Grant::Ran(answer.clone()),
            Some(Outcome::MayHaveRun) => Grant::MayHaveRun,
        }
    }
}
