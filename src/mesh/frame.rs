//! Frames on a link, encoded as CBOR.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::call::{Answer, Call};
use crate::error;
use crate::replica;
use crate::replica::member::Id;
use crate::routing::upstream;

/// Version of the frames; both ends of a link must speak the same.
pub const VERSION: u32 = 1;

/// Longest frame, in bytes.
pub const FRAME_BYTES: usize = 8 << 20;

/// Result of decoding.
pub type Result<T> = std::result::Result<T, Malformed>;

/// A frame that can't be decoded.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("malformed frame: {detail}")]
pub struct Malformed {
    /// What is wrong.
    pub detail: String,
}

/// What a daemon says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Version of the frames.
    pub version: u32,
    /// Name of the daemon.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Identity of its data folder, or a random number for a daemon without one.
    pub id: Id,
    /// Random number of this start.
    pub incarnation: u64,
    /// Whether it terminates callers.
    pub is_entry: bool,
    /// Whether it may hold a replica.
    pub is_control: bool,
}

/// First frame of each end of a link.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Greeting {
    /// Who greets.
    pub hello: Hello,
    /// Random number that the other end signs.
    pub nonce: u128,
}

/// Second frame of each end: proof of the cluster key over both greetings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Proof {
    /// HMAC-SHA-256.
    pub mac: Vec<u8>,
}

/// A frame on an established link.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Message between replicas.
    Replica(replica::Message),
    /// Call that wants an answer.
    Call {
        /// Number that the answer echoes.
        number: u64,
        /// The call.
        call: Call,
    },
    /// Answer to a call.
    Answer {
        /// Number of the call.
        number: u64,
        /// The answer.
        answer: error::Result<Answer>,
    },
    /// Notice that wants no answer.
    Notice(Notice),
}

/// News that wants no answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Notice {
    /// The leader committed this configuration version: renew the lease now.
    Configured {
        /// Version.
        version: u64,
    },
    /// Orders for a worker whose poll the receiver holds.
    Orders {
        /// Worker.
        worker: String,
        /// All orders in force for it.
        orders: Vec<crate::placement::order::Order>,
    },
    /// Upstreams that changed at the sender.
    Upstreams(Vec<upstream::Update>),
    /// Upstreams that announced themselves to the sender again, unchanged.
    Beats(upstream::Heartbeats),
    /// Upstreams of which the sender wants the whole row.
    Want(Vec<upstream::Fingerprint>),
    /// Load of the sender.
    Load(upstream::Load),
}

/// Encodes a value.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("a frame encodes into memory");
    bytes
}

/// Decodes a value.
///
/// # Errors
/// [`Malformed`] for anything but one whole value.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    let mut rest = bytes;
    let value =
        ciborium::from_reader(&mut rest).map_err(|e| Malformed { detail: e.to_string() })?;
    if !rest.is_empty() {
        return Err(Malformed { detail: format!("{} bytes after the end", rest.len()) });
    }
    Ok(value)
}
