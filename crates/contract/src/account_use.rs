//! Permits of one account as used by one holder.

use std::time::{Duration, Instant};

use pw_base::prelude::*;
use pw_member::prelude::*;

use crate::gate::PermitKind;
use crate::holder::HolderSettings;
use crate::ledger::{PermitGrant, PermitLedger};
use crate::proposal::PermitHold;

/// Headroom wanted beyond the demand: one permit per this many tasks, plus one.
const HEADROOM_DIVISOR: u32 = 8;

/// The holder's local view of its permits of one account, with those in use.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(crate) struct AccountUse {
    /// Tasks that wait for a permit.
    pub(crate) waiting: u32,
    /// The holder's even share of its zone's floor permits, kept unless other holders need them.
    pub(crate) floor_share: u32,
    /// Floor permits that the holder never lends to other holders.
    pub(crate) reserve: u32,
    /// Whether the holder's zone is in service.
    pub(crate) in_service: bool,
    limit: u32,
    used_floor: u32,
    used_float: u32,
    grant: PermitGrant,
    /// Bound on usable floor and float permits from a proposal that has not been applied yet.
    pending_bound: Option<(u32, u32)>,
    fair_share: u32,
    /// Whether another holder has less than its fair share and wants more.
    others_below_fair_share: bool,
    /// Whether another holder has no permits and wants some.
    others_starving: bool,
    /// When the holder began to have more permits than it needs.
    surplus_since: Option<Instant>,
    /// When the holder began to have permits without interruption.
    held_since: Option<Instant>,
    /// Whether another holder wants more than it has.
    others_waiting: bool,
    /// Last time at which another holder wanted more than it had.
    others_unmet_at: Option<Instant>,
}

impl AccountUse {
    /// Drops the permits of an earlier incarnation, against which its tasks still count.
    pub(crate) fn clear_grants(&mut self) {
        *self = Self {
            waiting: self.waiting,
            ..Self::default()
        };
    }

    /// Updates the account from the permits and membership in the log.
    pub(crate) fn observe(
        &mut self,
        now: Instant,
        key: &MemberKey,
        account: &AccountId,
        permits: &PermitLedger,
        members: &MemberLedger,
    ) {
        self.limit = permits.table().limit(account);
        self.grant = permits.grant(account, key);
        self.fair_share = permits.fair_share(account, key);
        let unmet: Vec<(&MemberKey, &PermitGrant)> = permits
            .grants(account)
            .filter(|(other, grant)| *other != key && grant.unmet() > 0)
            .filter(|(other, _)| members.is_trusted(other))
            .collect();
        self.others_below_fair_share = unmet
            .iter()
            .any(|(other, grant)| grant.held() < permits.fair_share(account, other));
        self.others_starving = unmet.iter().any(|(_, grant)| grant.held() == 0);
        if self.others_waiting || !unmet.is_empty() {
            self.others_unmet_at = Some(now);
        }
        self.others_waiting = !unmet.is_empty();
        self.held_since = match self.grant.held() {
            0 => None,
            _ => self.held_since.or(Some(now)),
        };
    }

    /// Removes the bound of a proposal that has been applied or can no longer be applied.
    pub(crate) fn clear_pending_bound(&mut self) {
        self.pending_bound = None;
    }

    /// Returns whether the account was removed and has no permits and no running or waiting tasks.
    pub(crate) fn is_unused(&self) -> bool {
        self.limit == 0 && self.used() == 0 && self.waiting == 0 && self.grant.held() == 0
    }

    /// Returns whether the holder should check the account again soon.
    pub(crate) fn needs_check(&self) -> bool {
        self.waiting > 0
            || self.surplus_since.is_some()
            || self.others_below_fair_share
            || self.others_starving
    }

    /// Returns whether one more task leaves other holders their fair share.
    pub(crate) fn has_fair_capacity(&self, now: Instant, max_hold: Duration) -> bool {
        self.used() < self.fair_bound(now, max_hold)
    }

    /// Acquires a floor permit; returns whether one was free.
    pub(crate) fn acquire_floor(&mut self) -> bool {
        let is_free = self.used_floor < self.usable().0;
        self.used_floor += u32::from(is_free);
        is_free
    }

    /// Acquires a float permit; returns whether one was free.
    pub(crate) fn acquire_float(&mut self) -> bool {
        let is_free = self.used_float < self.usable().1;
        self.used_float += u32::from(is_free);
        is_free
    }

    /// Marks a permit as unused.
    pub(crate) fn release(&mut self, kind: PermitKind) {
        let used = match kind {
            PermitKind::Floor => &mut self.used_floor,
            PermitKind::Float => &mut self.used_float,
        };
        *used = used.saturating_sub(1);
    }

