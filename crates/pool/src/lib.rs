//! Pools of worker instances and the queues that they serve.

pub mod spec;

/// The names that most users of this crate need.
pub mod prelude {
    pub use crate::spec::{PoolSpec, QueueKind, QueueSpec};
}
