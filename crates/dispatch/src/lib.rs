//! Task admission and scheduling: decides when each task runs and on which worker.
//!
//! [`TaskScheduler`](scheduler::TaskScheduler) is a state machine that maps `(now, event)` to
//! commands. It does no I/O and is independent of sockets, HTTP and encodings, so that any front
//! end can drive it.

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

/// Commonly used types of this crate.
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
