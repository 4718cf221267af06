//! Duties of a node that serves callers and owns shards of pools.
//!
//! The [`ShardController`](pw_control::shard::ShardController) on the control duty and the
//! [`JobService`](service::JobService) on the callers duty hold the logic. The other duties execute
//! their commands through the traits in [`links`] and return the results as events.

pub mod admin_duty;
pub mod cancellation;
pub mod claim;
pub mod control_duty;
pub mod feed_duty;
pub mod hedge;
pub mod intake_duty;
pub mod journal_duty;
pub mod links;
pub mod log_budget;
pub mod machine_duty;
pub mod message;
pub mod newest;
pub mod node;
pub mod order_duty;
pub mod owners;
pub mod peer_duty;
pub mod quota_duty;
pub mod request;
pub mod service;
pub mod settings;
pub mod timeout;
pub mod writer;

/// Commonly used items of this crate.
pub mod prelude {
    pub use crate::links::{
        FleetFeed, FrontEnd, GroupJoin, JobStore, MachineGateway, StoreEntry, StoreFault,
        StorePage, StorePartition, StoreRead, StoreTopic, StoreWriter, WorkerGateway,
        split_appends,
    };
    pub use crate::log_budget::LogBudget;
    pub use crate::node::{JobNode, NodeLinks};
    pub use crate::service::{Admission, JobService, ServiceRefusal};
    pub use crate::settings::NodeSettings;
    pub use crate::writer::{SubmissionWriter, SubmitOutcome, WriteFault};
}
