//! Events and commands of the machine controller.

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
    /// It is moving to another pool.
    Moving,
    /// It is in maintenance.
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

impl MachineView {
    /// Returns whether `worker` is no longer on the machine.
    pub fn has_ended(&self, worker: &WorkerId) -> bool {
        self.state != MachineState::Up || self.worker.as_ref() != Some(worker)
    }
}

/// A list of the machines.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MachineList {
    /// The machines.
    pub machines: Vec<MachineView>,
    /// All machines that the platform listed could be read.
    pub is_complete: bool,
}

/// Action to carry out on a machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MachineAction {
    /// Moves it to another pool.
    Move(PoolId),
    /// Takes it down for its maintenance in a wave.
    Upkeep(WaveNumber),
}

/// Order for a machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MachineOrder {
    /// The machine.
    pub machine: MachineId,
    /// Action to carry out.
    pub action: MachineAction,
    /// Ownership epoch of the controller that sent the order.
    pub epoch: OwnerEpoch,
    /// Time after which the order must not be sent, because the machine may have runs again.
    pub send_by: Instant,
}

/// Result of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, AsRefStr, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum MachineOutcome {
    /// It was carried out, now or before.
    Done,
    /// A controller with a later epoch has sent orders for the machine.
    Fenced,
    /// The machine is not up, or is leaving its pool.
    Busy,
    /// The machine does not belong to the wave.
    NotInWave,
    /// There is no such machine, or it can't move to that pool.
    Impossible,
    /// Nothing was done because the platform is busy.
    #[strum(serialize = "turned-away")]
    Rejected,
    /// It was too late to send the order.
    NotSent,
    /// There was no answer: it may have been carried out, or may be later.
    Unanswered,
}

/// Progress of a wave, stored for the next controller.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveProgress {
    /// Machines whose maintenance has started, and those that turned out not to be in the wave.
    pub started: IndexSet<MachineId>,
    /// The maintenance of all machines has started.
    pub completed: bool,
}

/// Input of a [`MachineController`](super::MachineController).
#[derive(Debug, Clone)]
pub enum MachineEvent {
    /// A configuration has taken effect.
    Config(Arc<FleetConfig>),
    /// All machines, as the platform lists them.
    Machines {
        /// The list.
        list: MachineList,
        /// When the list was requested.
        requested_at: Instant,
    },
    /// The owner of a shard answered a survey.
    Surveyed {
        /// The shard.
        shard: ShardNumber,
        /// Its report.
        report: SurveyReport,
        /// When the survey was sent.
        requested_at: Instant,
    },
    /// The platform answered an order, or the order got no answer.
    Ordered {
        /// The order.
        order: MachineOrder,
        /// Its result.
        outcome: MachineOutcome,
    },
    /// Time has passed.
    Tick,
}

/// Command of a [`MachineController`](super::MachineController).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MachineCommand {
    /// Request the load of a shard's pools from its owner, which also learns which workers to drain
    /// and which machines are down.
    Survey(ShardNumber, SurveyOrder),
    /// Read the list of machines from the platform.
    ListMachines,
    /// Send an order to the platform.
    Order(MachineOrder),
    /// Store the progress of a wave.
    StoreProgress(WaveNumber, WaveProgress),
    /// Report to operators whether a wave is completed.
    ReportWave(WaveNumber, bool),
    /// Check whether this node still owns the role, because an order was fenced.
    CheckOwnership,
}
