//! What a caller submits.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use pw_base::prelude::*;
use pw_worker::prelude::*;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Most steps of a job.
pub const MAX_STEPS: usize = 256;
/// Most tasks of all steps of one occurrence.
pub const MAX_TASKS: usize = 5_000;
/// Most bytes of the text that is handed to each task.
pub const MAX_PAYLOAD_BYTES: usize = 4_000;

/// A job as its caller submitted it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Text that is handed to each task.
    pub payload: Arc<str>,
    /// Steps; a step may depend on earlier ones.
    pub steps: Vec<StepSpec>,
    /// How often the steps run; 1 for a job that is not repeated.
    pub occurrences: OccurrenceNumber,
    /// When the first occurrence is due; `None` for at once.
    pub first_due: Option<SystemTime>,
    /// Time from one occurrence to the next.
    pub period: Duration,
}

/// One step of a job: equal tasks that may run side by side.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// What each task takes of a worker.
    pub size: ResourceSize,
    /// Declared run time of a task; a rough guess.
    pub estimate: Duration,
    /// Earlier steps whose tasks must all be done first.
    pub depends_on: Vec<u32>,
    /// The tasks checkpoint their progress.
    pub saves_progress: bool,
    /// The tasks work only together.
    pub gang: bool,
    /// The tasks of a gang are slower on more than one rack.
    pub same_rack: bool,
    /// Label that a worker must have.
    pub required_label: Option<Arc<str>>,
    /// Rack where the data lies.
    pub preferred_rack: Option<RackId>,
    /// Most tasks of the step and occurrence on one worker; 0 for no bound.
    pub max_per_worker: u32,
    /// Copies of a task may run side by side.
    pub speculative: bool,
    /// The tasks run until the job is cancelled and are restarted however they end.
    pub long_running: bool,
    /// What the tasks run; tasks of the same image behave alike.
    pub image: Option<Arc<str>>,
    /// Bound of the tail of response times of a task that serves; `None` for one that doesn't.
    pub target_latency: Option<Duration>,
    /// The tasks take the processor time that others leave, and none is set aside for them.
    pub best_effort: bool,
    /// Tasks of the step that may be unavailable at the same time by the system's own actions;
    /// `None` for any number.
    pub max_unavailable: Option<u32>,
}

/// Why a submission can't be a job.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SpecError {
    /// There is no step.
    #[error("a job needs a step")]
    NoStep,
    /// There are too many steps.
    #[error("a job has at most {MAX_STEPS} steps")]
    TooManySteps,
    /// There are too many tasks.
    #[error("a job has at most {MAX_TASKS} tasks")]
    TooManyTasks,
    /// A step has no task.
    #[error("step {0} has no task")]
    NoTask(usize),
    /// A step depends on itself or on a later one.
    #[error("step {step} depends on step {on}, which is not an earlier one")]
    WrongDependency {
        /// The step.
        step: usize,
        /// What it names.
        on: u32,
    },
    /// The text for the tasks is too long.
    #[error("the text for the tasks has more than {MAX_PAYLOAD_BYTES} bytes")]
    PayloadTooLong,
}

impl JobSpec {
    /// Checks that the job can be carried out at all.
    ///
    /// # Errors
    ///
    /// Fails on the first rule that the job breaks.
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
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        if tasks > MAX_TASKS as u64 {
            return Err(SpecError::TooManyTasks);
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

    /// Returns when an occurrence is due; `None` for at once.
    pub fn due(&self, occurrence: OccurrenceNumber) -> Option<SystemTime> {
        let first = self.first_due?;
        Some(first + self.period.saturating_mul(occurrence))
    }

    /// Returns whether any step runs until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }

    /// Returns the declared run time of the longest chain of steps.
    pub fn critical_path(&self) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let before = step.depends_on.iter().map(|on| ends[*on as usize]).max();
            ends.push(before.unwrap_or_default() + step.estimate);
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Returns the declared work of one occurrence in core-seconds, without what runs until the job
    /// is cancelled.
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
