//! Membership of a Raft group. Members are added, promoted and removed one at a time.

use std::collections::BTreeMap;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::{Effect, Payload, Refusal, Replica, Role};

/// Random identity of a member, stored in its data folder. A member that loses the folder gets a
/// new identity.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
pub struct Id(pub u64);

impl Id {
    /// Parses the hexadecimal form that [`Display`](std::fmt::Display) writes.
    pub fn parse(text: &str) -> Option<Self> {
        u64::from_str_radix(text, 16).ok().map(Self)
    }
}

/// Membership: voters and learners, each with the name of its daemon.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Members that count towards quorums.
    pub voters: BTreeMap<Id, String>,
    /// Members that receive the log but don't count towards quorums.
    pub learners: BTreeMap<Id, String>,
}

/// A membership change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Adds a learner.
    Add {
        /// Identity of the member.
        id: Id,
        /// Name of the member's daemon.
        name: String,
    },
    /// Makes a learner a voter.
    Promote {
        /// Identity of the member.
        id: Id,
    },
    /// Removes a member.
    Remove {
        /// Identity of the member.
        id: Id,
    },
}

impl Members {
    /// Whether the member is a voter.
    pub fn is_voter(&self, id: Id) -> bool {
        self.voters.contains_key(&id)
    }

    /// Whether the member is the only voter.
    pub fn is_only_voter(&self, id: Id) -> bool {
        self.voters.len() == 1 && self.is_voter(id)
    }

    /// Number of voters that form a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// All members other than the given one.
    pub fn others(&self, id: Id) -> Vec<Id> {
        let all = self.voters.keys().chain(self.learners.keys());
        all.copied().filter(|other| *other != id).collect()
    }

    /// Name of a member's daemon.
    pub fn name(&self, id: Id) -> Option<&str> {
        let name = self.voters.get(&id).or_else(|| self.learners.get(&id));
        name.map(String::as_str)
    }

    /// Returns the membership after a change, or `None` if the change does not fit the current
    /// membership or would leave no voter.
    pub fn apply(&self, change: &Change) -> Option<Self> {
        let mut next = self.clone();
        match change {
            Change::Add { id, name } => {
                if self.name(*id).is_some() {
                    return None;
                }
                next.learners.insert(*id, name.clone());
            }
            Change::Promote { id } => {
                let name = next.learners.remove(id)?;
                next.voters.insert(*id, name);
            }
            Change::Remove { id } => {
                let learner = next.learners.remove(id);
                let voter = next.voters.remove(id);
                learner.or(voter)?;
            }
        }
        (!next.voters.is_empty()).then_some(next)
    }

    /// Returns the greatest value that a majority of voters has reached.
    pub fn majority_value(&self, value_of: impl Fn(Id) -> u64) -> u64 {
        let mut values: Vec<u64> = self.voters.keys().map(|id| value_of(*id)).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.quorum() - 1).copied().unwrap_or(0)
    }
}

impl Replica {
    pub(super) fn change_members(&mut self, token: u64, change: &Change) {
        if let Err(refusal) = self.check_change(change) {
            self.effects.push(Effect::Refused { token, refusal });
            return;
        }
        match self.members.apply(change) {
            Some(members) => self.propose(token, Payload::Members(members)),
            None => self.effects.push(Effect::Refused { token, refusal: Refusal::Impossible }),
        }
    }

    fn check_change(&self, change: &Change) -> super::Result<()> {
        let Role::Leader(leader) = &self.role else { return Err(Refusal::NotLeader) };
        let is_change_pending = self.log.members_index() > self.commit_index;
        // Until an entry of this term is committed, a change by an earlier leader may be
        // undecided.
        if is_change_pending || self.commit_index < leader.term_start_index {
            return Err(Refusal::Busy);
        }
        if let Change::Promote { id } = change {
            let Some(progress) = leader.progress.get(id) else { return Err(Refusal::Impossible) };
            let silent_ms = self.now_ms.saturating_sub(progress.last_answer_ms);
            // An unreachable voter would use up one of the failures that the group can tolerate.
            if progress.match_index < self.commit_index || silent_ms > self.timing.election_ms {
                return Err(Refusal::Busy);
            }
        }
        Ok(())
    }

    /// Updates the membership, and the leader's list of followers, after the log has changed.
    pub(super) fn refresh_members(&mut self) {
        self.members = self.log.members();
        let other_ids = self.members.others(self.id);
        let next_index = self.log.last_index() + 1;
        let now_ms = self.now_ms;
        let Role::Leader(leader) = &mut self.role else { return };
        leader.progress.retain(|id, _| other_ids.contains(id));
        for id in other_ids {
            leader
                .progress
                .entry(id)
                .or_insert_with(|| super::append::Progress::new(next_index, now_ms));
        }
    }
}
