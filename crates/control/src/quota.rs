//! Client accounts' maxima, which span the shards.
//!
//! Each shard has a part of an account's maximum as a contract in the store and starts runs within
//! it. Parts are changed by appends on the condition that nothing came between, so their sum never
//! exceeds the maximum; a part stays with its shard when the owner changes.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use pw_base::prelude::*;
use pw_worker::prelude::*;
use serde::{Deserialize, Serialize};

use crate::config::AccountRule;

/// How much more than its work a shard asks for, so that it need not ask for each job.
const AHEAD: f64 = 1.3;
/// Part of a maximum that a shard asks for on top.
const AHEAD_PART: f64 = 0.05;
/// How much more than its work a shard keeps while others find enough.
const KEPT: f64 = 2.0;
/// Part of a maximum that a shard keeps on top.
const KEPT_PART: f64 = 0.15;
/// Part of a maximum below which what is left counts as scarce, so that shards give back more.
const SCARCE_PART: f64 = 0.1;
/// Time for which a part has to be more than is needed before it shrinks.
const SHRINK_AFTER: Duration = Duration::from_millis(500);

/// Use and parts of the accounts in one shard.
#[derive(Debug, Clone, Default)]
pub struct AccountBudget {
    used: IndexMap<AccountId, ResourceSize>,
    parts: IndexMap<AccountId, ResourceSize>,
}

/// Work of an account in a shard.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AccountDemand {
    /// What is set aside for its runs.
    pub used: ResourceSize,
    /// What the tasks would take that could start now.
    pub waiting: ResourceSize,
}

/// Part of an account's maximum as it is stored.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaAllocation {
    /// Epoch of the shard's owner that set it.
    pub epoch: OwnerEpoch,
    /// The part; a dimension without a maximum is not looked at.
    pub size: ResourceSize,
}

/// Names a part: the account and the shard.
pub type AllocationKey = (AccountId, ShardNumber);

/// All parts of all accounts, as the store holds them.
#[derive(Debug, Clone, Default)]
pub struct QuotaTable {
    parts: IndexMap<AllocationKey, QuotaAllocation>,
    /// Since when a part is larger than it needs to be.
    idle_since: HashMap<AllocationKey, Instant>,
}

impl AccountBudget {
    /// Sets the part of the account's maximum that the shard may use.
    pub fn set_allocation(&mut self, account: AccountId, part: ResourceSize) {
        self.parts.insert(account, part);
    }

    /// Returns what the account has running in the shard.
    pub fn used(&self, account: &str) -> ResourceSize {
        self.used.get(account).copied().unwrap_or_default()
    }

    /// Returns whether a run of `size` keeps the account within its part of `maximum`.
    pub fn allows(&self, account: &str, size: &ResourceSize, maximum: &ResourceSize) -> bool {
        let part = self.parts.get(account).copied().unwrap_or_default();
        let sum = self.used(account).plus(size);
        fits_bounded(&sum, &part, maximum)
    }

    /// Counts a run.
    pub fn reserve(&mut self, account: &AccountId, size: &ResourceSize) {
        let used = self.used.entry(account.clone()).or_default();
        *used = used.plus(size);
    }

    /// Counts the end of a run.
    pub fn release(&mut self, account: &str, size: &ResourceSize) {
        if let Some(used) = self.used.get_mut(account) {
            *used = used.minus(size);
        }
    }
}

impl QuotaTable {
    /// Takes a stored part; one of an earlier owner than the last is passed over.
    pub fn apply(&mut self, key: AllocationKey, part: QuotaAllocation) {
        let known = self.parts.get(&key);
        if known.is_none_or(|known| known.epoch <= part.epoch) {
            self.parts.insert(key, part);
        }
    }

    /// Returns the sum of all parts of an account.
    pub fn total(&self, account: &str) -> ResourceSize {
        let parts = self
            .parts
            .iter()
            .filter(|((name, _), _)| &**name == account);
        parts.fold(ResourceSize::default(), |sum, (_, part)| {
            sum.plus(&part.size)
        })
    }

    /// Returns the part of a shard.
    pub fn allocation(&self, key: &AllocationKey) -> ResourceSize {
        self.parts
            .get(key)
            .map_or_else(ResourceSize::default, |part| part.size)
    }

    /// Returns what a shard may start up to: its part, or nothing while the parts exceed a maximum
    /// that was lowered.
    pub fn allowance(&self, key: &AllocationKey, maximum: &ResourceSize) -> ResourceSize {
        if fits_bounded(&self.total(&key.0), maximum, maximum) {
            self.allocation(key)
        } else {
            ResourceSize::default()
        }
    }

