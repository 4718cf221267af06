//! Type aliases for the identifiers of the fleet.

use std::sync::Arc;

/// Name of a fleet; entries and peers of another fleet are refused.
pub type FleetId = Arc<str>;
/// Name of an availability zone.
pub type ZoneId = Arc<str>;
/// Name of a rack, unique within its availability zone.
pub type RackId = Arc<str>;
/// Name of a pool.
pub type PoolId = Arc<str>;
/// Name of a client account: a customer whose tasks and jobs are counted together.
pub type AccountId = Arc<str>;
/// Name of an account's key; the secret itself is never stored.
pub type KeyId = Arc<str>;
/// Name of a queue.
pub type QueueId = Arc<str>;
/// Name of a worker instance.
pub type WorkerId = Arc<str>;
/// Name of an entry instance; a replacement takes a new name.
pub type EntryId = Arc<str>;
/// Random identity of one task, unique across the fleet.
pub type TaskId = u128;
/// Random identity of one log record; an append that is repeated keeps it.
pub type RecordId = u128;
/// Position of a record in the platform's log, counted from 0.
pub type LogOffset = u64;
/// Number of accepted configurations before this one; the empty fleet is revision 0.
pub type FleetRevision = u64;
/// Random identity of one boot of a worker instance; a reboot or a replacement takes a new one.
pub type BootId = u128;
/// Number of a planner's term, counted from 1; 0 before the first claim.
pub type PlannerTerm = u64;
/// Number of a maintenance wave, counted from 1; 0 before the first one.
pub type WaveNumber = u64;
/// Name of an entry instance as a holder of leases; one that was fenced takes a new name.
pub type HolderId = Arc<str>;
/// Random identity of a lease that a worker granted.
pub type LeaseId = u128;
/// Number of renewals of a lease so far.
pub type RenewalCount = u64;
/// Random identity of one process, chosen when it starts.
pub type ProcessId = u128;
/// Number of a process's membership, counted from 1; a retired process rejoins with the next one.
pub type Incarnation = u32;
/// Number of a member's record within its incarnation, counted from 1.
pub type RecordSequence = u64;
/// Identity of a job, chosen by its caller; it is unique within the fleet.
pub type JobId = Arc<str>;
/// Name of a node in the group of all nodes: the address at which the others reach it, and its weight.
pub type NodeName = Arc<str>;
/// Number of a shard of pools, counted from 0.
pub type ShardNumber = u32;
/// Epoch of a shard's owner; the later owner has the higher one.
pub type OwnerEpoch = u64;
/// Number of a task's start, counted from 1; each further start has a higher one.
pub type RunNumber = u32;
/// Number of an occurrence of a repeated job, counted from 0.
pub type OccurrenceNumber = u32;
/// Time of day at which a worker's life began, in milliseconds since 1970.
pub type LifeStart = u64;
/// Number of an ended run in a worker's list, counted from 1 in each life.
pub type EndNumber = u64;
/// Reading of a worker's own steady clock in milliseconds.
pub type WorkerMillis = u64;
/// Name of a machine; the workers on it come and go.
pub type MachineId = Arc<str>;
