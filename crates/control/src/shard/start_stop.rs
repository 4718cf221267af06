//! Starts and stops of runs, and their results.

use std::time::Instant;

use pw_base::prelude::*;
use pw_job::prelude::*;

use super::{ShardController, StartOrder, StopOrder};
use crate::message::{CallFault, ShardCommand, StartOutcome};
use crate::run::RunPhase;
use crate::worker::LifeEnd;

impl ShardController {
    /// Sends the start of a run whose placement is stored.
    pub(super) fn send_start(&mut self, id: &WorkerId, task: &TaskName, now: Instant) {
        let send_by = self.start_deadline();
        if now >= send_by {
            return;
        }
        let (lease, drift) = (self.longest_grant(now), self.settings.clock_drift);
        let step = (task.job.clone(), task.occurrence, task.step);
        let ticket = self.ticket(&step, id, now);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let (Some(life), Some(lease_until)) = (worker.life, worker.renew(now, lease, drift)) else {
            return;
        };
        let (address, fence) = (worker.entry.address, worker.fence(self.epoch));
        let Some(run) = worker.runs.get_mut(task) else {
            return;
        };
        run.phase = RunPhase::Sent;
        run.since = now;
        run.unconfirmed_since = Some(now);
        let (run_number, long_running) = (run.run, run.long_running);
        let checkpoint = run.checkpoint.clone();
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        self.commands.push(ShardCommand::Start(StartOrder {
            worker: id.clone(),
            address,
            life,
            task: task.clone(),
            run: run_number,
            long_running,
            payload: job.submission.spec.payload.clone(),
            checkpoint,
            ticket,
            lease_until,
            epoch: self.epoch,
            fence,
            decided_as_of: self.answers_known_at,
            send_by,
        }));
    }

