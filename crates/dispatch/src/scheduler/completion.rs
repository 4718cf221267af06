//! Completion of runs: release of their resources, and retries.

use std::time::Instant;

use pw_base::prelude::*;
use pw_contract::prelude::*;
use pw_place::prelude::*;
use pw_pool::prelude::*;

use super::{TaskScheduler, refuse};
use crate::admission::AdmittedTask;
use crate::backlog::WaitReason;
use crate::message::{
    DispatchCommand, DispatchNotice, RefusalReason, RunCertainty, RunReport, TaskOutcome,
};
use crate::task::{OpenTask, TaskRun};

impl TaskScheduler {
    pub(super) fn end_run(
        &mut self,
        now: Instant,
        id: TaskId,
        report: RunReport,
        commands: &mut Vec<DispatchCommand>,
    ) {
        let Some((mut task, run)) = self.tasks.finish(id) else {
            return;
        };
        self.release_run(now, id, &task, &run, report, commands);
        task.may_have_run |= matches!(report, RunReport::Failed | RunReport::Unknown);
        match report {
            RunReport::Answered => commands.push(DispatchCommand::CloseTask {
                task: id,
                outcome: TaskOutcome::Answered,
            }),
            RunReport::Busy | RunReport::NotRun if task.is_cancelled => {
                commands.push(refuse(id, RefusalReason::Cancelled, task.certainty()));
            }
            RunReport::Failed if task.is_cancelled => {
                commands.push(refuse(id, RefusalReason::Cancelled, RunCertainty::Ran));
            }
            RunReport::Unknown if task.is_cancelled => {
                commands.push(refuse(id, RefusalReason::Cancelled, RunCertainty::Unknown));
            }
            RunReport::Busy => {
                task.avoid = Some(run.worker);
                self.tasks.insert(task);
                self.enqueue(now, id, true);
            }
            RunReport::Failed if !task.admitted.queue.idempotent => {
                commands.push(refuse(id, RefusalReason::BackendFailed, RunCertainty::Ran));
            }
            RunReport::Unknown if !task.admitted.queue.idempotent => {
                commands.push(refuse(id, RefusalReason::BackendFailed, task.certainty()));
            }
            RunReport::NotRun | RunReport::Failed | RunReport::Unknown => {
                task.avoid = Some(run.worker);
                self.retry(now, task, commands);
            }
        }
    }

    /// Releases the resources of a run, and records its result for the worker and the queue.
    pub(super) fn release_run(
        &mut self,
        now: Instant,
        id: TaskId,
        task: &OpenTask,
        run: &TaskRun,
        report: RunReport,
        commands: &mut Vec<DispatchCommand>,
    ) {
        let AdmittedTask { queue, account } = &task.admitted;
        let run_time = now.saturating_duration_since(run.started);
        let history = self.histories.entry(queue.id.clone()).or_default();
        let outcome = match report {
            RunReport::Answered => SlotOutcome::Done {
                pace: history.pace(run_time),
            },
            RunReport::Busy => SlotOutcome::Busy,
            _ if task.is_cancelled => SlotOutcome::Neutral,
            RunReport::Unknown if now >= run.lease_end => SlotOutcome::Neutral,
            RunReport::NotRun | RunReport::Failed | RunReport::Unknown => SlotOutcome::Failed,
        };
        if report == RunReport::Answered {
            history.record_run(run_time);
        }
        if self
            .workers
            .release_slot(now, &run.worker, &run.size, outcome)
        {
            let notice = DispatchNotice::WorkerEjected(run.worker.clone());
            commands.push(DispatchCommand::Notify(notice));
        }
        if let Some(permit) = run.permit.clone() {
            match report {
                RunReport::Unknown => self.quarantine.add(id, permit, run.lease_end),
                _ => self.release_permit(now, permit),
            }
        }
        let is_deferred = queue.kind == QueueKind::Deferred;
        if let Some(pool) = self.pools.get_mut(&queue.pool) {
            pool.record_end(now, account, is_deferred, report);
            self.dirty_pools.insert(queue.pool.clone());
        }
        self.release_slot_holds(&queue.pool, &run.worker);
    }

    pub(super) fn retry(
        &mut self,
        now: Instant,
        mut task: OpenTask,
        commands: &mut Vec<DispatchCommand>,
    ) {
        let id = task.request.id;
        task.failures += 1;
        let backoff = self.budget.backoff(task.failures, &mut self.random);
        let at = now + backoff;
        let is_exhausted = task.failures >= self.settings.retry.max_failures;
        let notice = if is_exhausted {
            Some(DispatchNotice::TaskGivenUp(id))
        } else if at >= task.deadline {
            None
        } else if !self.budget.try_acquire(now) {
            Some(DispatchNotice::RetryRefused(id))
        } else {
            self.tasks.insert(task);
            self.tasks.back_off(id);
            self.retry_timers.push(at, id);
            return;
        };
        commands.extend(notice.map(DispatchCommand::Notify));
        commands.push(refuse(id, RefusalReason::BackendFailed, task.certainty()));
    }

    pub(super) fn release_permit(&mut self, now: Instant, permit: TaskPermit) {
        let account = permit.account.clone();
        self.gate.release(now, permit);
        for pool in self.permit_waits.swap_remove(&account).unwrap_or_default() {
            if let Some(scheduler) = self.pools.get_mut(&pool) {
                let account = Some(account.clone());
                scheduler.backlog.release(&account, WaitReason::Permit);
                scheduler
                    .backlog
                    .release(&account, WaitReason::RemotePermit);
                scheduler.update_waiting(now, &account);
            }
            self.dirty_pools.insert(pool);
        }
    }
}
