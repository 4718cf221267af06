//! Ends of runs, of worker lives and of leases.

use std::sync::Arc;
use std::time::{Duration, Instant};

use pw_base::prelude::*;
use pw_job::prelude::*;

use super::ShardController;

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
        metrics::counter!("pw_run_ends_total", "end" => end.to_string()).increment(1);
        let event = EventCode::RunEnded.number();
        tracing::info!(event, %task, run, worker = &**worker, %end, "run ended");
        if let Some(state) = job.state.task_mut(task.occurrence, task.step, task.index) {
            if checkpoint.is_some() {
                state.checkpoint = checkpoint;
            }
            if end == RunEnd::Failed {
                let doubled = FAILURE_PAUSE * (1 << state.failures.min(5));
                let pause_end = now + doubled.min(FAILURE_PAUSE_MAX);
                job.retry_after.insert(position, pause_end);
                self.pause_ends.insert(pause_end);
            }
        }
        let gang = spec.steps[task.step as usize].gang;
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

    /// Ends or stops the other members of a gang after one of them ended.
    fn propagate_gang_end(&mut self, task: &TaskName, run: RunNumber, end: RunEnd, now: Instant) {
        let mut others = Vec::new();
        for (id, worker) in self.workers.iter() {
            let members = worker.runs.iter().filter(|(name, record)| {
                let same_step = name.occurrence == task.occurrence && name.step == task.step;
                name.job == task.job && same_step && record.run == run
            });
            others.extend(members.map(|(name, _)| (id.clone(), name.clone())));
        }
        for (id, name) in others {
            if end == RunEnd::Done {
                self.end_run(&id, &name, run, RunEnd::Done, None, now);
            } else if let Some(worker) = self.workers.get_mut(&id)
                && let Some(record) = worker.runs.get_mut(&name)
            {
                record.phase = crate::worker::RunPhase::Stopping;
            }
        }
    }

    /// Resets a worker whose life has ended and ends its runs as lost.
    pub(super) fn end_worker_life(&mut self, id: &WorkerId, now: Instant) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.synced = false;
        worker.life = None;
        worker.clock_reading = None;
        worker.lease_granted_until = 0;
        worker.applied_end = 0;
        worker.stored_end = 0;
        worker.acknowledged_end = 0;
        // The address is polled again later, in case it still belongs to this worker.
        worker.poll_due = now + self.settings.poll_retry_max;
        let event = EventCode::WorkerLifeEnded.number();
        let runs = worker.runs.len();
        tracing::warn!(event, worker = &**id, runs, "life of a worker ended");
        self.end_runs_as_lost(id, now);
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
    pub(super) fn expire_leases(&mut self, now: Instant) {
        let drift = self.settings.clock_drift;
        let unreachable = self.workers.iter().filter(|(_, worker)| {
            let unreachable = worker.missed_polls > 0 || !worker.listed && !worker.synced;
            unreachable && !worker.runs.is_empty() && now >= worker.latest_lease_end(drift)
        });
        let unreachable: Vec<WorkerId> = unreachable.map(|(id, _)| id.clone()).collect();
        for id in unreachable {
            let event = EventCode::WorkerLapsed.number();
            tracing::warn!(
                event,
                worker = &*id,
                "leases on an unreachable worker expired"
            );
            self.end_runs_as_lost(&id, now);
        }
        // An unlisted worker without runs needs no further tracking.
        let gone = |worker: &crate::worker::WorkerRecord| !worker.listed && worker.runs.is_empty();
        self.workers.retain(|worker| !gone(worker));
    }
}
