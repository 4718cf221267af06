//! Events that the planner takes and commands that it gives.

use std::time::{Instant, SystemTime};

use pw_pool::prelude::*;

use crate::machine::{ChangeCursor, MachineChanges, MachineOrder};

/// What happened outside the planner.
#[derive(Debug, Clone)]
pub enum PlanEvent<'a> {
    /// The log was read to its end and folded.
    LogRead {
        /// When the read request was sent.
        requested_at: Instant,
        /// Pools after the reading.
        pools: &'a PoolLedger,
    },
    /// The platform's machine changes were read.
    MachinesRead(MachineChanges),
    /// Time has passed.
    TimePassed {
        /// Wall-clock time, to date maintenance waves.
        wall: SystemTime,
        /// Pools after the last reading of the log.
        pools: &'a PoolLedger,
    },
}

/// What the planner wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlanCommand {
    /// Append a proposal to the log.
    Propose(PoolProposal),
    /// Send an order to a machine.
    Order(MachineOrder),
    /// Read what changed at the machines.
    ReadMachines {
        /// Cursor of the last reading.
        after: ChangeCursor,
    },
}
