//! Interfaces of a node to other systems: store, workers, machines, configuration, front end.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::future::BoxedLocal;
use indexmap::IndexSet;
use pw_base::prelude::*;
use pw_control::prelude::*;
use pw_link::prelude::*;
use strum::{AsRefStr, Display, EnumIter};
use thiserror::Error;

use crate::service::JobService;

/// Topics of a node in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, AsRefStr, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum StoreTopic {
    /// Submissions and cancellations by job; the latest record of each key is kept.
    Submissions,
    /// States of jobs by job; the latest record of each key is kept.
    Images,
    /// Claims and releases of shards; records expire.
    Claims,
    /// Allocations of accounts' maxima by account and shard; the latest record of each key is kept.
    Quota,
    /// The assignment of shards to nodes; the latest record is kept.
    Assignment,
    /// Pools of queues by queue; the latest record of each key is kept.
    Intakes,
    /// Progress of maintenance waves by number; the latest record of each key is kept.
    Waves,
}

/// Partition of a topic.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct StorePartition {
    /// The topic.
    pub topic: StoreTopic,
    /// Number of the partition.
    pub shard: ShardNumber,
}

/// Record in a partition.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StoreEntry {
    /// Key; empty in a topic without keys.
    pub key: String,
    /// Value; an empty one deletes the key.
    pub value: Vec<u8>,
}

impl StoreEntry {
    /// Size of the lengths of a record and of its key.
    const LENGTH_BYTES: usize = 5;

    /// Returns the size of the record in an append.
    pub fn size(&self) -> usize {
        Self::LENGTH_BYTES + self.key.len() + self.value.len()
    }
}

/// Splits records into appends of at most `max_bytes`, in the same order. A larger record gets an append
/// of its own.
pub fn split_appends(entries: Vec<StoreEntry>, max_bytes: usize) -> Vec<Vec<StoreEntry>> {
    let mut appends: Vec<Vec<StoreEntry>> = Vec::new();
    let mut room = 0;
    for entry in entries {
        let size = entry.size();
        match appends.last_mut().filter(|_| size <= room) {
            Some(append) => append.push(entry),
            None => {
                room = max_bytes.max(size);
                appends.push(vec![entry]);
            }
        }
        room -= size;
    }
    appends
}

/// Fenced writer of a partition.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreWriter {
    /// Epoch; the partition rejects epochs lower than the highest it has seen.
    pub epoch: OwnerEpoch,
    /// Sequence number of the append within the epoch.
    pub sequence: u64,
}

/// Result of a read.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StoreRead {
    /// Records in log order.
    pub entries: Vec<StoreEntry>,
    /// Offset after the last of these records.
    pub next: LogOffset,
}

/// Page of the latest records of all keys.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StorePage {
    /// Records in key order.
    pub entries: Vec<StoreEntry>,
    /// Whether more pages follow.
    pub more: bool,
    /// End offset of the partition.
    pub end: LogOffset,
}

/// Request to join the group of nodes or to renew the membership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupJoin {
    /// Name of the node in the group.
    pub member: NodeName,
    /// Time without a join after which the store removes the node from the group.
    pub ttl: Duration,
    /// Last known generation of the group; 0 if unknown.
    pub generation: u64,
}

/// Why a call of the store failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum StoreFault {
    /// No answer came; the call may have been executed, or may still be.
    #[error("no answer")]
    Unanswered,
    /// The store rejected the call without executing it, because it is busy or refuses the node.
    /// Holds the status of the answer, or 0 if the call was not sent.
    #[error("turned away with status {0}")]
    Rejected(u16),
    /// The partition has seen a writer with a higher epoch.
    #[error("fenced by a later writer")]
    Fenced,
    /// The sequence number does not follow the last append of the epoch.
    #[error("sequence {expected} is expected")]
    WrongSequence {
        /// Expected sequence number.
        expected: u64,
    },
    /// The partition does not end at the offset that the append expects.
    #[error("the partition ends at {end}")]
    Conflict {
        /// End offset of the partition.
        end: LogOffset,
    },
    /// The requested records have expired.
    #[error("the oldest record that is left is {first}")]
    Expired {
        /// Offset of the oldest remaining record.
        first: LogOffset,
    },
    /// The node is no longer a member of the group.
    #[error("not a member of the group")]
    NotMember,
    /// The answer could not be parsed.
    #[error("malformed answer: {0}")]
    Malformed(String),
}

