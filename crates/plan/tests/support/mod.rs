//! A small fleet with made-up machines, a log that can be lost, and planner planners, in virtual time.

use std::collections::BTreeSet;
use std::time::{Duration, Instant, SystemTime};

use indexmap::IndexMap;
use pw_base::prelude::*;
use pw_plan::prelude::*;
use pw_pool::prelude::*;
use pw_worker::prelude::*;
use pw_zone::prelude::*;

/// Step of the virtual clock.
pub const STEP: Duration = Duration::from_secs(1);
/// Time that a machine takes to reboot.
const REBOOT_TIME: Duration = Duration::from_secs(60);

/// A machine that carries out orders as the platform promises.
#[derive(Debug, Clone)]
pub struct FakeMachine {
    /// Boot that it runs.
    pub boot: BootId,
    /// What it does.
    pub state: MachineState,
    /// Reboots so far.
    pub reboots: u32,
    /// Whether a running task was stopped or rebooted away.
    pub cut_off: bool,
    /// Whether it was asked to checkpoint.
    pub checkpointed: bool,
    busy_until: Instant,
    back_at: Option<Instant>,
    last_operation: LogOffset,
    done: BTreeSet<(LogOffset, String)>,
}

/// A fleet with its log and planners.
pub struct FakeFleet {
    /// Virtual time.
    pub now: Instant,
    /// Declared availability zones.
    pub zones: Vec<ZoneSpec>,
    /// Declared workers.
    pub workers: Vec<WorkerSpec>,
    /// Declared pools.
    pub pools: Vec<PoolSpec>,
    /// Fold of the log.
    pub ledger: PoolLedger,
    /// Machines by worker.
    pub machines: IndexMap<WorkerId, FakeMachine>,
    /// Planner planners; `None` where one is paused or gone.
    pub planners: Vec<Option<FleetPlanner>>,
    /// Whether the log can be read and appended to.
    pub log_up: bool,
    /// Loses one order in as many; 0 loses none.
    pub lose_orders: usize,
    /// Loses one append in as many; 0 loses none.
    pub lose_appends: usize,
    /// Accepted moves.
    pub moves: usize,
    /// Appended records.
    pub appends: usize,
    offset: LogOffset,
    orders: usize,
    start: Instant,
}

impl FakeMachine {
    fn new(now: Instant, busy: Duration) -> Self {
        Self {
            boot: 1,
            state: MachineState::Serving,
            reboots: 0,
            cut_off: false,
            checkpointed: false,
            busy_until: now + busy,
            back_at: None,
            last_operation: 0,
            done: BTreeSet::new(),
        }
    }

    /// Carries out an order; returns whether it was taken.
    pub fn obey(&mut self, now: Instant, order: &MachineOrder) -> bool {
        let key = (order.operation, order.action.to_string());
        let stale = order.operation < self.last_operation || order.boot != self.boot;
        if stale || !self.done.insert(key) {
            return false;
        }
        self.last_operation = order.operation;
        match order.action {
            MachineAction::Drain => self.state = MachineState::Draining,
            MachineAction::Checkpoint => self.checkpointed = true,
            MachineAction::Stop => {
                self.cut_off = now < self.busy_until;
                self.busy_until = now;
            }
            MachineAction::Reboot => {
                self.cut_off |= now < self.busy_until;
                self.reboots += 1;
                self.state = MachineState::Rebooting;
                self.back_at = Some(now + REBOOT_TIME);
            }
            MachineAction::Resume => self.state = MachineState::Serving,
        }
        true
    }

    /// Replaces the machine under the same name.
    pub fn replace(&mut self) {
        self.boot += 1_000;
        self.state = MachineState::Serving;
        self.back_at = None;
    }

    /// Keeps its tasks running until `end`.
    pub fn set_busy_until(&mut self, end: Instant) {
        self.busy_until = end;
    }

    fn pass_time(&mut self, now: Instant) {
        if self.state == MachineState::Draining && now >= self.busy_until {
            self.state = MachineState::Drained;
        }
        if self.back_at.is_some_and(|at| now >= at) {
            self.back_at = None;
            self.boot += 1;
            self.state = MachineState::Drained;
        }
    }
}

impl FakeFleet {
    /// Creates pools `cutting` and `quotes` of 8 and the spare pool `office` of 4, in two zones
    /// with racks of 5, each machine busy for up to two minutes.
    pub fn new(planners: usize) -> Self {
        let start = Instant::now();
        let pools: Vec<PoolSpec> = [
            ("cutting", 8, false),
            ("quotes", 8, false),
            ("office", 4, true),
        ]
        .map(|(id, size, spare)| PoolSpec {
            id: id.into(),
            workers: (0..size).map(|n| format!("{id}-{n}").into()).collect(),
            max_unavailable: 2,
            spare,
            min_workers: 1,
        })
        .into();
        let names: Vec<WorkerId> = pools.iter().flat_map(|pool| pool.workers.clone()).collect();
        let worker = |(index, id): (usize, &WorkerId)| WorkerSpec {
            id: id.clone(),
            zone: if index % 2 == 0 { "a" } else { "b" }.into(),
            rack: format!("r{}", index / 10).into(),
            cores: 32,
            memory_gib: 64,
            accelerators: 0,
            slots: 8,
            connections: 64,
        };
        let busy = |index: usize| Duration::from_secs(index as u64 * 7 % 120);
        let machines = names.iter().enumerate();
        let machines = machines.map(|(n, id)| (id.clone(), FakeMachine::new(start, busy(n))));
        let zone = |id: &str| ZoneSpec {
            id: id.into(),
            drain_deadline: Duration::from_secs(300),
            ..ZoneSpec::default()
        };
        let mut fleet = Self {
            now: start,
            zones: vec![zone("a"), zone("b")],
            workers: names.iter().enumerate().map(worker).collect(),
            pools,
            ledger: PoolLedger::default(),
            machines: machines.collect(),
            planners: Vec::new(),
            log_up: true,
            lose_orders: 0,
            lose_appends: 0,
            moves: 0,
            appends: 0,
            offset: 0,
            orders: 0,
            start,
        };
        fleet.planners = (0..planners)
            .map(|number| Some(FleetPlanner::new(start, fleet.settings(number))))
            .collect();
        fleet.apply();
        fleet
    }

