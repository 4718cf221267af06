//! Buffer cost, roll-out time and moves, beside simple baselines in the same run.
//!
//! Feeds the pool ledger and a planner with made-up machines in virtual time. Run it with
//! `cargo bench -p pw_benches --bench maintenance`.

use std::time::{Duration, Instant, SystemTime};

use indexmap::IndexMap;
use pw_base::prelude::*;
use pw_plan::buffer::{DomainKind, shared_buffer};
use pw_plan::prelude::*;
use pw_pool::prelude::*;
use pw_worker::prelude::*;
use pw_zone::prelude::*;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

const SEED: u64 = 11;
const HOUR: Duration = Duration::from_secs(60 * 60);
const DAY: Duration = Duration::from_secs(24 * 60 * 60);
/// Longest time for which a drained machine still runs tasks.
const MAX_DRAIN_TIME: Duration = Duration::from_secs(10 * 60);
/// Time of a reboot.
const REBOOT_TIME: Duration = Duration::from_secs(10 * 60);
/// Time until a failed machine is mended.
const REPAIR_TIME: Duration = Duration::from_secs(4 * 60 * 60);
/// Failures a day in a fleet of [`LARGE_SIZE`] workers.
const FAILURES_PER_DAY: f64 = 150.0;
/// Workers of the large fleet.
const LARGE_SIZE: usize = 8_500;

/// Shape of a fleet.
#[derive(Clone)]
struct FleetShape {
    name: &'static str,
    /// Sizes of the pools; the last pool is the spare one.
    pools: Vec<usize>,
    zones: usize,
    rack_size: usize,
    max_unavailable: u32,
    tick: Duration,
}

/// What happens to a fleet.
#[derive(Clone, Copy)]
struct Trouble {
    failures: bool,
    zone_outage: Option<(Duration, Duration)>,
    rack_failure: Option<Duration>,
}

/// A machine in virtual time.
struct BenchMachine {
    report: MachineReport,
    until: Option<Instant>,
    mended: Option<Instant>,
}

/// A fleet with one planner in virtual time.
struct BenchFleet {
    shape: FleetShape,
    zones: Vec<ZoneSpec>,
    workers: Vec<WorkerSpec>,
    pools: Vec<PoolSpec>,
    ledger: PoolLedger,
    machines: IndexMap<WorkerId, BenchMachine>,
    planner: FleetPlanner,
    random: SmallRng,
    start: Instant,
    now: Instant,
    offset: LogOffset,
    changed: Vec<WorkerId>,
    result: BenchResult,
}

/// What a run gave.
#[derive(Debug, Default, Clone)]
struct BenchResult {
    roll_out: Option<Duration>,
    maintained: usize,
    moves: usize,
    appends: usize,
    breaches: usize,
    ticks: u32,
    planner_time: Duration,
    slowest_tick: Duration,
    zone_buffer: BufferNeed,
    rack_buffer: BufferNeed,
}

impl FleetShape {
    /// The shape of both deployments today.
    fn today(name: &'static str) -> Self {
        Self {
            name,
            pools: vec![12, 10, 10, 8, 10],
            zones: 4,
            rack_size: 4,
            max_unavailable: 2,
            tick: Duration::from_secs(10),
        }
    }

    fn large() -> Self {
        let mut pools = vec![LARGE_SIZE / 112; 111];
        pools.push(LARGE_SIZE - pools.iter().sum::<usize>());
        Self {
            name: "8,500 workers",
            pools,
            zones: 6,
            rack_size: 16,
            max_unavailable: 4,
            tick: Duration::from_secs(30),
        }
    }

    fn size(&self) -> usize {
        self.pools.iter().sum()
    }

    fn pool_specs(&self) -> Vec<PoolSpec> {
        let last = self.pools.len() - 1;
        let pool = |(number, size): (usize, &usize)| PoolSpec {
            id: format!("pool-{number:03}").into(),
            workers: (0..*size)
                .map(|n| format!("pool-{number:03}-{n:03}").into())
                .collect(),
            max_unavailable: self.max_unavailable,
            spare: number == last,
            min_workers: (*size / 4) as u32,
        };
        self.pools.iter().enumerate().map(pool).collect()
    }

