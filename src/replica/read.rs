//! Linearizable reads: served at once under the leader's lease, otherwise after a round of
//! heartbeats.

use super::{Effect, Refusal, Replica, Role};

/// A read that waits for answers from a quorum.
#[derive(Clone, Copy, Debug)]
pub(super) struct Request {
    pub(super) token: u64,
    requested_ms: u64,
}

impl Replica {
    pub(super) fn read(&mut self, token: u64) {
        let requested_ms = self.now_ms;
        let Role::Leader(leader) = &mut self.role else {
            let refusal = Refusal::NotLeader;
            self.effects.push(Effect::Refused { token, refusal });
            return;
        };
        leader.reads.push(Request { token, requested_ms });
        self.answer_reads();
        let must_wait = matches!(&self.role, Role::Leader(leader) if !leader.reads.is_empty());
        if must_wait {
            self.broadcast();
        }
    }

    /// Whether this replica is the leader and holds a lease: a quorum's answers rule out that
    /// another leader has been elected by now.
    pub fn holds_lease(&self) -> bool {
        self.lease_until_ms().is_some_and(|until_ms| self.now_ms < until_ms)
    }

    /// End of the leader's lease, in milliseconds; it may have passed. `None` if this replica does
    /// not lead or holds no lease.
    pub fn lease_until_ms(&self) -> Option<u64> {
        let Role::Leader(leader) = &self.role else { return None };
        let quorum_answered_ms = self.quorum_answered_ms();
        let has_quorum_answer = quorum_answered_ms > 0 && quorum_answered_ms >= leader.elected_ms;
        let is_valid = has_quorum_answer && !leader.is_lease_disabled;
        is_valid.then(|| quorum_answered_ms + self.timing.lease_ms())
    }

    /// Whether a state machine to which everything up to an index is applied reflects all changes
    /// that earlier leaders have acknowledged.
    pub fn covers_earlier_terms(&self, applied_index: u64) -> bool {
        matches!(&self.role, Role::Leader(leader) if applied_index >= leader.term_start_index)
    }

    pub(super) fn answer_reads(&mut self) {
        let has_lease = self.holds_lease();
        let quorum_answered_ms = self.quorum_answered_ms();
        let index = self.commit_index;
        let Role::Leader(leader) = &mut self.role else { return };
        // Before an entry of this term is committed, the commit index may be lower than what
        // earlier leaders have already served to readers.
        if index < leader.term_start_index {
            return;
        }
        let mut ready_tokens = Vec::new();
        leader.reads.retain(|read| {
            let is_current = has_lease || quorum_answered_ms > read.requested_ms;
            if is_current {
                ready_tokens.push(read.token);
            }
            !is_current
        });
        for token in ready_tokens {
            self.effects.push(Effect::ReadReady { token, index });
        }
    }
}
