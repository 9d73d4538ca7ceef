//! Mutexes with a fixed lock order, which rules out deadlocks between them.
//!
//! A thread may lock a mutex only while every ranked mutex it holds has a lower rank. Debug builds
//! assert this.

use std::cell::RefCell;
use std::ops::{Deref, DerefMut};
use std::sync::{self, MutexGuard, PoisonError};

/// Position in the lock order; mutexes are locked from the first variant to the last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rank {
    /// Replicated state machine of a control member.
    StateMachine,
    /// Batch dispatch at the leader: workers, planner, and ended runs that are not yet committed.
    Dispatch,
    /// Rate of heartbeats that the leader asks for.
    HeartbeatRate,
    /// Entry leases granted by the leader.
    Leases,
    /// State of workers that the leader holds in memory only.
    Workers,
    /// Placement policy with its estimates.
    Policy,
    /// Configuration and lease held by an entry.
    EntryState,
    /// Requests queued at an entry.
    Queue,
    /// Upstreams known to an entry.
    Upstreams,
    /// Customer limits and the retry budget at an entry.
    Limits,
    /// Idle connections to upstreams.
    Connections,
    /// Long polls of workers at an entry.
    Polls,
    /// Links between daemons.
    Links,
    /// Calls to other daemons that await an answer.
    Calls,
    /// Last known leader, members and seeds, as a client of the control members sees them.
    Leader,
    /// Memory held by connections.
    Memory,
}

thread_local! {
    static HELD_RANKS: RefCell<Vec<Rank>> = const { RefCell::new(Vec::new()) };
}

/// A mutex with a rank in the lock order.
#[derive(Debug)]
pub struct Mutex<T> {
    rank: Rank,
    inner: sync::Mutex<T>,
}

impl<T> Mutex<T> {
    /// Creates an unlocked mutex with a rank.
    pub const fn new(rank: Rank, value: T) -> Self {
        Self { rank, inner: sync::Mutex::new(value) }
    }

    /// Blocks until the mutex is locked. A mutex poisoned by a panic is locked all the same.
    ///
    /// # Panics
    /// In debug builds, if the thread already holds a mutex of the same or a higher rank.
    pub fn lock(&self) -> Guard<'_, T> {
        if cfg!(debug_assertions) {
            HELD_RANKS.with_borrow_mut(|held_ranks| {
                if let Some(highest) = held_ranks.iter().max() {
                    assert!(
                        *highest < self.rank,
                        "lock order violated: {:?} locked while {highest:?} is held",
                        self.rank
                    );
                }
                held_ranks.push(self.rank);
            });
        }
        Guard { rank: self.rank, inner: self.inner.lock().unwrap_or_else(PoisonError::into_inner) }
    }
}

/// Unlocks the mutex when dropped.
#[derive(Debug)]
pub struct Guard<'a, T> {
    rank: Rank,
    inner: MutexGuard<'a, T>,
}

impl<T> Drop for Guard<'_, T> {
    fn drop(&mut self) {
        if !cfg!(debug_assertions) {
            return;
        }
        HELD_RANKS.with_borrow_mut(|held_ranks| {
            if let Some(index) = held_ranks.iter().rposition(|rank| *rank == self.rank) {
                held_ranks.remove(index);
            }
        });
    }
}

impl<T> Deref for Guard<'_, T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.inner
    }
}

impl<T> DerefMut for Guard<'_, T> {
    fn deref_mut(&mut self) -> &mut T {
        &mut self.inner
    }
}
