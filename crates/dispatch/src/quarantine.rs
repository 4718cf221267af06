//! Permits of runs whose end is unknown.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use pw_base::prelude::*;
use pw_contract::prelude::*;

use crate::timer::TimerHeap;

/// Permits that are given back only once their runs have certainly ended.
///
/// A backend server stops a task when its lease ends. So a run of unknown outcome has ended by the
/// end of its lease plus the longest time that its start may have been under way.
#[derive(Debug)]
pub struct PermitQuarantine {
    delivery_bound: Duration,
    permits: IndexMap<TaskId, Vec<TaskPermit>>,
    releases: TimerHeap<TaskId>,
}

impl PermitQuarantine {
    /// Creates an empty set; `delivery_bound` is the longest time that a start may be under way.
    pub fn new(delivery_bound: Duration) -> Self {
        Self {
            delivery_bound,
            permits: IndexMap::new(),
            releases: TimerHeap::default(),
        }
    }

    /// Keeps a permit whose run ends by its lease at `lease_end`.
    pub fn add(&mut self, task: TaskId, permit: TaskPermit, lease_end: Instant) {
        self.permits.entry(task).or_default().push(permit);
        self.releases.push(lease_end + self.delivery_bound, task);
    }

    /// Takes the next permit whose run has certainly ended by `now`.
    pub fn pop_ended(&mut self, now: Instant) -> Option<TaskPermit> {
        let task = self.releases.pop_due(now)?;
        let permits = self.permits.get_mut(&task)?;
        let permit = permits.pop();
        if permits.is_empty() {
            self.permits.swap_remove(&task);
        }
        permit
    }

    /// Returns when the next run has certainly ended.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.releases.next()
    }
}
