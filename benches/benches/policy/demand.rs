//! Generated demand of the users' form.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

/// Factor of the mean rate during a surge.
const SURGE_FACTOR: f64 = 5.0;
/// Part of the mean rate between surges.
const LULL_FACTOR: f64 = 0.05;

/// How the rate of a queue changes over time.
#[derive(Debug, Clone, Copy)]
pub enum RateForm {
    /// The same rate all the time.
    Steady,
    /// Surges to five times the mean, a twentieth of it in between.
    Surges {
        /// Start of the first surge.
        first: Duration,
        /// Length of a surge.
        length: Duration,
        /// Time from one surge to the next.
        period: Duration,
    },
}

/// Demand of one account on one queue.
#[derive(Debug, Clone)]
pub struct DemandStream {
    /// Number of the account.
    pub account: usize,
    /// Name of the queue.
    pub queue: String,
    /// Mean arrivals per second.
    pub rate: f64,
    /// How the rate changes.
    pub form: RateForm,
    /// Mean run time of its tasks.
    pub mean_run: Duration,
    /// Entry instance that most of its tasks reach, and the part that does.
    pub affinity: Option<(usize, f64)>,
    /// When it begins.
    pub from: Duration,
    /// When it ends.
    pub until: Duration,
}

impl DemandStream {
    /// Returns the time to the next possible arrival, at the highest rate of the form.
    pub fn gap(&self, random: &mut SmallRng) -> Duration {
        let uniform: f64 = random.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-uniform.ln() / (self.rate * self.peak()))
    }

    /// Returns whether a possible arrival is a true one, so that the rate follows the form.
    pub fn arrives(&self, at: Duration, random: &mut SmallRng) -> bool {
        random.random_range(0.0..self.peak()) < self.factor(at)
    }

    /// Returns the run time of a task: log-normal, so that a few run long.
    pub fn run_time(&self, random: &mut SmallRng) -> Duration {
        const SIGMA: f64 = 0.8;
        let uniform: f64 = random.random_range(f64::EPSILON..1.0);
        let angle: f64 = random.random_range(0.0..std::f64::consts::TAU);
        let normal = (-2.0 * uniform.ln()).sqrt() * angle.cos();
        let factor = (SIGMA * normal - SIGMA * SIGMA / 2.0).exp();
        self.mean_run.mul_f64(factor.min(20.0))
    }

    /// Returns the entry instance that a task reaches.
    pub fn entry(&self, entries: usize, random: &mut SmallRng) -> usize {
        match self.affinity {
            Some((entry, part)) if random.random_bool(part) => entry % entries,
            _ => random.random_range(0..entries),
        }
    }

    fn peak(&self) -> f64 {
        match self.form {
            RateForm::Steady => 1.0,
            RateForm::Surges { .. } => SURGE_FACTOR,
        }
    }

    fn factor(&self, at: Duration) -> f64 {
        match self.form {
            RateForm::Steady => 1.0,
            RateForm::Surges {
                first,
                length,
                period,
            } => {
                let since = at.checked_sub(first).map(|since| since.as_secs_f64());
                let phase = since.map(|since| since % period.as_secs_f64());
                if phase.is_some_and(|phase| phase < length.as_secs_f64()) {
                    SURGE_FACTOR
                } else {
                    LULL_FACTOR
                }
            }
        }
    }
}
