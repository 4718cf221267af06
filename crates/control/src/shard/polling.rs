//! Polling of workers: renews their leases and reconciles their runs with the placements.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use pw_base::prelude::*;
use pw_job::prelude::*;

use super::{ShardController, reserved_size};
use crate::message::{CallFault, FinishedRun, PaceOrder, PollOrder, PollReport, ShardCommand};
use crate::pace::next_pace;
use crate::run::{RunPhase, RunRecord};
use crate::worker::{ClockReading, LifeEnd, WorkerEntry, WorkerPhase, WorkerRecord};

impl ShardController {
    /// Applies a new list of workers; a worker that is missing from it gets no more starts.
    pub(super) fn update_workers(
        &mut self,
        entries: Vec<WorkerEntry>,
        lives: &IndexMap<MachineId, LifeStart>,
        now: Instant,
    ) {
        for (_, worker) in self.workers.iter_mut() {
            worker.listed = false;
        }
        let mut ended = Vec::new();
        let settings = &self.settings;
        let longest_lease = settings.longest_lease.div_f64(1.0 - settings.clock_drift);
        for entry in entries {
            match self.workers.get_mut(&entry.id) {
                Some(worker) => {
                    let known_life = worker.known_life();
                    worker.update_entry(entry);
                    if worker.life.is_none() && worker.known_life() > known_life {
                        // The life that has just appeared may have executed a late order.
                        let lease_end = now + longest_lease;
                        worker.inherited_lease_end = worker.inherited_lease_end.max(lease_end);
                        // Unlike the former life, which may have left a poll in flight, it answers.
                        worker.poll_in_flight = false;
                        worker.poll_due = now;
                    }
                    if !worker.has_later_listed_life() {
                        worker.announced_drain |= worker.entry.phase == WorkerPhase::Draining;
                    }
                }
                None => {
                    let id = entry.id.clone();
                    let ended_lives = self.ended_lives;
                    let record = || WorkerRecord::new(entry, ended_lives, now);
                    self.workers.get_or_insert_with(&id, record);
                }
            }
        }
        for (id, worker) in self.workers.iter_mut() {
            let machine = worker.entry.machine.as_ref();
            let later = machine.and_then(|machine| lives.get(machine));
            let own = worker.life.unwrap_or(worker.entry.life);
            worker.is_replaced =
                !worker.listed && !worker.runs.is_empty() && later.is_some_and(|life| *life > own);
            if worker.is_replaced || worker.has_later_listed_life() {
                // The worker itself tells, unless it is silent.
                worker.poll_due = now;
                ended.extend(worker.listed_end().map(|end| (id.clone(), end)));
            }
        }
        for (id, cause) in ended {
            self.end_worker_life(&id, cause, now);
        }
        self.placement_needed = true;
    }

    /// Sends the polls that are due.
    pub(super) fn send_polls(&mut self, now: Instant) {
        self.refresh_workers();
        let settings = &self.settings;
        let confirmed = self.is_confirmed(now);
        let lease = self.longest_grant(now);
        let moving = self.is_moving_long_running(now);
        for id in self.workers.due_polls(now) {
            let Some(worker) = self.workers.get_mut(&id) else {
                continue;
            };
            // The lease of an unreachable worker is not renewed, so that it expires in time.
            let renewable = confirmed && worker.missed_polls == 0 && worker.synced;
            let lease_until = if renewable {
                worker.renew(now, lease, settings.clock_drift)
            } else {
                None
            };
            // A run under suspicion is to be confirmed soon, and so is each start in a pool where
            // workers crash.
            let urgent = worker.counts.solo > 0
                || self.crashes.is_watched(&worker.entry.pool, now) && worker.has_suspects();
            let has_starts = worker.has_runs() || worker.late_start_until.is_some();
            let waits = worker.synced && worker.missed_polls == 0 && has_starts && !urgent;
            // The next task moves once this one is ready. Readiness does not end a worker's wait,
            // so the wait is short.
            // Nothing ends a wait for a stopped run that never started.
            let stopping = worker.is_stopping();
            let wait = if stopping || moving && worker.is_starting_long_running() {
                settings.poll_gap
            } else if lease < 2 * settings.poll_wait {
                // The ownership has not been confirmed for seconds. Once it is, the next poll has
                // to renew the lease in time.
                settings.poll_wait / 4
            } else {
                settings.poll_wait
            };
            let heard_at = worker.clock_reading.map_or(now, |reading| reading.at);
            worker.poll_in_flight = true;
            self.commands.push(ShardCommand::Poll(PollOrder {
                worker: id,
                address: worker.entry.address,
                life: worker.life,
                epoch: self.epoch,
                fence: worker.fence(self.epoch),
                acknowledged: worker.stored_end,
                acknowledge_by: heard_at + settings.max_acknowledgement_age,
                lease_until,
                wait: if waits { wait } else { Duration::ZERO },
                sent_at: now,
            }));
        }
    }

