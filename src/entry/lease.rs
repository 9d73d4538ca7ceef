//! The lease of an entry, its renewal, and the configuration that the leader sends with it.

use std::sync::Arc;
use std::time::Duration;

use super::Entry;
use crate::error::Code;
use crate::mesh::call::{Answer, Call, Renewal, Workers};
use crate::state::document::Document;
use crate::telemetry::Metrics;

/// Latest lease of an entry, with the configuration in force.
#[derive(Clone, Debug, Default)]
pub struct Lease {
    /// Expiry of the lease on the daemon's clock, in milliseconds.
    pub expires_ms: u64,
    /// Time at which the renewal that was granted was sent, on the same clock.
    pub sent_ms: u64,
    /// Term of the leader that granted the lease.
    pub term: u64,
    /// Version of the configuration in force at this entry; never decreases.
    pub version: u64,
    /// Configuration document.
    pub document: Arc<Document>,
    /// Live entries, sorted by name.
    pub entries: Vec<String>,
}

impl Lease {
    /// Whether the lease has not expired.
    pub fn is_valid(&self, now_ms: u64) -> bool {
        now_ms < self.expires_ms
    }
}

/// Renews the lease in an endless loop, periodically and on request.
pub async fn renew_periodically(entry: Arc<Entry>) {
    let length_ms = entry.settings.times.entry_lease_ms;
    let mut ticks = entry.timer.interval(Duration::from_millis((length_ms / 3).max(10)));
    let mut sent_revision = None;
    loop {
        sent_revision = renew(&entry, length_ms, sent_revision).await;
        tokio::select! {
            _ = ticks.tick() => {}
            () = entry.renewal_requested.notified() => {}
        }
    }
}

// Takes and returns the revision of the list of worker names that the leader has, if it has one.
async fn renew(entry: &Entry, length_ms: u64, sent_revision: Option<u32>) -> Option<u32> {
    let sent_ms = entry.timer.now_ms();
    let names = entry.polls.active_workers(sent_ms);
    let revision = Workers::revision(&names);
    let is_unchanged = sent_revision == Some(revision);
    let workers = if is_unchanged { Workers::Same { revision } } else { Workers::Names(names) };
    let renewal = Renewal {
        incarnation: entry.owner.incarnation,
        version: entry.lease.lock().version,
        workers,
    };
    // The lease counts from the time of sending, so an answer that takes longer than the lease
    // would grant nothing.
    let timeout = Duration::from_millis(length_ms / 2);
    let granted = match entry.client.call(Call::Renew(renewal), timeout).await {
        Ok(Answer::Lease(lease)) => lease,
        Ok(_) => return None,
        Err(error) => {
            tracing::debug!(%error, "lease renewal failed");
            if error.code == Code::Conflict {
                // The leader lacks the list of names: send it without waiting for the next tick.
                entry.renewal_requested.notify_one();
            }
            return None;
        }
    };
    if granted.version < entry.lease.lock().version {
        tracing::warn!(
            version = granted.version,
            "lease rejected: its configuration is older than the one in force"
        );
        return None;
    }
    if entry.lease.lock().term != granted.term {
        // A new leader has no reports of workers yet.
        entry.polls.clear_reports();
    }
    let mut state = entry.lease.lock();
    state.term = granted.term;
    // The lease counts from the time of sending, so that it expires here before it does at the
    // leader, whose count starts later.
    state.expires_ms = state.expires_ms.max(sent_ms + granted.length_ms);
    state.sent_ms = sent_ms;
    state.entries = granted.entries;
    let Some(document) = granted.document else { return Some(revision) };
    if granted.version <= state.version {
        return Some(revision);
    }
    state.version = granted.version;
    state.document = Arc::new(*document);
    Metrics::global().set_config_version(granted.version);
    tracing::info!(version = granted.version, "configuration in force");
    drop(state);
    // Tells the leader at once that the version is in force at this entry.
    entry.renewal_requested.notify_one();
    Some(revision)
}
