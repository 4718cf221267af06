//! Answers of the fake workers, store and advice service to the commands of the controller.

use std::time::Duration;

use pw_base::prelude::*;
use pw_control::prelude::*;
use pw_job::prelude::*;

use super::{Answer, ROUND_TRIP, TestCluster};

impl TestCluster {
    pub(super) fn execute(&mut self, epoch: OwnerEpoch, command: ShardCommand) {
        match command {
            ShardCommand::Store { sequence, records } => {
                self.pending_stores.push((epoch, sequence, records));
            }
            ShardCommand::Poll(order) => {
                self.poll_count += 1;
                self.poll(epoch, order);
            }
            ShardCommand::Start(order) => self.start(epoch, order),
            ShardCommand::Stop(order) => self.stop(epoch, order),
            ShardCommand::Pace(order) => {
                if let Some(worker) = self.workers.get_mut(&order.worker) {
                    worker.paces.insert(order.task.clone(), order.percent);
                }
                self.reply(
                    epoch,
                    ROUND_TRIP,
                    ShardEvent::Paced {
                        order,
                        result: Ok(()),
                    },
                );
            }
            ShardCommand::CheckOwnership => self.ownership_checks += 1,
            ShardCommand::Advise(order) => {
                self.advice_requests.push(order.clone());
                let eligible = order
                    .workers
                    .iter()
                    .filter(|id| self.eligible_workers.contains(*id));
                let report = AdviceReport {
                    tickets: eligible.map(|id| (id.clone(), "ticket".into())).collect(),
                    validity: Duration::from_secs(3),
                };
                let result = Ok(report);
                self.reply(epoch, ROUND_TRIP, ShardEvent::Advised { order, result });
            }
        }
    }

    fn reply(&mut self, epoch: OwnerEpoch, after: Duration, event: ShardEvent) {
        let at = self.now + after;
        self.answers.push(Answer { at, epoch, event });
    }

