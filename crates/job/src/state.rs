//! States of jobs and their tasks.

use std::collections::BTreeMap;
use std::sync::Arc;

use pw_base::prelude::*;
use serde::{Deserialize, Serialize};
use strum::{AsRefStr, Display, EnumString};

use crate::spec::{JobSpec, MAX_OPEN_TASKS, StepSpec};

/// Position of a task in its job: its occurrence, its step and its index.
pub type TaskPosition = (OccurrenceNumber, u32, u32);

/// Status of a job as reported to callers.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, AsRefStr, Display, EnumString, Serialize, Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
pub enum JobStatus {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task reached its maximum number of failed runs, or crashes the workers that start it.
    Failed,
    /// The caller cancelled the job.
    Cancelled,
}

/// Reason why a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, AsRefStr, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum RunEnd {
    /// It completed its work.
    Done,
    /// It failed, because of the task or the worker.
    Failed,
    /// It was stopped.
    Stopped,
    /// Its lease on the worker expired.
    #[strum(serialize = "lapsed")]
    LeaseExpired,
    /// Another member of its gang ended.
    #[strum(serialize = "broken")]
    GangBroken,
    /// The other members of its gang did not start in time.
    #[strum(serialize = "alone")]
    GangTimeout,
    /// The worker's life ended.
    Lost,
}

/// Placement of a run.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TaskPlacement {
    /// Worker of the run.
    pub worker: WorkerId,
    /// Life of the worker that the run was placed on.
    pub life: LifeStart,
    /// Machine of the worker, if known. Another worker on the same machine proves that this one is
    /// gone.
    pub machine: Option<MachineId>,
}

/// Phase of one task.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskPhase {
    /// No run of the task is placed.
    #[default]
    Waiting,
    /// Its last run may be running or starting.
    Placed(TaskPlacement),
    /// The task is done.
    Done,
}

/// State of one task.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskState {
    /// Phase of the task.
    pub phase: TaskPhase,
    /// Number of the last run; 0 before the first one.
    pub last_run: RunNumber,
    /// Number of failed runs.
    pub failures: u32,
    /// Checkpoint from which the next run resumes.
    pub checkpoint: Option<Arc<str>>,
}

/// State of one occurrence of a job.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OccurrenceState {
    /// Number of the occurrence.
    pub number: OccurrenceNumber,
    /// Tasks of each step.
    pub steps: Vec<Vec<TaskState>>,
}

/// State of a job.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobState {
    /// Whether the caller cancelled the job.
    pub cancelled: bool,
    /// Whether a task reached its maximum number of failed runs, or was given up because it crashes
    /// its workers.
    pub failed: bool,
    /// Whether a task has started.
    pub started: bool,
    /// Number of occurrences that have been opened.
    pub opened: OccurrenceNumber,
    /// Opened occurrences with tasks that are not done.
    pub occurrences: Vec<OccurrenceState>,
    /// Crashes of workers that started a task, for the tasks with any.
    pub crashes: BTreeMap<TaskPosition, CrashTally>,
}

/// Losses of workers in a row, each with another explanation, after which a task is suspected of
/// them all the same.
const SUSPICIOUS_LOSSES: u32 = 2;

/// Crashes in a row of the workers that started a task.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashTally {
    /// Number of crashes that count against the task.
    pub count: u32,
    /// Number of the others, which something else may have caused, or which the run may not have
    /// been started before.
    pub excused: u32,
    /// Last run that counted; the same crash may be seen by several owners.
    pub last_run: RunNumber,
}

impl OccurrenceState {
    /// Creates an occurrence whose tasks are all waiting.
    pub fn new(number: OccurrenceNumber, spec: &JobSpec) -> Self {
        let tasks = |step: &StepSpec| vec![TaskState::default(); step.count as usize];
        Self {
            number,
            steps: spec.steps.iter().map(tasks).collect(),
        }
    }

    /// Returns whether all tasks of a step are done.
    pub fn step_done(&self, step: usize) -> bool {
        let tasks = self.steps.get(step);
        tasks.is_some_and(|tasks| tasks.iter().all(TaskState::is_done))
    }

    /// Returns whether all tasks are done.
    pub fn all_done(&self) -> bool {
        (0..self.steps.len()).all(|step| self.step_done(step))
    }

    /// Returns whether a task has been placed.
    pub fn has_begun(&self) -> bool {
        let mut tasks = self.steps.iter().flatten();
        tasks.any(|task| task.last_run > 0)
    }

