//! Health of a worker as an entry instance sees it.

use std::time::{Duration, Instant};

/// Bounds of a worker's ejection.
#[derive(Debug, Clone, Copy)]
pub struct HealthSettings {
    /// Failures in a row after which the worker gets no tasks for a while.
    pub max_failures: u32,
    /// Length of the first ejection; each further one doubles it.
    pub first_ejection: Duration,
    /// Longest ejection.
    pub max_ejection: Duration,
}

/// Failures of one worker, and how long it gets no tasks because of them.
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
    /// Returns whether the worker gets no tasks because of its failures.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns when the ejection ends, while there is one.
    pub fn ejected_until(&self) -> Option<Instant> {
        self.ejected_until
    }

    /// Returns whether failures in a row call for an ejection.
    pub fn is_failing(&self, settings: &HealthSettings) -> bool {
        // A worker back from an ejection has to prove itself with its first task.
        let allowed = if self.ejections > 0 {
            1
        } else {
            settings.max_failures
        };
        self.failures >= allowed
    }

    /// Notes a task that the worker ran to its end.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.ejections = self.ejections.saturating_sub(1);
    }

    /// Notes a task that failed on the worker.
    pub fn record_failure(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }

    /// Ejects the worker and returns the end of the ejection.
    pub fn eject(&mut self, now: Instant, settings: &HealthSettings) -> Instant {
        let factor = 2u32.saturating_pow(self.ejections.min(16));
        let length = settings.first_ejection.saturating_mul(factor);
        let until = now + length.min(settings.max_ejection);
        self.failures = 0;
        self.ejections += 1;
        self.ejected_until = Some(until);
        until
    }
}
