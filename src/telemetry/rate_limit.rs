//! Bounds how many lines of each kind the log gets in a second.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

use tracing::{Event, Metadata};
use tracing_subscriber::layer::{Context, Filter};

use crate::kernel::timer::Timer;

/// Lines that all budgets of the process kept out and nobody has asked for yet.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// File and line of the code.
type Place = (&'static str, u32);

/// Lines of one place in one second.
#[derive(Clone, Copy, Debug, Default)]
struct Used {
    second: u64,
    lines: u64,
}

/// A budget for each place in the code that writes a line.
#[derive(Debug)]
pub struct RateLimit {
    a_second: u64,
    timer: Timer,
    used: Mutex<BTreeMap<Place, Used>>,
}

impl RateLimit {
    /// A budget of so many lines a second for each kind.
    pub fn new(a_second: u64) -> Self {
        Self { a_second, timer: Timer::system(), used: Mutex::default() }
    }

    /// Lines kept out since this was last asked.
    pub fn take_dropped() -> u64 {
        DROPPED.swap(0, Ordering::Relaxed)
    }

    fn admits(&self, metadata: &'static Metadata<'static>) -> bool {
        let second = self.timer.now_ms() / 1_000;
        let key = (metadata.file().unwrap_or(""), metadata.line().unwrap_or(0));
        let mut used = self.used.lock().unwrap_or_else(PoisonError::into_inner);
        let held = used.entry(key).or_default();
        if held.second != second {
            *held = Used { second, lines: 0 };
        }
        held.lines += 1;
        held.lines <= self.a_second
    }
}

impl<S> Filter<S> for RateLimit {
    fn enabled(&self, _metadata: &Metadata<'_>, _context: &Context<'_, S>) -> bool {
        true
    }

    fn event_enabled(&self, event: &Event<'_>, _context: &Context<'_, S>) -> bool {
        let is_admitted = self.admits(event.metadata());
        if !is_admitted {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        is_admitted
    }
}
