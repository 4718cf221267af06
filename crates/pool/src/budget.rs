//! Availability budgets of pools and failure counts of failure domains.

use pw_base::prelude::*;
use serde::{Deserialize, Serialize};

/// Minimum number of failed instances in a failure domain for a correlated failure.
const MIN_CORRELATED_FAILURES: u32 = 2;

/// Unique key of a rack.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RackKey {
    /// Availability zone of the rack.
    pub zone: ZoneId,
    /// Name of the rack, unique within its zone.
    pub rack: RackId,
}

/// Failure count of a rack or an availability zone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainTally {
    /// Number of instances in it.
    pub members: u32,
    /// Number of failed instances in it.
    pub failed: u32,
    /// Offset of the last failure.
    pub last_failure: LogOffset,
}

/// Instance counts of a pool, and the counts that its availability budget requires.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolBudget {
    /// Number of instances in the pool.
    pub members: u32,
    /// Minimum number of available instances.
    pub required: u32,
    /// Number of instances that accept tasks.
    pub available: u32,
    /// Number of instances that would accept tasks if every availability zone were in service.
    pub present: u32,
    /// Minimum number of present instances.
    pub required_present: u32,
}

impl DomainTally {
    /// Returns whether an instance last seen alive at `seen` may be part of a correlated failure.
    pub fn is_suspect(&self, seen: LogOffset) -> bool {
        let half_failed = self.failed >= MIN_CORRELATED_FAILURES && self.failed * 2 >= self.members;
        half_failed && seen < self.last_failure
    }
}

impl PoolBudget {
    /// Returns whether the budget is met, that is, enough instances are available.
    pub fn is_met(&self) -> bool {
        self.available >= self.required
    }

    /// Returns how many more available instances may be drained.
    pub fn headroom(&self) -> u32 {
        self.available_headroom().min(self.present_headroom())
    }

    /// Returns the number of available instances beyond those required.
    pub fn available_headroom(&self) -> u32 {
        self.available.saturating_sub(self.required)
    }

    /// Returns how many more instances may be drained in zones that are out of service.
    ///
    /// The budget is then still met once all zones are back in service.
    pub fn present_headroom(&self) -> u32 {
        self.present.saturating_sub(self.required_present)
    }
}
