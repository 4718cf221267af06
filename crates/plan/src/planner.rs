//! The decision object that plans while it holds the planner role.

use std::time::{Instant, SystemTime};

use indexmap::{IndexMap, IndexSet};
use pw_base::prelude::*;
use pw_pool::prelude::*;

use crate::buffer::BorrowPolicy;
use crate::election::PlannerElection;
use crate::headroom::PoolHeadroom;
use crate::machine::{MachineAction, MachineOrder};
use crate::maintenance::WaveSequence;
use crate::message::{PlanCommand, PlanEvent};
use crate::reconcile::InstanceView;
use crate::settings::PlanSettings;
use crate::tracker::MachineTracker;

/// Plans moves and maintenance while its entry instance holds the planner role.
///
/// What it wants follows from the pool ledger and the machines alone. Proposals and orders that
/// are lost come again, and those that come twice or late have no effect.
#[derive(Debug)]
pub struct FleetPlanner {
    settings: PlanSettings,
    election: PlannerElection,
    tracker: MachineTracker,
    sequence: WaveSequence,
    borrow: BorrowPolicy,
    next_tick: Instant,
    pending: IndexMap<WorkerId, SentStep>,
    orders: IndexMap<WorkerId, SentOrder>,
    admitted: IndexMap<ZoneId, Instant>,
    zone_out: IndexMap<ZoneId, (LogOffset, Instant)>,
    failed: IndexSet<WorkerId>,
    quiet_from: IndexMap<RackKey, Instant>,
    quiet_pools: IndexMap<PoolId, Instant>,
    wave_sent: Option<Instant>,
    read_sent: Option<Instant>,
}

#[derive(Debug)]
struct SentStep {
    base: LogOffset,
    sent: Instant,
}

#[derive(Debug)]
struct SentOrder {
    order: MachineOrder,
    sent: Instant,
}

impl FleetPlanner {
    /// Creates a planner that has read nothing yet.
    pub fn new(now: Instant, settings: PlanSettings) -> Self {
        Self {
            election: PlannerElection::new(now, &settings),
            settings,
            tracker: MachineTracker::default(),
            sequence: WaveSequence::default(),
            borrow: BorrowPolicy::default(),
            next_tick: now,
            pending: IndexMap::new(),
            orders: IndexMap::new(),
            admitted: IndexMap::new(),
            zone_out: IndexMap::new(),
            failed: IndexSet::new(),
            quiet_from: IndexMap::new(),
            quiet_pools: IndexMap::new(),
            wave_sent: None,
            read_sent: None,
        }
    }

    /// Takes one event and returns what is to be done.
    pub fn handle(&mut self, now: Instant, event: PlanEvent<'_>) -> Vec<PlanCommand> {
        match event {
            PlanEvent::LogRead {
                requested_at,
                pools,
            } => {
                self.election
                    .observe(now, requested_at, pools.planner(), &self.settings);
                Vec::new()
            }
            PlanEvent::MachinesRead(changes) => {
                self.read_sent = None;
                self.tracker.apply_changes(now, changes);
                Vec::new()
            }
            PlanEvent::TimePassed { wall, pools } => self.tick(now, wall, pools),
        }
    }

    /// Returns when the planner wants [`PlanEvent::TimePassed`] at the latest.
    pub fn next_deadline(&self) -> Instant {
        self.next_tick
    }

    fn tick(&mut self, now: Instant, wall: SystemTime, pools: &PoolLedger) -> Vec<PlanCommand> {
        if now < self.next_tick {
            return Vec::new();
        }
        self.next_tick = now + self.settings.tick;
        self.tracker.record_phases(now, pools);
        self.note_zones(now, pools);
        self.note_failures(now, pools);
        let mut commands = Vec::new();
        let holds_role = self
            .election
            .holds_role(now, pools.planner(), &self.settings);
        if holds_role {
            commands.extend(self.read_machines(now));
        }
        if holds_role && self.tracker.is_fresh(now, self.settings.reading_validity) {
            commands.extend(self.orders(now, pools));
            commands.extend(self.wave(now, wall, pools));
            commands.extend(self.steps(now, pools));
        }
        let proposal = self
            .election
            .next_proposal(now, pools.planner(), &self.settings);
        commands.extend(proposal.map(PlanCommand::Propose));
        commands
    }
}

/// What the planner remembers between ticks.
impl FleetPlanner {
    fn note_zones(&mut self, now: Instant, pools: &PoolLedger) {
        let out = pools.zones().filter(|(_, zone)| !zone.is_in_service());
        let noted = out.map(|(id, zone)| {
            let known = self.zone_out.get(id);
            let known = known.filter(|(changed, _)| *changed == zone.changed);
            let since = known.map_or(now, |(_, since)| *since);
            (id.clone(), (zone.changed, since))
        });
        self.zone_out = noted.collect();
    }

