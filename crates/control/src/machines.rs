//! Decides which machines are taken for upkeep, which go to another pool, and when.
//!
//! One node at a time keeps the machines. A machine is first vacated: the owner of its pool's shard
//! starts nothing on it any more and moves what lasts, within the availability budgets. Only then
//! is it ordered down.

mod lives;
mod message;
mod moves;
mod waves;

use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use pw_base::prelude::*;

pub use self::message::{
    MachineAction, MachineCommand, MachineEvent, MachineOrder, MachineOutcome, MachineState,
    MachineView, WaveProgress,
};
use crate::config::{FleetConfig, find_shard};
use crate::machines::lives::LifeWatch;
use crate::message::{PoolLoad, SurveyOrder};
use crate::sizing::{PoolSizes, SizingSettings};

/// Settings of a [`MachineController`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MachineSettings {
    /// Number of shards of the fleet.
    pub shards: u32,
    /// Time between two surveys of a shard.
    pub survey_interval: Duration,
    /// Time between two readings of the machines while something is under way.
    pub list_interval: Duration,
    /// Time between two readings of the machines while a worker that may run something can't be
    /// asked.
    pub unreachable_list_interval: Duration,
    /// Time between two readings of the machines otherwise.
    pub idle_list_interval: Duration,
    /// Age from which the answer to a survey allows no order: vacated workers are free again soon
    /// after the last survey.
    pub max_survey_age: Duration,
    /// Largest part of a pool that is taken at the same time.
    pub max_pool_fraction: f64,
    /// Machines that may be taken at the same time from a pool however small it is: tasks that last
    /// take seconds to leave a machine, and a wave would be late one machine at a time.
    pub min_pool_allowance: usize,
    /// Pause after an order that was not carried out.
    pub order_retry_delay: Duration,
    /// Time after which a machine that was ordered down and has not come back counts as up.
    pub settle_timeout: Duration,
    /// Settings of the sizes of pools.
    pub sizing: SizingSettings,
}

/// Refused moves after which a machine is let be.
const MAX_BUSY: u32 = 3;
/// How long such a machine is let be.
const AVOID: Duration = Duration::from_secs(5);

/// Keeps the machines of the fleet.
pub struct MachineController {
    settings: MachineSettings,
    epoch: OwnerEpoch,
    config: Arc<FleetConfig>,
    machines: IndexMap<MachineId, MachineView>,
    loads: IndexMap<PoolId, PoolLoad>,
    progress: IndexMap<WaveNumber, WaveProgress>,
    /// Waves whose state operators have been told.
    reported: IndexSet<WaveNumber>,
    /// Machines for which something is under way.
    tasks: IndexMap<MachineId, MachineTask>,
    sizes: PoolSizes,
    /// When each pool's need was logged last, and what it was.
    logged: IndexMap<PoolId, (Instant, usize)>,
    /// Machines that did not move when they were to, and until when they are let be.
    avoided: IndexMap<MachineId, Instant>,
    surveys: IndexMap<ShardNumber, Instant>,
    /// Workers that can't be asked.
    lives: LifeWatch,
    list_due: Instant,
    commands: Vec<MachineCommand>,
}

