//! Use and negotiation of the permits of one holder.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use pw_base::prelude::*;
use pw_member::prelude::*;

use crate::account_use::AccountUse;
use crate::gate::{PermitGate, PermitKind, TaskPermit};
use crate::ledger::PermitLedger;
use crate::limit::{FLOAT_VALIDITY, even_share};
use crate::proposal::{PermitProposal, PermitRound};

/// Settings of a permit holder.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct HolderSettings {
    /// Identity of the process, whose newest incarnation holds the permits.
    pub process: ProcessId,
    /// Availability zone that the holder runs in.
    pub zone: ZoneId,
    /// Time for which the result of a log read allows float permits, from when the read was sent.
    pub validity: Duration,
    /// Minimum time between two proposals.
    pub proposal_interval: Duration,
    /// Minimum time between two checks for something to propose.
    pub check_interval: Duration,
    /// Time after which unused permits are released.
    pub idle_timeout: Duration,
    /// Time for which a holder whose fair share is 0 may keep permits while a holder without any
    /// waits.
    pub max_hold: Duration,
    /// Time from the last unmet demand of other holders until lent floor permits are reclaimed.
    pub floor_reclaim_delay: Duration,
    /// Time after which a proposal that was not applied is superseded by a new one.
    pub retry_interval: Duration,
}

/// Manages the permits of one entry instance: acquires, releases and requests them.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct PermitHolder {
    settings: HolderSettings,
    key: Option<MemberKey>,
    /// Whether the process has ever been a member.
    was_member: bool,
    trusted: bool,
    last_read: Option<Instant>,
    observed_offset: Option<LogOffset>,
    round: PermitRound,
    applied_round: PermitRound,
    last_proposal: Option<Instant>,
    last_check: Option<Instant>,
    /// Whether the holder could propose at the last check or has read the log since.
    can_propose: bool,
    /// Whether another check may find something to propose.
    check_pending: bool,
    accounts: BTreeMap<AccountId, AccountUse>,
}

impl Default for HolderSettings {
    fn default() -> Self {
        Self {
            process: 0,
            zone: ZoneId::from(""),
            validity: FLOAT_VALIDITY,
            proposal_interval: Duration::from_millis(500),
            check_interval: Duration::from_millis(50),
            idle_timeout: Duration::from_secs(1),
            max_hold: Duration::from_secs(2),
            floor_reclaim_delay: Duration::from_secs(10),
            retry_interval: Duration::from_secs(2),
        }
    }
}

impl PermitHolder {
    /// Creates a holder that has no permits yet.
    pub fn new(settings: HolderSettings) -> Self {
        Self {
            settings,
            key: None,
            was_member: false,
            trusted: false,
            last_read: None,
            observed_offset: None,
            round: 0,
            applied_round: 0,
            last_proposal: None,
            last_check: None,
            can_propose: false,
            check_pending: false,
            accounts: BTreeMap::new(),
        }
    }

    /// Returns the age of the newest complete read of the log; `None` before the first one.
    pub fn staleness(&self, now: Instant) -> Option<Duration> {
        self.last_read
            .map(|last_read| now.saturating_duration_since(last_read))
    }

    /// Returns whether float permits may be used now.
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.fresh_until().is_some_and(|until| now < until)
    }

    /// Switches to the newest incarnation of the process and drops permits of earlier ones.
    ///
    /// Returns whether the member changed.
    fn observe_key(&mut self, members: &MemberLedger) -> bool {
        let current = members.current(self.settings.process);
        self.trusted = current.is_some_and(|(_, state)| state.suspicion.is_none());
        let key = current.map(|(key, _)| key);
        self.was_member |= key.is_some();
        if self.key.as_ref() == key {
            return false;
        }
        self.key = key.cloned();
        self.round = 0;
        self.applied_round = 0;
        self.last_proposal = None;
        self.accounts
            .values_mut()
            .for_each(AccountUse::clear_grants);
        true
    }

    fn observe_accounts(&mut self, now: Instant, permits: &PermitLedger, members: &MemberLedger) {
        let Some(key) = &self.key else {
            return;
        };
        let zone = &self.settings.zone;
        let zone_members = members.iter().filter(|(_, state)| state.spec.zone == *zone);
        let position = zone_members
            .take_while(|(member, _)| *member != key)
            .count();
        let count = members.zone_members(zone);
        let table = permits.table();
        for account in table.limits.keys().chain(permits.accounts()) {
            if !self.accounts.contains_key(account) {
                self.accounts.insert(account.clone(), AccountUse::default());
            }
        }
        self.applied_round = permits.round(key);
        let all_applied = self.applied_round >= self.round;
        for (account, account_use) in &mut self.accounts {
            account_use.observe(now, key, account, permits, members);
            account_use.floor_share = even_share(table.zone_floor(account, zone), count, position);
            account_use.reserve = even_share(table.zone_reserve(account, zone), count, position);
            account_use.in_service = table.zones.get(zone).is_some_and(|zone| zone.in_service);
            if all_applied {
                account_use.clear_pending_bound();
            }
        }
        self.accounts
            .retain(|_, account_use| !account_use.is_unused());
    }

    /// Returns whether enough time has passed since the last proposal.
    fn may_propose(&self, now: Instant) -> bool {
        let is_applied = self.applied_round >= self.round;
        let pause = if is_applied {
            self.settings.proposal_interval
        } else {
            self.settings.retry_interval
        };
        self.last_proposal
            .is_none_or(|last_proposal| now >= last_proposal + pause)
    }
}

