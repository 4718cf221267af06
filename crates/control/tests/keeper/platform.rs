//! A fake platform around the keeper of machines.

use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use pw_base::prelude::*;
use pw_control::prelude::*;
use pw_worker::prelude::*;

/// Time for an order to be carried out.
pub const UPKEEP: Duration = Duration::from_secs(2);

/// The platform's machines, and the commands that wait.
pub struct Platform {
    pub now: Instant,
    pub keeper: MachineController,
    pub config: Arc<FleetConfig>,
    pub views: IndexMap<MachineId, MachineView>,
    pub back_at: IndexMap<MachineId, Instant>,
    /// Workers that are clear as soon as they are to be vacated.
    pub clear: bool,
    /// What the platform answers; carries orders out only for [`MachineOutcome::Done`].
    pub outcome: MachineOutcome,
    pub orders: Vec<MachineOrder>,
    pub most_down: usize,
    pub notes: IndexMap<WaveNumber, WaveProgress>,
    pub reports: Vec<(WaveNumber, bool)>,
    pub contested: usize,
    pub lives: u32,
    /// Workers that run something that lasts.
    pub anchored: Vec<WorkerId>,
    /// Workers of no use to their pools.
    pub unavailable: Vec<WorkerId>,
    /// Workers that the owners can't ask.
    pub silent: Vec<SilentWorker>,
    /// Lives that an owner was last told are over.
    pub ended: Vec<WorkerLife>,
    /// Cores that run and wait in each pool.
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
            keeper: keeper(1, &config, IndexMap::new(), now),
            config,
            views: views.collect(),
            back_at: IndexMap::new(),
            clear: true,
            outcome: MachineOutcome::Done,
            orders: Vec::new(),
            most_down: 0,
            notes: IndexMap::new(),
            reports: Vec::new(),
            contested: 0,
            lives: 0,
            anchored: Vec::new(),
            unavailable: Vec::new(),
            silent: Vec::new(),
            ended: Vec::new(),
            work: IndexMap::new(),
        }
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(50);
            self.bring_back();
            self.tell(MachineEvent::Tick);
        }
    }

    pub fn tell(&mut self, event: MachineEvent) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for command in self.keeper.handle(self.now, event) {
                events.extend(self.perform(command));
            }
        }
    }

    pub fn perform(&mut self, command: MachineCommand) -> Option<MachineEvent> {
        match command {
            MachineCommand::ListMachines => {
                return Some(MachineEvent::Machines {
                    machines: self.views.values().cloned().collect(),
                    requested_at: self.now,
                });
            }
            MachineCommand::Survey(shard, order) => {
                let shards = MachineSettings::default().shards;
                let own = shard == find_shard("pool", shards);
                // Nobody speaks for a worker that is gone.
                let there = |worker: &WorkerId| {
                    let mut views = self.views.values();
                    views.any(|view| view.worker.as_ref() == Some(worker))
                };
                let clear = order.vacate.into_iter().filter(there);
                let clear = if self.clear {
                    clear.collect()
                } else {
                    Vec::new()
                };
                let report = SurveyReport {
                    pools: self.loads(shard),
                    clear,
                    silent: if own { self.silent.clone() } else { Vec::new() },
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
                    self.begin(&order);
                }
                let outcome = self.outcome;
                return Some(MachineEvent::Ordered { order, outcome });
            }
            MachineCommand::StoreProgress(wave, progress) => {
                self.notes.insert(wave, progress);
            }
            MachineCommand::ReportWave(wave, completed) => self.reports.push((wave, completed)),
            MachineCommand::CheckOwnership => self.contested += 1,
        }
        None
    }

    pub fn begin(&mut self, order: &MachineOrder) {
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
        self.back_at.insert(machine.clone(), self.now + UPKEEP);
        let down = self
            .views
            .values()
            .filter(|view| view.state == MachineState::Upkeep);
        self.most_down = self.most_down.max(down.count());
    }

    pub fn bring_back(&mut self) {
        let now = self.now;
        let back: Vec<MachineId> = self
            .back_at
            .iter()
            .filter(|(_, at)| now >= **at)
            .map(|(machine, _)| machine.clone())
            .collect();
        for machine in back {
            self.back_at.swap_remove(&machine);
            self.lives += 1;
            let view = &mut self.views[&machine];
            view.state = MachineState::Up;
            // Machines of the spare pool are off.
            let off = &*view.pool == "spare";
            view.worker = (!off).then(|| format!("again{}", self.lives).into());
        }
    }

    /// Returns the work of the pools of a shard, with all their workers free to move.
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
            let movable = movable.filter(|worker| !self.anchored.contains(worker));
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

pub fn keeper(
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

/// Creates a platform without a wave, with pools `a` and `b` of six machines each and a spare one of
/// four.
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
    platform.keeper = keeper(1, &platform.config, IndexMap::new(), platform.now);
    platform
}

/// A wave over the first machines.
pub fn wave(machines: usize, max_down: usize) -> WaveRule {
    WaveRule {
        machines: (0..machines)
            .map(|number| format!("m{number}").into())
            .collect(),
        duration: Duration::from_secs(30),
        max_down,
    }
}
