//! The tasks that a scheduler holds, waiting or running.

use std::time::Instant;

use indexmap::IndexMap;
use pw_base::prelude::*;
use pw_contract::prelude::*;
use pw_worker::prelude::*;

use crate::admission::AdmittedTask;
use crate::message::{RunCertainty, TaskRequest};

/// A task from its acceptance to its outcome.
#[derive(Debug)]
pub struct OpenTask {
    /// What the caller submitted.
    pub request: TaskRequest,
    /// Queue and account that it counts for.
    pub admitted: AdmittedTask,
    /// When it was accepted.
    pub accepted: Instant,
    /// Latest time for its answer.
    pub deadline: Instant,
    /// Attempts that failed so far, those on a busy worker aside.
    pub failures: u32,
    /// Whether its caller no longer wants it; it is not tried again.
    pub is_cancelled: bool,
    /// Whether one of its attempts may have run.
    pub may_have_run: bool,
    /// Worker of the last attempt that failed.
    pub avoid: Option<WorkerId>,
    /// Whether the task waits, pauses or runs.
    pub phase: TaskPhase,
}

/// What an open task does.
#[derive(Debug)]
pub enum TaskPhase {
    /// It waits in the backlog of its pool.
    Waiting,
    /// It pauses until its next attempt.
    BackingOff,
    /// It runs on a worker.
    Running(TaskRun),
}

/// One attempt to run a task.
#[derive(Debug)]
pub struct TaskRun {
    /// Worker that runs it.
    pub worker: WorkerId,
    /// When it was started.
    pub started: Instant,
    /// When the worker stops it at the latest.
    pub lease_end: Instant,
    /// Resources that were reserved for it.
    pub size: ResourceSize,
    /// Permit that it runs on; `None` for tasks of no account.
    pub permit: Option<TaskPermit>,
}

impl OpenTask {
    /// Returns whether a refusal may say that the task did not run.
    pub fn certainty(&self) -> RunCertainty {
        if self.may_have_run {
            RunCertainty::Unknown
        } else {
            RunCertainty::NotRun
        }
    }
}

/// All open tasks of a scheduler.
#[derive(Debug, Default)]
pub struct TaskTable {
    tasks: IndexMap<TaskId, OpenTask>,
    waiting: usize,
}

impl TaskTable {
    /// Returns how many tasks are open.
    pub fn len(&self) -> usize {
        self.tasks.len()
    }

    /// Returns whether no task is open.
    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }

    /// Returns how many open tasks do not run.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Returns the task called `id`.
    pub fn get(&self, id: TaskId) -> Option<&OpenTask> {
        self.tasks.get(&id)
    }

    /// Returns whether the task called `id` waits in the backlog.
    pub fn is_waiting(&self, id: TaskId) -> bool {
        let task = self.tasks.get(&id);
        task.is_some_and(|task| matches!(task.phase, TaskPhase::Waiting))
    }

    /// Returns whether the task called `id` runs.
    pub fn is_running(&self, id: TaskId) -> bool {
        let task = self.tasks.get(&id);
        task.is_some_and(|task| matches!(task.phase, TaskPhase::Running(_)))
    }

    /// Returns whether the task called `id` is open and does not run.
    pub fn is_not_running(&self, id: TaskId) -> bool {
        let task = self.tasks.get(&id);
        task.is_some_and(|task| !matches!(task.phase, TaskPhase::Running(_)))
    }

    /// Iterates over the tasks that do not run.
    pub fn not_running(&self) -> impl Iterator<Item = (TaskId, &OpenTask)> {
        let tasks = self.tasks.iter().map(|(id, task)| (*id, task));
        tasks.filter(|(_, task)| !matches!(task.phase, TaskPhase::Running(_)))
    }

    /// Adds a task that waits.
    pub fn insert(&mut self, task: OpenTask) {
        self.waiting += 1;
        self.tasks.insert(task.request.id, task);
    }

    /// Takes a task that does not run out of the table.
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

    /// Takes a running task out of the table, with its run.
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

    /// Marks a waiting task as pausing.
    pub fn back_off(&mut self, id: TaskId) {
        if let Some(task) = self.tasks.get_mut(&id) {
            task.phase = TaskPhase::BackingOff;
        }
    }

    /// Marks a running task as no longer wanted.
    pub fn cancel(&mut self, id: TaskId) {
        if let Some(task) = self.tasks.get_mut(&id) {
            task.is_cancelled = true;
        }
    }

    /// Marks a pausing task as waiting again; returns whether it was pausing.
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
