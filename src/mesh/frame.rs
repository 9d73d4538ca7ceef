//! Frames exchanged over a link, encoded as CBOR.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::call::{Answer, Call};
use crate::error;
use crate::kernel::buffer::Buffer;
use crate::replica;
use crate::replica::member::Id;
use crate::routing::upstream;

/// Protocol version; a link is refused unless both ends use the same one.
pub const VERSION: u32 = 1;

/// Maximum size of an encoded frame.
pub const MAX_FRAME_BYTES: usize = 8 << 20;

/// Result of decoding.
pub type Result<T> = std::result::Result<T, Error>;

/// A frame that can't be decoded.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("malformed frame: {detail}")]
pub struct Error {
    /// Cause reported by the decoder.
    pub detail: String,
}

/// Identity and roles of a daemon, sent when a link is established.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Protocol version.
    pub version: u32,
    /// Name of the daemon, unique in the cluster.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Member identity from the data folder; random for a daemon without one.
    pub id: Id,
    /// Random number drawn at each start of the process.
    pub incarnation: u64,
    /// Whether the daemon is an entry, which serves callers, upstreams and workers.
    pub is_entry: bool,
    /// Whether the daemon may be a control member.
    pub is_control: bool,
}

/// First frame that each end of a link sends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Greeting {
    /// Identity of the sender.
    pub hello: Hello,
    /// Random challenge that the peer authenticates with its proof.
    pub nonce: u128,
}

/// Second frame that each end sends: proves possession of the cluster key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Proof {
    /// HMAC-SHA-256 of both greetings under the cluster key.
    pub mac: Vec<u8>,
}

/// A frame on an established link.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Message of the replication protocol.
    Replica(replica::Message),
    /// Call that expects an answer.
    Call {
        /// Number that is repeated in the answer.
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
    /// One-way message.
    Notice(Notice),
}

/// A message that expects no answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Notice {
    /// The leader committed a new configuration version: renew the lease at once.
    Configured {
        /// Committed configuration version.
        version: u64,
    },
    /// Orders for a worker whose long poll is held by the receiving entry.
    Orders {
        /// Name of the worker.
        worker: String,
        /// All current orders for the worker.
        orders: Vec<crate::placement::order::Order>,
        /// Term of the leader; 0 from a daemon of an older release.
        #[serde(default)]
        term: u64,
    },
    /// Upstreams whose announcements changed at the sender.
    Upstreams(Vec<upstream::Update>),
    /// Upstreams that repeated an unchanged announcement to the sender.
    Beats(upstream::Heartbeats),
    /// Upstreams whose full records the sender requests.
    Want(Vec<upstream::Fingerprint>),
    /// Load report of the sender: its waiting requests and the upstream slots it uses.
    Load(upstream::Load),
}

/// Encodes a value as CBOR.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, Buffer(&mut bytes)).expect("writing to a Vec does not fail");
    bytes
}

/// Decodes a value from CBOR.
///
/// # Errors
/// [`Error`] unless `bytes` is exactly one complete value.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    let mut rest = bytes;
    let value = ciborium::from_reader(&mut rest).map_err(|e| Error { detail: e.to_string() })?;
    if !rest.is_empty() {
        return Err(Error { detail: format!("{} trailing bytes", rest.len()) });
    }
    Ok(value)
}
