//! Decides which machines go into maintenance, which move to another pool, and when.
//!
//! One node at a time runs the machine controller. A machine is drained first: the owner of its
//! pool's shard places no new runs on it and moves its long-running tasks elsewhere within the
//! availability budgets. Only then is the machine ordered down.

mod lives;
mod message;
mod moves;
mod waves;

use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use pw_base::prelude::*;

pub use self::message::{
    MachineAction, MachineCommand, MachineEvent, MachineList, MachineOrder, MachineOutcome,
    MachineState, MachineView, WaveProgress,
};
use crate::config::{FleetConfig, find_shard};
use crate::machines::lives::LifeTracker;
use crate::message::{PoolLoad, SurveyOrder};
use crate::sizing::{PoolSizes, SizingSettings};

/// Settings of a [`MachineController`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MachineSettings {
    /// Number of shards in the fleet.
    pub shards: u32,
    /// Interval between surveys of a shard.
    pub survey_interval: Duration,
    /// Interval between machine lists while a wave is open or a machine is being drained or moved.
    pub list_interval: Duration,
    /// Interval between machine lists while a worker that may have runs is unreachable.
    pub unreachable_list_interval: Duration,
    /// Interval between machine lists otherwise.
    pub idle_list_interval: Duration,
    /// Age at which a survey report or a list of machines is too old to justify an order or its
    /// repetition: workers leave the draining state soon after the last survey that names them.
    pub max_survey_age: Duration,
    /// Largest fraction of a pool in maintenance at the same time.
    pub max_pool_fraction: f64,
    /// Machines that may be in maintenance at the same time however small the pool is: moving
    /// long-running tasks off a machine takes seconds, so a wave that took one machine at a time
    /// would miss its deadline.
    pub min_pool_allowance: usize,
    /// Delay before an order that was not carried out is retried.
    pub order_retry_delay: Duration,
    /// Time after which an ordered machine that has not come back is treated as up.
    pub settle_timeout: Duration,
    /// Settings for sizing the pools.
    pub sizing: SizingSettings,
}

/// Busy answers after which a move is abandoned.
const MAX_BUSY_ANSWERS: u32 = 3;
/// Time for which a machine whose move was abandoned is not selected again.
const AVOID_TIME: Duration = Duration::from_secs(5);

/// Schedules maintenance and moves of the fleet's machines.
pub struct MachineController {
    settings: MachineSettings,
    epoch: OwnerEpoch,
    config: Arc<FleetConfig>,
    machines: IndexMap<MachineId, MachineView>,
    loads: IndexMap<PoolId, PoolLoad>,
    progress: IndexMap<WaveNumber, WaveProgress>,
    /// Waves that have been reported to operators.
    reported: IndexSet<WaveNumber>,
    /// Machines with a maintenance or a move in progress.
    tasks: IndexMap<MachineId, MachineTask>,
    sizes: PoolSizes,
    /// When each pool's need was last logged, and its value then.
    logged_needs: IndexMap<PoolId, (Instant, usize)>,
    /// Machines whose move was abandoned, and until when they are not selected.
    avoided: IndexMap<MachineId, Instant>,
    last_surveys: IndexMap<ShardNumber, Instant>,
    /// Unreachable workers.
    lives: LifeTracker,
    list_due: Instant,
    /// When the last list of machines was requested.
    listed_at: Option<Instant>,
    commands: Vec<MachineCommand>,
}

