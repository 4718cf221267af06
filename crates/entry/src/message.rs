//! Messages in the rings between duties.

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

/// Message to the dispatch duty.
#[derive(Debug)]
pub enum DispatchMessage {
    /// A caller submitted a task.
    Submit(TaskSubmission),
    /// A caller has gone before the end of its task.
    Abandon(TaskId),
    /// A caller wants tasks cancelled.
    Cancel(CancelRequest),
    /// A run has ended.
    RunEnded {
        /// Identity of the task.
        task: TaskId,
        /// How it ended, with its answer.
        result: RunResult,
    },
    /// An event that concerns no payload.
    Event(DispatchEvent),
    /// The admin duty wants the status.
    ReadStatus(RingSender<DispatchStatus>),
}

/// A task with all that its end needs.
#[derive(Debug)]
pub struct TaskSubmission {
    /// What the decision needs.
    pub request: TaskRequest,
    /// What the backend server needs.
    pub payload: Arc<[u8]>,
    /// Idempotency key, when the caller sent one.
    pub idempotency: Option<IdempotencyKey>,
    /// Takes the reply.
    pub reply: RingSender<TaskReply>,
}

/// Idempotency key with what the request must repeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IdempotencyKey {
    /// Key as the caller sent it.
    pub text: Arc<str>,
    /// Digest of queue and payload.
    pub digest: RequestDigest,
}

/// Tasks that a caller wants cancelled.
#[derive(Debug)]
pub struct CancelRequest {
    /// Identities of the tasks.
    pub tasks: Vec<TaskId>,
    /// Digest of the key that came with the order.
    pub key: Option<KeyDigest>,
    /// Takes the outcomes, in the order of the tasks.
    pub reply: RingSender<Vec<CancelOutcome>>,
}

/// What became of a task that was to be cancelled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum CancelOutcome {
    /// It has been told to stop; its submitter hears whether it ran.
    Cancelled,
    /// No open task of the caller's account has this identity here.
    Unknown,
}

/// Message to the backends duty.
#[derive(Debug)]
pub enum BackendMessage {
    /// Run a task.
    Start(RunStart),
    /// Stop a task; its run then ends as every other one.
    Stop(TaskId),
    /// Leases for fresh readings may be taken and renewed until the given time.
    ReadingFresh {
        /// End of the validity of the last read of the log, counted from when it was sent.
        until: Instant,
    },
    /// Take leases under another name from now on.
    HolderChanged(HolderId),
    /// Ask a worker to fence a retired holder; only a worker that has done so is reported.
    FenceHolder {
        /// Backend server of the worker.
        backend: BackendAddress,
        /// The retired holder.
        holder: MemberKey,
        /// Takes the report.
        reply: RingSender<MemberMessage>,
    },
}

/// How a run ended, with the whole answer when there is one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunResult {
    /// How it ended.
    pub report: RunReport,
    /// The whole answer; empty unless the report says answered.
    pub answer: Vec<u8>,
}

/// Reply to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskReply {
    /// Identity of the task; that of an earlier request when this one repeated it.
    pub task: TaskId,
    /// How the task ended.
    pub outcome: TaskOutcome,
    /// The whole answer; empty for a refusal.
    pub answer: Vec<u8>,
}

/// Status of the dispatch duty.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct DispatchStatus {
    /// Revision of the configuration in force; 0 before the first one.
    pub revision: FleetRevision,
    /// Tasks that wait or run.
    pub open_tasks: usize,
    /// Tasks that wait, by the reason why they do not start.
    pub waiting: IndexMap<WaitReason, usize>,
}

impl RunResult {
    /// Returns the result of a run with a whole answer.
    pub fn answered(answer: Vec<u8>) -> Self {
        Self {
            report: RunReport::Answered,
            answer,
        }
    }
}

impl From<RunReport> for RunResult {
    /// Returns a result without an answer.
    fn from(report: RunReport) -> Self {
        Self {
            report,
            answer: Vec::new(),
        }
    }
}
