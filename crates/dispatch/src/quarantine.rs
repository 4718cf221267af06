//! Permits of runs with an unknown outcome.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use pw_base::prelude::*;
use pw_contract::prelude::*;

use crate::timer::TimerHeap;

/// Permits that are withheld until their runs have certainly ended.
///
/// A backend server stops a task when its lease expires. A run with an unknown outcome has
/// therefore ended by the expiry of its lease plus the maximum delivery delay of its start request.
#[derive(Debug)]
pub struct PermitQuarantine {
    delivery_bound: Duration,
    permits: IndexMap<TaskId, Vec<TaskPermit>>,
    releases: TimerHeap<TaskId>,
}

impl PermitQuarantine {
    /// Creates an empty quarantine; `delivery_bound` is the maximum delivery delay of a start.
    pub fn new(delivery_bound: Duration) -> Self {
        Self {
            delivery_bound,
            permits: IndexMap::new(),
            releases: TimerHeap::default(),
        }
    }

    /// Adds the permit of a run whose lease expires at `lease_end`.
    pub fn add(&mut self, task: TaskId, permit: TaskPermit, lease_end: Instant) {
        self.permits.entry(task).or_default().push(permit);
        self.releases.push(lease_end + self.delivery_bound, task);
    }

    /// Removes and returns a permit whose run has certainly ended by `now`.
    pub fn pop_ended(&mut self, now: Instant) -> Option<TaskPermit> {
        let task = self.releases.pop_due(now)?;
        let permits = self.permits.get_mut(&task)?;
        let permit = permits.pop();
        if permits.is_empty() {
            self.permits.swap_remove(&task);
        }
        permit
    }

    /// Returns when the next permit can be released.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.releases.next()
    }
}
