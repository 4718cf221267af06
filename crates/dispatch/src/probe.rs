//! Limit on speculative starts on workers that may have no free slot.

use std::time::{Duration, Instant};

/// Time within which a worker without a free slot answers that it is busy.
const PROBE_WINDOW: Duration = Duration::from_millis(3);
/// Maximum number of probes in flight.
const MAX_PROBES: u32 = 16;

/// Limit on the probes in flight to one pool; a probe is a start on a worker that may be full.
///
/// While the pool is full, only one probe is sent at a time: with several, the free slot would go
/// to a random one of them instead of the account that is next. The limit doubles while probes
/// succeed.
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

    /// Records that a probe was sent.
    pub fn record_probe(&mut self, now: Instant) {
        self.window_start.get_or_insert(now);
        self.in_flight += 1;
    }

    /// Records a start that found no free slot.
    pub fn record_busy(&mut self) {
        self.allowed = 1;
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Returns when the probes in flight are considered successful.
    pub fn window_end(&self) -> Option<Instant> {
        self.window_start.map(|start| start + PROBE_WINDOW)
    }
}
