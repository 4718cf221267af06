//! Requests that carry an idempotency key: each runs once, and its answer is kept for a while.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use pw_base::prelude::*;

use crate::message::{RefusalReason, RunCertainty, TaskOutcome};

/// Digest of everything in a request that must be the same when it is repeated.
pub type RequestDigest = [u8; 32];

/// Bounds of an [`IdempotencyTable`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IdempotencySettings {
    /// How long the end of a task is kept.
    pub retention: Duration,
    /// Requests that are known at the same time.
    pub max_requests: usize,
    /// Bytes of answers that are kept at the same time.
    pub max_answer_bytes: usize,
}

/// Knows the requests that carry an idempotency key.
///
/// A request whose task certainly did not run is forgotten, so that it can be sent again.
#[derive(Debug, Default)]
pub struct IdempotencyTable {
    settings: IdempotencySettings,
    requests: IndexMap<RequestKey, KnownRequest>,
    running: IndexMap<TaskId, RequestKey>,
    closed: VecDeque<(Instant, RequestKey)>,
    answer_bytes: usize,
}

/// Idempotency key within its account.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RequestKey {
    /// Account whose key came with the request; `None` for a caller without one.
    pub account: Option<AccountId>,
    /// Idempotency key as the caller sent it.
    pub key: Arc<str>,
}

/// The end of a task that is kept.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClosedTask {
    /// Identity of the task.
    pub task: TaskId,
    /// How it ended.
    pub outcome: TaskOutcome,
    /// The whole answer; empty for a refusal.
    pub answer: Vec<u8>,
}

/// What is to be done with a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum IdempotencyDecision {
    /// It is new: submit its task.
    Submit,
    /// Its task is open: wait for the end of that one.
    Join(TaskId),
    /// Its task has ended: this is the end.
    Replay(ClosedTask),
    /// It is refused; nothing runs for it.
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
    /// Creates a book that knows no request.
    pub fn new(settings: IdempotencySettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Judges a request that would be submitted as `task`.
    pub fn register(
        &mut self,
        now: Instant,
        key: RequestKey,
        digest: RequestDigest,
        task: TaskId,
    ) -> IdempotencyDecision {
        self.forget_expired(now);
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

    /// Returns whether a request with an idempotency key waits for `task`.
    pub fn is_open(&self, task: TaskId) -> bool {
        self.running.contains_key(&task)
    }

    /// Notes the end of a task.
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

    fn forget_expired(&mut self, now: Instant) {
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
