//! Application of log records: configurations, pool assignments and permits.

use std::time::Instant;

use pw_account::prelude::*;
use pw_base::prelude::*;
use pw_fleet::prelude::*;
use pw_log::prelude::*;
use pw_place::prelude::*;
use pw_pool::prelude::*;

use super::TaskScheduler;
use crate::admission::{AdmissionRules, AdmittedTask};
use crate::message::{DispatchCommand, RefusalReason};
use crate::pool_scheduler::PoolScheduler;

impl TaskScheduler {
    pub(super) fn read_log(
        &mut self,
        now: Instant,
        reading: &LogReading,
        commands: &mut Vec<DispatchCommand>,
    ) {
        let since = self.fold.state().next_offset;
        self.fold.apply_reading(reading);
        let fresh_at = self.fold.freshness(reading);
        let (permits, members) = (self.fold.permits(), self.fold.members());
        self.gate.observe(now, fresh_at, permits, members);
        let state = self.fold.state();
        let is_new = self.revision < state.revision;
        if let Some(spec) = state.spec.clone()
            && is_new
        {
            self.revision = state.revision;
            self.apply_fleet(now, &spec, commands);
        }
        let is_whole = is_new || reading.image.is_some();
        self.update_assignments(now, if is_whole { 0 } else { since });
        // A fresh reading may make permits available even if it contains no records.
        self.release_permit_holds();
    }

    /// Updates the pool assignments of the workers that changed at or after the offset `since`.
    pub(super) fn update_assignments(&mut self, now: Instant, since: LogOffset) {
        let pools = self.fold.pools();
        let changed = pools
            .instances()
            .filter(|instance| instance.changed >= since);
        for instance in changed {
            let assignment = PoolAssignment {
                pool: instance.pool.clone(),
                may_start: pools.may_start(&instance.worker),
            };
            if self.workers.assign(now, &instance.worker, assignment) {
                self.dirty_pools.insert(instance.pool.clone());
            }
        }
    }

    pub(super) fn apply_fleet(
        &mut self,
        now: Instant,
        spec: &FleetSpec,
        commands: &mut Vec<DispatchCommand>,
    ) {
        self.rules = AdmissionRules::new(spec);
        self.gate.set_accounts(&spec.accounts);
        self.workers.set_fleet(now, spec);
        let accounts = spec.accounts.iter();
        self.shares = accounts
            .map(|account| (account.id.clone(), account.share))
            .collect();
        let shares = &self.shares;
        for (id, pool) in &mut self.pools {
            let weights = shares.iter().map(|(account, share)| (account, *share));
            pool.shares.set_shares(weights);
            pool.has_interactive_queue = has_interactive_queue(spec, id);
        }
        for pool in &spec.pools {
            if !self.pools.contains_key(&pool.id) {
                let mut tracker = ShareTracker::new(self.settings.share.clone());
                tracker.set_shares(shares.iter().map(|(account, share)| (account, *share)));
                let mut scheduler = PoolScheduler::new(tracker);
                scheduler.has_interactive_queue = has_interactive_queue(spec, &pool.id);
                self.pools.insert(pool.id.clone(), scheduler);
            }
        }
        self.readmit(now, commands);
        self.mark_all_dirty();
    }

    /// Applies the current admission rules to all tasks that are not running.
    pub(super) fn readmit(&mut self, now: Instant, commands: &mut Vec<DispatchCommand>) {
        let changed: Vec<(TaskId, Result<AdmittedTask, RefusalReason>)> = self
            .tasks
            .not_running()
            .map(|(id, task)| (id, self.rules.admit(&task.request), &task.admitted))
            .filter(|(_, admitted, current)| {
                !matches!(admitted, Ok(new) if new.account == current.account && new.queue == current.queue)
            })
            .map(|(id, admitted, _)| (id, admitted))
            .collect();
        for (id, admitted) in changed {
            match admitted {
                Err(reason) => self.close_waiting(now, id, reason, commands),
                Ok(admitted) => self.move_waiting(now, id, admitted),
            }
        }
    }

    /// Moves a task that is not running to another account, queue or pool.
    pub(super) fn move_waiting(&mut self, now: Instant, id: TaskId, admitted: AdmittedTask) {
        let is_backing_off = !self.tasks.is_waiting(id);
        let Some(mut task) = self.remove_waiting(now, id) else {
            return;
        };
        task.admitted = admitted;
        self.tasks.insert(task);
        if is_backing_off {
            self.tasks.back_off(id);
        } else {
            self.enqueue(now, id, false);
        }
    }
}

fn has_interactive_queue(spec: &FleetSpec, pool: &PoolId) -> bool {
    let queues = spec.queues.iter();
    queues
        .filter(|queue| queue.pool == *pool)
        .any(|queue| queue.kind == QueueKind::Interactive)
}