    /// Spreads each pool over all zones; racks are filled in the order of the pools.
    fn worker_specs(&self, pools: &[PoolSpec]) -> Vec<WorkerSpec> {
        let mut in_zone = vec![0; self.zones];
        let names = pools
            .iter()
            .flat_map(|pool| pool.workers.iter().enumerate());
        let worker = |(index, id): (usize, &WorkerId)| {
            let zone = index % self.zones;
            let rack = in_zone[zone] / self.rack_size;
            in_zone[zone] += 1;
            WorkerSpec {
                id: id.clone(),
                zone: format!("zone-{zone}").into(),
                rack: format!("rack-{rack:03}").into(),
                cores: 32,
                memory_gib: 64,
                accelerators: 0,
                slots: 8,
                connections: 64,
            }
        };
        names.map(worker).collect()
    }
}

impl BenchFleet {
    fn new(shape: &FleetShape, settings: PlanSettings) -> Self {
        let start = Instant::now();
        let pools = shape.pool_specs();
        let workers = shape.worker_specs(&pools);
        let zone = |number: usize| ZoneSpec {
            id: format!("zone-{number}").into(),
            ..ZoneSpec::default()
        };
        let machine = |spec: &WorkerSpec| {
            let report = MachineReport {
                worker: spec.id.clone(),
                boot: 1,
                state: MachineState::Serving,
                operation: 0,
            };
            let machine = BenchMachine {
                report,
                until: None,
                mended: None,
            };
            (spec.id.clone(), machine)
        };
        let settings = PlanSettings {
            tick: shape.tick,
            reading_validity: 2 * shape.tick,
            max_steps: 1_000,
            ..settings
        };
        let mut fleet = Self {
            zones: (0..shape.zones).map(zone).collect(),
            machines: workers.iter().map(machine).collect(),
            changed: workers.iter().map(|spec| spec.id.clone()).collect(),
            workers,
            pools,
            ledger: PoolLedger::default(),
            planner: FleetPlanner::new(start, settings),
            random: SmallRng::seed_from_u64(SEED),
            start,
            now: start,
            offset: 0,
            result: BenchResult::default(),
            shape: shape.clone(),
        };
        fleet.apply();
        fleet
    }

    fn apply(&mut self) {
        self.offset += 1;
        let fleet = DeclaredFleet {
            zones: &self.zones,
            workers: &self.workers,
            pools: &self.pools,
        };
        self.ledger.apply_fleet(self.offset, fleet);
    }

    /// Runs for `time`, or until the first wave is through when `until_wave` is set.
    fn run(mut self, time: Duration, trouble: Trouble, until_wave: bool) -> BenchResult {
        while self.now < self.start + time {
            self.now += self.shape.tick;
            self.happen(trouble);
            self.pass_time();
            self.think();
            self.note();
            if until_wave && self.result.roll_out.is_some() {
                break;
            }
        }
        let wave = |one: &&PoolInstance| one.maintained >= 1;
        self.result.maintained = self.ledger.instances().filter(wave).count();
        self.result
    }

    fn happen(&mut self, trouble: Trouble) {
        let age = self.now - self.start;
        let tick = self.shape.tick;
        let is_at = |at: Duration| age >= at && age < at + tick;
        if let Some((out, back)) = trouble.zone_outage {
            if is_at(out) {
                self.zones[0].status = ZoneStatus::OutOfService;
                self.apply();
            }
            if is_at(back) {
                self.zones[0].status = ZoneStatus::InService;
                self.apply();
            }
        }
        if trouble.rack_failure.is_some_and(is_at) {
            let in_rack = |spec: &&WorkerSpec| &*spec.zone == "zone-1" && &*spec.rack == "rack-000";
            let rack = self.workers.iter().filter(in_rack);
            let rack: Vec<WorkerId> = rack.map(|spec| spec.id.clone()).collect();
            rack.iter().for_each(|worker| self.fail(worker));
        }
        if trouble.failures {
            let per_tick = FAILURES_PER_DAY * self.shape.size() as f64 / LARGE_SIZE as f64
                * self.shape.tick.as_secs_f64()
                / DAY.as_secs_f64();
            if self.random.random_bool(per_tick.min(1.0)) {
                let chosen = self.workers.choose(&mut self.random);
                let chosen = chosen.map(|spec| spec.id.clone());
                chosen.iter().for_each(|worker| self.fail(worker));
            }
        }
    }

