//! Retries: the number of attempts, a token budget, and the backoff between attempts.

use std::time::Duration;

use rand::RngExt;

/// Maximum attempts per request, including the first.
pub const MAX_ATTEMPTS: u32 = 3;
/// Thousandths of a token that a complete answer adds to the budget.
const DEPOSIT_MILLITOKENS: u64 = 100;
/// Thousandths of a token that a retry costs.
const RETRY_MILLITOKENS: u64 = 1_000;
/// Capacity of the budget, in thousandths of a token.
const MAX_MILLITOKENS: u64 = 20_000;
/// Base of the exponential backoff, in milliseconds: attempt `n` is followed by at most
/// `BACKOFF_BASE_MS << n`.
const BACKOFF_BASE_MS: u64 = 10;

/// Retry budget of one entry: limits the load that retries add to a fixed fraction of the
/// successful requests.
#[derive(Debug)]
pub struct Budget {
    millitokens: u64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { millitokens: MAX_MILLITOKENS }
    }
}

impl Budget {
    /// Adds the tokens of one complete answer.
    pub fn deposit(&mut self) {
        self.millitokens = (self.millitokens + DEPOSIT_MILLITOKENS).min(MAX_MILLITOKENS);
    }

    /// Takes the tokens of one retry; returns `false` if there are too few.
    pub fn try_withdraw(&mut self) -> bool {
        if self.millitokens < RETRY_MILLITOKENS {
            return false;
        }
        self.millitokens -= RETRY_MILLITOKENS;
        true
    }
}

/// Random delay before the retry that follows attempt `attempt`, counted from 1.
pub fn backoff(attempt: u32) -> Duration {
    let max_ms = BACKOFF_BASE_MS << attempt.min(6);
    Duration::from_millis(rand::rng().random_range(0..=max_ms))
}
