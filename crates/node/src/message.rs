//! Messages between the duties of a node.

use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use pw_base::prelude::*;
use pw_control::prelude::*;
use pw_ring::prelude::*;
use pw_worker::prelude::*;

use crate::request::{NodeRequest, NodeResponse};

/// A shard under one owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ShardTerm {
    /// The shard.
    pub shard: ShardNumber,
    /// Epoch of the owner.
    pub epoch: OwnerEpoch,
}

/// What the control duty is told.
#[derive(Debug)]
pub enum ControlMessage {
    /// A configuration is in force.
    Config(Arc<FleetConfig>),
    /// The workers that the platform lists.
    Workers(Vec<WorkerEntry>),
    /// The node took a shard over.
    Opened(ShardTerm, Box<ShardImage>),
    /// The node gives a shard up; the answer says how long the leases on workers last.
    Release(ShardTerm, RingSender<IndexMap<WorkerId, Duration>>),
    /// Something happened in a shard.
    Shard(ShardTerm, Box<ShardEvent>),
    /// What accounts may have running in shards.
    Allocations(Vec<(ShardTerm, AccountId, ResourceSize)>),
    /// Somebody asks about jobs.
    Request(NodeRequest, RingSender<NodeResponse>),
}

/// What the journal duty is told.
#[derive(Debug)]
pub enum JournalMessage {
    /// Store these records.
    Store {
        /// Whose shard it is.
        term: ShardTerm,
        /// Number of the request.
        sequence: u64,
        /// What is to be stored.
        records: Vec<StoreRecord>,
    },
    /// A worker has heard of a later owner.
    CheckOwnership(ShardTerm),
    /// The node stops: hand all shards over.
    Leave,
}

/// What the orders duty is told.
#[derive(Debug)]
pub enum OrderMessage {
    /// Ask a worker what it runs.
    Poll(ShardTerm, PollOrder),
    /// Start a run.
    Start(ShardTerm, StartOrder),
    /// Stop a run.
    Stop(ShardTerm, StopOrder),
    /// Set how fast a run works.
    Pace(ShardTerm, PaceOrder),
    /// Ask which workers may run a step.
    Advise(ShardTerm, AdviceOrder),
}

/// What the quota duty is told.
#[derive(Debug, Clone)]
pub enum QuotaMessage {
    /// A configuration is in force.
    Config(Arc<FleetConfig>),
    /// The node's shards with their epochs, and the work of accounts in them.
    Demands(
        IndexMap<ShardNumber, OwnerEpoch>,
        IndexMap<AllocationKey, AccountDemand>,
    ),
}

/// What the keeper duty is told.
#[derive(Debug, Clone)]
pub enum MachineMessage {
    /// A configuration is in force.
    Config(Arc<FleetConfig>),
    /// Which member is to own each shard.
    Owners(Vec<(ShardNumber, NodeName)>),
    /// The node keeps the machines from now on, under this epoch.
    RoleAcquired(OwnerEpoch),
    /// The node had the role at this time.
    RoleConfirmed(Instant),
    /// The node no longer keeps the machines.
    RoleLost,
}

/// What the callers duty is told.
#[derive(Debug, Clone)]
pub enum CallerMessage {
    /// The configuration was read.
    ConfigRead {
        /// When the read was sent.
        requested_at: Instant,
        /// The configuration, if it is another one.
        config: Option<Arc<FleetConfig>>,
    },
    /// Which member is to own each shard.
    Owners(Vec<(ShardNumber, NodeName)>),
    /// The node stops.
    Stopping,
}
