//! Placement: selects the worker that runs a task.
//!
//! A [`WorkerTable`](table::WorkerTable) tracks the workers of the fleet and indexes, for each pool
//! and availability zone, those that can accept a task now. A
//! [`WorkerPicker`](picker::WorkerPicker) selects one of them in constant time.

pub mod membership;
pub mod picker;
pub mod record;
pub mod roster;
pub mod table;
pub mod two_choices;

/// The names that most users of this crate need.
pub mod prelude {
    pub use crate::membership::{PoolAssignment, PoolMembership};
    pub use crate::picker::{PickRequest, RoundRobin, WorkerPicker};
    pub use crate::record::{SlotOutcome, SlotTier, WorkerRecord};
    pub use crate::roster::{OpenWorkers, PoolRoster};
    pub use crate::table::{TableSettings, WorkerTable};
    pub use crate::two_choices::{TwoChoices, TwoChoicesSettings};
}
