//! Which pool each worker belongs to.

use indexmap::IndexMap;
use pw_base::prelude::*;

/// Pool of each worker; a worker is in at most one.
#[derive(Debug, Clone, Default)]
pub struct PoolMembership {
    assignments: IndexMap<WorkerId, PoolAssignment>,
}

/// Place of a worker in its pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolAssignment {
    /// Pool that the worker is in.
    pub pool: PoolId,
    /// Whether tasks may start there; not while it drains, reboots or changes pools.
    pub may_start: bool,
}

impl PoolMembership {
    /// Returns the place of `worker`.
    pub fn assignment(&self, worker: &str) -> Option<&PoolAssignment> {
        self.assignments.get(worker)
    }

    /// Returns the pool of `worker`.
    pub fn pool_of(&self, worker: &str) -> Option<&PoolId> {
        Some(&self.assignment(worker)?.pool)
    }

    /// Puts `worker` into its one place; returns whether that changes anything.
    pub fn assign(&mut self, worker: &WorkerId, assignment: PoolAssignment) -> bool {
        if self.assignment(worker) == Some(&assignment) {
            return false;
        }
        self.assignments.insert(worker.clone(), assignment);
        true
    }

    /// Keeps only the workers of which `is_known` says so.
    pub fn retain(&mut self, is_known: impl Fn(&WorkerId) -> bool) {
        self.assignments.retain(|worker, _| is_known(worker));
    }
}
