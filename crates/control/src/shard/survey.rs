//! What the keeper of machines asks and tells: workers whose machines are to be taken are left by
//! their runs, and lives that ended with their machines are given up.

use std::time::{Duration, Instant};

use indexmap::IndexSet;
use pw_base::prelude::*;
use pw_job::prelude::*;
use pw_worker::prelude::*;

use super::ShardController;
use crate::message::{PoolLoad, SilentWorker, SurveyOrder, SurveyReport, WorkerLife};
use crate::worker::{READY_PERCENT, RunPhase, WorkerRecord};

/// How long a worker stays vacated after it was asked for last.
const VACATE_TTL: Duration = Duration::from_secs(2);
/// How long orders may come that rest on what the owner before said: the longest age of an answer
/// to a survey, and the time of an order.
pub(super) const STALE_ORDER_TIME: Duration = Duration::from_millis(1500);
/// Time from an owner's last order until the worker has it.
const ORDER_DELIVERY_TIME: Duration = Duration::from_millis(500);
/// Time after which runs on a vacated worker are stopped that have not ended by themselves.
const VACATE_GRACE: Duration = Duration::from_secs(4);
/// Tasks of a step that may be away where the step sets no bound.
const DEFAULT_MAX_UNAVAILABLE: u32 = 1;

impl ShardController {
    /// Takes what the keeper of machines tells.
    pub(super) fn apply_survey(&mut self, order: &SurveyOrder, now: Instant) {
        self.vacate(&order.vacate, &order.ordered, now);
        for worker in self.workers.values_mut() {
            let machine = worker.entry.machine.as_ref();
            worker.machine_down = machine.is_some_and(|machine| order.down.contains(machine));
        }
        for WorkerLife { worker, life } in &order.ended {
            let known = self.workers.get(worker).and_then(|worker| worker.life);
            if known == Some(*life) {
                self.end_worker_life(worker, now);
            }
        }
    }

    /// Returns what the keeper of machines is answered.
    pub fn survey_report(&self, now: Instant) -> SurveyReport {
        SurveyReport {
            pools: self.pool_loads(now),
            clear: self.idle_vacated_workers(now),
            silent: self.silent_workers(),
        }
    }

    /// Returns the workers that may run something and can't be asked, with the lives that are known.
    ///
    /// A list of machines that is read after this answer shows whether such a life is over, long
    /// before its leases are.
    fn silent_workers(&self) -> Vec<SilentWorker> {
        let silent = self.workers.iter().filter(|(_, worker)| {
            let unheard = worker.missed_polls > 0 || worker.machine_down || !worker.synced;
            unheard && !worker.runs.is_empty()
        });
        let named = silent.filter_map(|(id, worker)| {
            Some(SilentWorker {
                machine: worker.entry.machine.clone()?,
                life: WorkerLife {
                    worker: id.clone(),
                    life: worker.life?,
                },
            })
        });
        named.collect()
    }

    /// Sets the workers that are to be left by their runs.
    fn vacate(&mut self, workers: &[WorkerId], taken: &[WorkerId], now: Instant) {
        self.placement_needed |= self.unsurveyed_since.take().is_some();
        for (id, worker) in &mut self.workers {
            worker.machine_ordered = taken.contains(id);
            if workers.contains(id) {
                worker.vacated_until = Some(now + VACATE_TTL);
                worker.vacated_since.get_or_insert(now);
            } else if worker.vacated_until.take().is_some() {
                worker.vacated_since = None;
                self.placement_needed = true;
            }
        }
    }

    /// Returns whether the machine of a worker without runs may be on its way.
    ///
    /// The owner before may have told the keeper that the worker is clear. Until the keeper has asked
    /// this owner, or its orders of that time are too old, nothing that lasts is placed there: the
    /// order would end it, and nobody would know at once.
    pub(super) fn may_have_machine_order(&self, worker: &WorkerRecord, now: Instant) -> bool {
        let unsurveyed = self.unsurveyed_since;
        worker.runs.is_empty() && unsurveyed.is_some_and(|since| now < since + STALE_ORDER_TIME)
    }

