//! Timer service: the one source of time that parts subscribe to.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};
use tokio::sync::watch;

/// A clock that parts read and subscribe to.
#[derive(Clone, Debug)]
pub struct Timer {
    clock: Clock,
}

#[derive(Clone, Debug)]
enum Clock {
    // Time since the boot of the host when the timer was made.
    System(Duration),
    Manual(watch::Receiver<u64>),
}

/// Moves a manual timer forward; for tests and replays.
#[derive(Debug)]
pub struct ManualClock(watch::Sender<u64>);

impl ManualClock {
    /// Advances the clock by whole milliseconds.
    pub fn advance(&self, by: Duration) {
        self.0.send_modify(|now| *now += by.as_millis() as u64);
    }
}

impl Timer {
    /// A timer on the clock since boot: leases must run out while a host is suspended, and the
    /// monotonic clock does not count that time.
    pub fn system() -> Self {
        Self { clock: Clock::System(since_boot()) }
    }

    /// A timer that moves only by its hand.
    pub fn manual() -> (Self, ManualClock) {
        let (sender, receiver) = watch::channel(0);
        let clock = Clock::Manual(receiver);
        (Self { clock }, ManualClock(sender))
    }

    /// Milliseconds since the timer was made; never goes back.
    pub fn now_ms(&self) -> u64 {
        match &self.clock {
            Clock::System(start) => since_boot().saturating_sub(*start).as_millis() as u64,
            Clock::Manual(now) => *now.borrow(),
        }
    }

    /// Subscribes to ticks one `period` apart; a late subscriber skips missed ticks.
    pub fn interval(&self, period: Duration) -> Interval {
        let period_ms = period.as_millis().max(1) as u64;
        Interval { timer: self.clone(), period_ms, next_ms: self.now_ms() + period_ms }
    }

    /// Waits until the clock shows at least `at_ms`.
    pub async fn sleep_until(&self, at_ms: u64) {
        match &self.clock {
            Clock::System(_) => {
                let mut now_ms = self.now_ms();
                while now_ms < at_ms {
                    tokio::time::sleep(Duration::from_millis(at_ms - now_ms)).await;
                    now_ms = self.now_ms();
                }
            }
            Clock::Manual(now) => {
                let mut now = now.clone();
                // The hand was dropped: time stands still for ever.
                if now.wait_for(|now| *now >= at_ms).await.is_err() {
                    std::future::pending::<()>().await;
                }
            }
        }
    }

    /// Waits for a duration.
    pub async fn sleep(&self, duration: Duration) {
        self.sleep_until(self.now_ms() + duration.as_millis() as u64).await;
    }
}

/// A stream of ticks.
#[derive(Debug)]
pub struct Interval {
    timer: Timer,
    period_ms: u64,
    next_ms: u64,
}

impl Interval {
    /// Waits for the next tick and returns its time in milliseconds.
    pub async fn tick(&mut self) -> u64 {
        self.timer.sleep_until(self.next_ms).await;
        let now_ms = self.timer.now_ms();
        self.next_ms = now_ms + self.period_ms;
        now_ms
    }
}

fn since_boot() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    Duration::new(now.tv_sec.unsigned_abs(), now.tv_nsec.unsigned_abs() as u32)
}

/// Wall-clock milliseconds since the Unix epoch, for records and key ages only.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}
