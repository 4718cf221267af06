//! The deterministic fold over log records.

use std::collections::HashSet;
use std::sync::Arc;

use pw_base::prelude::*;
use pw_fleet::prelude::*;
use strum::Display;

use crate::record::{FleetProposal, LogRecord, RecordBody};

/// State of the fleet after a prefix of the log.
#[derive(Debug, Clone, Default)]
pub struct FleetFold {
    state: FleetState,
    seen: HashSet<RecordId>,
}

/// What the accepted records add up to.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FleetState {
    /// Position of the next record.
    pub next_offset: LogOffset,
    /// Number of accepted configurations.
    pub revision: FleetRevision,
    /// The configuration in force; `None` before the first one.
    pub spec: Option<Arc<FleetSpec>>,
}

/// What the fold did with a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FoldOutcome {
    /// The proposal is in force.
    Accepted,
    /// The proposal has no effect.
    Rejected(RejectReason),
    /// The record was folded before.
    Repeated,
}

/// Why a proposal has no effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RejectReason {
    /// The proposal was made from a revision that is no longer current.
    StaleRevision,
    /// The proposal is for another fleet.
    OtherFleet,
}

impl FleetFold {
    /// Returns the state after the records so far.
    pub fn state(&self) -> &FleetState {
        &self.state
    }

    /// Moves the next offset to `next_offset` past records that could not be decoded.
    pub fn skip_to(&mut self, next_offset: LogOffset) {
        self.state.next_offset = self.state.next_offset.max(next_offset);
    }

    /// Folds the record at `offset`; records before the next offset change nothing.
    pub fn advance(&mut self, offset: LogOffset, record: &LogRecord) -> FoldOutcome {
        if offset < self.state.next_offset {
            return FoldOutcome::Repeated;
        }
        self.skip_to(offset + 1);
        if !self.seen.insert(record.id) {
            return FoldOutcome::Repeated;
        }
        match &record.body {
            RecordBody::Fleet(proposal) => self.advance_fleet(proposal),
        }
    }

    fn advance_fleet(&mut self, proposal: &FleetProposal) -> FoldOutcome {
        if proposal.base != self.state.revision {
            return FoldOutcome::Rejected(RejectReason::StaleRevision);
        }
        let other_fleet = |spec: &Arc<FleetSpec>| spec.fleet != proposal.spec.fleet;
        if self.state.spec.as_ref().is_some_and(other_fleet) {
            return FoldOutcome::Rejected(RejectReason::OtherFleet);
        }
        self.state.revision += 1;
        self.state.spec = Some(Arc::clone(&proposal.spec));
        FoldOutcome::Accepted
    }
}
