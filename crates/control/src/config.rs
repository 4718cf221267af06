//! The configuration that operators put in force.

use std::sync::Arc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use pw_account::prelude::*;
use pw_base::prelude::*;
use pw_worker::prelude::*;

/// A configuration as a whole.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct FleetConfig {
    /// Version; a later one replaces an earlier one.
    pub version: u64,
    /// Queues by name.
    pub queues: IndexMap<QueueId, QueueRule>,
    /// Pools by name.
    pub pools: IndexMap<PoolId, PoolRule>,
    /// Client accounts by name.
    pub accounts: IndexMap<AccountId, AccountRule>,
    /// Whose key has a digest.
    pub keys: IndexMap<KeyDigest, AccountId>,
    /// Availability zones in which nothing may start.
    pub evacuated: IndexSet<ZoneId>,
    /// Maintenance waves by number.
    pub waves: IndexMap<WaveNumber, WaveRule>,
}

/// A maintenance wave: each of its machines is to have its upkeep in time.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WaveRule {
    /// Machines of the wave.
    pub machines: IndexSet<MachineId>,
    /// Time for the whole wave.
    pub duration: Duration,
    /// Most machines that may be down for it at the same time.
    pub max_down: usize,
}

/// What operators declare about a queue.
#[derive(Debug, Clone, PartialEq)]
pub struct QueueRule {
    /// Host that callers name.
    pub host: Arc<str>,
    /// Begin of the paths that belong to the queue.
    pub path_prefix: Arc<str>,
    /// Pool whose workers run its tasks.
    pub pool: PoolId,
    /// Rank of its jobs; 0 goes first.
    pub priority: u32,
    /// Failed runs after which a task is given up.
    pub attempts: u32,
    /// Objective of a job as a multiple of its longest chain of work.
    pub stretch: f64,
    /// Time on top of the stretched chain.
    pub target_latency: Duration,
    /// Its calls need no key.
    pub public: bool,
    /// Only some workers may run its steps, and a service says which; `None` where all may.
    pub advice: Option<AdviceRule>,
}

/// How a service that knows which workers may run a step answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdviceRule {
    /// Time of each answer.
    pub base_time: Duration,
    /// Time of an answer for each worker that the question names.
    pub time_per_worker: Duration,
    /// How long a ticket is valid.
    pub validity: Duration,
}

/// What operators declare about a pool.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PoolRule {
    /// Its workers refuse what does not fit.
    pub admission_check: bool,
    /// Its machines are off until another pool needs them.
    pub spare: bool,
}

/// What operators declare about a client account.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AccountRule {
    /// Share when all is full.
    pub weight: u32,
    /// What it may have running across all workers; a zero sets no bound.
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

    /// Returns the account that a key belongs to.
    pub fn account_of(&self, key: &str) -> Option<&AccountId> {
        self.keys.get(&digest_key(key))
    }
}

/// Returns the shard of a pool among `shards`.
///
/// The result depends on the name alone (FNV-1a), so that all builds agree.
pub fn find_shard(pool: &str, shards: u32) -> ShardNumber {
    let hash = hash_bytes(pool.bytes());
    let folded = hash ^ (hash >> 32);
    (folded % u64::from(shards.max(1))) as ShardNumber
}

/// Returns the FNV-1a hash of some bytes, which is the same in all versions of the program.
pub(crate) fn hash_bytes(bytes: impl Iterator<Item = u8>) -> u64 {
    let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    bytes.fold(0xcbf2_9ce4_8422_2325, mix)
}

/// Returns a hash all of whose bits depend on all bytes; the upper bits of [`hash_bytes`] hardly
/// depend on the last byte.
pub(crate) fn mix_hash(bytes: impl Iterator<Item = u8>) -> u64 {
    let hash = hash_bytes(bytes);
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
