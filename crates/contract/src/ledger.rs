//! Permits of all members as determined by the log.

use std::collections::{BTreeMap, BTreeSet};

use pw_base::prelude::*;
use pw_member::prelude::*;
use serde::{Deserialize, Serialize};
use strum::Display;

use crate::limit::LimitTable;
use crate::proposal::{PermitHold, PermitProposal, PermitRound};

/// Permits after a prefix of the log has been applied.
///
/// At every offset, the granted permits of an account don't exceed its limit, or don't increase
/// while a lowered limit is below them. The usable permits never exceed the limit.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PermitLedger {
    table: LimitTable,
    accounts: BTreeMap<AccountId, AccountGrants>,
    holders: BTreeMap<MemberKey, HolderState>,
    changed: LogOffset,
}

type AccountGrants = BTreeMap<MemberKey, PermitGrant>;

/// Permits of one account that one member holds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PermitGrant {
    /// Floor permits reserved for the member.
    pub floor: u32,
    /// Float permits reserved for the member.
    pub float: u32,
    /// Floor permits that tasks may use; fewer than `floor` after the limit was lowered.
    pub usable_floor: u32,
    /// Float permits that tasks may use; fewer than `float` after the limit was lowered.
    pub usable_float: u32,
    /// Floor permits that the member wants.
    pub want_floor: u32,
    /// Permits of both kinds that the member wants.
    pub want: u32,
    /// Offset of the member's latest grant.
    pub granted: LogOffset,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct HolderState {
    zone: ZoneId,
    round: PermitRound,
    /// Workers that must fence the holder after its retirement; `None` while it is active.
    fence: Option<BTreeSet<WorkerId>>,
}

/// Why a proposal about permits has no effect.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display,
)]
#[strum(serialize_all = "kebab-case")]
pub enum PermitReject {
    /// The author is not a member or is currently suspected.
    UntrustedHolder,
    /// This or a later round of the author has already been applied.
    OldRound,
    /// The member is not retired or holds no floor permits.
    NothingToReclaim,
    /// A worker of the zone has not confirmed that it has fenced the retired member.
    NotFenced,
}

impl PermitGrant {
    /// Returns the number of permits of both kinds.
    pub fn held(&self) -> u32 {
        self.floor + self.float
    }

    /// Returns how many permits the member wants beyond those that it holds.
    pub fn unmet(&self) -> u32 {
        self.want.saturating_sub(self.held())
    }

    fn keep(&mut self, hold: &PermitHold) {
        self.floor = self.floor.min(hold.keep_floor);
        self.float = self.float.min(hold.keep_float);
        self.usable_floor = self.usable_floor.min(self.floor);
        self.usable_float = self.usable_float.min(self.float);
        self.want_floor = hold.want_floor;
        self.want = hold.want;
    }

    fn add_floor(&mut self, offset: LogOffset, count: u32) {
        self.floor += count;
        self.usable_floor += count;
        self.granted = offset;
    }

    fn add_float(&mut self, offset: LogOffset, count: u32) {
        self.float += count;
        self.usable_float += count;
        self.granted = offset;
    }
}

impl PermitLedger {
    /// Returns the limits and zones that the grants are based on.
    pub fn table(&self) -> &LimitTable {
        &self.table
    }

    /// Returns the offset of the latest change to a grant.
    pub fn changed_offset(&self) -> LogOffset {
        self.changed
    }

    /// Returns the permits of `account` that `member` holds and wants.
    pub fn grant(&self, account: &AccountId, member: &MemberKey) -> PermitGrant {
        let grants = self.accounts.get(account);
        grants
            .and_then(|grants| grants.get(member))
            .copied()
            .unwrap_or_default()
    }

    /// Iterates over the grants of `account`, including retired members with floor permits.
    pub fn grants(&self, account: &AccountId) -> impl Iterator<Item = (&MemberKey, &PermitGrant)> {
        self.accounts.get(account).into_iter().flatten()
    }

