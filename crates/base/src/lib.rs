//! Identifiers, clocks, file findings and numbered log events that all other crates share.

pub mod clock;
pub mod event;
pub mod finding;
pub mod id;

/// Commonly used items of this crate.
pub mod prelude {
    pub use crate::clock::{BootClock, ClockSource, ManualClock, SystemClock};
    pub use crate::event::EventCode;
    pub use crate::finding::{FileFinding, FilePlace, LineIndex};
    pub use crate::id::*;
}
