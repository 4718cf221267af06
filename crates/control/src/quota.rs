//! Division of client accounts' maxima among the shards.
//!
//! Each shard has an allocation of an account's maximum, recorded in the store, and starts runs
//! within it. Allocations are changed by conditional appends, which fail after a concurrent change,
//! so their sum never exceeds the maximum. An allocation stays with its shard when the owner
//! changes.
//!
//! An allocation shrinks in the shard first, see [`AllocationReductions`]: another shard may use the
//! difference as soon as the smaller allocation is stored.

mod reductions;
mod shortages;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use pw_base::prelude::*;
use pw_worker::prelude::*;
use serde::{Deserialize, Serialize};

pub use self::reductions::AllocationReductions;
pub use self::shortages::{QuotaShortages, ShortageReport};
use crate::config::AccountRule;

/// Multiple of its demand that a shard requests, so that not every job needs a request.
const REQUEST_FACTOR: f64 = 1.3;
/// Fraction of a maximum that a shard requests in addition.
const REQUEST_FRACTION: f64 = 0.05;
/// Multiple of its demand that a shard retains while enough is left for others.
const RETAIN_FACTOR: f64 = 2.0;
/// Fraction of a maximum that a shard retains in addition.
const RETAIN_FRACTION: f64 = 0.15;
/// Fraction of a maximum below which the unallocated rest is scarce, so that shards release more.
const SCARCE_FRACTION: f64 = 0.1;
/// Time for which an allocation has to exceed the need before it shrinks.
const SHRINK_DELAY: Duration = Duration::from_millis(500);

/// Usage and allocations of the accounts in one shard.
#[derive(Debug, Clone, Default)]
pub struct AccountBudget {
    used: IndexMap<AccountId, ResourceSize>,
    allocations: IndexMap<AccountId, ResourceSize>,
}

/// Demand of an account in a shard.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AccountDemand {
    /// Size reserved for its runs.
    pub used: ResourceSize,
    /// Size of its tasks that are ready to start, and may within a larger allocation.
    pub waiting: ResourceSize,
}

/// A shard's allocation of an account's maximum, as stored.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaAllocation {
    /// Epoch of the shard owner that wrote it.
    pub epoch: OwnerEpoch,
    /// Size of the allocation; dimensions without a maximum are ignored.
    pub size: ResourceSize,
}

/// Key of an allocation: the account and the shard.
pub type AllocationKey = (AccountId, ShardNumber);

/// Allocations of all accounts and shards, as stored.
#[derive(Debug, Clone, Default)]
pub struct QuotaTable {
    allocations: IndexMap<AllocationKey, QuotaAllocation>,
    /// Since when an allocation has been larger than needed.
    excess_since: HashMap<AllocationKey, Instant>,
}

impl AccountBudget {
    /// Sets the shard's allocation of the account's maximum.
    pub fn set_allocation(&mut self, account: AccountId, allocation: ResourceSize) {
        self.allocations.insert(account, allocation);
    }

    /// Returns the size reserved for the account's runs in the shard.
    pub fn used(&self, account: &str) -> ResourceSize {
        self.used.get(account).copied().unwrap_or_default()
    }

    /// Returns whether a run of `size` keeps the account within its allocation of `maximum`, which
    /// may have been lowered below the allocation.
    pub fn allows(&self, account: &str, size: &ResourceSize, maximum: &ResourceSize) -> bool {
        let allocation = self.allocations.get(account).copied().unwrap_or_default();
        let sum = self.used(account).plus(size);
        fits_within(&sum, &allocation, maximum) && fits_within(&sum, maximum, maximum)
    }

    /// Reserves the size of a run.
    pub fn reserve(&mut self, account: &AccountId, size: &ResourceSize) {
        let used = self.used.entry(account.clone()).or_default();
        *used = used.plus(size);
    }

    /// Returns the accounts with runs in the shard, with the size reserved for them.
    pub fn users(&self) -> impl Iterator<Item = (&AccountId, ResourceSize)> {
        let used = self.used.iter().map(|(account, size)| (account, *size));
        used.filter(|(_, size)| *size != ResourceSize::default())
    }

