//! Index of the fleet's workers as known to an entry instance.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use pw_base::prelude::*;
use pw_fleet::prelude::*;
use pw_worker::prelude::*;
use pw_zone::prelude::*;

use crate::membership::{PoolAssignment, PoolMembership};
use crate::record::{RosterEntry, SlotOutcome, WorkerRecord};
use crate::roster::PoolRoster;

/// Settings of a [`WorkerTable`].
#[derive(Debug, Clone)]
pub struct TableSettings {
    /// Settings for the ejection of failing workers.
    pub health: HealthSettings,
    /// Settings for the concurrency limit of a worker.
    pub concurrency: ConcurrencySettings,
    /// Maximum fraction of a pool's workers that may be ejected at the same time.
    pub max_ejected: f64,
    /// Backoff after a worker had no free slot; doubled on each consecutive occurrence.
    pub busy_backoff: Duration,
    /// Maximum backoff after a worker had no free slot.
    pub max_busy_backoff: Duration,
}

/// Workers, availability zones and pools, indexed for placement in constant time.
#[derive(Debug, Default)]
pub struct WorkerTable {
    settings: TableSettings,
    zones: IndexMap<ZoneId, ZoneStatus>,
    workers: IndexMap<WorkerId, WorkerRecord>,
    instances: IndexMap<WorkerId, InstanceEntry>,
    membership: PoolMembership,
    rosters: IndexMap<PoolId, PoolRoster>,
    deadlines: BinaryHeap<Reverse<(Instant, WorkerId)>>,
}

impl Default for TableSettings {
    fn default() -> Self {
        Self {
            health: HealthSettings::default(),
            concurrency: ConcurrencySettings::default(),
            max_ejected: 0.3,
            busy_backoff: Duration::from_millis(5),
            max_busy_backoff: Duration::from_millis(80),
        }
    }
}

impl WorkerTable {
    /// Creates a table without workers.
    pub fn new(settings: TableSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Returns the worker called `id`.
    pub fn worker(&self, id: &str) -> Option<&WorkerRecord> {
        self.workers.get(id)
    }

    /// Returns the workers of `pool`.
    pub fn roster(&self, pool: &str) -> Option<&PoolRoster> {
        self.rosters.get(pool)
    }

    /// Returns the pool of `worker`.
    pub fn pool_of(&self, worker: &str) -> Option<&PoolId> {
        self.membership.pool_of(worker)
    }

    /// Returns whether tasks may start in `zone`.
    pub fn is_in_service(&self, zone: &str) -> bool {
        self.zones.get(zone) == Some(&ZoneStatus::InService)
    }

    /// Returns the time by which [`WorkerTable::expire_backoffs`] should be called.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.deadlines.peek().map(|Reverse((at, _))| *at)
    }

    /// Sets the declared zones and workers; workers that are no longer declared are removed.
    pub fn set_fleet(&mut self, now: Instant, spec: &FleetSpec) {
        let zones = spec.zones.iter();
        self.zones = zones.map(|zone| (zone.id.clone(), zone.status)).collect();
        let declared: IndexMap<&WorkerId, &WorkerSpec> = spec
            .workers
            .iter()
            .map(|worker| (&worker.id, worker))
            .collect();
        self.remove_undeclared(&declared);
        for worker in declared.values() {
            self.declare(worker);
        }
        self.membership
            .retain(|worker| declared.contains_key(worker));
        for index in 0..self.workers.len() {
            self.refresh_at(now, index);
        }
    }

    /// Assigns `worker` to a pool; returns whether the assignment changed.
    pub fn assign(&mut self, now: Instant, worker: &WorkerId, assignment: PoolAssignment) -> bool {
        let is_changed = self.membership.assign(worker, assignment);
        if is_changed {
            self.refresh(now, worker);
        }
        is_changed
    }

    /// Sets the platform's instance list; workers that are not in it receive no tasks.
    pub fn set_instances(&mut self, now: Instant, list: Vec<InstanceEntry>) {
        self.instances = list
            .into_iter()
            .map(|instance| (instance.worker.clone(), instance))
            .collect();
        for index in 0..self.workers.len() {
            let record = &mut self.workers[index];
            let instance = self.instances.get(&record.spec.id);
            if record.instance.as_ref() != instance {
                record.instance = instance.cloned();
                record.known_slots = record.spec.slots;
                self.refresh_at(now, index);
            }
        }
    }

