//! Life cycle of one attempt; the verdict of a failure falls out of the state.

use crate::error::{Code, Error};
use crate::verdict::Verdict;

/// State of an attempt.
pub trait State {
    /// What a failure in this state tells the caller.
    const VERDICT: Verdict;
}

/// Waits for an upstream.
#[derive(Debug)]
pub struct Queued;
/// Holds a claim, or needs none; no byte has left.
#[derive(Debug)]
pub struct Claimed;
/// Bytes may have reached the upstream.
#[derive(Debug)]
pub struct Sent;
/// The whole answer is there.
#[derive(Debug)]
pub struct Answered;

impl State for Queued {
    const VERDICT: Verdict = Verdict::NotRun;
}
impl State for Claimed {
    const VERDICT: Verdict = Verdict::NotRun;
}
impl State for Sent {
    const VERDICT: Verdict = Verdict::MayHaveRun;
}
impl State for Answered {
    const VERDICT: Verdict = Verdict::Ran;
}

/// An attempt in a state.
#[derive(Debug)]
pub struct Attempt<S> {
    _state: S,
}

impl Attempt<Queued> {
    /// A new attempt.
    pub fn new() -> Self {
        Self { _state: Queued }
    }

    /// The claim is held, or none is needed.
    pub fn claimed(self) -> Attempt<Claimed> {
        Attempt { _state: Claimed }
    }
}

impl Default for Attempt<Queued> {
    fn default() -> Self {
        Self::new()
    }
}

impl Attempt<Claimed> {
    /// The first byte is about to leave.
    pub fn sent(self) -> Attempt<Sent> {
        Attempt { _state: Sent }
    }
}

impl Attempt<Sent> {
    /// The connection gave the request back: none of its bytes left.
    pub fn unsent(self) -> Attempt<Claimed> {
        Attempt { _state: Claimed }
    }

    /// The whole answer arrived.
    pub fn answered(self) -> Attempt<Answered> {
        Attempt { _state: Answered }
    }
}

impl<S: State> Attempt<S> {
    /// An error with the verdict of this state.
    pub fn fail(&self, code: Code, message: impl Into<String>) -> Error {
        Error::new(S::VERDICT, code, message)
    }
}
