//! Events that the dispatch desk takes and commands that it gives.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use pw_base::prelude::*;
use pw_log::prelude::*;
use pw_team::prelude::*;
use pw_worker::prelude::*;
use strum::{AsRefStr, Display};

/// A task as its caller submitted it; the payload stays with the front end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskRequest {
    /// Identity of the task.
    pub id: TaskId,
    /// Queue that it was submitted to.
    pub queue: QueueId,
    /// Digest of the key that came with it.
    pub key: Option<KeyDigest>,
    /// Latest time for the answer, where the caller set one.
    pub deadline: Option<Instant>,
}

/// What happened outside the desk.
#[derive(Debug, Clone)]
pub enum DispatchEvent {
    /// The platform's log was read.
    LogRead(LogReading),
    /// The platform's instance list was read.
    InstancesListed(Vec<InstanceEntry>),
    /// A caller submitted a task.
    TaskSubmitted(TaskRequest),
    /// A caller no longer waits for its task.
    TaskAbandoned(TaskId),
    /// A started task has ended.
    TaskEnded {
        /// Identity of the task.
        task: TaskId,
        /// How it ended.
        report: RunReport,
    },
    /// Time has passed.
    TimePassed,
}

/// How a started task ended, as far as its entry instance knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RunReport {
    /// The whole answer is there.
    Answered,
    /// The backend server certainly did not run it.
    NotRun,
    /// The backend server may have run it.
    Unknown,
}

/// What the desk wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DispatchCommand {
    /// Start a task on a backend server.
    StartTask(TaskStart),
    /// Tell the caller how its task ended.
    CloseTask {
        /// Identity of the task.
        task: TaskId,
        /// How it ended.
        verdict: TaskVerdict,
    },
}

/// Start of a task on a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskStart {
    /// Identity of the task.
    pub task: TaskId,
    /// Worker that runs it.
    pub worker: WorkerId,
    /// Address of the worker's backend server.
    pub address: SocketAddr,
    /// Longest time that it may run; the lease covers it.
    pub run_timeout: Duration,
}

/// How a task ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskVerdict {
    /// The caller gets the whole answer.
    Answered,
    /// The caller gets a refusal.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// Whether the task ran.
        certainty: RunCertainty,
    },
}

/// Whether a refused task ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, AsRefStr)]
#[strum(serialize_all = "snake_case")]
pub enum RunCertainty {
    /// It certainly did not run.
    NotRun,
    /// It may have run.
    Unknown,
    /// It ran, but its answer is lost.
    Ran,
}

/// Why a task was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, AsRefStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RefusalReason {
    /// No configuration is in force yet.
    NotReady,
    /// The queue does not exist.
    UnknownQueue,
    /// The key is missing, unknown or withdrawn.
    KeyRejected,
    /// Too many tasks wait.
    Overloaded,
    /// The deadline passed before the task could start.
    DeadlinePassed,
    /// The backend server failed.
    BackendFailed,
    /// The entry instance is shutting down.
    ShuttingDown,
}
