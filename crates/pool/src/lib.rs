//! Pools of worker instances: what operators declare, and who is in which pool right now.
//!
//! [`PoolLedger`](ledger::PoolLedger) is the part of the log's fold that keeps membership, drains
//! and availability budgets. It judges each proposal by the records before it alone, so every
//! entry instance reaches the same verdict.

pub mod budget;
pub mod instance;
pub mod ledger;
pub mod proposal;
pub mod spec;

/// The names that most users of this crate need.
pub mod prelude {
    pub use crate::budget::{DomainTally, PoolBudget, RackKey};
    pub use crate::instance::{DrainPurpose, InstancePhase, PhaseKind, PoolInstance};
    pub use crate::ledger::{DeclaredFleet, PlannerRole, PoolLedger, RejectedStep, WaveState};
    pub use crate::proposal::{
        PoolChange, PoolOutcome, PoolProposal, PoolRejection, PoolStep, StepRejection,
    };
    pub use crate::spec::{PoolSpec, QueueKind, QueueSpec};
}
