//! Observed run times and resource usage per queue, since declared values are inaccurate.

use std::time::Duration;

use pw_worker::prelude::*;

/// Minimum weight of a new observation in the moving average; the first observations weigh more.
const MIN_OBSERVATION_WEIGHT: f64 = 0.02;
/// Number of mean deviations above the mean that the expected size allows for.
const SIZE_DEVIATIONS: f64 = 2.0;

/// Observed run times and resource usage of the tasks of a queue.
#[derive(Debug, Clone, Copy, Default)]
pub struct QueueHistory {
    run: MovingAverage,
    millicores: MovingAverage,
    memory_mib: MovingAverage,
}

#[derive(Debug, Clone, Copy, Default)]
struct MovingAverage {
    observations: u32,
    mean: f64,
    deviation: f64,
}

impl MovingAverage {
    fn observe(&mut self, value: f64) {
        self.observations = self.observations.saturating_add(1);
        let weight = MIN_OBSERVATION_WEIGHT.max(1.0 / f64::from(self.observations));
        let error = value - self.mean;
        self.mean += weight * error;
        if self.observations > 1 {
            self.deviation += weight * (error.abs() - self.deviation);
        }
    }

    /// Returns an amount that most observations do not exceed, or `declared` without observations.
    fn upper_estimate(&self, declared: u32) -> u32 {
        if self.observations > 0 {
            (self.mean + SIZE_DEVIATIONS * self.deviation).ceil() as u32
        } else {
            declared
        }
    }
}

impl QueueHistory {
    /// Records the run time of a task.
    pub fn record_run(&mut self, run_time: Duration) {
        self.run.observe(run_time.as_secs_f64());
    }

    /// Records the resource usage of a task.
    pub fn record_size(&mut self, used: &ResourceSize) {
        self.millicores.observe(f64::from(used.millicores));
        self.memory_mib.observe(f64::from(used.memory_mib));
    }

    /// Returns the average run time; zero before the first run.
    pub fn mean_run_time(&self) -> Duration {
        Duration::from_secs_f64(self.run.mean.max(0.0))
    }

    /// Returns `run_time` divided by the average run time; 1 before the first run.
    pub fn pace(&self, run_time: Duration) -> f64 {
        if self.run.mean > 0.0 {
            run_time.as_secs_f64() / self.run.mean
        } else {
            1.0
        }
    }

    /// Returns the expected resource usage of a task; accelerators are taken as declared.
    pub fn expected_size(&self, declared: &ResourceSize) -> ResourceSize {
        ResourceSize {
            millicores: self.millicores.upper_estimate(declared.millicores),
            memory_mib: self.memory_mib.upper_estimate(declared.memory_mib),
            accelerators: declared.accelerators,
        }
    }
}
