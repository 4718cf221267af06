//! Decides where and when tasks run.
//!
//! [`DispatchDesk`](desk::DispatchDesk) takes `(now, event)` and returns commands. It knows
//! nothing of sockets, HTTP or encodings, so that any front end can drive it.

pub mod desk;
pub mod message;

/// The names that most users of this crate need.
pub mod prelude {
    pub use crate::desk::{DeskSettings, DispatchDesk};
    pub use crate::message::{
        DispatchCommand, DispatchEvent, RefusalReason, RunCertainty, RunReport, TaskRequest,
        TaskStart, TaskVerdict,
    };
}
