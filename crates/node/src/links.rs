//! What a node needs of the world outside: a store, workers, a configuration, a front end.

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

/// Topics that a node keeps in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, AsRefStr, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum StoreTopic {
    /// Submissions and cancellations by job; the newest of each key is kept.
    Submissions,
    /// States of jobs by job; the newest of each key is kept.
    Images,
    /// Claims of shards; records expire.
    Claims,
    /// Parts of accounts' maxima by account and shard; the newest of each key is kept.
    Quota,
    /// Progress of maintenance waves by number; the newest of each key is kept.
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

/// Record of a partition.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StoreEntry {
    /// Key; empty in a topic without keys.
    pub key: String,
    /// Value; an empty one removes the key.
    pub value: Vec<u8>,
}

/// Fenced writer of a partition.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreWriter {
    /// Epoch; the partition refuses writers of lower epochs than it has seen.
    pub epoch: OwnerEpoch,
    /// Number of the append within the epoch.
    pub sequence: u64,
}

/// Result of a read.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StoreRead {
    /// Records in order.
    pub entries: Vec<StoreEntry>,
    /// Offset after the last of these records.
    pub next: LogOffset,
}

/// Page of the newest records of all keys.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StorePage {
    /// Records in the order of their keys.
    pub entries: Vec<StoreEntry>,
    /// There are more.
    pub more: bool,
    /// End of the partition.
    pub end: LogOffset,
}

/// Joins a group of nodes, or stays in it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupJoin {
    /// Name of the node in the group.
    pub member: NodeName,
    /// Silence after which the store takes the node for gone.
    pub ttl: Duration,
    /// Generation that the node heard of last; 0 at first.
    pub generation: u64,
}

/// Why the store did not do what it was asked.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum StoreFault {
    /// No answer came; the call may have been carried out, or may be later.
    #[error("no answer")]
    Unanswered,
    /// The store did nothing; it is busy or turns the node away.
    #[error("turned away with status {0}")]
    Rejected(u16),
    /// A writer with a higher epoch has been there.
    #[error("fenced by a later writer")]
    Fenced,
    /// The append does not follow the last one of its epoch.
    #[error("sequence {expected} is expected")]
    WrongSequence {
        /// The sequence that follows.
        expected: u64,
    },
    /// The partition does not end where the append expects it.
    #[error("the partition ends at {end}")]
    Conflict {
        /// End of the partition.
        end: LogOffset,
    },
    /// The records are gone.
    #[error("the oldest record that is left is {first}")]
    Expired {
        /// Offset of the oldest record that is left.
        first: LogOffset,
    },
    /// The node does not belong to the group any more.
    #[error("not a member of the group")]
    NotMember,
    /// The answer makes no sense.
    #[error("malformed answer: {0}")]
    Malformed(String),
}

/// The platform's store, as far as nodes write to it.
pub trait JobStore: Send {
    /// Appends records, all or none, and waits up to `timeout` for the answer; `writer` fences the
    /// partition. Without records the epoch of the writer is raised and nothing is appended.
    fn append(
        &self,
        part: StorePartition,
        entries: Vec<StoreEntry>,
        writer: Option<StoreWriter>,
        timeout: Duration,
    ) -> BoxedLocal<Result<LogOffset, StoreFault>>;

    /// Appends records on the condition that the partition ends at `end`.
    fn append_at(
        &self,
        part: StorePartition,
        entries: Vec<StoreEntry>,
        end: LogOffset,
    ) -> BoxedLocal<Result<LogOffset, StoreFault>>;

    /// Reads records from an offset on; waits up to `wait` for the first one.
    fn read(
        &self,
        part: StorePartition,
        from: LogOffset,
        wait: Duration,
    ) -> BoxedLocal<Result<StoreRead, StoreFault>>;

    /// Reads a page of the newest records of each key, beginning after a key.
    fn newest(
        &self,
        part: StorePartition,
        after: Option<String>,
    ) -> BoxedLocal<Result<StorePage, StoreFault>>;

    /// Joins the group of nodes, or stays in it; returns the group's generation, which rises with
    /// each change.
    fn join(&self, join: GroupJoin) -> BoxedLocal<Result<u64, StoreFault>>;

    /// Leaves the group of nodes.
    fn leave(&self, member: NodeName) -> BoxedLocal<Result<(), StoreFault>>;

    /// Reads the members of the group.
    fn members(&self) -> BoxedLocal<Result<IndexSet<NodeName>, StoreFault>>;
}

/// What operators and workers say through the platform.
pub trait FleetFeed: Send {
    /// Waits up to `wait` for a configuration other than the one given last; `None` when that one
    /// was still in force at the time of the call.
    fn config(&self, wait: Duration) -> BoxedLocal<Result<Option<Arc<FleetConfig>>, StoreFault>>;

    /// Waits up to `wait` for a change of the workers; `None` when there is none.
    fn workers(&self, wait: Duration) -> BoxedLocal<Result<Option<Vec<WorkerEntry>>, StoreFault>>;
}

/// Carries the orders of shard owners to workers.
pub trait WorkerGateway: Send {
    /// Asks a worker what it runs, and renews its lease.
    fn poll(&self, order: PollOrder) -> BoxedLocal<Result<PollReport, CallFault>>;
    /// Starts a run.
    fn start(&self, order: StartOrder) -> BoxedLocal<StartOutcome>;
    /// Stops a run.
    fn stop(&self, order: StopOrder) -> BoxedLocal<Result<(), CallFault>>;
    /// Sets how fast a run works.
    fn pace(&self, order: PaceOrder) -> BoxedLocal<Result<(), CallFault>>;
    /// Asks which workers may run a step.
    fn advise(&self, order: AdviceOrder) -> BoxedLocal<Result<AdviceReport, CallFault>>;
}

/// The platform's control of machines.
pub trait MachineGateway: Send {
    /// Reads all machines.
    fn list(&self) -> BoxedLocal<Result<Vec<MachineView>, StoreFault>>;
    /// Gives an order in the name of `holder`; it may be repeated.
    fn order(&self, holder: String, order: MachineOrder) -> BoxedLocal<MachineOutcome>;
    /// Tells operators whether a wave is completed.
    fn report_wave(&self, wave: WaveNumber, completed: bool) -> BoxedLocal<Result<(), StoreFault>>;
}

/// Speaks to callers in their protocol.
pub trait FrontEnd: Send {
    /// Returns the handler of callers' requests.
    fn callers(&self, service: JobService) -> Rc<dyn HttpHandler>;
    /// Returns the handler of the balancer's health checks.
    fn readiness(&self, service: JobService) -> Rc<dyn HttpHandler>;
}
