//! What the keeper of machines takes and gives.

use std::sync::Arc;
use std::time::Instant;

use indexmap::IndexSet;
use pw_base::prelude::*;
use serde::{Deserialize, Serialize};
use strum::{AsRefStr, Display, EnumString};

use crate::config::FleetConfig;
use crate::message::{SurveyOrder, SurveyReport};

/// State of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, AsRefStr, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum MachineState {
    /// A worker runs on it.
    Up,
    /// It moves to another pool.
    Moving,
    /// It has its upkeep.
    Upkeep,
    /// It is off or broken.
    Down,
}

/// A machine as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MachineView {
    /// Name of the machine.
    pub machine: MachineId,
    /// Pool that it belongs to.
    pub pool: PoolId,
    /// Its state.
    pub state: MachineState,
    /// Its availability zone.
    pub zone: ZoneId,
    /// The worker on it.
    pub worker: Option<WorkerId>,
}

/// What is to be done with a machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MachineAction {
    /// It goes to another pool.
    Move(PoolId),
    /// It has its upkeep in a wave.
    Upkeep(WaveNumber),
}

/// Order for a machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MachineOrder {
    /// The machine.
    pub machine: MachineId,
    /// What is to be done.
    pub action: MachineAction,
    /// Epoch of the node that keeps the machines.
    pub epoch: OwnerEpoch,
}

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, AsRefStr, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum MachineOutcome {
    /// It is done, or was done before.
    Done,
    /// A later keeper has given orders for the machine.
    Fenced,
    /// The machine is not up, or leaves.
    Busy,
    /// The machine does not belong to the wave.
    NotInWave,
    /// There is no such machine, or it can't go to that pool.
    Impossible,
    /// Nothing was done; the platform is busy.
    #[strum(serialize = "turned-away")]
    Rejected,
    /// It may have been carried out, or may be later.
    Unanswered,
}

/// How far a wave is; it is stored for the next keeper.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveProgress {
    /// Machines whose upkeep has begun, and those that the wave doesn't have.
    pub started: IndexSet<MachineId>,
    /// All machines have begun.
    pub completed: bool,
}

/// What the keeper is told.
#[derive(Debug, Clone)]
pub enum MachineEvent {
    /// A configuration is in force.
    Config(Arc<FleetConfig>),
    /// All machines, as the platform lists them.
    Machines {
        /// The machines.
        machines: Vec<MachineView>,
        /// When the list was asked for.
        requested_at: Instant,
    },
    /// The owner of a shard answered a survey.
    Surveyed {
        /// The shard.
        shard: ShardNumber,
        /// The answer.
        report: SurveyReport,
        /// When it was asked.
        requested_at: Instant,
    },
    /// The platform answered an order, or did not.
    Ordered {
        /// What was ordered.
        order: MachineOrder,
        /// The answer.
        outcome: MachineOutcome,
    },
    /// Time has passed.
    Tick,
}

/// What the keeper wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MachineCommand {
    /// Ask the owner of a shard for the work of its pools, and tell it what it has to know.
    Survey(ShardNumber, SurveyOrder),
    /// Read the list of machines.
    ListMachines,
    /// Give an order.
    Order(MachineOrder),
    /// Store how far a wave is.
    StoreProgress(WaveNumber, WaveProgress),
    /// Tell operators whether a wave is completed.
    ReportWave(WaveNumber, bool),
    /// Another keeper has given orders, so the role is to be checked.
    CheckOwnership,
}
