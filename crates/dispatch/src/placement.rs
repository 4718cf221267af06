//! Starts of waiting tasks on workers.

use std::time::Instant;

use pw_account::prelude::*;
use pw_base::prelude::*;
use pw_contract::prelude::*;
use pw_place::prelude::*;
use pw_pool::prelude::*;
use pw_worker::prelude::*;

use crate::admission::AdmittedTask;
use crate::backlog::WaitReason;
use crate::history::QueueHistory;
use crate::message::{DispatchCommand, RefusalReason, TaskRequest, TaskStart};
use crate::scheduler::TaskScheduler;
use crate::task::TaskRun;

/// Fraction of the average run time that has to remain before the deadline; otherwise the task is
/// refused instead of started.
const MIN_RUN_TIME_LEFT: f64 = 0.5;

/// Requirements of a task on the worker that it starts on.
#[derive(Debug, Clone, Copy)]
struct StartRequirements {
    task: TaskId,
    size: ResourceSize,
    tier: SlotTier,
}

/// Worker and permit for the start of a task.
struct StartPlacement {
    worker: WorkerId,
    permit: Option<TaskPermit>,
}

impl TaskScheduler {
    /// Starts waiting tasks in all pools that have changed since the last call.
    pub(crate) fn start_ready(&mut self, now: Instant, commands: &mut Vec<DispatchCommand>) {
        while let Some(pool) = self.dirty_pools.pop() {
            while self.start_next(now, &pool, commands) {}
        }
    }

    /// Starts, refuses or holds the next task of a pool, and returns whether there may be more.
    fn start_next(
        &mut self,
        now: Instant,
        pool: &PoolId,
        commands: &mut Vec<DispatchCommand>,
    ) -> bool {
        let (Some(scheduler), Some(roster)) = (self.pools.get_mut(pool), self.workers.roster(pool))
        else {
            return false;
        };
        if scheduler.backlog.waiting() == 0 || roster.is_closed() {
            return false;
        }
        let tier = if roster.open(SlotTier::Known).count() > 0 {
            SlotTier::Known
        } else {
            SlotTier::Probe
        };
        if tier == SlotTier::Probe && !scheduler.probes.allows(now) {
            let end = scheduler.probes.window_end();
            self.schedule_recheck(pool, end.unwrap_or(now));
            return false;
        }
        let Some((account, task)) =
            scheduler.next(now, &self.tasks, roster, &self.settings.fairness)
        else {
            if scheduler.is_yielding() {
                self.schedule_recheck(pool, now + self.settings.fairness.recheck_interval);
            }
            return false;
        };
        match self.check_start(now, task) {
            Err(reason) => self.close_waiting(now, task, reason, commands),
            Ok(size) => {
                let requirements = StartRequirements { task, size, tier };
                match self.find_placement(now, &requirements, pool, &account) {
                    Ok(placement) => commands.extend(self.start(now, &requirements, placement)),
                    Err(reason) => self.hold(now, pool, &account, reason),
                }
            }
        }
        true
    }

    /// Schedules a recheck of the pool at `at` unless an earlier one is scheduled.
    fn schedule_recheck(&mut self, pool: &PoolId, at: Instant) {
        if let Some(scheduler) = self.pools.get_mut(pool)
            && scheduler.schedule_recheck(at)
        {
            self.pool_rechecks.push(at, pool.clone());
        }
    }

    /// Checks key, queue and deadline again, and returns the expected size of the task.
    fn check_start(&self, now: Instant, id: TaskId) -> Result<ResourceSize, RefusalReason> {
        let task = self.tasks.get(id).ok_or(RefusalReason::Cancelled)?;
        let AdmittedTask { queue, .. } = self.rules.admit(&task.request)?;
        let history = self.histories.get(&queue.id);
        let run_time = history.map_or_else(Default::default, QueueHistory::mean_run_time);
        if task.deadline <= now + run_time.mul_f64(MIN_RUN_TIME_LEFT) {
            return Err(RefusalReason::DeadlinePassed);
        }
        Ok(self.expected_size(&task.request, &queue))
    }

    /// Returns the expected size of a task, based on the usage of earlier tasks of its queue.
    ///
    /// The declared size is used if no worker of the pool is large enough for the estimate.
    pub(crate) fn expected_size(&self, request: &TaskRequest, queue: &QueueSpec) -> ResourceSize {
        let estimated = self
            .histories
            .get(&queue.id)
            .map_or(request.size, |history| history.expected_size(&request.size));
        let roster = self.workers.roster(&queue.pool);
        if roster.is_none_or(|roster| roster.could_run(&estimated)) {
            estimated
        } else {
            request.size
        }
    }