    pub(super) fn handle_poll(
        &mut self,
        order: &PollOrder,
        result: Result<PollReport, CallFault>,
        answered_at: Instant,
        now: Instant,
    ) {
        let Some(worker) = self.workers.get_mut(&order.worker) else {
            return;
        };
        // A solo start sends a poll while an earlier one is held, whose result may come later.
        if worker.answered_poll.is_some_and(|at| order.sent_at < at) {
            return;
        }
        worker.answered_poll = Some(order.sent_at);
        worker.poll_in_flight = false;
        worker.poll_due = now + self.settings.poll_gap;
        worker.late_start_until = worker.late_start_until.filter(|until| now < *until);
        match result {
            Ok(report) => self.apply_report(order, report, answered_at, now),
            // The worker has seen a poll that was sent later.
            Err(CallFault::Fenced) if order.fence < worker.fence(self.epoch) => {}
            Err(CallFault::Fenced) => self.check_ownership(now),
            Err(CallFault::OtherLife) if !worker.is_addressed(order.address, order.life) => {}
            // Without a known life or runs, there is no life to end.
            Err(CallFault::OtherLife) if worker.life.is_some() || worker.has_runs() => {
                self.end_worker_life(&order.worker, LifeEnd::AddressReused, now);
            }
            Err(fault) => {
                worker.missed_polls += 1;
                if worker.was_heard_until(order.sent_at) {
                    worker.lost_since.get_or_insert(now);
                }
                worker.silent_at = Some(order.sent_at);
                let doubled = self.settings.poll_retry * (1 << (worker.missed_polls - 1).min(4));
                worker.poll_due = now + doubled.min(self.settings.poll_retry_max);
                // One more poll once the lease has expired, before the runs count as lost.
                let lease_end = worker.latest_lease_end(self.settings.clock_drift);
                if order.sent_at < lease_end {
                    worker.poll_due = worker.poll_due.min(lease_end.max(now));
                }
                let misses = worker.missed_polls;
                let listed_end = worker.listed_end();
                // A lost worker is polled for seconds; logging only at powers of two keeps the
                // number of lines low.
                if misses.is_power_of_two() {
                    let event = EventCode::WorkerSilent.number();
                    let worker = &*order.worker;
                    tracing::warn!(event, worker, %fault, misses, "worker not heard");
                }
                if let Some(end) = listed_end {
                    self.end_worker_life(&order.worker, end, now);
                }
            }
        }
    }

    fn apply_report(
        &mut self,
        order: &PollOrder,
        report: PollReport,
        answered_at: Instant,
        now: Instant,
    ) {
        let Some(worker) = self.workers.get_mut(&order.worker) else {
            return;
        };
        let other_life = worker.life.is_some_and(|life| life != report.life);
        if other_life {
            self.end_worker_life(&order.worker, LifeEnd::Reported, now);
        }
        let Some(worker) = self.workers.get_mut(&order.worker) else {
            return;
        };
        if other_life && order.life.is_some() {
            // The acknowledgement in the poll was meant for the previous life.
            worker.acknowledged_end = 0;
        } else {
            worker.acknowledged_end = worker.acknowledged_end.max(order.acknowledged);
        }
        // A worker that becomes available may accept waiting tasks.
        self.placement_needed |= !worker.synced || worker.missed_polls > 0;
        let is_later_life = worker.life.is_none() && worker.ended_life.is_some();
        worker.life = Some(report.life);
        worker.missed_polls = 0;
        worker.lost_since = None;
        if !worker.synced {
            worker.synced = true;
            worker.poll_due = now;
            let lease = if is_later_life {
                // This life may have executed an order that was meant for an earlier one.
                self.settings.longest_lease
            } else {
                // An earlier owner may have renewed the lease just before this answer.
                self.settings.lease
            };
            let lease = lease.as_millis() as WorkerMillis;
            worker.lease_granted_until = report.clock.saturating_add(lease);
        }
        worker.clock_reading = Some(ClockReading {
            clock: report.clock,
            at: answered_at,
        });
        worker.bound_clock(report.clock, order.sent_at);
        self.apply_run_ends(order, &report, now);
        self.reconcile_runs(order, &report, now);
        self.adjust_paces(&order.worker, now);
    }

