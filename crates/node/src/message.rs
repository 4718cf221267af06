//! Messages between the duties of a node.

use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use pw_base::prelude::*;
use pw_control::prelude::*;
use pw_ring::prelude::*;
use pw_worker::prelude::*;

use crate::request::{NodeRequest, NodeResponse};

/// The term of one owner of a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ShardTerm {
    /// The shard.
    pub shard: ShardNumber,
    /// Epoch of the owner.
    pub epoch: OwnerEpoch,
}

/// A size for an account's runs in a shard.
pub type AccountAllowance = (ShardTerm, AccountId, ResourceSize);

/// Message to the control duty.
#[derive(Debug)]
pub enum ControlMessage {
    /// A new configuration took effect.
    Config(Arc<FleetConfig>),
    /// The complete list of workers that the platform reports.
    Workers(Vec<WorkerEntry>),
    /// All changes of an input that were in force at this time have been sent before.
    InputRead(ShardInput, Instant),
    /// The node took over a shard.
    Opened(ShardTerm, Box<ShardImage>),
    /// Release a shard; the reply is the longest remaining time of each worker's lease.
    Release(ShardTerm, RingSender<IndexMap<WorkerId, Duration>>),
    /// An event for the controller of a shard.
    Shard(ShardTerm, Box<ShardEvent>),
    /// Largest total size of each account's runs in a shard.
    Allocations(Vec<AccountAllowance>),
    /// Allocations that are about to shrink in the store; the reply is the size of the account's
    /// runs in each shard that keeps to its smaller allocation.
    Reductions(Vec<AccountAllowance>, RingSender<Vec<AccountAllowance>>),
    /// A request to a shard's owner; the response goes to the sender.
    Request(NodeRequest, RingSender<NodeResponse>),
}

/// Message to the journal duty.
#[derive(Debug)]
pub enum JournalMessage {
    /// Store these records.
    Store {
        /// Term of the shard.
        term: ShardTerm,
        /// Sequence number of the request.
        sequence: u64,
        /// Records to store.
        records: Vec<StoreRecord>,
    },
    /// The shards with pools that run tasks.
    BusyShards(IndexSet<ShardNumber>),
    /// Check the ownership, because a worker or the platform reported a later owner.
    CheckOwnership(ShardTerm),
    /// The node stops: leave the group and hand over all shards.
    Leave,
}

/// Message to the orders duty.
#[derive(Debug)]
pub enum OrderMessage {
    /// Poll a worker for its runs.
    Poll(ShardTerm, PollOrder),
    /// Start a run.
    Start(ShardTerm, StartOrder),
    /// Stop a run.
    Stop(ShardTerm, StopOrder),
    /// Set how fast a run works.
    Pace(ShardTerm, PaceOrder),
    /// Ask the advice service which workers may run a step.
    Advise(ShardTerm, AdviceOrder),
}

/// Message to the quota duty.
#[derive(Debug, Clone)]
pub enum QuotaMessage {
    /// A new configuration took effect.
    Config(Arc<FleetConfig>),
    /// Epochs of the shards that the node owns, and the demand of accounts in them.
    Demands(
        IndexMap<ShardNumber, OwnerEpoch>,
        IndexMap<AllocationKey, AccountDemand>,
    ),
}

/// Message to the machine duty.
#[derive(Debug, Clone)]
pub enum MachineMessage {
    /// A new configuration took effect.
    Config(Arc<FleetConfig>),
    /// Assigned owner of each shard.
    Owners(Vec<(ShardNumber, NodeName)>),
    /// The node became the machine controller, with this epoch; it claimed the role no earlier than
    /// at this time.
    RoleAcquired(OwnerEpoch, Instant),
    /// The role was confirmed as of this time.
    RoleConfirmed(Instant),
    /// The node is no longer the machine controller.
    RoleLost,
}

/// Message to the callers duty.
#[derive(Debug, Clone)]
pub enum CallerMessage {
    /// A read of the configuration succeeded.
    ConfigRead {
        /// When the read was sent.
        requested_at: Instant,
        /// The configuration, if it has changed.
        config: Option<Arc<FleetConfig>>,
    },
    /// The pools of all queues, as stored.
    Intakes(Arc<IntakeTable>),
    /// Assigned owner of each shard.
    Owners(Vec<(ShardNumber, NodeName)>),
    /// The node is stopping.
    Stopping,
}
