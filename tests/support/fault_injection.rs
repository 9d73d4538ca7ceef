//! Random faults and operator actions of a seeded schedule.

use eelgrassvalve::replica::Input;
use eelgrassvalve::replica::member::Change;
use rand::RngExt;

use super::Network;

impl Network {
    /// Injects the faults of one step, restarts crashed hosts and sends proposals and reads.
    pub(super) fn inject_faults(&mut self) {
        let faults = self.faults;
        let count = self.hosts.len();
        for host_index in 0..count {
            let is_down = self.hosts[host_index].replica.is_none();
            if is_down && self.hosts[host_index].restart_ms <= self.now_ms {
                self.start(host_index);
            }
            if self.chance(faults.crash) {
                self.crash(host_index);
            }
            if self.chance(faults.wipe) && self.may_wipe() {
                self.wipe(host_index);
            }
            if self.chance(faults.compact) {
                self.compact(host_index);
            }
            if self.chance(faults.transfer) {
                self.input(host_index, Input::Transfer);
            }
            if faults.loss > 0 && self.chance(200) {
                self.propose(host_index);
                self.read(host_index);
            }
        }
        let (from, to) = (self.rng.random_range(0..count), self.rng.random_range(0..count));
        let duration_ms = self.rng.random_range(10..600);
        if self.chance(faults.cut) {
            self.cut(from, to, duration_ms);
        }
        if self.chance(faults.cut / 4) {
            self.isolate(from, duration_ms);
        }
        if self.chance(faults.change) {
            self.run_operator_step();
        }
    }

    // No group survives the loss of a second disk before the first has been replaced.
    fn may_wipe(&self) -> bool {
        let members = self.members();
        let all_exist = members.voters.keys().all(|id| self.host_of(*id).is_some());
        let has_agreement = self.hosts.iter().all(|host| {
            let latest = host.latest_members();
            latest.is_none_or(|latest| latest == members || !latest.is_voter(host.id))
        });
        all_exist && has_agreement && members.voters.len() >= 3
    }

    /// Makes one membership change as an operator would: replaces lost members, and otherwise adds
    /// and removes members at random.
    pub fn run_operator_step(&mut self) {
        let Some(leader) = self.leader() else { return };
        let members = self.members();
        let lost = members.voters.keys().chain(members.learners.keys());
        let lost = lost.copied().find(|id| self.host_of(*id).is_none());
        let host_index = self.rng.random_range(0..self.hosts.len());
        let id = self.hosts[host_index].id;
        let change = if members.learners.contains_key(&id) {
            Change::Promote { id }
        } else if members.name(id).is_none() {
            Change::Add { id, name: format!("host-{host_index}") }
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
