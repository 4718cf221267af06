//! Amounts of processors, memory and accelerators.

use serde::{Deserialize, Serialize};

use crate::spec::WorkerSpec;

const MILLICORES_PER_CORE: u32 = 1000;
const MIB_PER_GIB: u32 = 1024;

/// Resources of a whole worker, or required or used by one task.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ResourceSize {
    /// Thousandths of a processor core.
    pub millicores: u32,
    /// Memory in MiB.
    pub memory_mib: u32,
    /// Number of accelerators.
    pub accelerators: u32,
}

impl ResourceSize {
    /// Returns whether every resource fits into `available`.
    pub fn fits_into(&self, available: &Self) -> bool {
        self.millicores <= available.millicores
            && self.memory_mib <= available.memory_mib
            && self.accelerators <= available.accelerators
    }

    /// Returns the sum of both amounts, saturating at the numeric bounds.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            millicores: self.millicores.saturating_add(other.millicores),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns the larger amount of each resource.
    pub fn max(&self, other: &Self) -> Self {
        Self {
            millicores: self.millicores.max(other.millicores),
            memory_mib: self.memory_mib.max(other.memory_mib),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Returns the difference of both amounts, saturating at zero.
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