    fn find_placement(
        &mut self,
        now: Instant,
        requirements: &StartRequirements,
        pool: &PoolId,
        account: &ShareAccount,
    ) -> Result<StartPlacement, WaitReason> {
        let worker = self
            .pick(now, requirements, pool, false)
            .ok_or(WaitReason::Resources)?;
        let Some(account) = account else {
            return Ok(StartPlacement {
                worker,
                permit: None,
            });
        };
        if let Some(permit) = self.acquire_permit(now, account, &worker) {
            let permit = Some(permit);
            return Ok(StartPlacement { worker, permit });
        }
        if self.is_in_home_zone(&worker) {
            return Err(WaitReason::Permit);
        }
        let worker = self
            .pick(now, requirements, pool, true)
            .ok_or(WaitReason::RemotePermit)?;
        let permit = self
            .acquire_permit(now, account, &worker)
            .ok_or(WaitReason::Permit)?;
        let permit = Some(permit);
        Ok(StartPlacement { worker, permit })
    }

    fn pick(
        &mut self,
        now: Instant,
        requirements: &StartRequirements,
        pool: &PoolId,
        home_only: bool,
    ) -> Option<WorkerId> {
        let avoid = self
            .tasks
            .get(requirements.task)
            .and_then(|task| task.avoid.as_ref());
        let mut request = PickRequest {
            pool,
            size: requirements.size,
            avoid,
            tier: requirements.tier,
            zone: home_only.then_some(&self.settings.home),
        };
        let worker = self.picker.pick(now, &request, &self.workers);
        if worker.is_none() && avoid.is_some() {
            // Without an alternative, the worker of the last failed attempt is better than none.
            request.avoid = None;
            return self.picker.pick(now, &request, &self.workers);
        }
        worker
    }

    fn acquire_permit(
        &mut self,
        now: Instant,
        account: &AccountId,
        worker: &WorkerId,
    ) -> Option<TaskPermit> {
        let zone = &self.workers.worker(worker)?.spec().zone;
        self.gate.acquire(now, account, zone)
    }

    fn is_in_home_zone(&self, worker: &WorkerId) -> bool {
        let worker = self.workers.worker(worker);
        worker.is_some_and(|worker| worker.spec().zone == self.settings.home)
    }

    fn hold(&mut self, now: Instant, pool: &PoolId, account: &ShareAccount, reason: WaitReason) {
        let is_permit = matches!(reason, WaitReason::Permit | WaitReason::RemotePermit);
        if let Some(account) = account.as_ref().filter(|_| is_permit) {
            let pools = self.permit_waits.entry(account.clone()).or_default();
            pools.insert(pool.clone());
        }
        if let Some(scheduler) = self.pools.get_mut(pool) {
            scheduler.backlog.hold(account, reason);
            scheduler.update_waiting(now, account);
        }
    }

    fn start(
        &mut self,
        now: Instant,
        requirements: &StartRequirements,
        placement: StartPlacement,
    ) -> Option<DispatchCommand> {
        let StartPlacement { worker, permit } = placement;
        let StartRequirements { task: id, size, .. } = *requirements;
        let address = self.workers.worker(&worker)?.address()?;
        let task = self.tasks.get(id)?;
        let AdmittedTask { queue, account } = task.admitted.clone();
        let run_timeout = queue.run_timeout.min(task.deadline - now);
        if task.failures == 0 {
            self.budget.record_first_attempt();
        }
        self.workers.acquire_slot(now, &worker, &size);
        let kind = permit.as_ref().map(|permit| permit.kind);
        let run = TaskRun {
            worker: worker.clone(),
            started: now,
            lease_end: now + run_timeout,
            size,
            permit,
        };
        if let Some(pool) = self.pools.get_mut(&queue.pool) {
            pool.backlog.pop(&account, id);
            if requirements.tier == SlotTier::Probe {
                pool.probes.record_probe(now);
            }
            pool.record_start(now, &account, queue.kind == QueueKind::Deferred);
            pool.update_waiting(now, &account);
        }
        self.tasks.start(id, run);
        self.adjust_demand(now, &account, false);
        Some(DispatchCommand::StartTask(TaskStart {
            task: id,
            worker,
            address,
            run_timeout,
            permit: kind,
        }))
    }
}