#[derive(Debug)]
struct MachineTask {
    action: MachineAction,
    pool: PoolId,
    /// Worker to drain; another one that appears on the machine meanwhile replaces it.
    worker: Option<WorkerId>,
    stage: TaskStage,
    /// The machine is in the spare pool, where machines are off.
    off: bool,
    /// Latest time at which an order would have ended no run, by the owner's report or the list.
    idle_at: Option<Instant>,
    /// Number of busy answers.
    busy_answers: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TaskStage {
    /// The worker is being drained.
    Draining {
        /// Earliest time of the order.
        not_before: Instant,
    },
    /// The order is in flight or waits to be retried.
    Ordered {
        /// When to retry it; `None` while it is in flight.
        retry_at: Option<Instant>,
    },
    /// The order was carried out; the machine has not come back yet.
    Settling {
        /// When it was carried out.
        since: Instant,
    },
}

impl Default for MachineSettings {
    fn default() -> Self {
        Self {
            shards: 24,
            survey_interval: Duration::from_millis(120),
            list_interval: Duration::from_millis(500),
            unreachable_list_interval: Duration::from_millis(250),
            idle_list_interval: Duration::from_secs(2),
            max_survey_age: Duration::from_millis(500),
            max_pool_fraction: 0.25,
            min_pool_allowance: 2,
            order_retry_delay: Duration::from_millis(300),
            settle_timeout: Duration::from_secs(10),
            sizing: SizingSettings::default(),
        }
    }
}

impl MachineTask {
    /// Applies a list of machines that was requested at `requested_at`.
    fn follow_machine(&mut self, view: &MachineView, spare: bool, requested_at: Instant) {
        self.off = spare;
        let up = view.state == MachineState::Up;
        let draining = matches!(self.stage, TaskStage::Draining { .. });
        if (!up || view.worker.is_none()) && (!draining || self.worker.is_none()) {
            self.idle_at = self.idle_at.max(Some(requested_at));
        }
        if !up || spare || view.worker.is_none() || view.worker == self.worker {
            return;
        }
        match (self.stage, &self.action) {
            // A worker that crashed comes back under another name, and the previous one would never
            // be reported as drained.
            (TaskStage::Draining { .. }, _) => self.retarget(view),
            // The order was carried out although its answer was lost, or the machine has crashed.
            (TaskStage::Ordered { retry_at: Some(at) }, MachineAction::Move(to)) => {
                if view.pool == *to {
                    self.stage = TaskStage::Settling { since: at };
                } else {
                    self.stage = TaskStage::Draining { not_before: at };
                    self.retarget(view);
                }
            }
            (TaskStage::Ordered { retry_at: Some(at) }, MachineAction::Upkeep(_)) => {
                self.stage = TaskStage::Draining { not_before: at };
                self.retarget(view);
            }
            _ => {}
        }
    }

    /// Switches to the worker that is on the machine now.
    fn retarget(&mut self, view: &MachineView) {
        self.worker.clone_from(&view.worker);
        self.pool.clone_from(&view.pool);
        self.idle_at = None;
    }

    /// Returns until when the order may be sent; `None` while nothing recent shows that it would end
    /// no run.
    fn send_by(&self, max_age: Duration, now: Instant) -> Option<Instant> {
        let idle_at = if self.off { now } else { self.idle_at? };
        Some(idle_at + max_age).filter(|send_by| now < *send_by)
    }
}

impl MachineController {
    /// Creates a controller that continues from the stored progress of the waves.
    pub fn new(
        settings: MachineSettings,
        epoch: OwnerEpoch,
        config: Arc<FleetConfig>,
        progress: IndexMap<WaveNumber, WaveProgress>,
        now: Instant,
    ) -> Self {
        Self {
            settings,
            epoch,
            config,
            machines: IndexMap::new(),
            loads: IndexMap::new(),
            progress,
            reported: IndexSet::new(),
            tasks: IndexMap::new(),
            sizes: PoolSizes::new(settings.sizing),
            logged_needs: IndexMap::new(),
            avoided: IndexMap::new(),
            last_surveys: IndexMap::new(),
            lives: LifeTracker::default(),
            list_due: now,
            listed_at: None,
            commands: Vec::new(),
        }
    }

    /// Returns the ownership epoch of this controller.
    pub fn epoch(&self) -> OwnerEpoch {
        self.epoch
    }

    /// Returns when the next [`MachineEvent::Tick`] is due.
    pub fn next_deadline(&self) -> Instant {
        let survey_times = self
            .last_surveys
            .values()
            .map(|at| *at + self.settings.survey_interval);
        survey_times.fold(self.list_due, Instant::min)
    }

