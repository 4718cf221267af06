//! A worker as operators declare it.

use pw_base::prelude::*;
use serde::{Deserialize, Serialize};

/// Declared worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerSpec {
    /// Name of the worker.
    pub id: WorkerId,
    /// Availability zone that it stands in.
    pub zone: ZoneId,
    /// Rack that it stands in.
    pub rack: RackId,
    /// Processor cores.
    pub cores: u32,
    /// Memory in GiB.
    pub memory_gib: u32,
    /// Accelerators.
    #[serde(default)]
    pub accelerators: u32,
    /// Tasks that it runs at the same time.
    pub slots: u32,
    /// Connections that it accepts at the same time.
    pub connections: u32,
}
