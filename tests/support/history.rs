//! Histories of concurrent operators and callers, and the checks that they must pass.

use std::collections::BTreeMap;
use std::sync::Mutex;

use bytes::Bytes;
use eelgrassvalve::verdict::Verdict;
use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History};
use todc_utils::specifications::Specification;

/// Content of the configuration register: version and a number that marks the document.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Content {
    /// Version.
    pub version: u64,
    /// Mark.
    pub mark: u64,
}

/// An operation on the configuration register.
#[derive(Clone, Debug)]
pub enum Operation {
    /// Reads; the content is known once it has answered.
    Read(Option<Content>),
    /// Replaces the document where the version is the expected one.
    Replace {
        /// Expected version.
        expected: u64,
        /// Mark of the new document.
        mark: u64,
        /// Version that it made; `None` where it was refused for its version.
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
            Operation::Read(read) => (*read == Some(*state), *state),
            Operation::Replace { expected, new_version: None, .. } => {
                (*expected != state.version, *state)
            }
            Operation::Replace { expected, mark, new_version: Some(new_version) } => {
                let fits = *expected == state.version && *new_version == expected + 1;
                (fits, Content { version: *new_version, mark: *mark })
            }
        }
    }
}

/// Records operations in the order in which they are called and answered.
#[derive(Default)]
pub struct Recorder {
    actions: Mutex<Vec<(usize, Action<Operation>)>>,
}

impl Recorder {
    /// Notes a call by a process.
    pub fn record_call(&self, process: usize, operation: Operation) {
        self.note(process, Action::Call(operation));
    }

    /// Notes the answer to the process's last call.
    pub fn record_response(&self, process: usize, operation: Operation) {
        self.note(process, Action::Response(operation));
    }

    fn note(&self, process: usize, action: Action<Operation>) {
        self.actions.lock().expect("no holder panics").push((process, action));
    }

    /// Whether the history is linearizable, and how many operations it has.
    pub fn check(self) -> (bool, usize) {
        let actions = self.actions.into_inner().expect("no holder panics");
        let operations = actions.len() / 2;
        (WGLChecker::<Register>::is_linearizable(History::from_actions(actions)), operations)
    }
}

/// What the sends of one key were told, in their order.
#[derive(Clone, Debug)]
pub struct KeyRecord {
    /// Payload, which no other key has.
    pub payload: String,
    /// Verdict of each send; `None` where no answer came.
    pub verdicts: Vec<Option<Verdict>>,
    /// Bodies of answers.
    pub answers: Vec<Bytes>,
}

impl KeyRecord {
    /// Checks the key against how often upstreams ran its payload.
    ///
    /// # Panics
    /// Where what was told is not true.
    pub fn check(&self, journal: &BTreeMap<Bytes, usize>) {
        let ran = journal.get(self.payload.as_bytes()).copied().unwrap_or(0);
        assert!(ran <= 1, "ran {ran} times: {self:?}");
        let expected = format!("plan:{}", self.payload);
        for answer in &self.answers {
            assert_eq!(*answer, expected, "another request's answer: {self:?}");
        }
        if self.verdicts.contains(&Some(Verdict::Ran)) {
            assert_eq!(ran, 1, "told to have run, but did not: {self:?}");
        }
        let not_run = self.verdicts.iter().all(|verdict| *verdict == Some(Verdict::NotRun));
        assert!(!not_run || ran == 0, "told not to have run, but ran: {self:?}");
    }
}
