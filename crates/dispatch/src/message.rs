//! Events that the task scheduler takes and commands that it gives.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use pw_account::prelude::*;
use pw_base::prelude::*;
use pw_contract::prelude::*;
use pw_log::prelude::*;
use pw_worker::prelude::*;
use serde::{Deserialize, Serialize};
use strum::{AsRefStr, Display, EnumIter};

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
    /// Resources that the caller declares; all zero when it declares none.
    pub size: ResourceSize,
}

/// What happened outside the scheduler.
#[derive(Debug, Clone)]
pub enum DispatchEvent {
    /// The platform's log was read.
    LogRead(LogReading),
    /// The platform's instance list was read.
    InstancesListed(Vec<InstanceEntry>),
    /// Workers reported their load.
    UsageReported(Vec<WorkerUsage>),
    /// A peer reported the service that its accounts have had.
    SharesReported(ShareReport),
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
    /// The entry instance shuts down and takes no more tasks.
    ShutdownBegan,
    /// Time has passed.
    TimePassed,
}

/// Service that one entry instance has given, pool by pool, for its peers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ShareReport {
    /// Entry instance that reports.
    pub entry: EntryId,
    /// Pools for which tasks wait.
    pub pools: Vec<PoolService>,
}

/// Service that one entry instance has given on one pool.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PoolService {
    /// Pool that gave the service.
    pub pool: PoolId,
    /// Service by account.
    pub accounts: Vec<AccountShare>,
}

/// Service that one account has had from one pool through one entry instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AccountShare {
    /// Account; `None` for the callers of open queues without a key.
    pub account: ShareAccount,
    /// Decayed slot-seconds.
    pub served: f64,
    /// Decayed slot-seconds that count although they were not served.
    pub raised: f64,
    /// Tasks that run.
    pub running: u32,
    /// Tasks that wait and could use a slot.
    pub waiting: u32,
}

/// How a started task ended, as far as its entry instance knows; it can't run any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RunReport {
    /// The whole answer is there.
    Answered,
    /// The backend server had no free slot and certainly did not run it.
    Busy,
    /// The backend server failed and certainly did not run it.
    NotRun,
    /// The backend server ran it, and there is no whole answer.
    Failed,
    /// The backend server may have run it.
    Unknown,
}

/// What the scheduler wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum DispatchCommand {
    /// Append a proposal about permits to the log.
    Propose(PermitProposal),
    /// Start a task on a backend server.
    StartTask(TaskStart),
    /// Stop a started task; its end is reported as always.
    StopTask(TaskId),
    /// Tell the caller how its task ended.
    CloseTask {
        /// Identity of the task.
        task: TaskId,
        /// How it ended.
        outcome: TaskOutcome,
    },
    /// Tell the peers what service the accounts have had.
    ReportShares(ShareReport),
    /// Write down something that operators want to know.
    Notify(DispatchNotice),
}

/// Something that operators want to know.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DispatchNotice {
    /// A worker failed too often and gets no tasks for a while.
    WorkerEjected(WorkerId),
    /// A task failed as often as it may and was given up.
    TaskGivenUp(TaskId),
    /// A retry was refused to keep an outage from growing.
    RetryRefused(TaskId),
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
    /// Kind of the permit that it runs on; `None` for a queue that is open to all.
    pub permit: Option<PermitKind>,
}

/// How a task ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskOutcome {
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
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, AsRefStr, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum RefusalReason {
    /// No configuration is in force yet.
    NotReady,
    /// The queue does not exist.
    UnknownQueue,
    /// The key is missing, unknown or withdrawn.
    KeyRejected,
    /// Too many tasks wait, or the task could not start before its deadline.
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
    /// Another request with this identity is open.
    TaskKnown,
    /// The idempotency key came before with another request.
    RequestMismatch,
    /// The idempotency key came before, and the answer of its task was too large to keep.
    AnswerNotKept,
}
