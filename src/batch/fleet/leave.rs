//! Workers that leave: their announcements, and when they count as gone.

use std::collections::BTreeMap;

use super::Fleet;
use crate::batch::job::Run;

/// Time after a worker announced its leave during which its last heartbeat is accepted, in
/// milliseconds: the longest that a worker waits for an answer before it sends the next heartbeat.
const LEAVE_GRACE_MS: u64 = 1_000;
/// Time without a heartbeat after which a worker's session is removed, in milliseconds; its runs
/// were declared lost long before.
const SESSION_RETENTION_MS: u64 = 120_000;

/// The announced leave of a worker.
#[derive(Clone, Copy, Debug)]
pub(super) struct Leave {
    // Last incarnation that leaves.
    incarnation: u64,
    pub(super) announced_ms: u64,
}

impl Leave {
    /// Whether its runs count as lost.
    pub(super) fn is_over(&self, now_ms: u64) -> bool {
        now_ms >= self.announced_ms + LEAVE_GRACE_MS
    }
}

impl Fleet {
    /// Records that a worker leaves. Its runs count as lost only after a grace period, since its
    /// last heartbeat may still be in flight and report how they ended.
    ///
    /// An announcement that does not name the incarnation may be a late one of an earlier incarnation. It is
    /// believed of a worker that is draining. Any other worker gets no work until it follows an answer again,
    /// and keeps its runs until its lease has expired.
    pub fn mark_leaving(&mut self, worker: &str, incarnation: Option<u64>, now_ms: u64) {
        let session = self.sessions.get_mut(worker);
        let current = session.as_ref().map(|session| session.heartbeat.incarnation);
        let is_draining = session.as_ref().is_some_and(|session| session.heartbeat.is_draining);
        let incarnation = match incarnation {
            // A delayed message of an earlier incarnation.
            Some(left) if current.is_some_and(|current| left < current) => return,
            Some(left) => Some(left),
            None => current.filter(|_| is_draining),
        };
        if let Some(incarnation) = incarnation {
            self.leaving.insert(worker.to_string(), Leave { incarnation, announced_ms: now_ms });
        } else if let Some(session) = session {
            session.revoke_confirmation();
        }
    }

    /// Removes workers whose grace period after their leave is over, and workers that have
    /// sent no heartbeat for longer than sessions are kept.
    pub fn remove_departed(&mut self, now_ms: u64) {
        self.sessions
            .retain(|_, session| now_ms < session.last_heartbeat_ms + SESSION_RETENTION_MS);
        let (over, open): (BTreeMap<_, _>, BTreeMap<_, _>) = std::mem::take(&mut self.leaving)
            .into_iter()
            .partition(|(_, leave)| leave.is_over(now_ms));
        self.leaving = open;
        for (worker, leave) in over {
            self.sessions.remove(&worker);
            self.departed.insert(worker, leave.incarnation);
        }
    }

    // The announced leave that ends a run on a worker.
    pub(super) fn leave_of(&self, worker: &str, run: &Run) -> Option<&Leave> {
        self.leaving.get(worker).filter(|leave| run.incarnation <= leave.incarnation)
    }
}
