//! Availability zones: separate failure domains that operators take out and bring back.

pub mod state;
pub mod zone;

/// The names that most users of this crate need.
pub mod prelude {
    pub use crate::state::ZoneState;
    pub use crate::zone::{ZoneSpec, ZoneStatus};
}
