//! Input events and output commands of the task scheduler.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use pw_account::prelude::*;
use pw_base::prelude::*;
use pw_contract::prelude::*;
use pw_log::prelude::*;
use pw_worker::prelude::*;
use serde::{Deserialize, Serialize};
use strum::{AsRefStr, Display, EnumIter};

/// Task as submitted by a caller; the front end keeps the payload.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskRequest {
    /// Id of the task.
    pub id: TaskId,
    /// Queue that the task was submitted to.
    pub queue: QueueId,
    /// Digest of the API key in the request.
    pub key: Option<KeyDigest>,
    /// Deadline for the answer, if the caller set one.
    pub deadline: Option<Instant>,
    /// Declared resource requirements; zero if the caller declared none.
    pub size: ResourceSize,
}

/// Input of the scheduler.
#[derive(Debug, Clone)]
pub enum DispatchEvent {
    /// A read of the platform's log completed.
    LogRead(LogReading),
    /// A read of the platform's instance list completed.
    InstancesListed(Vec<InstanceEntry>),
    /// Workers reported their resource usage.
    UsageReported(Vec<WorkerUsage>),
    /// A peer reported the service that each account received through it.
    SharesReported(ShareReport),
    /// A caller submitted a task.
    TaskSubmitted(TaskRequest),
    /// A caller cancelled its task or disconnected.
    TaskAbandoned(TaskId),
    /// A run ended.
    TaskEnded {
        /// Id of the task.
        task: TaskId,
        /// Result of the run.
        report: RunReport,
    },
    /// The entry instance is shutting down: submitted tasks are refused.
    ShutdownBegan,
    /// A timer of the scheduler expired.
    TimePassed,
}

/// Service that accounts received through one entry instance; sent to its peers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ShareReport {
    /// Entry instance that sends the report.
    pub entry: EntryId,
    /// Pools for which tasks wait at this entry instance or at a peer.
    pub pools: Vec<PoolService>,
}

/// Service that accounts received from one pool through one entry instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PoolService {
    /// Pool that provided the service.
    pub pool: PoolId,
    /// Service by account.
    pub accounts: Vec<AccountShare>,
}

/// Service that one account received from one pool through one entry instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AccountShare {
    /// Account; `None` for callers without a key on open queues.
    pub account: ShareAccount,
    /// Slot-seconds received, with exponential decay.
    pub served: f64,
    /// Slot-seconds charged without service, with exponential decay; idle time earns no credit.
    pub idle_charge: f64,
    /// Number of running tasks.
    pub running: u32,
    /// Number of waiting tasks that could use a slot.
    pub waiting: u32,
}

/// Result of a run as known to the entry instance; the run is over in every case.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RunReport {
    /// The answer was received in full.
    Answered,
    /// The backend server had no free slot and did not run the task.
    Busy,
    /// The attempt failed and the backend server did not run the task.
    NotRun,
    /// The backend server ran the task, but no complete answer was received.
    Failed,
    /// The backend server may have run the task.
    Unknown,
}

/// Output of the scheduler.
#[derive(Debug, Clone, PartialEq)]
pub enum DispatchCommand {
    /// Append a proposal about permits to the log.
    Propose(PermitProposal),
    /// Start a task on a backend server.
    StartTask(TaskStart),
    /// Stop a running task; the end of the run is still reported with [`DispatchEvent::TaskEnded`].
    StopTask(TaskId),
    /// Return the outcome of a task to its caller.
    CloseTask {
        /// Id of the task.
        task: TaskId,
        /// Outcome of the task.
        outcome: TaskOutcome,
    },
    /// Send a report of the accounts' service to the peers.
    ReportShares(ShareReport),
    /// Log a notice for the operators.
    Notify(DispatchNotice),
}

/// Notice for the operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DispatchNotice {
    /// A worker failed too often and temporarily gets no tasks.
    WorkerEjected(WorkerId),
    /// A task reached the maximum number of failures and is not retried.
    TaskGivenUp(TaskId),
    /// The retry budget, which keeps retries from amplifying an outage, is exhausted.
    RetryRefused(TaskId),
}

/// Start of a task on a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskStart {
    /// Id of the task.
    pub task: TaskId,
    /// Worker that runs the task.
    pub worker: WorkerId,
    /// Address of the worker's backend server.
    pub address: SocketAddr,
    /// Maximum duration of the run; the lease covers it.
    pub run_timeout: Duration,
    /// Kind of the permit that the run uses; `None` for a task without an account.
    pub permit: Option<PermitKind>,
}

/// Outcome of a task as returned to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskOutcome {
    /// The caller gets the answer.
    Answered,
    /// The caller gets a refusal.
    Refused {
        /// Reason of the refusal.
        reason: RefusalReason,
        /// Whether the task ran.
        certainty: RunCertainty,
    },
}

/// Whether a refused task ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, AsRefStr)]
#[strum(serialize_all = "snake_case")]
pub enum RunCertainty {
    /// The task did not run.
    NotRun,
    /// The task may have run.
    Unknown,
    /// The task ran, but its answer is lost.
    Ran,
}

/// Reason why a task was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, AsRefStr, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum RefusalReason {
    /// No configuration has been applied yet.
    NotReady,
    /// The queue does not exist.
    UnknownQueue,
    /// The API key is missing, unknown or revoked.
    KeyRejected,
    /// Too many tasks wait, or the task is not expected to end before its deadline.
    Overloaded,
    /// No worker of the pool is large enough for the task.
    Unplaceable,
    /// The caller cancelled the task.
    Cancelled,
    /// The deadline passed before the task could start.
    DeadlinePassed,
    /// The backend server failed.
    BackendFailed,
    /// The entry instance is shutting down.
    ShuttingDown,
    /// Another request with the same task id is open.
    TaskKnown,
    /// The idempotency key was used before with a different request.
    RequestMismatch,
    /// The idempotency key was used before, and the answer was too large to keep.
    AnswerNotKept,
}
