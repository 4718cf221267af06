//! Declarative fleet files: what operators declare, and the checks before it is applied.

pub mod check;
pub mod spec;

/// The names that most users of this crate need.
pub mod prelude {
    pub use crate::check::check_fleet;
    pub use crate::spec::FleetSpec;
}
