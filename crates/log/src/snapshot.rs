//! Snapshots of the fold, published before the retention of the log removes the records.
//!
//! A member marks an offset, and every fold stores an image of itself at that mark. A member
//! publishes its image in a record; every fold that has applied the earlier records compares it
//! with its own, so a wrong image is rejected. Another member with the same image confirms it. A
//! new instance that can't read the removed records starts from the newest confirmed image.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use pw_base::prelude::*;
use pw_contract::prelude::*;
use pw_member::prelude::*;
use pw_pool::prelude::*;
use serde::{Deserialize, Serialize};
use strum::Display;

use crate::fold::FleetState;
use crate::reading::LogItem;
use crate::record::{ControlProposal, LogRecord, RecordBody};

/// Minimum number of offsets between two marks.
pub const MARK_SPACING_OFFSETS: LogOffset = 1_000;

/// Complete state of the fold after a prefix of the log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FoldImage {
    pub(crate) state: FleetState,
    pub(crate) recent: VecDeque<RecordId>,
    pub(crate) members: MemberLedger,
    pub(crate) permits: PermitLedger,
    pub(crate) pools: PoolLedger,
    pub(crate) snapshots: SnapshotState,
}

/// Progress of the newest snapshot.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SnapshotState {
    /// Offset of the newest mark.
    pub mark: Option<LogOffset>,
    /// Offset and author of the first correct image of that mark.
    pub published: Option<(LogOffset, MemberKey)>,
    /// Whether another member has confirmed that image.
    pub is_confirmed: bool,
}

/// Proposal to advance a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum SnapshotProposal {
    /// Makes every fold store an image of itself after this record.
    Mark,
    /// Publishes the image of a mark.
    Publish {
        /// Offset of the mark.
        mark: LogOffset,
        /// The image.
        image: Arc<FoldImage>,
    },
    /// Confirms that a published image equals the author's own.
    Confirm {
        /// Offset of the record that published the image.
        published: LogOffset,
    },
}

/// Reason for which a snapshot proposal is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum SnapshotReject {
    /// The previous mark is too recent.
    TooSoon,
    /// The proposal does not name the newest mark or image.
    OtherSnapshot,
    /// The image differs from that of the fold.
    WrongImage,
    /// The image is already confirmed, or the author published it itself.
    NeedlessConfirmation,
}

impl FoldImage {
    /// Returns the offset of the first record that is not in the image.
    pub fn next_offset(&self) -> LogOffset {
        self.state.next_offset
    }
}

impl SnapshotState {
    /// Applies a proposal; `own` is the image that this fold stored at the newest mark.
    ///
    /// # Errors
    ///
    /// Returns why the proposal was rejected; the state is then unchanged.
    pub(crate) fn apply(
        &mut self,
        offset: LogOffset,
        author: &MemberKey,
        proposal: &SnapshotProposal,
        own: Option<&Arc<FoldImage>>,
    ) -> Result<(), SnapshotReject> {
        match proposal {
            SnapshotProposal::Mark => {
                let is_close = |mark| offset < mark + MARK_SPACING_OFFSETS;
                if self.mark.is_some_and(is_close) {
                    return Err(SnapshotReject::TooSoon);
                }
                *self = Self {
                    mark: Some(offset),
                    ..Self::default()
                };
            }
            SnapshotProposal::Publish { mark, image } => {
                if self.mark != Some(*mark) || self.published.is_some() {
                    return Err(SnapshotReject::OtherSnapshot);
                }
                if own != Some(image) {
                    return Err(SnapshotReject::WrongImage);
                }
                self.published = Some((offset, author.clone()));
            }
            SnapshotProposal::Confirm { published } => {
                let Some((published_at, publisher)) = &self.published else {
                    return Err(SnapshotReject::OtherSnapshot);
                };
                if published_at != published {
                    return Err(SnapshotReject::OtherSnapshot);
                }
                if publisher == author || self.is_confirmed {
                    return Err(SnapshotReject::NeedlessConfirmation);
                }
                self.is_confirmed = true;
            }
        }
        Ok(())
    }
}

/// Searches the retained records for the image from which a new instance starts.
#[derive(Debug, Clone, Default)]
pub struct SnapshotSeeker {
    published: Option<(LogOffset, MemberKey, Arc<FoldImage>)>,
}

