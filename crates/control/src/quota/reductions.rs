//! Allocations that are about to shrink.

use indexmap::IndexMap;
use pw_base::prelude::*;
use pw_worker::prelude::*;

use super::{AllocationKey, QuotaAllocation, component_max, component_min};

/// Allocations that shrink: each is lowered in its shard first, and is stored once the shard has
/// confirmed that its runs stay within the smaller size.
#[derive(Debug, Clone, Default)]
pub struct AllocationReductions {
    reductions: IndexMap<AllocationKey, Reduction>,
}

#[derive(Debug, Clone, Copy)]
struct Reduction {
    allocation: QuotaAllocation,
    stage: ReductionStage,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReductionStage {
    /// The shard has not been asked yet.
    Planned,
    /// The shard's confirmation is awaited.
    Requested,
    /// The shard keeps to the smaller size, which may be stored.
    Confirmed,
}

impl AllocationReductions {
    /// Plans a reduction.
    pub fn plan(&mut self, key: AllocationKey, allocation: QuotaAllocation) {
        let stage = ReductionStage::Planned;
        self.reductions.insert(key, Reduction { allocation, stage });
    }

    /// Returns whether the allocation is about to shrink.
    pub fn contains(&self, key: &AllocationKey) -> bool {
        self.reductions.contains_key(key)
    }

    /// Limits the size that a shard's runs may reach to the size to which its allocation shrinks.
    pub fn limit(&self, key: &AllocationKey, allowance: ResourceSize) -> ResourceSize {
        match self.reductions.get(key) {
            Some(reduction) => component_min(&allowance, &reduction.allocation.size),
            None => allowance,
        }
    }

    /// Returns the planned reductions, which now await their confirmations.
    pub fn request(&mut self) -> Vec<(AllocationKey, QuotaAllocation)> {
        let planned = self
            .reductions
            .iter_mut()
            .filter(|(_, reduction)| reduction.stage == ReductionStage::Planned);
        let requested = planned.map(|(key, reduction)| {
            reduction.stage = ReductionStage::Requested;
            (key.clone(), reduction.allocation)
        });
        requested.collect()
    }

    /// Records that a shard keeps to the smaller size; `used` is the size of its runs, which may
    /// have grown up to its `current` allocation before.
    pub fn confirm(
        &mut self,
        key: &AllocationKey,
        epoch: OwnerEpoch,
        used: &ResourceSize,
        current: &ResourceSize,
    ) {
        let Some(reduction) = self.reductions.get_mut(key) else {
            return;
        };
        if reduction.allocation.epoch != epoch || reduction.stage != ReductionStage::Requested {
            return;
        }
        let size = component_max(&reduction.allocation.size, &component_min(used, current));
        reduction.allocation.size = size;
        reduction.stage = ReductionStage::Confirmed;
        if size == *current {
            self.reductions.swap_remove(key);
        }
    }

    /// Drops a reduction that its shard did not confirm.
    pub fn cancel(&mut self, key: &AllocationKey) {
        let awaited = self
            .reductions
            .get(key)
            .is_some_and(|reduction| reduction.stage == ReductionStage::Requested);
        if awaited {
            self.reductions.swap_remove(key);
        }
    }

    /// Returns the confirmed reductions, with the sizes to store.
    pub fn confirmed(&self) -> impl Iterator<Item = (&AllocationKey, &QuotaAllocation)> {
        let confirmed = self
            .reductions
            .iter()
            .filter(|(_, reduction)| reduction.stage == ReductionStage::Confirmed);
        confirmed.map(|(key, reduction)| (key, &reduction.allocation))
    }

    /// Ends a confirmed reduction that has been stored.
    pub fn complete(&mut self, key: &AllocationKey, stored: &QuotaAllocation) {
        let completed = self.reductions.get(key).is_some_and(|reduction| {
            reduction.stage == ReductionStage::Confirmed && reduction.allocation == *stored
        });
        if completed {
            self.reductions.swap_remove(key);
        }
    }

    /// Drops the reductions of shards that the node no longer owns in the same epoch.
    pub fn retain_terms(&mut self, terms: &IndexMap<ShardNumber, OwnerEpoch>) {
        self.reductions
            .retain(|key, reduction| terms.get(&key.1) == Some(&reduction.allocation.epoch));
    }
}
