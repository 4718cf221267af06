//! Ends of runs, of worker lives and of leases.

use std::sync::Arc;
use std::time::{Duration, Instant};

use pw_base::prelude::*;
use pw_job::prelude::*;

use super::ShardController;
use crate::run::RunPhase;
use crate::worker::LifeEnd;

/// Pause of a task after a failed run, doubled for each run of it that has failed so far.
const FAILURE_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause of a task after a failed run.
const FAILURE_PAUSE_MAX: Duration = Duration::from_secs(1);

impl ShardController {
    /// Applies the end of a run on a worker.
    pub(super) fn end_run(
        &mut self,
        worker: &WorkerId,
        task: &TaskName,
        run: RunNumber,
        end: RunEnd,
        checkpoint: Option<Arc<str>>,
        now: Instant,
    ) {
        let removed = self
            .workers
            .get_mut(worker)
            .and_then(|worker| worker.remove_run(task, run));
        if let Some(removed) = removed
            && let Some(account) = &removed.account
        {
            self.budget.release(account, &removed.size);
        }
        self.placement_needed = true;
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let rule = self.config.queues.get(&job.submission.queue);
        let attempts = rule.map_or(job.submission.terms.attempts, |rule| rule.attempts);
        let position = (task.occurrence, task.step, task.index);
        let spec = &job.submission.spec;
        if !job.state.end_run(spec, position, run, end, Some(attempts)) {
            return;
        }
        if end == RunEnd::Lost {
            job.lost_runs.insert((position, run));
        }
        metrics::counter!("pw_run_ends_total", "end" => end.to_string()).increment(1);
        let event = EventCode::RunEnded.number();
        if end == RunEnd::Done {
            tracing::info!(event, %task, run, worker = &**worker, %end, "run ended");
        } else {
            tracing::warn!(event, %task, run, worker = &**worker, %end, "run ended");
        }
        if let Some(checkpoint) = checkpoint {
            job.state.save_checkpoint(spec, position, &checkpoint);
        }
        if let Some(state) = job.state.task(task.occurrence, task.step, task.index)
            && end == RunEnd::Failed
        {
            let doubled = FAILURE_PAUSE * (1 << state.failures.min(5));
            let pause_end = now + doubled.min(FAILURE_PAUSE_MAX);
            job.retry_after.insert(position, pause_end);
            self.pause_ends.insert(pause_end);
        }
        let step = &spec.steps[task.step as usize];
        if step.long_running {
            self.waits.record_end(task, now);
        }
        let gang = step.gang;
        let failed = job.state.failed;
        self.store_queue.mark_changed(&task.job);
        self.changed_jobs.insert(task.job.clone());
        if gang {
            self.propagate_gang_end(task, run, end, now);
        }
        if failed {
            self.stop_job(&task.job, now);
        }
    }

