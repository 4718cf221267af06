//! Adaptive timeout for answers that may be lost.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::time::Duration;

/// Number of recorded answer times: enough to keep a slow one among fast ones.
const RECORDED_ANSWERS: usize = 16;
/// Timeout as a multiple of the slowest recorded answer.
const TIMEOUT_FACTOR: u32 = 3;

/// Timeout of an append, derived from the times of recent answers.
///
/// Appends are idempotent, so a lost answer costs only the timeout. If answers take milliseconds, a
/// timeout of seconds would delay everything that has to be stored first. If the store is slow, a
/// short timeout would repeat each append in vain, so it doubles with each answer that is late.
#[derive(Debug)]
pub struct AppendTimeout {
    shortest: Duration,
    longest: Duration,
    state: RefCell<TimeoutState>,
}

#[derive(Debug, Default)]
struct TimeoutState {
    times: VecDeque<Duration>,
    /// Consecutive timeouts.
    timeouts: u32,
}

impl AppendTimeout {
    /// Creates a timeout with lower and upper bounds.
    pub fn new(shortest: Duration, longest: Duration) -> Self {
        Self {
            shortest,
            longest,
            state: RefCell::default(),
        }
    }

    /// Returns the timeout of the next answer.
    pub fn wait(&self) -> Duration {
        let state = self.state.borrow();
        let slowest = state.times.iter().max().copied().unwrap_or_default();
        let usual = (slowest * TIMEOUT_FACTOR).max(self.shortest);
        let doubled = usual.saturating_mul(1 << state.timeouts.min(8));
        doubled.min(self.longest)
    }

    /// Records an answer that took `time`.
    pub fn record_answer(&self, time: Duration) {
        let mut state = self.state.borrow_mut();
        state.timeouts = 0;
        state.times.push_back(time);
        if state.times.len() > RECORDED_ANSWERS {
            state.times.pop_front();
        }
    }

    /// Records an answer that did not come in time.
    pub fn record_timeout(&self) {
        self.state.borrow_mut().timeouts += 1;
    }
}
