//! Surveys of the machine controller: drains the workers whose machines it needs, ends the lives
//! that ended with their machines, and reports the load of the pools.

use std::time::{Duration, Instant};

use indexmap::IndexSet;
use pw_base::prelude::*;
use pw_job::prelude::*;

use super::ShardController;
use super::room::PoolRoom;
use crate::message::{PoolLoad, SurveyOrder, SurveyReport, UnreachableWorker, WorkerLife};
use crate::run::{READY_PERCENT, RunPhase};
use crate::worker::{LifeEnd, WorkerRecord};

/// How long a worker continues to drain after the last survey that requested it.
const DRAIN_REQUEST_TTL: Duration = Duration::from_secs(2);
/// How long after a takeover a machine may still get an order that relies on a report of the
/// previous owner: the maximum age of a report plus the time to deliver an order.
pub(super) const STALE_ORDER_TIME: Duration = Duration::from_millis(1500);
/// Longest time until an owner's last order reaches its worker.
const ORDER_DELIVERY_TIME: Duration = Duration::from_millis(500);
/// Time for runs on a draining worker to end by themselves before they are stopped.
const DRAIN_GRACE: Duration = Duration::from_secs(4);
/// Maximum number of unavailable tasks of a step that sets no limit.
const DEFAULT_MAX_UNAVAILABLE: u32 = 1;

impl ShardController {
    /// Applies the requests of the machine controller.
    pub(super) fn apply_survey(&mut self, order: &SurveyOrder, now: Instant) {
        self.drain(&order.drain, &order.ordered, now);
        for (_, worker) in self.workers.iter_mut() {
            let machine = worker.entry.machine.as_ref();
            let down = machine.is_some_and(|machine| order.down.contains(machine));
            self.placement_needed |= worker.machine_down && !down;
            worker.machine_down = down;
            if worker.machine_down {
                worker.lost_since.get_or_insert(now);
            } else if worker.missed_polls == 0 {
                worker.lost_since = None;
            }
        }
        for WorkerLife { worker, life } in &order.ended {
            let known = self.workers.get(worker).and_then(WorkerRecord::known_life);
            if known == Some(*life) {
                self.end_worker_life(worker, LifeEnd::MachineEnded, now);
            }
        }
    }

    /// Returns the report for the machine controller.
    pub fn survey_report(&self, now: Instant) -> SurveyReport {
        SurveyReport {
            pools: self.pool_loads(now),
            drained: if self.is_confirmed(now) {
                self.drained_workers(now)
            } else {
                Vec::new()
            },
            unreachable: self.unreachable_workers(),
        }
    }

    /// Returns the unreachable workers that may have runs, with their last known lives.
    ///
    /// A list of machines that is read after this report shows whether such a life has ended, long
    /// before its leases expire.
    fn unreachable_workers(&self) -> Vec<UnreachableWorker> {
        let unreachable = self.workers.iter().filter(|(_, worker)| {
            let unreachable = worker.missed_polls > 0 || worker.machine_down || !worker.synced;
            unreachable && !worker.runs.is_empty()
        });
        let known = unreachable.filter_map(|(id, worker)| {
            Some(UnreachableWorker {
                machine: worker.entry.machine.clone()?,
                life: WorkerLife {
                    worker: id.clone(),
                    life: worker.known_life()?,
                },
            })
        });
        known.collect()
    }

    /// Sets the workers to drain; all others accept starts again.
    fn drain(&mut self, workers: &[WorkerId], ordered: &[WorkerId], now: Instant) {
        self.placement_needed |= self.unsurveyed_since.take().is_some();
        for (id, worker) in self.workers.iter_mut() {
            worker.machine_ordered = ordered.contains(id);
            if workers.contains(id) {
                worker.drain_until = Some(now + DRAIN_REQUEST_TTL);
                worker.drain_since.get_or_insert(now);
            } else if worker.drain_until.take().is_some() {
                worker.drain_since = None;
                self.placement_needed = true;
            }
        }
    }

    /// Returns whether an order for the machine of a worker without runs may be in flight.
    ///
    /// The previous owner may have reported the worker as drained. Until the machine controller
    /// surveys this owner, or orders based on that report are too old, no long-running task is
    /// placed there: the order would end the task without an immediate report of its loss.
    pub(super) fn may_have_machine_order(&self, worker: &WorkerRecord, now: Instant) -> bool {
        let unsurveyed = self.unsurveyed_since;
        worker.runs.is_empty() && unsurveyed.is_some_and(|since| now < since + STALE_ORDER_TIME)
    }

    /// Returns the workers with a drain request and without runs.
    fn drained_workers(&self, now: Instant) -> Vec<WorkerId> {
        let draining = self
            .workers
            .iter()
            .filter(|(_, w)| w.has_drain_request(now));
        let drained = draining.filter(|(_, worker)| worker.runs.is_empty());
        drained.map(|(id, _)| id.clone()).collect()
    }