    /// Handles an event and returns the commands to carry out.
    pub fn handle(&mut self, now: Instant, event: MachineEvent) -> Vec<MachineCommand> {
        match event {
            MachineEvent::Config(config) => self.config = config,
            MachineEvent::Machines { list, requested_at } => {
                if self.lives.accept_list(&list, requested_at, now) {
                    self.update_machines(list.machines, requested_at, now);
                }
            }
            MachineEvent::Surveyed {
                shard,
                report,
                requested_at,
            } => {
                let config = Arc::clone(&self.config);
                let loads = report.pools.into_iter();
                for load in loads.filter(|load| config.pools.contains_key(&load.pool)) {
                    self.sizes.observe(&load, now);
                    self.loads.insert(load.pool.clone(), load);
                }
                if now < requested_at + self.settings.max_survey_age {
                    self.order_drained(&report.drained, requested_at, now);
                }
                self.lives
                    .update_unreachable(shard, report.unreachable, now);
                if self.lives.any_unreachable() {
                    self.list_due = self
                        .list_due
                        .min(now + self.settings.unreachable_list_interval);
                }
            }
            MachineEvent::Ordered { order, outcome } => self.handle_outcome(&order, outcome, now),
            MachineEvent::Tick => {}
        }
        self.advance_waves(now);
        self.move_machines(now);
        self.retry_orders(now);
        self.send_surveys(now);
        if now >= self.list_due {
            self.list_due = now + self.list_interval();
            self.commands.push(MachineCommand::ListMachines);
        }
        std::mem::take(&mut self.commands)
    }

    /// Returns the interval to the next machine list.
    fn list_interval(&self) -> Duration {
        let settings = &self.settings;
        if self.lives.any_unreachable() {
            settings.unreachable_list_interval
        } else if !self.tasks.is_empty() || self.open_waves().next().is_some() {
            settings.list_interval
        } else {
            settings.idle_list_interval
        }
    }

    fn update_machines(&mut self, machines: Vec<MachineView>, requested_at: Instant, now: Instant) {
        self.listed_at = Some(requested_at);
        let by_id = machines
            .into_iter()
            .map(|view| (view.machine.clone(), view));
        self.machines = by_id.collect();
        let settle_timeout = self.settings.settle_timeout;
        let machines = &self.machines;
        let config = &self.config;
        let spare = |pool: &PoolId| config.pools.get(pool).is_some_and(|rule| rule.spare);
        self.tasks.retain(|machine, task| {
            let Some(view) = machines.get(machine) else {
                return false;
            };
            let TaskStage::Settling { since } = task.stage else {
                task.follow_machine(view, spare(&view.pool), requested_at);
                return true;
            };
            let back = view.state == MachineState::Up && view.worker != task.worker;
            !back && now < since + settle_timeout
        });
    }

    /// Starts draining the worker of a machine; a machine without a worker is ordered at once.
    fn start_task(&mut self, machine: MachineId, action: MachineAction, now: Instant) {
        let Some(view) = self.machines.get(&machine) else {
            return;
        };
        // The machines of the spare pool are off, so there is nothing to drain.
        let off = self.is_spare(&view.pool);
        let worker = view.worker.clone().filter(|_| !off);
        let without_worker = worker.is_none();
        let task = MachineTask {
            action,
            pool: view.pool.clone(),
            worker,
            stage: TaskStage::Draining { not_before: now },
            off,
            idle_at: self.listed_at.filter(|_| without_worker),
            busy_answers: 0,
        };
        let ready = task.send_by(self.settings.max_survey_age, now).is_some();
        self.tasks.insert(machine, task);
        if ready {
            self.order_drained(&[], now, now);
        } else if without_worker {
            self.list_due = self.list_due.min(now);
        }
    }

    /// Sends the orders of the machines whose workers are drained, by a report that was requested at
    /// `requested_at`.
    fn order_drained(&mut self, drained: &[WorkerId], requested_at: Instant, now: Instant) {
        let max_age = self.settings.max_survey_age;
        let epoch = self.epoch;
        for (machine, task) in &mut self.tasks {
            let is_drained = task
                .worker
                .as_ref()
                .is_some_and(|worker| drained.contains(worker));
            if is_drained {
                task.idle_at = task.idle_at.max(Some(requested_at));
            }
            let TaskStage::Draining { not_before } = task.stage else {
                continue;
            };
            let ready = (is_drained || task.worker.is_none()) && now >= not_before;
            if let Some(send_by) = task.send_by(max_age, now).filter(|_| ready) {
                task.stage = TaskStage::Ordered { retry_at: None };
                self.commands.push(MachineCommand::Order(MachineOrder {
                    machine: machine.clone(),
                    action: task.action.clone(),
                    epoch,
                    send_by,
                }));
            }
        }
    }

