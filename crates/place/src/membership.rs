//! Assignment of workers to pools.

use indexmap::IndexMap;
use pw_base::prelude::*;

/// Pool assignment of each worker; a worker belongs to at most one pool.
#[derive(Debug, Clone, Default)]
pub struct PoolMembership {
    assignments: IndexMap<WorkerId, PoolAssignment>,
}

/// Assignment of a worker to a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolAssignment {
    /// Pool that the worker belongs to.
    pub pool: PoolId,
    /// Whether tasks may start on the worker; false while it drains, reboots or changes pools.
    pub may_start: bool,
}

impl PoolMembership {
    /// Returns the assignment of `worker`.
    pub fn assignment(&self, worker: &str) -> Option<&PoolAssignment> {
        self.assignments.get(worker)
    }

    /// Returns the pool of `worker`.
    pub fn pool_of(&self, worker: &str) -> Option<&PoolId> {
        Some(&self.assignment(worker)?.pool)
    }

    /// Replaces the assignment of `worker`; returns whether it changed.
    pub fn assign(&mut self, worker: &WorkerId, assignment: PoolAssignment) -> bool {
        if self.assignment(worker) == Some(&assignment) {
            return false;
        }
        self.assignments.insert(worker.clone(), assignment);
        true
    }

    /// Retains only the workers for which `is_known` returns true.
    pub fn retain(&mut self, is_known: impl Fn(&WorkerId) -> bool) {
        self.assignments.retain(|worker, _| is_known(worker));
    }
}