    /// Iterates over the accounts with granted or wanted permits.
    pub fn accounts(&self) -> impl Iterator<Item = &AccountId> {
        self.accounts.keys()
    }

    /// Returns how many permits of `account` are granted.
    pub fn granted(&self, account: &AccountId) -> u32 {
        self.grants(account).map(|(_, grant)| grant.held()).sum()
    }

    /// Returns the latest applied round of `member`; 0 before the first one.
    pub fn round(&self, member: &MemberKey) -> PermitRound {
        self.holders.get(member).map_or(0, |holder| holder.round)
    }

    /// Iterates over the retired members that still hold floor permits, with the workers that must
    /// fence them.
    pub fn unfenced(&self) -> impl Iterator<Item = (&MemberKey, BTreeSet<WorkerId>)> {
        self.holders.iter().filter_map(|(key, holder)| {
            let at_retirement = holder.fence.as_ref()?;
            Some((key, self.required_fences(&holder.zone, at_retirement)))
        })
    }

    /// Returns the max-min fair share of the limit for `member`, rounded down.
    ///
    /// The limit is shared among the members that want permits. Permits of retired members are not available for sharing.
    pub fn fair_share(&self, account: &AccountId, member: &MemberKey) -> u32 {
        let (retired, active): (Vec<_>, Vec<_>) = self
            .grants(account)
            .partition(|(key, _)| self.is_retired(key));
        let retired_permits: u32 = retired.iter().map(|(_, grant)| grant.held()).sum();
        let mut left = self.table.limit(account).saturating_sub(retired_permits);
        let mut wants: Vec<(u32, &MemberKey)> = active
            .into_iter()
            .map(|(key, grant)| (grant.want, key))
            .collect();
        wants.sort();
        let mut claimants = wants.len() as u32;
        for (want, key) in wants {
            let part = want.min(left / claimants);
            if key == member {
                return part;
            }
            left -= part;
            claimants -= 1;
        }
        0
    }

    /// Applies the limits and zones of a new configuration.
    pub fn set_table(&mut self, offset: LogOffset, table: LimitTable, members: &MemberLedger) {
        self.table = table;
        self.changed = offset;
        let accounts: Vec<AccountId> = self.accounts.keys().cloned().collect();
        for account in accounts {
            self.limit_usable(&account);
            self.distribute(offset, &account, members);
        }
    }

    /// Applies a proposal of `author` at `offset`; `members` is the membership before it.
    ///
    /// # Errors
    ///
    /// Returns why the proposal was rejected; the state is then unchanged.
    pub fn apply(
        &mut self,
        offset: LogOffset,
        author: &MemberKey,
        proposal: &PermitProposal,
        members: &MemberLedger,
    ) -> Result<(), PermitReject> {
        let state = members.get(author).ok_or(PermitReject::UntrustedHolder)?;
        match proposal {
            PermitProposal::Hold { round, holds } => {
                if *round <= self.round(author) {
                    return Err(PermitReject::OldRound);
                }
                let holder = HolderState {
                    zone: state.spec.zone.clone(),
                    round: *round,
                    fence: None,
                };
                self.holders.insert(author.clone(), holder);
                for hold in holds {
                    self.apply_hold(offset, author, hold, members);
                }
                Ok(())
            }
            PermitProposal::Reclaim { from, workers } => {
                if !members.is_trusted(author) {
                    return Err(PermitReject::UntrustedHolder);
                }
                self.reclaim(offset, from, workers, members)
            }
        }
    }

    /// Grants the permits that a member requested before it refuted its suspicion.
    pub fn resume_grants(&mut self, offset: LogOffset, member: &MemberKey, members: &MemberLedger) {
        let is_holder = |grants: &AccountGrants| grants.contains_key(member);
        let accounts = self.accounts.iter().filter(|(_, grants)| is_holder(grants));
        let accounts: Vec<AccountId> = accounts.map(|(account, _)| account.clone()).collect();
        for account in accounts {
            self.distribute(offset, &account, members);
        }
    }

