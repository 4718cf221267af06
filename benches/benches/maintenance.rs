//! Compares buffer cost, roll-out time and moves of maintenance with simple baselines.
//!
//! Drives the pool ledger and a planner with fake machines in virtual time. Run it with
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
/// Maximum time that a draining machine takes to finish its tasks.
const MAX_DRAIN_TIME: Duration = Duration::from_secs(10 * 60);
/// Duration of a reboot.
const REBOOT_TIME: Duration = Duration::from_secs(10 * 60);
/// Time until a failed machine is repaired.
const REPAIR_TIME: Duration = Duration::from_secs(4 * 60 * 60);
/// Machine failures per day in a fleet of [`LARGE_SIZE`] workers.
const FAILURES_PER_DAY: f64 = 150.0;
/// Number of workers of the large fleet.
const LARGE_SIZE: usize = 8_500;

/// Shape of a generated fleet.
#[derive(Clone)]
struct FleetShape {
    name: &'static str,
    /// Sizes of the pools; the last pool is the spare pool.
    pools: Vec<usize>,
    zones: usize,
    rack_size: usize,
    max_unavailable: u32,
    tick: Duration,
}

/// Faults to inject into a fleet.
#[derive(Clone, Copy)]
struct InjectedFaults {
    failures: bool,
    zone_outage: Option<(Duration, Duration)>,
    rack_failure: Option<Duration>,
}

/// Fake machine that executes orders in virtual time.
struct FakeMachine {
    report: MachineReport,
    done_at: Option<Instant>,
    repaired_at: Option<Instant>,
}

/// Fleet of fake machines with one planner.
struct FakeFleet {
    shape: FleetShape,
    zones: Vec<ZoneSpec>,
    workers: Vec<WorkerSpec>,
    pools: Vec<PoolSpec>,
    ledger: PoolLedger,
    machines: IndexMap<WorkerId, FakeMachine>,
    planner: FleetPlanner,
    random: SmallRng,
    start: Instant,
    now: Instant,
    offset: LogOffset,
    changed: Vec<WorkerId>,
    result: BenchResult,
}

/// Results of a run.
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
    /// Returns the current shape of both deployments.
    fn current(name: &'static str) -> Self {
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

    /// Spreads each pool over all availability zones; racks are filled in the order of the pools.
    fn worker_specs(&self, pools: &[PoolSpec]) -> Vec<WorkerSpec> {
        let mut in_zone = vec![0; self.zones];
        let ids = pools
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
        ids.map(worker).collect()
    }
}

impl FakeFleet {
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
            let machine = FakeMachine {
                report,
                done_at: None,
                repaired_at: None,
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
        fleet.apply_fleet();
        fleet
    }

    fn apply_fleet(&mut self) {
        self.offset += 1;
        let fleet = DeclaredFleet {
            zones: &self.zones,
            workers: &self.workers,
            pools: &self.pools,
        };
        self.ledger.apply_fleet(self.offset, fleet);
    }

    /// Runs for `time`, or only until the first wave is complete if `stop_after_wave` is set.
    fn run(mut self, time: Duration, faults: InjectedFaults, stop_after_wave: bool) -> BenchResult {
        while self.now < self.start + time {
            self.now += self.shape.tick;
            self.inject_faults(faults);
            self.advance_machines();
            self.run_planner();
            self.record_progress();
            if stop_after_wave && self.result.roll_out.is_some() {
                break;
            }
        }
        let is_maintained = |instance: &&PoolInstance| instance.maintained >= 1;
        self.result.maintained = self.ledger.instances().filter(is_maintained).count();
        self.result
    }