    /// Releases the size of a run that ended.
    pub fn release(&mut self, account: &str, size: &ResourceSize) {
        if let Some(used) = self.used.get_mut(account) {
            *used = used.minus(size);
        }
    }
}

impl QuotaTable {
    /// Applies a stored allocation unless it comes from an earlier owner than the current one.
    pub fn apply(&mut self, key: AllocationKey, allocation: QuotaAllocation) {
        let current = self.allocations.get(&key);
        if current.is_none_or(|current| current.epoch <= allocation.epoch) {
            self.allocations.insert(key, allocation);
        }
    }

    /// Returns the sum of all allocations of an account.
    pub fn total(&self, account: &str) -> ResourceSize {
        let allocations = self
            .allocations
            .iter()
            .filter(|((name, _), _)| &**name == account);
        allocations.fold(ResourceSize::default(), |sum, (_, allocation)| {
            sum.plus(&allocation.size)
        })
    }

    /// Returns the shards that hold a part of an account's maximum.
    pub fn holders(&self, account: &str) -> impl Iterator<Item = (ShardNumber, ResourceSize)> {
        let allocations = self.allocations.iter();
        let held = allocations.filter(move |((name, _), allocation)| {
            &**name == account && allocation.size != ResourceSize::default()
        });
        held.map(|((_, shard), allocation)| (*shard, allocation.size))
    }

    /// Returns the allocation of a shard.
    pub fn allocation(&self, key: &AllocationKey) -> ResourceSize {
        self.allocations
            .get(key)
            .map_or_else(ResourceSize::default, |allocation| allocation.size)
    }

    /// Returns the size that a shard's runs may reach: its allocation, or nothing while the sum of
    /// the allocations exceeds a lowered maximum.
    pub fn allowance(&self, key: &AllocationKey, maximum: &ResourceSize) -> ResourceSize {
        if fits_within(&self.total(&key.0), maximum, maximum) {
            self.allocation(key)
        } else {
            ResourceSize::default()
        }
    }

    /// Returns the size to which a shard's allocation shrinks before it may become `size`; `None` if
    /// it only grows.
    pub fn reduced(
        &self,
        key: &AllocationKey,
        size: &ResourceSize,
        maximum: &ResourceSize,
    ) -> Option<ResourceSize> {
        let allocation = self.allocation(key);
        let shrinks = !fits_within(&allocation, size, maximum);
        shrinks.then(|| component_min(&allocation, size))
    }

    /// Returns whether any of these shards holds a part of an account's maximum.
    pub fn is_held_by(&self, shards: &IndexMap<ShardNumber, OwnerEpoch>) -> bool {
        let mut held = self.allocations.iter();
        held.any(|((_, shard), allocation)| {
            shards.contains_key(shard) && allocation.size != ResourceSize::default()
        })
    }

    /// Returns when the next allocation has exceeded its need for long enough to shrink.
    pub fn next_shrink(&self) -> Option<Instant> {
        let since = self.excess_since.values().min()?;
        Some(*since + SHRINK_DELAY)
    }

    /// Returns the allocations of this node's shards that should change, with their new sizes.
    ///
    /// Together they stay within the maxima whether or not those that shrink are stored. An
    /// allocation of a shard without demand is reviewed too: it may be left from jobs that have
    /// ended, also under an earlier owner.
    pub fn propose(
        &mut self,
        accounts: &IndexMap<AccountId, AccountRule>,
        shards: &IndexMap<ShardNumber, OwnerEpoch>,
        demands: &IndexMap<AllocationKey, AccountDemand>,
        now: Instant,
    ) -> Vec<(AllocationKey, ResourceSize)> {
        let idle = self.idle_allocations(shards, demands);
        self.excess_since
            .retain(|key, _| demands.contains_key(key) || idle.contains(key));
        let idle = idle.iter().map(|key| (key, AccountDemand::default()));
        let demands = demands.iter().map(|(key, demand)| (key, *demand));
        let mut totals: HashMap<AccountId, ResourceSize> = HashMap::new();
        let mut proposals = Vec::new();
        for (key, demand) in demands.chain(idle) {
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
            let allocation = self.allocation(key);
            let others = total.minus(&allocation);
            let free = maximum.minus(&others);
            let wanted = demand.used.plus(&demand.waiting);
            let target = self.target(key, &wanted, &demand, &maximum, &free, now);
            if target != allocation {
                *total = others.plus(&component_max(&target, &allocation));
                proposals.push((key.clone(), target));
            }
        }
        proposals
    }

