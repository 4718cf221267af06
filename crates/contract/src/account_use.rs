//! One holder's use of the permits of one account.

use std::time::{Duration, Instant};

use pw_base::prelude::*;
use pw_member::prelude::*;

use crate::gate::PermitKind;
use crate::holder::HolderSettings;
use crate::ledger::{PermitGrant, PermitLedger};
use crate::proposal::PermitHold;

/// Permits wanted beyond the demand: one for this many tasks, and one more.
const HEADROOM_DIVISOR: u32 = 8;

/// Permits of one account as their holder sees and uses them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(crate) struct AccountUse {
    /// Tasks that wait for a permit.
    pub(crate) waiting: u32,
    /// Floor permits that the holder should have when nobody needs them more.
    pub(crate) floor_share: u32,
    /// Floor permits that are never lent.
    pub(crate) reserve: u32,
    /// Whether the holder's zone is in service.
    pub(crate) in_service: bool,
    limit: u32,
    used_floor: u32,
    used_float: u32,
    grant: PermitGrant,
    /// Floor and float permits that a proposal under way keeps.
    ceiling: Option<(u32, u32)>,
    fair: u32,
    /// Whether another holder has less than its fair part and wants more.
    others_lack: bool,
    /// Whether another holder has nothing and wants permits.
    others_starve: bool,
    /// Since when there are more permits than needed.
    surplus_since: Option<Instant>,
    /// Since when the holder has had permits without a break.
    held_since: Option<Instant>,
    /// Whether another holder wants more than it has.
    others_wait: bool,
    /// When demand of others was last seen to be unmet.
    others_unmet: Option<Instant>,
}

impl AccountUse {
    /// Forgets what an earlier incarnation held; its tasks count against its own permits.
    pub(crate) fn forget_grants(&mut self) {
        *self = Self {
            waiting: self.waiting,
            ..Self::default()
        };
    }

