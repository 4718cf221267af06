//! The deterministic fold of log records into the state of the fleet.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use pw_base::prelude::*;
use pw_contract::prelude::*;
use pw_fleet::prelude::*;
use pw_member::prelude::*;
use pw_pool::prelude::*;
use pw_zone::prelude::*;
use serde::{Deserialize, Serialize};
use strum::Display;

use crate::codec::FORMAT_VERSION;
use crate::reading::{LogItem, LogReading};
use crate::record::{ControlBatch, ControlProposal, FleetProposal, LogRecord, RecordBody};
use crate::snapshot::{FoldImage, SnapshotReject, SnapshotState};

/// Number of recent operator records that are deduplicated by id.
///
/// An older duplicate has no effect either: its base revision is no longer current.
const MAX_RECENT_RECORDS: usize = 256;

/// Fold of a prefix of the log, with all state derived from it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FleetFold {
    image: FoldImage,
    /// Image of the fold at the newest mark.
    checkpoint: Option<Arc<FoldImage>>,
    first_unsupported: Option<LogOffset>,
}

/// Declared fleet after a prefix of the log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetState {
    /// Offset of the next record.
    pub next_offset: LogOffset,
    /// Number of accepted configurations.
    pub revision: FleetRevision,
    /// Current configuration; `None` before the first one.
    pub spec: Option<Arc<FleetSpec>>,
}

/// Result of folding a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FoldOutcome {
    /// The proposal took effect; for a batch, all of its proposals did.
    Accepted,
    /// The proposal was rejected; for a batch, the reason is that of the first rejected one.
    Rejected(RejectReason),
    /// The record, or an earlier copy of it, was applied before.
    Repeated,
}

/// Reason for which a proposal is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RejectReason {
    /// The base revision of the proposal is not the current one.
    StaleRevision,
    /// The proposal names another fleet.
    OtherFleet,
    /// An earlier record has an unsupported format, so proposals can't be evaluated any more.
    UnreadRecord,
    /// The member ledger rejected it.
    #[strum(to_string = "{0}")]
    Member(MemberReject),
    /// The permit ledger rejected it.
    #[strum(to_string = "{0}")]
    Permit(PermitReject),
    /// The pool ledger rejected it.
    #[strum(to_string = "{0}")]
    Pool(PoolRejection),
    /// The snapshot state rejected it.
    #[strum(to_string = "{0}")]
    Snapshot(SnapshotReject),
}

impl FleetFold {
    /// Returns the declared fleet.
    pub fn state(&self) -> &FleetState {
        &self.image.state
    }

    /// Returns the pools with their instances.
    pub fn pools(&self) -> &PoolLedger {
        &self.image.pools
    }

    /// Returns the membership.
    pub fn members(&self) -> &MemberLedger {
        &self.image.members
    }

    /// Returns the permits.
    pub fn permits(&self) -> &PermitLedger {
        &self.image.permits
    }

    /// Returns the progress of the newest snapshot.
    pub fn snapshots(&self) -> &SnapshotState {
        &self.image.snapshots
    }

    /// Returns the image of the fold at the newest mark.
    pub fn checkpoint(&self) -> Option<&Arc<FoldImage>> {
        self.checkpoint.as_ref()
    }

    /// Restores a fold from a confirmed image.
    pub fn restore(image: Arc<FoldImage>) -> Self {
        Self {
            image: FoldImage::clone(&image),
            checkpoint: Some(image),
            first_unsupported: None,
        }
    }

    /// Returns the offset of the first record in a format that this build does not support.
    ///
    /// From that record on the fold is frozen: its configuration remains current, and actions that
    /// require a fresh reading are no longer allowed.
    pub fn first_unsupported(&self) -> Option<LogOffset> {
        self.first_unsupported
    }

    /// Advances the next offset to `next_offset`, skipping records that could not be decoded.
    pub fn skip_to(&mut self, next_offset: LogOffset) {
        self.image.state.next_offset = self.image.state.next_offset.max(next_offset);
    }

    /// Applies a reading and returns the outcome of each record that was not applied before.
    ///
    /// A reading that starts after the next offset would leave a gap and is ignored.
    pub fn apply_reading(&mut self, reading: &LogReading) -> Vec<(LogOffset, FoldOutcome)> {
        if let Some(image) = &reading.image
            && image.next_offset() > self.image.state.next_offset
        {
            *self = Self::restore(Arc::clone(image));
        }
        if reading.from > self.image.state.next_offset {
            return Vec::new();
        }
        let from = self.image.state.next_offset;
        let mut outcomes = Vec::new();
        for (offset, item) in &reading.items {
            if *offset < from {
                continue;
            }
            match item {
                LogItem::Record(record) => outcomes.push((*offset, self.advance(*offset, record))),
                LogItem::Unsupported { version } => self.skip_unsupported(*offset, *version),
            }
        }
        self.skip_to(reading.next_offset);
        outcomes
    }

    /// Returns the time as of which the reading proves that the fold is up to date.
    ///
    /// `None` if a peer relayed the reading, if it does not reach the end of the log, or if a
    /// record had an unsupported format.
    pub fn freshness(&self, reading: &LogReading) -> Option<Instant> {
        let requested_at = reading.fresh_at()?;
        let is_complete =
            self.first_unsupported.is_none() && self.image.state.next_offset >= reading.end;
        is_complete.then_some(requested_at)
    }

    /// Applies the record at `offset`; a record before the next offset has no effect.
    pub fn advance(&mut self, offset: LogOffset, record: &LogRecord) -> FoldOutcome {
        if offset < self.image.state.next_offset {
            return FoldOutcome::Repeated;
        }
        self.skip_to(offset + 1);
        if self.first_unsupported.is_some() {
            return FoldOutcome::Rejected(RejectReason::UnreadRecord);
        }
        match &record.body {
            RecordBody::Fleet(proposal) => self.apply_fleet_proposal(offset, record.id, proposal),
            RecordBody::Control(batch) => self.apply_batch(offset, batch),
        }
    }

