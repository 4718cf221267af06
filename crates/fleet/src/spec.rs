//! Content of a fleet file.

use pw_account::prelude::*;
use pw_base::prelude::*;
use pw_pool::prelude::*;
use pw_worker::prelude::*;
use pw_zone::prelude::*;
use serde::{Deserialize, Serialize};

/// Fleet as declared by operators, who always apply it as a whole.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSpec {
    /// Name of the fleet.
    pub fleet: FleetId,
    /// Availability zones.
    #[serde(default)]
    pub zones: Vec<ZoneSpec>,
    /// Workers.
    #[serde(default)]
    pub workers: Vec<WorkerSpec>,
    /// Pools.
    #[serde(default)]
    pub pools: Vec<PoolSpec>,
    /// Client accounts.
    #[serde(default)]
    pub accounts: Vec<AccountSpec>,
    /// Queues.
    #[serde(default)]
    pub queues: Vec<QueueSpec>,
}

impl FleetSpec {
    /// Returns the availability zone named `id`.
    pub fn zone(&self, id: &str) -> Option<&ZoneSpec> {
        self.zones.iter().find(|zone| &*zone.id == id)
    }

    /// Returns the queue named `id`.
    pub fn queue(&self, id: &str) -> Option<&QueueSpec> {
        self.queues.iter().find(|queue| &*queue.id == id)
    }
}
