//! Upper limits of accounts and their division among availability zones.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use pw_base::prelude::*;
use serde::{Deserialize, Serialize};

/// Divisor for the part of each limit that is reserved as floor permits of the availability zones.
const FLOOR_DIVISOR: u32 = 2;
/// Divisor for the part of each limit that the availability zones together never lend.
const RESERVE_DIVISOR: u32 = 20;

/// Time for which the result of a log read allows float permits, from when the read was sent.
pub const FLOAT_VALIDITY: Duration = Duration::from_secs(10);
/// Divisor of a duration; the quotient is the maximum drift between any two clocks in that time.
const DRIFT_DIVISOR: u32 = 50;

/// Limits and zones from the current configuration that permits depend on.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LimitTable {
    /// Upper limit of each account in running tasks.
    pub limits: BTreeMap<AccountId, u32>,
    /// Declared availability zones.
    pub zones: BTreeMap<ZoneId, ZoneFloor>,
}

/// Properties of an availability zone that its floor permits depend on.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ZoneFloor {
    /// Whether tasks may start in the zone.
    pub in_service: bool,
    /// Workers declared in the zone.
    pub workers: BTreeSet<WorkerId>,
}

impl LimitTable {
    /// Returns the upper limit of `account`; 0 for an account that is not declared.
    pub fn limit(&self, account: &AccountId) -> u32 {
        self.limits.get(account).copied().unwrap_or_default()
    }

    /// Returns the number of floor permits of `account` in `zone`.
    pub fn zone_floor(&self, account: &AccountId, zone: &ZoneId) -> u32 {
        self.zone_share(self.limit(account) / FLOOR_DIVISOR, zone)
    }

    /// Returns the number of floor permits of `account` that `zone` never lends.
    pub fn zone_reserve(&self, account: &AccountId, zone: &ZoneId) -> u32 {
        self.zone_share(self.limit(account) / RESERVE_DIVISOR, zone)
    }

    fn zone_share(&self, total: u32, zone: &ZoneId) -> u32 {
        let index = self.zones.keys().position(|id| id == zone);
        index.map_or(0, |index| even_share(total, self.zones.len(), index))
    }
}

/// Returns the time from reading a suspicion until the suspected member's float permits are free,
/// for workers whose leases last `lease_ttl`.
///
/// The member's last read without the suspicion was sent before the suspicion was appended, and
/// lets it send starts and renewals until [`FLOAT_VALIDITY`] has passed. The last renewal takes
/// effect within one lease length and lasts for another.
pub fn hold_down(lease_ttl: Duration) -> Duration {
    let sum = FLOAT_VALIDITY + 2 * lease_ttl;
    sum + sum / DRIFT_DIVISOR
}

/// Returns the share at `index` when `total` is split into `count` shares that differ by at most 1.
pub fn even_share(total: u32, count: usize, index: usize) -> u32 {
    let before = |index: usize| (u64::from(total) * index as u64) / count.max(1) as u64;
    (before(index + 1) - before(index)) as u32
}
