//! Retry budget and backoff.

use std::time::{Duration, Instant};

use rand::Rng;
use rand::rngs::SmallRng;

/// Settings of retries.
#[derive(Debug, Clone, Copy)]
pub struct RetrySettings {
    /// Number of failed attempts after which a task is no longer retried.
    pub max_failures: u32,
    /// Number of retries that each first attempt adds to the budget.
    pub ratio: f64,
    /// Retries per second that are allowed regardless of the load.
    pub min_rate: f64,
    /// Maximum number of retries that accumulate in the budget.
    pub burst: f64,
    /// Backoff before the first retry; it doubles with each further failure.
    pub initial_backoff: Duration,
    /// Maximum backoff before a retry.
    pub max_backoff: Duration,
}

/// Token bucket that limits retries, so that they cannot amplify an outage.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    settings: RetrySettings,
    tokens: f64,
    refilled: Option<Instant>,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            max_failures: 3,
            ratio: 0.1,
            min_rate: 1.0,
            burst: 20.0,
            initial_backoff: Duration::from_millis(20),
            max_backoff: Duration::from_secs(2),
        }
    }
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(settings: RetrySettings) -> Self {
        Self {
            tokens: settings.burst,
            settings,
            refilled: None,
        }
    }

    /// Adds the fraction of a retry that each first attempt earns.
    pub fn record_first_attempt(&mut self) {
        self.add(self.settings.ratio);
    }

    /// Takes one retry from the budget, and returns whether one was available.
    pub fn try_acquire(&mut self, now: Instant) -> bool {
        let last = self.refilled.replace(now).unwrap_or(now);
        let elapsed = now.saturating_duration_since(last).as_secs_f64();
        self.add(elapsed * self.settings.min_rate);
        let is_allowed = self.tokens >= 1.0;
        if is_allowed {
            self.tokens -= 1.0;
        }
        is_allowed
    }

    /// Returns the backoff after `failures` failed attempts, reduced by up to half as jitter.
    pub fn backoff(&self, failures: u32, random: &mut SmallRng) -> Duration {
        let doubled = self.settings.initial_backoff * 2u32.pow(failures.saturating_sub(1).min(16));
        let bounded = doubled.min(self.settings.max_backoff);
        bounded.mul_f64(random.random_range(0.5..=1.0))
    }

    fn add(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.settings.burst);
    }
}
