//! Workers: machines in racks whose backend servers run tasks under leases.

pub mod concurrency;
pub mod health;
pub mod instance;
pub mod lease;
pub mod lease_manager;
pub mod resource;
pub mod spec;
pub mod usage;

/// Commonly used items of this crate.
pub mod prelude {
    pub use crate::concurrency::{ConcurrencyLimit, ConcurrencySettings};
    pub use crate::health::{HealthSettings, WorkerHealth};
    pub use crate::instance::{InstanceEntry, InstanceState};
    pub use crate::lease::{HeldLease, LeaseClass, LeaseGrant, LeaseKey, WORKER_LEASE_TTL};
    pub use crate::lease_manager::{LeaseCommand, LeaseEvent, LeaseManager, LeaseSettings};
    pub use crate::resource::ResourceSize;
    pub use crate::spec::WorkerSpec;
    pub use crate::usage::{TaskUsage, WorkerUsage};
}