    /// Records a worker's usage report unless a newer one is known.
    pub fn set_usage(&mut self, usage: WorkerUsage) {
        if let Some(record) = self.workers.get_mut(&usage.worker) {
            let is_newer = |known: &WorkerUsage| known.measured <= usage.measured;
            if record.usage.as_ref().is_none_or(is_newer) {
                record.usage = Some(usage);
            }
        }
    }

    /// Reserves a slot and `size` on `worker` for a task that starts.
    pub fn acquire_slot(&mut self, now: Instant, worker: &WorkerId, size: &ResourceSize) {
        if let Some(record) = self.workers.get_mut(worker) {
            record.in_flight += 1;
            record.known_slots = record.known_slots.max(record.in_flight);
            record.reserved = record.reserved.plus(size);
            if let Some(entry) = &record.roster_entry {
                let roster = self.rosters.entry(entry.pool.clone()).or_default();
                roster.add_tasks(&record.spec.rack, 1);
            }
            self.refresh(now, worker);
        }
    }

    /// Releases the slot and `size` of a task that ended on `worker`; returns whether the outcome
    /// ejected the worker.
    pub fn release_slot(
        &mut self,
        now: Instant,
        worker: &WorkerId,
        size: &ResourceSize,
        outcome: SlotOutcome,
    ) -> bool {
        let Some(record) = self.workers.get_mut(worker) else {
            return false;
        };
        record.in_flight = record.in_flight.saturating_sub(1);
        record.reserved = record.reserved.minus(size);
        let pool = record.roster_entry.as_ref().map(|entry| entry.pool.clone());
        if let Some(roster) = pool.and_then(|pool| self.rosters.get_mut(&pool)) {
            roster.remove_tasks(&record.spec.rack, 1);
        }
        let was_ejected = self.record_outcome(now, worker, outcome);
        self.refresh(now, worker);
        was_ejected
    }

    /// Reopens workers whose backoff or ejection has ended and returns their pools.
    pub fn expire_backoffs(&mut self, now: Instant) -> Vec<PoolId> {
        let mut pools = Vec::new();
        while let Some(Reverse((at, _))) = self.deadlines.peek() {
            if *at > now {
                break;
            }
            if let Some(Reverse((_, worker))) = self.deadlines.pop() {
                self.refresh(now, &worker);
                pools.extend(self.membership.pool_of(&worker).cloned());
            }
        }
        pools
    }

    fn declare(&mut self, spec: &WorkerSpec) {
        let Some(record) = self.workers.get_mut(&spec.id) else {
            let mut record = WorkerRecord::new(spec.clone());
            record.instance = self.instances.get(&spec.id).cloned();
            self.workers.insert(spec.id.clone(), record);
            return;
        };
        if record.spec != *spec {
            remove_from_roster(&mut self.rosters, record);
            record.limit.set_slots(spec.slots);
            record.known_slots = spec.slots;
            record.size = ResourceSize::from(spec);
            record.spec = spec.clone();
        }
    }

    fn remove_undeclared(&mut self, declared: &IndexMap<&WorkerId, &WorkerSpec>) {
        let rosters = &mut self.rosters;
        self.workers.retain(|id, record| {
            let is_declared = declared.contains_key(id);
            if !is_declared {
                remove_from_roster(rosters, record);
            }
            is_declared
        });
    }

    fn record_outcome(&mut self, now: Instant, worker: &WorkerId, outcome: SlotOutcome) -> bool {
        let Some(record) = self.workers.get_mut(worker) else {
            return false;
        };
        if outcome != SlotOutcome::Busy {
            record.consecutive_refusals = 0;
        }
        match outcome {
            SlotOutcome::Done { pace } => {
                record.health.record_success();
                let settings = &self.settings.concurrency;
                record.limit.record_success(now, pace, settings);
            }
            SlotOutcome::Busy => {
                let backoff =
                    self.settings.busy_backoff * 2u32.pow(record.consecutive_refusals.min(8));
                let until = now + backoff.min(self.settings.max_busy_backoff);
                record.consecutive_refusals += 1;
                record.known_slots = record.in_flight;
                record.backoff_until = Some(until);
                self.deadlines.push(Reverse((until, worker.clone())));
            }
            SlotOutcome::Failed => {
                record.health.record_failure();
                record.limit.record_failure(now, &self.settings.concurrency);
                return self.eject_if_failing(now, worker);
            }
            SlotOutcome::Neutral => {}
        }
        false
    }

