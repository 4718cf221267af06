//! How fast the tasks of a backlog get done.

use std::time::{Duration, Instant};

/// Time after which past ends count 1/e.
const DRAIN_MEMORY: Duration = Duration::from_secs(3);

/// Decayed number of ends, from which a wait is expected.
#[derive(Debug, Clone, Copy, Default)]
pub struct DrainRate {
    ends: f64,
    first: Option<Instant>,
    last: Option<Instant>,
}

impl DrainRate {
    /// Counts a task that has ended.
    pub fn note_end(&mut self, now: Instant) {
        self.ends = self.ends_at(now) + 1.0;
        self.first.get_or_insert(now);
        self.last = Some(now);
    }

    /// Returns how long `waiting` tasks are expected to take to start; zero before any end.
    pub fn expected_wait(&self, now: Instant, waiting: u32) -> Duration {
        let Some(first) = self.first else {
            return Duration::ZERO;
        };
        // Young measurements cover less than the memory.
        let memory = DRAIN_MEMORY.as_secs_f64();
        let age = now.saturating_duration_since(first).as_secs_f64();
        let covered = (memory * (1.0 - (-age / memory).exp())).max(0.1);
        let rate = self.ends_at(now) / covered;
        let wait = f64::from(waiting) / rate;
        Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX)
    }

    fn ends_at(&self, now: Instant) -> f64 {
        let elapsed = self
            .last
            .map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
        self.ends * (-elapsed.as_secs_f64() / DRAIN_MEMORY.as_secs_f64()).exp()
    }
}
