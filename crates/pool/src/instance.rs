//! A worker instance as the pool ledger knows it.

use pw_base::prelude::*;
use serde::{Deserialize, Serialize};
use strum::{AsRefStr, Display, EnumDiscriminants};

/// A worker instance with its pool and what happens to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolInstance {
    /// Name of the worker.
    pub worker: WorkerId,
    /// Availability zone that it stands in.
    pub zone: ZoneId,
    /// Rack that it stands in.
    pub rack: RackId,
    /// Pool that operators list it in.
    pub home: PoolId,
    /// The one pool that it is in.
    pub pool: PoolId,
    /// What happens to it.
    pub phase: InstancePhase,
    /// Boot that was last seen; `None` before it was first seen.
    pub boot: Option<BootId>,
    /// Offset of the last change to it; a step names the change that it was made from.
    pub changed: LogOffset,
    /// Offset at which it was last seen alive.
    pub seen: LogOffset,
    /// Last maintenance wave that it has been through.
    pub maintained: WaveNumber,
}

/// What happens to an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Display, EnumDiscriminants)]
#[strum(serialize_all = "kebab-case")]
#[strum_discriminants(
    name(PhaseKind),
    vis(pub),
    derive(Hash, Serialize, Deserialize, Display, AsRefStr),
    strum(serialize_all = "kebab-case"),
    doc = "Kind of an [`InstancePhase`], without what it carries."
)]
pub enum InstancePhase {
    /// Declared and not yet seen alive.
    Joining,
    /// Takes tasks.
    InService,
    /// Takes no new tasks and waits for the running ones.
    Draining(DrainPurpose),
    /// Takes no new tasks and runs none.
    Empty(DrainPurpose),
    /// Reboots.
    Rebooting,
    /// Alive and not yet admitted to service.
    Returning,
    /// In its new pool and not yet admitted to service.
    Arriving,
    /// Not seen alive.
    Failed,
}

/// Why an instance drains.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum DrainPurpose {
    /// It will be rebooted.
    Maintenance,
    /// It will change pools.
    Move {
        /// Pool that it will be in.
        to: PoolId,
    },
}

impl PoolInstance {
    /// Returns the kind of the phase.
    pub fn kind(&self) -> PhaseKind {
        PhaseKind::from(&self.phase)
    }

    /// Returns whether it waits to be admitted to service.
    pub fn awaits_admission(&self) -> bool {
        matches!(self.kind(), PhaseKind::Returning | PhaseKind::Arriving)
    }

    /// Returns whether it drains in order to change pools.
    pub fn is_moving(&self) -> bool {
        self.destination().is_some()
    }

    /// Returns the pool that it drains for.
    pub fn destination(&self) -> Option<&PoolId> {
        match &self.phase {
            InstancePhase::Draining(DrainPurpose::Move { to })
            | InstancePhase::Empty(DrainPurpose::Move { to }) => Some(to),
            _ => None,
        }
    }
}