    /// Frees every permit of a member that has left after ending its tasks.
    pub fn leave(&mut self, offset: LogOffset, member: &MemberKey, members: &MemberLedger) {
        self.holders.remove(member);
        self.remove_grants(offset, member, members, |_| false);
    }

    /// Frees the float permits of a retired member.
    ///
    /// Its floor permits stay reserved until the workers confirm that they have fenced it.
    pub fn retire(&mut self, offset: LogOffset, member: &MemberKey, members: &MemberLedger) {
        let Some(holder) = self.holders.get_mut(member) else {
            return;
        };
        let zone = self.table.zones.get(&holder.zone);
        holder.fence = Some(zone.map(|zone| zone.workers.clone()).unwrap_or_default());
        self.remove_grants(offset, member, members, |grant| {
            grant.float = 0;
            grant.usable_float = 0;
            grant.want = 0;
            grant.want_floor = 0;
            grant.floor > 0
        });
        let has_floor = self
            .accounts
            .values()
            .any(|grants| grants.contains_key(member));
        if !has_floor {
            self.holders.remove(member);
        }
    }

    fn is_retired(&self, member: &MemberKey) -> bool {
        let holder = self.holders.get(member);
        holder.is_some_and(|holder| holder.fence.is_some())
    }

    fn apply_hold(
        &mut self,
        offset: LogOffset,
        author: &MemberKey,
        hold: &PermitHold,
        members: &MemberLedger,
    ) {
        let known = self.table.limits.contains_key(&hold.account);
        if !known && !self.accounts.contains_key(&hold.account) {
            return;
        }
        let grants = self.accounts.entry(hold.account.clone()).or_default();
        grants.entry(author.clone()).or_default().keep(hold);
        self.distribute(offset, &hold.account, members);
    }

    fn reclaim(
        &mut self,
        offset: LogOffset,
        from: &MemberKey,
        workers: &BTreeSet<WorkerId>,
        members: &MemberLedger,
    ) -> Result<(), PermitReject> {
        let holder = self.holders.get(from);
        let (zone, at_retirement) = holder
            .and_then(|holder| Some((&holder.zone, holder.fence.as_ref()?)))
            .ok_or(PermitReject::NothingToReclaim)?;
        if !self.required_fences(zone, at_retirement).is_subset(workers) {
            return Err(PermitReject::NotFenced);
        }
        self.holders.remove(from);
        self.remove_grants(offset, from, members, |_| false);
        Ok(())
    }

    /// Returns the workers that were declared when the holder was retired or are declared now.
    fn required_fences(
        &self,
        zone: &ZoneId,
        at_retirement: &BTreeSet<WorkerId>,
    ) -> BTreeSet<WorkerId> {
        let now = self.table.zones.get(zone);
        let workers = now.map(|zone| &zone.workers).into_iter().flatten();
        at_retirement.iter().chain(workers).cloned().collect()
    }

    /// Removes the grants of `member` that `keep` rejects, and redistributes the freed permits.
    fn remove_grants(
        &mut self,
        offset: LogOffset,
        member: &MemberKey,
        members: &MemberLedger,
        mut keep: impl FnMut(&mut PermitGrant) -> bool,
    ) {
        let mut freed = Vec::new();
        for (account, grants) in &mut self.accounts {
            if let Some(grant) = grants.get_mut(member) {
                if !keep(grant) {
                    grants.remove(member);
                }
                freed.push(account.clone());
            }
        }
        for account in freed {
            self.distribute(offset, &account, members);
        }
    }

    /// Limits the usable permits of `account` to its limit.
    ///
    /// While more permits are granted than the limit allows, usable permits only decrease, so that
    /// holders at different offsets together stay within the limit.
    fn limit_usable(&mut self, account: &AccountId) {
        let limit = self.table.limit(account);
        let granted = self.granted(account);
        let Some(grants) = self.accounts.get_mut(account) else {
            return;
        };
        if granted <= limit {
            for grant in grants.values_mut() {
                grant.usable_floor = grant.floor;
                grant.usable_float = grant.float;
            }
            return;
        }
        let parts = |grant: &PermitGrant| grant.usable_floor + grant.usable_float;
        let usable: u32 = grants.values().map(parts).sum();
        if usable <= limit {
            return;
        }
        let scale = |sum: u32| (u64::from(sum) * u64::from(limit) / u64::from(usable)) as u32;
        let mut sum = 0;
        let mut scale_next = |part: &mut u32| {
            let before = scale(sum);
            sum += *part;
            *part = scale(sum) - before;
        };
        for grant in grants.values_mut() {
            scale_next(&mut grant.usable_floor);
            scale_next(&mut grant.usable_float);
        }
    }

