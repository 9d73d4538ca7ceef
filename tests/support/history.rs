//! Histories of concurrent operators and callers, and the consistency checks on them.

use std::collections::BTreeMap;
use std::sync::Mutex;

use bytes::Bytes;
use eelgrassvalve::verdict::Verdict;
use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History};
use todc_utils::specifications::Specification;

/// State of the configuration register.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Content {
    pub version: u64,
    /// Number that identifies the document.
    pub mark: u64,
}

/// An operation on the configuration register.
#[derive(Clone, Debug)]
pub enum Operation {
    /// Reads the register; `None` until the response has arrived.
    Read(Option<Content>),
    /// Replaces the document if the current version is the expected one.
    Replace {
        expected: u64,
        /// Mark of the new document.
        mark: u64,
        /// Version of the new document; `None` if the expected version did not match.
        new_version: Option<u64>,
    },
}

/// Sequential specification of the configuration register.
pub struct Register;

impl Specification for Register {
    type State = Content;
    type Operation = Operation;

    fn init() -> Content {
        Content::default()
    }

    fn apply(operation: &Operation, state: &Content) -> (bool, Content) {
        match operation {
            Operation::Read(observed) => (*observed == Some(*state), *state),
            Operation::Replace { expected, new_version: None, .. } => {
                (*expected != state.version, *state)
            }
            Operation::Replace { expected, mark, new_version: Some(new_version) } => {
                let is_allowed = *expected == state.version && *new_version == expected + 1;
                (is_allowed, Content { version: *new_version, mark: *mark })
            }
        }
    }
}

/// Records calls and responses in the order in which they happen.
#[derive(Default)]
pub struct Recorder {
    actions: Mutex<Vec<(usize, Action<Operation>)>>,
}

impl Recorder {
    /// Records a call by a process.
    pub fn record_call(&self, process: usize, operation: Operation) {
        self.record(process, Action::Call(operation));
    }

    /// Records the response to the last call of a process.
    pub fn record_response(&self, process: usize, operation: Operation) {
        self.record(process, Action::Response(operation));
    }

    fn record(&self, process: usize, action: Action<Operation>) {
        self.actions.lock().expect("the mutex is not poisoned").push((process, action));
    }

    /// Returns whether the history is linearizable, and its number of operations.
    pub fn check(self) -> (bool, usize) {
        let actions = self.actions.into_inner().expect("the mutex is not poisoned");
        let operations = actions.len() / 2;
        (WGLChecker::<Register>::is_linearizable(History::from_actions(actions)), operations)
    }
}

/// Responses to the requests sent with one idempotency key, in the order of sending.
#[derive(Clone, Debug)]
pub struct KeyRecord {
    /// Request body, unique to this key.
    pub payload: String,
    /// Verdict of each request; `None` if no response came.
    pub verdicts: Vec<Option<Verdict>>,
    /// Bodies of the successful responses.
    pub answers: Vec<Bytes>,
}

impl KeyRecord {
    /// Checks the responses against the number of times that upstreams ran each payload.
    ///
    /// # Panics
    /// Panics if the payload ran more than once, or if a response contradicts the number of runs.
    pub fn check(&self, run_counts: &BTreeMap<Bytes, usize>) {
        let runs = run_counts.get(self.payload.as_bytes()).copied().unwrap_or(0);
        assert!(runs <= 1, "payload ran {runs} times: {self:?}");
        let expected = format!("plan:{}", self.payload);
        for answer in &self.answers {
            assert_eq!(*answer, expected, "response belongs to another request: {self:?}");
        }
        if self.verdicts.contains(&Some(Verdict::Ran)) {
            assert_eq!(runs, 1, "verdict is `ran`, but the payload did not run: {self:?}");
        }
        let not_run = self.verdicts.iter().all(|verdict| *verdict == Some(Verdict::NotRun));
        assert!(!not_run || runs == 0, "all verdicts are `not_run`, but the payload ran: {self:?}");
    }
}
