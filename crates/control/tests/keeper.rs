//! The keeper of machines against a fake platform.

use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use pw_base::prelude::*;
use pw_control::prelude::*;
use pw_worker::prelude::*;

/// Time for an order to be carried out.
const UPKEEP: Duration = Duration::from_secs(2);

/// The platform's machines, and the commands that wait.
struct Platform {
    now: Instant,
    keeper: FleetKeeper,
    config: Arc<FleetConfig>,
    views: IndexMap<MachineId, MachineView>,
    back_at: IndexMap<MachineId, Instant>,
    /// Workers that are clear as soon as they are to be vacated.
    clear: bool,
    /// What the platform answers; carries orders out only for [`MachineOutcome::Done`].
    outcome: MachineOutcome,
    orders: Vec<MachineOrder>,
    most_down: usize,
    notes: IndexMap<WaveNumber, WaveProgress>,
    reports: Vec<(WaveNumber, bool)>,
    contested: usize,
    lives: u32,
    /// Workers that run something that lasts.
    anchored: Vec<WorkerId>,
    /// Workers of no use to their pools.
    unavailable: Vec<WorkerId>,
    /// Workers that the owners can't ask.
    silent: Vec<SilentWorker>,
    /// Lives that an owner was last told are over.
    ended: Vec<WorkerLife>,
    /// Cores that run and wait in each pool.
    work: IndexMap<PoolId, (u32, u32)>,
}

