//! Measures the cost of each role of the system as a function of the fleet size.
//!
//! Fleets of several sizes are generated, the production objects are run at each size, and a line
//! is fitted through the results.

pub mod fit;
pub mod fleet;
pub mod jobs;
pub mod limits;
pub mod measure;
pub mod page;
pub mod traffic;

/// Commonly used items of this crate.
pub mod prelude {
    pub use crate::fit::LinearFit;
    pub use crate::fleet::{FleetSize, fleet_text, generate_fleet};
}
