//! What a client of the control members knows of their leader, shared by its calls.

use std::time::Duration;

use tokio::sync::{Semaphore, SemaphorePermit, watch};

use crate::kernel::timer::Timer;

/// Calls that search for a leader at the same time; the others wait for what these find. Were all to
/// search, those of a large fleet would load the members most while they elect a leader.
const MAX_SEARCHES: usize = 4;
/// Delay before the next attempt of a search.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Name of the daemon that is believed to lead.
#[derive(Debug)]
pub struct Hint {
    timer: Timer,
    name: watch::Sender<Option<String>>,
    searches: Semaphore,
}

/// Right of a call to search for the leader.
#[derive(Debug)]
pub struct Turn<'a> {
    _permit: SemaphorePermit<'a>,
}

impl Hint {
    /// Creates a hint that names no leader yet.
    pub fn new(timer: Timer) -> Self {
        Self { timer, name: watch::Sender::new(None), searches: Semaphore::new(MAX_SEARCHES) }
    }

    /// Name of the daemon that is believed to lead, if there is one.
    pub fn get(&self) -> Option<String> {
        self.name.borrow().clone()
    }

    /// Sets the leader, and wakes the calls that wait for one.
    pub fn set(&self, leader: String) {
        self.name.send_if_modified(|name| {
            let is_new = name.as_ref() != Some(&leader);
            *name = Some(leader);
            is_new
        });
    }

    /// Forgets the leader if it is `daemon`, which did not lead or did not answer. Another call may
    /// have found a new one meanwhile.
    pub fn forget(&self, daemon: &str) {
        self.name.send_if_modified(|name| {
            let is_forgotten = name.as_deref() == Some(daemon);
            if is_forgotten {
                *name = None;
            }
            is_forgotten
        });
    }

    /// Waits before the next attempt of a call while no leader is known: until another call finds
    /// one, or until this call may try itself. Returns its turn, to be passed to the next wait.
    pub async fn await_turn<'a>(&'a self, turn: Option<Turn<'a>>) -> Option<Turn<'a>> {
        let mut names = self.name.subscribe();
        tokio::select! {
            biased;
            // The sender lives as long as the hint, so that the wait can't fail.
            _ = names.wait_for(Option::is_some) => None,
            turn = self.search(turn) => Some(turn),
        }
    }

    async fn search<'a>(&'a self, turn: Option<Turn<'a>>) -> Turn<'a> {
        let turn = match turn {
            Some(turn) => turn,
            None => {
                let permit = self.searches.acquire().await;
                Turn { _permit: permit.expect("the semaphore is never closed") }
            }
        };
        self.timer.sleep(RETRY_DELAY).await;
        turn
    }
}
