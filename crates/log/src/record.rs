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
    /// Unique id; a retried append reuses it, so that the fold applies the record only once.
    pub id: RecordId,
    /// Operator or entry instance that appended it.
    pub author: String,
    /// Wall-clock time at the author; informational only, no decision depends on it.
    pub written: SystemTime,
    /// The proposals.
    pub body: RecordBody,
}

/// Content of a record, by the kind of its author.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RecordBody {
    /// Change to the declared fleet, made by an operator.
    Fleet(FleetProposal),
    /// Proposals made by a member.
    Control(ControlBatch),
}

/// Proposals of one member, applied in order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlBatch {
    /// Member that makes the proposals; only a join is accepted from a non-member.
    pub author: MemberKey,
    /// Sequence number of the batch; the fold skips numbers that are not above the author's last.
    pub sequence: RecordSequence,
    /// The proposals.
    pub proposals: Vec<ControlProposal>,
}

/// Proposal of a member, by the ledger that evaluates it.
///
/// A new variant needs a new format version, so that an instance that can't decode it detects the
/// gap in its state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlProposal {
    /// Change to the membership.
    Member(MemberProposal),
    /// Change to the permits.
    Permit(PermitProposal),
    /// Change to pools, drains or the planner role.
    Pool(PoolProposal),
    /// Mark, image or confirmation of a snapshot.
    Snapshot(SnapshotProposal),
}

/// Proposal to change the declared fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetProposal {
    /// Revision that the change is based on.
    pub base: FleetRevision,
    /// The change.
    pub update: FleetUpdate,
}

/// Change to the declared fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetUpdate {
    /// The complete fleet after the change.
    Whole(Arc<FleetSpec>),
    /// The difference from the fleet at the base revision.
    Delta(Box<FleetDelta>),
}

impl FleetProposal {
    /// Creates a proposal to replace the fleet at revision `base` with `spec`.
    pub fn whole(base: FleetRevision, spec: Arc<FleetSpec>) -> Self {
        let update = FleetUpdate::Whole(spec);
        Self { base, update }
    }

    /// Creates a proposal to replace `before`, the fleet at revision `base`, with `after`.
    ///
    /// The update is a delta if one can express the change, and the complete fleet otherwise.
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

    /// Returns the fleet after the change; `None` for a delta without a preceding fleet.
    pub fn resolve(&self, before: Option<&FleetSpec>) -> Option<Arc<FleetSpec>> {
        match &self.update {
            FleetUpdate::Whole(spec) => Some(Arc::clone(spec)),
            FleetUpdate::Delta(delta) => Some(Arc::new(delta.apply(before?))),
        }
    }
}