    pub(super) fn deliver(&mut self) {
        if self.store_up {
            for (epoch, sequence, records) in std::mem::take(&mut self.pending_stores) {
                if epoch != self.epoch {
                    continue;
                }
                for record in records {
                    match record {
                        StoreRecord::State(job, bytes) => {
                            let state = decode_state(&bytes).expect("decodable job state");
                            self.images.insert(job, state);
                        }
                        StoreRecord::Remove(job) => {
                            self.images.swap_remove(&job);
                        }
                    }
                }
                self.reply(epoch, ROUND_TRIP, ShardEvent::Stored(sequence));
            }
        }
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.answers)
            .into_iter()
            .partition(|a| a.at <= now);
        self.answers = later;
        for answer in due {
            if answer.epoch == self.epoch {
                self.handle_event(answer.event);
            }
        }
    }

    fn poll(&mut self, epoch: OwnerEpoch, order: PollOrder) {
        let now = self.now;
        let reachable = self.reachable(&order.worker);
        if !reachable {
            let result = Err(CallFault::Unanswered);
            return self.reply(
                epoch,
                order.wait + ROUND_TRIP,
                ShardEvent::Polled { order, result },
            );
        }
        let worker = &mut self.workers[&order.worker];
        if worker.address_reused {
            let result = Err(CallFault::OtherLife);
            return self.reply(epoch, ROUND_TRIP, ShardEvent::Polled { order, result });
        }
        if worker.fence > order.epoch {
            let result = Err(CallFault::Fenced);
            return self.reply(epoch, ROUND_TRIP, ShardEvent::Polled { order, result });
        }
        worker.fence = order.epoch;
        if let Some(until) = order.lease_until {
            worker.extend_lease(until, now);
        }
        if order.acknowledged > worker.acknowledged {
            worker.acknowledged = order.acknowledged;
            for end in &worker.finished {
                let counts = end.number > worker.void_ends && end.number <= order.acknowledged;
                if counts && end.end == RunEnd::Done {
                    self.done.insert(end.task.clone());
                }
            }
            worker
                .finished
                .retain(|end| end.number > order.acknowledged);
        }
        // `advance_workers` fills in the report when the wait is over or a run has ended.
        let report = Ok(PollReport::default());
        let wait = order.wait;
        self.reply(
            epoch,
            wait + ROUND_TRIP,
            ShardEvent::Polled {
                order,
                result: report,
            },
        );
    }

    fn start(&mut self, epoch: OwnerEpoch, order: StartOrder) {
        let now = self.now;
        if !self.reachable(&order.worker) {
            let outcome = StartOutcome::Unanswered;
            return self.reply(epoch, ROUND_TRIP, ShardEvent::Started { order, outcome });
        }
        let run_time = self.run_time;
        let step = self.step_of(&order.task);
        let stored = self.images.get(&order.task.job).and_then(|state| {
            let task = &order.task;
            state.task(task.occurrence, task.step, task.index)
        });
        let stored = stored.is_some_and(|t| t.last_run == order.run && t.placement().is_some());
        assert!(
            stored,
            "{} started before its placement was stored",
            order.task
        );
        assert!(
            !self.done.contains(&order.task),
            "{} started after it was done",
            order.task
        );
        let worker = &mut self.workers[&order.worker];
        self.tickets.push(order.ticket.clone());
        let outcome = worker.handle_start(&order, &step, run_time, now);
        if outcome == StartOutcome::Accepted {
            let starts = self.starts.entry(order.task.clone()).or_default();
            if starts.last().is_none_or(|(_, run, _)| *run != order.run) {
                starts.push((order.worker.clone(), order.run, now));
            }
        }
        let outcome = if self.workers[&order.worker].drops_start_answers {
            StartOutcome::Unanswered
        } else {
            outcome
        };
        self.reply(epoch, ROUND_TRIP, ShardEvent::Started { order, outcome });
    }

    fn stop(&mut self, epoch: OwnerEpoch, order: StopOrder) {
        if !self.reachable(&order.worker) {
            let result = Err(CallFault::Unanswered);
            return self.reply(epoch, ROUND_TRIP, ShardEvent::Stopped { order, result });
        }
        let worker = &mut self.workers[&order.worker];
        worker.fence = worker.fence.max(order.epoch);
        let rejected_runs = worker.rejected_runs.entry(order.task.clone()).or_default();
        *rejected_runs = (*rejected_runs).max(order.run);
        if worker
            .running
            .get(&order.task)
            .is_some_and(|run| run.run == order.run)
        {
            worker.end(&order.task, RunEnd::Stopped);
        }
        self.reply(
            epoch,
            ROUND_TRIP,
            ShardEvent::Stopped {
                order,
                result: Ok(()),
            },
        );
    }

    fn reachable(&self, worker: &WorkerId) -> bool {
        let worker = self.workers.get(worker);
        worker.is_some_and(|worker| !worker.unreachable && !worker.crashed)
    }

    fn step_of(&self, task: &TaskName) -> StepSpec {
        let record = &self.submissions[&task.job];
        record.spec.steps[task.step as usize].clone()
    }

    /// Ends the runs that are due and fills in the poll reports that are due.
    pub(super) fn advance_workers(&mut self) {
        let now = self.now;
        for worker in self.workers.values_mut().filter(|worker| !worker.crashed) {
            let clock = worker.clock(now);
            if worker.lease_until > 0 && clock >= worker.lease_until {
                let names: Vec<_> = worker.running.keys().cloned().collect();
                let has_lapsed_runs = !names.is_empty();
                for name in names {
                    worker.end(&name, RunEnd::LeaseExpired);
                }
                // A lapse on a worker without runs voids no earlier end.
                if has_lapsed_runs {
                    worker.void_ends = worker.next_end - 1;
                }
            }
            let ended = worker.running.iter();
            let ended = ended.filter(|(_, run)| run.ends_at.is_some_and(|until| now >= until));
            let ended: Vec<_> = ended.map(|(name, _)| name.clone()).collect();
            let end = if worker.runs_fail {
                RunEnd::Failed
            } else {
                RunEnd::Done
            };
            for name in ended {
                worker.end(&name, end);
            }
        }
        for answer in &mut self.answers {
            if let ShardEvent::Polled {
                order,
                result: Ok(report),
            } = &mut answer.event
            {
                let worker = self.workers.get(&order.worker);
                if worker.is_some_and(|worker| !worker.finished.is_empty()) {
                    answer.at = answer.at.min(now + ROUND_TRIP);
                }
                if answer.at > now {
                    continue;
                }
                match worker {
                    Some(w) if !w.crashed && !w.unreachable => *report = w.report(now),
                    _ => {
                        let order = order.clone();
                        let result = Err(CallFault::Unanswered);
                        answer.event = ShardEvent::Polled { order, result };
                    }
                }
            }
        }
    }
}