    fn inject_faults(&mut self, faults: InjectedFaults) {
        let age = self.now - self.start;
        let tick = self.shape.tick;
        let is_due = |at: Duration| age >= at && age < at + tick;
        if let Some((start, end)) = faults.zone_outage {
            if is_due(start) {
                self.zones[0].status = ZoneStatus::OutOfService;
                self.apply_fleet();
            }
            if is_due(end) {
                self.zones[0].status = ZoneStatus::InService;
                self.apply_fleet();
            }
        }
        if faults.rack_failure.is_some_and(is_due) {
            let in_rack = |spec: &&WorkerSpec| &*spec.zone == "zone-1" && &*spec.rack == "rack-000";
            let rack = self.workers.iter().filter(in_rack);
            let rack: Vec<WorkerId> = rack.map(|spec| spec.id.clone()).collect();
            rack.iter().for_each(|worker| self.fail(worker));
        }
        if faults.failures {
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
        let repaired_at = self.now + REPAIR_TIME;
        if let Some(machine) = self.machines.get_mut(worker) {
            machine.report.state = MachineState::Lost;
            machine.done_at = None;
            machine.repaired_at = Some(repaired_at);
            self.changed.push(worker.clone());
        }
    }

    fn advance_machines(&mut self) {
        let now = self.now;
        for (worker, machine) in &mut self.machines {
            if machine
                .repaired_at
                .is_some_and(|repaired_at| repaired_at <= now)
            {
                machine.repaired_at = None;
                machine.report.boot += 1;
                machine.report.operation = 0;
                machine.report.state = MachineState::Serving;
                self.changed.push(worker.clone());
            }
            if machine.done_at.is_some_and(|done_at| done_at <= now) {
                machine.done_at = None;
                if machine.report.state == MachineState::Rebooting {
                    machine.report.boot += 1;
                }
                machine.report.state = MachineState::Drained;
                self.changed.push(worker.clone());
            }
        }
    }

    fn run_planner(&mut self) {
        let reports = self.changed.drain(..);
        let reports = reports.filter_map(|worker| Some(self.machines.get(&worker)?.report.clone()));
        let changes = MachineChanges {
            next: self.offset,
            machines: reports.collect(),
        };
        let started = Instant::now();
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
        let elapsed = started.elapsed();
        self.result.ticks += 1;
        self.result.planner_time += elapsed;
        self.result.slowest_tick = self.result.slowest_tick.max(elapsed);
        for command in commands {
            match command {
                PlanCommand::Propose(proposal) => self.append(&proposal),
                PlanCommand::Order(order) => self.execute_order(&order),
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
        let is_observation = |step: &PoolStep| {
            matches!(
                step.change,
                PoolChange::Failed | PoolChange::Appeared { .. }
            )
        };
        let mut affected_pools: IndexMap<PoolId, bool> = IndexMap::new();
        for step in steps {
            if let Some(pool) = self.ledger.pool_of(&step.worker) {
                let was_met = self.ledger.budget(pool).is_met() && !is_observation(step);
                let pool_was_met = affected_pools.entry(pool.clone()).or_insert(was_met);
                *pool_was_met &= was_met;
            }
        }
        let outcome = self.ledger.advance(self.offset, proposal);
        let is_breached =
            |(pool, was_met): (&PoolId, &bool)| *was_met && !self.ledger.budget(pool).is_met();
        self.result.breaches += affected_pools
            .iter()
            .filter(|entry| is_breached(*entry))
            .count();
        let PoolOutcome::Accepted { rejected } = outcome else {
            return;
        };
        let moved = steps.iter().filter(|step| {
            let accepted = rejected.iter().all(|(worker, _)| *worker != step.worker);
            accepted && matches!(step.change, PoolChange::Move { .. })
        });
        self.result.moves += moved.count();
    }

    fn execute_order(&mut self, order: &MachineOrder) {
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
                machine.done_at = Some(now + drain_time);
            }
            MachineAction::Stop => machine.done_at = Some(now),
            MachineAction::Reboot if machine.report.state == MachineState::Drained => {
                machine.report.state = MachineState::Rebooting;
                machine.done_at = Some(now + REBOOT_TIME);
            }
            MachineAction::Resume => machine.report.state = MachineState::Serving,
            _ => {}
        }
        self.changed.push(order.worker.clone());
    }

    fn record_progress(&mut self) {
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

/// Prints the roll-out with and without failures, and a baseline with one worker at a time.
fn bench_roll_out(shape: &FleetShape, baseline_time: Duration) {
    let no_faults = InjectedFaults {
        failures: false,
        zone_outage: None,
        rack_failure: None,
    };
    let failing = InjectedFaults {
        failures: true,
        rack_failure: Some(2 * HOUR),
        ..no_faults
    };
    let settings = PlanSettings::default();
    let result = FakeFleet::new(shape, settings.clone()).run(14 * DAY, no_faults, true);
    result.print(shape, "planner");
    result.print_buffers(shape);
    let result = FakeFleet::new(shape, settings.clone()).run(14 * DAY, failing, true);
    result.print(shape, "planner, failures");
    let one_at_a_time = PlanSettings {
        max_maintenance_percent: 0,
        ..settings
    };
    let result = FakeFleet::new(shape, one_at_a_time).run(baseline_time, failing, true);
    let days = baseline_time.as_secs_f64() / DAY.as_secs_f64();
    result.print(shape, &format!("one at a time, {days:.0} d at most"));
}

/// Prints the moves during failures and a zone outage, and a baseline without hysteresis.
fn bench_moves(shape: &FleetShape, time: Duration) {
    let faults = InjectedFaults {
        failures: true,
        zone_outage: Some((12 * HOUR, 14 * HOUR)),
        rack_failure: Some(6 * HOUR),
    };
    let settings = PlanSettings::default();
    let result = FakeFleet::new(shape, settings.clone()).run(time, faults, false);
    result.print(shape, "zone outage");
    let without_hysteresis = PlanSettings {
        borrow_after: Duration::ZERO,
        give_back_after: Duration::ZERO,
        ..settings
    };
    let result = FakeFleet::new(shape, without_hysteresis).run(time, faults, false);
    result.print(shape, "zone outage, no hysteresis");
}

fn main() {
    let telar = FleetShape::current("Telar Norte");
    let guild = FleetShape::current("the Guild");
    for shape in [&telar, &guild] {
        bench_roll_out(shape, 14 * DAY);
        bench_moves(shape, 3 * DAY);
    }
    let large = FleetShape::large();
    bench_roll_out(&large, DAY);
    bench_moves(&large, DAY);
}
