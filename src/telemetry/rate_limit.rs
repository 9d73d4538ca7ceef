//! Limits the number of log lines per second from each call site.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

use tracing::{Event, Metadata};
use tracing_subscriber::layer::{Context, Filter};

use crate::kernel::timer::Timer;

/// Lines dropped by all rate limits of the process since the last [`Limiter::take_dropped`].
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// File and line of a log statement.
type Location = (&'static str, u32);

/// Number of lines from one call site in one second.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    second: u64,
    lines: u64,
}

/// Limits the rate of log lines at each call site separately, so that a frequent line does not
/// suppress a rare one.
#[derive(Debug)]
pub struct Limiter {
    lines_per_second: u64,
    timer: Timer,
    windows: Mutex<BTreeMap<Location, Window>>,
}

impl Limiter {
    /// Creates a limiter that admits `lines_per_second` for each call site.
    pub fn new(lines_per_second: u64) -> Self {
        Self { lines_per_second, timer: Timer::system(), windows: Mutex::default() }
    }

    /// Returns the number of lines dropped since the last call.
    pub fn take_dropped() -> u64 {
        DROPPED_LINES.swap(0, Ordering::Relaxed)
    }

    fn admit(&self, metadata: &'static Metadata<'static>) -> bool {
        let second = self.timer.now_ms() / 1_000;
        let call_site = (metadata.file().unwrap_or(""), metadata.line().unwrap_or(0));
        let mut windows = self.windows.lock().unwrap_or_else(PoisonError::into_inner);
        let window = windows.entry(call_site).or_default();
        if window.second != second {
            *window = Window { second, lines: 0 };
        }
        window.lines += 1;
        window.lines <= self.lines_per_second
    }
}

impl<S> Filter<S> for Limiter {
    fn enabled(&self, _metadata: &Metadata<'_>, _context: &Context<'_, S>) -> bool {
        true
    }

    fn event_enabled(&self, event: &Event<'_>, _context: &Context<'_, S>) -> bool {
        let is_admitted = self.admit(event.metadata());
        if !is_admitted {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        is_admitted
    }
}
