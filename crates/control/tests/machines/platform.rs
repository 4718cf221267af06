//! A fake platform for tests of the machine controller.

use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use pw_base::prelude::*;
use pw_control::prelude::*;
use pw_worker::prelude::*;

/// Time that an order takes to be carried out.
pub const ORDER_TIME: Duration = Duration::from_secs(2);

/// Machines of the platform, the controller under test, and the commands it gave.
pub struct Platform {
    pub now: Instant,
    pub controller: MachineController,
    pub config: Arc<FleetConfig>,
    pub views: IndexMap<MachineId, MachineView>,
    pub back_at: IndexMap<MachineId, Instant>,
    /// Whether workers are reported as drained as soon as a survey names them.
    pub drained: bool,
    /// Outcome of each order; orders are carried out only for [`MachineOutcome::Done`].
    pub outcome: MachineOutcome,
    pub orders: Vec<MachineOrder>,
    pub most_down: usize,
    pub stored_progress: IndexMap<WaveNumber, WaveProgress>,
    pub reports: Vec<(WaveNumber, bool)>,
    pub ownership_checks: usize,
    pub worker_count: u32,
    /// Workers with long-running tasks.
    pub long_running: Vec<WorkerId>,
    /// Workers that can't serve their pools.
    pub unavailable: Vec<WorkerId>,
    /// Workers that are unreachable for the shard owners.
    pub unreachable: Vec<UnreachableWorker>,
    /// Whether all machines in the lists can be read.
    pub lists_are_complete: bool,
    /// Ended lives that the last survey named.
    pub ended: Vec<WorkerLife>,
    /// Running and waiting work of each pool, in cores.
    pub work: IndexMap<PoolId, (u32, u32)>,
}

impl Platform {
    pub fn new(machines: usize, wave: WaveRule) -> Self {
        let now = Instant::now();
        let views = (0..machines).map(|number| {
            let machine = MachineId::from(format!("m{number}"));
            let view = MachineView {
                machine: machine.clone(),
                pool: "pool".into(),
                state: MachineState::Up,
                zone: "zone".into(),
                worker: Some(format!("w{number}").into()),
            };
            (machine, view)
        });
        let config = Arc::new(FleetConfig {
            version: 1,
            pools: IndexMap::from([(PoolId::from("pool"), PoolRule::default())]),
            waves: IndexMap::from([(1, wave)]),
            ..Default::default()
        });
        Self {
            now,
            controller: controller(1, &config, IndexMap::new(), now),
            config,
            views: views.collect(),
            back_at: IndexMap::new(),
            drained: true,
            outcome: MachineOutcome::Done,
            orders: Vec::new(),
            most_down: 0,
            stored_progress: IndexMap::new(),
            reports: Vec::new(),
            ownership_checks: 0,
            worker_count: 0,
            long_running: Vec::new(),
            unavailable: Vec::new(),
            unreachable: Vec::new(),
            lists_are_complete: true,
            ended: Vec::new(),
            work: IndexMap::new(),
        }
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(50);
            self.restore_machines();
            self.handle(MachineEvent::Tick);
        }
    }

    pub fn handle(&mut self, event: MachineEvent) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for command in self.controller.handle(self.now, event) {
                events.extend(self.perform(command));
            }
        }
    }

    /// Returns the list of the machines.
    pub fn list(&self) -> MachineList {
        MachineList {
            machines: self.views.values().cloned().collect(),
            is_complete: self.lists_are_complete,
        }
    }

    pub fn perform(&mut self, command: MachineCommand) -> Option<MachineEvent> {
        match command {
            MachineCommand::ListMachines => {
                return Some(MachineEvent::Machines {
                    list: self.list(),
                    requested_at: self.now,
                });
            }
            MachineCommand::Survey(shard, order) => {
                let shards = MachineSettings::default().shards;
                let own = shard == find_shard("pool", shards);
                // No owner reports a worker that is gone.
                let exists = |worker: &WorkerId| {
                    let mut views = self.views.values();
                    views.any(|view| view.worker.as_ref() == Some(worker))
                };
                let drained = order.drain.into_iter().filter(exists);
                let drained = if self.drained {
                    drained.collect()
                } else {
                    Vec::new()
                };
                let report = SurveyReport {
                    pools: self.loads(shard),
                    drained,
                    unreachable: if own {
                        self.unreachable.clone()
                    } else {
                        Vec::new()
                    },
                };
                self.ended = order.ended;
                return Some(MachineEvent::Surveyed {
                    shard,
                    report,
                    requested_at: self.now,
                });
            }
            MachineCommand::Order(order) => {
                self.orders.push(order.clone());
                if self.outcome == MachineOutcome::Done {
                    self.carry_out(&order);
                }
                let outcome = self.outcome;
                return Some(MachineEvent::Ordered { order, outcome });
            }
            MachineCommand::StoreProgress(wave, progress) => {
                self.stored_progress.insert(wave, progress);
            }
            MachineCommand::ReportWave(wave, completed) => self.reports.push((wave, completed)),
            MachineCommand::CheckOwnership => self.ownership_checks += 1,
        }
        None
    }

    pub fn carry_out(&mut self, order: &MachineOrder) {
        let machine = &order.machine;
        let view = &mut self.views[machine];
        view.state = match &order.action {
            MachineAction::Upkeep(_) => MachineState::Upkeep,
            MachineAction::Move(pool) => {
                view.pool = pool.clone();
                MachineState::Moving
            }
        };
        view.worker = None;
        self.back_at.insert(machine.clone(), self.now + ORDER_TIME);
        let down = self
            .views
            .values()
            .filter(|view| view.state == MachineState::Upkeep);
        self.most_down = self.most_down.max(down.count());
    }

    pub fn restore_machines(&mut self) {
        let now = self.now;
        let restored: Vec<MachineId> = self
            .back_at
            .iter()
            .filter(|(_, at)| now >= **at)
            .map(|(machine, _)| machine.clone())
            .collect();
        for machine in restored {
            self.back_at.swap_remove(&machine);
            self.worker_count += 1;
            let view = &mut self.views[&machine];
            view.state = MachineState::Up;
            // Machines of the spare pool are off.
            let off = &*view.pool == "spare";
            view.worker = (!off).then(|| format!("again{}", self.worker_count).into());
        }
    }

    /// Returns the loads of a shard's pools, with all workers without long-running tasks movable.
    pub fn loads(&self, shard: ShardNumber) -> Vec<PoolLoad> {
        let shards = MachineSettings::default().shards;
        let pools = self
            .work
            .iter()
            .filter(|(pool, _)| find_shard(pool, shards) == shard);
        let load = |(pool, (used, waiting)): (&PoolId, &(u32, u32))| {
            let members = self.views.values().filter(|view| view.pool == *pool);
            let up = members.filter(|view| view.state == MachineState::Up);
            let workers = up.filter_map(|view| view.worker.clone());
            let (unavailable, movable): (Vec<WorkerId>, Vec<WorkerId>) =
                workers.partition(|worker| self.unavailable.contains(worker));
            let workers = movable.len() as u32;
            let movable = movable.into_iter();
            let movable = movable.filter(|worker| !self.long_running.contains(worker));
            let movable = movable.collect();
            PoolLoad {
                pool: pool.clone(),
                workers,
                capacity: cores(32 * workers),
                used: cores(*used),
                waiting: cores(*waiting),
                movable,
                evacuated: unavailable.clone(),
                unavailable,
                ..Default::default()
            }
        };
        pools.map(load).collect()
    }

    pub fn members(&self, pool: &str) -> usize {
        self.views
            .values()
            .filter(|view| &*view.pool == pool)
            .count()
    }

    pub fn started(&self) -> usize {
        let machines: IndexSet<&MachineId> = self.orders.iter().map(|o| &o.machine).collect();
        machines.len()
    }
}

