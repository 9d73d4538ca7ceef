//! Elections: pre-vote, vote, check-quorum and leadership transfer.

use std::collections::{BTreeMap, BTreeSet};

use super::append::Progress;
use super::member::Id;
use super::{Body, Effect, Leader, Message, Payload, Replica, Role, Vote};

/// A request for a vote.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ask {
    pub(super) pre: bool,
    pub(super) transfer: bool,
    pub(super) last_index: u64,
    pub(super) last_term: u64,
}

impl Replica {
    pub(super) fn campaign(&mut self, pre: bool, transfer: bool) {
        self.reset_election();
        if !pre {
            self.vote = Vote { term: self.vote.term + 1, candidate: Some(self.id) };
            self.effects.push(Effect::SaveVote(self.vote));
        }
        if self.leader.take().is_some() {
            self.note_role();
        }
        let votes = BTreeSet::from([self.id]);
        self.role = Role::Candidate { pre, transfer, votes };
        if self.is_elected() {
            self.win();
            return;
        }
        let term = self.vote.term + u64::from(pre);
        let body = Body::Ask {
            pre,
            transfer,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        let voters: Vec<Id> = self.members.voters.keys().copied().collect();
        for to in voters {
            if to == self.id {
                continue;
            }
            let message = Message { term, body: body.clone() };
            self.effects.push(Effect::Send { to, message });
        }
    }

    pub(super) fn answer_ask(&mut self, from: Id, term: u64, ask: Ask) {
        // A vote given while a leader is heard would break that leader's lease.
        let leased = self.leads() || self.now_ms < self.heard_ms + self.timing.election_ms;
        if leased && !ask.transfer {
            self.refuse_ask(from, ask.pre);
            return;
        }
        if term > self.vote.term && !ask.pre {
            self.follow(term, None);
        }
        let last = (self.log.last_term(), self.log.last_index());
        let current = (ask.last_term, ask.last_index) >= last;
        let free = match self.vote.candidate {
            _ if ask.pre => true,
            Some(candidate) => candidate == from,
            None => true,
        };
        let newer = if ask.pre { term > self.vote.term } else { term == self.vote.term };
        if !(current && free && newer) {
            self.refuse_ask(from, ask.pre);
            return;
        }
        if !ask.pre {
            self.vote.candidate = Some(from);
            self.effects.push(Effect::SaveVote(self.vote));
            self.reset_election();
        }
        let message = Message { term, body: Body::Answer { pre: ask.pre, granted: true } };
        self.effects.push(Effect::Send { to: from, message });
    }

    fn refuse_ask(&mut self, to: Id, pre: bool) {
        self.send(to, Body::Answer { pre, granted: false });
    }

    pub(super) fn count_vote(&mut self, from: Id, term: u64, was_pre: bool, granted: bool) {
        let Role::Candidate { pre, votes, .. } = &mut self.role else { return };
        let asked_term = self.vote.term + u64::from(*pre);
        if !granted || *pre != was_pre || term != asked_term {
            return;
        }
        votes.insert(from);
        if self.is_elected() {
            self.win();
        }
    }

    fn is_elected(&self) -> bool {
        let Role::Candidate { votes, .. } = &self.role else { return false };
        let counted = votes.iter().filter(|id| self.members.is_voter(**id)).count();
        counted >= self.members.quorum()
    }

    fn win(&mut self) {
        if let Role::Candidate { pre: true, transfer, .. } = self.role {
            self.campaign(false, transfer);
            return;
        }
        let next = self.log.last_index() + 1;
        let mut progress = BTreeMap::new();
        for id in self.members.others(self.id) {
            progress.insert(id, Progress::new(next, self.now_ms));
        }
        self.role = Role::Leader(Leader {
            progress,
            reads: Vec::new(),
            heartbeat_at_ms: self.now_ms,
            since_ms: self.now_ms,
            first_index: next,
            transfer: None,
            exempted: false,
        });
        self.leader = Some(self.id);
        self.note_role();
        self.append_local(Payload::Noop);
        self.broadcast();
    }

    pub(super) fn tick_leader(&mut self) {
        let quorum_ms = self.quorum_heard_ms();
        let now_ms = self.now_ms;
        let patience_ms = self.timing.election_ms * 2;
        let Role::Leader(leader) = &mut self.role else { return };
        if leader.transfer.is_some_and(|(_, until_ms)| until_ms <= now_ms) {
            leader.transfer = None;
        }
        let alone = quorum_ms.max(leader.since_ms) + patience_ms < now_ms;
        if alone {
            let term = self.vote.term;
            self.follow(term, None);
            return;
        }
        if leader.heartbeat_at_ms <= now_ms {
            self.broadcast();
        }
    }

    /// Leader's clock at the latest moment from which a quorum is known to have heard it.
    pub(super) fn quorum_heard_ms(&self) -> u64 {
        let Role::Leader(leader) = &self.role else { return 0 };
        self.members.majority(|id| match leader.progress.get(&id) {
            Some(progress) => progress.echo_ms,
            None if id == self.id => self.now_ms,
            None => 0,
        })
    }

    pub(super) fn transfer(&mut self) {
        let patience_ms = self.timing.election_ms;
        let now_ms = self.now_ms;
        let members = &self.members;
        let Role::Leader(leader) = &mut self.role else { return };
        let voters = leader.progress.iter().filter(|(id, _)| members.is_voter(**id));
        let best = voters.max_by_key(|(_, progress)| (progress.matched, progress.heard_ms));
        let Some((to, matched)) = best.map(|(id, progress)| (*id, progress.matched)) else {
            return;
        };
        leader.transfer = Some((to, now_ms + patience_ms));
        if matched == self.log.last_index() {
            self.ask_to_campaign(to);
        }
    }

    pub(super) fn ask_to_campaign(&mut self, to: Id) {
        let Role::Leader(leader) = &mut self.role else { return };
        leader.exempted = true;
        self.send(to, Body::Campaign);
    }
}
