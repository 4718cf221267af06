//! Declarative fleet files: content, validation, and the difference between two fleets.

pub mod check;
pub mod diff;
mod document;
mod rules;
pub mod spec;

/// Commonly used items of this crate.
pub mod prelude {
    pub use crate::check::{FindingCode, check_bytes, check_fleet};
    pub use crate::diff::{ChangeKind, FieldChange, FleetChange, FleetDiff};
    pub use crate::spec::FleetSpec;
}