    fn fail(&mut self, worker: &WorkerId) {
        let mended = self.now + REPAIR_TIME;
        if let Some(machine) = self.machines.get_mut(worker) {
            machine.report.state = MachineState::Lost;
            machine.until = None;
            machine.mended = Some(mended);
            self.changed.push(worker.clone());
        }
    }

    fn pass_time(&mut self) {
        let now = self.now;
        for (worker, machine) in &mut self.machines {
            if machine.mended.is_some_and(|mended| mended <= now) {
                machine.mended = None;
                machine.report.boot += 1;
                machine.report.operation = 0;
                machine.report.state = MachineState::Serving;
                self.changed.push(worker.clone());
            }
            if machine.until.is_some_and(|until| until <= now) {
                machine.until = None;
                if machine.report.state == MachineState::Rebooting {
                    machine.report.boot += 1;
                }
                machine.report.state = MachineState::Drained;
                self.changed.push(worker.clone());
            }
        }
    }

    fn think(&mut self) {
        let reports = self.changed.drain(..);
        let reports = reports.filter_map(|worker| Some(self.machines.get(&worker)?.report.clone()));
        let changes = MachineChanges {
            next: self.offset,
            machines: reports.collect(),
        };
        let begin = Instant::now();
        let now = self.now;
        let wall = SystemTime::UNIX_EPOCH + 100 * 365 * DAY + (now - self.start);
        let pools = &self.ledger;
        self.planner.handle(
            now,
            PlanEvent::LogRead {
                requested_at: now,
                pools,
            },
        );
        self.planner.handle(now, PlanEvent::MachinesRead(changes));
        let commands = self
            .planner
            .handle(now, PlanEvent::TimePassed { wall, pools });
        let spent = begin.elapsed();
        self.result.ticks += 1;
        self.result.planner_time += spent;
        self.result.slowest_tick = self.result.slowest_tick.max(spent);
        for command in commands {
            match command {
                PlanCommand::Propose(proposal) => self.append(&proposal),
                PlanCommand::Order(order) => self.obey(&order),
                PlanCommand::ReadMachines { .. } => {}
            }
        }
    }

    fn append(&mut self, proposal: &PoolProposal) {
        self.offset += 1;
        self.result.appends += 1;
        let PoolProposal::Steps { steps, .. } = proposal else {
            self.ledger.advance(self.offset, proposal);
            return;
        };
        let observes = |step: &PoolStep| {
            matches!(
                step.change,
                PoolChange::Failed | PoolChange::Appeared { .. }
            )
        };
        let mut touched: IndexMap<PoolId, bool> = IndexMap::new();
        for step in steps {
            if let Some(pool) = self.ledger.pool_of(&step.worker) {
                let held = self.ledger.budget(pool).is_met() && !observes(step);
                let all = touched.entry(pool.clone()).or_insert(held);
                *all &= held;
            }
        }
        let verdict = self.ledger.advance(self.offset, proposal);
        let broken = |(pool, held): (&PoolId, &bool)| *held && !self.ledger.budget(pool).is_met();
        self.result.breaches += touched.iter().filter(|entry| broken(*entry)).count();
        let PoolOutcome::Accepted { rejected } = verdict else {
            return;
        };
        let moved = steps.iter().filter(|step| {
            let accepted = rejected.iter().all(|(worker, _)| *worker != step.worker);
            accepted && matches!(step.change, PoolChange::Move { .. })
        });
        self.result.moves += moved.count();
    }

    fn obey(&mut self, order: &MachineOrder) {
        let drain_time = MAX_DRAIN_TIME.mul_f64(self.random.random_range(0.0..1.0));
        let now = self.now;
        let Some(machine) = self.machines.get_mut(&order.worker) else {
            return;
        };
        if order.boot != machine.report.boot || order.operation < machine.report.operation {
            return;
        }
        let is_new = order.operation > machine.report.operation;
        machine.report.operation = order.operation;
        match order.action {
            MachineAction::Drain if is_new => {
                machine.report.state = MachineState::Draining;
                machine.until = Some(now + drain_time);
            }
            MachineAction::Stop => machine.until = Some(now),
            MachineAction::Reboot if machine.report.state == MachineState::Drained => {
                machine.report.state = MachineState::Rebooting;
                machine.until = Some(now + REBOOT_TIME);
            }
            MachineAction::Resume => machine.report.state = MachineState::Serving,
            _ => {}
        }
        self.changed.push(order.worker.clone());
    }

