//! Adaptive limit on the number of tasks in flight on one worker.

use std::time::{Duration, Instant};

/// Weight of a new sample in the moving average of the pace; single run times vary widely.
const PACE_SAMPLE_WEIGHT: f64 = 0.1;

/// Parameters of a concurrency limit.
#[derive(Debug, Clone, Copy)]
pub struct ConcurrencySettings {
    /// Mean pace, relative to the usual run time, above which the worker counts as overloaded.
    pub overload_pace: f64,
    /// Factor by which the limit is multiplied on a decrease.
    pub decrease_factor: f64,
    /// Minimum time between two decreases.
    pub decrease_interval: Duration,
}

/// Limit with additive increase and multiplicative decrease, between 1 and the worker's slots.
#[derive(Debug, Clone, Copy)]
pub struct ConcurrencyLimit {
    slots: u32,
    limit: f64,
    mean_pace: f64,
    last_decrease: Option<Instant>,
}

impl Default for ConcurrencySettings {
    fn default() -> Self {
        Self {
            overload_pace: 2.0,
            decrease_factor: 0.7,
            decrease_interval: Duration::from_secs(1),
        }
    }
}

impl ConcurrencyLimit {
    /// Creates a limit that allows all `slots` to be used.
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            limit: f64::from(slots),
            mean_pace: 1.0,
            last_decrease: None,
        }
    }

    /// Returns the maximum number of tasks in flight.
    pub fn allowed(&self) -> u32 {
        (self.limit as u32).clamp(1, self.slots.max(1))
    }

    /// Sets the number of slots and scales the limit proportionally.
    pub fn set_slots(&mut self, slots: u32) {
        let fraction = self.limit / f64::from(self.slots.max(1));
        self.limit = f64::from(slots) * fraction;
        self.slots = slots;
    }

    /// Resets the limit to one task, as after an ejection.
    pub fn restart(&mut self) {
        self.limit = 1.0;
    }

    /// Records a successful task that took `pace` times the usual run time.
    pub fn record_success(&mut self, now: Instant, pace: f64, settings: &ConcurrencySettings) {
        self.mean_pace += PACE_SAMPLE_WEIGHT * (pace - self.mean_pace);
        if self.mean_pace > settings.overload_pace {
            self.record_failure(now, settings);
        } else {
            let raised = self.limit + 1.0 / self.limit.max(1.0);
            self.limit = raised.min(f64::from(self.slots));
        }
    }

    /// Records a failed task.
    pub fn record_failure(&mut self, now: Instant, settings: &ConcurrencySettings) {
        let interval = settings.decrease_interval;
        if self.last_decrease.is_some_and(|last| now < last + interval) {
            return;
        }
        self.limit = (self.limit * settings.decrease_factor).max(1.0);
        self.last_decrease = Some(now);
    }
}
