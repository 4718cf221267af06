//! Fleet configuration, as published by operators.

use std::sync::Arc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use pw_account::prelude::*;
use pw_base::prelude::*;
use pw_worker::prelude::*;

/// A complete configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct FleetConfig {
    /// Version; a higher one replaces a lower one.
    pub version: u64,
    /// Queues by their ids, see [`queue_id`].
    pub queues: IndexMap<QueueId, QueueRule>,
    /// Pools by name.
    pub pools: IndexMap<PoolId, PoolRule>,
    /// Client accounts by name.
    pub accounts: IndexMap<AccountId, AccountRule>,
    /// Client accounts by the digests of their keys.
    pub keys: IndexMap<KeyDigest, AccountId>,
    /// Availability zones in which no run may start.
    pub evacuated: IndexSet<ZoneId>,
    /// Maintenance waves by number.
    pub waves: IndexMap<WaveNumber, WaveRule>,
}

/// A maintenance wave: each of its machines has to go through maintenance in time.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WaveRule {
    /// Machines of the wave.
    pub machines: IndexSet<MachineId>,
    /// Time limit for the whole wave.
    pub duration: Duration,
    /// Maximum number of machines that may be down for it at the same time.
    pub max_down: usize,
}

/// Configuration of a queue.
#[derive(Debug, Clone, PartialEq)]
pub struct QueueRule {
    /// Host name that callers address.
    pub host: Arc<str>,
    /// Prefix of the request paths that belong to the queue.
    pub path_prefix: Arc<str>,
    /// Pool whose workers run its tasks.
    pub pool: PoolId,
    /// Priority of its jobs; 0 is the highest.
    pub priority: u32,
    /// Failed runs after which a task fails.
    pub attempts: u32,
    /// Completion objective of a job as a multiple of its critical path.
    pub stretch: f64,
    /// Constant part of the objective, added to the stretched critical path.
    pub target_latency: Duration,
    /// Whether its calls need no key.
    pub public: bool,
    /// Advice service that names the workers allowed to run its steps; `None` when all are.
    pub advice: Option<AdviceRule>,
}

/// Response times of the service that names the workers allowed to run a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdviceRule {
    /// Base time of each answer.
    pub base_time: Duration,
    /// Additional time for each worker that the request names.
    pub time_per_worker: Duration,
    /// How long a ticket is valid.
    pub validity: Duration,
}

/// Configuration of a pool.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PoolRule {
    /// Whether its workers refuse runs that do not fit.
    pub admission_check: bool,
    /// Whether its machines are off until another pool needs them.
    pub spare: bool,
}

/// Configuration of a client account.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AccountRule {
    /// Weight of its share when the fleet is full.
    pub weight: u32,
    /// Maximum size of its runs across all workers; 0 means no maximum in that dimension.
    pub maximum: ResourceSize,
}

impl FleetConfig {
    /// Returns the queue with the longest prefix of `path` at `host`, and the rest of the path.
    pub fn find_queue<'a, 'p>(
        &'a self,
        host: &str,
        path: &'p str,
    ) -> Option<(&'a QueueId, &'a QueueRule, &'p str)> {
        let at_host = self.queues.iter().filter(|(_, rule)| &*rule.host == host);
        let matching = at_host.filter(|(_, rule)| path.starts_with(&*rule.path_prefix));
        let (queue, rule) = matching.max_by_key(|(_, rule)| rule.path_prefix.len())?;
        Some((queue, rule, &path[rule.path_prefix.len()..]))
    }

    /// Returns the shards of the pools that run tasks, out of `shards` shards.
    pub fn busy_shards(&self, shards: u32) -> IndexSet<ShardNumber> {
        let pools = self.pools.iter().filter(|(_, rule)| !rule.spare);
        pools.map(|(pool, _)| find_shard(pool, shards)).collect()
    }

    /// Returns the client account that a key belongs to.
    pub fn account_of(&self, key: &str) -> Option<&AccountId> {
        self.keys.get(&digest_key(key))
    }
}

/// Returns the id of the queue that callers address by `host` and `path_prefix`.
///
/// It stays the same over all versions of the configuration: an operator may give the queue another
/// name, or its name to another queue.
pub fn queue_id(host: &str, path_prefix: &str) -> QueueId {
    format!("{host}{path_prefix}").into()
}

/// Returns the shard of a pool, out of `shards` shards.
///
/// The result depends on the name alone (FNV-1a), so all builds agree.
pub fn find_shard(pool: &str, shards: u32) -> ShardNumber {
    let hash = hash_bytes(pool.bytes());
    let folded = hash ^ (hash >> 32);
    (folded % u64::from(shards.max(1))) as ShardNumber
}

/// Returns the FNV-1a hash of `bytes`, which is stable across versions of the program.
pub(crate) fn hash_bytes(bytes: impl Iterator<Item = u8>) -> u64 {
    let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    bytes.fold(0xcbf2_9ce4_8422_2325, mix)
}

/// Returns a hash whose bits all depend on all bytes; the upper bits of [`hash_bytes`] hardly
/// depend on the last byte.
pub(crate) fn mix_hash(bytes: impl Iterator<Item = u8>) -> u64 {
    let hash = hash_bytes(bytes);
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
