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

/// Member to which a worker should send its next heartbeat, given the one that received the last.
pub fn next_member<'a>(view: &View<'a>, worker: &str, receiver: &'a str) -> &'a str {
    let is_direct = receiver == view.leader;
    if is_direct && view.workers > MAX_DIRECT_WORKERS {
        return preferred_follower(view, worker).unwrap_or(receiver);
    }
    if !is_direct && view.workers < MIN_FORWARDED_WORKERS {
        return view.leader;
    }
    receiver
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
