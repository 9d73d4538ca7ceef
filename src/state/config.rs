//! The configuration register: compare-and-set by version; a resent change gets the same result.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::Result;
use super::document::{Document, Fault};
use crate::error::{Code, Error};
use crate::mesh::frame::encode;

/// Largest number of change results that are kept to answer resends.
pub const MAX_OUTCOMES: usize = 2_048;

/// An operator's request to replace the document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Request ID chosen by the operator; a resend uses the same ID.
    pub request_id: String,
    /// Version that the change is based on.
    pub expected: u64,
    /// The new document.
    pub document: Document,
    /// Digest of the expected version and the document.
    pub digest: u128,
    /// Faults found by validation before the change was proposed. They are part of the change so
    /// that members that run different versions of the program reach the same result.
    pub faults: Vec<Fault>,
}

impl Change {
    /// Creates a change from a document and the faults that its validation found.
    pub fn new(request_id: String, expected: u64, document: Document, faults: Vec<Fault>) -> Self {
        let digest = change_digest(expected, &document);
        // A rejected document need not be stored in the log.
        let document = if faults.is_empty() { document } else { Document::default() };
        Self { request_id, expected, document, digest, faults }
    }
}

fn change_digest(expected: u64, document: &Document) -> u128 {
    let mut prefix = [0; 16];
    prefix.copy_from_slice(&Sha256::digest(encode(&(expected, document)))[..16]);
    u128::from_le_bytes(prefix)
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Record {
    request_id: String,
    digest: u128,
    result: Result<u64>,
}

/// The current document, its version and the results of recent changes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Register {
    /// Current version; 0 before the first change.
    pub version: u64,
    /// Current document.
    pub document: Document,
    outcomes: VecDeque<Record>,
}

impl Register {
    /// Applies a change and returns the new version.
    ///
    /// # Errors
    /// `conflict` if the current version is not the expected one, `unsatisfiable` if the document
    /// has faults, `key_reused` if the request ID belongs to another change. A resend gets the
    /// result of the first request, even if that was an error.
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
        self.outcomes.push_back(Record {
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
            let messages: Vec<String> = change.faults.iter().map(Fault::to_string).collect();
            return Err(Error::not_run(Code::Unsatisfiable, messages.join("; ")));
        }
        self.version += 1;
        self.document = change.document.clone();
        Ok(self.version)
    }
}
