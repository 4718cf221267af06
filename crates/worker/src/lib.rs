//! Workers: the machines in racks whose backend servers run tasks under leases.

pub mod instance;
pub mod spec;

/// The names that most users of this crate need.
pub mod prelude {
    pub use crate::instance::{InstanceEntry, InstanceState};
    pub use crate::spec::WorkerSpec;
}
