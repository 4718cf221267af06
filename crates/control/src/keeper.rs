//! Decides which machines are taken for upkeep, which go to another pool, and when.
//!
//! One node at a time keeps the machines. A machine is first vacated: the owner of its pool's shard
//! starts nothing on it any more and moves what lasts, within the availability budgets. Only then
//! is it ordered down.

use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use pw_base::prelude::*;
use serde::{Deserialize, Serialize};
use strum::{AsRefStr, Display, EnumString};

use crate::config::{FleetConfig, WaveRule, find_shard};
use crate::message::PoolLoad;
use crate::sizing::{PoolSizes, SizingSettings};

/// State of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, AsRefStr, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum MachineState {
    /// A worker runs on it.
    Up,
    /// It moves to another pool.
    Moving,
    /// It has its upkeep.
    Upkeep,
    /// It is off or broken.
    Down,
}

/// A machine as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MachineView {
    /// Name of the machine.
    pub machine: MachineId,
    /// Pool that it belongs to.
    pub pool: PoolId,
    /// Its state.
    pub state: MachineState,
    /// Its availability zone.
    pub zone: ZoneId,
    /// The worker on it.
    pub worker: Option<WorkerId>,
}

/// What is to be done with a machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MachineAction {
    /// It goes to another pool.
    Move(PoolId),
    /// It has its upkeep in a wave.
    Upkeep(WaveNumber),
}

/// Order for a machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MachineOrder {
    /// The machine.
    pub machine: MachineId,
    /// What is to be done.
    pub action: MachineAction,
    /// Epoch of the node that keeps the machines.
    pub epoch: OwnerEpoch,
}

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, AsRefStr, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum MachineOutcome {
    /// It is done, or was done before.
    Done,
    /// A later keeper has given orders for the machine.
    Fenced,
    /// The machine is not up, or leaves.
    Busy,
    /// The machine does not belong to the wave.
    NotInWave,
    /// There is no such machine, or it can't go to that pool.
    Impossible,
    /// Nothing was done; the platform is busy.
    TurnedAway,
    /// It may have been carried out, or may be later.
    Unanswered,
}

/// How far a wave is; it is stored for the next keeper.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveProgress {
    /// Machines whose upkeep has begun, and those that the wave doesn't have.
    pub begun: IndexSet<MachineId>,
    /// All machines have begun.
    pub completed: bool,
}

/// What the keeper is told.
#[derive(Debug, Clone)]
pub enum KeeperEvent {
    /// A configuration is in force.
    Config(Arc<FleetConfig>),
    /// All machines, as the platform lists them.
    Machines(Vec<MachineView>),
    /// The owner of a shard answered a survey.
    Surveyed {
        /// Work of the shard's pools.
        pools: Vec<PoolLoad>,
        /// Workers to be vacated that run nothing and take no starts.
        clear: Vec<WorkerId>,
        /// When it was asked.
        asked: Instant,
    },
    /// The platform answered an order, or did not.
    Ordered {
        /// What was ordered.
        order: MachineOrder,
        /// The answer.
        outcome: MachineOutcome,
    },
    /// Time has passed.
    Tick,
}

/// What the keeper wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeeperCommand {
    /// Ask the owner of a shard for the work of its pools, and have workers vacated.
    Survey {
        /// The shard.
        shard: ShardNumber,
        /// Workers to be vacated; no others of the shard are.
        vacate: Vec<WorkerId>,
        /// Those of them whose machines were ordered away.
        taken: Vec<WorkerId>,
    },
    /// Read the list of machines.
    List,
    /// Give an order.
    Order(MachineOrder),
    /// Store how far a wave is.
    Note(WaveNumber, WaveProgress),
    /// Tell operators whether a wave is completed.
    Report(WaveNumber, bool),
    /// Another keeper has given orders, so the role is to be checked.
    Contested,
}

/// Settings of a [`FleetKeeper`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct KeeperSettings {
    /// Number of shards of the fleet.
    pub shards: u32,
    /// Time between two surveys of a shard.
    pub survey_gap: Duration,
    /// Time between two readings of the machines while something is under way.
    pub list_gap: Duration,
    /// Time between two readings of the machines otherwise.
    pub idle_list_gap: Duration,
    /// Age from which the answer to a survey allows no order: vacated workers are free again soon
    /// after the last survey.
    pub survey_age_max: Duration,
    /// Largest part of a pool that is taken at the same time.
    pub pool_part: f64,
    /// Pause after an order that was not carried out.
    pub order_retry: Duration,
    /// Time after which a machine that was ordered down and has not come back counts as up.
    pub settle_max: Duration,
    /// Settings of the sizes of pools.
    pub sizing: SizingSettings,
}

