//! Clock and timers shared by all modules of a daemon.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};
use tokio::sync::watch;

/// A monotonic clock with sleeps and periodic ticks.
#[derive(Clone, Debug)]
pub struct Timer {
    clock: Clock,
}

#[derive(Clone, Debug)]
enum Clock {
    // Uptime of the host when the timer was created.
    System(Duration),
    Manual(watch::Receiver<u64>),
}

/// Advances a manual timer; for tests and replays.
#[derive(Debug)]
pub struct Driver(watch::Sender<u64>);

impl Driver {
    /// Advances the clock by `by`, rounded down to whole milliseconds.
    pub fn advance(&self, by: Duration) {
        self.0.send_modify(|now| *now += by.as_millis() as u64);
    }
}

impl Timer {
    /// Creates a timer on `CLOCK_BOOTTIME`: leases must expire while a host is suspended, and
    /// `CLOCK_MONOTONIC` does not count that time.
    pub fn system() -> Self {
        Self { clock: Clock::System(uptime()) }
    }

    /// Creates a timer that advances only through the returned [`Driver`].
    pub fn manual() -> (Self, Driver) {
        let (sender, receiver) = watch::channel(0);
        let clock = Clock::Manual(receiver);
        (Self { clock }, Driver(sender))
    }

    /// Returns the milliseconds since the timer was created; never decreases.
    pub fn now_ms(&self) -> u64 {
        match &self.clock {
            Clock::System(start) => uptime().saturating_sub(*start).as_millis() as u64,
            Clock::Manual(receiver) => *receiver.borrow(),
        }
    }

    /// Returns an interval with ticks at least one `period` apart; ticks missed by a late caller
    /// are skipped.
    pub fn interval(&self, period: Duration) -> Interval {
        let period_ms = period.as_millis().max(1) as u64;
        Interval { timer: self.clone(), period_ms, next_ms: self.now_ms() + period_ms }
    }

    /// Sleeps until the clock reaches `at_ms`.
    pub async fn sleep_until(&self, at_ms: u64) {
        match &self.clock {
            Clock::System(_) => {
                let mut now_ms = self.now_ms();
                while now_ms < at_ms {
                    tokio::time::sleep(Duration::from_millis(at_ms - now_ms)).await;
                    now_ms = self.now_ms();
                }
            }
            Clock::Manual(receiver) => {
                let mut receiver = receiver.clone();
                // The driver was dropped, so the time will never be reached.
                if receiver.wait_for(|now| *now >= at_ms).await.is_err() {
                    std::future::pending::<()>().await;
                }
            }
        }
    }

    /// Sleeps for a duration.
    pub async fn sleep(&self, duration: Duration) {
        self.sleep_until(self.now_ms() + duration.as_millis() as u64).await;
    }
}

/// Periodic ticks of a timer.
#[derive(Debug)]
pub struct Interval {
    timer: Timer,
    period_ms: u64,
    next_ms: u64,
}

impl Interval {
    /// Waits for the next tick and returns the current time in milliseconds.
    pub async fn tick(&mut self) -> u64 {
        self.timer.sleep_until(self.next_ms).await;
        let now_ms = self.timer.now_ms();
        self.next_ms = now_ms + self.period_ms;
        now_ms
    }
}

fn uptime() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    Duration::new(now.tv_sec.unsigned_abs(), now.tv_nsec.unsigned_abs() as u32)
}

/// Returns the wall-clock time in milliseconds since the Unix epoch. It may jump: use it only for
/// timestamps that are stored, or compared with stored ones, and for the age of idempotency keys.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as u64)
}
