//! Type aliases for identifiers and numbers.

use std::sync::Arc;

/// Name of a fleet; log records and peers of another fleet are refused.
pub type FleetId = Arc<str>;
/// Name of an availability zone.
pub type ZoneId = Arc<str>;
/// Name of a rack, unique within its availability zone.
pub type RackId = Arc<str>;
/// Name of a pool.
pub type PoolId = Arc<str>;
/// Name of a client account: a customer whose tasks and jobs are counted together.
pub type AccountId = Arc<str>;
/// Name of a client account's key; the secret is never stored.
pub type KeyId = Arc<str>;
/// Name of a queue.
pub type QueueId = Arc<str>;
/// Name of a worker instance.
pub type WorkerId = Arc<str>;
/// Name of an entry instance; a replacement has a new name.
pub type EntryId = Arc<str>;
/// Random id of a task, unique in the fleet.
pub type TaskId = u128;
/// Random id of a log record; a repeated append keeps it.
pub type RecordId = u128;
/// Offset of a record in the platform's log, starting at 0.
pub type LogOffset = u64;
/// Revision of the configuration; the empty fleet has revision 0, and each accepted configuration
/// adds 1.
pub type FleetRevision = u64;
/// Random id of a boot of a worker instance; a reboot or a replacement has a new one.
pub type BootId = u128;
/// Number of a planner's term, starting at 1; 0 before the first claim.
pub type PlannerTerm = u64;
/// Number of a maintenance wave, starting at 1; 0 before the first one.
pub type WaveNumber = u64;
/// Name under which an entry instance holds leases; a fenced holder continues under a new name.
pub type HolderId = Arc<str>;
/// Random id of a lease granted by a worker.
pub type LeaseId = u128;
/// Number of times that a lease has been renewed.
pub type RenewalCount = u64;
/// Random id of a process, generated when it starts.
pub type ProcessId = u128;
/// Incarnation of a member process, starting at 1; a retired process rejoins with the next one.
pub type Incarnation = u32;
/// Sequence number of a member's record within its incarnation, starting at 1.
pub type RecordSequence = u64;
/// Id of a job, chosen by its caller; unique in the fleet.
pub type JobId = Arc<str>;
/// Name of a node in the group of nodes, made of the address for other nodes and its weight.
pub type NodeName = Arc<str>;
/// Number of a shard of pools, starting at 0.
pub type ShardNumber = u32;
/// Epoch of a shard's owner; a later owner has a higher epoch.
pub type OwnerEpoch = u64;

/// Number by which a worker orders the owners of its shard, and the lives that an owner knew of it.
pub type OrderFence = u64;
/// Number of a run of a task, starting at 1; each later run has a higher number.
pub type RunNumber = u32;
/// Number of an occurrence of a recurring job, starting at 0.
pub type OccurrenceNumber = u32;
/// Start time of a worker's life in milliseconds since the Unix epoch; a life is one process from
/// start to exit.
pub type LifeStart = u64;
/// Sequence number of an ended run in a worker's list, starting at 1 in each life.
pub type EndNumber = u64;
/// Time in milliseconds on a worker's monotonic clock.
pub type WorkerMillis = u64;
/// Name of a machine; workers on it may be replaced.
pub type MachineId = Arc<str>;
