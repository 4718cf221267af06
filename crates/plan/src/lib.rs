//! Plans moves and maintenance of worker instances.
//!
//! [`FleetPlanner`](planner::FleetPlanner) takes `(now, event)` and returns commands. Every entry
//! instance runs one; the pool ledger's term says whose proposals count. It plans from the folded
//! state alone, so a planner that takes over goes on where the one before it stopped.

pub mod buffer;
pub mod election;
pub mod headroom;
pub mod machine;
pub mod maintenance;
pub mod message;
pub mod planner;
pub mod reconcile;
pub mod settings;
pub mod tracker;

/// The names that most users of this crate need.
pub mod prelude {
    pub use crate::buffer::{BufferNeed, shared_buffer};
    pub use crate::machine::{
        ChangeCursor, MachineAction, MachineChanges, MachineOrder, MachineReport, MachineState,
    };
    pub use crate::message::{PlanCommand, PlanEvent};
    pub use crate::planner::FleetPlanner;
    pub use crate::settings::PlanSettings;
}
