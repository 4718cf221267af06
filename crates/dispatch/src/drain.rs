//! How fast the tasks of a backlog start.

use std::time::{Duration, Instant};

/// Time after which past starts count 1/e.
const DRAIN_MEMORY: Duration = Duration::from_secs(3);

/// Decayed number of starts, from which a wait is expected.
#[derive(Debug, Clone, Copy, Default)]
pub struct DrainRate {
    starts: f64,
    first: Option<Instant>,
    last: Option<Instant>,
}

impl DrainRate {
    /// Counts a start.
    pub fn note_start(&mut self, now: Instant) {
        self.starts = self.starts_at(now) + 1.0;
        self.first.get_or_insert(now);
        self.last = Some(now);
    }

    /// Returns how long `waiting` tasks are expected to take to start; zero before any start.
    pub fn expected_wait(&self, now: Instant, waiting: u32) -> Duration {
        let Some(first) = self.first else {
            return Duration::ZERO;
        };
        // Young measurements cover less than the memory.
        let memory = DRAIN_MEMORY.as_secs_f64();
        let age = now.saturating_duration_since(first).as_secs_f64();
        let covered = (memory * (1.0 - (-age / memory).exp())).max(0.1);
        let rate = self.starts_at(now) / covered;
        let wait = f64::from(waiting) / rate;
        Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX)
    }

    fn starts_at(&self, now: Instant) -> f64 {
        let elapsed = self
            .last
            .map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
        self.starts * (-elapsed.as_secs_f64() / DRAIN_MEMORY.as_secs_f64()).exp()
    }
}