#[derive(Debug)]
struct MachineTask {
    action: MachineAction,
    pool: PoolId,
    /// Worker on the machine when it was taken.
    worker: Option<WorkerId>,
    phase: TaskStage,
    /// Orders that the machine was too busy for.
    busy: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TaskStage {
    /// Its worker is being left by its runs.
    Vacating {
        /// No order goes before this time.
        not_before: Instant,
    },
    /// An order is under way, or is to be repeated at this time.
    Ordered {
        /// When to repeat it; `None` while an answer is awaited.
        again: Option<Instant>,
    },
    /// The order was carried out; the machine is to come back.
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
    /// Turns to the worker that is on the machine now: one that crashed comes back as another one,
    /// and nobody would ever say that the one before is clear.
    fn follow(&mut self, view: &MachineView, spare: bool) {
        let vacating = matches!(self.phase, TaskStage::Vacating { .. });
        if vacating && view.state == MachineState::Up && !spare && view.worker.is_some() {
            self.worker.clone_from(&view.worker);
            self.pool.clone_from(&view.pool);
        }
    }
}

impl MachineController {
    /// Takes the role over, with what earlier keepers have stored of the waves.
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
            logged: IndexMap::new(),
            avoided: IndexMap::new(),
            surveys: IndexMap::new(),
            lives: LifeWatch::default(),
            list_due: now,
            commands: Vec::new(),
        }
    }

    /// Returns the epoch of this keeper.
    pub fn epoch(&self) -> OwnerEpoch {
        self.epoch
    }

    /// Returns when [`MachineEvent::Tick`] is wanted next.
    pub fn next_deadline(&self) -> Instant {
        let surveys = self
            .surveys
            .values()
            .map(|at| *at + self.settings.survey_interval);
        surveys.fold(self.list_due, Instant::min)
    }

    /// Takes an event and returns what is to be done.
    pub fn handle(&mut self, now: Instant, event: MachineEvent) -> Vec<MachineCommand> {
        match event {
            MachineEvent::Config(config) => self.config = config,
            MachineEvent::Machines {
                machines,
                requested_at,
            } => {
                if self.lives.note_list(requested_at) {
                    self.take_machines(machines, now);
                }
            }
            MachineEvent::Surveyed {
                shard,
                report,
                requested_at,
            } => {
                let config = Arc::clone(&self.config);
                let known = report.pools.into_iter();
                for load in known.filter(|load| config.pools.contains_key(&load.pool)) {
                    self.sizes.observe(&load, now);
                    self.loads.insert(load.pool.clone(), load);
                }
                if now < requested_at + self.settings.max_survey_age {
                    self.order_clear(&report.clear, now);
                }
                self.lives.note_silent(shard, report.silent, now);
                if self.lives.any_silent() {
                    self.list_due = self
                        .list_due
                        .min(now + self.settings.unreachable_list_interval);
                }
            }
            MachineEvent::Ordered { order, outcome } => self.take_outcome(&order, outcome, now),
            MachineEvent::Tick => {}
        }
        self.advance_waves(now);
        self.move_machines(now);
        self.repeat_orders(now);
        self.send_surveys(now);
        if now >= self.list_due {
            self.list_due = now + self.list_interval();
            self.commands.push(MachineCommand::ListMachines);
        }
        std::mem::take(&mut self.commands)
    }

    /// Returns the time to the next reading of the machines.
    fn list_interval(&self) -> Duration {
        let settings = &self.settings;
        if self.lives.any_silent() {
            settings.unreachable_list_interval
        } else if !self.tasks.is_empty() || self.open_waves().next().is_some() {
            settings.list_interval
        } else {
            settings.idle_list_interval
        }
    }

    fn take_machines(&mut self, machines: Vec<MachineView>, now: Instant) {
        let named = machines
            .into_iter()
            .map(|view| (view.machine.clone(), view));
        self.machines = named.collect();
        let settle_timeout = self.settings.settle_timeout;
        let machines = &self.machines;
        let config = &self.config;
        let spare = |pool: &PoolId| config.pools.get(pool).is_some_and(|rule| rule.spare);
        self.tasks.retain(|machine, task| {
            let Some(view) = machines.get(machine) else {
                return false;
            };
            let TaskStage::Settling { since } = task.phase else {
                task.follow(view, spare(&view.pool));
                return true;
            };
            let back = view.state == MachineState::Up && view.worker != task.worker;
            !back && now < since + settle_timeout
        });
    }

    /// Has the worker on a machine vacated for an order; one without a worker is ordered at once.
    fn begin_task(&mut self, machine: MachineId, action: MachineAction, now: Instant) {
        let Some(view) = self.machines.get(&machine) else {
            return;
        };
        // Nothing runs in the spare pool, whose machines are off.
        let worker = view.worker.clone().filter(|_| !self.is_spare(&view.pool));
        let without_worker = worker.is_none();
        let task = MachineTask {
            action,
            pool: view.pool.clone(),
            worker,
            phase: TaskStage::Vacating { not_before: now },
            busy: 0,
        };
        self.tasks.insert(machine, task);
        if without_worker {
            self.order_clear(&[], now);
        }
    }

    /// Orders the machines whose workers are clear.
    fn order_clear(&mut self, clear: &[WorkerId], now: Instant) {
        let epoch = self.epoch;
        for (machine, task) in &mut self.tasks {
            let TaskStage::Vacating { not_before } = task.phase else {
                continue;
            };
            let is_clear = task
                .worker
                .as_ref()
                .is_none_or(|worker| clear.contains(worker));
            if is_clear && now >= not_before {
                task.phase = TaskStage::Ordered { again: None };
                self.commands.push(MachineCommand::Order(MachineOrder {
                    machine: machine.clone(),
                    action: task.action.clone(),
                    epoch,
                }));
            }
        }
    }

    fn take_outcome(&mut self, order: &MachineOrder, outcome: MachineOutcome, now: Instant) {
        let event = EventCode::MachineAnswered.number();
        let (machine, action, epoch) = (&*order.machine, &order.action, order.epoch);
        tracing::info!(event, machine, ?action, epoch, %outcome, "order for a machine answered");
        let retry = now + self.settings.order_retry_delay;
        let Some(task) = self.tasks.get_mut(&order.machine) else {
            return;
        };
        match outcome {
            MachineOutcome::Done => {
                task.phase = TaskStage::Settling { since: now };
                self.note_begun(order);
            }
            MachineOutcome::NotInWave | MachineOutcome::Impossible => {
                self.tasks.swap_remove(&order.machine);
                self.note_begun(order);
            }
            MachineOutcome::Busy => {
                task.phase = TaskStage::Vacating { not_before: retry };
                task.busy += 1;
                let moves = matches!(task.action, MachineAction::Move(_));
                if moves && task.busy >= MAX_BUSY {
                    self.tasks.swap_remove(&order.machine);
                    self.avoided.insert(order.machine.clone(), now + AVOID);
                }
            }
            MachineOutcome::Rejected | MachineOutcome::Unanswered => {
                task.phase = TaskStage::Ordered { again: Some(retry) };
            }
            MachineOutcome::Fenced => {
                task.phase = TaskStage::Ordered { again: None };
                self.commands.push(MachineCommand::CheckOwnership);
            }
        }
    }

    fn repeat_orders(&mut self, now: Instant) {
        let epoch = self.epoch;
        for (machine, task) in &mut self.tasks {
            let TaskStage::Ordered { again: Some(again) } = task.phase else {
                continue;
            };
            if now >= again {
                task.phase = TaskStage::Ordered { again: None };
                self.commands.push(MachineCommand::Order(MachineOrder {
                    machine: machine.clone(),
                    action: task.action.clone(),
                    epoch,
                }));
            }
        }
    }

    /// Asks the owners of all shards with pools; those to be vacated stay so only while asked for.
    fn send_surveys(&mut self, now: Instant) {
        let shards = self.settings.shards;
        let pools = self.config.pools.iter().filter(|(_, rule)| !rule.spare);
        let numbers = pools.map(|(pool, _)| find_shard(pool, shards));
        let numbers: IndexSet<ShardNumber> = numbers.collect();
        for shard in numbers {
            let asked = self.surveys.get(&shard);
            if asked.is_some_and(|at| now < *at + self.settings.survey_interval) {
                continue;
            }
            self.surveys.insert(shard, now);
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
            order.vacate.push(worker.clone());
            if !matches!(task.phase, TaskStage::Vacating { .. }) {
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
