//! Bounded model checking of the protocol in `docs/SPEC.md`.
//!
//! A world holds production decision objects and the messages between them. Its actions call the
//! production code and bring about the failures that the specification assumes. [`search`] visits
//! every state that the bounds admit and gives the shortest trace to a broken property. Each world
//! can be built with a seeded mistake, which the search has to find.

pub mod config;
pub mod permit;
pub mod search;

/// The names that most users of this crate need.
pub mod prelude {
    pub use crate::config::{ConfigMistake, ConfigSettings, ConfigWorld};
    pub use crate::permit::world::PermitWorld;
    pub use crate::permit::{PermitAction, PermitMistake, PermitSettings};
    pub use crate::search::{
        ModelWorld, PropertyViolation, SearchBound, SearchReport, find_trace, search,
    };
}