    fn handle_outcome(&mut self, order: &MachineOrder, outcome: MachineOutcome, now: Instant) {
        let event = EventCode::MachineAnswered.number();
        let (machine, action, epoch) = (&*order.machine, &order.action, order.epoch);
        tracing::info!(event, machine, ?action, epoch, %outcome, "machine order answered");
        let retry = now + self.settings.order_retry_delay;
        let Some(task) = self.tasks.get_mut(&order.machine) else {
            return;
        };
        match outcome {
            MachineOutcome::Done => {
                task.stage = TaskStage::Settling { since: now };
                self.record_started(order);
            }
            MachineOutcome::NotInWave | MachineOutcome::Impossible => {
                self.tasks.swap_remove(&order.machine);
                self.record_started(order);
            }
            MachineOutcome::Busy => {
                task.stage = TaskStage::Draining { not_before: retry };
                task.busy_answers += 1;
                let is_move = matches!(task.action, MachineAction::Move(_));
                if is_move && task.busy_answers >= MAX_BUSY_ANSWERS {
                    self.tasks.swap_remove(&order.machine);
                    self.avoided.insert(order.machine.clone(), now + AVOID_TIME);
                }
            }
            MachineOutcome::Rejected | MachineOutcome::NotSent | MachineOutcome::Unanswered => {
                task.stage = TaskStage::Ordered {
                    retry_at: Some(retry),
                };
            }
            MachineOutcome::Fenced => {
                task.stage = TaskStage::Ordered { retry_at: None };
                self.commands.push(MachineCommand::CheckOwnership);
            }
        }
    }

    /// Repeats the orders that were not carried out and would still end no run.
    fn retry_orders(&mut self, now: Instant) {
        let max_age = self.settings.max_survey_age;
        let epoch = self.epoch;
        for (machine, task) in &mut self.tasks {
            let TaskStage::Ordered {
                retry_at: Some(retry_at),
            } = task.stage
            else {
                continue;
            };
            let due = now >= retry_at;
            if let Some(send_by) = task.send_by(max_age, now).filter(|_| due) {
                task.stage = TaskStage::Ordered { retry_at: None };
                self.commands.push(MachineCommand::Order(MachineOrder {
                    machine: machine.clone(),
                    action: task.action.clone(),
                    epoch,
                    send_by,
                }));
            }
        }
    }

    /// Surveys the owners of all shards with pools. Owners drain a worker only while surveys name
    /// it, so surveys are repeated.
    fn send_surveys(&mut self, now: Instant) {
        let shards = self.settings.shards;
        let pools = self.config.pools.iter().filter(|(_, rule)| !rule.spare);
        let shard_numbers = pools.map(|(pool, _)| find_shard(pool, shards));
        let shard_numbers: IndexSet<ShardNumber> = shard_numbers.collect();
        for shard in shard_numbers {
            let last_survey = self.last_surveys.get(&shard);
            if last_survey.is_some_and(|at| now < *at + self.settings.survey_interval) {
                continue;
            }
            self.last_surveys.insert(shard, now);
            let order = self.survey_order(shard);
            self.commands.push(MachineCommand::Survey(shard, order));
        }
    }

    fn survey_order(&self, shard: ShardNumber) -> SurveyOrder {
        let in_shard = |pool: &PoolId| find_shard(pool, self.settings.shards) == shard;
        let mut order = SurveyOrder {
            ended: self.lives.ended(shard, &self.machines),
            ..Default::default()
        };
        for task in self.tasks.values().filter(|task| in_shard(&task.pool)) {
            let Some(worker) = &task.worker else {
                continue;
            };
            order.drain.push(worker.clone());
            if !matches!(task.stage, TaskStage::Draining { .. }) {
                order.ordered.push(worker.clone());
            }
        }
        let down = self.machines.values().filter(|view| {
            view.state == MachineState::Down && !self.is_spare(&view.pool) && in_shard(&view.pool)
        });
        order.down = down.map(|view| view.machine.clone()).collect();
        order
    }
}
