//! What an entry may do now: its lease and the configuration that came with it.

use std::sync::Arc;
use std::time::Duration;

use super::Entry;
use crate::error::Code;
use crate::mesh::call::{ActiveWorkers, Answer, Call, Renewal};
use crate::state::document::Document;
use crate::telemetry::Metrics;

/// Lease and configuration of an entry.
#[derive(Clone, Debug, Default)]
pub struct Standing {
    /// When the lease runs out, on the daemon's clock, in milliseconds.
    pub until_ms: u64,
    /// When the renewal that gave it was sent.
    pub sent_ms: u64,
    /// Term of the leader that granted it.
    pub term: u64,
    /// Configuration version in force here; only goes up.
    pub version: u64,
    /// The document.
    pub document: Arc<Document>,
    /// Live entries, sorted by name.
    pub entries: Vec<String>,
}

impl Standing {
    /// Whether the lease runs.
    pub fn holds_lease(&self, now_ms: u64) -> bool {
        now_ms < self.until_ms
    }
}

/// Renews the lease for ever.
pub async fn keep(entry: Arc<Entry>) {
    let length_ms = entry.settings.times.entry_lease_ms;
    let mut ticks = entry.timer.interval(Duration::from_millis((length_ms / 3).max(10)));
    let mut named = None;
    loop {
        named = renew(&entry, length_ms, named).await;
        tokio::select! {
            _ = ticks.tick() => {}
            () = entry.renew_now.notified() => {}
        }
    }
}

// Takes and returns the revision of the workers whose names the leader has, if it has any.
async fn renew(entry: &Entry, length_ms: u64, named: Option<u32>) -> Option<u32> {
    let sent_ms = entry.timer.now_ms();
    let names = entry.polls.heard(sent_ms);
    let revision = ActiveWorkers::revision(&names);
    let is_named = named == Some(revision);
    let workers =
        if is_named { ActiveWorkers::Same { revision } } else { ActiveWorkers::Names(names) };
    let renewal = Renewal {
        incarnation: entry.owner.incarnation,
        version: entry.standing.lock().version,
        workers,
    };
    // A renewal that takes longer than the lease could give nothing.
    let within = Duration::from_millis(length_ms / 2);
    let lease = match entry.client.call(Call::Renew(renewal), within).await {
        Ok(Answer::Lease(lease)) => lease,
        Ok(_) => return None,
        Err(error) => {
            tracing::debug!(%error, "lease not renewed");
            if error.code == Code::Conflict {
                // The leader wants the names: they are sent without waiting for the next turn.
                entry.renew_now.notify_one();
            }
            return None;
        }
    };
    if lease.version < entry.standing.lock().version {
        tracing::warn!(version = lease.version, "lease refused: its configuration is older");
        return None;
    }
    if entry.standing.lock().term != lease.term {
        // A new leader knows no worker yet.
        entry.polls.forget_reports();
    }
    let mut standing = entry.standing.lock();
    standing.term = lease.term;
    // The lease counts from the sending: the leader's count starts later.
    standing.until_ms = standing.until_ms.max(sent_ms + lease.length_ms);
    standing.sent_ms = sent_ms;
    standing.entries = lease.entries;
    let Some(document) = lease.document else { return Some(revision) };
    if lease.version <= standing.version {
        return Some(revision);
    }
    standing.version = lease.version;
    standing.document = Arc::new(*document);
    Metrics::global().set_config_version(lease.version);
    tracing::info!(version = lease.version, "configuration in force");
    drop(standing);
    // The leader learns at once that the version is in force here.
    entry.renew_now.notify_one();
    Some(revision)
}
