//! Bounded rings and the duty threads that they join.
//!
//! A duty is one named thread with an executor of its own. Duties share no state: they pass
//! messages through rings of fixed capacity. A duty waits for its ring or for a timer and never
//! spins.

pub mod duty;
pub mod ring;

/// The names that most users of this crate need.
pub mod prelude {
    pub use crate::duty::{DutyThread, TaskSpawner};
    pub use crate::ring::{OfferError, RingClosed, RingReceiver, RingSender, ring};
}
