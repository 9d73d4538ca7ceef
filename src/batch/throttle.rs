//! Pace of the tasks that fill a worker, by the latency of those beside them that serve users.

/// Pace of a task that is not slowed down, in percent.
pub const FULL_PERCENT: u8 = 100;
/// Pace with which a new leader begins where it doesn't know the former one's, in percent: low enough
/// to harm nobody while the first measurements arrive.
const RESUME_PERCENT: u8 = 25;
/// Increase of the pace, in percent points.
const STEP_PERCENT: u8 = 10;
/// Least pace above 0, in percent; a lower one is no progress to speak of.
const MIN_PERCENT: u8 = 5;
/// Strain from which on the pace is reduced, in percent of the latency target: before users see it.
const HIGH_STRAIN_PERCENT: u64 = 90;
/// Strain below which the pace is increased, in percent of the latency target. Hysteresis keeps the
/// pace steady while the load varies between the two bounds.
const LOW_STRAIN_PERCENT: u64 = 70;
/// Time that a measurement covers, in milliseconds.
const MEASUREMENT_MS: u64 = 500;
/// Divisor of the time after which a missed target counts as harm: tasks that fill are stopped when
/// that part has passed, so that a measurement and a late heartbeat fit into the rest.
const STOP_DIVISOR: u64 = 4;
/// Time for which a pace that was too high is not tried again, in milliseconds.
const CEILING_MS: u64 = 30_000;

/// Timing of the platform that workers run on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// Time until a new pace takes effect on a worker, in milliseconds.
    pub pace_ms: u64,
    /// Time over its target after which a task counts as harmed by those that fill, in milliseconds.
    pub impact_ms: u64,
}

impl Default for Times {
    fn default() -> Self {
        Self { pace_ms: 100, impact_ms: 4_000 }
    }
}

/// Pace of all tasks that fill one worker: lowered by halves, raised by steps.
#[derive(Clone, Copy, Debug)]
pub struct Throttle {
    percent: u8,
    // When the pace was changed; measurements that began before it has taken effect don't count.
    changed_ms: u64,
    // Since when the strain has been high without a break.
    high_since_ms: Option<u64>,
    // Pace that was too high, and when.
    excess: Option<(u8, u64)>,
}

impl Throttle {
    /// Pace of a worker on which no run of an earlier leader is in progress.
    pub fn full(now_ms: u64) -> Self {
        Self { percent: FULL_PERCENT, changed_ms: now_ms, high_since_ms: None, excess: None }
    }

    /// Pace of a worker whose runs may still have the pace that an earlier leader gave them.
    pub fn resumed(now_ms: u64) -> Self {
        Self { percent: RESUME_PERCENT, ..Self::full(now_ms) }
    }

    /// Current pace, in percent.
    pub fn percent(&self) -> u8 {
        self.percent
    }

    /// Whether tasks that serve users are under strain now.
    pub fn is_strained(&self) -> bool {
        self.high_since_ms.is_some()
    }

    /// Adapts the pace to the strain: the highest latency of the tasks that serve users, in percent of
    /// its target, or `None` if there is no such task.
    pub fn observe(&mut self, strain_percent: Option<u64>, times: Times, now_ms: u64) {
        let Some(strain_percent) = strain_percent else {
            *self = Self::full(now_ms);
            return;
        };
        if strain_percent < HIGH_STRAIN_PERCENT {
            self.high_since_ms = None;
            if strain_percent < LOW_STRAIN_PERCENT {
                self.raise(times, now_ms);
            }
            return;
        }
        let high_since_ms = *self.high_since_ms.get_or_insert(now_ms);
        if self.percent == 0 {
            return;
        }
        let is_due = now_ms >= high_since_ms.saturating_add(times.impact_ms / STOP_DIVISOR);
        if !is_due && !self.is_measured(times, now_ms) {
            return;
        }
        self.excess = Some((self.percent, now_ms));
        let half = self.percent / 2;
        self.set(if is_due || half < MIN_PERCENT { 0 } else { half }, now_ms);
    }

    fn raise(&mut self, times: Times, now_ms: u64) {
        if self.percent == FULL_PERCENT || !self.is_measured(times, now_ms) {
            return;
        }
        let raised = (self.percent + STEP_PERCENT).min(FULL_PERCENT);
        let is_excessive = self.excess.is_some_and(|(percent, since_ms)| {
            raised >= percent && now_ms < since_ms.saturating_add(CEILING_MS)
        });
        if !is_excessive {
            self.set(raised, now_ms);
        }
    }

    // Whether a whole measurement has passed since the pace took effect.
    fn is_measured(&self, times: Times, now_ms: u64) -> bool {
        now_ms >= self.changed_ms.saturating_add(times.pace_ms).saturating_add(MEASUREMENT_MS)
    }

    fn set(&mut self, percent: u8, now_ms: u64) {
        self.percent = percent;
        self.changed_ms = now_ms;
    }
}
