//! Amounts of processors, memory and accelerators.

use serde::{Deserialize, Serialize};

use crate::spec::WorkerSpec;

/// Thousandths of a processor core in one core.
const MILLICORES_PER_CORE: u32 = 1000;
/// MiB in one GiB.
const MIB_PER_GIB: u32 = 1024;

/// Amount of a worker's resources, of a whole worker or of one task.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ResourceSize {
    /// Thousandths of a processor core.
    pub millicores: u32,
    /// Memory in MiB.
    pub memory_mib: u32,
    /// Accelerators.
    pub accelerators: u32,
}

impl ResourceSize {
    /// Returns whether this amount fits into `room`.
    pub fn fits_into(&self, room: &Self) -> bool {
        self.millicores <= room.millicores
            && self.memory_mib <= room.memory_mib
            && self.accelerators <= room.accelerators
    }

    /// Returns the sum of both amounts.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            millicores: self.millicores.saturating_add(other.millicores),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns what is left of this amount without `other`; never below zero.
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            millicores: self.millicores.saturating_sub(other.millicores),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

impl From<&WorkerSpec> for ResourceSize {
    fn from(spec: &WorkerSpec) -> Self {
        Self {
            millicores: spec.cores.saturating_mul(MILLICORES_PER_CORE),
            memory_mib: spec.memory_gib.saturating_mul(MIB_PER_GIB),
            accelerators: spec.accelerators,
        }
    }
}
