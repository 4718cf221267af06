//! Bounds the volume of logs.
//!
//! Each place that logs has so many lines a second. What is over is counted and reported, so that
//! nobody takes a gap for silence. Warnings and errors have the same bound for themselves, so a
//! flood of routine lines never hides them.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use tracing::callsite::Identifier;
use tracing::{Event, Metadata, Subscriber};
use tracing_subscriber::layer::{Context, Filter};

/// Time for which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Lets each place log so many lines a second.
pub struct LogBudget {
    lines_per_second: u32,
    places: Mutex<HashMap<Identifier, PlaceCount>>,
}

struct PlaceCount {
    since: Instant,
    lines: u32,
    suppressed: u64,
}

impl LogBudget {
    /// Creates a budget of `lines_per_second` for each place that logs.
    pub fn new(lines_per_second: u32) -> Self {
        Self {
            lines_per_second,
            places: Mutex::default(),
        }
    }

    /// Returns whether a line from a place is within its budget at `now`.
    pub fn allows(&self, place: &Identifier, now: Instant) -> bool {
        let mut places = self.places.lock().unwrap_or_else(PoisonError::into_inner);
        let count = places.entry(place.clone()).or_insert(PlaceCount {
            since: now,
            lines: 0,
            suppressed: 0,
        });
        if now >= count.since + WINDOW {
            count.since = now;
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

    /// Returns how many lines were suppressed since the last call.
    pub fn take_suppressed(&self) -> u64 {
        let mut places = self.places.lock().unwrap_or_else(PoisonError::into_inner);
        let counts = places.values_mut();
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
