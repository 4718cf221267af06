//! Workers: the machines in racks whose backend servers run tasks under leases.

pub mod instance;
pub mod lease;
pub mod lease_book;
pub mod spec;

/// The names that most users of this crate need.
pub mod prelude {
    pub use crate::instance::{InstanceEntry, InstanceState};
    pub use crate::lease::{HeldLease, LeaseGrant, WORKER_LEASE_TTL};
    pub use crate::lease_book::{BookSettings, LeaseBook, LeaseCommand, LeaseEvent};
    pub use crate::spec::WorkerSpec;
}