    fn settings(&self, number: usize) -> PlanSettings {
        PlanSettings {
            entry: format!("entry-{number}").into(),
            seed: number as u64,
            tick: STEP,
            max_maintenance_percent: 100,
            ..PlanSettings::default()
        }
    }

    /// Applies the declared fleet.
    pub fn apply(&mut self) {
        self.offset += 1;
        let fleet = DeclaredFleet {
            zones: &self.zones,
            workers: &self.workers,
            pools: &self.pools,
        };
        self.ledger.apply_fleet(self.offset, fleet);
    }

    /// Sets the status of an availability zone.
    pub fn set_zone(&mut self, zone: usize, status: ZoneStatus) {
        self.zones[zone].status = status;
        self.apply();
    }

    /// Returns the machine of `worker`.
    pub fn machine(&mut self, worker: &str) -> &mut FakeMachine {
        self.machines.get_mut(worker).expect("machine")
    }

    /// Returns the phase of the instance of `worker`.
    pub fn phase(&self, worker: &str) -> PhaseKind {
        self.ledger.instance(worker).expect("instance").kind()
    }

    /// Runs until `done`; returns the virtual time that it took.
    ///
    /// # Panics
    ///
    /// Panics when it is not done within `limit` of virtual time.
    pub fn run_until(&mut self, limit: Duration, done: impl Fn(&Self) -> bool) -> Duration {
        let start = self.now;
        while !done(self) {
            assert!(self.now < start + limit, "not done within {limit:?}");
            self.pass(STEP);
        }
        self.now - start
    }

    /// Lets `time` pass, a step at a time.
    pub fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            let now = self.now;
            self.machines
                .values_mut()
                .for_each(|machine| machine.pass_time(now));
            for number in 0..self.planners.len() {
                let commands = self.think(number);
                self.carry_out(commands);
            }
        }
    }

    /// Lets one planner think and returns what it wants, without doing it.
    pub fn think(&mut self, number: usize) -> Vec<PlanCommand> {
        let Some(mut planner) = self.planners[number].take() else {
            return Vec::new();
        };
        let now = self.now;
        let pools = &self.ledger;
        if self.log_up {
            planner.handle(
                now,
                PlanEvent::LogRead {
                    requested_at: now,
                    pools,
                },
            );
        }
        let machines = self.machines.iter().map(|(worker, machine)| MachineReport {
            worker: worker.clone(),
            boot: machine.boot,
            state: machine.state,
            operation: machine.last_operation,
        });
        let machines = machines.collect();
        let changes = MachineChanges { next: 0, machines };
        planner.handle(now, PlanEvent::MachinesRead(changes));
        let wall = SystemTime::UNIX_EPOCH + Duration::from_secs(1 << 30) + (now - self.start);
        let commands = planner.handle(now, PlanEvent::TimePassed { wall, pools });
        self.planners[number] = Some(planner);
        commands
    }

    /// Does what a planner wants.
    pub fn carry_out(&mut self, commands: Vec<PlanCommand>) {
        for command in commands {
            match command {
                PlanCommand::Propose(proposal) if self.log_up => self.append(&proposal),
                PlanCommand::Propose(_) | PlanCommand::ReadMachines { .. } => {}
                PlanCommand::Order(order) => {
                    self.orders += 1;
                    if !self.orders.is_multiple_of(self.lose_orders) {
                        let now = self.now;
                        self.machine(&order.worker).obey(now, &order);
                    }
                }
            }
        }
    }

    /// Appends a proposal and checks that no budget that held is broken by a decision.
    fn append(&mut self, proposal: &PoolProposal) {
        self.appends += 1;
        if self.appends.is_multiple_of(self.lose_appends) {
            return;
        }
        self.offset += 1;
        let names: Vec<PoolId> = self.ledger.pools().cloned().collect();
        let held: Vec<bool> = names
            .iter()
            .map(|pool| self.ledger.budget(pool).holds())
            .collect();
        let verdict = self.ledger.advance(self.offset, proposal);
        let PoolProposal::Steps { steps, .. } = proposal else {
            return;
        };
        let observes = |step: &PoolStep| {
            matches!(
                step.change,
                PoolChange::Failed | PoolChange::Appeared { .. }
            )
        };
        if !steps.iter().any(observes) {
            for (pool, held) in names.iter().zip(held) {
                let budget = self.ledger.budget(pool);
                assert!(
                    !held || budget.holds(),
                    "{pool} at {}: {budget:?}",
                    self.offset
                );
            }
        }
        if let PoolOutcome::Accepted { rejected } = verdict {
            let moved = |step: &&PoolStep| {
                let accepted = rejected.iter().all(|(worker, _)| *worker != step.worker);
                accepted && matches!(step.change, PoolChange::Move { .. })
            };
            self.moves += steps.iter().filter(moved).count();
        }
    }
}
