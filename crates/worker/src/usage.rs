//! What a worker reports of its load; the report lags.

use std::time::Instant;

use pw_base::prelude::*;

use crate::resource::ResourceSize;

/// Load of a worker, over the tasks of all entry instances.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerUsage {
    /// Worker that reports.
    pub worker: WorkerId,
    /// When it measured, on the reader's clock.
    pub measured: Instant,
    /// Tasks that ran.
    pub running: u32,
    /// Resources that all of its tasks used together.
    pub used: ResourceSize,
    /// Resources that single tasks used.
    pub tasks: Vec<TaskUsage>,
}

/// Resources that one task used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskUsage {
    /// Identity of the task.
    pub task: TaskId,
    /// Largest amount that it has used.
    pub used: ResourceSize,
}
