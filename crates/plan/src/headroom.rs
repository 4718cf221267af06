//! Tracks how many more instances of each pool a plan may drain under its availability budget.

use indexmap::IndexMap;
use pw_base::prelude::*;
use pw_pool::prelude::*;

/// Headroom of each pool under its availability budget, less the drains already planned.
#[derive(Debug, Default)]
pub struct PoolHeadroom {
    by_pool: IndexMap<PoolId, BudgetHeadroom>,
}

#[derive(Debug, Default, Clone, Copy)]
struct BudgetHeadroom {
    available: u32,
    present: u32,
}

impl PoolHeadroom {
    /// Returns the headroom of every pool that has members.
    pub fn new(pools: &PoolLedger) -> Self {
        let mut by_pool = IndexMap::new();
        for instance in pools.instances() {
            if !by_pool.contains_key(&instance.pool) {
                let budget = pools.budget(&instance.pool);
                let headroom = BudgetHeadroom {
                    available: budget.available_headroom(),
                    present: budget.present_headroom(),
                };
                by_pool.insert(instance.pool.clone(), headroom);
            }
        }
        Self { by_pool }
    }

    /// Reserves headroom to drain `instance`; returns whether there was enough.
    pub fn reserve(&mut self, pools: &PoolLedger, instance: &PoolInstance) -> bool {
        let Some(headroom) = self.by_pool.get_mut(&instance.pool) else {
            return false;
        };
        let in_service = pools.zone_in_service(&instance.zone);
        if headroom.present == 0 || (in_service && headroom.available == 0) {
            return false;
        }
        headroom.present -= 1;
        if in_service {
            headroom.available -= 1;
        }
        true
    }
}
