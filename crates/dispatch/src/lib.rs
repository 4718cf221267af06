//! Decides where and when tasks run.
//!
//! [`DispatchDesk`](desk::DispatchDesk) takes `(now, event)` and returns commands. It knows
//! nothing of sockets, HTTP or encodings, so that any front end can drive it.

pub mod admission;
pub mod backlog;
pub mod desk;
pub mod history;
pub mod idempotency;
pub mod lingering;
pub mod message;
pub mod pool_desk;
pub mod probe;
pub mod retry;
mod starting;
pub mod task;
pub mod timer;

/// The names that most users of this crate need.
pub mod prelude {
    pub use crate::backlog::WaitReason;
    pub use crate::desk::{DeskSettings, DispatchDesk};
    pub use crate::idempotency::{
        ClosedTask, IdempotencyBook, IdempotencySettings, IdempotencyVerdict, RequestDigest,
        RequestKey,
    };
    pub use crate::message::{
        DeskNotice, DispatchCommand, DispatchEvent, PoolService, RefusalReason, RunCertainty,
        RunReport, ShareReport, TaskRequest, TaskStart, TaskVerdict, TeamShare,
    };
    pub use crate::pool_desk::LeadSettings;
    pub use crate::retry::RetrySettings;
}
