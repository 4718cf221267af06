//! The duty that runs the task scheduler.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Instant;

use pw_base::prelude::*;
use pw_contract::prelude::*;
use pw_dispatch::prelude::*;
use pw_link::prelude::*;
use pw_log::prelude::*;
use pw_member::prelude::*;
use pw_ring::prelude::*;
use pw_worker::prelude::*;

use crate::append_duty::AppendMessage;
use crate::message::{
    BackendMessage, CancelOutcome, CancelRequest, DispatchMessage, DispatchStatus, TaskReply,
    TaskSubmission,
};
use crate::peer_duty::PeerCommand;

/// Maximum number of callers that wait for the same task.
const MAX_WAITERS: usize = 16;

struct OpenTask {
    payload: Arc<[u8]>,
    replies: Vec<RingSender<TaskReply>>,
    answer: Vec<u8>,
}

struct DispatchDuty {
    scheduler: TaskScheduler,
    clock: Arc<dyn ClockSource>,
    open_tasks: HashMap<TaskId, OpenTask>,
    requests: IdempotencyTable,
    backends: RingSender<BackendMessage>,
    peers: RingSender<PeerCommand>,
    appends: RingSender<AppendMessage>,
    /// Member that the backends duty acquires leases for.
    holder: Option<MemberKey>,
    /// Time until which the backends duty may renew leases for float permits.
    fresh_until: Option<Instant>,
}

/// Scheduler of the duty, and rings to other duties.
pub struct DispatchLinks {
    /// Makes the scheduling decisions.
    pub scheduler: TaskScheduler,
    /// Requests with an idempotency key.
    pub requests: IdempotencyTable,
    /// The clock.
    pub clock: Arc<dyn ClockSource>,
    /// Ring to the backends duty.
    pub backends: RingSender<BackendMessage>,
    /// Ring to the peers duty.
    pub peers: RingSender<PeerCommand>,
    /// Ring to the append duty.
    pub appends: RingSender<AppendMessage>,
}

/// Passes messages to the scheduler and executes its commands until all senders are dropped.
pub async fn run(links: DispatchLinks, messages: RingReceiver<DispatchMessage>) {
    let mut duty = DispatchDuty {
        scheduler: links.scheduler,
        clock: links.clock,
        open_tasks: HashMap::new(),
        requests: links.requests,
        backends: links.backends,
        peers: links.peers,
        appends: links.appends,
        holder: None,
        fresh_until: None,
    };
    while let Ok(message) = messages.recv_until(duty.scheduler.next_deadline()).await {
        match message {
            Some(message) => duty.handle_message(message),
            None => duty.handle_event(DispatchEvent::TimePassed),
        }
    }
}

impl DispatchDuty {
    fn handle_message(&mut self, message: DispatchMessage) {
        match message {
            DispatchMessage::Submit(submission) => self.submit(submission),
            DispatchMessage::Abandon(task) => self.abandon(task),
            DispatchMessage::Cancel(request) => self.cancel(&request),
            DispatchMessage::RunEnded { task, result } => {
                if let Some(open) = self.open_tasks.get_mut(&task) {
                    open.answer = result.answer;
                }
                let report = result.report;
                self.handle_event(DispatchEvent::TaskEnded { task, report });
            }
            DispatchMessage::Event(event) => self.handle_event(event),
            DispatchMessage::ReadStatus(reply) => _ = reply.offer(self.status()),
        }
    }

    /// Submits a task, unless its request repeats an earlier one.
    fn submit(&mut self, submission: TaskSubmission) {
        let task = submission.request.id;
        let certainty = RunCertainty::NotRun;
        match self.check_idempotency(&submission) {
            IdempotencyDecision::Submit if self.open_tasks.contains_key(&task) => {
                let reason = RefusalReason::TaskKnown;
                refuse(&submission.reply, task, reason, RunCertainty::Unknown);
            }
            IdempotencyDecision::Submit => self.open_task(submission),
            IdempotencyDecision::Join(first) => self.join(first, &submission.reply),
            IdempotencyDecision::Replay(closed) => {
                // Fails only if the caller has disconnected.
                _ = submission.reply.offer(TaskReply {
                    task: closed.task,
                    outcome: closed.outcome,
                    answer: closed.answer,
                });
            }
            IdempotencyDecision::Refuse(reason) => {
                refuse(&submission.reply, task, reason, certainty);
            }
        }
    }

    fn check_idempotency(&mut self, submission: &TaskSubmission) -> IdempotencyDecision {
        let task = submission.request.id;
        let Some(idempotency) = &submission.idempotency else {
            return IdempotencyDecision::Submit;
        };
        if self.open_tasks.contains_key(&task) {
            return IdempotencyDecision::Submit;
        }
        let api_key = submission.request.key.as_ref();
        let account = api_key.and_then(|key| self.scheduler.account_of(key));
        if api_key.is_some() && account.is_none() {
            // The scheduler refuses the task because its API key is unknown.
            return IdempotencyDecision::Submit;
        }
        let key = RequestKey {
            account,
            key: Arc::clone(&idempotency.text),
        };
        self.requests
            .register(self.clock.now(), key, idempotency.digest, task)
    }

    fn open_task(&mut self, submission: TaskSubmission) {
        let task = OpenTask {
            payload: submission.payload,
            replies: vec![submission.reply],
            answer: Vec::new(),
        };
        self.open_tasks.insert(submission.request.id, task);
        self.handle_event(DispatchEvent::TaskSubmitted(submission.request));
    }

    fn join(&mut self, task: TaskId, reply: &RingSender<TaskReply>) {
        match self.open_tasks.get_mut(&task) {
            Some(open) if open.replies.len() < MAX_WAITERS => open.replies.push(reply.clone()),
            _ => refuse(
                reply,
                task,
                RefusalReason::Overloaded,
                RunCertainty::Unknown,
            ),
        }
    }