    /// Skips a record in another format.
    ///
    /// The fold is frozen only if a member has announced the format: otherwise the record is
    /// malformed to every build.
    pub fn skip_unsupported(&mut self, offset: LogOffset, version: u8) {
        self.skip_to(offset + 1);
        if version > FORMAT_VERSION && version <= self.image.members.newest_format() {
            self.first_unsupported.get_or_insert(offset);
        }
    }

    fn apply_fleet_proposal(
        &mut self,
        offset: LogOffset,
        id: RecordId,
        proposal: &FleetProposal,
    ) -> FoldOutcome {
        if self.image.recent.contains(&id) {
            return FoldOutcome::Repeated;
        }
        self.image.recent.push_back(id);
        if self.image.recent.len() > MAX_RECENT_RECORDS {
            self.image.recent.pop_front();
        }
        if proposal.base != self.image.state.revision {
            return FoldOutcome::Rejected(RejectReason::StaleRevision);
        }
        let other_fleet = |spec: &Arc<FleetSpec>| spec.fleet != *proposal.fleet();
        if self.image.state.spec.as_ref().is_some_and(other_fleet) {
            return FoldOutcome::Rejected(RejectReason::OtherFleet);
        }
        let Some(spec) = proposal.resolve(self.image.state.spec.as_deref()) else {
            return FoldOutcome::Rejected(RejectReason::StaleRevision);
        };
        self.image.state.revision += 1;
        self.image.state.spec = Some(Arc::clone(&spec));
        let fleet = DeclaredFleet {
            zones: &spec.zones,
            workers: &spec.workers,
            pools: &spec.pools,
        };
        self.image.pools.apply_fleet(offset, fleet);
        let table = limit_table(&spec);
        self.image
            .permits
            .set_table(offset, table, &self.image.members);
        FoldOutcome::Accepted
    }

    fn apply_batch(&mut self, offset: LogOffset, batch: &ControlBatch) -> FoldOutcome {
        let ControlBatch {
            author, sequence, ..
        } = batch;
        if self.image.members.is_repeat(author, *sequence) {
            return FoldOutcome::Repeated;
        }
        let mut outcome = FoldOutcome::Accepted;
        for proposal in &batch.proposals {
            let result = self.apply_proposal(offset, author, proposal);
            if let (FoldOutcome::Accepted, Err(reason)) = (outcome, result) {
                outcome = FoldOutcome::Rejected(reason);
            }
        }
        self.image.members.note_record(offset, author, *sequence);
        if self.image.snapshots.mark == Some(offset) {
            self.checkpoint = Some(Arc::new(self.image.clone()));
        }
        outcome
    }

    /// Applies one proposal of a batch; a non-member may only propose to join.
    fn apply_proposal(
        &mut self,
        offset: LogOffset,
        author: &MemberKey,
        proposal: &ControlProposal,
    ) -> Result<(), RejectReason> {
        let is_join = matches!(
            proposal,
            ControlProposal::Member(MemberProposal::Join { .. })
        );
        if !is_join && self.image.members.get(author).is_none() {
            return Err(RejectReason::Member(MemberReject::UnknownMember));
        }
        match proposal {
            ControlProposal::Member(proposal) => {
                self.apply_member_proposal(offset, author, proposal)
            }
            ControlProposal::Permit(proposal) => self
                .image
                .permits
                .apply(offset, author, proposal, &self.image.members)
                .map_err(RejectReason::Permit),
            ControlProposal::Snapshot(proposal) => self
                .image
                .snapshots
                .apply(offset, author, proposal, self.checkpoint.as_ref())
                .map_err(RejectReason::Snapshot),
            ControlProposal::Pool(proposal) => match self.image.pools.advance(offset, proposal) {
                PoolOutcome::Accepted { .. } => Ok(()),
                PoolOutcome::Rejected(reason) => Err(RejectReason::Pool(reason)),
            },
        }
    }

    /// Applies a membership proposal and updates the permits of the affected member.
    fn apply_member_proposal(
        &mut self,
        offset: LogOffset,
        author: &MemberKey,
        proposal: &MemberProposal,
    ) -> Result<(), RejectReason> {
        self.image
            .members
            .apply(offset, author, proposal)
            .map_err(RejectReason::Member)?;
        let (permits, members) = (&mut self.image.permits, &self.image.members);
        match proposal {
            MemberProposal::Refute { .. } => permits.resume_grants(offset, author, members),
            MemberProposal::Leave => permits.leave(offset, author, members),
            MemberProposal::Retire { member, .. } => permits.retire(offset, member, members),
            MemberProposal::Join { .. } | MemberProposal::Suspect { .. } => {}
        }
        Ok(())
    }
}

/// Returns the limits and zones of a configuration, as needed by the permit ledger.
fn limit_table(spec: &FleetSpec) -> LimitTable {
    let mut zones: BTreeMap<ZoneId, ZoneFloor> = BTreeMap::new();
    for zone in &spec.zones {
        zones.entry(zone.id.clone()).or_default().in_service = zone.status == ZoneStatus::InService;
    }
    for worker in &spec.workers {
        if let Some(zone) = zones.get_mut(&worker.zone) {
            zone.workers.insert(worker.id.clone());
        }
    }
    let limits = spec
        .accounts
        .iter()
        .map(|account| (account.id.clone(), account.limit));
    LimitTable {
        limits: limits.collect(),
        zones,
    }
}
