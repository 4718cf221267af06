//! Table of the tasks that wait or run.

use std::time::Instant;

use indexmap::IndexMap;
use pw_base::prelude::*;
use pw_contract::prelude::*;
use pw_worker::prelude::*;

use crate::admission::AdmittedTask;
use crate::message::{RunCertainty, TaskRequest};

/// Task that has been accepted and has no outcome yet.
#[derive(Debug)]
pub struct OpenTask {
    /// Request as submitted by the caller.
    pub request: TaskRequest,
    /// Queue and account of the task.
    pub admitted: AdmittedTask,
    /// Time of acceptance.
    pub accepted: Instant,
    /// Deadline for the answer.
    pub deadline: Instant,
    /// Number of failed attempts; attempts on a busy worker are not counted.
    pub failures: u32,
    /// Whether the task was cancelled; a cancelled task is not retried.
    pub is_cancelled: bool,
    /// Whether an earlier attempt may have run.
    pub may_have_run: bool,
    /// Worker of the last failed attempt, which the next attempt avoids if possible.
    pub avoid: Option<WorkerId>,
    /// Current phase of the task.
    pub phase: TaskPhase,
}

/// Phase of an open task.
#[derive(Debug)]
pub enum TaskPhase {
    /// The task waits in the backlog of its pool.
    Waiting,
    /// The task backs off before its next attempt.
    BackingOff,
    /// The task runs on a worker.
    Running(TaskRun),
}

/// Run of a task on a worker.
#[derive(Debug)]
pub struct TaskRun {
    /// Worker that runs the task.
    pub worker: WorkerId,
    /// Start time of the run.
    pub started: Instant,
    /// Expiry of the lease, when the worker stops the run at the latest.
    pub lease_end: Instant,
    /// Resources reserved for the run.
    pub size: ResourceSize,
    /// Permit that the run uses; `None` for a task without an account.
    pub permit: Option<TaskPermit>,
}

impl OpenTask {
    /// Returns what a refusal has to state about whether the task ran.
    pub fn certainty(&self) -> RunCertainty {
        if self.may_have_run {
            RunCertainty::Unknown
        } else {
            RunCertainty::NotRun
        }
    }
}

/// Open tasks by id.
#[derive(Debug, Default)]
pub struct TaskTable {
    tasks: IndexMap<TaskId, OpenTask>,
    waiting: usize,
}

impl TaskTable {
    /// Returns the number of open tasks.
    pub fn len(&self) -> usize {
        self.tasks.len()
    }

    /// Returns whether there is no open task.
    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }

    /// Returns the number of open tasks that are not running.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Returns the task `id`.
    pub fn get(&self, id: TaskId) -> Option<&OpenTask> {
        self.tasks.get(&id)
    }

    /// Returns whether the task `id` waits in the backlog.
    pub fn is_waiting(&self, id: TaskId) -> bool {
        let task = self.tasks.get(&id);
        task.is_some_and(|task| matches!(task.phase, TaskPhase::Waiting))
    }

    /// Returns whether the task `id` is running.
    pub fn is_running(&self, id: TaskId) -> bool {
        let task = self.tasks.get(&id);
        task.is_some_and(|task| matches!(task.phase, TaskPhase::Running(_)))
    }

    /// Returns whether the task `id` is open and not running.
    pub fn is_not_running(&self, id: TaskId) -> bool {
        let task = self.tasks.get(&id);
        task.is_some_and(|task| !matches!(task.phase, TaskPhase::Running(_)))
    }

    /// Iterates over the open tasks that are not running.
    pub fn not_running(&self) -> impl Iterator<Item = (TaskId, &OpenTask)> {
        let tasks = self.tasks.iter().map(|(id, task)| (*id, task));
        tasks.filter(|(_, task)| !matches!(task.phase, TaskPhase::Running(_)))
    }

    /// Adds a task that is not running.
    pub fn insert(&mut self, task: OpenTask) {
        self.waiting += 1;
        self.tasks.insert(task.request.id, task);
    }

    /// Removes a task unless it is running.
    pub fn remove_waiting(&mut self, id: TaskId) -> Option<OpenTask> {
        let task = self.tasks.get(&id)?;
        if matches!(task.phase, TaskPhase::Running(_)) {
            return None;
        }
        self.waiting -= 1;
        self.tasks.swap_remove(&id)
    }

    /// Marks a waiting task as running.
    pub fn start(&mut self, id: TaskId, run: TaskRun) {
        if let Some(task) = self.tasks.get_mut(&id) {
            task.phase = TaskPhase::Running(run);
            self.waiting -= 1;
        }
    }

    /// Removes a running task and returns it with its run.
    pub fn finish(&mut self, id: TaskId) -> Option<(OpenTask, TaskRun)> {
        let task = self.tasks.get(&id)?;
        if !matches!(task.phase, TaskPhase::Running(_)) {
            return None;
        }
        let mut task = self.tasks.swap_remove(&id)?;
        match std::mem::replace(&mut task.phase, TaskPhase::Waiting) {
            TaskPhase::Running(run) => Some((task, run)),
            TaskPhase::Waiting | TaskPhase::BackingOff => None,
        }
    }

    /// Marks a waiting task as backing off.
    pub fn back_off(&mut self, id: TaskId) {
        if let Some(task) = self.tasks.get_mut(&id) {
            task.phase = TaskPhase::BackingOff;
        }
    }

    /// Marks a task as cancelled.
    pub fn cancel(&mut self, id: TaskId) {
        if let Some(task) = self.tasks.get_mut(&id) {
            task.is_cancelled = true;
        }
    }

    /// Marks a task that backs off as waiting, and returns whether it was backing off.
    pub fn resume(&mut self, id: TaskId) -> bool {
        match self.tasks.get_mut(&id) {
            Some(task) if matches!(task.phase, TaskPhase::BackingOff) => {
                task.phase = TaskPhase::Waiting;
                true
            }
            _ => false,
        }
    }
}