    /// Stops the runs on draining workers that would not end soon, within the availability budgets.
    ///
    /// This waits after a takeover: a run that the previous owner has just stopped is reported as
    /// ready until the stop completes. An owner that may not start tasks stops none either.
    pub(super) fn stop_runs_to_drain(&mut self, now: Instant) {
        let stops_completed = self.taken_over_at + self.settings.stop_time + ORDER_DELIVERY_TIME;
        if now < stops_completed || now >= self.start_deadline() {
            return;
        }
        let draining = self
            .workers
            .values()
            .filter(|worker| worker.has_drain_request(now));
        let mut movable = Vec::new();
        for worker in draining {
            let waited = worker
                .drain_since
                .is_some_and(|since| now >= since + DRAIN_GRACE);
            let runs = worker
                .runs
                .iter()
                .filter(|(_, run)| run.phase == RunPhase::Running);
            let ready = runs.filter(|(_, run)| run.long_running || waited);
            movable.extend(ready.map(|(task, _)| (worker.entry.id.clone(), task.clone())));
        }
        for (id, task) in movable {
            if !self.disruption_allowed(&id, &task) {
                continue;
            }
            if let Some(run) = self
                .workers
                .get_mut(&id)
                .and_then(|w| w.runs.get_mut(&task))
            {
                run.phase = RunPhase::Stopping;
                let event = EventCode::RunMoved.number();
                tracing::info!(event, %task, worker = &*id, "run stopped to drain its worker");
            }
        }
    }

    /// Returns whether a long-running task has to move away from a draining worker.
    pub(super) fn is_moving_long_running(&self, now: Instant) -> bool {
        let mut draining = self
            .workers
            .values()
            .filter(|worker| worker.has_drain_request(now));
        draining.any(|worker| worker.counts.long_running > 0)
    }

    /// Returns whether stopping a run keeps its step within its limit of unavailable tasks.
    fn disruption_allowed(&self, id: &WorkerId, task: &TaskName) -> bool {
        let Some(run) = self
            .workers
            .get(id)
            .and_then(|worker| worker.runs.get(task))
        else {
            return false;
        };
        if !run.long_running {
            return true;
        }
        let Some(job) = self.jobs.get(&task.job) else {
            return true;
        };
        let step = &job.submission.spec.steps[task.step as usize];
        let ready: IndexSet<u32> = self.ready_tasks(task).collect();
        let others = (0..step.count).filter(|index| *index != task.index);
        let unavailable = others.filter(|index| !ready.contains(index)).count();
        unavailable < run.max_unavailable.unwrap_or(DEFAULT_MAX_UNAVAILABLE) as usize
    }

    /// Returns the indices of the ready tasks of a step.
    fn ready_tasks<'a>(&'a self, task: &'a TaskName) -> impl Iterator<Item = u32> + 'a {
        let reachable = self
            .workers
            .values()
            .filter(|worker| worker.missed_polls == 0 && !worker.machine_ordered);
        let runs = reachable.flat_map(|worker| worker.runs.iter());
        let ready = runs.filter(|(name, run)| {
            let same = name.job == task.job
                && name.occurrence == task.occurrence
                && name.step == task.step;
            same && run.phase == RunPhase::Running && run.percent >= READY_PERCENT
        });
        ready.map(|(name, _)| name.index)
    }

    /// Returns the load of each pool of the shard.
    fn pool_loads(&self, now: Instant) -> Vec<PoolLoad> {
        let pools: IndexSet<&PoolId> = self.workers.values().map(|w| &w.entry.pool).collect();
        let loads = pools.into_iter().map(|pool| {
            let of_pool = |worker: &&WorkerRecord| worker.entry.pool == *pool;
            let members = self.workers.values().filter(of_pool);
            let mut load = PoolLoad {
                pool: pool.clone(),
                ..Default::default()
            };
            let mut movable = Vec::new();
            for worker in members {
                load.used = load.used.plus(&worker.used);
                let has_long_running = worker.counts.long_running > 0;
                load.long_running_workers += u32::from(has_long_running);
                let evacuated = self.is_evacuated(&worker.entry.zone);
                let id = &worker.entry.id;
                if worker.accepts_starts(now) && !evacuated {
                    load.workers += 1;
                    load.capacity = load.capacity.plus(&worker.entry.capacity);
                    load.full_capacity = load.full_capacity.plus(&worker.full_capacity);
                    if !has_long_running {
                        movable.push((worker.runs.len(), !worker.has_shrunk(), id.clone()));
                    }
                } else if worker.listed && (evacuated || worker.is_unavailable()) {
                    load.unavailable.push(id.clone());
                    if evacuated && !has_long_running {
                        load.evacuated.push(id.clone());
                    }
                }
            }
            movable.sort();
            load.movable = movable.into_iter().map(|(_, _, id)| id).collect();
            load.waiting = self.backlog.waiting_size(pool);
            load.late = self.backlog.late_size(pool, now);
            let blocked = self.blocked.get(pool).copied().unwrap_or_default();
            load.blocked = blocked + self.count_outgrown(pool, now);
            load
        });
        loads.collect()
    }

    /// Counts the steps with waiting tasks that are too large for each worker of a pool only because
    /// the workers have shrunk.
    fn count_outgrown(&self, pool: &PoolId, now: Instant) -> u32 {
        let open: Vec<&WorkerRecord> = self.open_workers(pool, now).collect();
        if !open.iter().any(|worker| worker.has_shrunk()) {
            return 0;
        }
        let capacity = PoolRoom::of(open.iter().map(|worker| worker.entry.capacity));
        let full = PoolRoom::of(open.iter().map(|worker| worker.full_capacity));
        let sizes = self.backlog.waiting_sizes(pool);
        let outgrown = sizes.filter(|size| !capacity.fits(size) && full.fits(size));
        outgrown.count() as u32
    }
}
