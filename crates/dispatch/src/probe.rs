//! How many starts may be under way to workers that may have no free slot.

use std::time::{Duration, Instant};

/// Time within which a worker without a free slot has said so.
const PROBE_WINDOW: Duration = Duration::from_millis(3);
/// Most probes under way at the same time.
const MAX_PROBES: u32 = 16;

/// Limit on the probes of one pool.
///
/// While a pool is full, one probe at a time keeps the order of the accounts: of several, a random one
/// would find the free slot. While probes succeed, their number doubles.
#[derive(Debug, Clone, Copy)]
pub struct ProbeLimit {
    allowed: u32,
    in_flight: u32,
    window_start: Option<Instant>,
}

impl Default for ProbeLimit {
    fn default() -> Self {
        Self {
            allowed: 1,
            in_flight: 0,
            window_start: None,
        }
    }
}

impl ProbeLimit {
    /// Returns whether another probe may be sent now.
    pub fn allows(&mut self, now: Instant) -> bool {
        if self.window_end().is_some_and(|end| end <= now) {
            if self.in_flight > 0 {
                self.allowed = (self.allowed * 2).min(MAX_PROBES);
            }
            self.in_flight = 0;
            self.window_start = None;
        }
        self.in_flight < self.allowed
    }

    /// Counts a probe.
    pub fn record_probe(&mut self, now: Instant) {
        self.window_start.get_or_insert(now);
        self.in_flight += 1;
    }

    /// Counts a start that found no free slot.
    pub fn record_busy(&mut self) {
        self.allowed = 1;
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Returns when the probes under way count as successful.
    pub fn window_end(&self) -> Option<Instant> {
        self.window_start.map(|start| start + PROBE_WINDOW)
    }
}
