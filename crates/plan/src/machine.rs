//! Machine reports from the platform and orders to machines.

use pw_base::prelude::*;
use serde::{Deserialize, Serialize};
use strum::{AsRefStr, Display};

/// Position in the platform's list of machine changes, starting at 0.
pub type ChangeCursor = u64;

/// State of a worker's machine as reported by the platform; may be stale.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineReport {
    /// Worker that the machine belongs to.
    pub worker: WorkerId,
    /// Current boot of the machine.
    pub boot: BootId,
    /// State of the machine.
    pub state: MachineState,
    /// Operation of the last order executed in this boot; 0 before the first one.
    #[serde(default)]
    pub operation: LogOffset,
}

/// Reported state of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display, AsRefStr)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum MachineState {
    /// Its backend server accepts tasks.
    Serving,
    /// Its backend server refuses new tasks but still runs some.
    Draining,
    /// Its backend server refuses new tasks and runs none.
    Drained,
    /// It is rebooting.
    Rebooting,
    /// It does not respond to the platform.
    Lost,
}

/// Machines that changed after a cursor.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineChanges {
    /// Cursor after these changes.
    pub next: ChangeCursor,
    /// Latest report of each changed machine.
    pub machines: Vec<MachineReport>,
}

/// Order to a machine.
///
/// A machine executes each action once per `operation`, and refuses an order whose operation is
/// older than its last one or whose boot is not its current boot. An order may therefore be resent
/// when its response was lost, and a delayed order has no effect.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MachineOrder {
    /// Worker whose machine the order is for.
    pub worker: WorkerId,
    /// Offset of the record that caused the order; a higher offset supersedes lower ones.
    pub operation: LogOffset,
    /// Boot that the order applies to.
    pub boot: BootId,
    /// Action to execute.
    pub action: MachineAction,
}

/// Action that a machine can be ordered to execute.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display, AsRefStr)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum MachineAction {
    /// Refuse new tasks and let the running ones finish.
    Drain,
    /// Request running tasks that support it to checkpoint and end.
    Checkpoint,
    /// Stop the running tasks.
    Stop,
    /// Reboot; allowed only when drained.
    Reboot,
    /// Accept tasks again.
    Resume,
}