    /// Applies the run ends that are new.
    ///
    /// An end counts whether or not the lease expired before its acknowledgement: the worker reports
    /// it until then, and an owner that lacks processor time learns of it late.
    fn apply_run_ends(&mut self, order: &PollOrder, report: &PollReport, now: Instant) {
        let (id, acknowledged) = (&order.worker, order.acknowledged);
        for end in &report.finished {
            let Some(worker) = self.workers.get_mut(id) else {
                return;
            };
            if end.number <= worker.applied_end {
                continue;
            }
            worker.applied_end = end.number;
            let known = worker
                .runs
                .get(&end.task)
                .is_some_and(|run| run.run == end.run);
            if known {
                self.set_started(&end.task);
                let checkpoint = end.checkpoint.clone();
                self.end_run(id, &end.task, end.run, end.end, checkpoint, now);
            } else {
                let applied = match end.end {
                    RunEnd::Done => self.complete_lost(&end.task, end.run, now),
                    RunEnd::Failed => self.fail_lost(&end.task, end.run, now),
                    _ => false,
                };
                if !applied {
                    log_discarded_end(id, end, (report.clock, acknowledged));
                }
            }
            // The end is acknowledged to the worker only after a later append is stored.
            self.store_queue.mark_changed(&end.task.job);
        }
    }