    /// Returns the parts that this node's shards should have instead of those that they have.
    pub fn propose(
        &mut self,
        accounts: &IndexMap<AccountId, AccountRule>,
        demands: &IndexMap<AllocationKey, AccountDemand>,
        now: Instant,
    ) -> Vec<(AllocationKey, ResourceSize)> {
        let mut totals: HashMap<AccountId, ResourceSize> = HashMap::new();
        let mut proposals = Vec::new();
        for (key, demand) in demands {
            let Some(rule) = accounts.get(&key.0) else {
                continue;
            };
            let maximum = rule.maximum;
            if maximum == ResourceSize::default() {
                continue;
            }
            let total = totals
                .entry(key.0.clone())
                .or_insert_with(|| self.total(&key.0));
            let part = self.allocation(key);
            let others = total.minus(&part);
            let free = maximum.minus(&others);
            let wanted = demand.used.plus(&demand.waiting);
            let goal = self.goal(key, &wanted, demand, &maximum, &free, now);
            if goal != part {
                *total = others.plus(&goal);
                proposals.push((key.clone(), goal));
            }
        }
        proposals
    }

    fn goal(
        &mut self,
        key: &AllocationKey,
        wanted: &ResourceSize,
        demand: &AccountDemand,
        maximum: &ResourceSize,
        free: &ResourceSize,
        now: Instant,
    ) -> ResourceSize {
        let part = self.allocation(key);
        let short = !fits_bounded(wanted, &part, maximum);
        let over = !fits_bounded(&part, free, maximum);
        if short || over {
            self.idle_since.remove(key);
            // What runs can't be given back; beyond that no more than the others leave.
            let asked = ahead(wanted, maximum, AHEAD, AHEAD_PART);
            return largest(&smallest(&asked, free), &demand.used);
        }
        let left = free.minus(&part);
        let scarce = !fits_bounded(
            &ahead(&ResourceSize::default(), maximum, 1.0, SCARCE_PART),
            &left,
            maximum,
        );
        let kept = if scarce {
            ahead(wanted, maximum, 1.0, 0.0)
        } else {
            ahead(wanted, maximum, KEPT, KEPT_PART)
        };
        if fits_bounded(&part, &kept, maximum) {
            self.idle_since.remove(key);
            return part;
        }
        let since = *self.idle_since.entry(key.clone()).or_insert(now);
        if now < since + SHRINK_AFTER {
            return part;
        }
        self.idle_since.remove(key);
        let ahead_part = if scarce { 0.0 } else { AHEAD_PART };
        smallest(&ahead(wanted, maximum, AHEAD, ahead_part), &part)
    }
}

/// Returns whether `size` is within `bound` in each dimension that has a maximum.
fn fits_bounded(size: &ResourceSize, bound: &ResourceSize, maximum: &ResourceSize) -> bool {
    let within = |size: u32, bound: u32, maximum: u32| maximum == 0 || size <= bound;
    within(size.millicores, bound.millicores, maximum.millicores)
        && within(size.memory_mib, bound.memory_mib, maximum.memory_mib)
        && within(size.accelerators, bound.accelerators, maximum.accelerators)
}

/// Returns `size` times a factor, and a part of the maximum more.
fn ahead(size: &ResourceSize, maximum: &ResourceSize, factor: f64, part: f64) -> ResourceSize {
    let more = |size: u32, maximum: u32| {
        (f64::from(size) * factor + f64::from(maximum) * part).ceil() as u32
    };
    ResourceSize {
        millicores: more(size.millicores, maximum.millicores),
        memory_mib: more(size.memory_mib, maximum.memory_mib),
        accelerators: more(size.accelerators, maximum.accelerators),
    }
}

fn smallest(a: &ResourceSize, b: &ResourceSize) -> ResourceSize {
    ResourceSize {
        millicores: a.millicores.min(b.millicores),
        memory_mib: a.memory_mib.min(b.memory_mib),
        accelerators: a.accelerators.min(b.accelerators),
    }
}

fn largest(a: &ResourceSize, b: &ResourceSize) -> ResourceSize {
    ResourceSize {
        millicores: a.millicores.max(b.millicores),
        memory_mib: a.memory_mib.max(b.memory_mib),
        accelerators: a.accelerators.max(b.accelerators),
    }
}
