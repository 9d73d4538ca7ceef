//! What an entry may do now: its lease and the configuration that came with it.

use std::sync::Arc;
use std::time::Duration;

use super::Entry;
use crate::mesh::call::{Answer, Call, Renewal};
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
    let mut ticks = entry.timer.subscribe(Duration::from_millis((length_ms / 3).max(10)));
    loop {
        renew(&entry, length_ms).await;
        tokio::select! {
            _ = ticks.tick() => {}
            () = entry.renew_now.notified() => {}
        }
    }
}

async fn renew(entry: &Entry, length_ms: u64) {
    let sent_ms = entry.timer.now_ms();
    let renewal = Renewal {
        incarnation: entry.owner.incarnation,
        version: entry.standing.lock().version,
        workers: entry.polls.heard(sent_ms),
    };
    // A renewal that takes longer than the lease could give nothing.
    let within = Duration::from_millis(length_ms / 2);
    let lease = match entry.client.call(Call::Renew(renewal), within).await {
        Ok(Answer::Lease(lease)) => lease,
        Ok(_) => return,
        Err(error) => {
            tracing::debug!(%error, "lease not renewed");
            return;
        }
    };
    if lease.version < entry.standing.lock().version {
        tracing::warn!(version = lease.version, "lease refused: its configuration is older");
        return;
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
    let Some(document) = lease.document else { return };
    if lease.version <= standing.version {
        return;
    }
    standing.version = lease.version;
    standing.document = Arc::new(*document);
    Metrics::global().set_config_version(lease.version);
    tracing::info!(version = lease.version, "configuration in force");
    drop(standing);
    // The leader learns at once that the version is in force here.
    entry.renew_now.notify_one();
}
