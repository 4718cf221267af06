//! Clock interface with a system clock, a boot clock and a manual clock for tests.

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

/// Clock that keeps running while the machine is suspended, unlike [`SystemClock`].
#[derive(Debug, Clone, Copy)]
pub struct BootClock {
    origin: Instant,
    /// Time since boot at `origin`.
    origin_since_boot: Duration,
}

/// Clock that moves only on [`advance`](Self::advance); clones share the same time.
#[derive(Debug, Clone)]
pub struct ManualClock {
    origin: Instant,
    elapsed: Arc<Mutex<Duration>>,
}

impl Default for BootClock {
    fn default() -> Self {
        Self {
            origin: Instant::now(),
            origin_since_boot: since_boot(),
        }
    }
}

impl ClockSource for BootClock {
    fn now(&self) -> Instant {
        self.origin + since_boot().saturating_sub(self.origin_since_boot)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// Returns the time since boot, including time suspended.
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
    /// Advances the time by `step`.
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
