//! Messages in the rings between duties.

use std::sync::Arc;
use std::time::Instant;

use pw_base::prelude::*;
use pw_dispatch::prelude::*;
use pw_link::prelude::*;
use pw_member::prelude::*;
use pw_ring::prelude::*;
use serde::Serialize;

use crate::member_duty::MemberMessage;

/// Message to the dispatch duty.
#[derive(Debug)]
pub enum DeskMessage {
    /// A caller submitted a task.
    Submit {
        /// What the decision needs.
        request: TaskRequest,
        /// What the backend server needs.
        payload: Arc<[u8]>,
        /// Takes the reply.
        reply: RingSender<TaskReply>,
    },
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
    Report(RingSender<DeskStatus>),
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
    /// How the task ended.
    pub verdict: TaskVerdict,
    /// The whole answer; empty for a refusal.
    pub answer: Vec<u8>,
}

/// Status of the dispatch duty.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct DeskStatus {
    /// Revision of the configuration in force; 0 before the first one.
    pub revision: FleetRevision,
    /// Tasks that wait or run.
    pub open_tasks: usize,
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
