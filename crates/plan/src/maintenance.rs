//! Selects the instances that a maintenance wave drains next.

use std::cmp::Ordering;

use pw_base::prelude::*;
use pw_pool::prelude::*;

use crate::headroom::PoolHeadroom;
use crate::settings::PlanSettings;

/// Order in which a maintenance wave drains the fleet: by zone, then rack, then worker.
#[derive(Debug, Default)]
pub struct WaveSequence {
    wave: WaveNumber,
    size: usize,
    workers: Vec<WorkerId>,
}

impl WaveSequence {
    /// Selects the instances that may be drained now, in wave order.
    ///
    /// `is_settled` returns whether no recent failure or pending step blocks an instance's drain.
    pub fn select(
        &mut self,
        pools: &PoolLedger,
        headroom: &mut PoolHeadroom,
        settings: &PlanSettings,
        mut is_settled: impl FnMut(&PoolInstance) -> bool,
    ) -> Vec<WorkerId> {
        self.refresh(pools);
        let in_maintenance = pools
            .instances()
            .filter(|instance| is_in_maintenance(instance));
        let limit = (pools.instances().count() * settings.max_maintenance_percent / 100).max(1);
        let free = limit.saturating_sub(in_maintenance.count());
        self.workers
            .iter()
            .filter_map(|worker| pools.instance(worker))
            .filter(|instance| {
                instance.phase == InstancePhase::InService && pools.awaits_maintenance(instance)
            })
            .filter(|instance| is_settled(instance))
            .filter(|instance| headroom.reserve(pools, instance))
            .take(free)
            .map(|instance| instance.worker.clone())
            .collect()
    }

    /// Rebuilds the sequence for a new wave or fleet size, and removes instances that are done.
    fn refresh(&mut self, pools: &PoolLedger) {
        let wave = pools.wave().number;
        let size = pools.instances().count();
        if (self.wave, self.size) != (wave, size) {
            let mut instances: Vec<&PoolInstance> = pools.instances().collect();
            instances.sort_by(|left, right| compare_locations(left, right));
            self.workers = instances
                .into_iter()
                .map(|instance| instance.worker.clone())
                .collect();
            (self.wave, self.size) = (wave, size);
        }
        self.workers.retain(|worker| {
            let instance = pools.instance(worker);
            instance.is_some_and(|instance| pools.awaits_maintenance(instance))
        });
    }
}

/// Returns whether the instance is out of service for maintenance.
pub fn is_in_maintenance(instance: &PoolInstance) -> bool {
    match &instance.phase {
        InstancePhase::Draining(purpose) | InstancePhase::Empty(purpose) => {
            *purpose == DrainPurpose::Maintenance
        }
        InstancePhase::Rebooting => true,
        _ => false,
    }
}

fn compare_locations(left: &PoolInstance, right: &PoolInstance) -> Ordering {
    let location = |instance: &PoolInstance| {
        (
            instance.zone.clone(),
            instance.rack.clone(),
            instance.worker.clone(),
        )
    };
    location(left).cmp(&location(right))
}
