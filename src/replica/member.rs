//! Members of a group and changes of them, one at a time.

use std::collections::BTreeMap;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::{Effect, Payload, Refusal, Replica, Role};

/// Random identity of a data folder; a lost folder means a new identity.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
pub struct Id(pub u64);

impl Id {
    /// Parses the displayed form.
    pub fn parse(text: &str) -> Option<Self> {
        u64::from_str_radix(text, 16).ok().map(Self)
    }
}

/// Voters and learners, each with the name of its daemon.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Members whose votes and acknowledgements count.
    pub voters: BTreeMap<Id, String>,
    /// Members that only receive the log.
    pub learners: BTreeMap<Id, String>,
}

/// A change of the membership.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Adds a learner.
    Add {
        /// Identity.
        id: Id,
        /// Name of its daemon.
        name: String,
    },
    /// Makes a learner a voter.
    Promote {
        /// Identity.
        id: Id,
    },
    /// Removes a member.
    Remove {
        /// Identity.
        id: Id,
    },
}

impl Members {
    /// Whether the member votes.
    pub fn is_voter(&self, id: Id) -> bool {
        self.voters.contains_key(&id)
    }

    /// Whether the member is the one and only voter.
    pub fn is_only_voter(&self, id: Id) -> bool {
        self.voters.len() == 1 && self.is_voter(id)
    }

    /// Votes that make a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// All members but one.
    pub fn others(&self, id: Id) -> Vec<Id> {
        let all = self.voters.keys().chain(self.learners.keys());
        all.copied().filter(|other| *other != id).collect()
    }

    /// Name of a member's daemon.
    pub fn name(&self, id: Id) -> Option<&str> {
        let name = self.voters.get(&id).or_else(|| self.learners.get(&id));
        name.map(String::as_str)
    }

    /// The membership after a change; `None` where the change makes no sense.
    pub fn changed(&self, change: &Change) -> Option<Self> {
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

    /// The greatest value that a majority of voters reaches.
    pub fn majority(&self, value_of: impl Fn(Id) -> u64) -> u64 {
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
        match self.members.changed(change) {
            Some(members) => self.propose(token, Payload::Members(members)),
            None => self.effects.push(Effect::Refused { token, refusal: Refusal::Impossible }),
        }
    }

    fn check_change(&self, change: &Change) -> super::Result<()> {
        let Role::Leader(leader) = &self.role else { return Err(Refusal::NotLeader) };
        let pending = self.log.members_index() > self.commit;
        // Until an entry of this term commits, an older leader's change may still be undecided.
        if pending || self.commit < leader.first_index {
            return Err(Refusal::Busy);
        }
        if let Change::Promote { id } = change {
            let Some(progress) = leader.progress.get(id) else { return Err(Refusal::Impossible) };
            let silent_ms = self.now_ms.saturating_sub(progress.heard_ms);
            // A silent voter would cost the group the loss it is meant to survive.
            if progress.matched < self.commit || silent_ms > self.timing.election_ms {
                return Err(Refusal::Busy);
            }
        }
        Ok(())
    }

    /// Takes the membership from the log, after the log changed.
    pub(super) fn refresh_members(&mut self) {
        self.members = self.log.members();
        let others = self.members.others(self.id);
        let next = self.log.last_index() + 1;
        let now_ms = self.now_ms;
        let Role::Leader(leader) = &mut self.role else { return };
        leader.progress.retain(|id, _| others.contains(id));
        for id in others {
            leader.progress.entry(id).or_insert_with(|| super::append::Progress::new(next, now_ms));
        }
    }
}
