//! Permits that keep each team under its upper limit, fleet-wide.
//!
//! An entry instance starts a task of a team only on a permit that it holds. The permits of all
//! entry instances together never exceed the team's upper limit.

pub mod even_split;
pub mod gate;

/// The names that most users of this crate need.
pub mod prelude {
    pub use crate::even_split::EvenSplit;
    pub use crate::gate::{PermitGate, PermitKind, TaskPermit};
}
