//! Answers of the fake workers, store and advice service to the commands of the controller.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use pw_base::prelude::*;
use pw_control::prelude::*;
use pw_job::prelude::*;

use super::{Answer, PendingAppend, ROUND_TRIP, TestCluster};

/// Longest time that a member of a gang waits for the others.
const GANG_WAIT: Duration = Duration::from_secs(3);

impl TestCluster {
    pub(super) fn execute(&mut self, epoch: OwnerEpoch, command: ShardCommand) {
        match command {
            ShardCommand::Store { sequence, records } => {
                self.pending_appends.push(PendingAppend {
                    at: self.now + self.append_time,
                    epoch,
                    sequence,
                    records,
                });
            }
            ShardCommand::CheckOwnership => self.ownership_checks += 1,
            ShardCommand::Advise(order) => {
                self.advice_requests.push(order.clone());
                let readable = !self.malformed_tickets;
                let eligible = order
                    .workers
                    .iter()
                    .filter(|id| readable && self.eligible_workers.contains(*id));
                let report = AdviceReport {
                    tickets: eligible.map(|id| (id.clone(), "ticket".into())).collect(),
                    validity: self.ticket_validity,
                    malformed_ticket: (!readable).then(|| "malformed".to_owned()),
                };
                let result = if self.advice_fails {
                    Err(CallFault::Refused)
                } else {
                    Ok(report)
                };
                let event = ShardEvent::Advised { order, result };
                self.reply(epoch, ROUND_TRIP, None, event);
            }
            ShardCommand::Poll(_) => {
                self.poll_count += 1;
                self.send_order(epoch, command);
            }
            ShardCommand::Start(_) | ShardCommand::Stop(_) | ShardCommand::Pace(_) => {
                self.send_order(epoch, command);
            }
        }
    }

    /// Sends an answer to an owner; that of a poll comes from a life of the worker.
    pub(super) fn reply(
        &mut self,
        epoch: OwnerEpoch,
        after: Duration,
        life: Option<LifeStart>,
        event: ShardEvent,
    ) {
        let at = self.now + after;
        self.answers.push(Answer {
            at,
            epoch,
            life,
            event,
        });
    }

    pub(super) fn deliver(&mut self) {
        let now = self.now;
        if self.store_up {
            let appends = std::mem::take(&mut self.pending_appends);
            let (due, later): (Vec<_>, Vec<_>) = appends.into_iter().partition(|a| a.at <= now);
            self.pending_appends = later;
            for append in due {
                self.apply_append(append);
            }
        }
        let answers = std::mem::take(&mut self.answers);
        let (due, later): (Vec<_>, Vec<_>) = answers.into_iter().partition(|a| a.at <= now);
        self.answers = later;
        for answer in due {
            self.send_event(answer.epoch, answer.event);
        }
    }

    /// Stores an append; one of an earlier owner is rejected and gets no answer.
    fn apply_append(&mut self, append: PendingAppend) {
        if append.epoch != self.epoch {
            return;
        }
        // The store refuses the append each time, and its owner repeats it without end.
        let max_bytes = self.max_record_bytes;
        let is_too_large = |record: &StoreRecord| match record {
            StoreRecord::State(job, bytes) => 1 + job.len() + bytes.len() > max_bytes,
            StoreRecord::Remove(_)
            | StoreRecord::RemoveCancellation(_)
            | StoreRecord::Forward { .. } => false,
        };
        if append.records.iter().any(is_too_large) {
            self.trace(|| "the store refuses an append".to_owned());
            return;
        }
        for record in append.records {
            match record {
                StoreRecord::State(job, bytes) => {
                    let state = decode_state(&bytes).expect("decodable job state");
                    self.images.insert(job, state);
                }
                StoreRecord::RemoveCancellation(job) => self.remove_cancellation(&job),
                StoreRecord::Remove(job) => {
                    self.submissions.swap_remove(&job);
                    self.remove_cancellation(&job);
                    if self.only_submissions_removed {
                        continue;
                    }
                    self.images.swap_remove(&job);
                }
                // The cluster has one shard.
                StoreRecord::Forward { job, .. } => panic!("{job} is forwarded"),
            }
        }
        let event = ShardEvent::Stored(append.sequence);
        self.reply(append.epoch, self.append_answer_time, None, event);
    }

    pub(super) fn apply_poll(&mut self, order: &PollOrder) -> Result<(), CallFault> {
        let now = self.now;
        self.trace(|| {
            let PollOrder {
                worker,
                epoch,
                acknowledged,
                lease_until,
                ..
            } = order;
            let clock = self.workers[worker].clock(now);
            format!(
                "epoch {epoch} polls {worker} at {clock}: acknowledged {acknowledged}, \
                 lease until {lease_until:?}"
            )
        });
        let worker = &mut self.workers[&order.worker];
        if worker.address_reused {
            return Err(CallFault::OtherLife);
        }
        if worker.fence > order.fence {
            return Err(CallFault::Fenced);
        }
        worker.fence = order.fence;
        if let Some(until) = order.lease_until {
            worker.extend_lease(until, now);
        }
        for acknowledged in worker.acknowledge(order.acknowledged) {
            self.record_end(acknowledged);
        }
        Ok(())
    }

