//! Snapshots of the fold, published before the log forgets the records behind them.
//!
//! A member marks an offset, and every fold keeps an image of itself as of that mark. A member
//! publishes its image in a record; every fold that has read the records compares it with its own,
//! so a wrong image changes nothing. Another member that found it right confirms it. A new instance
//! that can't read the records any more starts from the newest confirmed image.

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

/// Offsets between two marks at least.
pub const MARK_SPACING_OFFSETS: LogOffset = 1_000;

/// All that the fold knows after a prefix of the log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FoldImage {
    pub(crate) state: FleetState,
    pub(crate) recent: VecDeque<RecordId>,
    pub(crate) members: MemberLedger,
    pub(crate) permits: PermitLedger,
    pub(crate) pools: PoolLedger,
    pub(crate) snapshots: SnapshotState,
}

/// Where the newest snapshot stands.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SnapshotState {
    /// Offset of the newest mark.
    pub mark: Option<LogOffset>,
    /// Offset of the first right image of that mark, and its author.
    pub published: Option<(LogOffset, MemberKey)>,
    /// Whether another member has confirmed that image.
    pub is_confirmed: bool,
}

/// Proposal about snapshots.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum SnapshotProposal {
    /// Every fold keeps an image of itself after this record.
    Mark,
    /// The image of the mark.
    Publish {
        /// Offset of the mark.
        mark: LogOffset,
        /// The image.
        image: Arc<FoldImage>,
    },
    /// The author has found the image at this offset right.
    Confirm {
        /// Offset of the record with the image.
        published: LogOffset,
    },
}

/// Why a proposal about snapshots has no effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum SnapshotReject {
    /// The last mark is too close.
    TooSoon,
    /// The proposal names another mark or image than the newest.
    OtherSnapshot,
    /// The image is not what the records add up to.
    WrongImage,
    /// The author of an image can't confirm it, and one confirmation is enough.
    NeedlessConfirmation,
}

impl FoldImage {
    /// Returns the position of the first record that is not in the image.
    pub fn next_offset(&self) -> LogOffset {
        self.state.next_offset
    }
}

impl SnapshotState {
    /// Folds a proposal; `own` is the image that this fold keeps of the newest mark.
    ///
    /// # Errors
    ///
    /// Tells why the proposal has no effect; nothing has changed then.
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
                let Some((at, publisher)) = &self.published else {
                    return Err(SnapshotReject::OtherSnapshot);
                };
                if at != published {
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

/// Finds the image that a new instance starts from, in the records that the log still has.
#[derive(Debug, Clone, Default)]
pub struct SnapshotSeeker {
    published: Option<(LogOffset, MemberKey, Arc<FoldImage>)>,
}

impl SnapshotSeeker {
    /// Looks at a record; returns an image once a record has confirmed it.
    ///
    /// An image without another member to confirm it counts at once.
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
            ControlProposal::Snapshot(proposal) => self.consider(offset, &batch.author, proposal),
            _ => None,
        })
    }

    fn consider(
        &mut self,
        offset: LogOffset,
        author: &MemberKey,
        proposal: &SnapshotProposal,
    ) -> Option<Arc<FoldImage>> {
        match proposal {
            SnapshotProposal::Mark => None,
            SnapshotProposal::Publish { image, .. } => {
                let is_alone = image.members.len() <= 1;
                self.published = Some((offset, author.clone(), Arc::clone(image)));
                is_alone.then(|| Arc::clone(image))
            }
            SnapshotProposal::Confirm { published } => {
                let (at, publisher, image) = self.published.as_ref()?;
                (at == published && publisher != author).then(|| Arc::clone(image))
            }
        }
    }
}

/// Decides when this member marks, publishes and confirms.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct SnapshotPublisher {
    settings: SnapshotSettings,
    state: SnapshotState,
    since: Instant,
    proposed: Option<Instant>,
}

/// Times of a snapshot publisher.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct SnapshotSettings {
    /// Time between two marks; a small part of the time that the log keeps its records.
    pub interval: Duration,
    /// Time that each member waits for the one before it to propose.
    pub stagger: Duration,
    /// Time after which a proposal without effect is made again.
    pub retry: Duration,
}

impl Default for SnapshotSettings {
    fn default() -> Self {
        Self {
            interval: Duration::from_secs(600),
            stagger: Duration::from_millis(500),
            retry: Duration::from_secs(5),
        }
    }
}

impl SnapshotPublisher {
    /// Creates a publisher that has read nothing yet.
    pub fn new(now: Instant, settings: SnapshotSettings) -> Self {
        Self {
            settings,
            state: SnapshotState::default(),
            since: now,
            proposed: None,
        }
    }

    /// Takes in a reading to the end of the log and returns what is to be proposed.
    ///
    /// `checkpoint` is the image that the fold keeps of the newest mark.
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
            self.since = now;
            self.proposed = None;
        }
        let turn = members.iter().take_while(|(key, _)| *key != own).count() as u32;
        let is_member = members.get(own).is_some();
        let (due, proposal) = self.next_proposal(own, checkpoint)?;
        let due = self.since + due + self.settings.stagger * turn;
        let retry = self.proposed.map(|proposed| proposed + self.settings.retry);
        if !is_member || now < retry.map_or(due, |retry| retry.max(due)) {
            return None;
        }
        self.proposed = Some(now);
        Some(proposal)
    }

    /// Returns what comes next, and how long after the last step.
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