    /// Sends an unanswered start again, or stops the run if it may no longer start on the worker: the
    /// first request may still be executed.
    pub(super) fn repeat_start(&mut self, id: &WorkerId, task: &TaskName, now: Instant) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        if self.may_start(worker, now) {
            self.send_start(id, task, now);
            return;
        }
        let worker = self.workers.get_mut(id);
        if let Some(run) = worker.and_then(|worker| worker.runs.get_mut(task)) {
            run.phase = RunPhase::Stopping;
        }
    }

    pub(super) fn handle_start(&mut self, order: &StartOrder, outcome: StartOutcome, now: Instant) {
        let settings = self.settings.clone();
        let Some(worker) = self.workers.get_mut(&order.worker) else {
            return;
        };
        let known_life = worker.life;
        let run = worker.runs.get_mut(&order.task);
        let run = run.filter(|run| known_life == Some(order.life) && run.run == order.run);
        let Some(run) = run else {
            log_ignored_start(order, outcome, known_life);
            return;
        };
        let answer_ms = now.saturating_duration_since(run.since).as_millis() as u64;
        log_start(order, outcome, run.start_attempts, answer_ms);
        let stopping = run.phase == RunPhase::Stopping;
        match outcome {
            StartOutcome::Accepted => {
                worker.unhealthy_refusals = 0;
                if !stopping {
                    run.phase = RunPhase::Running;
                    run.since = now;
                }
                let urgent = run.solo || self.crashes.is_watched(&worker.entry.pool, now);
                let due = now + settings.poll_gap;
                if urgent && worker.poll_in_flight {
                    // The worker may hold the poll in flight for longer than the suspicion may last.
                    worker.poll_in_flight = false;
                    worker.poll_due = due;
                }
                worker.poll_due = worker.poll_due.min(due);
                self.record_accepted_start(&order.task);
            }
            StartOutcome::Unanswered => {
                run.start_attempts += 1;
                run.since = now;
                if !stopping {
                    run.phase = if run.start_attempts >= settings.max_start_attempts {
                        RunPhase::Stopping
                    } else {
                        RunPhase::Unanswered
                    };
                }
                worker.poll_due = worker.poll_due.min(now);
                worker.late_start_until = Some(now + settings.late_order_time);
            }
            StartOutcome::Fenced => {
                run.phase = RunPhase::Unanswered;
                run.since = now;
                self.check_ownership(now);
            }
            StartOutcome::Superseded => {
                // The worker rejects the run for good; a poll reports how it ended, if it ran.
                run.phase = RunPhase::Stopping;
                run.stop_sent = Some(now);
                run.stop_acknowledged = Some(now);
                worker.poll_due = worker.poll_due.min(now);
            }
            StartOutcome::OtherLife => {
                // This start was refused.
                if run.start_attempts == 0 {
                    run.unconfirmed_since = None;
                }
                self.end_worker_life(&order.worker, LifeEnd::AddressReused, now);
            }
            StartOutcome::Malformed => {
                self.end_run(
                    &order.worker,
                    &order.task,
                    order.run,
                    RunEnd::Failed,
                    None,
                    now,
                );
            }
            StartOutcome::NoRoom => {
                let size = run.size;
                worker.record_room_refusal(size, settings.room_refusal_ttl, now);
                worker.paused_until = now + settings.capacity_backoff;
                worker.poll_due = worker.poll_due.min(now);
                self.requeue_task(order, now);
            }
            StartOutcome::NotAllowed => {
                self.handle_ticket_refusal(order);
                self.requeue_task(order, now);
            }
            StartOutcome::Unhealthy => {
                let doubled = settings.unhealthy_backoff * (1 << worker.unhealthy_refusals.min(4));
                worker.unhealthy_refusals += 1;
                worker.paused_until = now + doubled.min(settings.unhealthy_backoff_max);
                self.requeue_task(order, now);
            }
            StartOutcome::LeaseOver | StartOutcome::NotSent => {
                worker.paused_until = now + settings.capacity_backoff;
                worker.poll_due = worker.poll_due.min(now);
                self.requeue_task(order, now);
            }
        }
    }

    /// Returns the task of a refused start to the waiting tasks.
    ///
    /// An earlier request of the same start may still be executed if it went unanswered; the worker
    /// rejects it only after a stop of the run.
    fn requeue_task(&mut self, order: &StartOrder, now: Instant) {
        let worker = self.workers.get_mut(&order.worker);
        let run = worker.and_then(|worker| worker.runs.get_mut(&order.task));
        if let Some(run) = run
            && run.start_attempts > 0
        {
            run.phase = RunPhase::Stopping;
            return;
        }
        let end = RunEnd::Stopped;
        self.end_run(&order.worker, &order.task, order.run, end, None, now);
    }

    fn record_accepted_start(&mut self, task: &TaskName) {
        if let Some(job) = self.jobs.get_mut(&task.job)
            && !job.state.started
        {
            job.state.started = true;
            self.store_queue.mark_changed(&task.job);
        }
    }

    /// Sends the stops that are due.
    pub(super) fn send_stops(&mut self, now: Instant) {
        let retry = self.settings.stop_retry;
        self.refresh_workers();
        for id in self.workers.stopping() {
            let Some(worker) = self.workers.get_mut(&id) else {
                continue;
            };
            let Some(life) = worker.life else {
                continue;
            };
            let (address, fence) = (worker.entry.address, worker.fence(self.epoch));
            let stopping = worker.runs.iter_mut().filter(|(_, run)| {
                let due = run.stop_sent.is_none_or(|sent| now >= sent + retry);
                run.phase == RunPhase::Stopping && run.stop_acknowledged.is_none() && due
            });
            for (task, run) in stopping {
                run.stop_sent = Some(now);
                self.commands.push(ShardCommand::Stop(StopOrder {
                    worker: id.clone(),
                    address,
                    life,
                    task: task.clone(),
                    run: run.run,
                    epoch: self.epoch,
                    fence,
                }));
            }
        }
    }

    pub(super) fn handle_stop(
        &mut self,
        order: &StopOrder,
        result: Result<(), CallFault>,
        now: Instant,
    ) {
        let Some(worker) = self.workers.get_mut(&order.worker) else {
            return;
        };
        match result {
            Ok(()) => {
                worker.poll_due = worker.poll_due.min(now);
                if let Some(run) = worker.runs.get_mut(&order.task)
                    && run.run == order.run
                {
                    run.stop_acknowledged = Some(now);
                }
            }
            Err(CallFault::OtherLife) if worker.is_addressed(order.address, Some(order.life)) => {
                self.end_worker_life(&order.worker, LifeEnd::AddressReused, now);
            }
            Err(CallFault::Fenced) if order.fence < worker.fence(self.epoch) => {}
            Err(CallFault::Fenced) => self.check_ownership(now),
            // `send_stops` retries.
            Err(_) => {}
        }
    }
}

/// Logs the answer to a start; `unanswered` earlier requests of the same start may still be
/// executed.
fn log_start(order: &StartOrder, outcome: StartOutcome, unanswered: u32, answer_ms: u64) {
    metrics::counter!("pw_run_starts_total", "outcome" => outcome.to_string()).increment(1);
    let event = EventCode::RunStart.number();
    let (task, run, epoch) = (&order.task, order.run, order.epoch);
    let worker = &*order.worker;
    let life = order.life;
    if outcome == StartOutcome::Accepted {
        tracing::info!(
            event, %task, run, worker, life, epoch, %outcome, unanswered, answer_ms, "start answered"
        );
    } else {
        tracing::warn!(
            event, %task, run, worker, life, epoch, %outcome, unanswered, answer_ms,
            "start not accepted"
        );
    }
}

/// Logs the answer to a start whose run has ended here, or whose worker's life has.
fn log_ignored_start(order: &StartOrder, outcome: StartOutcome, known_life: Option<LifeStart>) {
    let event = EventCode::RunStart.number();
    let (task, run, life) = (&order.task, order.run, order.life);
    let (worker, known_life) = (&*order.worker, known_life.unwrap_or_default());
    tracing::warn!(
        event, %task, run, worker, life, known_life, %outcome, "answer to an ended start ignored"
    );
}
