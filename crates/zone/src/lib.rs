//! Availability zones: separate failure domains that operators can take out of service.

pub mod state;
pub mod zone;

/// Commonly used items of this crate.
pub mod prelude {
    pub use crate::state::ZoneState;
    pub use crate::zone::{ZoneSpec, ZoneStatus};
}
