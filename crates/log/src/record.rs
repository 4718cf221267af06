//! Records that operators and entry instances append to the log.

use std::sync::Arc;
use std::time::SystemTime;

use pw_base::prelude::*;
use pw_fleet::prelude::*;
use serde::{Deserialize, Serialize};

/// One record of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Identity; a repeated append keeps it, and the fold takes it once.
    pub id: RecordId,
    /// Operator or entry instance that appended it.
    pub author: String,
    /// Wall-clock time at the author; for people only, no decision reads it.
    pub written: SystemTime,
    /// What is proposed.
    pub body: RecordBody,
}

/// Proposal of a record, by area.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordBody {
    /// Change of the declared fleet.
    Fleet(FleetProposal),
}

/// Proposal to change the declared fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetProposal {
    /// Revision that the change was made from.
    pub base: FleetRevision,
    /// The whole fleet after the change.
    pub spec: Arc<FleetSpec>,
}
