//! State of a worker instance in the pool ledger.

use pw_base::prelude::*;
use serde::{Deserialize, Serialize};
use strum::{AsRefStr, Display, EnumDiscriminants};

/// Worker instance with its location, pool and phase.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolInstance {
    /// Name of the worker.
    pub worker: WorkerId,
    /// Availability zone that it is located in.
    pub zone: ZoneId,
    /// Rack that it is located in.
    pub rack: RackId,
    /// Pool that it is declared in.
    pub home: PoolId,
    /// Pool that it is currently in.
    pub pool: PoolId,
    /// Phase of its lifecycle.
    pub phase: InstancePhase,
    /// Last observed boot; `None` before the first observation.
    pub boot: Option<BootId>,
    /// Offset of its last change, which a step must name as its base.
    pub changed: LogOffset,
    /// Offset of the record that last reported it alive.
    pub seen: LogOffset,
    /// Last maintenance wave that it has completed.
    pub maintained: WaveNumber,
}

/// Phase of an instance's lifecycle.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Display, EnumDiscriminants)]
#[strum(serialize_all = "kebab-case")]
#[strum_discriminants(
    name(PhaseKind),
    vis(pub),
    derive(Hash, Serialize, Deserialize, Display, AsRefStr),
    strum(serialize_all = "kebab-case"),
    doc = "Kind of an [`InstancePhase`], without its data."
)]
pub enum InstancePhase {
    /// Declared, but not yet seen alive.
    Joining,
    /// Accepts tasks.
    InService,
    /// Accepts no new tasks and waits for the running ones to finish.
    Draining(DrainPurpose),
    /// Accepts no new tasks and runs none.
    Empty(DrainPurpose),
    /// Is rebooting.
    Rebooting,
    /// Alive, but not yet admitted to service.
    Returning,
    /// Moved to its new pool, but not yet admitted to service.
    Arriving,
    /// No longer seen alive.
    Failed,
}

/// Purpose of a drain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum DrainPurpose {
    /// Reboot for maintenance.
    Maintenance,
    /// Move to another pool.
    Move {
        /// Destination pool.
        to: PoolId,
    },
}

impl PoolInstance {
    /// Returns the kind of its phase.
    pub fn kind(&self) -> PhaseKind {
        PhaseKind::from(&self.phase)
    }

    /// Returns whether it waits to be admitted to service.
    pub fn awaits_admission(&self) -> bool {
        matches!(self.kind(), PhaseKind::Returning | PhaseKind::Arriving)
    }

    /// Returns whether it is being drained to move to another pool.
    pub fn is_moving(&self) -> bool {
        self.destination().is_some()
    }

    /// Returns the pool that it is being drained to move to.
    pub fn destination(&self) -> Option<&PoolId> {
        match &self.phase {
            InstancePhase::Draining(DrainPurpose::Move { to })
            | InstancePhase::Empty(DrainPurpose::Move { to }) => Some(to),
            _ => None,
        }
    }
}
