//! Distribution of the workers' heartbeats over the control members.
//!
//! In a small fleet the workers send their heartbeats to the leader. In a large one they send them to
//! the other members, which forward them over their links, so that the leader's host does not have
//! to serve a connection for each worker.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Fleet size in workers above which the leader sends workers to the other members.
const MAX_DIRECT_WORKERS: usize = 1_000;
/// Fleet size in workers below which they return to the leader. The gap prevents workers from
/// changing members at each change of a fleet near the limit.
const MIN_FORWARDED_WORKERS: usize = 800;
/// Workers that may return to the leader in one second. A new leader knows few workers at first, and
/// must not call those of a large fleet back before it has heard of the others.
const MAX_RETURNS_PER_S: u64 = 200;

/// The leader's view of its fleet and of the members.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// Name of the leader.
    pub leader: &'a str,
    /// Names of the other members that have answered the leader recently.
    pub followers: &'a [&'a str],
    /// Number of workers that the leader knows.
    pub workers: usize,
}

/// Assigns workers to members during one term of a leader.
#[derive(Debug, Default)]
pub struct Balancer {
    // Second of the latest return to the leader, and the returns in it.
    second: u64,
    returns: u64,
}

impl Balancer {
    /// Member to which a worker should send its next heartbeat, given the one that received the last.
    pub fn next_member<'a>(
        &mut self,
        view: &View<'a>,
        worker: &str,
        receiver: &'a str,
        now_ms: u64,
    ) -> &'a str {
        let is_direct = receiver == view.leader;
        if is_direct && view.workers > MAX_DIRECT_WORKERS {
            return preferred_follower(view, worker).unwrap_or(receiver);
        }
        if !is_direct && view.workers < MIN_FORWARDED_WORKERS && self.admit_return(now_ms) {
            return view.leader;
        }
        receiver
    }

    fn admit_return(&mut self, now_ms: u64) -> bool {
        let second = now_ms / 1_000;
        if second != self.second {
            (self.second, self.returns) = (second, 0);
        }
        self.returns += 1;
        self.returns <= MAX_RETURNS_PER_S
    }
}

// Rendezvous hashing: the loss of a follower moves only its own workers.
fn preferred_follower<'a>(view: &View<'a>, worker: &str) -> Option<&'a str> {
    let weight = |follower: &str| {
        let mut hasher = DefaultHasher::new();
        (worker, follower).hash(&mut hasher);
        hasher.finish()
    };
    view.followers.iter().copied().max_by_key(|follower| weight(follower))
}
