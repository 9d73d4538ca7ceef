//! What upstreams announce, and how entries tell one another of them.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::state::document::is_name;

/// Result of checking an announcement.
pub type Result<T> = std::result::Result<T, Fault>;

/// Milliseconds after which an upstream that is not heard of again gets no new work.
pub const TTL_MS: u64 = 3_000;
/// Most kinds that one upstream may serve.
const KINDS: usize = 64;
/// Most slots or connections that one upstream may announce.
const SLOTS: u32 = 10_000;

/// A bound that an announcement exceeds.
#[derive(Clone, Copy, Debug, Display, derive_more::Error, PartialEq, Eq)]
pub enum Fault {
    /// Too many kinds.
    #[display("more than {KINDS} kinds")]
    Kinds,
    /// A kind or zone that is not a name.
    #[display("a kind or the zone is not 1 to 64 of a-z, 0-9, - and _")]
    Name,
    /// Too many slots or connections.
    #[display("more than {SLOTS} slots or connections")]
    Slots,
}

/// An upstream's announcement of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Address that entries dial.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Requests it takes at once.
    pub slots: u32,
    /// Connections it takes at once.
    pub connections: u32,
    /// Kinds that it serves.
    pub kinds: BTreeSet<String>,
    /// Random number of this start; greater is newer.
    pub incarnation: u64,
    /// Number of this announcement within the incarnation.
    pub sequence: u64,
    /// State.
    pub state: State,
}

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Takes new work.
    Serving,
    /// Takes none; holds for the rest of its incarnation.
    Leaving,
}

/// An upstream as entries tell it to one another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Upstream.
    pub id: String,
    /// Its latest announcement.
    pub announce: Announcement,
    /// Milliseconds since the sender heard of it.
    pub age_ms: u64,
}

/// Stands for an upstream and all that it announced but for the sequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

/// News that an unchanged upstream announced itself again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat(
    /// Upstream and content.
    pub Fingerprint,
    /// Sequence of its latest announcement.
    pub u64,
    /// Milliseconds between that announcement and this beat.
    pub u64,
);

/// Heartbeats of the upstreams that announce themselves to the sender.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeats {
    /// When they were sent, on the sender's clock, in milliseconds.
    pub sent_ms: u64,
    /// One for each upstream heard of since the last ones.
    pub beats: Vec<Heartbeat>,
}

/// Slots of one upstream that the sender uses, or may use before its next report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Used(
    /// Low half of the mark; a collision misleads a hint only.
    pub u32,
    /// Slots.
    pub u32,
);

/// Load of an entry; replaces the one before.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that wait at the sender.
    pub waiting: u32,
    /// Upstreams of which the sender uses slots.
    pub used: Vec<Used>,
}

/// An upstream that was picked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Id.
    pub id: String,
    /// Address.
    pub address: SocketAddr,
    /// Connections that this entry may hold to it.
    pub connections: u32,
}

/// Status for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Id.
    pub id: String,
    /// Latest announcement.
    pub announce: Announcement,
    /// Milliseconds since it was last heard of.
    pub silent_ms: u64,
    /// Slots in use by this entry.
    pub used: u32,
}

impl Announcement {
    /// Checks the bounds that keep the table small.
    ///
    /// # Errors
    /// The first bound that it exceeds.
    pub fn check(&self) -> Result<()> {
        if self.kinds.len() > KINDS {
            return Err(Fault::Kinds);
        }
        if !is_name(&self.zone) || !self.kinds.iter().all(|kind| is_name(kind)) {
            return Err(Fault::Name);
        }
        if self.slots.max(self.connections) > SLOTS {
            return Err(Fault::Slots);
        }
        Ok(())
    }

    /// Fingerprint of this content under an id; equal in every process.
    pub fn mark(&self, id: &str) -> Fingerprint {
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
        let mut first = [0; 8];
        first.copy_from_slice(&hasher.finalize()[..8]);
        Fingerprint(u64::from_le_bytes(first))
    }
}

impl Fingerprint {
    /// Its low half.
    pub fn low(self) -> u32 {
        self.0 as u32
    }
}
