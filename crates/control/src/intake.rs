//! The shards that may have the jobs of a queue.
//!
//! A queue has an intake pool, the first one that it led to. All its submissions are stored in the
//! shard of that pool, by whatever configuration a node accepts them, so the log of one partition
//! tells which submission of a job is the first. The intake shard forwards jobs that run in a pool
//! of another shard.

use indexmap::{IndexMap, IndexSet};
use pw_base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::config::{FleetConfig, find_shard};

/// The pools that a queue has led to, as stored; its intake pool is the first one.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct IntakeRecord {
    /// Pools in the order in which the queue has led to them.
    pub pools: IndexSet<PoolId>,
}

/// The pools of all queues, as stored.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct IntakeTable {
    /// `None` for a record that can't be read: it is not known to be missing.
    records: IndexMap<QueueId, Option<IntakeRecord>>,
}

/// The shards that may have jobs of a queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueueShards {
    /// Shard in which its submissions are stored.
    pub intake: ShardNumber,
    /// Shards of its other pools, to which jobs are forwarded.
    pub others: IndexSet<ShardNumber>,
}

impl QueueShards {
    /// Returns all shards, the intake shard first.
    pub fn all(&self) -> impl Iterator<Item = ShardNumber> {
        std::iter::once(self.intake).chain(self.others.iter().copied())
    }
}

impl IntakeTable {
    /// Replaces the record of a queue by the stored one; `None` if that can't be read.
    pub fn apply(&mut self, queue: QueueId, record: Option<IntakeRecord>) {
        self.records.insert(queue, record);
    }

    /// Returns the records to store before jobs are accepted by `config`: those of queues that are
    /// new or lead to a pool for the first time.
    pub fn missing(&self, config: &FleetConfig) -> Vec<(QueueId, IntakeRecord)> {
        let queues = config.queues.iter().filter_map(|(queue, rule)| {
            let stored = self.records.get(queue).cloned();
            let mut record = stored.unwrap_or_else(|| Some(IntakeRecord::default()))?;
            let is_new = record.pools.insert(rule.pool.clone());
            is_new.then(|| (queue.clone(), record))
        });
        queues.collect()
    }

    /// Returns the shards, out of `shards`, that may have jobs of a queue that leads to `pool`;
    /// `None` until that pool is stored.
    pub fn shards_of(&self, queue: &str, pool: &str, shards: u32) -> Option<QueueShards> {
        let record = self.records.get(queue)?.as_ref()?;
        if !record.pools.contains(pool) {
            return None;
        }
        let mut all = record.pools.iter().map(|pool| find_shard(pool, shards));
        let intake = all.next()?;
        let others = all.filter(|shard| *shard != intake).collect();
        Some(QueueShards { intake, others })
    }
}
