//! Availability budgets and the failure domains that weigh on them.

use pw_base::prelude::*;
use serde::{Deserialize, Serialize};

/// Fewest failures in a failure domain that count as one correlated failure.
const MIN_CORRELATED_FAILURES: u32 = 2;

/// A rack by its full name.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RackKey {
    /// Availability zone that it stands in.
    pub zone: ZoneId,
    /// Name of the rack in its zone.
    pub rack: RackId,
}

/// Count of the failures in a rack or an availability zone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainTally {
    /// Instances in it.
    pub members: u32,
    /// Instances of it that have failed.
    pub failed: u32,
    /// Offset of the last failure.
    pub last_failure: LogOffset,
}

/// Standing of a pool against its availability budget.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolBudget {
    /// Instances in the pool.
    pub members: u32,
    /// Fewest instances that have to be available.
    pub required: u32,
    /// Instances that take tasks.
    pub available: u32,
    /// Instances that would take tasks if every availability zone were in service.
    pub present: u32,
    /// Fewest instances that have to be present.
    pub required_present: u32,
}

impl DomainTally {
    /// Returns whether an instance last seen alive at `seen` may have failed with the others.
    pub fn is_suspect(&self, seen: LogOffset) -> bool {
        let half_failed = self.failed >= MIN_CORRELATED_FAILURES && self.failed * 2 >= self.members;
        half_failed && seen < self.last_failure
    }
}

impl PoolBudget {
    /// Returns whether the budget holds.
    pub fn holds(&self) -> bool {
        self.available >= self.required
    }

    /// Returns how many more available instances may be drained.
    pub fn headroom(&self) -> u32 {
        self.available_headroom().min(self.present_headroom())
    }

    /// Returns how many available instances there are beyond those required.
    pub fn available_headroom(&self) -> u32 {
        self.available.saturating_sub(self.required)
    }

    /// Returns how many more instances may be drained in zones that are out of service.
    ///
    /// The budget then still holds when all zones are back.
    pub fn present_headroom(&self) -> u32 {
        self.present.saturating_sub(self.required_present)
    }
}
