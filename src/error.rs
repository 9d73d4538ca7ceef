//! The error type of all interfaces: a verdict, a code and a message.

use std::time::Duration;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::verdict::Verdict;

/// Result with the error type of the interfaces.
pub type Result<T> = std::result::Result<T, Error>;

/// Machine-readable reason of an error.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The input is malformed.
    #[display("bad_request")]
    BadRequest,
    /// No valid bearer token.
    #[display("unauthorized")]
    Unauthorized,
    /// The token does not permit the operation.
    #[display("forbidden")]
    Forbidden,
    /// The named object does not exist.
    #[display("not_found")]
    NotFound,
    /// The version or state has changed.
    #[display("conflict")]
    Conflict,
    /// An idempotency key was reused with another payload.
    #[display("key_reused")]
    KeyReused,
    /// The body is longer than the listener accepts.
    #[display("too_large")]
    TooLarge,
    /// The document is invalid, or the job can't be satisfied.
    #[display("unsatisfiable")]
    Unsatisfiable,
    /// A limit of the customer or of the system was reached.
    #[display("over_limit")]
    OverLimit,
    /// The claim table is full.
    #[display("claims_full")]
    ClaimsFull,
    /// The deadline passed or can't be met.
    #[display("deadline")]
    Deadline,
    /// No upstream currently serves the kind.
    #[display("no_upstream")]
    NoUpstream,
    /// The upstream failed.
    #[display("upstream_failed")]
    UpstreamFailed,
    /// No quorum of control members answers.
    #[display("no_quorum")]
    NoQuorum,
    /// The member that received the request is not the leader.
    #[display("not_leader")]
    NotLeader,
    /// The entry holds no lease.
    #[display("no_lease")]
    NoLease,
    /// The daemon is stopping.
    #[display("stopping")]
    Stopping,
    /// The key is older than the records that are kept, so it is unknown whether its request ran.
    #[display("key_expired")]
    KeyExpired,
    /// The entry that owns the request's claim has crashed or is unreachable.
    #[display("owner_lost")]
    OwnerLost,
    /// Internal error.
    #[display("internal")]
    Internal,
}

impl Code {
    /// HTTP status that corresponds to the code.
    pub fn status(self) -> http::StatusCode {
        use http::StatusCode as S;
        match self {
            Self::BadRequest => S::BAD_REQUEST,
            Self::Unauthorized => S::UNAUTHORIZED,
            Self::Forbidden => S::FORBIDDEN,
            Self::NotFound => S::NOT_FOUND,
            Self::Conflict => S::CONFLICT,
            Self::KeyReused | Self::Unsatisfiable => S::UNPROCESSABLE_ENTITY,
            Self::TooLarge => S::PAYLOAD_TOO_LARGE,
            Self::OverLimit => S::TOO_MANY_REQUESTS,
            Self::Deadline => S::GATEWAY_TIMEOUT,
            Self::UpstreamFailed | Self::OwnerLost => S::BAD_GATEWAY,
            Self::KeyExpired => S::GONE,
            Self::Internal => S::INTERNAL_SERVER_ERROR,
            Self::ClaimsFull
            | Self::NoUpstream
            | Self::NoQuorum
            | Self::NotLeader
            | Self::NoLease
            | Self::Stopping => S::SERVICE_UNAVAILABLE,
        }
    }
}

/// An error; also the JSON body of every error response.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq, Serialize, Deserialize)]
#[display("{code} ({verdict}): {message}")]
pub struct Error {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Machine-readable reason.
    pub code: Code,
    /// Human-readable explanation.
    pub message: String,
    /// Suggested delay before a retry, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl Error {
    /// Creates an error with the given verdict.
    pub fn new(verdict: Verdict, code: Code, message: impl Into<String>) -> Self {
        Self { verdict, code, message: message.into(), retry_after_ms: None }
    }

    /// Creates an error for a request that did not run.
    pub fn not_run(code: Code, message: impl Into<String>) -> Self {
        Self::new(Verdict::NotRun, code, message)
    }

    /// Creates an error for a request that may have run.
    pub fn may_have_run(code: Code, message: impl Into<String>) -> Self {
        Self::new(Verdict::MayHaveRun, code, message)
    }

    /// Creates an error for an answer of a type that does not match the call; the effect of the
    /// call is unknown.
    pub fn unexpected(answer: &impl std::fmt::Debug) -> Self {
        Self::may_have_run(Code::Internal, format!("unexpected answer {answer:?}"))
    }

    /// Raises the verdict to at least `may_have_run`, for a request that was also sent earlier: the
    /// outcome of the earlier send is unknown here.
    #[must_use]
    pub fn after_earlier_send(mut self) -> Self {
        self.verdict = self.verdict.max(Verdict::MayHaveRun);
        self
    }

    /// Sets the suggested delay before a retry.
    #[must_use]
    pub fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after_ms = Some(delay.as_millis() as u64);
        self
    }
}

impl miette::Diagnostic for Error {
    fn code<'a>(&'a self) -> Option<Box<dyn std::fmt::Display + 'a>> {
        Some(Box::new(self.code))
    }
}
