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
    under_way: u32,
    began: Option<Instant>,
}

impl Default for ProbeLimit {
    fn default() -> Self {
        Self {
            allowed: 1,
            under_way: 0,
            began: None,
        }
    }
}

impl ProbeLimit {
    /// Returns whether another probe may be sent now.
    pub fn allows(&mut self, now: Instant) -> bool {
        if self.ends().is_some_and(|end| end <= now) {
            if self.under_way > 0 {
                self.allowed = (self.allowed * 2).min(MAX_PROBES);
            }
            self.under_way = 0;
            self.began = None;
        }
        self.under_way < self.allowed
    }

    /// Counts a probe.
    pub fn note_probe(&mut self, now: Instant) {
        self.began.get_or_insert(now);
        self.under_way += 1;
    }

    /// Counts a start that found no free slot.
    pub fn note_busy(&mut self) {
        self.allowed = 1;
        self.under_way = self.under_way.saturating_sub(1);
    }

    /// Returns when the probes under way count as successful.
    pub fn ends(&self) -> Option<Instant> {
        self.began.map(|began| began + PROBE_WINDOW)
    }
}
