//! Faults and operators of a seeded schedule.

use eelgrassvalve::replica::Input;
use eelgrassvalve::replica::member::Change;
use rand::RngExt;

use super::Network;

impl Network {
    pub(super) fn disturb(&mut self) {
        let faults = self.faults;
        let count = self.hosts.len();
        for at in 0..count {
            let down = self.hosts[at].replica.is_none();
            if down && self.hosts[at].restart_ms <= self.now_ms {
                self.start(at);
            }
            if self.chance(faults.crash) {
                self.crash(at);
            }
            if self.chance(faults.wipe) && self.may_wipe() {
                self.wipe(at);
            }
            if self.chance(faults.compact) {
                self.compact(at);
            }
            if self.chance(faults.transfer) {
                self.input(at, Input::Transfer);
            }
            if faults.loss > 0 && self.chance(200) {
                self.propose(at);
                self.read(at);
            }
        }
        let (from, to) = (self.rng.random_range(0..count), self.rng.random_range(0..count));
        let for_ms = self.rng.random_range(10..600);
        if self.chance(faults.cut) {
            self.cut(from, to, for_ms);
        }
        if self.chance(faults.cut / 4) {
            self.isolate(from, for_ms);
        }
        if self.chance(faults.change) {
            self.run_operator_step();
        }
    }

    // A second disk lost before the first is replaced is more than any group survives.
    fn may_wipe(&self) -> bool {
        let members = self.members();
        let whole = members.voters.keys().all(|id| self.host_of(*id).is_some());
        let agreed = self.hosts.iter().all(|host| {
            let latest = host.latest_members();
            latest.is_none_or(|latest| latest == members || !latest.is_voter(host.id))
        });
        whole && agreed && members.voters.len() >= 3
    }

    /// One step of an operator who replaces lost members, and else adds and removes at random.
    pub fn run_operator_step(&mut self) {
        let Some(leader) = self.leader() else { return };
        let members = self.members();
        let lost = members.voters.keys().chain(members.learners.keys());
        let lost = lost.copied().find(|id| self.host_of(*id).is_none());
        let at = self.rng.random_range(0..self.hosts.len());
        let id = self.hosts[at].id;
        let change = if members.learners.contains_key(&id) {
            Change::Promote { id }
        } else if members.name(id).is_none() {
            Change::Add { id, name: format!("host-{at}") }
        } else if let Some(id) = lost.filter(|_| members.voters.len() > 3) {
            Change::Remove { id }
        } else if lost.is_none() && members.voters.len() > 3 {
            Change::Remove { id }
        } else {
            return;
        };
        self.change(leader, change);
    }
}
