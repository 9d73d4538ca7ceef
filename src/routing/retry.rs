//! Retries: a token budget and the wait before the next attempt.

use std::time::Duration;

use rand::RngExt;

/// Attempts of one request, the first one included.
pub const ATTEMPTS: u32 = 3;
/// Tokens that each whole answer earns, in thousandths.
const EARNED: u64 = 100;
/// Tokens that a retry costs, in thousandths.
const COST: u64 = 1_000;
/// Most tokens held, in thousandths.
const MOST: u64 = 20_000;
/// Longest wait before the first retry, in milliseconds; doubles with each retry.
const WAIT_MS: u64 = 10;

/// Budget of retries of one entry, so that retries add a bounded share to its load.
#[derive(Debug)]
pub struct Budget {
    tokens: u64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { tokens: MOST }
    }
}

impl Budget {
    /// Notes a whole answer.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + EARNED).min(MOST);
    }

    /// Takes the tokens of one retry; `false` where there are too few.
    pub fn try_withdraw(&mut self) -> bool {
        if self.tokens < COST {
            return false;
        }
        self.tokens -= COST;
        true
    }
}

/// A random wait before the retry that follows attempt `attempt`, counted from 1.
pub fn wait(attempt: u32) -> Duration {
    let longest_ms = WAIT_MS << attempt.min(6);
    Duration::from_millis(rand::rng().random_range(0..=longest_ms))
}
