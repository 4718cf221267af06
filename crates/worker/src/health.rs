//! Health of a worker as observed by an entry instance.

use std::time::{Duration, Instant};

/// Parameters of the ejection of failing workers.
#[derive(Debug, Clone, Copy)]
pub struct HealthSettings {
    /// Consecutive failures after which the worker is ejected.
    pub max_failures: u32,
    /// Duration of the first ejection; each further ejection doubles it.
    pub first_ejection: Duration,
    /// Maximum duration of an ejection.
    pub max_ejection: Duration,
}

/// Consecutive failures of a worker, and its ejection from scheduling.
#[derive(Debug, Clone, Copy, Default)]
pub struct WorkerHealth {
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
}

impl Default for HealthSettings {
    fn default() -> Self {
        Self {
            max_failures: 5,
            first_ejection: Duration::from_secs(5),
            max_ejection: Duration::from_secs(300),
        }
    }
}

impl WorkerHealth {
    /// Returns whether the worker is ejected, that is, gets no tasks because of its failures.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns the end of the last ejection, if there was one.
    pub fn ejected_until(&self) -> Option<Instant> {
        self.ejected_until
    }

    /// Returns whether the worker has failed often enough in a row to be ejected.
    pub fn is_failing(&self, settings: &HealthSettings) -> bool {
        // After an ejection a single failure is enough for the next one.
        let max_failures = if self.ejections > 0 {
            1
        } else {
            settings.max_failures
        };
        self.failures >= max_failures
    }

    /// Records a task that the worker completed.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.ejections = self.ejections.saturating_sub(1);
    }

    /// Records a task that failed on the worker.
    pub fn record_failure(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }

    /// Ejects the worker and returns the end of the ejection.
    pub fn eject(&mut self, now: Instant, settings: &HealthSettings) -> Instant {
        let factor = 2u32.saturating_pow(self.ejections.min(16));
        let duration = settings.first_ejection.saturating_mul(factor);
        let until = now + duration.min(settings.max_ejection);
        self.failures = 0;
        self.ejections += 1;
        self.ejected_until = Some(until);
        until
    }
}
