//! Which pool each worker belongs to.

use indexmap::IndexMap;
use pw_base::prelude::*;

/// Pool of each worker; a worker is in at most one.
#[derive(Debug, Clone, Default)]
pub struct PoolMembership {
    seats: IndexMap<WorkerId, PoolSeat>,
}

/// Place of a worker in its pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolSeat {
    /// Pool that the worker is in.
    pub pool: PoolId,
    /// Whether tasks may start there; not while it drains, reboots or changes pools.
    pub may_start: bool,
}

impl PoolMembership {
    /// Returns the place of `worker`.
    pub fn seat(&self, worker: &str) -> Option<&PoolSeat> {
        self.seats.get(worker)
    }

    /// Returns the pool of `worker`.
    pub fn pool_of(&self, worker: &str) -> Option<&PoolId> {
        Some(&self.seat(worker)?.pool)
    }

    /// Puts `worker` into its one place; returns whether that changes anything.
    pub fn set_seat(&mut self, worker: &WorkerId, seat: PoolSeat) -> bool {
        if self.seat(worker) == Some(&seat) {
            return false;
        }
        self.seats.insert(worker.clone(), seat);
        true
    }

    /// Keeps only the workers of which `is_known` says so.
    pub fn retain(&mut self, is_known: impl Fn(&WorkerId) -> bool) {
        self.seats.retain(|worker, _| is_known(worker));
    }
}