    fn note(&mut self) {
        let wave_done = self.ledger.wave().number == 1 && self.ledger.wave_finished();
        if wave_done && self.result.roll_out.is_none() {
            self.result.roll_out = Some(self.now - self.start);
        }
        if self.result.ticks % 60 == 10 {
            let larger = |left: BufferNeed, right: BufferNeed| BufferNeed {
                shared: left.shared.max(right.shared),
                separate: left.separate.max(right.separate),
            };
            let zone = shared_buffer(&self.ledger, DomainKind::Zone);
            let rack = shared_buffer(&self.ledger, DomainKind::Rack);
            self.result.zone_buffer = larger(self.result.zone_buffer, zone);
            self.result.rack_buffer = larger(self.result.rack_buffer, rack);
        }
    }
}

impl BenchResult {
    fn print(&self, shape: &FleetShape, plan: &str) {
        let hours = |time: Duration| format!("{:.1} h", time.as_secs_f64() / 3_600.0);
        let roll_out = self.roll_out.map_or("not finished".to_owned(), hours);
        let mean = self.planner_time.as_secs_f64() * 1_000.0 / f64::from(self.ticks.max(1));
        println!(
            "{:<14} {:<26} roll-out {:<12} maintained {:>5}/{:<5} moves {:>4} appends {:>6} \
             breaches {} planner {:.2} ms mean, {:.2} ms worst per look",
            shape.name,
            plan,
            roll_out,
            self.maintained,
            shape.size(),
            self.moves,
            self.appends,
            self.breaches,
            mean,
            self.slowest_tick.as_secs_f64() * 1_000.0,
        );
    }

    fn print_buffers(&self, shape: &FleetShape) {
        for (kind, need) in [("zone", self.zone_buffer), ("rack", self.rack_buffer)] {
            let percent = |workers: u32| 100.0 * f64::from(workers) / shape.size() as f64;
            println!(
                "{:<14} buffer for the loss of a {kind}, drains in flight: shared {} ({:.1} %), \
                 one for each pool {} ({:.1} %)",
                shape.name,
                need.shared,
                percent(need.shared),
                need.separate,
                percent(need.separate),
            );
        }
    }
}

/// Prints the roll-out with and without failures, and the baseline of one worker at a time.
fn bench_roll_out(shape: &FleetShape, baseline_time: Duration) {
    let calm = Trouble {
        failures: false,
        zone_outage: None,
        rack_failure: None,
    };
    let failing = Trouble {
        failures: true,
        rack_failure: Some(2 * HOUR),
        ..calm
    };
    let settings = PlanSettings::default();
    let result = BenchFleet::new(shape, settings.clone()).run(14 * DAY, calm, true);
    result.print(shape, "planner");
    result.print_buffers(shape);
    let result = BenchFleet::new(shape, settings.clone()).run(14 * DAY, failing, true);
    result.print(shape, "planner, failures");
    let one_by_one = PlanSettings {
        max_maintenance_percent: 0,
        ..settings
    };
    let result = BenchFleet::new(shape, one_by_one).run(baseline_time, failing, true);
    let days = baseline_time.as_secs_f64() / DAY.as_secs_f64();
    result.print(shape, &format!("one at a time, {days:.0} d at most"));
}

/// Prints the moves during failures and a zone outage, and the baseline without hysteresis.
fn bench_moves(shape: &FleetShape, time: Duration) {
    let trouble = Trouble {
        failures: true,
        zone_outage: Some((12 * HOUR, 14 * HOUR)),
        rack_failure: Some(6 * HOUR),
    };
    let settings = PlanSettings::default();
    let result = BenchFleet::new(shape, settings.clone()).run(time, trouble, false);
    result.print(shape, "zone outage");
    let eager = PlanSettings {
        borrow_after: Duration::ZERO,
        give_back_after: Duration::ZERO,
        ..settings
    };
    let result = BenchFleet::new(shape, eager).run(time, trouble, false);
    result.print(shape, "zone outage, no hysteresis");
}

fn main() {
    let telar = FleetShape::today("Telar Norte");
    let guild = FleetShape::today("the Guild");
    for shape in [&telar, &guild] {
        bench_roll_out(shape, 14 * DAY);
        bench_moves(shape, 3 * DAY);
    }
    let large = FleetShape::large();
    bench_roll_out(&large, DAY);
    bench_moves(&large, DAY);
}
