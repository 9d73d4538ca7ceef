//! Shared tables with a stated lock order.
//!
//! A thread may lock a table only while every table it holds ranks lower. Debug builds assert it.

use std::cell::RefCell;
use std::ops::{Deref, DerefMut};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Order in which tables are locked, first to last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rank {
    /// Replicated state of a control member.
    StateMachine,
    /// Batch work at the leader: workers, planner, ends to store.
    Dispatch,
    /// Entry leases that the leader granted.
    Leases,
    /// Soft state of workers at the leader.
    Workers,
    /// Placement policy and its estimates.
    Policy,
    /// Configuration and lease of an entry.
    EntryState,
    /// Requests that wait at an entry.
    Queue,
    /// Upstreams known to an entry.
    Upstreams,
    /// Limits of customers at an entry.
    Limits,
    /// Connections to upstreams.
    Connections,
    /// Worker polls held by an entry.
    Polls,
    /// Links between daemons.
    Links,
    /// Calls between daemons that wait for an answer.
    Calls,
    /// Leader as last seen by a client of the control members.
    Leader,
}

thread_local! {
    static HELD: RefCell<Vec<Rank>> = const { RefCell::new(Vec::new()) };
}

/// A mutex with a rank in the lock order.
#[derive(Debug)]
pub struct RankedMutex<T> {
    rank: Rank,
    inner: Mutex<T>,
}

impl<T> RankedMutex<T> {
    /// A table of the given rank.
    pub const fn new(rank: Rank, value: T) -> Self {
        Self { rank, inner: Mutex::new(value) }
    }

    /// Locks the table.
    ///
    /// # Panics
    /// In debug builds, where the thread holds a table of the same or a later rank.
    pub fn lock(&self) -> Guard<'_, T> {
        if cfg!(debug_assertions) {
            HELD.with_borrow_mut(|held| {
                if let Some(last) = held.iter().max() {
                    assert!(*last < self.rank, "lock order: {:?} after {last:?}", self.rank);
                }
                held.push(self.rank);
            });
        }
        Guard { rank: self.rank, inner: self.inner.lock().unwrap_or_else(PoisonError::into_inner) }
    }
}

/// A locked table.
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
        HELD.with_borrow_mut(|held| {
            if let Some(at) = held.iter().rposition(|rank| *rank == self.rank) {
                held.remove(at);
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
