//! Machines as the platform reports them, and what the planner asks of them.

use pw_base::prelude::*;
use serde::{Deserialize, Serialize};
use strum::{AsRefStr, Display};

/// Position in the platform's list of machine changes, counted from 0.
pub type ChangeCursor = u64;

/// What the platform says of a worker's machine; it lags.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineReport {
    /// Worker that it is about.
    pub worker: WorkerId,
    /// Boot that the machine runs.
    pub boot: BootId,
    /// What it does.
    pub state: MachineState,
    /// Operation of the last order that it carried out in this boot; 0 before the first one.
    #[serde(default)]
    pub operation: LogOffset,
}

/// What a machine does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display, AsRefStr)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum MachineState {
    /// Its backend server accepts tasks.
    Serving,
    /// Its backend server refuses new tasks and still runs some.
    Draining,
    /// Its backend server refuses new tasks and runs none.
    Drained,
    /// It reboots.
    Rebooting,
    /// It does not answer the platform.
    Lost,
}

/// Machines that changed after a cursor.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineChanges {
    /// Cursor after these changes.
    pub next: ChangeCursor,
    /// The latest report of each machine that changed.
    pub machines: Vec<MachineReport>,
}

/// What the planner asks of a machine.
///
/// The machine carries out an order once for each `operation`, and refuses an order whose
/// operation is older than its last one or whose boot is not the one that it runs. An order may
/// therefore be repeated when its answer was lost, and a late one is harmless.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MachineOrder {
    /// Worker whose machine it is for.
    pub worker: WorkerId,
    /// Offset of the record that the order follows from; orders age by it.
    pub operation: LogOffset,
    /// Boot that the order is for.
    pub boot: BootId,
    /// What is to be done.
    pub action: MachineAction,
}

/// What a machine is to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display, AsRefStr)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum MachineAction {
    /// Refuse new tasks and let the running ones end.
    Drain,
    /// Ask the running tasks that offer it to checkpoint and end.
    Checkpoint,
    /// Stop the running tasks.
    Stop,
    /// Reboot; allowed only when drained.
    Reboot,
    /// Accept tasks again.
    Resume,
}