    /// Takes in what the log says.
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
        self.fair = permits.fair_share(account, key);
        let unmet: Vec<(&MemberKey, &PermitGrant)> = permits
            .grants(account)
            .filter(|(other, grant)| *other != key && grant.unmet() > 0)
            .filter(|(other, _)| members.is_trusted(other))
            .collect();
        self.others_lack = unmet
            .iter()
            .any(|(other, grant)| grant.held() < permits.fair_share(account, other));
        self.others_starve = unmet.iter().any(|(_, grant)| grant.held() == 0);
        if self.others_wait || !unmet.is_empty() {
            self.others_unmet = Some(now);
        }
        self.others_wait = !unmet.is_empty();
        self.held_since = match self.grant.held() {
            0 => None,
            _ => self.held_since.or(Some(now)),
        };
    }

    /// Forgets what a proposal kept once it has been folded or can't be folded any more.
    pub(crate) fn clear_ceiling(&mut self) {
        self.ceiling = None;
    }

    /// Returns whether the account is gone and nothing of it is held or waits.
    pub(crate) fn is_unused(&self) -> bool {
        self.limit == 0 && self.used() == 0 && self.waiting == 0 && self.grant.held() == 0
    }

    /// Returns whether the holder should look at the account again soon.
    pub(crate) fn needs_attention(&self) -> bool {
        self.waiting > 0 || self.surplus_since.is_some() || self.others_lack || self.others_starve
    }

    /// Returns whether one more task leaves others their fair part.
    pub(crate) fn has_fair_room(&self, now: Instant, max_hold: Duration) -> bool {
        self.used() < self.fair_bound(now, max_hold)
    }

    /// Takes a floor permit; returns whether there was one.
    pub(crate) fn acquire_floor(&mut self) -> bool {
        let is_free = self.used_floor < self.usable().0;
        self.used_floor += u32::from(is_free);
        is_free
    }

    /// Takes a float permit; returns whether there was one.
    pub(crate) fn acquire_float(&mut self) -> bool {
        let is_free = self.used_float < self.usable().1;
        self.used_float += u32::from(is_free);
        is_free
    }

    /// Takes a permit back.
    pub(crate) fn release(&mut self, kind: PermitKind) {
        let used = match kind {
            PermitKind::Floor => &mut self.used_floor,
            PermitKind::Float => &mut self.used_float,
        };
        *used = used.saturating_sub(1);
    }

    /// Returns what is to be proposed now, and keeps to it from now on.
    pub(crate) fn plan(
        &mut self,
        now: Instant,
        account: &AccountId,
        settings: &HolderSettings,
    ) -> Option<PermitHold> {
        let want_floor = self.wanted_floor(now, settings.floor_reclaim_delay);
        let want = self.wanted(want_floor);
        self.note_surplus(now, want);
        let (keep_floor, keep_float) = self.kept(now, want, want_floor, settings);
        let releases = keep_floor < self.grant.floor || keep_float < self.grant.float;
        let needs_more = self.demand() > self.grant.held() && want > self.grant.want;
        let shrinks = self.is_idle(now, settings.idle_timeout) && want < self.grant.want;
        if !releases && !needs_more && !shrinks && want_floor <= self.grant.want_floor {
            return None;
        }
        let (usable_floor, usable_float) = self.usable();
        self.ceiling = Some((usable_floor.min(keep_floor), usable_float.min(keep_float)));
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

    /// Returns the floor and float permits that tasks may run on.
    fn usable(&self) -> (u32, u32) {
        let (floor, float) = self.ceiling.unwrap_or((u32::MAX, u32::MAX));
        (
            self.grant.usable_floor.min(floor),
            self.grant.usable_float.min(float),
        )
    }

    /// Returns how many tasks may run while others lack their fair part.
    fn fair_bound(&self, now: Instant, max_hold: Duration) -> u32 {
        let is_over = self.held_since.is_some_and(|since| now >= since + max_hold);
        if self.others_lack || (self.others_starve && self.fair == 0 && is_over) {
            self.fair
        } else {
            u32::MAX
        }
    }

    /// Returns the tasks to be ready for: the demand, and some more when nobody else waits.
    fn need(&self) -> u32 {
        match self.demand() {
            0 => 0,
            demand if self.others_wait => demand,
            demand => demand.saturating_add(demand / HEADROOM_DIVISOR + 1),
        }
    }

    /// Returns the floor permits to have; those without use are lent while others wait.
    fn wanted_floor(&self, now: Instant, floor_reclaim_delay: Duration) -> u32 {
        if !self.in_service {
            return 0;
        }
        let is_recent = |unmet| now < unmet + floor_reclaim_delay;
        if self.others_wait || self.others_unmet.is_some_and(is_recent) {
            self.need().max(self.reserve).min(self.grant.floor)
        } else {
            self.floor_share
        }
    }

    fn wanted(&self, want_floor: u32) -> u32 {
        self.need().max(want_floor).min(self.limit)
    }

    /// Notes since when more is held or wanted than needed; some slack keeps appends few.
    fn note_surplus(&mut self, now: Instant, want: u32) {
        let slack = if self.others_wait {
            0
        } else {
            want / HEADROOM_DIVISOR + 1
        };
        let has_surplus = self.grant.held().max(self.grant.want) > want + slack;
        self.surplus_since = has_surplus.then(|| self.surplus_since.unwrap_or(now));
    }

    fn is_idle(&self, now: Instant, idle_timeout: Duration) -> bool {
        self.surplus_since
            .is_some_and(|since| now >= since + idle_timeout)
    }

    /// Returns the floor and float permits to keep.
    fn kept(
        &self,
        now: Instant,
        want: u32,
        want_floor: u32,
        settings: &HolderSettings,
    ) -> (u32, u32) {
        let grant = &self.grant;
        let mut total = grant.held().min(self.fair_bound(now, settings.max_hold));
        if self.is_idle(now, settings.idle_timeout) {
            total = total.min(want);
        }
        // What the lowered limit no longer lets tasks start on is of no use.
        total = total.min(grant.usable_floor + grant.usable_float);
        let excess = grant.held() - total;
        let idle_float = grant.float.saturating_sub(self.used_float);
        let from_float = excess.min(idle_float);
        let floor_bound = self.used_floor.max(self.unlent_floor(want_floor));
        let idle_floor = grant.floor.saturating_sub(floor_bound);
        let mut from_floor = (excess - from_float).min(idle_floor);
        if !self.in_service {
            from_floor = grant.floor.saturating_sub(self.used_floor);
        }
        (grant.floor - from_floor, grant.float - from_float)
    }

    /// Returns the floor permits that are not lent.
    fn unlent_floor(&self, want_floor: u32) -> u32 {
        if self.others_wait {
            self.reserve
        } else {
            want_floor.min(self.grant.usable_floor)
        }
    }
}