    /// Returns the proposal to make now, and limits the usable permits to those that it keeps.
    pub(crate) fn plan(
        &mut self,
        now: Instant,
        account: &AccountId,
        settings: &HolderSettings,
    ) -> Option<PermitHold> {
        let want_floor = self.wanted_floor(now, settings.floor_reclaim_delay);
        let want = self.wanted(want_floor);
        self.update_surplus(now, want);
        let (keep_floor, keep_float) = self.permits_to_keep(now, want, want_floor, settings);
        let releases = keep_floor < self.grant.floor || keep_float < self.grant.float;
        let needs_more = self.demand() > self.grant.held() && want > self.grant.want;
        let shrinks = self.has_idle_surplus(now, settings.idle_timeout) && want < self.grant.want;
        if !releases && !needs_more && !shrinks && want_floor <= self.grant.want_floor {
            return None;
        }
        let (usable_floor, usable_float) = self.usable();
        self.pending_bound = Some((usable_floor.min(keep_floor), usable_float.min(keep_float)));
        if shrinks || releases {
            self.surplus_since = None;
        }
        Some(PermitHold {
            account: account.clone(),
            keep_floor,
            keep_float,
            want_floor,
            want,
        })
    }

    fn used(&self) -> u32 {
        self.used_floor + self.used_float
    }

    fn demand(&self) -> u32 {
        self.used().saturating_add(self.waiting)
    }

    /// Returns the number of floor and float permits that tasks may use.
    fn usable(&self) -> (u32, u32) {
        let (floor, float) = self.pending_bound.unwrap_or((u32::MAX, u32::MAX));
        (
            self.grant.usable_floor.min(floor),
            self.grant.usable_float.min(float),
        )
    }

    /// Returns how many tasks may run, which is the fair share while other holders lack theirs.
    fn fair_bound(&self, now: Instant, max_hold: Duration) -> u32 {
        let hold_expired = self.held_since.is_some_and(|since| now >= since + max_hold);
        if self.others_below_fair_share
            || (self.others_starving && self.fair_share == 0 && hold_expired)
        {
            self.fair_share
        } else {
            u32::MAX
        }
    }

    /// Returns the demand, with headroom when no other holder waits.
    fn buffered_demand(&self) -> u32 {
        match self.demand() {
            0 => 0,
            demand if self.others_waiting => demand,
            demand => demand.saturating_add(demand / HEADROOM_DIVISOR + 1),
        }
    }

    /// Returns the floor permits to request; unused ones are lent while other holders wait.
    fn wanted_floor(&self, now: Instant, floor_reclaim_delay: Duration) -> u32 {
        if !self.in_service {
            return 0;
        }
        let is_recent = |unmet| now < unmet + floor_reclaim_delay;
        if self.others_waiting || self.others_unmet_at.is_some_and(is_recent) {
            self.buffered_demand()
                .max(self.reserve)
                .min(self.grant.floor)
        } else {
            self.floor_share
        }
    }

    fn wanted(&self, want_floor: u32) -> u32 {
        self.buffered_demand().max(want_floor).min(self.limit)
    }

    /// Tracks when the holder began to hold or request more permits than it needs.
    ///
    /// The slack reduces the number of appends to the log.
    fn update_surplus(&mut self, now: Instant, want: u32) {
        let slack = if self.others_waiting {
            0
        } else {
            want / HEADROOM_DIVISOR + 1
        };
        let has_surplus = self.grant.held().max(self.grant.want) > want + slack;
        self.surplus_since = has_surplus.then(|| self.surplus_since.unwrap_or(now));
    }

    fn has_idle_surplus(&self, now: Instant, idle_timeout: Duration) -> bool {
        self.surplus_since
            .is_some_and(|since| now >= since + idle_timeout)
    }

    /// Returns how many floor and float permits to keep.
    fn permits_to_keep(
        &self,
        now: Instant,
        want: u32,
        want_floor: u32,
        settings: &HolderSettings,
    ) -> (u32, u32) {
        let grant = &self.grant;
        let mut total = grant.held().min(self.fair_bound(now, settings.max_hold));
        if self.has_idle_surplus(now, settings.idle_timeout) {
            total = total.min(want);
        }
        // Permits that became unusable when the limit was lowered are released.
        total = total.min(grant.usable_floor + grant.usable_float);
        let excess = grant.held() - total;
        let idle_float = grant.float.saturating_sub(self.used_float);
        let from_float = excess.min(idle_float);
        let floor_bound = self.used_floor.max(self.min_kept_floor(want_floor));
        let idle_floor = grant.floor.saturating_sub(floor_bound);
        let mut from_floor = (excess - from_float).min(idle_floor);
        if !self.in_service {
            from_floor = grant.floor.saturating_sub(self.used_floor);
        }
        (grant.floor - from_floor, grant.float - from_float)
    }

    /// Returns the floor permits to keep even when they are unused.
    fn min_kept_floor(&self, want_floor: u32) -> u32 {
        if self.others_waiting {
            self.reserve
        } else {
            want_floor.min(self.grant.usable_floor)
        }
    }
}