    /// Grants free permits of `account` to trusted members that requested them.
    fn distribute(&mut self, offset: LogOffset, account: &AccountId, members: &MemberLedger) {
        self.changed = offset;
        let limit = self.table.limit(account);
        let free = limit.saturating_sub(self.granted(account));
        let mut free_zone_floor = self.free_zone_floor(account);
        let Some(grants) = self.accounts.get_mut(account) else {
            return;
        };
        let holders = &self.holders;
        let zone_of = |key: &MemberKey| Some(&holders.get(key)?.zone);
        let trusted = |key: &MemberKey| members.is_trusted(key);
        let taken = grant_floor(offset, grants, free, trusted, |key, wanted| {
            let left = zone_of(key).and_then(|zone| free_zone_floor.get_mut(zone));
            left.map_or(0, |left| {
                let count = wanted.min(*left);
                *left -= count;
                count
            })
        });
        let free = free - taken;
        grant_float(offset, grants, free, trusted);
        grants.retain(|_, grant| grant.held() > 0 || grant.want > 0);
        if grants.is_empty() {
            self.accounts.remove(account);
        }
        self.limit_usable(account);
    }

    /// Returns the unassigned floor permits of `account` in each zone.
    fn free_zone_floor(&self, account: &AccountId) -> BTreeMap<ZoneId, u32> {
        let floor = |zone: &ZoneId| self.table.zone_floor(account, zone);
        let zones = self.table.zones.keys();
        let mut free: BTreeMap<ZoneId, u32> =
            zones.map(|zone| (zone.clone(), floor(zone))).collect();
        for (key, grant) in self.grants(account) {
            let zone = self.holders.get(key).map(|holder| &holder.zone);
            if let Some(left) = zone.and_then(|zone| free.get_mut(zone)) {
                *left = left.saturating_sub(grant.floor);
            }
        }
        free
    }
}

/// Grants floor permits in key order and returns how many were granted.
///
/// `take_from_zone` takes up to the requested number from the free permits of the member's zone.
fn grant_floor(
    offset: LogOffset,
    grants: &mut AccountGrants,
    free: u32,
    trusted: impl Fn(&MemberKey) -> bool,
    mut take_from_zone: impl FnMut(&MemberKey, u32) -> u32,
) -> u32 {
    let mut taken = 0;
    for (key, grant) in grants.iter_mut().filter(|(key, _)| trusted(key)) {
        let wanted = grant.want_floor.saturating_sub(grant.floor);
        let count = take_from_zone(key, wanted.min(free - taken));
        if count > 0 {
            grant.add_floor(offset, count);
            taken += count;
        }
    }
    taken
}

/// Grants float permits, first to the member with the fewest permits and the oldest latest grant.
fn grant_float(
    offset: LogOffset,
    grants: &mut AccountGrants,
    mut free: u32,
    trusted: impl Fn(&MemberKey) -> bool,
) {
    while free > 0 {
        let claimants: Vec<&mut PermitGrant> = grants
            .iter_mut()
            .filter(|(key, grant)| grant.unmet() > 0 && trusted(key))
            .map(|(_, grant)| grant)
            .collect();
        let step = free / (2 * claimants.len() as u32).max(1);
        let neediest = claimants
            .into_iter()
            .min_by_key(|grant| (grant.held(), grant.granted));
        let Some(grant) = neediest else {
            return;
        };
        let count = step.max(1).min(grant.unmet());
        grant.add_float(offset, count);
        free -= count;
    }
}
