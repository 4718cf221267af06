//! Decides where and when tasks run.
//!
//! [`TaskScheduler`](scheduler::TaskScheduler) takes `(now, event)` and returns commands. It knows
//! nothing of sockets, HTTP or encodings, so that any front end can drive it.

pub mod admission;
pub mod backlog;
pub mod history;
pub mod idempotency;
pub mod message;
mod placement;
pub mod pool_scheduler;
pub mod probe;
pub mod quarantine;
pub mod retry;
pub mod scheduler;
pub mod task;
pub mod timer;

/// The names that most users of this crate need.
pub mod prelude {
    pub use crate::backlog::WaitReason;
    pub use crate::idempotency::{
        ClosedTask, IdempotencyDecision, IdempotencySettings, IdempotencyTable, RequestDigest,
        RequestKey,
    };
    pub use crate::message::{
        AccountShare, DispatchCommand, DispatchEvent, DispatchNotice, PoolService, RefusalReason,
        RunCertainty, RunReport, ShareReport, TaskOutcome, TaskRequest, TaskStart,
    };
    pub use crate::pool_scheduler::FairnessSettings;
    pub use crate::retry::RetrySettings;
    pub use crate::scheduler::{SchedulerSettings, TaskScheduler};
}