impl Platform {
    fn new(machines: usize, wave: WaveRule) -> Self {
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

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(50);
            self.bring_back();
            self.tell(KeeperEvent::Tick);
        }
    }

    fn tell(&mut self, event: KeeperEvent) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for command in self.keeper.handle(self.now, event) {
                events.extend(self.perform(command));
            }
        }
    }

    fn perform(&mut self, command: KeeperCommand) -> Option<KeeperEvent> {
        match command {
            KeeperCommand::List => {
                return Some(KeeperEvent::Machines {
                    machines: self.views.values().cloned().collect(),
                    asked: self.now,
                });
            }
            KeeperCommand::Survey(shard, order) => {
                let shards = KeeperSettings::default().shards;
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
                return Some(KeeperEvent::Surveyed {
                    shard,
                    report,
                    asked: self.now,
                });
            }
            KeeperCommand::Order(order) => {
                self.orders.push(order.clone());
                if self.outcome == MachineOutcome::Done {
                    self.begin(&order);
                }
                let outcome = self.outcome;
                return Some(KeeperEvent::Ordered { order, outcome });
            }
            KeeperCommand::Note(wave, progress) => {
                self.notes.insert(wave, progress);
            }
            KeeperCommand::Report(wave, completed) => self.reports.push((wave, completed)),
            KeeperCommand::Contested => self.contested += 1,
        }
        None
    }

    fn begin(&mut self, order: &MachineOrder) {
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

    fn bring_back(&mut self) {
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
    fn loads(&self, shard: ShardNumber) -> Vec<PoolLoad> {
        let shards = KeeperSettings::default().shards;
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

    fn members(&self, pool: &str) -> usize {
        self.views
            .values()
            .filter(|view| &*view.pool == pool)
            .count()
    }

    fn begun(&self) -> usize {
        let machines: IndexSet<&MachineId> = self.orders.iter().map(|o| &o.machine).collect();
        machines.len()
    }
}

fn keeper(
    epoch: OwnerEpoch,
    config: &Arc<FleetConfig>,
    progress: IndexMap<WaveNumber, WaveProgress>,
    now: Instant,
) -> FleetKeeper {
    FleetKeeper::new(
        KeeperSettings::default(),
        epoch,
        Arc::clone(config),
        progress,
        now,
    )
}

fn cores(cores: u32) -> ResourceSize {
    ResourceSize {
        millicores: cores * 1000,
        ..Default::default()
    }
}

/// Creates a platform without a wave, with pools `a` and `b` of six machines each and a spare one of
/// four.
fn pools() -> Platform {
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

/// Makes the worker of machine `m0` one that its owner can't ask.
fn silent_first(platform: &mut Platform) {
    platform.run(Duration::from_secs(1));
    platform.silent = vec![SilentWorker {
        machine: "m0".into(),
        life: WorkerLife {
            worker: "w0".into(),
            life: 7,
        },
    }];
}

#[test]
fn the_life_of_a_silent_worker_is_over_when_its_machine_is_listed_as_down() {
    let mut platform = Platform::new(4, WaveRule::default());
    silent_first(&mut platform);
    platform.run(Duration::from_secs(1));
    assert!(platform.ended.is_empty(), "the machine is up");
    platform.views["m0"].state = MachineState::Down;
    platform.views["m0"].worker = None;
    platform.run(Duration::from_millis(500));
    assert_eq!(platform.ended, [platform.silent[0].life.clone()]);
}

/// The machine came back between the reading of the list and the answer of the owner.
#[test]
fn a_list_from_before_the_life_was_named_ends_nothing() {
    let mut platform = Platform::new(4, WaveRule::default());
    platform.views["m0"].state = MachineState::Down;
    platform.views["m0"].worker = None;
    silent_first(&mut platform);
    platform.views["m0"].state = MachineState::Up;
    platform.views["m0"].worker = Some("w0".into());
    platform.run(Duration::from_millis(150));
    assert!(platform.ended.is_empty(), "an old list ended a life");
    platform.run(Duration::from_secs(1));
    assert!(platform.ended.is_empty());
}

/// The platform answers slowly, and an answer from before arrives after a later one.
#[test]
fn a_list_that_was_overtaken_ends_nothing() {
    let mut platform = Platform::new(4, WaveRule::default());
    let early = platform.now;
    silent_first(&mut platform);
    platform.run(Duration::from_millis(500));
    let mut machines: Vec<MachineView> = platform.views.values().cloned().collect();
    machines[0].state = MachineState::Down;
    machines[0].worker = None;
    platform.tell(KeeperEvent::Machines {
        machines,
        asked: early,
    });
    for _ in 0..6 {
        platform.run(Duration::from_millis(50));
        assert!(platform.ended.is_empty(), "an old list ended a life");
    }
}

/// One pool is in its surge and the other one in its lull.
#[test]
fn machines_go_from_a_lull_to_a_surge_and_the_rest_to_the_spare_pool() {
    let mut platform = pools();
    platform.work.insert("a".into(), (190, 150));
    platform.work.insert("b".into(), (20, 0));
    platform.run(Duration::from_secs(6));
    let (a, b) = (platform.members("a"), platform.members("b"));
    assert!(a >= 10, "the surge got {a} machines");
    let lull = SizingSettings::default().smallest + SizingSettings::default().kept;
    assert_eq!(b, lull, "the lull kept machines that it doesn't need");
    platform.work.insert("a".into(), (20, 0));
    platform.run(Duration::from_secs(10));
    assert_eq!(platform.members("a"), lull);
    assert_eq!(platform.members("spare"), 16 - 2 * lull);
}

/// A zone is cut off in a surge: its machines are there, but nothing can be started on them.
#[test]
fn machines_that_cannot_be_used_are_replaced_from_the_spare_pool() {
    let mut platform = pools();
    platform.work.insert("a".into(), (100, 20));
    platform.work.insert("b".into(), (20, 0));
    platform.run(Duration::from_secs(6));
    let before = platform.members("a");
    let pool = platform.views.values().filter(|view| &*view.pool == "a");
    let cut: Vec<WorkerId> = pool
        .filter_map(|view| view.worker.clone())
        .take(3)
        .collect();
    platform.unavailable = cut.clone();
    platform.run(Duration::from_secs(4));
    let views = platform.views.values();
    let usable = views.filter(|view| {
        let cut = view
            .worker
            .as_ref()
            .is_some_and(|worker| cut.contains(worker));
        &*view.pool == "a" && !cut
    });
    // What it has beyond its need only delays that it shrinks.
    let kept = SizingSettings::default().kept;
    let usable = usable.count();
    assert!(usable + kept >= before, "{usable} of {before}");
}

#[test]
fn machines_of_a_zone_that_was_taken_out_go_to_the_spare_pool_and_stay_there() {
    let mut platform = pools();
    platform.work.insert("a".into(), (100, 20));
    platform.work.insert("b".into(), (20, 0));
    platform.run(Duration::from_secs(6));
    for view in platform.views.values_mut().take(4) {
        view.zone = "out".into();
    }
    let pool = platform.views.values().filter(|view| &*view.zone == "out");
    platform.unavailable = pool.filter_map(|view| view.worker.clone()).collect();
    let mut config = (*platform.config).clone();
    config.evacuated = IndexSet::from(["out".into()]);
    platform.config = Arc::new(config);
    platform.tell(KeeperEvent::Config(Arc::clone(&platform.config)));
    platform.run(Duration::from_secs(6));
    platform.work.insert("a".into(), (300, 200));
    platform.run(Duration::from_secs(4));
    let out = platform.views.values().filter(|view| &*view.zone == "out");
    assert!(out.into_iter().all(|view| &*view.pool == "spare"));
}

#[test]
fn no_machine_goes_to_a_pool_that_is_not_configured() {
    let mut platform = pools();
    platform.work.insert("a".into(), (20, 0));
    platform.run(Duration::from_secs(1));
    let load = PoolLoad {
        pool: "unknown".into(),
        used: cores(300),
        waiting: cores(300),
        ..Default::default()
    };
    let report = SurveyReport {
        pools: vec![load],
        ..Default::default()
    };
    platform.tell(KeeperEvent::Surveyed {
        shard: 0,
        report,
        asked: platform.now,
    });
    platform.run(Duration::from_secs(5));
    let moves = platform.orders.iter().map(|order| &order.action);
    let unknown = MachineAction::Move("unknown".into());
    assert_eq!(moves.filter(|action| **action == unknown).count(), 0);
}

#[test]
fn too_few_machines_are_shared_by_need() {
    let mut platform = pools();
    platform.work.insert("a".into(), (190, 600));
    platform.work.insert("b".into(), (190, 200));
    platform.run(Duration::from_secs(6));
    let (a, b) = (platform.members("a"), platform.members("b"));
    assert_eq!(a + b, 16, "a machine stands idle");
    assert!(a > b && b >= 4, "{a} and {b} machines");
}

#[test]
fn nothing_moves_while_the_work_is_unknown() {
    let mut platform = pools();
    platform.run(Duration::from_secs(5));
    assert!(platform.orders.is_empty());
}

#[test]
fn a_spare_machine_that_does_not_come_up_is_let_be() {
    let mut platform = pools();
    platform.outcome = MachineOutcome::Busy;
    platform.work.insert("a".into(), (190, 400));
    platform.work.insert("b".into(), (20, 0));
    platform.run(Duration::from_secs(3));
    let first: IndexSet<MachineId> = platform.orders.iter().map(|o| o.machine.clone()).collect();
    assert!(first.len() > 4, "one refused machine held up the others");
}

fn wave(machines: usize, maximum: usize) -> WaveRule {
    WaveRule {
        machines: (0..machines)
            .map(|number| format!("m{number}").into())
            .collect(),
        duration: Duration::from_secs(30),
        maximum,
    }
}

#[test]
fn a_wave_is_done_within_its_maximum_and_then_reported() {
    let mut platform = Platform::new(12, wave(6, 2));
    platform.run(Duration::from_secs(15));
    assert_eq!(platform.begun(), 6);
    assert_eq!(platform.orders.len(), 6, "a machine was ordered twice");
    assert_eq!(platform.most_down, 2);
    assert_eq!(platform.reports, [(1, false), (1, true)]);
    assert!(platform.notes[&1].completed);
}

/// It takes seconds until the last task that lasts has left a machine.
#[test]
fn machines_with_tasks_that_last_are_taken_first() {
    let mut platform = Platform::new(8, WaveRule::default());
    platform.work.insert("pool".into(), (10, 0));
    platform.anchored = vec!["w5".into(), "w7".into()];
    platform.run(Duration::from_secs(1));
    let mut config = (*platform.config).clone();
    config.waves.insert(2, wave(8, 2));
    platform.tell(KeeperEvent::Config(Arc::new(config)));
    platform.run(Duration::from_secs(4));
    let first: Vec<&str> = platform.orders[..2].iter().map(|o| &*o.machine).collect();
    assert_eq!(first, ["m5", "m7"]);
}

#[test]
fn no_more_than_a_part_of_a_pool_is_taken_at_a_time() {
    let mut platform = Platform::new(8, wave(8, 8));
    platform.run(Duration::from_secs(25));
    assert_eq!(platform.begun(), 8);
    assert_eq!(platform.most_down, 2, "a quarter of eight machines");
}

/// A rack goes dark while its machines are being vacated for their upkeep.
#[test]
fn a_machine_that_came_back_with_another_worker_still_has_its_upkeep() {
    let mut platform = Platform::new(4, wave(4, 4));
    platform.clear = false;
    platform.run(Duration::from_secs(1));
    for (number, view) in platform.views.values_mut().enumerate() {
        view.worker = Some(format!("reborn{number}").into());
    }
    platform.clear = true;
    platform.run(Duration::from_secs(15));
    assert_eq!(platform.begun(), 4);
    assert!(platform.notes[&1].completed);
}

/// A pool in its lull has few machines, and what lasts on them takes seconds to leave.
#[test]
fn two_machines_of_a_small_pool_are_taken_at_a_time() {
    let mut platform = Platform::new(4, wave(4, 4));
    platform.clear = false;
    platform.run(Duration::from_secs(2));
    platform.clear = true;
    platform.run(Duration::from_millis(200));
    assert_eq!(platform.begun(), 2);
}

#[test]
fn a_machine_is_ordered_only_once_its_worker_is_clear() {
    let mut platform = Platform::new(8, wave(2, 2));
    platform.clear = false;
    platform.run(Duration::from_secs(5));
    assert!(platform.orders.is_empty());
    platform.clear = true;
    platform.run(Duration::from_secs(5));
    assert_eq!(platform.begun(), 2);
}

#[test]
fn an_order_without_an_answer_counts_as_down_and_is_repeated() {
    let mut platform = Platform::new(8, wave(4, 1));
    platform.outcome = MachineOutcome::Unanswered;
    platform.run(Duration::from_secs(3));
    assert_eq!(
        platform.begun(),
        1,
        "another machine was ordered while one may be down"
    );
    assert!(platform.orders.len() > 3);
    platform.outcome = MachineOutcome::Done;
    platform.run(Duration::from_secs(20));
    assert_eq!(platform.begun(), 4);
    assert_eq!(platform.most_down, 1);
}

#[test]
fn a_machine_that_is_gone_does_not_hold_the_wave() {
    let mut platform = Platform::new(4, wave(4, 2));
    platform.views.swap_remove("m2");
    platform.run(Duration::from_secs(15));
    assert_eq!(platform.begun(), 3);
    assert_eq!(platform.reports.last(), Some(&(1, true)));
}

#[test]
fn a_wave_is_not_completed_while_the_machines_are_unknown() {
    let mut platform = Platform::new(0, wave(4, 2));
    platform.run(Duration::from_secs(5));
    assert!(!platform.reports.contains(&(1, true)));
}

#[test]
fn the_next_keeper_goes_on_where_the_one_before_stopped() {
    let mut platform = Platform::new(8, wave(4, 1));
    platform.run(Duration::from_millis(3000));
    let done = platform.begun();
    assert!((1..4).contains(&done));
    let progress = platform.notes.clone();
    platform.keeper = keeper(2, &platform.config, progress, platform.now);
    platform.run(Duration::from_secs(20));
    assert_eq!(platform.begun(), 4);
    assert_eq!(platform.orders.len(), 4, "a machine had its upkeep twice");
    assert_eq!(
        platform.most_down, 1,
        "a machine that an earlier keeper ordered was not counted"
    );
    assert!(
        platform
            .orders
            .iter()
            .skip(done)
            .all(|order| order.epoch == 2)
    );
}

#[test]
fn a_fenced_keeper_gives_no_further_orders_for_the_machine() {
    let mut platform = Platform::new(8, wave(1, 1));
    platform.outcome = MachineOutcome::Fenced;
    platform.run(Duration::from_secs(5));
    assert_eq!(platform.orders.len(), 1);
    assert_eq!(platform.contested, 1);
}
