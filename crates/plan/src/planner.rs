//! Planner state machine, active while its entry instance holds the planner role.

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
/// Decisions are derived from the pool ledger and the reported machines alone. Lost proposals and
/// orders are resent, and duplicate or delayed ones have no effect.
#[derive(Debug)]
pub struct FleetPlanner {
    settings: PlanSettings,
    election: PlannerElection,
    tracker: MachineTracker,
    sequence: WaveSequence,
    borrow: BorrowPolicy,
    next_tick: Instant,
    pending_steps: IndexMap<WorkerId, SentStep>,
    sent_orders: IndexMap<WorkerId, SentOrder>,
    last_admissions: IndexMap<ZoneId, Instant>,
    zones_out: IndexMap<ZoneId, (LogOffset, Instant)>,
    known_failed: IndexSet<WorkerId>,
    rack_settle_until: IndexMap<RackKey, Instant>,
    pool_settle_until: IndexMap<PoolId, Instant>,
    last_wave_proposal: Option<Instant>,
    pending_read: Option<Instant>,
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
    /// Creates a planner that has processed no events.
    pub fn new(now: Instant, settings: PlanSettings) -> Self {
        Self {
            election: PlannerElection::new(now, &settings),
            settings,
            tracker: MachineTracker::default(),
            sequence: WaveSequence::default(),
            borrow: BorrowPolicy::default(),
            next_tick: now,
            pending_steps: IndexMap::new(),
            sent_orders: IndexMap::new(),
            last_admissions: IndexMap::new(),
            zones_out: IndexMap::new(),
            known_failed: IndexSet::new(),
            rack_settle_until: IndexMap::new(),
            pool_settle_until: IndexMap::new(),
            last_wave_proposal: None,
            pending_read: None,
        }
    }

    /// Handles one event and returns the actions to perform.
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
                self.pending_read = None;
                self.tracker.apply_changes(now, changes);
                Vec::new()
            }
            PlanEvent::TimePassed { wall, pools } => self.tick(now, wall, pools),
        }
    }

    /// Returns the time by which [`PlanEvent::TimePassed`] should be sent.
    pub fn next_deadline(&self) -> Instant {
        self.next_tick
    }

    fn tick(&mut self, now: Instant, wall: SystemTime, pools: &PoolLedger) -> Vec<PlanCommand> {
        if now < self.next_tick {
            return Vec::new();
        }
        self.next_tick = now + self.settings.tick;
        self.tracker.record_phases(now, pools);
        self.record_zones(now, pools);
        self.record_failures(now, pools);
        let mut commands = Vec::new();
        let holds_role = self
            .election
            .holds_role(now, pools.planner(), &self.settings);
        if holds_role {
            commands.extend(self.read_machines(now));
        }
        if holds_role && self.tracker.is_fresh(now, self.settings.reading_validity) {
            commands.extend(self.plan_orders(now, pools));
            commands.extend(self.plan_wave(now, wall, pools));
            commands.extend(self.plan_steps(now, pools));
        }
        let proposal = self
            .election
            .next_proposal(now, pools.planner(), &self.settings);
        commands.extend(proposal.map(PlanCommand::Propose));
        commands
    }
}

/// State tracked between ticks.
impl FleetPlanner {
    fn record_zones(&mut self, now: Instant, pools: &PoolLedger) {
        let zones_out = pools.zones().filter(|(_, zone)| !zone.is_in_service());
        let zones_out = zones_out.map(|(id, zone)| {
            let last = self.zones_out.get(id);
            let last = last.filter(|(changed, _)| *changed == zone.changed);
            let since = last.map_or(now, |(_, since)| *since);
            (id.clone(), (zone.changed, since))
        });
        self.zones_out = zones_out.collect();
    }

    fn record_failures(&mut self, now: Instant, pools: &PoolLedger) {
        let failed = |instance: &PoolInstance| instance.phase == InstancePhase::Failed;
        self.known_failed
            .retain(|worker| pools.instance(worker).is_some_and(failed));
        for instance in pools.instances().filter(|instance| failed(instance)) {
            if self.known_failed.insert(instance.worker.clone()) {
                let settle_until = now + self.settings.settle_time;
                self.rack_settle_until
                    .insert(rack_of(instance), settle_until);
                self.pool_settle_until
                    .insert(instance.pool.clone(), settle_until);
            }
        }
        self.rack_settle_until
            .retain(|_, settle_until| now < *settle_until);
        self.pool_settle_until
            .retain(|_, settle_until| now < *settle_until);
    }

