//! Generated task arrivals and run times.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

/// Rate during a surge, relative to the mean rate.
const SURGE_FACTOR: f64 = 5.0;
/// Rate between surges, relative to the mean rate.
const LULL_FACTOR: f64 = 0.05;

/// Change of an arrival rate over time.
#[derive(Debug, Clone, Copy)]
pub enum ArrivalPattern {
    /// Constant rate.
    Steady,
    /// Periodic surges with a low rate between them.
    Surges {
        /// Start of the first surge.
        first: Duration,
        /// Length of a surge.
        length: Duration,
        /// Time from one surge to the next.
        period: Duration,
    },
}

/// Tasks that one account submits to one queue.
#[derive(Debug, Clone)]
pub struct DemandStream {
    /// Index of the account.
    pub account: usize,
    /// Name of the queue.
    pub queue: String,
    /// Mean arrivals per second.
    pub rate: f64,
    /// Change of the rate over time.
    pub pattern: ArrivalPattern,
    /// Mean run time of a task.
    pub mean_run: Duration,
    /// Preferred entry instance, and the fraction of tasks routed to it.
    pub affinity: Option<(usize, f64)>,
    /// Time at which arrivals start.
    pub from: Duration,
    /// Time at which arrivals stop.
    pub until: Duration,
}

impl DemandStream {
    /// Returns the time to the next candidate arrival of a Poisson process at the peak rate.
    pub fn candidate_interval(&self, random: &mut SmallRng) -> Duration {
        let uniform: f64 = random.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-uniform.ln() / (self.rate * self.peak_factor()))
    }

    /// Returns whether a candidate arrival is kept, which thins the process to the rate at `at`.
    pub fn accepts_candidate(&self, at: Duration, random: &mut SmallRng) -> bool {
        random.random_range(0.0..self.peak_factor()) < self.rate_factor(at)
    }

    /// Returns a log-normal run time, so that a few tasks run long.
    pub fn run_time(&self, random: &mut SmallRng) -> Duration {
        const SIGMA: f64 = 0.8;
        let uniform: f64 = random.random_range(f64::EPSILON..1.0);
        let angle: f64 = random.random_range(0.0..std::f64::consts::TAU);
        let normal = (-2.0 * uniform.ln()).sqrt() * angle.cos();
        let factor = (SIGMA * normal - SIGMA * SIGMA / 2.0).exp();
        self.mean_run.mul_f64(factor.min(20.0))
    }

    /// Returns the index of the entry instance that a task is submitted to.
    pub fn entry(&self, entries: usize, random: &mut SmallRng) -> usize {
        match self.affinity {
            Some((entry, fraction)) if random.random_bool(fraction) => entry % entries,
            _ => random.random_range(0..entries),
        }
    }

    fn peak_factor(&self) -> f64 {
        match self.pattern {
            ArrivalPattern::Steady => 1.0,
            ArrivalPattern::Surges { .. } => SURGE_FACTOR,
        }
    }

    fn rate_factor(&self, at: Duration) -> f64 {
        match self.pattern {
            ArrivalPattern::Steady => 1.0,
            ArrivalPattern::Surges {
                first,
                length,
                period,
            } => {
                let elapsed = at.checked_sub(first).map(|elapsed| elapsed.as_secs_f64());
                let phase = elapsed.map(|elapsed| elapsed % period.as_secs_f64());
                if phase.is_some_and(|phase| phase < length.as_secs_f64()) {
                    SURGE_FACTOR
                } else {
                    LULL_FACTOR
                }
            }
        }
    }
}
