//! Control logic of the owner of a shard of pools.
//!
//! A [`ShardController`](shard::ShardController) handles `(now, event)` and returns commands: start
//! a run on a worker, store a record, poll a worker. It does no I/O and knows no encodings.

pub mod assign;
pub mod config;
pub mod intake;
pub mod machines;
pub mod message;
pub mod order_gate;
pub mod pace;
pub mod placement;
pub mod quota;
mod run;
pub mod settings;
pub mod shard;
pub mod sizing;
pub mod urgency;
pub mod worker;
mod worker_table;

/// Commonly used items of this crate.
pub mod prelude {
    pub use crate::assign::{AssignSettings, MemberIdentity, ShardTable};
    pub use crate::config::{
        AccountRule, AdviceRule, FleetConfig, PoolRule, QueueRule, WaveRule, find_shard, queue_id,
    };
    pub use crate::intake::{IntakeRecord, IntakeTable, QueueShards};
    pub use crate::machines::{
        MachineAction, MachineCommand, MachineController, MachineEvent, MachineList, MachineOrder,
        MachineOutcome, MachineSettings, MachineState, MachineView, WaveProgress,
    };
    pub use crate::message::{
        ActiveRun, AdviceOrder, AdviceReport, CallFault, FinishedRun, JobAnswer, ListedRuns,
        PaceOrder, PollOrder, PollReport, PoolLoad, QueryScope, ShardCommand, ShardEvent,
        ShardImage, ShardInput, StartOrder, StartOutcome, StopOrder, StoreRecord, SurveyOrder,
        SurveyReport, UnreachableWorker, WorkerLife,
    };
    pub use crate::order_gate::OrderGate;
    pub use crate::placement::{Candidate, PackPlacement, PlacementPolicy, PlacementRequest};
    pub use crate::quota::{
        AccountBudget, AccountDemand, AllocationKey, AllocationReductions, QuotaAllocation,
        QuotaShortages, QuotaTable, ShortageReport,
    };
    pub use crate::settings::ControlSettings;
    pub use crate::shard::{ShardController, VisitCount};
    pub use crate::sizing::{PoolClaim, PoolSizes, SizingSettings, share_machines};
    pub use crate::urgency::terms_of;
    pub use crate::worker::{WorkerEntry, WorkerPhase, current_workers};
}