    /// Abandons a task, unless a request with its idempotency key may still join it.
    fn abandon(&mut self, task: TaskId) {
        if !self.requests.is_open(task) {
            self.handle_event(DispatchEvent::TaskAbandoned(task));
        }
    }

    fn cancel(&mut self, request: &CancelRequest) {
        let key = request.key.as_ref();
        let outcomes = request.tasks.iter().map(|task| {
            if !self.scheduler.may_cancel(*task, key) {
                return CancelOutcome::Unknown;
            }
            self.handle_event(DispatchEvent::TaskAbandoned(*task));
            CancelOutcome::Cancelled
        });
        let outcomes = outcomes.collect();
        // Fails only if the caller has disconnected.
        _ = request.reply.offer(outcomes);
    }

    fn status(&self) -> DispatchStatus {
        DispatchStatus {
            revision: self.scheduler.revision(),
            open_tasks: self.scheduler.open_tasks(),
            waiting: self.scheduler.explain_all(),
        }
    }

    /// Sends changes of the lease holder and of its freshness to the backends duty.
    ///
    /// They precede the starts that depend on them. A message dropped by a full ring is sent again
    /// with the next event.
    fn send_lease_updates(&mut self) {
        let gate = self.scheduler.permit_gate();
        let holder = gate.member().cloned();
        if let Some(key) = holder.as_ref().filter(|_| holder != self.holder) {
            let message = BackendMessage::HolderChanged(key.to_string().into());
            if self.backends.offer(message).is_ok() {
                self.holder = holder;
            }
        }
        let fresh_until = gate.fresh_until();
        if let Some(until) = fresh_until.filter(|_| fresh_until != self.fresh_until) {
            let message = BackendMessage::ReadingFresh { until };
            if self.backends.offer(message).is_ok() {
                self.fresh_until = fresh_until;
            }
        }
    }

    fn handle_event(&mut self, event: DispatchEvent) {
        let mut commands = VecDeque::from(self.scheduler.handle(self.clock.now(), event));
        self.send_lease_updates();
        while let Some(command) = commands.pop_front() {
            match command {
                DispatchCommand::StartTask(start) => {
                    let task = start.task;
                    if !self.start(start) {
                        let report = RunReport::Busy;
                        let event = DispatchEvent::TaskEnded { task, report };
                        commands.extend(self.scheduler.handle(self.clock.now(), event));
                    }
                }
                DispatchCommand::StopTask(task) => self.stop(task),
                DispatchCommand::CloseTask { task, outcome } => self.close(task, outcome),
                DispatchCommand::Notify(notice) => log_notice(&notice),
                DispatchCommand::Propose(proposal) => self.propose(proposal),
                // A report dropped by a full ring is superseded by the next one.
                DispatchCommand::ReportShares(report) => {
                    _ = self.peers.offer(PeerCommand::ReportShares(report));
                }
            }
        }
    }

    /// Sends the start to the backends duty; returns whether the ring accepted it.
    fn start(&self, start: TaskStart) -> bool {
        let Some(open) = self.open_tasks.get(&start.task) else {
            return false;
        };
        let payload = Arc::clone(&open.payload);
        let class = match start.permit {
            Some(PermitKind::Float) => LeaseClass::WhileFresh,
            Some(PermitKind::Floor) | None => LeaseClass::Always,
        };
        let run = RunStart {
            start,
            class,
            payload,
        };
        self.backends.offer(BackendMessage::Start(run)).is_ok()
    }

    /// Sends a proposal to the append duty; the gate repeats it if it was dropped by a full ring.
    fn propose(&self, proposal: PermitProposal) {
        let proposal = ControlProposal::Permit(proposal);
        _ = self.appends.offer(AppendMessage::Propose(proposal));
    }

    /// Sends a stop to the backends duty; the task runs to its end if a full ring drops it.
    fn stop(&self, task: TaskId) {
        _ = self.backends.offer(BackendMessage::Stop(task));
    }

    fn close(&mut self, task: TaskId, outcome: TaskOutcome) {
        let Some(OpenTask {
            replies, answer, ..
        }) = self.open_tasks.remove(&task)
        else {
            return;
        };
        self.requests
            .close(self.clock.now(), task, outcome, &answer);
        for reply in replies {
            let answer = answer.clone();
            // Fails only if the caller has disconnected.
            _ = reply.offer(TaskReply {
                task,
                outcome,
                answer,
            });
        }
    }
}

fn refuse(
    reply: &RingSender<TaskReply>,
    task: TaskId,
    reason: RefusalReason,
    certainty: RunCertainty,
) {
    // Fails only if the caller has disconnected.
    _ = reply.offer(TaskReply {
        task,
        outcome: TaskOutcome::Refused { reason, certainty },
        answer: Vec::new(),
    });
}

/// Logs a notice of the scheduler.
fn log_notice(notice: &DispatchNotice) {
    match notice {
        DispatchNotice::WorkerEjected(worker) => {
            let event = EventCode::WorkerEjected.number();
            tracing::warn!(event, %worker, "worker temporarily ejected");
        }
        DispatchNotice::TaskGivenUp(task) => {
            let event = EventCode::TaskGivenUp.number();
            tracing::warn!(
                event,
                task = format!("{task:032x}"),
                "task failed too often and is not retried"
            );
        }
        DispatchNotice::RetryRefused(task) => {
            let event = EventCode::RetryRefused.number();
            tracing::warn!(
                event,
                task = format!("{task:032x}"),
                "retry budget exhausted, task is not retried"
            );
        }
    }
}
