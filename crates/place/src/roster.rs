//! The workers of one pool.

use indexmap::{IndexMap, IndexSet};
use pw_base::prelude::*;
use pw_worker::prelude::*;

use crate::record::SlotTier;

/// Counts of a pool's workers, and the sets of those that can take a task now.
#[derive(Debug, Clone, Default)]
pub struct PoolRoster {
    known: OpenWorkers,
    probe: OpenWorkers,
    rack_tasks: IndexMap<RackId, u32>,
    sizes: IndexMap<ResourceSize, u32>,
    members: u32,
    ejected: u32,
    slots: u32,
    in_flight: u32,
}

/// Workers that can take a task now, by availability zone.
#[derive(Debug, Clone, Default)]
pub struct OpenWorkers {
    zones: IndexMap<ZoneId, IndexSet<WorkerId>>,
    count: usize,
}

impl OpenWorkers {
    /// Returns how many workers can take a task now.
    pub fn count(&self) -> usize {
        self.count
    }

    /// Returns the workers of `zone`, if there are any.
    pub fn in_zone(&self, zone: &str) -> Option<&IndexSet<WorkerId>> {
        self.zones.get(zone).filter(|open| !open.is_empty())
    }

    /// Iterates over the availability zones that have such workers.
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
    /// Returns how many workers belong to the pool.
    pub fn members(&self) -> u32 {
        self.members
    }

    /// Returns how many workers get no tasks because of their failures.
    pub fn ejected(&self) -> u32 {
        self.ejected
    }

    /// Returns the slots of the workers that are live and whose availability zone is in service.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the tasks that this entry instance has in flight to the pool.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the workers that can take a task now, as surely as `tier` says.
    pub fn open(&self, tier: SlotTier) -> &OpenWorkers {
        match tier {
            SlotTier::Known => &self.known,
            SlotTier::Probe => &self.probe,
        }
    }

    /// Returns whether no worker can take a task now.
    pub fn is_closed(&self) -> bool {
        self.known.count() + self.probe.count() == 0
    }

    /// Returns the tasks that this entry instance has in flight to the pool's workers in `rack`.
    pub fn rack_tasks(&self, rack: &str) -> u32 {
        self.rack_tasks.get(rack).copied().unwrap_or_default()
    }

    /// Returns whether a task of `size` could run on any worker of the pool if that were empty.
    ///
    /// A pool without workers rules nothing out, because it may get some.
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
        *self.rack_tasks.entry(rack.clone()).or_default() += tasks;
    }

    pub(crate) fn remove_tasks(&mut self, rack: &RackId, tasks: u32) {
        self.in_flight = self.in_flight.saturating_sub(tasks);
        if let Some(count) = self.rack_tasks.get_mut(rack) {
            *count = count.saturating_sub(tasks);
        }
    }
}