impl PermitGate for PermitHolder {
    fn acquire(&mut self, now: Instant, account: &AccountId, zone: &ZoneId) -> Option<TaskPermit> {
        let incarnation = self.key.as_ref()?.incarnation;
        let is_fresh = self.is_fresh(now);
        let account_use = self.accounts.get_mut(account)?;
        if !account_use.has_fair_capacity(now, self.settings.max_hold) {
            return None;
        }
        let kind = if *zone == self.settings.zone && account_use.acquire_floor() {
            PermitKind::Floor
        } else if is_fresh && account_use.acquire_float() {
            PermitKind::Float
        } else {
            return None;
        };
        Some(TaskPermit {
            account: account.clone(),
            kind,
            incarnation,
        })
    }

    fn release(&mut self, _now: Instant, permit: TaskPermit) {
        let incarnation = self.key.as_ref().map(|key| key.incarnation);
        if incarnation != Some(permit.incarnation) {
            return;
        }
        if let Some(account_use) = self.accounts.get_mut(&permit.account) {
            account_use.release(permit.kind);
            self.check_pending = true;
        }
    }

    fn set_demand(&mut self, _now: Instant, account: &AccountId, waiting: u32) {
        if let Some(account_use) = self.accounts.get_mut(account) {
            account_use.waiting = waiting;
            self.check_pending = true;
        }
    }

    fn observe(
        &mut self,
        now: Instant,
        read_sent: Option<Instant>,
        permits: &PermitLedger,
        members: &MemberLedger,
    ) {
        self.last_read = self.last_read.max(read_sent);
        self.can_propose |= read_sent.is_some();
        let is_new = self.observe_key(members);
        if is_new || self.observed_offset != Some(permits.changed_offset()) {
            self.observed_offset = Some(permits.changed_offset());
            self.check_pending = true;
            self.observe_accounts(now, permits, members);
        }
    }

    fn may_open(&self, now: Instant, kind: PermitKind, zone: &ZoneId) -> bool {
        self.is_fresh(now) && (kind == PermitKind::Float || *zone == self.settings.zone)
    }

    fn may_renew(&self, now: Instant, permit: &TaskPermit) -> bool {
        let current = self.key.as_ref().map(|key| key.incarnation);
        match permit.kind {
            PermitKind::Floor => true,
            PermitKind::Float => current == Some(permit.incarnation) && self.is_fresh(now),
        }
    }

    fn fresh_until(&self) -> Option<Instant> {
        // A process that has never joined has no permits that other members could reclaim.
        let may_use_float = self.trusted || !self.was_member;
        let last_read = self.last_read.filter(|_| may_use_float)?;
        Some(last_read + self.settings.validity)
    }

    fn member(&self) -> Option<&MemberKey> {
        self.key.as_ref()
    }

    fn proposals(&mut self, now: Instant) -> Vec<PermitProposal> {
        let is_recent = |last_check| now < last_check + self.settings.check_interval;
        if self.last_check.is_some_and(is_recent) {
            return Vec::new();
        }
        self.last_check = Some(now);
        self.can_propose = self.key.is_some() && self.is_fresh(now);
        if !self.can_propose || !self.may_propose(now) {
            return Vec::new();
        }
        self.check_pending = false;
        let mut holds = Vec::new();
        for (account, account_use) in &mut self.accounts {
            holds.extend(account_use.plan(now, account, &self.settings));
            self.check_pending |= account_use.needs_check();
        }
        if holds.is_empty() {
            return Vec::new();
        }
        self.round += 1;
        self.last_proposal = Some(now);
        self.check_pending = true;
        let round = self.round;
        vec![PermitProposal::Hold { round, holds }]
    }

    fn next_deadline(&self) -> Option<Instant> {
        // A holder that can't propose has to wait for a read of the log.
        let last_check = self
            .last_check
            .filter(|_| self.check_pending && self.can_propose)?;
        Some(last_check + self.settings.check_interval)
    }
}
