//! The configuration register: compare-and-set by version, resends answered alike.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::Result;
use super::document::{Document, Fault};
use crate::error::{Code, Error};
use crate::mesh::frame::encode;

/// Outcomes of operator requests that are remembered for resends.
pub const MAX_OUTCOMES: usize = 2_048;

/// An operator's request to replace the document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Operator request id; a resend carries the same.
    pub request_id: String,
    /// Version that the operator saw.
    pub expected: u64,
    /// The new document.
    pub document: Document,
    /// Digest of the version that the operator saw and of the document.
    pub digest: u128,
    /// Faults found on the way in. They travel with the change, since the machine must decide
    /// alike on members whose programs differ.
    pub faults: Vec<Fault>,
}

impl Change {
    /// A change of a document that was checked before.
    pub fn new(request_id: String, expected: u64, document: Document, faults: Vec<Fault>) -> Self {
        let digest = digest(expected, &document);
        // A document that is refused need not be kept in the log.
        let document = if faults.is_empty() { document } else { Document::default() };
        Self { request_id, expected, document, digest, faults }
    }
}

fn digest(expected: u64, document: &Document) -> u128 {
    let mut first = [0; 16];
    first.copy_from_slice(&Sha256::digest(encode(&(expected, document)))[..16]);
    u128::from_le_bytes(first)
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Recorded {
    request_id: String,
    digest: u128,
    result: Result<u64>,
}

/// The current document and its version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Register {
    /// Version; 0 before the first change.
    pub version: u64,
    /// Document in force.
    pub document: Document,
    outcomes: VecDeque<Recorded>,
}

impl Register {
    /// Applies a change and returns the version that it made.
    ///
    /// # Errors
    /// `conflict` where the version has moved on, `unsatisfiable` where the document has faults,
    /// `key_reused` where the request id stands for another change. A resend gets the outcome of
    /// the first send, a refusal included.
    pub fn apply(&mut self, change: &Change) -> Result<u64> {
        for recorded in &self.outcomes {
            if recorded.request_id != change.request_id {
                continue;
            }
            if recorded.digest != change.digest {
                let message = "the request id was used for another change";
                return Err(Error::not_run(Code::KeyReused, message));
            }
            return recorded.result.clone();
        }
        let result = self.replace(change);
        let request_id = change.request_id.clone();
        self.outcomes.push_back(Recorded {
            request_id,
            digest: change.digest,
            result: result.clone(),
        });
        if self.outcomes.len() > MAX_OUTCOMES {
            self.outcomes.pop_front();
        }
        result
    }

    fn replace(&mut self, change: &Change) -> Result<u64> {
        if change.expected != self.version {
            let message = format!("current version is {}, not {}", self.version, change.expected);
            return Err(Error::not_run(Code::Conflict, message));
        }
        if !change.faults.is_empty() {
            let listed: Vec<String> = change.faults.iter().map(Fault::to_string).collect();
            return Err(Error::not_run(Code::Unsatisfiable, listed.join("; ")));
        }
        self.version += 1;
        self.document = change.document.clone();
        Ok(self.version)
    }
}
