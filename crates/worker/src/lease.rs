//! Leases that workers grant to entry instances.

use std::time::{Duration, Instant};

use pw_base::prelude::*;
use strum::Display;

/// Duration of a worker's lease, measured on the worker's own clock.
///
/// It is the same across the fleet because each entry instance derives from it the time after which
/// another one can no longer start tasks.
pub const WORKER_LEASE_TTL: Duration = Duration::from_secs(2);

/// Reciprocal of the maximum relative drift between the clocks of two machines.
const CLOCK_DRIFT_DIVISOR: u32 = 100;

/// Condition under which a lease may be acquired and renewed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum LeaseClass {
    /// At any time, on a boot of the worker that the holder knew while its log read was fresh.
    Always,
    /// Only while the holder's log read is fresh.
    WhileFresh,
}

/// Identifies one of the leases that an entry instance may hold on a worker.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseKey {
    /// The worker.
    pub worker: WorkerId,
    /// Condition under which the lease may be acquired and renewed.
    pub class: LeaseClass,
}

/// Response of a worker that grants or renews a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseGrant {
    /// Identity of the lease.
    pub lease: LeaseId,
    /// Renewal number that the next renewal request must contain.
    pub renewal: RenewalCount,
    /// Duration of the lease, measured on the worker's clock from the grant.
    pub ttl: Duration,
    /// Boot of the worker that granted the lease.
    pub boot: BootId,
}

/// Lease as known to its holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldLease {
    /// The last grant.
    pub grant: LeaseGrant,
    /// Time at which the request for the last grant was sent.
    pub requested_at: Instant,
    /// Time at which the last grant was received.
    pub responded_at: Instant,
}

impl HeldLease {
    /// Returns the time until which the holder may use the lease.
    ///
    /// The worker counts the duration from the receipt of the request, which is later than
    /// `requested_at`, so the lease has not yet expired on the worker at this time.
    pub fn usable_until(&self) -> Instant {
        self.requested_at + self.grant.ttl - self.grant.ttl / CLOCK_DRIFT_DIVISOR
    }

    /// Returns the time by which the lease has expired, even if the worker is unreachable.
    ///
    /// The worker granted it before `responded_at`, and one delayed renewal may still take effect.
    pub fn expired_by(&self) -> Instant {
        let ttl = self.grant.ttl + self.grant.ttl / CLOCK_DRIFT_DIVISOR;
        self.responded_at + 2 * ttl
    }
}
