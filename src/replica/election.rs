//! Elections: pre-vote, vote, quorum check and leadership transfer.

use std::collections::{BTreeMap, BTreeSet};

use super::append::Progress;
use super::member::Id;
use super::{Body, Effect, Leader, Message, Payload, Replica, Role, Vote};

/// Content of a received [`Body::Ask`].
#[derive(Clone, Copy, Debug)]
pub(super) struct Request {
    pub(super) pre_vote: bool,
    pub(super) transfer: bool,
    pub(super) last_index: u64,
    pub(super) last_term: u64,
}

impl Replica {
    pub(super) fn campaign(&mut self, pre_vote: bool, transfer: bool) {
        self.reset_election_timer();
        if !pre_vote {
            self.vote = Vote { term: self.vote.term + 1, candidate: Some(self.id) };
            self.effects.push(Effect::SaveVote(self.vote));
        }
        if self.leader.take().is_some() {
            self.report_role();
        }
        let votes = BTreeSet::from([self.id]);
        self.role = Role::Candidate { pre_vote, transfer, votes };
        if self.has_majority() {
            self.win_election();
            return;
        }
        let term = self.vote.term + u64::from(pre_vote);
        let body = Body::Ask {
            pre: pre_vote,
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

    pub(super) fn handle_vote_request(&mut self, from: Id, term: u64, request: Request) {
        // A vote granted while a leader is live would break that leader's lease.
        let has_live_leader =
            self.leads() || self.now_ms < self.leader_contact_ms + self.timing.election_ms;
        if has_live_leader && !request.transfer {
            self.reject_vote(from, request.pre_vote);
            return;
        }
        if term > self.vote.term && !request.pre_vote {
            self.become_follower(term, None);
        }
        let own_last = (self.log.last_term(), self.log.last_index());
        let is_up_to_date = (request.last_term, request.last_index) >= own_last;
        let is_vote_available = match self.vote.candidate {
            _ if request.pre_vote => true,
            Some(candidate) => candidate == from,
            None => true,
        };
        let is_term_acceptable =
            if request.pre_vote { term > self.vote.term } else { term == self.vote.term };
        if !(is_up_to_date && is_vote_available && is_term_acceptable) {
            self.reject_vote(from, request.pre_vote);
            return;
        }
        if !request.pre_vote {
            self.vote.candidate = Some(from);
            self.effects.push(Effect::SaveVote(self.vote));
            self.reset_election_timer();
        }
        let message = Message { term, body: Body::Answer { pre: request.pre_vote, granted: true } };
        self.effects.push(Effect::Send { to: from, message });
    }

    fn reject_vote(&mut self, to: Id, pre_vote: bool) {
        self.send(to, Body::Answer { pre: pre_vote, granted: false });
    }

    pub(super) fn count_vote(
        &mut self,
        from: Id,
        term: u64,
        answers_pre_vote: bool,
        granted: bool,
    ) {
        let Role::Candidate { pre_vote, votes, .. } = &mut self.role else { return };
        let requested_term = self.vote.term + u64::from(*pre_vote);
        if !granted || *pre_vote != answers_pre_vote || term != requested_term {
            return;
        }
        votes.insert(from);
        if self.has_majority() {
            self.win_election();
        }
    }

    fn has_majority(&self) -> bool {
        let Role::Candidate { votes, .. } = &self.role else { return false };
        let granted_votes = votes.iter().filter(|id| self.members.is_voter(**id)).count();
        granted_votes >= self.members.quorum()
    }

    // A won pre-vote starts the election itself; a won election makes this replica the leader.
    fn win_election(&mut self) {
        if let Role::Candidate { pre_vote: true, transfer, .. } = self.role {
            self.campaign(false, transfer);
            return;
        }
        let next_index = self.log.last_index() + 1;
        let mut progress = BTreeMap::new();
        for id in self.members.others(self.id) {
            progress.insert(id, Progress::new(next_index, self.now_ms));
        }
        self.role = Role::Leader(Leader {
            progress,
            reads: Vec::new(),
            heartbeat_due_ms: self.now_ms,
            elected_ms: self.now_ms,
            term_start_index: next_index,
            transfer: None,
            is_lease_disabled: false,
        });
        self.leader = Some(self.id);
        self.report_role();
        self.append_local(Payload::Noop);
        self.broadcast();
    }

    pub(super) fn tick_leader(&mut self) {
        let quorum_answered_ms = self.quorum_answered_ms();
        let now_ms = self.now_ms;
        let quorum_timeout_ms = self.timing.election_ms * 2;
        let Role::Leader(leader) = &mut self.role else { return };
        if leader.transfer.is_some_and(|(_, deadline_ms)| deadline_ms <= now_ms) {
            leader.transfer = None;
        }
        let has_lost_quorum =
            quorum_answered_ms.max(leader.elected_ms) + quorum_timeout_ms < now_ms;
        if has_lost_quorum {
            let term = self.vote.term;
            self.become_follower(term, None);
            return;
        }
        if leader.heartbeat_due_ms <= now_ms {
            self.broadcast();
        }
    }

    /// Latest time, by the leader's clock, at which it sent messages that a quorum has answered.
    pub(super) fn quorum_answered_ms(&self) -> u64 {
        let Role::Leader(leader) = &self.role else { return 0 };
        self.members.majority_value(|id| match leader.progress.get(&id) {
            Some(progress) => progress.answered_sent_ms,
            None if id == self.id => self.now_ms,
            None => 0,
        })
    }

    /// Starts a leadership transfer to the most up-to-date voter, which is asked to campaign once
    /// it has the whole log.
    pub(super) fn transfer_leadership(&mut self) {
        let transfer_timeout_ms = self.timing.election_ms;
        let now_ms = self.now_ms;
        let members = &self.members;
        let Role::Leader(leader) = &mut self.role else { return };
        let voters = leader.progress.iter().filter(|(id, _)| members.is_voter(**id));
        let best =
            voters.max_by_key(|(_, progress)| (progress.match_index, progress.last_answer_ms));
        let Some((to, match_index)) = best.map(|(id, progress)| (*id, progress.match_index)) else {
            return;
        };
        leader.transfer = Some((to, now_ms + transfer_timeout_ms));
        if match_index == self.log.last_index() {
            self.send_campaign(to);
        }
    }

    pub(super) fn send_campaign(&mut self, to: Id) {
        let Role::Leader(leader) = &mut self.role else { return };
        leader.is_lease_disabled = true;
        self.send(to, Body::Campaign);
    }
}