pub fn controller(
    epoch: OwnerEpoch,
    config: &Arc<FleetConfig>,
    progress: IndexMap<WaveNumber, WaveProgress>,
    now: Instant,
) -> MachineController {
    MachineController::new(
        MachineSettings::default(),
        epoch,
        Arc::clone(config),
        progress,
        now,
    )
}

pub fn cores(cores: u32) -> ResourceSize {
    ResourceSize {
        millicores: cores * 1000,
        ..Default::default()
    }
}

/// Creates a platform without a wave, with pools `a` and `b` of six machines each and a spare pool
/// of four.
pub fn pools() -> Platform {
    let mut platform = Platform::new(16, WaveRule::default());
    for (number, view) in platform.views.values_mut().enumerate() {
        view.pool = match number {
            0..6 => "a".into(),
            6..12 => "b".into(),
            _ => "spare".into(),
        };
        if number >= 12 {
            view.worker = None;
        }
    }
    let spare = PoolRule {
        spare: true,
        ..Default::default()
    };
    let rules = [
        ("a", PoolRule::default()),
        ("b", PoolRule::default()),
        ("spare", spare),
    ];
    let rules = rules.map(|(pool, rule)| (PoolId::from(pool), rule));
    platform.config = Arc::new(FleetConfig {
        version: 1,
        pools: IndexMap::from(rules),
        ..Default::default()
    });
    platform.controller = controller(1, &platform.config, IndexMap::new(), platform.now);
    platform
}

/// Creates a wave of the first machines.
pub fn wave(machines: usize, max_down: usize) -> WaveRule {
    WaveRule {
        machines: (0..machines)
            .map(|number| format!("m{number}").into())
            .collect(),
        duration: Duration::from_secs(30),
        max_down,
    }
}
