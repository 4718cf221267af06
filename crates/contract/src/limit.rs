//! Upper limits and the parts of them that belong to availability zones.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use pw_base::prelude::*;
use serde::{Deserialize, Serialize};

/// Part of each limit that belongs to the availability zones together: one in this many.
const FLOOR_DIVISOR: u32 = 2;
/// Part of each limit that the zones together never lend: one in this many.
const RESERVE_DIVISOR: u32 = 20;

/// Time after the sending of a read of the log during which its result allows float permits.
pub const FLOAT_VALIDITY: Duration = Duration::from_secs(10);
/// Bound of the drift between any two clocks, as one part of this many.
const DRIFT_DIVISOR: u32 = 50;

/// Limits and zones of the configuration in force, as the permits need them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LimitTable {
    /// Upper limit of each account in running tasks.
    pub limits: BTreeMap<AccountId, u32>,
    /// Declared availability zones.
    pub zones: BTreeMap<ZoneId, ZoneFloor>,
}

/// What the permits need to know of an availability zone.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ZoneFloor {
    /// Whether tasks may start there.
    pub in_service: bool,
    /// Workers declared there.
    pub workers: BTreeSet<WorkerId>,
}

impl LimitTable {
    /// Returns the upper limit of `account`; 0 for an account that is not declared.
    pub fn limit(&self, account: &AccountId) -> u32 {
        self.limits.get(account).copied().unwrap_or_default()
    }

    /// Returns the floor permits of `account` that belong to `zone`.
    pub fn zone_floor(&self, account: &AccountId, zone: &ZoneId) -> u32 {
        self.zone_share(self.limit(account) / FLOOR_DIVISOR, zone)
    }

    /// Returns the floor permits of `account` that `zone` never lends to others.
    pub fn zone_reserve(&self, account: &AccountId, zone: &ZoneId) -> u32 {
        self.zone_share(self.limit(account) / RESERVE_DIVISOR, zone)
    }

    fn zone_share(&self, whole: u32, zone: &ZoneId) -> u32 {
        let place = self.zones.keys().position(|id| id == zone);
        place.map_or(0, |place| even_share(whole, self.zones.len(), place))
    }
}

/// Returns the time from a reading of a suspicion until the suspected member's float permits are
/// free, for workers whose leases last `lease_ttl`.
///
/// The member's last read that did not show the suspicion was sent before the suspicion was
/// appended. It lets the member send its last start and renewal until [`FLOAT_VALIDITY`] has
/// passed. That renewal takes effect within one lease length and lasts for another.
pub fn hold_down(lease_ttl: Duration) -> Duration {
    let sum = FLOAT_VALIDITY + 2 * lease_ttl;
    sum + sum / DRIFT_DIVISOR
}

/// Returns the part at `place` when `whole` is split into `count` parts that differ by at most 1.
pub fn even_share(whole: u32, count: usize, place: usize) -> u32 {
    let before = |place: usize| (u64::from(whole) * place as u64) / count.max(1) as u64;
    (before(place + 1) - before(place)) as u32
}
