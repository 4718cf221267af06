//! Pools of worker instances: declared pools and queues, and current pool membership.
//!
//! [`PoolLedger`](ledger::PoolLedger) is the part of the replicated state that holds membership,
//! drains and availability budgets. It evaluates each proposal against the preceding records alone,
//! so every entry instance reaches the same outcome.

pub mod budget;
pub mod instance;
pub mod ledger;
pub mod proposal;
pub mod spec;

/// Commonly used items of this crate.
pub mod prelude {
    pub use crate::budget::{DomainTally, PoolBudget, RackKey};
    pub use crate::instance::{DrainPurpose, InstancePhase, PhaseKind, PoolInstance};
    pub use crate::ledger::{DeclaredFleet, PlannerRole, PoolLedger, RejectedStep, WaveState};
    pub use crate::proposal::{
        PoolChange, PoolOutcome, PoolProposal, PoolRejection, PoolStep, StepRejection,
    };
    pub use crate::spec::{PoolSpec, QueueKind, QueueSpec};
}
