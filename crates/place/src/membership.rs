//! Which pool each worker belongs to.

use indexmap::IndexMap;
use pw_base::prelude::*;

/// Pool of each worker; a worker is in at most one.
#[derive(Debug, Clone, Default)]
pub struct PoolMembership {
    pools: IndexMap<WorkerId, PoolId>,
}

impl PoolMembership {
    /// Returns the pool of `worker`.
    pub fn pool_of(&self, worker: &str) -> Option<&PoolId> {
        self.pools.get(worker)
    }

    /// Puts `worker` into `pool` and takes it out of any other.
    pub fn assign(&mut self, worker: WorkerId, pool: PoolId) {
        self.pools.insert(worker, pool);
    }

    /// Takes `worker` out of its pool.
    pub fn remove(&mut self, worker: &str) {
        self.pools.swap_remove(worker);
    }
}

impl FromIterator<(WorkerId, PoolId)> for PoolMembership {
    fn from_iter<I: IntoIterator<Item = (WorkerId, PoolId)>>(pairs: I) -> Self {
        Self {
            pools: pairs.into_iter().collect(),
        }
    }
}
