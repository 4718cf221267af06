//! Tickets for queues whose steps may run only on the workers that an advice service names.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use pw_base::prelude::*;
use pw_job::prelude::*;

use super::{ShardController, reserved_size};
use crate::message::{AdviceOrder, AdviceReport, CallFault, ShardCommand, StartOrder};

/// Maximum number of workers in one request. The answer takes longer with each worker, and the
/// objective of a step allows for one request of about this size.
const MAX_WORKERS_PER_REQUEST: usize = 30;
/// Tickets are not used within this time before their expiry, because a start has to be stored and
/// sent.
const TICKET_MARGIN: Duration = Duration::from_millis(300);
/// Longest time for which a ticket is kept; a longer validity is cut to it.
const MAX_VALIDITY: Duration = Duration::from_secs(24 * 3600);
/// Pause after a failed request.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// A step whose workers need tickets.
pub(super) type StepKey = (JobId, OccurrenceNumber, u32);

/// Cached answers of the advice service for one step.
#[derive(Debug, Default)]
pub(super) struct StepAdvice {
    /// Tickets by worker, each with the worker's life and the ticket's expiry.
    tickets: IndexMap<WorkerId, (std::sync::Arc<str>, LifeStart, Instant)>,
    /// Workers that may not run the step; a denial is permanent.
    denied: IndexSet<WorkerId>,
    in_flight: bool,
    /// Earliest time of the next request.
    retry_at: Option<Instant>,
}

impl ShardController {
    /// Returns whether the steps of a job need tickets: its queue says so, or a worker that refused a
    /// start. The configuration may no longer have the queue.
    pub(super) fn needs_ticket(&self, job: &JobId) -> bool {
        self.jobs.get(job).is_some_and(|job| {
            let rule = self.config.queues.get(&job.submission.queue);
            job.ticket_refused || rule.is_some_and(|rule| rule.advice.is_some())
        })
    }

    /// Handles the refusal of a start whose ticket is missing or no longer valid.
    pub(super) fn handle_ticket_refusal(&mut self, order: &StartOrder) {
        self.drop_ticket(&order.task, &order.worker);
        if order.ticket.is_none()
            && let Some(job) = self.jobs.get_mut(&order.task.job)
        {
            job.ticket_refused = true;
        }
    }

    /// Returns a valid ticket for a step on a worker.
    pub(super) fn ticket(
        &self,
        step: &StepKey,
        worker: &WorkerId,
        now: Instant,
    ) -> Option<std::sync::Arc<str>> {
        let life = self.workers.get(worker)?.life?;
        let (ticket, own, end) = self.advice.get(step)?.tickets.get(worker)?;
        let valid = *own == life && now + TICKET_MARGIN < *end;
        valid.then(|| ticket.clone())
    }

    /// Requests tickets for a step that found no worker, unless a request is in flight or paused.
    pub(super) fn request_advice(&mut self, key: &StepKey, spec: &StepSpec, now: Instant) {
        let Some(pool) = self.jobs.get(&key.0).map(|job| job.submission.pool.clone()) else {
            return;
        };
        let size = reserved_size(spec);
        let known = self.advice.get(key);
        let blocked = known
            .is_some_and(|advice| advice.in_flight || advice.retry_at.is_some_and(|at| now < at));
        if blocked {
            return;
        }
        let candidates = self.workers.values().filter(|worker| {
            let id = &worker.entry.id;
            let denied = known.is_some_and(|advice| advice.denied.contains(id));
            worker.entry.pool == pool
                && worker.accepts_starts(now)
                && worker.has_room(&size, now)
                && !denied
                && self.ticket(key, id, now).is_none()
        });
        let candidates = candidates.map(|worker| worker.entry.id.clone());
        let workers: Vec<WorkerId> = candidates.take(MAX_WORKERS_PER_REQUEST).collect();
        if workers.is_empty() {
            return;
        }
        self.advice.entry(key.clone()).or_default().in_flight = true;
        let (job, occurrence, step) = key.clone();
        self.commands.push(ShardCommand::Advise(AdviceOrder {
            job,
            occurrence,
            step,
            workers,
        }));
    }

    pub(super) fn handle_advice(
        &mut self,
        order: &AdviceOrder,
        result: Result<AdviceReport, CallFault>,
        now: Instant,
    ) {
        let key = (order.job.clone(), order.occurrence, order.step);
        let lives: HashMap<&WorkerId, LifeStart> = self
            .workers
            .iter()
            .filter_map(|(id, worker)| Some((id, worker.life?)))
            .collect();
        let Some(advice) = self.advice.get_mut(&key) else {
            return;
        };
        advice.in_flight = false;
        match result {
            Ok(report) => {
                // The missing ticket may be that of any worker.
                let is_partial = report.malformed_ticket.is_some();
                advice.retry_at = is_partial.then(|| now + RETRY_PAUSE);
                // The validity starts no earlier than when the service issued the ticket.
                let end = now + report.validity.min(MAX_VALIDITY);
                for worker in &order.workers {
                    let ticket = report.tickets.get(worker);
                    match (ticket, lives.get(worker)) {
                        (Some(ticket), Some(life)) => {
                            let ticket = (ticket.clone(), *life, end);
                            advice.tickets.insert(worker.clone(), ticket);
                        }
                        (None, _) if !is_partial => {
                            advice.denied.insert(worker.clone());
                        }
                        _ => {}
                    }
                }
            }
            Err(fault) => {
                advice.retry_at = Some(now + RETRY_PAUSE);
                // Another worker may start the task without a ticket.
                if let Some(job) = self.jobs.get_mut(&order.job) {
                    job.ticket_refused = false;
                }
                let event = EventCode::AdviceMissing.number();
                tracing::warn!(
                    event,
                    job = &*order.job,
                    step = order.step,
                    %fault,
                    "advice request failed"
                );
            }
        }
        self.placement_needed = true;
    }

    fn drop_ticket(&mut self, task: &TaskName, worker: &WorkerId) {
        let key = (task.job.clone(), task.occurrence, task.step);
        if let Some(advice) = self.advice.get_mut(&key) {
            advice.tickets.swap_remove(worker);
        }
    }

    /// Removes the advice for jobs that are over.
    pub(super) fn prune_advice(&mut self) {
        let jobs = &self.jobs;
        let is_active = |job: &JobId| jobs.get(job).is_some_and(|job| !job.is_over());
        self.advice.retain(|(job, _, _), _| is_active(job));
    }

    /// Returns the times at which paused requests may be sent.
    pub(super) fn advice_retry_times(&self) -> impl Iterator<Item = Instant> + '_ {
        self.advice.values().filter_map(|advice| advice.retry_at)
    }
}
