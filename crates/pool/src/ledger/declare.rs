//! Applies a declared fleet to the pool ledger.

use indexmap::{IndexMap, IndexSet};
use pw_base::prelude::*;
use pw_worker::prelude::*;
use pw_zone::prelude::*;

use super::{DeclaredFleet, PoolLedger, PoolRules, rack_key};
use crate::instance::{InstancePhase, PoolInstance};
use crate::spec::PoolSpec;

/// Fleet declarations.
impl PoolLedger {
    /// Applies the fleet declared by the record at `offset`.
    ///
    /// - A new worker joins the pool that declares it.
    /// - A removed worker leaves at once; its running tasks end under their leases.
    /// - A worker declared in another pool stays in its pool until a planner drains and moves it.
    /// - A lowered budget cancels no drain; further drains are rejected until it is met again.
    /// - Instances of a zone that is back in service must be readmitted, which is done in stages.
    pub fn apply_fleet(&mut self, offset: LogOffset, fleet: DeclaredFleet<'_>) {
        let returned = self.returned_zones(fleet.zones);
        let rules = |pool: &PoolSpec| (pool.id.clone(), PoolRules::from(pool));
        self.pools = fleet.pools.iter().map(rules).collect();
        let state = |zone: &ZoneSpec| {
            let last = self.zones.get(&zone.id);
            (zone.id.clone(), ZoneState::after(last, offset, zone))
        };
        self.zones = fleet.zones.iter().map(state).collect();
        self.declare_workers(offset, fleet);
        for instance in self.instances.values_mut() {
            let zone_returned = returned.contains(&instance.zone);
            if zone_returned && instance.phase == InstancePhase::InService {
                instance.phase = InstancePhase::Returning;
                instance.changed = offset;
            }
        }
        self.rebuild_indexes();
    }

    fn returned_zones(&self, zones: &[ZoneSpec]) -> IndexSet<ZoneId> {
        let returns = |zone: &&ZoneSpec| {
            let last = self.zones.get(&zone.id);
            let was_out = last.is_some_and(|last| !last.is_in_service());
            was_out && zone.status == ZoneStatus::InService
        };
        let returned = zones.iter().filter(returns);
        returned.map(|zone| zone.id.clone()).collect()
    }

    fn declare_workers(&mut self, offset: LogOffset, fleet: DeclaredFleet<'_>) {
        let specs: IndexMap<&str, &WorkerSpec> =
            fleet.workers.iter().map(|spec| (&*spec.id, spec)).collect();
        let declared = fleet.pools.iter().flat_map(|pool| {
            let workers = pool.workers.iter();
            workers.map(|worker| (&**worker, &pool.id))
        });
        let homes: IndexMap<&str, &PoolId> = declared.collect();
        self.instances
            .retain(|worker, _| homes.contains_key(&**worker) && specs.contains_key(&**worker));
        self.last_rejected
            .retain(|worker, _| homes.contains_key(&**worker));
        for (worker, home) in homes {
            if let Some(spec) = specs.get(worker) {
                self.declare_worker(offset, spec, home);
            }
        }
    }

    fn declare_worker(&mut self, offset: LogOffset, spec: &WorkerSpec, home: &PoolId) {
        let maintained = self.wave.number;
        let new_instance = || PoolInstance {
            worker: spec.id.clone(),
            zone: spec.zone.clone(),
            rack: spec.rack.clone(),
            home: home.clone(),
            pool: home.clone(),
            phase: InstancePhase::Joining,
            boot: None,
            changed: offset,
            seen: offset,
            maintained,
        };
        let instance = self
            .instances
            .entry(spec.id.clone())
            .or_insert_with(new_instance);
        instance.zone = spec.zone.clone();
        instance.rack = spec.rack.clone();
        instance.home = home.clone();
    }

    /// Rebuilds the indexes derived from the instances.
    fn rebuild_indexes(&mut self) {
        self.members.clear();
        self.rack_tallies
            .values_mut()
            .chain(self.zone_tallies.values_mut())
            .for_each(|tally| (tally.members, tally.failed) = (0, 0));
        for instance in self.instances.values() {
            let members = self.members.entry(instance.pool.clone()).or_default();
            members.insert(instance.worker.clone());
            let rack = self.rack_tallies.entry(rack_key(instance)).or_default();
            let zone = self.zone_tallies.entry(instance.zone.clone()).or_default();
            for tally in [rack, zone] {
                tally.members += 1;
                tally.failed += u32::from(instance.phase == InstancePhase::Failed);
            }
        }
        self.rack_tallies.retain(|_, tally| tally.members > 0);
        self.zone_tallies.retain(|_, tally| tally.members > 0);
    }
}
