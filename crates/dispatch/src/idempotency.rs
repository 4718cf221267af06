//! Deduplication of requests by idempotency key: each request runs once, and its answer is cached.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use pw_base::prelude::*;

use crate::message::{RefusalReason, RunCertainty, TaskOutcome};

/// Digest of the parts of a request that must be identical when it is repeated.
pub type RequestDigest = [u8; 32];

/// Limits of an [`IdempotencyTable`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IdempotencySettings {
    /// Time for which the outcome of a task is kept.
    pub retention: Duration,
    /// Maximum number of requests in the table.
    pub max_requests: usize,
    /// Maximum total size of the cached answers, in bytes.
    pub max_answer_bytes: usize,
}

/// Requests that carry an idempotency key, with the outcomes of their tasks.
///
/// A request whose task certainly did not run is removed, so that it can be sent again.
#[derive(Debug, Default)]
pub struct IdempotencyTable {
    settings: IdempotencySettings,
    requests: IndexMap<RequestKey, KnownRequest>,
    running: IndexMap<TaskId, RequestKey>,
    closed: VecDeque<(Instant, RequestKey)>,
    answer_bytes: usize,
}

/// Idempotency key, scoped to an account.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RequestKey {
    /// Account of the caller; `None` for a caller without an API key.
    pub account: Option<AccountId>,
    /// Idempotency key as the caller sent it.
    pub key: Arc<str>,
}

/// Outcome of a completed task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClosedTask {
    /// Id of the task.
    pub task: TaskId,
    /// Outcome of the task.
    pub outcome: TaskOutcome,
    /// Complete answer; empty for a refusal.
    pub answer: Vec<u8>,
}

/// Action to take for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum IdempotencyDecision {
    /// The request is new: submit its task.
    Submit,
    /// The same request is in progress: wait for the outcome of its task.
    Join(TaskId),
    /// The same request has completed: return its outcome.
    Replay(ClosedTask),
    /// Refuse the request without running a task.
    Refuse(RefusalReason),
}

#[derive(Debug)]
struct KnownRequest {
    digest: RequestDigest,
    task: TaskId,
    closed: Option<ClosedTask>,
}

impl Default for IdempotencySettings {
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(600),
            max_requests: 10_000,
            max_answer_bytes: 8 * 1024 * 1024,
        }
    }
}

impl IdempotencyTable {
    /// Creates an empty table.
    pub fn new(settings: IdempotencySettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Registers a request that would be submitted as `task`, and returns how to handle it.
    pub fn register(
        &mut self,
        now: Instant,
        key: RequestKey,
        digest: RequestDigest,
        task: TaskId,
    ) -> IdempotencyDecision {
        self.remove_expired(now);
        if let Some(known) = self.requests.get(&key) {
            return known.decision(digest);
        }
        if self.requests.len() >= self.settings.max_requests {
            return IdempotencyDecision::Refuse(RefusalReason::Overloaded);
        }
        let known = KnownRequest {
            digest,
            task,
            closed: None,
        };
        self.running.insert(task, key.clone());
        self.requests.insert(key, known);
        IdempotencyDecision::Submit
    }

    /// Returns whether `task` is the open task of a request with an idempotency key.
    pub fn is_open(&self, task: TaskId) -> bool {
        self.running.contains_key(&task)
    }

    /// Records the outcome of a task.
    pub fn close(&mut self, now: Instant, task: TaskId, outcome: TaskOutcome, answer: &[u8]) {
        let Some(key) = self.running.swap_remove(&task) else {
            return;
        };
        if is_certainly_not_run(outcome) {
            self.requests.swap_remove(&key);
            return;
        }
        let fits = self.answer_bytes + answer.len() <= self.settings.max_answer_bytes;
        let closed = if fits {
            ClosedTask {
                task,
                outcome,
                answer: answer.to_vec(),
            }
        } else {
            ClosedTask::without_answer(task)
        };
        self.answer_bytes += closed.answer.len();
        if let Some(known) = self.requests.get_mut(&key) {
            known.closed = Some(closed);
        }
        self.closed.push_back((now + self.settings.retention, key));
    }

    fn remove_expired(&mut self, now: Instant) {
        while self.closed.front().is_some_and(|(at, _)| *at <= now) {
            let Some((_, key)) = self.closed.pop_front() else {
                return;
            };
            let known = self.requests.swap_remove(&key);
            let answer = known.and_then(|known| known.closed);
            self.answer_bytes -= answer.map_or(0, |closed| closed.answer.len());
        }
    }
}

impl KnownRequest {
    fn decision(&self, digest: RequestDigest) -> IdempotencyDecision {
        if self.digest != digest {
            return IdempotencyDecision::Refuse(RefusalReason::RequestMismatch);
        }
        match &self.closed {
            Some(closed) => IdempotencyDecision::Replay(closed.clone()),
            None => IdempotencyDecision::Join(self.task),
        }
    }
}

impl ClosedTask {
    fn without_answer(task: TaskId) -> Self {
        Self {
            task,
            outcome: TaskOutcome::Refused {
                reason: RefusalReason::AnswerNotKept,
                certainty: RunCertainty::Ran,
            },
            answer: Vec::new(),
        }
    }
}

fn is_certainly_not_run(outcome: TaskOutcome) -> bool {
    let not_run = RunCertainty::NotRun;
    matches!(outcome, TaskOutcome::Refused { certainty, .. } if certainty == not_run)
}