/// The platform's store, with the calls that nodes need.
pub trait JobStore: Send {
    /// Appends records atomically and waits up to `timeout` for the answer; `writer` fences the
    /// partition. Without records, it raises the partition's epoch and appends nothing.
    fn append(
        &self,
        partition: StorePartition,
        entries: Vec<StoreEntry>,
        writer: Option<StoreWriter>,
        timeout: Duration,
    ) -> BoxedLocal<Result<LogOffset, StoreFault>>;

    /// Appends records if the partition ends at `end`.
    fn append_at(
        &self,
        partition: StorePartition,
        entries: Vec<StoreEntry>,
        end: LogOffset,
    ) -> BoxedLocal<Result<LogOffset, StoreFault>>;

    /// Reads records starting at an offset; waits up to `wait` for the first one.
    fn read(
        &self,
        partition: StorePartition,
        from: LogOffset,
        wait: Duration,
    ) -> BoxedLocal<Result<StoreRead, StoreFault>>;

    /// Reads a page of the latest record of each key, starting after a key.
    fn newest(
        &self,
        partition: StorePartition,
        after: Option<String>,
    ) -> BoxedLocal<Result<StorePage, StoreFault>>;

    /// Joins the group of nodes or renews the membership; returns the group's generation, which
    /// rises with each change of the members.
    fn join(&self, join: GroupJoin) -> BoxedLocal<Result<u64, StoreFault>>;

    /// Leaves the group of nodes.
    fn leave(&self, member: NodeName) -> BoxedLocal<Result<(), StoreFault>>;

    /// Reads the members of the group.
    fn members(&self) -> BoxedLocal<Result<IndexSet<NodeName>, StoreFault>>;
}

/// Source of the configuration and the worker list.
pub trait FleetFeed: Send {
    /// Waits up to `wait` for a configuration other than the last one returned; `None` if that one
    /// was still in effect at the time of the call.
    fn config(&self, wait: Duration) -> BoxedLocal<Result<Option<Arc<FleetConfig>>, StoreFault>>;

    /// Waits up to `wait` for a change of the worker list; `None` if there is none.
    fn workers(&self, wait: Duration) -> BoxedLocal<Result<Option<Vec<WorkerEntry>>, StoreFault>>;
}

/// Sends the orders of shard owners to workers.
pub trait WorkerGateway: Send {
    /// Polls a worker for its runs and renews its lease.
    fn poll(&self, order: PollOrder) -> BoxedLocal<Result<PollReport, CallFault>>;
    /// Starts a run.
    fn start(&self, order: StartOrder) -> BoxedLocal<StartOutcome>;
    /// Stops a run.
    fn stop(&self, order: StopOrder) -> BoxedLocal<Result<(), CallFault>>;
    /// Sets how fast a run works.
    fn pace(&self, order: PaceOrder) -> BoxedLocal<Result<(), CallFault>>;
    /// Asks the advice service which workers may run a step.
    fn advise(&self, order: AdviceOrder) -> BoxedLocal<Result<AdviceReport, CallFault>>;
}

/// Client of the platform's machine service.
pub trait MachineGateway: Send {
    /// Lists all machines.
    fn list(&self) -> BoxedLocal<Result<MachineList, StoreFault>>;
    /// Sends an order on behalf of `holder`; orders are idempotent.
    fn order(&self, holder: String, order: MachineOrder) -> BoxedLocal<MachineOutcome>;
    /// Reports to operators whether a wave is completed.
    fn report_wave(&self, wave: WaveNumber, completed: bool) -> BoxedLocal<Result<(), StoreFault>>;
}

/// Protocol of the callers.
pub trait FrontEnd: Send {
    /// Returns the handler of caller requests.
    fn callers(&self, service: JobService) -> Rc<dyn HttpHandler>;
    /// Returns the handler of the load balancer's readiness checks.
    fn readiness(&self, service: JobService) -> Rc<dyn HttpHandler>;
}