    /// Ejects the worker if it is failing and its pool is below the limit of ejected workers.
    fn eject_if_failing(&mut self, now: Instant, worker: &WorkerId) -> bool {
        let Some(record) = self.workers.get_mut(worker) else {
            return false;
        };
        let settings = &self.settings.health;
        if record.health.is_ejected(now) || !record.health.is_failing(settings) {
            return false;
        }
        let entry = record.roster_entry.as_ref();
        let Some(roster) = entry.and_then(|entry| self.rosters.get(&entry.pool)) else {
            return false;
        };
        let allowed = self.settings.max_ejected * f64::from(roster.members());
        if f64::from(roster.ejected() + 1) > allowed.max(1.0) || roster.members() < 2 {
            return false;
        }
        let until = record.health.eject(now, settings);
        record.limit.restart();
        self.deadlines.push(Reverse((until, worker.clone())));
        true
    }

    fn refresh(&mut self, now: Instant, worker: &str) {
        if let Some(index) = self.workers.get_index_of(worker) {
            self.refresh_at(now, index);
        }
    }

    /// Updates the roster from the worker's state.
    fn refresh_at(&mut self, now: Instant, index: usize) {
        let Some((id, record)) = self.workers.get_index_mut(index) else {
            return;
        };
        let in_service = self.zones.get(&record.spec.zone) == Some(&ZoneStatus::InService);
        let wanted = self.membership.assignment(id).map(|assignment| {
            let is_usable = in_service && assignment.may_start && record.is_live();
            RosterEntry {
                pool: assignment.pool.clone(),
                slots: if is_usable { record.spec.slots } else { 0 },
                tier: record.tier(now).filter(|_| is_usable),
                is_ejected: record.health.is_ejected(now),
            }
        });
        if record.roster_entry == wanted {
            return;
        }
        let pool = |entry: &Option<RosterEntry>| entry.as_ref().map(|entry| entry.pool.clone());
        if pool(&record.roster_entry) != pool(&wanted) {
            remove_from_roster(&mut self.rosters, record);
        }
        if let Some(wanted) = wanted {
            update_roster(&mut self.rosters, record, wanted);
        }
    }
}

/// Removes the worker from the roster of its pool.
fn remove_from_roster(rosters: &mut IndexMap<PoolId, PoolRoster>, record: &mut WorkerRecord) {
    let Some(entry) = record.roster_entry.take() else {
        return;
    };
    if let Some(roster) = rosters.get_mut(&entry.pool) {
        roster.set_tier(&record.spec.id, &record.spec.zone, None);
        roster.set_ejected(entry.is_ejected, false);
        roster.remove_slots(entry.slots);
        roster.remove_tasks(&record.spec.rack, record.in_flight);
        roster.remove_member(&record.size);
    }
}

/// Adds the worker to a roster, or updates its entry there.
fn update_roster(
    rosters: &mut IndexMap<PoolId, PoolRoster>,
    record: &mut WorkerRecord,
    wanted: RosterEntry,
) {
    let roster = rosters.entry(wanted.pool.clone()).or_default();
    match &record.roster_entry {
        Some(entry) => {
            roster.remove_slots(entry.slots);
            roster.set_ejected(entry.is_ejected, wanted.is_ejected);
        }
        None => {
            roster.add_member(record.size);
            roster.add_tasks(&record.spec.rack, record.in_flight);
            roster.set_ejected(false, wanted.is_ejected);
        }
    }
    roster.add_slots(wanted.slots);
    roster.set_tier(&record.spec.id, &record.spec.zone, wanted.tier);
    record.roster_entry = Some(wanted);
}
