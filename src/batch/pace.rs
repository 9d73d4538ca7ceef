//! Rate of heartbeats that a leader asks of its fleet.
//!
//! Orders travel with the answers to heartbeats, so that a higher rate delivers them sooner, until the
//! leader's processor is saturated and every answer is late.

/// Initial rate, in heartbeats per second.
const INITIAL_PER_S: u64 = 3_000;
/// Lowest rate, in heartbeats per second: 0.4 of a core answers it.
const MIN_PER_S: u64 = 1_500;
/// Highest rate, in heartbeats per second.
const MAX_PER_S: u64 = 6_000;
/// Increase of the rate while the leader has capacity left, in heartbeats per second.
const INCREASE_PER_S: u64 = 50;
/// Lateness of a timer below which the leader has capacity left, in milliseconds.
const LOW_LAG_MS: u64 = 10;
/// Lateness of a timer above which the leader is overloaded, in milliseconds. A worker drops an answer
/// after a second, and each one passes several tasks.
const HIGH_LAG_MS: u64 = 50;

/// Additive increase and multiplicative decrease of the rate, by how late the leader's timers are.
#[derive(Clone, Copy, Debug)]
pub struct Rate {
    per_s: u64,
}

impl Default for Rate {
    fn default() -> Self {
        Self { per_s: INITIAL_PER_S }
    }
}

impl Rate {
    /// Current rate, in heartbeats per second.
    pub fn per_s(self) -> u64 {
        self.per_s
    }

    /// Adapts the rate to the lateness of a timer.
    pub fn observe(&mut self, lag_ms: u64) {
        if lag_ms > HIGH_LAG_MS {
            self.per_s = (self.per_s / 4 * 3).max(MIN_PER_S);
        } else if lag_ms < LOW_LAG_MS {
            self.per_s = (self.per_s + INCREASE_PER_S).min(MAX_PER_S);
        }
    }

    /// Shortest interval between two heartbeats of a worker in a fleet, in milliseconds.
    pub fn interval_ms(self, workers: usize) -> u64 {
        workers as u64 * 1_000 / self.per_s
    }
}
