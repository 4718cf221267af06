//! How long to wait for an answer that may be lost.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::time::Duration;

/// Answers that are remembered: enough to hold a slow one while fast ones come between.
const REMEMBERED: usize = 16;
/// Wait as a multiple of the slowest remembered answer.
const FACTOR: u32 = 3;

/// Learns from the times of answers how long to wait for the next one.
///
/// A repeated append is harmless, so an answer that is lost costs the wait alone: where answers come
/// within milliseconds, waiting for seconds would hold up everything that has to be stored first.
/// Where the store is slow, a short wait would repeat each append in vain; so the wait doubles with
/// each answer that does not come in time.
#[derive(Debug)]
pub struct AppendTimeout {
    shortest: Duration,
    longest: Duration,
    state: RefCell<TimeoutState>,
}

#[derive(Debug, Default)]
struct TimeoutState {
    times: VecDeque<Duration>,
    /// Answers in a row that did not come in time.
    missed: u32,
}

impl AppendTimeout {
    /// Creates a timeout between two bounds.
    pub fn new(shortest: Duration, longest: Duration) -> Self {
        Self {
            shortest,
            longest,
            state: RefCell::default(),
        }
    }

    /// Returns how long to wait for the next answer.
    pub fn wait(&self) -> Duration {
        let state = self.state.borrow();
        let slowest = state.times.iter().max().copied().unwrap_or_default();
        let usual = (slowest * FACTOR).max(self.shortest);
        let doubled = usual.saturating_mul(1 << state.missed.min(8));
        doubled.min(self.longest)
    }

    /// Takes note of an answer that came after `time`.
    pub fn record_answer(&self, time: Duration) {
        let mut state = self.state.borrow_mut();
        state.missed = 0;
        state.times.push_back(time);
        if state.times.len() > REMEMBERED {
            state.times.pop_front();
        }
    }

    /// Takes note of an answer that did not come in time.
    pub fn record_timeout(&self) {
        self.state.borrow_mut().missed += 1;
    }
}