    fn instance_view<'a>(
        &'a self,
        now: Instant,
        pools: &'a PoolLedger,
        instance: &'a PoolInstance,
        met_budgets: &mut IndexMap<&'a PoolId, bool>,
    ) -> Option<InstanceView<'a>> {
        let machine = self.tracker.machine(now, instance)?;
        let zone = *pools.zone(&instance.zone)?;
        let zone_out = self.zones_out.get(&instance.zone);
        let zone_out_age = zone_out.map(|(_, since)| now.saturating_duration_since(*since));
        let pool = &instance.pool;
        let budget_met = *met_budgets
            .entry(pool)
            .or_insert_with(|| pools.budget(pool).is_met());
        Some(InstanceView {
            instance,
            phase_age: self.tracker.phase_age(now, &instance.worker),
            machine,
            zone,
            zone_out_age: zone_out_age.unwrap_or_default(),
            is_suspect: pools.is_suspect(instance),
            budget_met,
            destination_removed: instance
                .destination()
                .is_some_and(|to| !pools.is_declared(to)),
        })
    }
}

/// Machine reads and orders.
impl FleetPlanner {
    /// Requests the next read unless one is in flight, so that results arrive in order.
    fn read_machines(&mut self, now: Instant) -> Option<PlanCommand> {
        let in_flight = self
            .pending_read
            .is_some_and(|sent| now < sent + self.settings.order_timeout);
        if in_flight {
            return None;
        }
        self.pending_read = Some(now);
        let after = self.tracker.cursor();
        Some(PlanCommand::ReadMachines { after })
    }

    fn plan_orders(&mut self, now: Instant, pools: &PoolLedger) -> Vec<PlanCommand> {
        let mut met_budgets = IndexMap::new();
        let orders: Vec<MachineOrder> = pools
            .instances()
            .filter_map(|instance| {
                let view = self.instance_view(now, pools, instance, &mut met_budgets)?;
                let action = view.next_action(&self.settings)?;
                Some(order_for(&view, action))
            })
            .collect();
        let wanted: IndexSet<&WorkerId> = orders.iter().map(|order| &order.worker).collect();
        self.sent_orders.retain(|worker, _| wanted.contains(worker));
        orders
            .into_iter()
            .filter_map(|order| self.send_order(now, order))
            .collect()
    }

    fn send_order(&mut self, now: Instant, order: MachineOrder) -> Option<PlanCommand> {
        let last = self.sent_orders.get(&order.worker);
        let in_flight = last.is_some_and(|last| {
            last.order == order && now < last.sent + self.settings.order_timeout
        });
        if in_flight {
            return None;
        }
        let sent = SentOrder {
            order: order.clone(),
            sent: now,
        };
        self.sent_orders.insert(order.worker.clone(), sent);
        Some(PlanCommand::Order(order))
    }
}

/// Proposals.
impl FleetPlanner {
    fn plan_wave(
        &mut self,
        now: Instant,
        wall: SystemTime,
        pools: &PoolLedger,
    ) -> Option<PlanCommand> {
        let wave = pools.wave();
        let next_wave = wave.opened + self.settings.wave_period;
        let in_flight = self
            .last_wave_proposal
            .is_some_and(|sent| now < sent + self.settings.step_timeout);
        if in_flight || wall < next_wave || !pools.wave_finished() {
            return None;
        }
        self.last_wave_proposal = Some(now);
        Some(PlanCommand::Propose(PoolProposal::OpenWave {
            term: pools.planner().term,
            wave: wave.number + 1,
            opened: wall,
        }))
    }