impl SnapshotSeeker {
    /// Examines a record; returns an image when the record confirms it.
    ///
    /// An image of a fleet with at most one member is returned without a confirmation, as no other
    /// member could confirm it.
    pub fn observe(&mut self, offset: LogOffset, item: &LogItem) -> Option<Arc<FoldImage>> {
        let LogItem::Record(record) = item else {
            return None;
        };
        let LogRecord {
            body: RecordBody::Control(batch),
            ..
        } = &**record
        else {
            return None;
        };
        batch.proposals.iter().find_map(|proposal| match proposal {
            ControlProposal::Snapshot(proposal) => {
                self.observe_proposal(offset, &batch.author, proposal)
            }
            _ => None,
        })
    }

    fn observe_proposal(
        &mut self,
        offset: LogOffset,
        author: &MemberKey,
        proposal: &SnapshotProposal,
    ) -> Option<Arc<FoldImage>> {
        match proposal {
            SnapshotProposal::Mark => None,
            SnapshotProposal::Publish { image, .. } => {
                let is_sole_member = image.members.len() <= 1;
                self.published = Some((offset, author.clone(), Arc::clone(image)));
                is_sole_member.then(|| Arc::clone(image))
            }
            SnapshotProposal::Confirm { published } => {
                let (published_at, publisher, image) = self.published.as_ref()?;
                (published_at == published && publisher != author).then(|| Arc::clone(image))
            }
        }
    }
}

/// Schedules the marks, images and confirmations that one member proposes.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct SnapshotPublisher {
    settings: SnapshotSettings,
    state: SnapshotState,
    state_since: Instant,
    last_proposal: Option<Instant>,
}

/// Settings of a [`SnapshotPublisher`].
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct SnapshotSettings {
    /// Time between two marks; a small fraction of the retention time of the log.
    pub interval: Duration,
    /// Delay step between members, so that usually only one makes a proposal.
    pub stagger: Duration,
    /// Time after which a proposal without effect is repeated.
    pub retry_interval: Duration,
}

impl Default for SnapshotSettings {
    fn default() -> Self {
        Self {
            interval: Duration::from_secs(600),
            stagger: Duration::from_millis(500),
            retry_interval: Duration::from_secs(5),
        }
    }
}

impl SnapshotPublisher {
    /// Creates a publisher that has not read the log yet.
    pub fn new(now: Instant, settings: SnapshotSettings) -> Self {
        Self {
            settings,
            state: SnapshotState::default(),
            state_since: now,
            last_proposal: None,
        }
    }

    /// Handles a read up to the end of the log and returns the next proposal, if one is due.
    ///
    /// `checkpoint` is the image that the fold stored at the newest mark.
    pub fn read_log(
        &mut self,
        now: Instant,
        own: &MemberKey,
        members: &MemberLedger,
        state: &SnapshotState,
        checkpoint: Option<&Arc<FoldImage>>,
    ) -> Option<SnapshotProposal> {
        if self.state != *state {
            self.state = state.clone();
            self.state_since = now;
            self.last_proposal = None;
        }
        let position = members.iter().take_while(|(key, _)| *key != own).count() as u32;
        let is_member = members.get(own).is_some();
        let (delay, proposal) = self.next_proposal(own, checkpoint)?;
        let due = self.state_since + delay + self.settings.stagger * position;
        let retry = self
            .last_proposal
            .map(|last_proposal| last_proposal + self.settings.retry_interval);
        if !is_member || now < retry.map_or(due, |retry| retry.max(due)) {
            return None;
        }
        self.last_proposal = Some(now);
        Some(proposal)
    }

    /// Returns the next proposal, and its delay after the last change of the snapshot state.
    fn next_proposal(
        &self,
        own: &MemberKey,
        checkpoint: Option<&Arc<FoldImage>>,
    ) -> Option<(Duration, SnapshotProposal)> {
        match &self.state {
            SnapshotState {
                mark: Some(mark),
                published: None,
                ..
            } => {
                let image = Arc::clone(checkpoint?);
                let mark = *mark;
                let proposal = SnapshotProposal::Publish { mark, image };
                Some((Duration::ZERO, proposal))
            }
            SnapshotState {
                published: Some((published, publisher)),
                is_confirmed: false,
                ..
            } if publisher != own => {
                let published = *published;
                Some((Duration::ZERO, SnapshotProposal::Confirm { published }))
            }
            _ => Some((self.settings.interval, SnapshotProposal::Mark)),
        }
    }
}
