//! The configuration register: compare-and-set by version, resends answered alike.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::Result;
use super::document::Document;
use crate::error::{Code, Error};

/// Outcomes of operator requests that are remembered for resends.
const OUTCOMES: usize = 2_048;

/// An operator's request to replace the document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Operator request id; a resend carries the same.
    pub request_id: String,
    /// Version that the operator saw.
    pub expected: u64,
    /// The new document.
    pub document: Document,
}

/// The current document and its version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Register {
    /// Version; 0 before the first change.
    pub version: u64,
    /// Document in force.
    pub document: Document,
    outcomes: VecDeque<(String, Result<u64>)>,
}

impl Register {
    /// Applies a change and returns the version that it made.
    ///
    /// # Errors
    /// `conflict` where the version has moved on; a resend gets the outcome of the first send.
    pub fn apply(&mut self, change: &Change) -> Result<u64> {
        for (id, outcome) in &self.outcomes {
            if *id == change.request_id {
                return outcome.clone();
            }
        }
        let outcome = self.replace(change);
        self.outcomes.push_back((change.request_id.clone(), outcome.clone()));
        if self.outcomes.len() > OUTCOMES {
            self.outcomes.pop_front();
        }
        outcome
    }

    fn replace(&mut self, change: &Change) -> Result<u64> {
        if change.expected != self.version {
            let message = format!("current version is {}, not {}", self.version, change.expected);
            return Err(Error::not_run(Code::Conflict, message));
        }
        self.version += 1;
        self.document = change.document.clone();
        Ok(self.version)
    }
}
