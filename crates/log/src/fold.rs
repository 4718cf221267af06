//! The deterministic fold over log records.

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

/// Operators' records that are told apart from repeats by their identity.
///
/// A repeat beyond them is still harmless: it names a base revision that is no longer current.
const REMEMBERED_RECORDS: usize = 256;

/// State of the fleet after a prefix of the log.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FleetFold {
    image: FoldImage,
    /// The image as of the newest mark.
    checkpoint: Option<Arc<FoldImage>>,
    first_unsupported: Option<LogOffset>,
}

/// What the accepted records add up to.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
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
    /// The proposal is in force; of a batch, all of them.
    Accepted,
    /// The proposal has no effect; of a batch, the first one that has none.
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
    /// An earlier record could not be read, so that nothing can be judged any more.
    UnreadRecord,
    /// The membership does not allow it.
    #[strum(to_string = "{0}")]
    Member(MemberReject),
    /// The permits do not allow it.
    #[strum(to_string = "{0}")]
    Permit(PermitReject),
    /// The pool ledger rejected it.
    #[strum(to_string = "{0}")]
    Pool(PoolRejection),
    /// The snapshots do not allow it.
    #[strum(to_string = "{0}")]
    Snapshot(SnapshotReject),
}

impl FleetFold {
    /// Returns the state after the records so far.
    pub fn state(&self) -> &FleetState {
        &self.image.state
    }

    /// Returns the pools with their instances.
    pub fn pools(&self) -> &PoolLedger {
        &self.image.pools
    }

    /// Returns the members after the records so far.
    pub fn members(&self) -> &MemberLedger {
        &self.image.members
    }

    /// Returns the permits after the records so far.
    pub fn permits(&self) -> &PermitLedger {
        &self.image.permits
    }

    /// Returns where the newest snapshot stands.
    pub fn snapshots(&self) -> &SnapshotState {
        &self.image.snapshots
    }

    /// Returns the image as of the newest mark.
    pub fn checkpoint(&self) -> Option<&Arc<FoldImage>> {
        self.checkpoint.as_ref()
    }

    /// Returns the fold that a confirmed image stands for.
    pub fn restore(image: Arc<FoldImage>) -> Self {
        Self {
            image: FoldImage::clone(&image),
            checkpoint: Some(image),
            first_unsupported: None,
        }
    }

    /// Returns the position of the first record that this build could not read.
    ///
    /// From there on the fold stands still: its configuration stays in force, and nothing that
    /// needs a fresh reading is allowed any more.
    pub fn first_unsupported(&self) -> Option<LogOffset> {
        self.first_unsupported
    }

    /// Moves the next offset to `next_offset` past records that could not be decoded.
    pub fn skip_to(&mut self, next_offset: LogOffset) {
        self.image.state.next_offset = self.image.state.next_offset.max(next_offset);
    }

    /// Folds a reading; returns what became of each record that was not folded before.
    ///
    /// A reading that begins after the next offset would leave a gap and changes nothing.
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

    /// Returns the time for which the reading proves that the fold is up to date.
    ///
    /// `None` when a peer passed the reading on, when it did not reach the end of the log, and
    /// when a record could not be read.
    pub fn freshness(&self, reading: &LogReading) -> Option<Instant> {
        let sent_at = reading.fresh_at()?;
        let is_whole =
            self.first_unsupported.is_none() && self.image.state.next_offset >= reading.end;
        is_whole.then_some(sent_at)
    }

    /// Folds the record at `offset`; records before the next offset change nothing.
    pub fn advance(&mut self, offset: LogOffset, record: &LogRecord) -> FoldOutcome {
        if offset < self.image.state.next_offset {
            return FoldOutcome::Repeated;
        }
        self.skip_to(offset + 1);
        if self.first_unsupported.is_some() {
            return FoldOutcome::Rejected(RejectReason::UnreadRecord);
        }
        match &record.body {
            RecordBody::Fleet(proposal) => self.advance_fleet(offset, record.id, proposal),
            RecordBody::Control(batch) => self.advance_control(offset, batch),
        }
    }

    /// Passes a record of another format.
    ///
    /// The format counts only when a member has announced it: otherwise the bytes are malformed
    /// for every build alike.
    pub fn skip_unsupported(&mut self, offset: LogOffset, version: u8) {
        self.skip_to(offset + 1);
        if version > FORMAT_VERSION && version <= self.image.members.newest_format() {
            self.first_unsupported.get_or_insert(offset);
        }
    }

    fn advance_fleet(
        &mut self,
        offset: LogOffset,
        id: RecordId,
        proposal: &FleetProposal,
    ) -> FoldOutcome {
        if self.image.recent.contains(&id) {
            return FoldOutcome::Repeated;
        }
        self.image.recent.push_back(id);
        if self.image.recent.len() > REMEMBERED_RECORDS {
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

    fn advance_control(&mut self, offset: LogOffset, batch: &ControlBatch) -> FoldOutcome {
        let ControlBatch {
            author, sequence, ..
        } = batch;
        if self.image.members.is_repeat(author, *sequence) {
            return FoldOutcome::Repeated;
        }
        let mut outcome = FoldOutcome::Accepted;
        for proposal in &batch.proposals {
            let result = self.apply(offset, author, proposal);
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

    /// Folds one proposal of a batch; only a join may come from somebody who is no member.
    fn apply(
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
            ControlProposal::Member(proposal) => self.apply_member(offset, author, proposal),
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

    /// Folds a proposal about the membership, and takes the permits of whom it removes.
    fn apply_member(
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

/// Returns what the permits need to know of a configuration.
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
