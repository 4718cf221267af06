//! Specifications of jobs and their steps.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use pw_base::prelude::*;
use pw_worker::prelude::*;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Maximum number of steps of a job.
pub const MAX_STEPS: usize = 256;
/// Maximum number of tasks of one occurrence, over all steps.
pub const MAX_TASKS: usize = 5_000;
/// Maximum number of tasks in the open occurrences of a job; the state of a job with more could outgrow
/// the memory of its owner. A single occurrence always opens.
pub const MAX_OPEN_TASKS: usize = 2 * MAX_TASKS;
/// Longest time after the first occurrence that is told apart from longer ones; a point in time can't be
/// much later.
const MAX_DUE_DELAY: Duration = Duration::from_secs(100 * 365 * 24 * 3600);
/// Maximum size of the payload.
pub const MAX_PAYLOAD_BYTES: usize = 4_000;

/// A job as its caller submitted it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Text passed to each task.
    pub payload: Arc<str>,
    /// Steps; each may depend on earlier ones.
    pub steps: Vec<StepSpec>,
    /// Number of occurrences; 1 for a job that does not repeat.
    pub occurrences: OccurrenceNumber,
    /// When the first occurrence is due; `None` for immediately.
    pub first_due: Option<SystemTime>,
    /// Time from one occurrence to the next.
    pub period: Duration,
}

/// A step of a job: identical tasks that may run in parallel.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// Resources that each task takes on a worker.
    pub size: ResourceSize,
    /// Declared run time of a task; a rough estimate.
    pub estimate: Duration,
    /// Earlier steps whose tasks must all be done first.
    pub depends_on: Vec<u32>,
    /// Whether the tasks checkpoint their progress.
    pub saves_progress: bool,
    /// Whether the tasks form a gang, which can only run as a whole.
    pub gang: bool,
    /// Whether the tasks of the gang run slower when spread over several racks.
    pub same_rack: bool,
    /// Label that a worker must have.
    pub required_label: Option<Arc<str>>,
    /// Rack that holds the data.
    pub preferred_rack: Option<RackId>,
    /// Maximum number of tasks of the step on one worker, per occurrence; 0 for no limit.
    pub max_per_worker: u32,
    /// Whether several copies of a task may run at the same time.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled and are restarted whenever they end.
    pub long_running: bool,
    /// Image that the tasks run; tasks of the same image perform alike.
    pub image: Option<Arc<str>>,
    /// Tail latency limit of a task that serves requests; `None` for one that doesn't.
    pub target_latency: Option<Duration>,
    /// Whether the tasks use only spare CPU time, with none reserved for them.
    pub best_effort: bool,
    /// Maximum number of tasks of the step that the system's own actions may make unavailable at
    /// the same time; `None` for no limit.
    pub max_unavailable: Option<u32>,
}

/// Error of validating a [`JobSpec`].
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SpecError {
    /// The job has no steps.
    #[error("a job needs a step")]
    NoStep,
    /// The job has too many steps.
    #[error("a job has at most {MAX_STEPS} steps")]
    TooManySteps,
    /// The job has too many tasks.
    #[error("a job has at most {MAX_TASKS} tasks")]
    TooManyTasks,
    /// The job has too many long-running tasks, which have to be open all at the same time.
    #[error("all occurrences of a long-running job have at most {MAX_OPEN_TASKS} tasks")]
    TooManyLongRunningTasks,
    /// A step has no tasks.
    #[error("step {0} has no task")]
    NoTask(usize),
    /// A step depends on itself or on a later step.
    #[error("step {step} depends on step {on}, which is not an earlier one")]
    WrongDependency {
        /// Number of the step.
        step: usize,
        /// Number of the step that it depends on.
        on: u32,
    },
    /// The payload is too long.
    #[error("the text for the tasks has more than {MAX_PAYLOAD_BYTES} bytes")]
    PayloadTooLong,
}

impl JobSpec {
    /// Checks the limits and the dependencies of the steps.
    ///
    /// # Errors
    ///
    /// Returns the first violation.
    pub fn validate(&self) -> Result<(), SpecError> {
        if self.payload.len() > MAX_PAYLOAD_BYTES {
            return Err(SpecError::PayloadTooLong);
        }
        if self.steps.is_empty() {
            return Err(SpecError::NoStep);
        }
        if self.steps.len() > MAX_STEPS {
            return Err(SpecError::TooManySteps);
        }
        let tasks = self.task_count();
        if tasks > MAX_TASKS as u64 {
            return Err(SpecError::TooManyTasks);
        }
        let all_tasks = tasks * u64::from(self.occurrences);
        if self.is_long_running() && all_tasks > MAX_OPEN_TASKS as u64 {
            return Err(SpecError::TooManyLongRunningTasks);
        }
        for (number, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return Err(SpecError::NoTask(number));
            }
            let wrong = step.depends_on.iter().find(|on| **on as usize >= number);
            if let Some(on) = wrong {
                let on = *on;
                return Err(SpecError::WrongDependency { step: number, on });
            }
        }
        Ok(())
    }

    /// Returns the number of tasks of one occurrence.
    pub fn task_count(&self) -> u64 {
        self.steps.iter().map(|step| u64::from(step.count)).sum()
    }

    /// Returns when an occurrence is due; `None` for immediately.
    pub fn due(&self, occurrence: OccurrenceNumber) -> Option<SystemTime> {
        let first = self.first_due?;
        let delay = self.period.saturating_mul(occurrence).min(MAX_DUE_DELAY);
        // A first occurrence that late is never due, nor is a later one.
        Some(first.checked_add(delay).unwrap_or(first))
    }

    /// Returns whether any step runs until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }

    /// Returns the declared run time of the longest chain of dependent steps, saturating at the
    /// numeric bounds.
    pub fn critical_path(&self) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let before = step.depends_on.iter().map(|on| ends[*on as usize]).max();
            ends.push(before.unwrap_or_default().saturating_add(step.estimate));
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Returns the declared work of one occurrence in core-seconds, without long-running and
    /// best-effort steps.
    pub fn core_seconds(&self) -> f64 {
        let steps = self
            .steps
            .iter()
            .filter(|step| !step.long_running && !step.best_effort);
        let work = |step: &StepSpec| {
            f64::from(step.count) * f64::from(step.size.millicores) / 1000.0
                * step.estimate.as_secs_f64()
        };
        steps.map(work).sum()
    }
}
