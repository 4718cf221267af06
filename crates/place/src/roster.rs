//! Index of the workers of one pool.

use indexmap::{IndexMap, IndexSet};
use pw_base::prelude::*;
use pw_worker::prelude::*;

use crate::record::SlotTier;

/// Totals of a pool's workers, and the sets of those that can accept a task now.
#[derive(Debug, Clone, Default)]
pub struct PoolRoster {
    known: OpenWorkers,
    probe: OpenWorkers,
    tasks_by_rack: IndexMap<RackId, u32>,
    sizes: IndexMap<ResourceSize, u32>,
    members: u32,
    ejected: u32,
    slots: u32,
    in_flight: u32,
}

/// Workers that can accept a task now, grouped by availability zone.
#[derive(Debug, Clone, Default)]
pub struct OpenWorkers {
    zones: IndexMap<ZoneId, IndexSet<WorkerId>>,
    count: usize,
}

impl OpenWorkers {
    /// Returns the number of workers that can accept a task now.
    pub fn count(&self) -> usize {
        self.count
    }

    /// Returns the open workers in `zone`, or `None` if there are none.
    pub fn in_zone(&self, zone: &str) -> Option<&IndexSet<WorkerId>> {
        self.zones.get(zone).filter(|open| !open.is_empty())
    }

    /// Iterates over the availability zones that have open workers.
    pub fn zones(&self) -> impl Iterator<Item = (&ZoneId, &IndexSet<WorkerId>)> {
        self.zones.iter().filter(|(_, open)| !open.is_empty())
    }

    fn set(&mut self, worker: &WorkerId, zone: &ZoneId, is_open: bool) {
        if is_open {
            let open = self.zones.entry(zone.clone()).or_default();
            self.count += usize::from(open.insert(worker.clone()));
        } else if let Some(open) = self.zones.get_mut(zone) {
            self.count -= usize::from(open.swap_remove(worker));
        }
    }
}

impl PoolRoster {
    /// Returns the number of workers in the pool.
    pub fn members(&self) -> u32 {
        self.members
    }

    /// Returns the number of workers that receive no tasks because of their failures.
    pub fn ejected(&self) -> u32 {
        self.ejected
    }

    /// Returns the number of slots on workers where tasks may start.
    ///
    /// These workers are live, not draining, and in an availability zone that is in service.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the number of tasks that this entry instance has in flight in the pool.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the workers that can accept a task now in `tier`.
    pub fn open(&self, tier: SlotTier) -> &OpenWorkers {
        match tier {
            SlotTier::Known => &self.known,
            SlotTier::Probe => &self.probe,
        }
    }

    /// Returns whether no worker can accept a task now.
    pub fn is_closed(&self) -> bool {
        self.known.count() + self.probe.count() == 0
    }

    /// Returns the number of tasks that this entry instance has in flight on the pool's workers in
    /// `rack`.
    pub fn rack_tasks(&self, rack: &str) -> u32 {
        self.tasks_by_rack.get(rack).copied().unwrap_or_default()
    }

    /// Returns whether a task of `size` would fit on some worker of the pool if it were idle.
    ///
    /// Returns true for a pool without workers, because workers may be added to it.
    pub fn could_run(&self, size: &ResourceSize) -> bool {
        self.sizes.is_empty() || self.sizes.keys().any(|room| size.fits_into(room))
    }

    pub(crate) fn add_member(&mut self, size: ResourceSize) {
        self.members += 1;
        *self.sizes.entry(size).or_default() += 1;
    }

    pub(crate) fn remove_member(&mut self, size: &ResourceSize) {
        self.members = self.members.saturating_sub(1);
        if let Some(count) = self.sizes.get_mut(size) {
            *count -= 1;
            if *count == 0 {
                self.sizes.swap_remove(size);
            }
        }
    }

    pub(crate) fn add_slots(&mut self, slots: u32) {
        self.slots += slots;
    }

    pub(crate) fn remove_slots(&mut self, slots: u32) {
        self.slots = self.slots.saturating_sub(slots);
    }

    pub(crate) fn set_tier(&mut self, worker: &WorkerId, zone: &ZoneId, tier: Option<SlotTier>) {
        self.known.set(worker, zone, tier == Some(SlotTier::Known));
        self.probe.set(worker, zone, tier == Some(SlotTier::Probe));
    }

    pub(crate) fn set_ejected(&mut self, was_ejected: bool, is_ejected: bool) {
        self.ejected = self.ejected + u32::from(is_ejected) - u32::from(was_ejected);
    }

    pub(crate) fn add_tasks(&mut self, rack: &RackId, tasks: u32) {
        self.in_flight += tasks;
        *self.tasks_by_rack.entry(rack.clone()).or_default() += tasks;
    }

    pub(crate) fn remove_tasks(&mut self, rack: &RackId, tasks: u32) {
        self.in_flight = self.in_flight.saturating_sub(tasks);
        if let Some(count) = self.tasks_by_rack.get_mut(rack) {
            *count = count.saturating_sub(tasks);
        }
    }
}
