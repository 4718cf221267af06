//! A limit on the tasks in flight to one worker that follows how well it keeps up.

use std::time::{Duration, Instant};

/// Weight of a new run's pace against the earlier ones; single run times vary widely.
const PACE_WEIGHT: f64 = 0.1;

/// Bounds and steps of a concurrency limit.
#[derive(Debug, Clone, Copy)]
pub struct ConcurrencySettings {
    /// Mean factor of the usual run time above which the worker counts as slowed down.
    pub slow_factor: f64,
    /// Factor that the limit shrinks by.
    pub decrease_factor: f64,
    /// Shortest time between two decreases.
    pub decrease_interval: Duration,
}

/// Limit with additive increase and multiplicative decrease, from 1 to the worker's slots.
#[derive(Debug, Clone, Copy)]
pub struct ConcurrencyLimit {
    slots: u32,
    limit: f64,
    pace: f64,
    decreased: Option<Instant>,
}

impl Default for ConcurrencySettings {
    fn default() -> Self {
        Self {
            slow_factor: 2.0,
            decrease_factor: 0.7,
            decrease_interval: Duration::from_secs(1),
        }
    }
}

impl ConcurrencyLimit {
    /// Creates a limit that allows all `slots`.
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            limit: f64::from(slots),
            pace: 1.0,
            decreased: None,
        }
    }

    /// Returns how many tasks may be in flight.
    pub fn allowed(&self) -> u32 {
        (self.limit as u32).clamp(1, self.slots.max(1))
    }

    /// Changes the number of slots; the limit keeps its proportion.
    pub fn set_slots(&mut self, slots: u32) {
        let used = self.limit / f64::from(self.slots.max(1));
        self.limit = f64::from(slots) * used;
        self.slots = slots;
    }

    /// Lets one task through at a time, as after an ejection.
    pub fn restart(&mut self) {
        self.limit = 1.0;
    }

    /// Notes a task that ended well and took `pace` times the usual run time.
    pub fn record_success(&mut self, now: Instant, pace: f64, settings: &ConcurrencySettings) {
        self.pace += PACE_WEIGHT * (pace - self.pace);
        if self.pace > settings.slow_factor {
            self.record_failure(now, settings);
        } else {
            let raised = self.limit + 1.0 / self.limit.max(1.0);
            self.limit = raised.min(f64::from(self.slots));
        }
    }

    /// Notes a task that failed.
    pub fn record_failure(&mut self, now: Instant, settings: &ConcurrencySettings) {
        let pause = settings.decrease_interval;
        if self.decreased.is_some_and(|last| now < last + pause) {
            return;
        }
        self.limit = (self.limit * settings.decrease_factor).max(1.0);
        self.decreased = Some(now);
    }
}