    fn note_failures(&mut self, now: Instant, pools: &PoolLedger) {
        let failed = |one: &PoolInstance| one.phase == InstancePhase::Failed;
        self.failed
            .retain(|worker| pools.instance(worker).is_some_and(failed));
        for instance in pools.instances().filter(|one| failed(one)) {
            if self.failed.insert(instance.worker.clone()) {
                let quiet_from = now + self.settings.settle_time;
                self.quiet_from.insert(rack_of(instance), quiet_from);
                self.quiet_pools.insert(instance.pool.clone(), quiet_from);
            }
        }
        self.quiet_from.retain(|_, quiet_from| now < *quiet_from);
        self.quiet_pools.retain(|_, quiet_from| now < *quiet_from);
    }

    fn view<'a>(
        &'a self,
        now: Instant,
        pools: &'a PoolLedger,
        instance: &'a PoolInstance,
        holds: &mut IndexMap<&'a PoolId, bool>,
    ) -> Option<InstanceView<'a>> {
        let machine = self.tracker.machine(now, instance)?;
        let zone = *pools.zone(&instance.zone)?;
        let zone_out = self.zone_out.get(&instance.zone);
        let zone_out_age = zone_out.map(|(_, since)| now.saturating_duration_since(*since));
        let pool = &instance.pool;
        let budget_holds = *holds
            .entry(pool)
            .or_insert_with(|| pools.budget(pool).holds());
        Some(InstanceView {
            instance,
            phase_age: self.tracker.phase_age(now, &instance.worker),
            machine,
            zone,
            zone_out_age: zone_out_age.unwrap_or_default(),
            is_suspect: pools.is_suspect(instance),
            budget_holds,
            destination_gone: instance
                .destination()
                .is_some_and(|to| !pools.is_declared(to)),
        })
    }
}

/// Readings of machines and orders to them.
impl FleetPlanner {
    /// Asks for the next reading unless one is under way, so that readings stay in order.
    fn read_machines(&mut self, now: Instant) -> Option<PlanCommand> {
        let waits = self
            .read_sent
            .is_some_and(|sent| now < sent + self.settings.order_timeout);
        if waits {
            return None;
        }
        self.read_sent = Some(now);
        let after = self.tracker.cursor();
        Some(PlanCommand::ReadMachines { after })
    }

    fn orders(&mut self, now: Instant, pools: &PoolLedger) -> Vec<PlanCommand> {
        let mut holds = IndexMap::new();
        let due: Vec<MachineOrder> = pools
            .instances()
            .filter_map(|instance| {
                let view = self.view(now, pools, instance, &mut holds)?;
                let action = view.next_action(&self.settings)?;
                Some(order_for(&view, action))
            })
            .collect();
        let wanted: IndexSet<&WorkerId> = due.iter().map(|order| &order.worker).collect();
        self.orders.retain(|worker, _| wanted.contains(worker));
        due.into_iter()
            .filter_map(|order| self.send_order(now, order))
            .collect()
    }

    fn send_order(&mut self, now: Instant, order: MachineOrder) -> Option<PlanCommand> {
        let last = self.orders.get(&order.worker);
        let waits = last.is_some_and(|last| {
            last.order == order && now < last.sent + self.settings.order_timeout
        });
        if waits {
            return None;
        }
        let sent = SentOrder {
            order: order.clone(),
            sent: now,
        };
        self.orders.insert(order.worker.clone(), sent);
        Some(PlanCommand::Order(order))
    }
}

/// Proposals.
impl FleetPlanner {
    fn wave(&mut self, now: Instant, wall: SystemTime, pools: &PoolLedger) -> Option<PlanCommand> {
        let wave = pools.wave();
        let next_wave = wave.opened + self.settings.wave_period;
        let waits = self
            .wave_sent
            .is_some_and(|sent| now < sent + self.settings.step_timeout);
        if waits || wall < next_wave || !pools.wave_finished() {
            return None;
        }
        self.wave_sent = Some(now);
        Some(PlanCommand::Propose(PoolProposal::OpenWave {
            term: pools.planner().term,
            wave: wave.number + 1,
            opened: wall,
        }))
    }

    fn steps(&mut self, now: Instant, pools: &PoolLedger) -> Option<PlanCommand> {
        self.forget_folded(now, pools);
        let mut headroom = PoolHeadroom::new(pools);
        for worker in self.pending.keys() {
            let instance = pools.instance(worker);
            if let Some(instance) = instance.filter(|one| one.phase == InstancePhase::InService) {
                headroom.reserve(pools, instance);
            }
        }
        let mut changes = self.due_changes(now, pools);
        changes.extend(self.admissions(now, pools));
        changes.extend(self.moves(now, pools, &mut headroom));
        changes.extend(self.maintenance(now, pools, &mut headroom));
        let steps = self.take_steps(now, pools, changes);
        (!steps.is_empty()).then(|| {
            let term = pools.planner().term;
            PlanCommand::Propose(PoolProposal::Steps { term, steps })
        })
    }

