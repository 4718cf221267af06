//! Submission of tasks: admission, expected waits and removal.

use std::time::{Duration, Instant};

use pw_base::prelude::*;
use pw_place::prelude::*;
use pw_pool::prelude::*;

use super::{TaskScheduler, WAIT_TOLERANCE, refuse};
use crate::admission::AdmittedTask;
use crate::history::QueueHistory;
use crate::message::{DispatchCommand, RefusalReason, TaskRequest};
use crate::task::{OpenTask, TaskPhase};

impl TaskScheduler {
    pub(super) fn submit(
        &mut self,
        now: Instant,
        request: TaskRequest,
    ) -> Result<(), RefusalReason> {
        let id = request.id;
        if self.tasks.get(id).is_some() {
            return Ok(());
        }
        if self.is_shutting_down {
            return Err(RefusalReason::ShuttingDown);
        }
        if self.revision == 0 {
            return Err(RefusalReason::NotReady);
        }
        let admitted = self.rules.admit(&request)?;
        let latest = now + admitted.queue.deadline;
        let deadline = request
            .deadline
            .map_or(latest, |requested| requested.min(latest));
        self.check_capacity(now, &request, &admitted, deadline)?;
        self.tasks.insert(OpenTask {
            request,
            admitted,
            accepted: now,
            deadline,
            failures: 0,
            is_cancelled: false,
            may_have_run: false,
            avoid: None,
            phase: TaskPhase::Waiting,
        });
        self.deadlines.push(deadline, id);
        let tasks = &self.tasks;
        self.deadlines
            .compact(tasks.waiting(), |id| tasks.is_not_running(*id));
        self.enqueue(now, id, false);
        Ok(())
    }

    /// Checks that there is room for the task and that it is expected to end before its deadline.
    pub(super) fn check_capacity(
        &self,
        now: Instant,
        request: &TaskRequest,
        admitted: &AdmittedTask,
        deadline: Instant,
    ) -> Result<(), RefusalReason> {
        let AdmittedTask { queue, account } = admitted;
        if deadline <= now {
            return Err(RefusalReason::DeadlinePassed);
        }
        let roster = self.workers.roster(&queue.pool);
        let size = self.expected_size(request, queue);
        if roster.is_some_and(|roster| !roster.could_run(&size)) {
            return Err(RefusalReason::Unplaceable);
        }
        let room = self
            .settings
            .max_waiting
            .saturating_sub(self.tasks.waiting());
        let pool = self.pools.get(&queue.pool);
        let waiting = pool.map_or(0, |pool| pool.backlog.waiting_of(account));
        // An account may have at most as many waiting tasks as there are free places, so that no
        // single account fills the backlog.
        if waiting as usize >= room {
            return Err(RefusalReason::Overloaded);
        }
        if queue.kind == QueueKind::Interactive && waiting >= self.settings.min_waiting {
            let history = self.histories.get(&queue.id);
            let run_time = history.map_or(Duration::ZERO, QueueHistory::mean_run_time);
            let slots = roster.map_or(0, PoolRoster::slots);
            let wait = pool.map_or(Duration::ZERO, |pool| {
                pool.expected_wait(account, slots, run_time)
            });
            if wait.div_f64(WAIT_TOLERANCE).saturating_add(run_time) > deadline - now {
                return Err(RefusalReason::Overloaded);
            }
        }
        Ok(())
    }

    /// Removes a task unless it is running.
    pub(super) fn remove_waiting(&mut self, now: Instant, id: TaskId) -> Option<OpenTask> {
        let was_queued = self.tasks.is_waiting(id);
        let task = self.tasks.remove_waiting(id)?;
        let AdmittedTask { queue, account } = &task.admitted;
        if was_queued && let Some(pool) = self.pools.get_mut(&queue.pool) {
            pool.backlog.discard(account, &self.tasks);
            pool.update_waiting(now, account);
            self.adjust_demand(now, account, false);
        }
        Some(task)
    }

    pub(crate) fn close_waiting(
        &mut self,
        now: Instant,
        id: TaskId,
        reason: RefusalReason,
        commands: &mut Vec<DispatchCommand>,
    ) {
        if let Some(task) = self.remove_waiting(now, id) {
            commands.push(refuse(id, reason, task.certainty()));
        }
    }
}
