//! Leases that workers grant to entry instances.

use std::time::{Duration, Instant};

use pw_base::prelude::*;
use strum::Display;

/// Length of a worker's lease, on the worker's own clock.
///
/// It is the same across the fleet, because every entry instance derives from it when another
/// one can start nothing more.
pub const WORKER_LEASE_TTL: Duration = Duration::from_secs(2);

/// Bound on how much the clocks of two machines drift apart, as one part of this many.
const DRIFT_DIVISOR: u32 = 100;

/// When a lease may be taken and renewed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum LeaseClass {
    /// At any time, from a boot of the worker that the holder knew while its reading was fresh.
    Always,
    /// Only while the holder's reading of the log is fresh.
    WhileFresh,
}

/// One of the leases that an entry instance may hold on a worker.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseKey {
    /// The worker.
    pub worker: WorkerId,
    /// When it may be taken and renewed.
    pub class: LeaseClass,
}

/// What a worker grants when a lease is taken or renewed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseGrant {
    /// Identity of the lease.
    pub lease: LeaseId,
    /// Number that the next renewal must name.
    pub renewal: RenewalCount,
    /// Length of the lease on the worker's clock, counted from when the worker granted it.
    pub ttl: Duration,
    /// Boot of the worker that granted it.
    pub boot: BootId,
}

/// A lease as its holder knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldLease {
    /// The last grant.
    pub grant: LeaseGrant,
    /// When the request for the last grant was sent.
    pub requested_at: Instant,
    /// When the last grant arrived.
    pub responded_at: Instant,
}

impl HeldLease {
    /// Returns when the holder stops using the lease.
    ///
    /// The worker counts from when it received the request, which is later than `asked`, so the
    /// lease still runs there at this time.
    pub fn usable_until(&self) -> Instant {
        self.requested_at + self.grant.ttl - self.grant.ttl / DRIFT_DIVISOR
    }

    /// Returns when nothing runs under the lease any more, even if the worker can't be asked.
    ///
    /// The worker granted it before `answered`, and one delayed renewal may still take effect.
    pub fn expired_by(&self) -> Instant {
        let ttl = self.grant.ttl + self.grant.ttl / DRIFT_DIVISOR;
        self.responded_at + 2 * ttl
    }
}