/// Refused moves after which a machine is let be.
const MAX_BUSY: u32 = 3;
/// Shortest time between two log lines about the size of a pool.
const SIZE_LOG_GAP: Duration = Duration::from_millis(900);
/// How long such a machine is let be.
const AVOID: Duration = Duration::from_secs(5);

/// Keeps the machines of the fleet.
pub struct FleetKeeper {
    settings: KeeperSettings,
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
    list_due: Instant,
    commands: Vec<KeeperCommand>,
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

impl Default for KeeperSettings {
    fn default() -> Self {
        Self {
            shards: 24,
            survey_gap: Duration::from_millis(120),
            list_gap: Duration::from_millis(500),
            idle_list_gap: Duration::from_secs(2),
            survey_age_max: Duration::from_millis(500),
            pool_part: 0.25,
            order_retry: Duration::from_millis(300),
            settle_max: Duration::from_secs(10),
            sizing: SizingSettings::default(),
        }
    }
}

impl FleetKeeper {
    /// Takes the role over, with what earlier keepers have stored of the waves.
    pub fn new(
        settings: KeeperSettings,
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
            list_due: now,
            commands: Vec::new(),
        }
    }

    /// Returns the epoch of this keeper.
    pub fn epoch(&self) -> OwnerEpoch {
        self.epoch
    }

    /// Returns when [`KeeperEvent::Tick`] is wanted next.
    pub fn next_deadline(&self) -> Instant {
        let surveys = self
            .surveys
            .values()
            .map(|at| *at + self.settings.survey_gap);
        surveys.fold(self.list_due, Instant::min)
    }

    /// Takes an event and returns what is to be done.
    pub fn handle(&mut self, now: Instant, event: KeeperEvent) -> Vec<KeeperCommand> {
        match event {
            KeeperEvent::Config(config) => self.config = config,
            KeeperEvent::Machines(machines) => self.take_machines(machines, now),
            KeeperEvent::Surveyed {
                pools,
                clear,
                asked,
            } => {
                for load in pools {
                    self.sizes.observe(&load, now);
                    self.loads.insert(load.pool.clone(), load);
                }
                if now < asked + self.settings.survey_age_max {
                    self.order_clear(&clear, now);
                }
            }
            KeeperEvent::Ordered { order, outcome } => self.take_outcome(&order, outcome, now),
            KeeperEvent::Tick => {}
        }
        self.advance_waves(now);
        self.move_machines(now);
        self.repeat_orders(now);
        self.send_surveys(now);
        if now >= self.list_due {
            let busy = !self.tasks.is_empty() || self.open_waves().next().is_some();
            let gap = if busy {
                self.settings.list_gap
            } else {
                self.settings.idle_list_gap
            };
            self.list_due = now + gap;
            self.commands.push(KeeperCommand::List);
        }
        std::mem::take(&mut self.commands)
    }

    fn open_waves(&self) -> impl Iterator<Item = (&WaveNumber, &WaveRule)> {
        let open = self.config.waves.iter();
        open.filter(|(wave, _)| !self.progress.get(*wave).is_some_and(|p| p.completed))
    }

