//! Load reports of workers; they may be stale.

use std::time::Instant;

use pw_base::prelude::*;

use crate::resource::ResourceSize;

/// Load of a worker caused by the tasks of all entry instances.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerUsage {
    /// Worker that sent the report.
    pub worker: WorkerId,
    /// Time of the measurement on the reader's clock.
    pub measured: Instant,
    /// Number of running tasks.
    pub running: u32,
    /// Total resources used by its tasks.
    pub used: ResourceSize,
    /// Resources used by single tasks.
    pub tasks: Vec<TaskUsage>,
}

/// Resources used by one task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskUsage {
    /// Identity of the task.
    pub task: TaskId,
    /// Peak usage of the task.
    pub used: ResourceSize,
}
