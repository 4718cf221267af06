//! Input events and output commands of the planner.

use std::time::{Instant, SystemTime};

use pw_pool::prelude::*;

use crate::machine::{ChangeCursor, MachineChanges, MachineOrder};

/// Input of the planner.
#[derive(Debug, Clone)]
pub enum PlanEvent<'a> {
    /// The log was read to its end and applied to the ledger.
    LogRead {
        /// When the read request was sent.
        requested_at: Instant,
        /// Pool ledger after the read.
        pools: &'a PoolLedger,
    },
    /// Machine changes were read from the platform.
    MachinesRead(MachineChanges),
    /// Time has passed.
    TimePassed {
        /// Wall-clock time, used to timestamp maintenance waves.
        wall: SystemTime,
        /// Pool ledger after the last read of the log.
        pools: &'a PoolLedger,
    },
}

/// Action requested by the planner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlanCommand {
    /// Append a proposal to the log.
    Propose(PoolProposal),
    /// Send an order to a machine.
    Order(MachineOrder),
    /// Read machine changes from the platform.
    ReadMachines {
        /// Cursor returned by the last read.
        after: ChangeCursor,
    },
}
