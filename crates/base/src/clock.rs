//! The clock as an interface, with a system clock and a manual one for tests.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime};

use rustix::time::{ClockId, clock_gettime};

/// Source of monotonic and wall-clock time.
pub trait ClockSource: Send + Sync {
    /// Returns the monotonic time, for durations and timeouts.
    fn now(&self) -> Instant;
    /// Returns the wall-clock time, for records that people read.
    fn wall(&self) -> SystemTime;
}

/// Clock of the operating system.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemClock;

impl ClockSource for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// Clock that goes on while the machine is suspended, unlike [`SystemClock`].
#[derive(Debug, Clone, Copy)]
pub struct BootClock {
    origin: Instant,
    /// Time since the machine's start at `origin`.
    booted: Duration,
}

/// Clock that moves only when it is told to; clones share the same time.
#[derive(Debug, Clone)]
pub struct ManualClock {
    origin: Instant,
    elapsed: Arc<Mutex<Duration>>,
}

impl Default for BootClock {
    fn default() -> Self {
        Self {
            origin: Instant::now(),
            booted: since_boot(),
        }
    }
}

impl ClockSource for BootClock {
    fn now(&self) -> Instant {
        self.origin + since_boot().saturating_sub(self.booted)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// Returns the time since the machine's start, suspended time included.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

impl Default for ManualClock {
    fn default() -> Self {
        Self {
            origin: Instant::now(),
            elapsed: Arc::new(Mutex::new(Duration::ZERO)),
        }
    }
}

impl ManualClock {
    /// Moves the time forward by `step`.
    pub fn advance(&self, step: Duration) {
        *self.elapsed.lock().unwrap_or_else(PoisonError::into_inner) += step;
    }

    fn elapsed(&self) -> Duration {
        *self.elapsed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ClockSource for ManualClock {
    fn now(&self) -> Instant {
        self.origin + self.elapsed()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.elapsed()
    }
}