    /// Returns the allocations of these shards for whose accounts they have no demand.
    fn idle_allocations(
        &self,
        shards: &IndexMap<ShardNumber, OwnerEpoch>,
        demands: &IndexMap<AllocationKey, AccountDemand>,
    ) -> IndexSet<AllocationKey> {
        let held = self.allocations.iter().filter(|(key, allocation)| {
            shards.contains_key(&key.1) && allocation.size != ResourceSize::default()
        });
        let idle = held.filter(|(key, _)| !demands.contains_key(*key));
        idle.map(|(key, _)| key.clone()).collect()
    }

    fn target(
        &mut self,
        key: &AllocationKey,
        wanted: &ResourceSize,
        demand: &AccountDemand,
        maximum: &ResourceSize,
        free: &ResourceSize,
        now: Instant,
    ) -> ResourceSize {
        let allocation = self.allocation(key);
        let short = !fits_within(wanted, &allocation, maximum);
        let exceeds_free = !fits_within(&allocation, free, maximum);
        if short || exceeds_free {
            self.excess_since.remove(key);
            // The size of current runs can't be released; beyond it, no more than the others leave.
            let requested = with_margin(wanted, maximum, REQUEST_FACTOR, REQUEST_FRACTION);
            return component_max(&component_min(&requested, free), &demand.used);
        }
        let unallocated = free.minus(&allocation);
        let scarce = !fits_within(
            &with_margin(&ResourceSize::default(), maximum, 1.0, SCARCE_FRACTION),
            &unallocated,
            maximum,
        );
        let retained = if scarce {
            with_margin(wanted, maximum, 1.0, 0.0)
        } else {
            with_margin(wanted, maximum, RETAIN_FACTOR, RETAIN_FRACTION)
        };
        if fits_within(&allocation, &retained, maximum) {
            self.excess_since.remove(key);
            return allocation;
        }
        let since = *self.excess_since.entry(key.clone()).or_insert(now);
        if now < since + SHRINK_DELAY {
            return allocation;
        }
        self.excess_since.remove(key);
        let fraction = if scarce { 0.0 } else { REQUEST_FRACTION };
        component_min(
            &with_margin(wanted, maximum, REQUEST_FACTOR, fraction),
            &allocation,
        )
    }
}

/// Returns whether `size` is within `bound` in each dimension that has a maximum.
fn fits_within(size: &ResourceSize, bound: &ResourceSize, maximum: &ResourceSize) -> bool {
    let within = |size: u32, bound: u32, maximum: u32| maximum == 0 || size <= bound;
    within(size.millicores, bound.millicores, maximum.millicores)
        && within(size.memory_mib, bound.memory_mib, maximum.memory_mib)
        && within(size.accelerators, bound.accelerators, maximum.accelerators)
}

/// Returns `size` times `factor`, plus `fraction` of the maximum.
fn with_margin(
    size: &ResourceSize,
    maximum: &ResourceSize,
    factor: f64,
    fraction: f64,
) -> ResourceSize {
    let more = |size: u32, maximum: u32| {
        (f64::from(size) * factor + f64::from(maximum) * fraction).ceil() as u32
    };
    ResourceSize {
        millicores: more(size.millicores, maximum.millicores),
        memory_mib: more(size.memory_mib, maximum.memory_mib),
        accelerators: more(size.accelerators, maximum.accelerators),
    }
}

fn component_min(a: &ResourceSize, b: &ResourceSize) -> ResourceSize {
    ResourceSize {
        millicores: a.millicores.min(b.millicores),
        memory_mib: a.memory_mib.min(b.memory_mib),
        accelerators: a.accelerators.min(b.accelerators),
    }
}

fn component_max(a: &ResourceSize, b: &ResourceSize) -> ResourceSize {
    ResourceSize {
        millicores: a.millicores.max(b.millicores),
        memory_mib: a.memory_mib.max(b.memory_mib),
        accelerators: a.accelerators.max(b.accelerators),
    }
}
