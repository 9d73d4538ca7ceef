//! Verdicts: whether a request ran, as far as this is known.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Response header that carries the verdict.
pub const HEADER: &str = "eelgrassvalve-verdict";

/// Whether a request ran, as far as the system can prove it.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// No byte of the request has reached or will reach an upstream.
    #[display("not_run")]
    NotRun,
    /// The request may have reached an upstream; callers must assume neither that it ran nor that
    /// it did not.
    #[display("may_have_run")]
    MayHaveRun,
    /// The request ran.
    #[display("ran")]
    Ran,
}

impl Verdict {
    /// Parses the value of the verdict header; `None` for an unknown value.
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "not_run" => Some(Self::NotRun),
            "may_have_run" => Some(Self::MayHaveRun),
            "ran" => Some(Self::Ran),
            _ => None,
        }
    }

    /// Exit code of the command-line tool for this verdict.
    pub fn exit_code(self) -> u8 {
        match self {
            Self::Ran => 0,
            Self::NotRun => 3,
            Self::MayHaveRun => 4,
        }
    }
}
