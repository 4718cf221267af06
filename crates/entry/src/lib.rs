//! The entry daemon: one thread per duty, connected by bounded rings.
//!
//! The [`TaskScheduler`](pw_dispatch::scheduler::TaskScheduler) on the dispatch duty makes the
//! decisions; the other duties translate network input into events and commands into requests.

pub mod admin_duty;
pub mod append_duty;
pub mod backend_duty;
pub mod caller_duty;
pub mod caller_route;
pub mod daemon;
pub mod dispatch_duty;
pub mod instance_duty;
pub mod log_duty;
pub mod machine_duty;
pub mod member_duty;
pub mod message;
pub mod node;
pub mod peer_duty;
pub mod planner_duty;
pub mod problem;
pub mod settings;
pub mod settings_check;
pub mod shutdown;

/// Commonly used items of this crate.
pub mod prelude {
    pub use crate::node::{EntryNode, NodeLinks};
    pub use crate::settings::{EntrySettings, LogFormat};
    pub use crate::settings_check::check_settings;
    pub use crate::shutdown::{
        ShutdownCommand, ShutdownEvent, ShutdownPlan, ShutdownSettings, ShutdownVerdict,
    };
}
