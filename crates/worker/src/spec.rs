//! Declaration of a worker by the operators.

use pw_base::prelude::*;
use serde::{Deserialize, Serialize};

/// Worker as declared in the fleet file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerSpec {
    /// Name of the worker.
    pub id: WorkerId,
    /// Availability zone of the worker.
    pub zone: ZoneId,
    /// Rack of the worker.
    pub rack: RackId,
    /// Number of processor cores.
    pub cores: u32,
    /// Memory in GiB.
    pub memory_gib: u32,
    /// Number of accelerators.
    #[serde(default)]
    pub accelerators: u32,
    /// Maximum number of concurrent tasks.
    pub slots: u32,
    /// Maximum number of concurrent connections.
    pub connections: u32,
}
