//! Minimal stand-ins for the platform's services, for tests and manual experiments.

pub mod backend_server;
pub mod daemon;
pub mod instance_list;
pub mod journal;
pub mod lease_table;
pub mod log_service;
pub mod machine_service;
mod reply;

/// Commonly used items of this crate.
pub mod prelude {
    pub use crate::backend_server::{BackendServer, ServerSettings};
    pub use crate::instance_list::InstanceList;
    pub use crate::journal::{JournalEntry, JournalEvent, RunJournal};
    pub use crate::lease_table::{GrantError, LeaseReference, LeaseTable, StartError};
    pub use crate::log_service::LogService;
    pub use crate::machine_service::{MachineHistory, MachineService, MachineSettings};
}
