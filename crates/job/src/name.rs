//! Names of tasks.

use std::fmt;
use std::str::FromStr;

use pw_base::prelude::*;

/// Separates the parts of a task's name.
const SEPARATOR: char = '.';

/// Name of a task: its job, occurrence, step and index within the step.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskName {
    /// Job of the task.
    pub job: JobId,
    /// Occurrence of the job; 0 for a job that does not repeat.
    pub occurrence: OccurrenceNumber,
    /// Step number, starting at 0.
    pub step: u32,
    /// Index of the task within the step, starting at 0.
    pub index: u32,
}

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            job,
            occurrence,
            step,
            index,
        } = self;
        write!(f, "{job}.{occurrence}.{step}.{index}")
    }
}

impl FromStr for TaskName {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let malformed = || format!("task name {text:?} is not JOB.OCCURRENCE.STEP.INDEX");
        let mut parts = text.rsplitn(4, SEPARATOR);
        let mut number = || parts.next().and_then(|part| part.parse().ok());
        let index = number().ok_or_else(malformed)?;
        let step = number().ok_or_else(malformed)?;
        let occurrence = number().ok_or_else(malformed)?;
        let job = parts.next().filter(|job| !job.is_empty());
        Ok(Self {
            job: job.ok_or_else(malformed)?.into(),
            occurrence,
            step,
            index,
        })
    }
}
