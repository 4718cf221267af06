//! Duty threads and the bounded rings that connect them.
//!
//! A duty is a named thread with its own executor. Duties share no state: they exchange messages
//! through rings of fixed capacity. A duty blocks while it waits for messages or timers and never
//! spins.

pub mod duty;
pub mod ring;

/// Commonly used items of this crate.
pub mod prelude {
    pub use crate::duty::{DutyThread, TaskSpawner};
    pub use crate::ring::{OfferError, RingClosed, RingReceiver, RingSender, ring};
}
