//! Reads that claim to be current: by the leader's lease, else by a round of heartbeats.

use super::{Effect, Refusal, Replica, Role};

/// A read that waits for a quorum's answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pending {
    pub(super) token: u64,
    at_ms: u64,
}

impl Replica {
    pub(super) fn read(&mut self, token: u64) {
        let at_ms = self.now_ms;
        let Role::Leader(leader) = &mut self.role else {
            let refusal = Refusal::NotLeader;
            self.effects.push(Effect::Refused { token, refusal });
            return;
        };
        leader.reads.push(Pending { token, at_ms });
        self.answer_reads();
        let waits = matches!(&self.role, Role::Leader(leader) if !leader.reads.is_empty());
        if waits {
            self.broadcast();
        }
    }

    /// Whether a quorum promised, up to now, to elect nobody else.
    pub fn holds_lease(&self) -> bool {
        let Role::Leader(leader) = &self.role else { return false };
        let heard_ms = self.quorum_heard_ms();
        let promised = heard_ms > 0 && heard_ms >= leader.since_ms;
        !leader.exempted && promised && self.now_ms < heard_ms + self.timing.lease_ms()
    }

    pub(super) fn answer_reads(&mut self) {
        let leased = self.holds_lease();
        let heard_ms = self.quorum_heard_ms();
        let index = self.commit;
        let Role::Leader(leader) = &mut self.role else { return };
        // The commit index of an earlier term may lag what that term's leader answered.
        if index < leader.first_index {
            return;
        }
        let mut ready = Vec::new();
        leader.reads.retain(|read| {
            let current = leased || heard_ms > read.at_ms;
            if current {
                ready.push(read.token);
            }
            !current
        });
        for token in ready {
            self.effects.push(Effect::ReadReady { token, index });
        }
    }
}
