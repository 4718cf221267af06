//! Reasons why tasks wait.

use indexmap::IndexMap;
use pw_base::prelude::*;
use pw_place::prelude::*;
use pw_pool::prelude::*;

use super::TaskScheduler;
use crate::admission::AdmittedTask;
use crate::backlog::WaitReason;
use crate::pool_scheduler::PoolScheduler;
use crate::task::{OpenTask, TaskPhase};

impl TaskScheduler {
    /// Returns why a task has not started; `None` if it is running or not open.
    pub fn explain(&self, id: TaskId) -> Option<WaitReason> {
        let task = self.tasks.get(id)?;
        match task.phase {
            TaskPhase::Running(_) => None,
            TaskPhase::BackingOff => Some(WaitReason::Retry),
            TaskPhase::Waiting => Some(self.explain_waiting(task)),
        }
    }

    /// Returns the number of tasks that are not running, by reason.
    pub fn explain_all(&self) -> IndexMap<WaitReason, usize> {
        let mut reasons = IndexMap::new();
        for (id, _) in self.tasks.not_running() {
            if let Some(reason) = self.explain(id) {
                *reasons.entry(reason).or_default() += 1;
            }
        }
        reasons
    }

    pub(super) fn explain_waiting(&self, task: &OpenTask) -> WaitReason {
        let AdmittedTask { queue, account } = &task.admitted;
        let pool = self.pools.get(&queue.pool);
        if let Some(reason) = pool.and_then(|pool| pool.backlog.held(account)) {
            return reason;
        }
        if pool.is_some_and(PoolScheduler::is_yielding) {
            return WaitReason::Share;
        }
        match self.workers.roster(&queue.pool) {
            Some(roster) if roster.slots() > 0 && roster.open(SlotTier::Known).count() == 0 => {
                WaitReason::Slots
            }
            Some(roster) if roster.slots() > 0 && queue.kind == QueueKind::Deferred => {
                WaitReason::Reserve
            }
            Some(roster) if roster.slots() > 0 => WaitReason::Turn,
            _ => WaitReason::Zone,
        }
    }
}