    fn set_started(&mut self, task: &TaskName) {
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.state.started = true;
        }
    }

    /// Reconciles the runs that the worker reports with those that were placed there.
    fn reconcile_runs(&mut self, order: &PollOrder, report: &PollReport, now: Instant) {
        let max_attempts = self.settings.max_start_attempts;
        self.confirm_survivals(&order.worker, report);
        for active in &report.running {
            self.reconcile_active_run(&order.worker, active, now);
        }
        let listed = report.listed_runs();
        let Some(worker) = self.workers.get_mut(&order.worker) else {
            return;
        };
        let mut lost = Vec::new();
        let mut retries = Vec::new();
        for (task, run) in &mut worker.runs {
            let sent_after = order.sent_at >= run.since;
            if listed.is_active(task, run.run) {
                continue;
            }
            match run.phase {
                // A start may be repeated in any case: a worker rejects that of a run that has ended.
                _ if !listed.is_gone(task, run.run) && run.phase != RunPhase::Unanswered => {}
                RunPhase::Inherited => lost.push((task.clone(), run.run, RunEnd::Lost)),
                RunPhase::Running if sent_after => {
                    lost.push((task.clone(), run.run, RunEnd::Lost));
                }
                RunPhase::Unanswered if sent_after && run.start_attempts < max_attempts => {
                    retries.push(task.clone());
                }
                RunPhase::Stopping => {
                    let acknowledged = run.stop_acknowledged;
                    if acknowledged.is_some_and(|at| order.sent_at >= at) {
                        lost.push((task.clone(), run.run, RunEnd::Stopped));
                    }
                }
                _ => {}
            }
        }
        for (task, run, end) in lost {
            self.end_run(&order.worker, &task, run, end, None, now);
        }
        for task in retries {
            self.repeat_start(&order.worker, &task, now);
        }
    }

    fn reconcile_active_run(
        &mut self,
        id: &WorkerId,
        active: &crate::message::ActiveRun,
        now: Instant,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let job = self.jobs.get(&active.task.job);
        let job_over = job.is_none_or(|job| job.is_over());
        match worker.runs.get_mut(&active.task) {
            Some(run) if run.run == active.run => {
                run.reported = true;
                run.load = active.load;
                run.percent = active.percent;
                match run.phase {
                    RunPhase::Stopping => {
                        // The stop was lost, or is still in progress.
                        if run
                            .stop_acknowledged
                            .is_some_and(|at| now > at + Duration::from_secs(2))
                        {
                            run.stop_acknowledged = None;
                        }
                    }
                    _ if job_over => run.phase = RunPhase::Stopping,
                    RunPhase::Running => {}
                    _ => {
                        run.phase = RunPhase::Running;
                        run.since = now;
                    }
                }
                self.save_checkpoint(active);
                self.record_observed_start(&active.task);
            }
            Some(_) => {}
            None => {
                // No placement matches this run: it is tracked and stopped until it has ended.
                let steps = job.map(|job| &job.submission.spec.steps);
                let step = steps.and_then(|steps| steps.get(active.task.step as usize));
                // A run of an unknown job may take all resources of the worker.
                let size = step.map_or(worker.entry.capacity, reserved_size);
                let orphan = RunRecord::orphan(active.run, size, now);
                worker.add_run(active.task.clone(), orphan);
                let event = EventCode::StrayRun.number();
                let (task, run) = (&active.task, active.run);
                tracing::warn!(event, %task, run, worker = &**id, "stopping an unexpected run");
            }
        }
    }

    fn record_observed_start(&mut self, task: &TaskName) {
        if let Some(job) = self.jobs.get_mut(&task.job)
            && !job.state.started
        {
            job.state.started = true;
            self.store_queue.mark_changed(&task.job);
        }
    }

    fn save_checkpoint(&mut self, active: &crate::message::ActiveRun) {
        let Some(checkpoint) = &active.checkpoint else {
            return;
        };
        let task = &active.task;
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let position = (task.occurrence, task.step, task.index);
        let spec = &job.submission.spec;
        job.state.save_checkpoint(spec, position, checkpoint);
    }

    /// Adjusts the pace of best-effort tasks to the tail latency of the serving tasks beside them.
    fn adjust_paces(&mut self, id: &WorkerId, now: Instant) {
        let settle = self.settings.pace_settle;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let latency_ratio = |run: &RunRecord| {
            let tail = Duration::from_millis(run.load?);
            let target = run.target_latency?;
            Some((
                tail.as_secs_f64() / target.as_secs_f64().max(f64::EPSILON),
                tail,
                target,
            ))
        };
        let tails = worker.runs.values().filter_map(latency_ratio);
        let Some((_, tail, target)) = tails.max_by(|a, b| a.0.total_cmp(&b.0)) else {
            return;
        };
        let Some(life) = worker.life else {
            return;
        };
        let (address, fence) = (worker.entry.address, worker.fence(self.epoch));
        let best_effort_runs = worker.runs.iter_mut().filter(|(_, run)| {
            let settled = run.paced_at.is_none_or(|at| now >= at + settle);
            run.best_effort && run.phase == RunPhase::Running && settled
        });
        for (task, run) in best_effort_runs {
            let pace = next_pace(run.pace, tail, target);
            if pace == run.pace {
                continue;
            }
            run.pace = pace;
            run.paced_at = Some(now);
            let event = EventCode::RunPaced.number();
            let tail_ms = tail.as_millis() as u64;
            tracing::info!(event, %task, worker = &**id, pace, tail_ms, "pace of a run changed");
            self.commands.push(ShardCommand::Pace(PaceOrder {
                worker: id.clone(),
                address,
                life,
                task: task.clone(),
                run: run.run,
                percent: pace,
                epoch: self.epoch,
                fence,
            }));
        }
    }
}

/// Logs the end of a run that is not placed on the worker.
fn log_discarded_end(
    worker: &WorkerId,
    end: &FinishedRun,
    (clock, acknowledged): (WorkerMillis, EndNumber),
) {
    let event = EventCode::EndDiscarded.number();
    let (worker, task, run, number) = (&**worker, &end.task, end.run, end.number);
    let end = end.end;
    tracing::warn!(
        event, %task, run, worker, %end, number, clock, acknowledged, "run end discarded"
    );
}
