//! How many more instances each pool's budget lets a plan drain.

use indexmap::IndexMap;
use pw_base::prelude::*;
use pw_pool::prelude::*;

/// Room of each pool under its availability budget, less what the plan has used.
#[derive(Debug, Default)]
pub struct PoolRooms {
    rooms: IndexMap<PoolId, PoolRoom>,
}

#[derive(Debug, Default, Clone, Copy)]
struct PoolRoom {
    available: u32,
    present: u32,
}

impl PoolRooms {
    /// Returns the room of every pool that has members.
    pub fn new(pools: &PoolLedger) -> Self {
        let mut rooms = IndexMap::new();
        for instance in pools.instances() {
            if !rooms.contains_key(&instance.pool) {
                let budget = pools.budget(&instance.pool);
                let room = PoolRoom {
                    available: budget.available_headroom(),
                    present: budget.present_headroom(),
                };
                rooms.insert(instance.pool.clone(), room);
            }
        }
        Self { rooms }
    }

    /// Takes room for a drain of `instance`; returns whether there was any.
    pub fn take(&mut self, pools: &PoolLedger, instance: &PoolInstance) -> bool {
        let Some(room) = self.rooms.get_mut(&instance.pool) else {
            return false;
        };
        let in_service = pools.zone_in_service(&instance.zone);
        if room.present == 0 || (in_service && room.available == 0) {
            return false;
        }
        room.present -= 1;
        if in_service {
            room.available -= 1;
        }
        true
    }
}