    /// Returns whether all dependencies of a step are done.
    pub fn step_ready(&self, spec: &JobSpec, step: usize) -> bool {
        let depends_on = &spec.steps[step].depends_on;
        depends_on.iter().all(|on| self.step_done(*on as usize))
    }
}

impl TaskState {
    /// Returns whether the task is done.
    pub fn is_done(&self) -> bool {
        self.phase == TaskPhase::Done
    }

    /// Returns whether the task waits to be placed.
    pub fn is_waiting(&self) -> bool {
        self.phase == TaskPhase::Waiting
    }

    /// Returns the placement of the last run while it may be running.
    pub fn placement(&self) -> Option<&TaskPlacement> {
        match &self.phase {
            TaskPhase::Placed(placement) => Some(placement),
            TaskPhase::Waiting | TaskPhase::Done => None,
        }
    }
}

impl JobState {
    /// Returns the status reported to callers.
    pub fn status(&self, spec: &JobSpec) -> JobStatus {
        if self.cancelled {
            JobStatus::Cancelled
        } else if self.failed {
            JobStatus::Failed
        } else if self.opened >= spec.occurrences && self.occurrences.is_empty() {
            JobStatus::Completed
        } else if self.started {
            JobStatus::Running
        } else {
            JobStatus::Queued
        }
    }

    /// Returns whether the job is completed, failed or cancelled, so that no more runs start.
    pub fn is_over(&self, spec: &JobSpec) -> bool {
        matches!(
            self.status(spec),
            JobStatus::Completed | JobStatus::Failed | JobStatus::Cancelled
        )
    }

    /// Returns whether a run of the job may still be running on a worker.
    pub fn has_placed_runs(&self) -> bool {
        let mut tasks = self
            .occurrences
            .iter()
            .flat_map(|o| o.steps.iter().flatten());
        tasks.any(|task| task.placement().is_some())
    }

    /// Returns whether the open occurrences and the next one have at most [`MAX_OPEN_TASKS`] tasks, or
    /// none is open.
    pub fn may_open_next(&self, spec: &JobSpec) -> bool {
        let open = self.occurrences.len() as u64;
        open == 0 || (open + 1) * spec.task_count() <= MAX_OPEN_TASKS as u64
    }

    /// Opens the next occurrence.
    pub fn open_next(&mut self, spec: &JobSpec) {
        self.occurrences
            .push(OccurrenceState::new(self.opened, spec));
        self.opened += 1;
    }

    /// Returns the state of a task of an opened occurrence.
    pub fn task(&self, occurrence: OccurrenceNumber, step: u32, index: u32) -> Option<&TaskState> {
        let found = self.occurrences.iter().find(|o| o.number == occurrence)?;
        found.steps.get(step as usize)?.get(index as usize)
    }

    /// Returns the mutable state of a task of an opened occurrence.
    pub fn task_mut(
        &mut self,
        occurrence: OccurrenceNumber,
        step: u32,
        index: u32,
    ) -> Option<&mut TaskState> {
        let mut occurrences = self.occurrences.iter_mut();
        let found = occurrences.find(|o| o.number == occurrence)?;
        found.steps.get_mut(step as usize)?.get_mut(index as usize)
    }

    /// Places the next run of a waiting task and returns its number; `None` if the task isn't
    /// waiting.
    pub fn place(&mut self, name: TaskPosition, to: TaskPlacement) -> Option<RunNumber> {
        let task = self.task_mut(name.0, name.1, name.2)?;
        if !task.is_waiting() {
            return None;
        }
        task.last_run += 1;
        task.phase = TaskPhase::Placed(to);
        Some(task.last_run)
    }

    /// Records that a run that counted as lost is done after all. The end of one member of a gang
    /// completes the others too.
    ///
    /// Returns `false` and changes nothing when the task is done or never counts as done.
    pub fn complete_lost(
        &mut self,
        spec: &JobSpec,
        (occurrence, step, index): TaskPosition,
        run: RunNumber,
    ) -> bool {
        let step_spec = spec.steps.get(step as usize);
        let Some(step_spec) = step_spec.filter(|step| !step.long_running) else {
            return false;
        };
        let mut occurrences = self.occurrences.iter_mut();
        let tasks = occurrences
            .find(|o| o.number == occurrence)
            .and_then(|found| found.steps.get_mut(step as usize));
        let mut completed = false;
        for (number, task) in tasks.into_iter().flatten().enumerate() {
            let covered = step_spec.gang || number == index as usize;
            if covered && task.last_run >= run && !task.is_done() {
                task.phase = TaskPhase::Done;
                completed = true;
            }
        }
        self.occurrences.retain(|occurrence| !occurrence.all_done());
        completed
    }

