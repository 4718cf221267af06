//! The decisions of one holder of permits.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use pw_base::prelude::*;
use pw_member::prelude::*;

use crate::account_use::AccountUse;
use crate::gate::{PermitGate, PermitKind, TaskPermit};
use crate::ledger::PermitLedger;
use crate::limit::{FLOAT_VALIDITY, even_share};
use crate::proposal::{PermitProposal, PermitRound};

/// Times and place of a permit holder.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct HolderSettings {
    /// Identity of the process; its newest incarnation holds the permits.
    pub process: ProcessId,
    /// Availability zone that the holder runs in.
    pub zone: ZoneId,
    /// Time after the sending of a read of the log during which its result allows float permits.
    pub validity: Duration,
    /// Time between two proposals.
    pub proposal_interval: Duration,
    /// Time between two looks for something to propose.
    pub check_interval: Duration,
    /// Time after which permits without use are released.
    pub idle_timeout: Duration,
    /// Time for which a permit may be kept while a holder without any waits.
    pub max_hold: Duration,
    /// Time after the last unmet demand of others until lent floor permits are claimed back.
    pub floor_reclaim_delay: Duration,
    /// Time after which a proposal that was not folded is made anew.
    pub retry_interval: Duration,
}

/// Holds the permits of one entry instance.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct PermitHolder {
    settings: HolderSettings,
    key: Option<MemberKey>,
    /// Whether the process has ever been a member.
    was_member: bool,
    trusted: bool,
    fresh: Option<Instant>,
    seen: Option<LogOffset>,
    round: PermitRound,
    folded_round: PermitRound,
    proposed: Option<Instant>,
    checked: Option<Instant>,
    /// Whether the last look found the holder able to propose.
    ready: bool,
    /// Whether there may be something to propose soon.
    attention: bool,
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
            fresh: None,
            seen: None,
            round: 0,
            folded_round: 0,
            proposed: None,
            checked: None,
            ready: false,
            attention: false,
            accounts: BTreeMap::new(),
        }
    }

    /// Returns how old the newest complete reading of the log is; `None` before the first one.
    pub fn staleness(&self, now: Instant) -> Option<Duration> {
        self.fresh.map(|fresh| now.saturating_duration_since(fresh))
    }

    /// Returns whether float permits may be used now.
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.fresh_until().is_some_and(|until| now < until)
    }

    /// Acts for the newest incarnation of the process; the permits of an older one are not its own.
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
        self.folded_round = 0;
        self.proposed = None;
        self.accounts
            .values_mut()
            .for_each(AccountUse::forget_grants);
        true
    }

    fn observe_accounts(&mut self, now: Instant, permits: &PermitLedger, members: &MemberLedger) {
        let Some(key) = &self.key else {
            return;
        };
        let zone = &self.settings.zone;
        let mates = members.iter().filter(|(_, state)| state.spec.zone == *zone);
        let place = mates.take_while(|(mate, _)| *mate != key).count();
        let count = members.zone_members(zone);
        let table = permits.table();
        for account in table.limits.keys().chain(permits.accounts()) {
            if !self.accounts.contains_key(account) {
                self.accounts.insert(account.clone(), AccountUse::default());
            }
        }
        self.folded_round = permits.round(key);
        let all_folded = self.folded_round >= self.round;
        for (account, account_use) in &mut self.accounts {
            account_use.observe(now, key, account, permits, members);
            account_use.floor_share = even_share(table.zone_floor(account, zone), count, place);
            account_use.reserve = even_share(table.zone_reserve(account, zone), count, place);
            account_use.in_service = table.zones.get(zone).is_some_and(|zone| zone.in_service);
            if all_folded {
                account_use.clear_ceiling();
            }
        }
        self.accounts
            .retain(|_, account_use| !account_use.is_unused());
    }

    /// Returns whether a proposal may be made, as far as the pace allows it.
    fn may_propose(&self, now: Instant) -> bool {
        let is_folded = self.folded_round >= self.round;
        let pause = if is_folded {
            self.settings.proposal_interval
        } else {
            self.settings.retry_interval
        };
        self.proposed.is_none_or(|proposed| now >= proposed + pause)
    }
}

impl PermitGate for PermitHolder {
    fn acquire(&mut self, now: Instant, account: &AccountId, zone: &ZoneId) -> Option<TaskPermit> {
        let incarnation = self.key.as_ref()?.incarnation;
        let is_fresh = self.is_fresh(now);
        let account_use = self.accounts.get_mut(account)?;
        if !account_use.has_fair_room(now, self.settings.max_hold) {
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
            self.attention = true;
        }
    }

    fn set_demand(&mut self, _now: Instant, account: &AccountId, waiting: u32) {
        if let Some(account_use) = self.accounts.get_mut(account) {
            account_use.waiting = waiting;
            self.attention = true;
        }
    }

    fn observe(
        &mut self,
        now: Instant,
        read_sent: Option<Instant>,
        permits: &PermitLedger,
        members: &MemberLedger,
    ) {
        self.fresh = self.fresh.max(read_sent);
        self.ready |= read_sent.is_some();
        let is_new = self.observe_key(members);
        if is_new || self.seen != Some(permits.changed_offset()) {
            self.seen = Some(permits.changed_offset());
            self.attention = true;
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
        // Before it joins, a process has no permits that anybody could wait for.
        let is_free = self.trusted || !self.was_member;
        let fresh = self.fresh.filter(|_| is_free)?;
        Some(fresh + self.settings.validity)
    }

    fn member(&self) -> Option<&MemberKey> {
        self.key.as_ref()
    }

    fn proposals(&mut self, now: Instant) -> Vec<PermitProposal> {
        let is_checked = |checked| now < checked + self.settings.check_interval;
        if self.checked.is_some_and(is_checked) {
            return Vec::new();
        }
        self.checked = Some(now);
        self.ready = self.key.is_some() && self.is_fresh(now);
        if !self.ready || !self.may_propose(now) {
            return Vec::new();
        }
        self.attention = false;
        let mut holds = Vec::new();
        for (account, account_use) in &mut self.accounts {
            holds.extend(account_use.plan(now, account, &self.settings));
            self.attention |= account_use.needs_attention();
        }
        if holds.is_empty() {
            return Vec::new();
        }
        self.round += 1;
        self.proposed = Some(now);
        self.attention = true;
        let round = self.round;
        vec![PermitProposal::Hold { round, holds }]
    }

    fn next_deadline(&self) -> Option<Instant> {
        // Only a reading of the log makes an unready holder ready.
        let checked = self.checked.filter(|_| self.attention && self.ready)?;
        Some(checked + self.settings.check_interval)
    }
}
