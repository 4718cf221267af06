//! Bounded model checking of the protocol in `docs/SPEC.md`.
//!
//! A world contains production decision objects and the messages between them. Its actions call the
//! production code and inject the failures that the specification assumes. [`search`] visits every
//! state within the bounds and returns a shortest trace to a violated property. Each world can be
//! built with a deliberate mistake, which the search has to detect.

pub mod config;
pub mod permit;
pub mod search;

/// Commonly used items of this crate.
pub mod prelude {
    pub use crate::config::{ConfigMistake, ConfigSettings, ConfigWorld};
    pub use crate::permit::world::PermitWorld;
    pub use crate::permit::{PermitAction, PermitMistake, PermitSettings};
    pub use crate::search::{
        ModelWorld, PropertyViolation, SearchBound, SearchReport, find_trace, search,
    };
}
