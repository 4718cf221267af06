//! Tickets: some queues let only some workers run a step, and only a service knows which.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use pw_base::prelude::*;
use pw_job::prelude::*;

use super::{ShardController, reserved_size};
use crate::config::AdviceRule;
use crate::message::{AdviceOrder, AdviceReport, CallFault, ShardCommand};

/// Most workers that one question names. A question takes the longer, the more it names, and a
/// step's objective allows for one of about this size.
const MAX_WORKERS_PER_REQUEST: usize = 30;
/// Time before its end at which a ticket is not used any more: a start has to be stored and sent.
const TICKET_MARGIN: Duration = Duration::from_millis(300);
/// Pause after a question without an answer.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// A step whose workers need tickets.
pub(super) type StepKey = (JobId, OccurrenceNumber, u32);

/// What is known of the workers for one step.
#[derive(Debug, Default)]
pub(super) struct StepAdvice {
    /// Tickets, each with the life of the worker and its end.
    tickets: IndexMap<WorkerId, (std::sync::Arc<str>, LifeStart, Instant)>,
    /// Workers that may not run the step; that never changes.
    denied: IndexSet<WorkerId>,
    in_flight: bool,
    /// No question goes before this time.
    retry_at: Option<Instant>,
}

impl ShardController {
    /// Returns the rule of a queue whose steps need tickets.
    pub(super) fn advice_rule(&self, queue: &str) -> Option<AdviceRule> {
        self.config.queues.get(queue).and_then(|rule| rule.advice)
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

    /// Asks which workers may run a step that found none, unless a question is under way.
    pub(super) fn request_advice(&mut self, key: &StepKey, spec: &StepSpec, now: Instant) {
        let Some(pool) = self.jobs.get(&key.0).map(|job| job.submission.pool.clone()) else {
            return;
        };
        let size = reserved_size(spec);
        let known = self.advice.get(key);
        let pausing = known
            .is_some_and(|advice| advice.in_flight || advice.retry_at.is_some_and(|at| now < at));
        if pausing {
            return;
        }
        let asked = self.workers.values().filter(|worker| {
            let id = &worker.entry.id;
            let denied = known.is_some_and(|advice| advice.denied.contains(id));
            worker.entry.pool == pool
                && worker.accepts_starts(now)
                && size.fits_into(&worker.room())
                && !denied
                && self.ticket(key, id, now).is_none()
        });
        let asked = asked.map(|worker| worker.entry.id.clone());
        let workers: Vec<WorkerId> = asked.take(MAX_WORKERS_PER_REQUEST).collect();
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
                // The ticket counts from when the service made it, at the earliest.
                let end = now + report.valid;
                for worker in &order.workers {
                    let ticket = report.tickets.get(worker);
                    match (ticket, lives.get(worker)) {
                        (Some(ticket), Some(life)) => {
                            let ticket = (ticket.clone(), *life, end);
                            advice.tickets.insert(worker.clone(), ticket);
                        }
                        (None, _) => {
                            advice.denied.insert(worker.clone());
                        }
                        (Some(_), None) => {}
                    }
                }
            }
            Err(fault) => {
                advice.retry_at = Some(now + RETRY_PAUSE);
                let event = EventCode::AdviceMissing.number();
                tracing::warn!(event, job = &*order.job, step = order.step, %fault, "no advice");
            }
        }
        self.placement_needed = true;
    }

    /// Forgets a ticket that a worker did not take.
    pub(super) fn drop_ticket(&mut self, task: &TaskName, worker: &WorkerId) {
        let key = (task.job.clone(), task.occurrence, task.step);
        if let Some(advice) = self.advice.get_mut(&key) {
            advice.tickets.swap_remove(worker);
        }
    }

    /// Forgets the advice on jobs that are over.
    pub(super) fn prune_advice(&mut self) {
        let jobs = &self.jobs;
        let open = |job: &JobId| jobs.get(job).is_some_and(|job| !job.is_over());
        self.advice.retain(|(job, _, _), _| open(job));
    }

    /// Returns when a pause before a question ends.
    pub(super) fn advice_retry_times(&self) -> impl Iterator<Item = Instant> + '_ {
        self.advice.values().filter_map(|advice| advice.retry_at)
    }
}
