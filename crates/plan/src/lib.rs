//! Plans moves and maintenance of worker instances.
//!
//! [`FleetPlanner`](planner::FleetPlanner) takes `(now, event)` and returns commands. Every entry
//! instance runs one, and only proposals with the pool ledger's current term are accepted. Plans
//! derive from the replicated state alone, so a new planner resumes where the last one stopped.

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

/// Commonly used items of this crate.
pub mod prelude {
    pub use crate::buffer::{BufferNeed, shared_buffer};
    pub use crate::machine::{
        ChangeCursor, MachineAction, MachineChanges, MachineOrder, MachineReport, MachineState,
    };
    pub use crate::message::{PlanCommand, PlanEvent};
    pub use crate::planner::FleetPlanner;
    pub use crate::settings::PlanSettings;
}