    fn plan_steps(&mut self, now: Instant, pools: &PoolLedger) -> Option<PlanCommand> {
        self.expire_pending_steps(now, pools);
        let mut headroom = PoolHeadroom::new(pools);
        for worker in self.pending_steps.keys() {
            let instance = pools.instance(worker);
            if let Some(instance) =
                instance.filter(|instance| instance.phase == InstancePhase::InService)
            {
                headroom.reserve(pools, instance);
            }
        }
        let mut changes = self.plan_changes(now, pools);
        changes.extend(self.plan_admissions(now, pools));
        changes.extend(self.plan_moves(now, pools, &mut headroom));
        changes.extend(self.plan_maintenance(now, pools, &mut headroom));
        let steps = self.create_steps(now, pools, changes);
        (!steps.is_empty()).then(|| {
            let term = pools.planner().term;
            PlanCommand::Propose(PoolProposal::Steps { term, steps })
        })
    }

    /// Removes pending steps whose instance has since changed or whose timeout has passed.
    fn expire_pending_steps(&mut self, now: Instant, pools: &PoolLedger) {
        let timeout = self.settings.step_timeout;
        self.pending_steps.retain(|worker, step| {
            let instance = pools.instance(worker);
            let unchanged = instance.is_some_and(|instance| instance.changed == step.base);
            unchanged && now < step.sent + timeout
        });
    }

    fn plan_changes(&self, now: Instant, pools: &PoolLedger) -> Vec<(WorkerId, PoolChange)> {
        let mut met_budgets = IndexMap::new();
        pools
            .instances()
            .filter_map(|instance| {
                let view = self.instance_view(now, pools, instance, &mut met_budgets)?;
                let change = view.next_change(&self.settings)?;
                Some((instance.worker.clone(), change))
            })
            .collect()
    }

    /// Admits waiting instances, a limited share of each availability zone at a time.
    fn plan_admissions(&mut self, now: Instant, pools: &PoolLedger) -> Vec<(WorkerId, PoolChange)> {
        let mut met_budgets = IndexMap::new();
        let mut sizes: IndexMap<&ZoneId, usize> = IndexMap::new();
        let mut waiting: IndexMap<ZoneId, Vec<WorkerId>> = IndexMap::new();
        for instance in pools.instances() {
            *sizes.entry(&instance.zone).or_default() += 1;
            let view = self.instance_view(now, pools, instance, &mut met_budgets);
            if view.is_some_and(|view| view.is_admissible()) {
                let zone = waiting.entry(instance.zone.clone()).or_default();
                zone.push(instance.worker.clone());
            }
        }
        let mut changes = Vec::new();
        for (zone, workers) in waiting {
            let last = self.last_admissions.get(&zone);
            if last.is_some_and(|last| now < *last + self.settings.admit_interval) {
                continue;
            }
            let size = sizes.get(&zone).copied().unwrap_or_default();
            let limit = (size * self.settings.admit_percent / 100).max(1);
            self.last_admissions.insert(zone, now);
            let admitted = workers.into_iter().take(limit);
            changes.extend(admitted.map(|worker| (worker, PoolChange::Admit)));
        }
        changes
    }

    fn plan_moves(
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

    fn plan_maintenance(
        &mut self,
        now: Instant,
        pools: &PoolLedger,
        headroom: &mut PoolHeadroom,
    ) -> Vec<(WorkerId, PoolChange)> {
        let Self {
            sequence,
            rack_settle_until,
            pool_settle_until,
            settings,
            pending_steps,
            ..
        } = self;
        let is_past = |settle_until: Option<&Instant>| settle_until.is_none_or(|at| *at <= now);
        let is_settled = |instance: &PoolInstance| {
            is_past(rack_settle_until.get(&rack_of(instance)))
                && is_past(pool_settle_until.get(&instance.pool))
                && !pending_steps.contains_key(&instance.worker)
        };
        let purpose = DrainPurpose::Maintenance;
        let drain = PoolChange::Drain { purpose };
        sequence
            .select(pools, headroom, settings, is_settled)
            .into_iter()
            .map(|worker| (worker, drain.clone()))
            .collect()
    }

    /// Creates steps from changes, at most one per instance, and records them as pending.
    fn create_steps(
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
            if self.pending_steps.contains_key(&worker) || steps.len() >= self.settings.max_steps {
                continue;
            }
            let base = instance.changed;
            let sent = SentStep { base, sent: now };
            self.pending_steps.insert(worker.clone(), sent);
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