    /// Records that a run that counted as lost has failed after all.
    ///
    /// Returns `false` and changes nothing when the task is done or never fails its job.
    pub fn fail_lost(
        &mut self,
        spec: &JobSpec,
        (occurrence, step, index): TaskPosition,
        attempts: Option<u32>,
    ) -> bool {
        let over = self.is_over(spec);
        let step_spec = spec.steps.get(step as usize);
        if step_spec.is_none_or(|step| step.long_running) {
            return false;
        }
        let task = self.task_mut(occurrence, step, index);
        let Some(task) = task.filter(|task| !task.is_done()) else {
            return false;
        };
        task.failures += 1;
        let exhausted = attempts.is_some_and(|attempts| task.failures >= attempts);
        self.failed |= exhausted && !over;
        true
    }

    /// Saves the checkpoint of a task; that of a gang's member is valid for all of them.
    pub fn save_checkpoint(
        &mut self,
        spec: &JobSpec,
        (occurrence, step, index): TaskPosition,
        checkpoint: &Arc<str>,
    ) {
        let gang = spec.steps.get(step as usize).is_some_and(|step| step.gang);
        let mut occurrences = self.occurrences.iter_mut();
        let tasks = occurrences
            .find(|o| o.number == occurrence)
            .and_then(|found| found.steps.get_mut(step as usize));
        for (number, task) in tasks.into_iter().flatten().enumerate() {
            if gang || number == index as usize {
                task.checkpoint = Some(Arc::clone(checkpoint));
            }
        }
    }

    /// Returns whether a task is suspected of crashing the workers that start it.
    pub fn is_suspected(&self, task: TaskPosition) -> bool {
        let tally = self.crashes.get(&task);
        tally.is_some_and(|tally| tally.count > 0 || tally.excused >= SUSPICIOUS_LOSSES)
    }

    /// Records that a worker crashed when it started a run, or was lost with it for another reason;
    /// returns the crashes in a row, or `None` if this one has counted before.
    pub fn record_crash(
        &mut self,
        task: TaskPosition,
        run: RunNumber,
        excused: bool,
    ) -> Option<CrashTally> {
        let tally = self.crashes.entry(task).or_default();
        if run <= tally.last_run {
            return None;
        }
        tally.last_run = run;
        tally.count += u32::from(!excused);
        tally.excused += u32::from(excused);
        Some(*tally)
    }

    /// Records that a worker survived the start of a task; returns whether it was under suspicion.
    pub fn clear_crashes(&mut self, task: TaskPosition) -> bool {
        self.crashes.remove(&task).is_some()
    }

    /// Lets the job fail because of a task that crashes its workers; returns `false` if it is over.
    pub fn give_up(&mut self, spec: &JobSpec) -> bool {
        let open = !self.is_over(spec);
        self.failed |= open;
        open
    }

    /// Records the end of a task's last run.
    ///
    /// Returns `false` and changes nothing when `run` is not the placed run. The job fails when a
    /// task reaches `attempts` failed runs; `None` sets no limit.
    pub fn end_run(
        &mut self,
        spec: &JobSpec,
        name: TaskPosition,
        run: RunNumber,
        end: RunEnd,
        attempts: Option<u32>,
    ) -> bool {
        let (occurrence, step, index) = name;
        let Some(step_spec) = spec.steps.get(step as usize) else {
            return false;
        };
        let long_running = step_spec.long_running;
        let over = self.is_over(spec);
        let Some(task) = self.task_mut(occurrence, step, index) else {
            return false;
        };
        if task.last_run != run || task.placement().is_none() {
            return false;
        }
        task.phase = TaskPhase::Waiting;
        match end {
            RunEnd::Done if !long_running => task.phase = TaskPhase::Done,
            RunEnd::Failed => task.failures += 1,
            _ => {}
        }
        let counts = end == RunEnd::Failed && !long_running;
        let exhausted = counts && attempts.is_some_and(|attempts| task.failures >= attempts);
        if exhausted && !over {
            self.failed = true;
        }
        if end == RunEnd::Done {
            self.crashes.remove(&name);
        }
        self.occurrences.retain(|occurrence| !occurrence.all_done());
        true
    }
}