    pub(super) fn apply_start(&mut self, order: &StartOrder, sent_at: Instant) -> StartOutcome {
        let now = self.now;
        let run_time = self.run_time;
        let step = self.step_of(&order.task);
        let worker = &mut self.workers[&order.worker];
        self.tickets.push(order.ticket.clone());
        if self.tickets_required && order.ticket.is_none() {
            return StartOutcome::NotAllowed;
        }
        let active = worker.running.len();
        let outcome = worker.handle_start(order, &step, run_time, now);
        self.trace(|| {
            let StartOrder {
                worker, task, run, ..
            } = order;
            let epoch = order.epoch;
            format!("epoch {epoch} starts {task} run {run} on {worker}: {outcome}")
        });
        let worker = &self.workers[&order.worker];
        if worker.running.len() > active {
            self.record_start(order, sent_at);
            self.crash_under(order);
        }
        outcome
    }

    pub(super) fn apply_stop(&mut self, order: &StopOrder) -> Result<(), CallFault> {
        let now = self.now;
        let worker = &mut self.workers[&order.worker];
        if worker.address_reused {
            return Err(CallFault::OtherLife);
        }
        if worker.fence > order.fence {
            return Err(CallFault::Fenced);
        }
        worker.fence = order.fence;
        worker.stop(&order.task, order.run, now);
        Ok(())
    }

    pub(super) fn step_of(&self, task: &TaskName) -> StepSpec {
        let record = &self.submissions[&task.job];
        record.spec.steps[task.step as usize].clone()
    }

    /// Ends the runs that are due and fills in the poll reports that are due.
    pub(super) fn advance_workers(&mut self) {
        let now = self.now;
        let numbers: Vec<_> = self.workers.values().map(|w| w.next_end).collect();
        for worker in self.workers.values_mut().filter(|worker| !worker.crashed) {
            worker.advance(now);
        }
        self.advance_gangs();
        for (worker, number) in self.workers.values().zip(numbers) {
            for end in worker.finished.iter().filter(|end| end.number >= number) {
                let FinishedRun { task, run, end, .. } = end;
                self.trace(|| format!("{} ends {task} run {run}: {end}", worker.entry.id));
            }
        }
        for answer in &mut self.answers {
            if let ShardEvent::Polled {
                order,
                result: Ok(report),
                ..
            } = &mut answer.event
            {
                let worker = self.workers.get(&order.worker);
                // A restart of the worker breaks its connections.
                let restarted = worker.is_some_and(|w| Some(w.entry.life) != answer.life);
                if restarted || worker.is_some_and(|worker| !worker.finished.is_empty()) {
                    answer.at = answer.at.min(now + ROUND_TRIP);
                }
                if answer.at > now {
                    continue;
                }
                match worker {
                    Some(w) if !w.crashed && !w.unreachable && !restarted => {
                        *report = w.report(now);
                    }
                    _ => {
                        let order = order.clone();
                        let result = Err(CallFault::Unanswered);
                        answer.event = polled(order, result, now);
                    }
                }
            }
        }
    }

    /// Lets the complete gangs work, and ends members that wait too long or have lost another. A
    /// failed member breaks its gang.
    fn advance_gangs(&mut self) {
        let now = self.now;
        let run_time = self.run_time;
        let mut gangs: HashMap<(JobId, OccurrenceNumber, u32, RunNumber), (u32, bool)> =
            HashMap::new();
        let key = |name: &TaskName, run| (name.job.clone(), name.occurrence, name.step, run);
        for worker in self.workers.values().filter(|worker| !worker.crashed) {
            for (name, run) in worker.running.iter().filter(|(_, run)| run.gang) {
                let gang = gangs.entry(key(name, run.run)).or_default();
                gang.0 += 1;
                gang.1 |= worker.runs_fail;
            }
        }
        let submissions = &self.submissions;
        for worker in self.workers.values_mut().filter(|worker| !worker.crashed) {
            let mut ended = Vec::new();
            for (name, run) in worker.running.iter_mut().filter(|(_, run)| run.gang) {
                let (members, fails) = gangs[&key(name, run.run)];
                let count = submissions[&name.job].spec.steps[name.step as usize].count;
                let waited = now >= run.started_at + GANG_WAIT;
                let end = match (members == count, run.ends_at.is_some()) {
                    (true, false) => {
                        run.ends_at = Some(now + run_time);
                        None
                    }
                    (true, true) => run.is_due(now).then_some(match (fails, worker.runs_fail) {
                        (false, _) => RunEnd::Done,
                        (true, true) => RunEnd::Failed,
                        (true, false) => RunEnd::GangBroken,
                    }),
                    (false, true) => Some(RunEnd::GangBroken),
                    (false, false) => waited.then_some(RunEnd::GangTimeout),
                };
                ended.extend(end.map(|end| (name.clone(), end)));
            }
            for (name, end) in ended {
                worker.end(&name, end, now);
            }
        }
    }
}

/// Returns the event of an answered poll; the answer's arrival is set when it is delivered.
pub(super) fn polled(
    order: PollOrder,
    result: Result<PollReport, CallFault>,
    now: Instant,
) -> ShardEvent {
    ShardEvent::Polled {
        order,
        result,
        answered_at: now,
    }
}
