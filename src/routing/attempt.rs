//! Typestate of one attempt to run a request; the state determines the verdict of a failure.

use crate::error::{Code, Error};
use crate::verdict::Verdict;

/// State of an attempt.
pub trait State {
    /// Verdict returned to the caller if the attempt fails in this state.
    const VERDICT: Verdict;
}

/// Waiting for a slot of an upstream.
#[derive(Debug)]
pub struct Queued;
/// A slot is held; no byte has been sent.
#[derive(Debug)]
pub struct Ready;
/// Bytes may have reached the upstream.
#[derive(Debug)]
pub struct Sent;
/// The complete answer has arrived.
#[derive(Debug)]
pub struct Answered;

impl State for Queued {
    const VERDICT: Verdict = Verdict::NotRun;
}
impl State for Ready {
    const VERDICT: Verdict = Verdict::NotRun;
}
impl State for Sent {
    const VERDICT: Verdict = Verdict::MayHaveRun;
}
impl State for Answered {
    const VERDICT: Verdict = Verdict::Ran;
}

/// An attempt in state `S`.
#[derive(Debug)]
pub struct Attempt<S> {
    _state: S,
}

impl Attempt<Queued> {
    /// Creates an attempt that waits for a slot.
    pub fn new() -> Self {
        Self { _state: Queued }
    }

    /// Records that a slot is held.
    pub fn mark_ready(self) -> Attempt<Ready> {
        Attempt { _state: Ready }
    }
}

impl Default for Attempt<Queued> {
    fn default() -> Self {
        Self::new()
    }
}

impl Attempt<Ready> {
    /// Records that the first byte is about to be sent.
    pub fn mark_sent(self) -> Attempt<Sent> {
        Attempt { _state: Sent }
    }
}

impl Attempt<Sent> {
    /// Records that the connection returned the request without writing any byte of it.
    pub fn mark_unsent(self) -> Attempt<Ready> {
        Attempt { _state: Ready }
    }

    /// Records that the complete answer has arrived.
    pub fn mark_answered(self) -> Attempt<Answered> {
        Attempt { _state: Answered }
    }
}

impl<S: State> Attempt<S> {
    /// Creates an error with the verdict of this state.
    pub fn fail(&self, code: Code, message: impl Into<String>) -> Error {
        Error::new(S::VERDICT, code, message)
    }
}
