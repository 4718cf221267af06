//! Simulates a small fleet in virtual time, with machines, planners, and a log that can fail.

use std::collections::BTreeSet;
use std::time::{Duration, Instant, SystemTime};

use indexmap::IndexMap;
use pw_base::prelude::*;
use pw_plan::prelude::*;
use pw_pool::prelude::*;
use pw_worker::prelude::*;
use pw_zone::prelude::*;

/// Increment of the virtual clock.
pub const STEP: Duration = Duration::from_secs(1);
/// Duration of a machine's reboot.
const REBOOT_TIME: Duration = Duration::from_secs(60);

/// Simulated machine that executes orders under the platform's guarantees.
#[derive(Debug, Clone)]
pub struct FakeMachine {
    /// Current boot.
    pub boot: BootId,
    /// State of the machine.
    pub state: MachineState,
    /// Number of reboots.
    pub reboots: u32,
    /// Whether a running task was interrupted by a stop or a reboot.
    pub task_interrupted: bool,
    /// Whether it has received an order to checkpoint.
    pub checkpointed: bool,
    busy_until: Instant,
    boot_at: Option<Instant>,
    last_operation: LogOffset,
    executed: BTreeSet<(LogOffset, String)>,
}

/// Simulated fleet with its log and planners.
pub struct FakeFleet {
    /// Virtual time.
    pub now: Instant,
    /// Declared availability zones.
    pub zones: Vec<ZoneSpec>,
    /// Declared workers.
    pub workers: Vec<WorkerSpec>,
    /// Declared pools.
    pub pools: Vec<PoolSpec>,
    /// Ledger state after the appended records.
    pub ledger: PoolLedger,
    /// Machines by worker.
    pub machines: IndexMap<WorkerId, FakeMachine>,
    /// Planners by entry instance; `None` where one is paused or stopped.
    pub planners: Vec<Option<FleetPlanner>>,
    /// Whether the log is available for reads and appends.
    pub log_up: bool,
    /// Drops every nth order; 0 drops none.
    pub order_loss_interval: usize,
    /// Drops every nth append; 0 drops none.
    pub append_loss_interval: usize,
    /// Number of accepted moves.
    pub moves: usize,
    /// Number of appends, including dropped ones.
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
            task_interrupted: false,
            checkpointed: false,
            busy_until: now + busy,
            boot_at: None,
            last_operation: 0,
            executed: BTreeSet::new(),
        }
    }

    /// Executes an order and returns whether it was accepted.
    pub fn execute(&mut self, now: Instant, order: &MachineOrder) -> bool {
        let key = (order.operation, order.action.to_string());
        let stale = order.operation < self.last_operation || order.boot != self.boot;
        if stale || !self.executed.insert(key) {
            return false;
        }
        self.last_operation = order.operation;
        match order.action {
            MachineAction::Drain => self.state = MachineState::Draining,
            MachineAction::Checkpoint => self.checkpointed = true,
            MachineAction::Stop => {
                self.task_interrupted = now < self.busy_until;
                self.busy_until = now;
            }
            MachineAction::Reboot => {
                self.task_interrupted |= now < self.busy_until;
                self.reboots += 1;
                self.state = MachineState::Rebooting;
                self.boot_at = Some(now + REBOOT_TIME);
            }
            MachineAction::Resume => self.state = MachineState::Serving,
        }
        true
    }

    /// Replaces the machine by a new one with the same name.
    pub fn replace(&mut self) {
        self.boot += 1_000;
        self.state = MachineState::Serving;
        self.boot_at = None;
    }

    /// Sets the time until which its tasks run.
    pub fn set_busy_until(&mut self, end: Instant) {
        self.busy_until = end;
    }

    fn update(&mut self, now: Instant) {
        if self.state == MachineState::Draining && now >= self.busy_until {
            self.state = MachineState::Drained;
        }
        if self.boot_at.is_some_and(|at| now >= at) {
            self.boot_at = None;
            self.boot += 1;
            self.state = MachineState::Drained;
        }
    }
}

impl FakeFleet {
    /// Creates pools `cutting` and `quotes` with 8 workers and the spare pool `office` with 4, in
    /// two zones with racks of 5. Each machine is busy for up to two minutes.
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
            order_loss_interval: 0,
            append_loss_interval: 0,
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
        self.machines
            .get_mut(worker)
            .expect("the worker has a machine")
    }

    /// Returns the phase of the instance of `worker`.
    pub fn phase(&self, worker: &str) -> PhaseKind {
        self.ledger
            .instance(worker)
            .expect("the worker is declared")
            .kind()
    }

    /// Runs until `condition` is true and returns the elapsed virtual time.
    ///
    /// # Panics
    ///
    /// Panics if `condition` is not true within `limit` of virtual time.
    pub fn run_until(&mut self, limit: Duration, condition: impl Fn(&Self) -> bool) -> Duration {
        let start = self.now;
        while !condition(self) {
            assert!(
                self.now < start + limit,
                "condition not met within {limit:?}"
            );
            self.advance(STEP);
        }
        self.now - start
    }

    /// Advances the virtual clock by `duration`, one step at a time.
    pub fn advance(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now += STEP;
            let now = self.now;
            self.machines
                .values_mut()
                .for_each(|machine| machine.update(now));
            for number in 0..self.planners.len() {
                let commands = self.poll_planner(number);
                self.execute_commands(commands);
            }
        }
    }

    /// Feeds one planner the current state and returns its commands without executing them.
    pub fn poll_planner(&mut self, number: usize) -> Vec<PlanCommand> {
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

    /// Executes the commands of a planner.
    pub fn execute_commands(&mut self, commands: Vec<PlanCommand>) {
        for command in commands {
            match command {
                PlanCommand::Propose(proposal) if self.log_up => self.append(&proposal),
                PlanCommand::Propose(_) | PlanCommand::ReadMachines { .. } => {}
                PlanCommand::Order(order) => {
                    self.orders += 1;
                    if !self.orders.is_multiple_of(self.order_loss_interval) {
                        let now = self.now;
                        self.machine(&order.worker).execute(now, &order);
                    }
                }
            }
        }
    }

    /// Appends a proposal and asserts that it violates no budget that was met before, unless it
    /// reports a failure or an appearance.
    fn append(&mut self, proposal: &PoolProposal) {
        self.appends += 1;
        if self.appends.is_multiple_of(self.append_loss_interval) {
            return;
        }
        self.offset += 1;
        let names: Vec<PoolId> = self.ledger.pools().cloned().collect();
        let were_met: Vec<bool> = names
            .iter()
            .map(|pool| self.ledger.budget(pool).is_met())
            .collect();
        let outcome = self.ledger.advance(self.offset, proposal);
        let PoolProposal::Steps { steps, .. } = proposal else {
            return;
        };
        let is_observation = |step: &PoolStep| {
            matches!(
                step.change,
                PoolChange::Failed | PoolChange::Appeared { .. }
            )
        };
        if !steps.iter().any(is_observation) {
            for (pool, was_met) in names.iter().zip(were_met) {
                let budget = self.ledger.budget(pool);
                assert!(
                    !was_met || budget.is_met(),
                    "budget of {pool} violated at offset {}: {budget:?}",
                    self.offset
                );
            }
        }
        if let PoolOutcome::Accepted { rejected } = outcome {
            let is_accepted_move = |step: &&PoolStep| {
                let accepted = rejected.iter().all(|(worker, _)| *worker != step.worker);
                accepted && matches!(step.change, PoolChange::Move { .. })
            };
            self.moves += steps.iter().filter(is_accepted_move).count();
        }
    }
}