    /// Forgets sent steps whose instance has changed since, and those that may be lost.
    fn forget_folded(&mut self, now: Instant, pools: &PoolLedger) {
        let timeout = self.settings.step_timeout;
        self.pending.retain(|worker, step| {
            let instance = pools.instance(worker);
            let same = instance.is_some_and(|instance| instance.changed == step.base);
            same && now < step.sent + timeout
        });
    }

    fn due_changes(&self, now: Instant, pools: &PoolLedger) -> Vec<(WorkerId, PoolChange)> {
        let mut holds = IndexMap::new();
        pools
            .instances()
            .filter_map(|instance| {
                let view = self.view(now, pools, instance, &mut holds)?;
                let change = view.next_change(&self.settings)?;
                Some((instance.worker.clone(), change))
            })
            .collect()
    }

    /// Admits returning instances, a part of each availability zone at a time.
    fn admissions(&mut self, now: Instant, pools: &PoolLedger) -> Vec<(WorkerId, PoolChange)> {
        let mut holds = IndexMap::new();
        let mut sizes: IndexMap<&ZoneId, usize> = IndexMap::new();
        let mut waiting: IndexMap<ZoneId, Vec<WorkerId>> = IndexMap::new();
        for instance in pools.instances() {
            *sizes.entry(&instance.zone).or_default() += 1;
            let view = self.view(now, pools, instance, &mut holds);
            if view.is_some_and(|view| view.is_admissible()) {
                let zone = waiting.entry(instance.zone.clone()).or_default();
                zone.push(instance.worker.clone());
            }
        }
        let mut changes = Vec::new();
        for (zone, workers) in waiting {
            let last = self.admitted.get(&zone);
            if last.is_some_and(|last| now < *last + self.settings.admit_interval) {
                continue;
            }
            let size = sizes.get(&zone).copied().unwrap_or_default();
            let part = (size * self.settings.admit_percent / 100).max(1);
            self.admitted.insert(zone, now);
            let admitted = workers.into_iter().take(part);
            changes.extend(admitted.map(|worker| (worker, PoolChange::Admit)));
        }
        changes
    }

    fn moves(
        &mut self,
        now: Instant,
        pools: &PoolLedger,
        headroom: &mut PoolHeadroom,
    ) -> Vec<(WorkerId, PoolChange)> {
        let moves = self.borrow.plan_moves(now, pools, headroom, &self.settings);
        let drain = |to| PoolChange::Drain {
            purpose: DrainPurpose::Move { to },
        };
        moves
            .into_iter()
            .map(|planned| (planned.worker, drain(planned.to)))
            .collect()
    }

    fn maintenance(
        &mut self,
        now: Instant,
        pools: &PoolLedger,
        headroom: &mut PoolHeadroom,
    ) -> Vec<(WorkerId, PoolChange)> {
        let Self {
            sequence,
            quiet_from,
            quiet_pools,
            settings,
            pending,
            ..
        } = self;
        let is_past = |quiet_from: Option<&Instant>| quiet_from.is_none_or(|at| *at <= now);
        let is_quiet = |one: &PoolInstance| {
            is_past(quiet_from.get(&rack_of(one)))
                && is_past(quiet_pools.get(&one.pool))
                && !pending.contains_key(&one.worker)
        };
        let purpose = DrainPurpose::Maintenance;
        let drain = PoolChange::Drain { purpose };
        sequence
            .select(pools, headroom, settings, is_quiet)
            .into_iter()
            .map(|worker| (worker, drain.clone()))
            .collect()
    }

    /// Turns changes into steps, at most one for each instance.
    fn take_steps(
        &mut self,
        now: Instant,
        pools: &PoolLedger,
        changes: Vec<(WorkerId, PoolChange)>,
    ) -> Vec<PoolStep> {
        let mut steps = Vec::new();
        for (worker, change) in changes {
            let Some(instance) = pools.instance(&worker) else {
                continue;
            };
            if self.pending.contains_key(&worker) || steps.len() >= self.settings.max_steps {
                continue;
            }
            let base = instance.changed;
            let sent = SentStep { base, sent: now };
            self.pending.insert(worker.clone(), sent);
            steps.push(PoolStep {
                worker,
                base,
                change,
            });
        }
        steps
    }
}

fn order_for(view: &InstanceView<'_>, action: MachineAction) -> MachineOrder {
    MachineOrder {
        worker: view.instance.worker.clone(),
        operation: view.instance.changed.max(view.zone.changed),
        boot: view.machine.boot,
        action,
    }
}

fn rack_of(instance: &PoolInstance) -> RackKey {
    RackKey {
        zone: instance.zone.clone(),
        rack: instance.rack.clone(),
    }
}
