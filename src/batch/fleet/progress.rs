//! Progress of runs, to detect those that no longer advance.

use std::time::Duration;

/// Least time without progress after which a run counts as stuck, in milliseconds. The restore of a
/// checkpoint and a late heartbeat take less.
const MIN_STUCK_TIMEOUT_MS: u64 = 1_500;
/// Longest time without progress after which a run counts as stuck, in milliseconds: more than a day
/// for the whole run, at ten times the expected time for one percent.
const MAX_STUCK_TIMEOUT_MS: u64 = Duration::from_secs(6 * 3_600).as_millis() as u64;
/// Time without progress after which a run counts as stuck, in multiples of its time for one percent:
/// a worker that turns eight times slower keeps its runs.
const STUCK_PACE_FACTOR: u64 = 10;
/// Progress of a run, in percent, from which on its own pace is used instead of the expected one.
const MIN_MEASURED_PERCENT: u8 = 2;
/// Progress, in percent, from which on a run's pace is known: a heartbeat gives whole percents.
const MIN_PACE_PERCENT: u8 = 8;
/// Largest exponent by which the timeout of a task grows that was stopped as stuck before.
const MAX_BACKOFF: u32 = 10;

/// Progress of one run, as its worker reports it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Progress {
    percent: u8,
    changed_ms: u64,
    first_percent: u8,
    first_ms: u64,
    pace: Pace,
}

/// Pace of a run on its worker's clock, from the first heartbeat that shows it at work: what passes
/// before that is no work, but a start, a restore or a wait for the rest of a gang.
#[derive(Clone, Copy, Debug, Default)]
struct Pace {
    begin: Option<(u8, u64)>,
    latest: (u8, u64),
    is_learned: bool,
}

impl Pace {
    // Time that the whole work takes at this pace, once that is known.
    fn whole_ms(&self) -> Option<u64> {
        let (begin_percent, begin_ms) = self.begin?;
        let (percent, clock_ms) = self.latest;
        let advanced = percent.checked_sub(begin_percent)?;
        let took_ms = clock_ms.checked_sub(begin_ms)?;
        (advanced >= MIN_PACE_PERCENT).then(|| took_ms.saturating_mul(100) / u64::from(advanced))
    }
}

impl Progress {
    pub(super) fn new(percent: u8, now_ms: u64) -> Self {
        Self {
            percent,
            changed_ms: now_ms,
            first_percent: percent,
            first_ms: now_ms,
            pace: Pace::default(),
        }
    }

    /// Records the progress that a heartbeat shows. `clock_ms` is the worker's clock in it.
    pub(super) fn update(&mut self, percent: u8, now_ms: u64, clock_ms: Option<u64>) {
        if let Some(clock_ms) = clock_ms {
            if self.pace.begin.is_none() && self.percent != percent {
                self.pace.begin = Some((percent, clock_ms));
            }
            self.pace.latest = (percent, clock_ms);
        }
        if self.percent != percent {
            self.percent = percent;
            self.changed_ms = now_ms;
        }
    }

    /// Time that the whole work of the task takes at this run's pace, in milliseconds; only the first
    /// time that it is known.
    pub(super) fn take_whole_ms(&mut self) -> Option<u64> {
        let whole_ms = self.pace.whole_ms().filter(|_| !self.pace.is_learned)?;
        self.pace.is_learned = true;
        Some(whole_ms)
    }

    /// Time that the rest of the work takes at this run's pace, from the latest heartbeat on, in
    /// milliseconds; `None` until the pace is known.
    pub(super) fn left_ms(&self) -> Option<u64> {
        let left_percent = 100u64.saturating_sub(self.percent.into());
        Some(self.pace.whole_ms()?.saturating_mul(left_percent) / 100)
    }

    /// Time since the last progress that a heartbeat received at `heartbeat_ms` shows, in
    /// milliseconds.
    pub(super) fn stalled_ms(&self, heartbeat_ms: u64) -> u64 {
        heartbeat_ms.saturating_sub(self.changed_ms)
    }

    /// Time without progress after which the run counts as stuck, in milliseconds. `expected_ms` is
    /// the expected time for the whole run, `stalls` how often the task was stopped as stuck: if its
    /// expected time is far too low, it ends all the same.
    pub(super) fn timeout_ms(&self, expected_ms: u64, stalls: u32) -> u64 {
        let advanced = self.percent.saturating_sub(self.first_percent);
        let percent_ms = if advanced >= MIN_MEASURED_PERCENT {
            (self.changed_ms - self.first_ms) / u64::from(advanced)
        } else {
            expected_ms / 100
        };
        let timeout_ms = percent_ms
            .saturating_mul(STUCK_PACE_FACTOR)
            .clamp(MIN_STUCK_TIMEOUT_MS, MAX_STUCK_TIMEOUT_MS);
        (timeout_ms << stalls.min(MAX_BACKOFF)).min(MAX_STUCK_TIMEOUT_MS)
    }

    /// Whether even the least timeout has not passed.
    pub(super) fn is_recent(&self, heartbeat_ms: u64) -> bool {
        self.stalled_ms(heartbeat_ms) < MIN_STUCK_TIMEOUT_MS
    }
}