    fn take_machines(&mut self, machines: Vec<MachineView>, now: Instant) {
        let named = machines
            .into_iter()
            .map(|view| (view.machine.clone(), view));
        self.machines = named.collect();
        let settle_max = self.settings.settle_max;
        let machines = &self.machines;
        self.tasks.retain(|machine, task| {
            let TaskStage::Settling { since } = task.phase else {
                return machines.contains_key(machine);
            };
            let Some(view) = machines.get(machine) else {
                return false;
            };
            let back = view.state == MachineState::Up && view.worker != task.worker;
            !back && now < since + settle_max
        });
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
                self.commands.push(KeeperCommand::Order(MachineOrder {
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
        let retry = now + self.settings.order_retry;
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
            MachineOutcome::TurnedAway | MachineOutcome::Unanswered => {
                task.phase = TaskStage::Ordered { again: Some(retry) };
            }
            MachineOutcome::Fenced => {
                task.phase = TaskStage::Ordered { again: None };
                self.commands.push(KeeperCommand::Contested);
            }
        }
    }

    fn note_begun(&mut self, order: &MachineOrder) {
        if let MachineAction::Upkeep(wave) = order.action {
            let progress = self.progress.entry(wave).or_default();
            progress.begun.insert(order.machine.clone());
            let note = KeeperCommand::Note(wave, progress.clone());
            self.commands.push(note);
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
                self.commands.push(KeeperCommand::Order(MachineOrder {
                    machine: machine.clone(),
                    action: task.action.clone(),
                    epoch,
                }));
            }
        }
    }

    /// Takes further machines of the waves, and tells when a wave is completed.
    fn advance_waves(&mut self, now: Instant) {
        if self.machines.is_empty() {
            return;
        }
        let open: Vec<WaveNumber> = self.open_waves().map(|(wave, _)| *wave).collect();
        for wave in open {
            if self.reported.insert(wave) {
                self.commands.push(KeeperCommand::Report(wave, false));
            }
            let config = Arc::clone(&self.config);
            let Some(rule) = config.waves.get(&wave) else {
                continue;
            };
            let pending = self.pending_machines(wave, rule);
            if pending.is_empty() {
                self.complete(wave);
                continue;
            }
            let room = rule.maximum.saturating_sub(self.down_machines(wave, rule));
            self.take_pending(wave, pending, room, now);
        }
    }

    /// Returns the machines of a wave that are there and have not begun.
    fn pending_machines(&self, wave: WaveNumber, rule: &WaveRule) -> Vec<MachineId> {
        let begun = self.progress.get(&wave).map(|progress| &progress.begun);
        let pending = rule.machines.iter().filter(|machine| {
            let begun = begun.is_some_and(|begun| begun.contains(*machine));
            !begun && self.machines.contains_key(*machine)
        });
        pending.cloned().collect()
    }

    /// Returns how many machines of a wave are down for it, or may be soon.
    fn down_machines(&self, wave: WaveNumber, rule: &WaveRule) -> usize {
        let under_way = |machine: &MachineId| {
            let task = self.tasks.get(machine);
            task.is_some_and(|task| task.action == MachineAction::Upkeep(wave))
        };
        let in_upkeep = |machine: &MachineId| {
            let view = self.machines.get(machine);
            view.is_some_and(|view| view.state == MachineState::Upkeep)
        };
        let machines = rule.machines.iter();
        machines
            .filter(|machine| under_way(machine) || in_upkeep(machine))
            .count()
    }

    fn take_pending(
        &mut self,
        wave: WaveNumber,
        mut pending: Vec<MachineId>,
        mut room: usize,
        now: Instant,
    ) {
        pending.sort_by(|a, b| self.machine_load(a).total_cmp(&self.machine_load(b)));
        for machine in pending {
            if room == 0 {
                return;
            }
            let Some(view) = self.machines.get(&machine) else {
                continue;
            };
            let free = !self.tasks.contains_key(&machine) && self.pool_has_room(&view.pool);
            if !free || matches!(view.state, MachineState::Moving | MachineState::Upkeep) {
                continue;
            }
            let task = MachineTask {
                action: MachineAction::Upkeep(wave),
                pool: view.pool.clone(),
                worker: view.worker.clone().filter(|_| !self.is_spare(&view.pool)),
                phase: TaskStage::Vacating { not_before: now },
                busy: 0,
            };
            let without_worker = task.worker.is_none();
            self.tasks.insert(machine, task);
            room -= 1;
            if without_worker {
                self.order_clear(&[], now);
            }
        }
    }

    /// Returns how busy the pool of a machine is; idle pools give their machines first.
    fn machine_load(&self, machine: &MachineId) -> f64 {
        let view = self.machines.get(machine);
        let load = view.and_then(|view| self.loads.get(&view.pool));
        load.map_or(0.0, |load| {
            let wanted = load.used.millicores.saturating_add(load.waiting.millicores);
            f64::from(wanted) / f64::from(load.capacity.millicores.max(1))
        })
    }

    /// Returns whether another machine of the pool may be taken.
    fn pool_has_room(&self, pool: &PoolId) -> bool {
        let members = self.machines.values().filter(|view| view.pool == *pool);
        let most = (members.count() as f64 * self.settings.pool_part).max(1.0) as usize;
        let upkeep = |task: &&MachineTask| matches!(task.action, MachineAction::Upkeep(_));
        let taken = self.tasks.values().filter(upkeep);
        let taken = taken.filter(|task| task.pool == *pool);
        taken.count() < most
    }

    /// Moves machines to pools that need them, and those that nobody needs to the spare pool.
    fn move_machines(&mut self, now: Instant) {
        self.avoided.retain(|_, until| now < *until);
        let Some(spare) = self.spare_pool() else {
            return;
        };
        let pools: Vec<PoolId> = self.loads.keys().cloned().collect();
        self.log_sizes(now);
        let targets = self.targets(&pools, &spare);
        let mut short = Vec::new();
        for (pool, target) in &targets {
            let have = self.members(pool);
            if *target > have {
                short.push((*target - have, pool.clone()));
            }
        }
        short.sort_by_key(|(missing, _)| std::cmp::Reverse(*missing));
        for (missing, pool) in short {
            for _ in 0..missing {
                let machine = self
                    .idle_spare(&spare)
                    .or_else(|| self.surplus_machine(&targets));
                let Some(machine) = machine else {
                    return;
                };
                self.start_move(&machine, pool.clone(), now);
            }
        }
        let kept = self.settings.sizing.kept;
        let lasting = pools.iter().map(|pool| {
            let need = self.sizes.lasting_need(pool).saturating_add(kept);
            (pool.clone(), need)
        });
        let lasting: IndexMap<PoolId, usize> = lasting.collect();
        while let Some(machine) = self.surplus_machine(&lasting) {
            self.start_move(&machine, spare.clone(), now);
        }
    }

    /// Returns how many machines each pool is to have: what it needs or, where there are not as many
    /// machines, its part of them by its need.
    fn targets(&self, pools: &[PoolId], spare: &PoolId) -> IndexMap<PoolId, usize> {
        let needs: usize = pools.iter().map(|pool| self.sizes.need(pool)).sum();
        let members = pools.iter().chain([spare]).map(|pool| self.members(pool));
        let machines: usize = members.sum();
        let target = |pool: &PoolId| {
            let need = self.sizes.need(pool);
            if needs <= machines {
                need
            } else {
                let floor = self.loads.get(pool).map_or(0, |load| load.anchors as usize);
                (need * machines / needs).max(floor)
            }
        };
        pools
            .iter()
            .map(|pool| (pool.clone(), target(pool)))
            .collect()
    }

    /// Logs the pools whose need has changed, each at most once in a while.
    fn log_sizes(&mut self, now: Instant) {
        for (pool, load) in &self.loads {
            let need = self.sizes.need(pool);
            let logged = self.logged.get(pool);
            let recent = logged.is_some_and(|(at, _)| now < *at + SIZE_LOG_GAP);
            if recent || logged.is_some_and(|(_, before)| *before == need) {
                continue;
            }
            self.logged.insert(pool.clone(), (now, need));
            let event = EventCode::PoolSized.number();
            let (workers, anchors, blocked) = (load.workers, load.anchors, load.blocked);
            let (used, waiting) = (load.used.millicores, load.waiting.millicores);
            let have = self.members(pool);
            let pool = &**pool;
            tracing::info!(
                event,
                pool,
                need,
                have,
                workers,
                anchors,
                used,
                waiting,
                blocked,
                "pool sized"
            );
        }
    }

    fn spare_pool(&self) -> Option<PoolId> {
        let mut pools = self.config.pools.iter();
        let spare = pools.find(|(_, rule)| rule.spare);
        spare.map(|(pool, _)| pool.clone())
    }

    fn is_spare(&self, pool: &PoolId) -> bool {
        self.config.pools.get(pool).is_some_and(|rule| rule.spare)
    }

    /// Returns how many machines a pool has, with those that are on their way to it and without
    /// those that are on their way from it or are to have their upkeep.
    fn members(&self, pool: &PoolId) -> usize {
        let moves_to = |machine: &MachineId| match self.tasks.get(machine) {
            Some(MachineTask {
                action: MachineAction::Move(to),
                ..
            }) => Some(to),
            _ => None,
        };
        let in_upkeep = |machine: &MachineId| {
            let task = self.tasks.get(machine);
            task.is_some_and(|task| matches!(task.action, MachineAction::Upkeep(_)))
        };
        let machines = self
            .machines
            .values()
            .filter(|view| view.state != MachineState::Down);
        let machines = machines.filter(|view| !in_upkeep(&view.machine));
        let members = machines.filter(|view| match moves_to(&view.machine) {
            Some(to) => to == pool,
            None => view.pool == *pool,
        });
        members.count()
    }

    /// Returns a machine of the spare pool for which nothing is under way.
    fn idle_spare(&self, spare: &PoolId) -> Option<MachineId> {
        let idle = self.machines.values().find(|view| {
            let settled = !matches!(view.state, MachineState::Moving | MachineState::Upkeep);
            let free = !self.tasks.contains_key(&view.machine)
                && !self.avoided.contains_key(&view.machine);
            view.pool == *spare && settled && free
        });
        idle.map(|view| view.machine.clone())
    }

    /// Returns a machine of the pool that has the most beyond its target.
    fn surplus_machine(&self, targets: &IndexMap<PoolId, usize>) -> Option<MachineId> {
        let surplus = |pool: &&PoolId| self.members(pool).saturating_sub(targets[*pool]);
        let pool = targets
            .keys()
            .filter(|pool| surplus(pool) > 0)
            .max_by_key(surplus)?;
        let load = self.loads.get(pool)?;
        let free = load.movable.iter().filter_map(|worker| {
            let mut views = self.machines.values();
            let view = views.find(|view| view.worker.as_ref() == Some(worker))?;
            let free = view.pool == *pool
                && !self.tasks.contains_key(&view.machine)
                && !self.avoided.contains_key(&view.machine);
            free.then(|| view.machine.clone())
        });
        free.into_iter().next()
    }

    fn start_move(&mut self, machine: &MachineId, to: PoolId, now: Instant) {
        let Some(view) = self.machines.get(machine) else {
            return;
        };
        let event = EventCode::MachineMoved.number();
        let (from, pool) = (&*view.pool, &*to);
        tracing::info!(
            event,
            machine = &**machine,
            from,
            pool,
            "machine goes to another pool"
        );
        let task = MachineTask {
            action: MachineAction::Move(to),
            pool: view.pool.clone(),
            // Nothing runs in the spare pool, whose machines are off.
            worker: view.worker.clone().filter(|_| !self.is_spare(&view.pool)),
            phase: TaskStage::Vacating { not_before: now },
            busy: 0,
        };
        let without_worker = task.worker.is_none();
        self.tasks.insert(machine.clone(), task);
        if without_worker {
            self.order_clear(&[], now);
        }
    }

    fn complete(&mut self, wave: WaveNumber) {
        let progress = self.progress.entry(wave).or_default();
        progress.completed = true;
        let note = KeeperCommand::Note(wave, progress.clone());
        self.commands.push(note);
        self.commands.push(KeeperCommand::Report(wave, true));
        let event = EventCode::WaveCompleted.number();
        tracing::info!(event, wave, "maintenance wave completed");
    }

    /// Asks the owners of all shards with pools; those to be vacated stay so only while asked for.
    fn send_surveys(&mut self, now: Instant) {
        let shards = self.settings.shards;
        let pools = self.config.pools.iter().filter(|(_, rule)| !rule.spare);
        let numbers = pools.map(|(pool, _)| find_shard(pool, shards));
        let numbers: IndexSet<ShardNumber> = numbers.collect();
        for shard in numbers {
            let asked = self.surveys.get(&shard);
            if asked.is_some_and(|at| now < *at + self.settings.survey_gap) {
                continue;
            }
            self.surveys.insert(shard, now);
            let in_shard = self.tasks.values();
            let in_shard = in_shard.filter(|task| find_shard(&task.pool, shards) == shard);
            let mut vacate = Vec::new();
            let mut taken = Vec::new();
            for task in in_shard {
                let Some(worker) = &task.worker else {
                    continue;
                };
                vacate.push(worker.clone());
                if !matches!(task.phase, TaskStage::Vacating { .. }) {
                    taken.push(worker.clone());
                }
            }
            self.commands.push(KeeperCommand::Survey {
                shard,
                vacate,
                taken,
            });
        }
    }
}
