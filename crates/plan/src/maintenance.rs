//! Picks the instances that a maintenance wave drains next.

use std::cmp::Ordering;

use pw_base::prelude::*;
use pw_pool::prelude::*;

use crate::headroom::PoolHeadroom;
use crate::settings::PlanSettings;

/// Way of a maintenance wave through the fleet: zone by zone, rack by rack.
#[derive(Debug, Default)]
pub struct WaveSequence {
    wave: WaveNumber,
    size: usize,
    workers: Vec<WorkerId>,
}

impl WaveSequence {
    /// Picks instances that may drain now, in the order of the route.
    ///
    /// `is_quiet` says whether no failure has lately been seen around an instance.
    pub fn select(
        &mut self,
        pools: &PoolLedger,
        headroom: &mut PoolHeadroom,
        settings: &PlanSettings,
        mut is_quiet: impl FnMut(&PoolInstance) -> bool,
    ) -> Vec<WorkerId> {
        self.refresh(pools);
        let in_maintenance = pools.instances().filter(|one| is_in_maintenance(one));
        let bound = (pools.instances().count() * settings.max_maintenance_percent / 100).max(1);
        let free = bound.saturating_sub(in_maintenance.count());
        self.workers
            .iter()
            .filter_map(|worker| pools.instance(worker))
            .filter(|one| one.phase == InstancePhase::InService && pools.awaits_maintenance(one))
            .filter(|one| is_quiet(one))
            .filter(|one| headroom.reserve(pools, one))
            .take(free)
            .map(|one| one.worker.clone())
            .collect()
    }

    /// Rebuilds the route for a new wave or a changed fleet, and drops what has been through it.
    fn refresh(&mut self, pools: &PoolLedger) {
        let wave = pools.wave().number;
        let size = pools.instances().count();
        if (self.wave, self.size) != (wave, size) {
            let mut order: Vec<&PoolInstance> = pools.instances().collect();
            order.sort_by(|left, right| compare_places(left, right));
            self.workers = order.into_iter().map(|one| one.worker.clone()).collect();
            (self.wave, self.size) = (wave, size);
        }
        self.workers.retain(|worker| {
            let instance = pools.instance(worker);
            instance.is_some_and(|instance| pools.awaits_maintenance(instance))
        });
    }
}

/// Returns whether the wave has the instance out of service.
pub fn is_in_maintenance(instance: &PoolInstance) -> bool {
    match &instance.phase {
        InstancePhase::Draining(purpose) | InstancePhase::Empty(purpose) => {
            *purpose == DrainPurpose::Maintenance
        }
        InstancePhase::Rebooting => true,
        _ => false,
    }
}

fn compare_places(left: &PoolInstance, right: &PoolInstance) -> Ordering {
    let place = |one: &PoolInstance| (one.zone.clone(), one.rack.clone(), one.worker.clone());
    place(left).cmp(&place(right))
}