    /// Completes a task of which a run that counted as lost is done after all, and stops a later run
    /// of it; returns whether the task is now done.
    pub(super) fn complete_lost(&mut self, task: &TaskName, run: RunNumber, now: Instant) -> bool {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return false;
        };
        let position = (task.occurrence, task.step, task.index);
        let spec = &job.submission.spec;
        let gang = spec
            .steps
            .get(task.step as usize)
            .is_some_and(|step| step.gang);
        let completed = job.state.complete_lost(spec, position, run);
        if completed {
            self.store_queue.mark_changed(&task.job);
            self.changed_jobs.insert(task.job.clone());
            self.placement_needed = true;
            let event = EventCode::RunEnded.number();
            tracing::info!(event, %task, run, "a run that counted as lost is done");
            self.stop_later_runs(task, gang, now);
        }
        completed
    }

    /// Counts a run that counted as lost as failed after all; returns whether it was such a run.
    pub(super) fn fail_lost(&mut self, task: &TaskName, run: RunNumber, now: Instant) -> bool {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return false;
        };
        let position = (task.occurrence, task.step, task.index);
        if !job.lost_runs.remove(&(position, run)) {
            return false;
        }
        let rule = self.config.queues.get(&job.submission.queue);
        let attempts = rule.map_or(job.submission.terms.attempts, |rule| rule.attempts);
        let spec = &job.submission.spec;
        if !job.state.fail_lost(spec, position, Some(attempts)) {
            return false;
        }
        let failed = job.state.failed;
        self.store_queue.mark_changed(&task.job);
        self.changed_jobs.insert(task.job.clone());
        if failed {
            self.stop_job(&task.job, now);
        }
        true
    }

    /// Stops the runs of a task that is done already, or of all members of its gang.
    fn stop_later_runs(&mut self, task: &TaskName, gang: bool, now: Instant) {
        let mut runs = self.runs_of_step(task);
        runs.retain(|(_, name, _)| gang || name == task);
        for (id, name, run) in runs {
            let worker = self.workers.get_mut(&id);
            match worker.and_then(|worker| worker.runs.get_mut(&name)) {
                Some(record) if record.phase != RunPhase::Planned => {
                    record.phase = RunPhase::Stopping;
                }
                _ => self.end_run(&id, &name, run, RunEnd::Stopped, None, now),
            }
        }
    }

    /// Returns the placed runs of the tasks in the same step as `task`.
    fn runs_of_step(&self, task: &TaskName) -> Vec<(WorkerId, TaskName, RunNumber)> {
        let mut found = Vec::new();
        for (id, worker) in self.workers.iter() {
            let runs = worker.runs.iter().filter(|(name, _)| {
                let same_step = name.occurrence == task.occurrence && name.step == task.step;
                name.job == task.job && same_step
            });
            found.extend(runs.map(|(name, record)| (id.clone(), name.clone(), record.run)));
        }
        found
    }

    /// Ends or stops the other members of a gang after one of them ended.
    fn propagate_gang_end(&mut self, task: &TaskName, run: RunNumber, end: RunEnd, now: Instant) {
        let mut others = self.runs_of_step(task);
        others.retain(|(_, _, other)| *other == run);
        if end == RunEnd::Done
            && let Some(job) = self.jobs.get_mut(&task.job)
        {
            let position = (task.occurrence, task.step, task.index);
            job.state.complete_lost(&job.submission.spec, position, run);
        }
        for (id, name, _) in others {
            if end == RunEnd::Done {
                self.end_run(&id, &name, run, RunEnd::Done, None, now);
            } else if let Some(worker) = self.workers.get_mut(&id)
                && let Some(record) = worker.runs.get_mut(&name)
            {
                record.phase = RunPhase::Stopping;
            }
        }
    }

    /// Resets a worker whose life has ended and ends its runs as lost, except for those that may
    /// still start on a later life, which are stopped there first.
    pub(super) fn end_worker_life(&mut self, id: &WorkerId, cause: LifeEnd, now: Instant) {
        let lease = match cause {
            // No run was left on the machine. A life that appears later is awaited longer.
            LifeEnd::MachineEnded => self.settings.lease,
            // A later life may have executed an order already, with a lease by its own clock.
            _ => self.settings.longest_lease,
        };
        let lease = lease.div_f64(1.0 - self.settings.clock_drift);
        let crash = self.assess_crash(id, cause, now);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let life = worker.known_life();
        worker.ended_life = worker.ended_life.max(life);
        let life = life.unwrap_or_default();
        worker.synced = false;
        self.ended_lives += 1;
        worker.ended_lives = self.ended_lives;
        worker.life = None;
        worker.clock_reading = None;
        worker.clock_bound = None;
        worker.lease_granted_until = 0;
        worker.applied_end = 0;
        worker.stored_end = 0;
        worker.acknowledged_end = 0;
        worker.inherited_lease_end = worker.inherited_lease_end.max(now + lease);
        worker.silent_at = None;
        worker.announced_drain = false;
        worker.lost_since = None;
        worker.room_refusal = None;
        // The address is polled again later, in case it still belongs to this worker.
        worker.poll_due = match cause {
            LifeEnd::Listed | LifeEnd::Reported => now,
            _ => now + self.settings.poll_retry_max,
        };
        let mut lost = Vec::new();
        worker.clear_suspicions();
        for (name, run) in &mut worker.runs {
            if cause.may_survive(run) {
                run.stop_sent = None;
                run.stop_acknowledged = None;
                run.phase = RunPhase::Stopping;
            } else {
                lost.push((name.clone(), run.run));
            }
        }
        let event = EventCode::WorkerLifeEnded.number();
        let (runs, surviving) = (worker.runs.len(), worker.runs.len() - lost.len());
        tracing::warn!(
            event, worker = &**id, life, %cause, runs, surviving, "life of a worker ended"
        );
        for (name, run) in lost {
            self.end_run(id, &name, run, RunEnd::Lost, None, now);
        }
        if let Some(crash) = crash {
            self.record_crash(&crash, now);
        }
    }

    /// Ends all runs on a worker as lost.
    pub(super) fn end_runs_as_lost(&mut self, id: &WorkerId, now: Instant) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let runs = worker
            .runs
            .iter()
            .map(|(name, run)| (name.clone(), run.run));
        let runs: Vec<_> = runs.collect();
        for (name, run) in runs {
            self.end_run(id, &name, run, RunEnd::Lost, None, now);
        }
    }

    /// Ends the runs on unreachable workers whose last possible lease has expired.
    ///
    /// The lease of a worker that does answer may expire too, if its owner lacks processor time. Its
    /// answer says how its runs ended, so a poll after the expiry has to go unanswered first.
    pub(super) fn expire_leases(&mut self, now: Instant) {
        let drift = self.settings.clock_drift;
        self.refresh_workers();
        let unreachable = self.workers.unreachable().filter(|(_, worker)| {
            let lease_end = worker.latest_lease_end(drift);
            let is_silent = worker.silent_at.is_some_and(|at| at >= lease_end);
            let asked = is_silent || !worker.has_address();
            now >= lease_end && asked
        });
        let unreachable: Vec<WorkerId> = unreachable.map(|(id, _)| id.clone()).collect();
        for id in unreachable {
            let event = EventCode::WorkerLapsed.number();
            let worker = self.workers.get(&id);
            let runs = worker.map_or(0, |worker| worker.runs.len());
            let misses = worker.map_or(0, |worker| worker.missed_polls);
            let inherited = worker.is_none_or(|worker| worker.clock_reading.is_none());
            tracing::warn!(
                event,
                worker = &*id,
                runs,
                misses,
                inherited,
                "leases on an unreachable worker expired"
            );
            self.end_runs_as_lost(&id, now);
        }
        self.refresh_workers();
        self.workers.remove_gone();
    }
}
