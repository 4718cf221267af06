//! Records that operators and entry instances append to the log.

use std::sync::Arc;
use std::time::SystemTime;

use pw_base::prelude::*;
use pw_contract::prelude::*;
use pw_fleet::prelude::*;
use pw_member::prelude::*;
use pw_pool::prelude::*;
use serde::{Deserialize, Serialize};
use strum::Display;

use crate::delta::FleetDelta;
use crate::snapshot::SnapshotProposal;

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

/// What a record proposes, by who may propose it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RecordBody {
    /// Change of the declared fleet, by an operator.
    Fleet(FleetProposal),
    /// Proposals of a member.
    Control(ControlBatch),
}

/// Proposals of one member, folded in order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlBatch {
    /// Member that proposes; the fold rejects the batch unless it is one.
    pub author: MemberKey,
    /// Number of the batch; the fold takes each number of an author once and in order.
    pub sequence: RecordSequence,
    /// What is proposed.
    pub proposals: Vec<ControlProposal>,
}

/// Proposal of a member, by area.
///
/// The ledger of each area judges its own. A new variant needs a new format version, so that an
/// instance which can't read it knows that it has missed something.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlProposal {
    /// Change of the membership.
    Member(MemberProposal),
    /// Change of the permits.
    Permit(PermitProposal),
    /// Change of pools, drains or the planner duty.
    Pool(PoolProposal),
    /// Snapshot of the fold.
    Snapshot(SnapshotProposal),
}

/// Proposal to change the declared fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetProposal {
    /// Revision that the change was made from.
    pub base: FleetRevision,
    /// The change.
    pub update: FleetUpdate,
}

/// Change of the declared fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetUpdate {
    /// The whole fleet after the change.
    Whole(Arc<FleetSpec>),
    /// What differs from the fleet at the base revision.
    Delta(Box<FleetDelta>),
}

impl FleetProposal {
    /// Proposes the whole fleet `spec` in place of the revision `base`.
    pub fn whole(base: FleetRevision, spec: Arc<FleetSpec>) -> Self {
        let update = FleetUpdate::Whole(spec);
        Self { base, update }
    }

    /// Proposes `after` in place of `before`, the fleet at the revision `base`, as a delta where
    /// that is possible.
    pub fn between(base: FleetRevision, before: &FleetSpec, after: Arc<FleetSpec>) -> Self {
        let update = match FleetDelta::between(before, &after) {
            Some(delta) => FleetUpdate::Delta(Box::new(delta)),
            None => FleetUpdate::Whole(after),
        };
        Self { base, update }
    }

    /// Returns the name of the fleet.
    pub fn fleet(&self) -> &FleetId {
        match &self.update {
            FleetUpdate::Whole(spec) => &spec.fleet,
            FleetUpdate::Delta(delta) => &delta.fleet,
        }
    }

    /// Returns the fleet after the change; `None` for a delta without a fleet before it.
    pub fn resolve(&self, before: Option<&FleetSpec>) -> Option<Arc<FleetSpec>> {
        match &self.update {
            FleetUpdate::Whole(spec) => Some(Arc::clone(spec)),
            FleetUpdate::Delta(delta) => Some(Arc::new(delta.apply(before?))),
        }
    }
}
