//! Declarative fleet files: what operators declare, the checks before it is applied, and the
//! difference between two of them.

pub mod check;
pub mod diff;
mod document;
mod rules;
pub mod spec;

/// The names that most users of this crate need.
pub mod prelude {
    pub use crate::check::{FindingCode, check_bytes, check_fleet};
    pub use crate::diff::{ChangeKind, FieldChange, FleetChange, FleetDiff};
    pub use crate::spec::FleetSpec;
}
