//! Identifiers, clocks, findings and numbered log events that every other crate shares.

pub mod clock;
pub mod event;
pub mod finding;
pub mod id;

/// The names that most users of this crate need.
pub mod prelude {
    pub use crate::clock::{BootClock, ClockSource, ManualClock, SystemClock};
    pub use crate::event::EventCode;
    pub use crate::finding::{FileFinding, FilePlace, LineIndex};
    pub use crate::id::*;
}
