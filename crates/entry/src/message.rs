//! Messages exchanged between duties.

use std::sync::Arc;
use std::time::Instant;

use indexmap::IndexMap;
use pw_account::prelude::*;
use pw_base::prelude::*;
use pw_dispatch::prelude::*;
use pw_link::prelude::*;
use pw_member::prelude::*;
use pw_ring::prelude::*;
use serde::Serialize;
use strum::Display;

use crate::member_duty::MemberMessage;

/// Input of the dispatch duty.
#[derive(Debug)]
pub enum DispatchMessage {
    /// A caller submitted a task.
    Submit(TaskSubmission),
    /// A caller disconnected before its task ended.
    Abandon(TaskId),
    /// A caller requested the cancellation of tasks.
    Cancel(CancelRequest),
    /// A run ended.
    RunEnded {
        /// Id of the task.
        task: TaskId,
        /// Result of the run, with its answer.
        result: RunResult,
    },
    /// An event that is passed unchanged to the scheduler.
    Event(DispatchEvent),
    /// Send the current status to the given ring.
    ReadStatus(RingSender<DispatchStatus>),
}

/// A submitted task with its payload and reply ring.
#[derive(Debug)]
pub struct TaskSubmission {
    /// Request that the scheduler decides about.
    pub request: TaskRequest,
    /// Payload that is sent to the backend server.
    pub payload: Arc<[u8]>,
    /// Idempotency key, if the caller sent one.
    pub idempotency: Option<IdempotencyKey>,
    /// Ring for the reply.
    pub reply: RingSender<TaskReply>,
}

/// Idempotency key with a digest that identifies the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IdempotencyKey {
    /// Text of the key as sent by the caller.
    pub text: Arc<str>,
    /// Digest of the queue and the payload; a repeated request must have the same.
    pub digest: RequestDigest,
}

/// Request to cancel tasks.
#[derive(Debug)]
pub struct CancelRequest {
    /// Ids of the tasks.
    pub tasks: Vec<TaskId>,
    /// Digest of the API key in the request.
    pub key: Option<KeyDigest>,
    /// Ring for the outcomes, in the order of the tasks.
    pub reply: RingSender<Vec<CancelOutcome>>,
}

/// Outcome of a request to cancel one task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum CancelOutcome {
    /// The task is being stopped; the reply to its submitter says whether it ran.
    Cancelled,
    /// No open task of the caller's account has this id on this entry instance.
    Unknown,
}

/// Input of the backends duty.
#[derive(Debug)]
pub enum BackendMessage {
    /// Start a run.
    Start(RunStart),
    /// Stop a task; the end of its run is still reported.
    Stop(TaskId),
    /// Leases of class [`WhileFresh`](pw_worker::lease::LeaseClass::WhileFresh) may be acquired and
    /// renewed until the given time.
    ReadingFresh {
        /// End of the validity of the last log read, which starts when the read was requested.
        until: Instant,
    },
    /// Acquire leases as another holder from now on.
    HolderChanged(HolderId),
    /// Request a worker to fence a retired holder; only a success is reported.
    FenceHolder {
        /// Backend server of the worker.
        backend: BackendAddress,
        /// The retired holder.
        holder: MemberKey,
        /// Ring for the report.
        reply: RingSender<MemberMessage>,
    },
}

/// Result of a run, with the answer if there is one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunResult {
    /// How the run ended.
    pub report: RunReport,
    /// The complete answer; empty unless the report is [`RunReport::Answered`].
    pub answer: Vec<u8>,
}

/// Reply to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskReply {
    /// Id of the task; for a repeated request, that of the first one.
    pub task: TaskId,
    /// Outcome of the task.
    pub outcome: TaskOutcome,
    /// The complete answer; empty for a refusal.
    pub answer: Vec<u8>,
}

/// Status of the dispatch duty.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct DispatchStatus {
    /// Revision of the current configuration; 0 if there is none yet.
    pub revision: FleetRevision,
    /// Number of waiting and running tasks.
    pub open_tasks: usize,
    /// Number of waiting tasks by the reason why they wait.
    pub waiting: IndexMap<WaitReason, usize>,
}

impl RunResult {
    /// Creates the result of a run with a complete answer.
    pub fn answered(answer: Vec<u8>) -> Self {
        Self {
            report: RunReport::Answered,
            answer,
        }
    }
}

impl From<RunReport> for RunResult {
    /// Creates a result without an answer.
    fn from(report: RunReport) -> Self {
        Self {
            report,
            answer: Vec::new(),
        }
    }
}
