//! Rate limit for log lines.
//!
//! The limit holds for each callsite, so a flood of routine lines never suppresses warnings and
//! errors. Suppressed lines are counted and reported, so that a gap in the log is visible.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use tracing::callsite::Identifier;
use tracing::{Event, Metadata, Subscriber};
use tracing_subscriber::layer::{Context, Filter};

/// Time window in which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Limits the log lines per second of each callsite.
pub struct LogBudget {
    lines_per_second: u32,
    callsites: Mutex<HashMap<Identifier, CallsiteCount>>,
}

struct CallsiteCount {
    window_start: Instant,
    lines: u32,
    suppressed: u64,
}

impl LogBudget {
    /// Creates a budget of `lines_per_second` for each callsite.
    pub fn new(lines_per_second: u32) -> Self {
        Self {
            lines_per_second,
            callsites: Mutex::default(),
        }
    }

    /// Counts a line of a callsite at `now`; returns whether it is within the budget.
    pub fn allows(&self, callsite: &Identifier, now: Instant) -> bool {
        let mut callsites = self
            .callsites
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let count = callsites.entry(callsite.clone()).or_insert(CallsiteCount {
            window_start: now,
            lines: 0,
            suppressed: 0,
        });
        if now >= count.window_start + WINDOW {
            count.window_start = now;
            count.lines = 0;
        }
        if count.lines < self.lines_per_second {
            count.lines += 1;
            return true;
        }
        count.suppressed += 1;
        metrics::counter!("pw_log_lines_suppressed_total").increment(1);
        false
    }

    /// Returns the number of lines suppressed since the last call.
    pub fn take_suppressed(&self) -> u64 {
        let mut callsites = self
            .callsites
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let counts = callsites.values_mut();
        counts
            .map(|count| std::mem::take(&mut count.suppressed))
            .sum()
    }
}

impl<S: Subscriber> Filter<S> for &'static LogBudget {
    fn enabled(&self, _metadata: &Metadata<'_>, _context: &Context<'_, S>) -> bool {
        true
    }

    fn event_enabled(&self, event: &Event<'_>, _context: &Context<'_, S>) -> bool {
        self.allows(&event.metadata().callsite(), Instant::now())
    }
}