    /// Returns the workers to be vacated that run nothing and get nothing.
    fn idle_vacated_workers(&self, now: Instant) -> Vec<WorkerId> {
        let vacated = self.workers.iter().filter(|(_, w)| w.is_vacated(now));
        let clear = vacated.filter(|(_, worker)| worker.runs.is_empty());
        clear.map(|(id, _)| id.clone()).collect()
    }

    /// Stops the runs on vacated workers that would not end soon, within the availability budgets.
    ///
    /// A run that the owner before has just stopped is still shown at work until the stop is done.
    pub(super) fn stop_vacated_runs(&mut self, now: Instant) {
        if now < self.taken_over_at + self.settings.stop_time + ORDER_DELIVERY_TIME {
            return;
        }
        let vacated = self
            .workers
            .values()
            .filter(|worker| worker.is_vacated(now));
        let mut movable = Vec::new();
        for worker in vacated {
            let waited = worker
                .vacated_since
                .is_some_and(|since| now >= since + VACATE_GRACE);
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
                tracing::info!(event, %task, worker = &*id, "run stopped to free its worker");
            }
        }
    }

    /// Returns whether something that lasts is to leave a worker.
    pub(super) fn is_moving_long_running(&self, now: Instant) -> bool {
        let mut vacated = self
            .workers
            .values()
            .filter(|worker| worker.is_vacated(now));
        vacated.any(|worker| worker.runs.values().any(|run| run.long_running))
    }

    /// Returns whether a run may be stopped without too many of its step being away.
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
        let at_work: IndexSet<u32> = self.ready_tasks(task).collect();
        let others = (0..step.count).filter(|index| *index != task.index);
        let away = others.filter(|index| !at_work.contains(index)).count();
        away < run.max_unavailable.unwrap_or(DEFAULT_MAX_UNAVAILABLE) as usize
    }

    /// Returns the indices of the tasks of a step that are at work.
    fn ready_tasks<'a>(&'a self, task: &'a TaskName) -> impl Iterator<Item = u32> + 'a {
        let sound = self
            .workers
            .values()
            .filter(|worker| worker.missed_polls == 0 && !worker.machine_ordered);
        let runs = sound.flat_map(|worker| worker.runs.iter());
        let at_work = runs.filter(|(name, run)| {
            let same = name.job == task.job
                && name.occurrence == task.occurrence
                && name.step == task.step;
            same && run.phase == RunPhase::Running && run.percent >= READY_PERCENT
        });
        at_work.map(|(name, _)| name.index)
    }

    /// Returns how much work each pool of the shard has.
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
                let anchored = worker.runs.values().any(|run| run.long_running);
                load.anchors += u32::from(anchored);
                let evacuated = self.is_evacuated(&worker.entry.zone);
                let id = &worker.entry.id;
                if worker.accepts_starts(now) && !evacuated {
                    load.workers += 1;
                    load.capacity = load.capacity.plus(&worker.entry.capacity);
                    if !anchored {
                        movable.push((worker.runs.len(), id.clone()));
                    }
                } else if worker.listed && (evacuated || worker.is_unavailable()) {
                    load.unavailable.push(id.clone());
                    if evacuated && !anchored {
                        load.evacuated.push(id.clone());
                    }
                }
            }
            movable.sort();
            load.movable = movable.into_iter().map(|(_, id)| id).collect();
            load.waiting = self.waiting_size(pool);
            load.blocked = self.blocked.get(pool).copied().unwrap_or_default();
            load
        });
        loads.collect()
    }

    /// Returns what the tasks of a pool would take that could start now.
    fn waiting_size(&self, pool: &PoolId) -> ResourceSize {
        let jobs = self.open_records().map(|(_, job)| job);
        let jobs = jobs.filter(|job| job.submission.pool == *pool);
        let open = jobs.filter(|job| !job.is_over());
        open.fold(ResourceSize::default(), |sum, job| {
            sum.plus(&super::ready_size(job))
        })
    }
}
