//! Announcements of upstreams, and the messages about upstreams that entries exchange.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::state::document::is_name;

/// Result of checking an announcement.
pub type Result<T> = std::result::Result<T, Fault>;

/// Milliseconds after its last announcement at which an upstream gets no more new requests.
pub const TTL_MS: u64 = 3_000;
/// Maximum kinds that one upstream may announce.
const MAX_KINDS: usize = 64;
/// Maximum slots or connections that one upstream may announce.
const MAX_SLOTS: u32 = 10_000;

/// Why an announcement is invalid.
#[derive(Clone, Copy, Debug, Display, derive_more::Error, PartialEq, Eq)]
pub enum Fault {
    /// Too many kinds.
    #[display("more than {MAX_KINDS} kinds")]
    Kinds,
    /// A kind or the zone is not a valid name.
    #[display("a kind or the zone is not 1 to 64 of a-z, 0-9, - and _")]
    Name,
    /// Too many slots or connections.
    #[display("more than {MAX_SLOTS} slots or connections")]
    Slots,
}

/// An upstream's description of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Address to which entries connect.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Maximum concurrent requests.
    pub slots: u32,
    /// Maximum concurrent connections.
    pub connections: u32,
    /// Kinds of request that it serves.
    pub kinds: BTreeSet<String>,
    /// Number of this process start; a greater number supersedes a smaller one.
    pub incarnation: u64,
    /// Sequence number of this announcement within the incarnation.
    pub sequence: u64,
    /// Whether the upstream accepts new requests.
    pub state: State,
}

/// Whether an upstream accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The upstream accepts new requests.
    Serving,
    /// The upstream accepts no new requests for the rest of its incarnation.
    Leaving,
}

/// The record of an upstream, as sent between entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// ID of the upstream.
    pub id: String,
    /// Latest announcement of the upstream.
    pub announce: Announcement,
    /// Milliseconds since the announcement, as known to the sender.
    pub age_ms: u64,
}

/// Hash of an upstream's ID and its announcement without the sequence number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

/// Notice that an upstream repeated its announcement unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat(
    /// Fingerprint of the upstream.
    pub Fingerprint,
    /// Sequence number of its latest announcement.
    pub u64,
    /// Milliseconds between that announcement and this heartbeat.
    pub u64,
);

/// Heartbeats of the upstreams that announce themselves to the sender.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeats {
    /// Time of sending on the sender's clock, in milliseconds.
    pub sent_ms: u64,
    /// One for each upstream that announced itself since the previous message.
    pub beats: Vec<Heartbeat>,
}

/// Slots of one upstream that the sender uses, or may use before its next load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage(
    /// Low 32 bits of the fingerprint. Half the size suffices: a collision only makes the count
    /// of slots in use by other entries inexact.
    pub u32,
    /// Number of slots.
    pub u32,
);

/// Load report of an entry; replaces its previous one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that wait at the sender.
    pub waiting: u32,
    /// Upstreams of which the sender uses slots.
    pub used: Vec<Usage>,
}

/// An upstream that was picked for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// ID of the upstream.
    pub id: String,
    /// Address to which entries connect.
    pub address: SocketAddr,
    /// Maximum connections that this entry may hold to the upstream.
    pub connections: u32,
}

/// Status of an upstream, as returned to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// ID of the upstream.
    pub id: String,
    /// Latest announcement.
    pub announce: Announcement,
    /// Milliseconds since its latest announcement.
    pub silent_ms: u64,
    /// Slots in use by this entry.
    pub used: u32,
}

impl Announcement {
    /// Checks names and the limits that bound the size of a record.
    ///
    /// # Errors
    /// The first fault found.
    pub fn check(&self) -> Result<()> {
        if self.kinds.len() > MAX_KINDS {
            return Err(Fault::Kinds);
        }
        if !is_name(&self.zone) || !self.kinds.iter().all(|kind| is_name(kind)) {
            return Err(Fault::Name);
        }
        if self.slots.max(self.connections) > MAX_SLOTS {
            return Err(Fault::Slots);
        }
        Ok(())
    }

    /// Fingerprint of this announcement by the upstream `id`, identical in every process.
    pub fn fingerprint(&self, id: &str) -> Fingerprint {
        let mut hasher = Sha256::new();
        hasher.update(id.as_bytes());
        hasher.update([0, u8::from(self.state == State::Leaving)]);
        hasher.update(self.address.to_string().as_bytes());
        hasher.update([0]);
        hasher.update(self.zone.as_bytes());
        hasher.update(self.slots.to_le_bytes());
        hasher.update(self.connections.to_le_bytes());
        hasher.update(self.incarnation.to_le_bytes());
        for kind in &self.kinds {
            hasher.update(kind.as_bytes());
            hasher.update([0]);
        }
        let mut prefix = [0; 8];
        prefix.copy_from_slice(&hasher.finalize()[..8]);
        Fingerprint(u64::from_le_bytes(prefix))
    }
}

impl Fingerprint {
    /// Low 32 bits.
    pub fn low_bits(self) -> u32 {
        self.0 as u32
    }
}
