//! Membership as determined by the log.

use std::collections::BTreeMap;

use pw_base::prelude::*;
use serde::{Deserialize, Serialize};
use strum::Display;

use crate::member::{MemberKey, MemberProposal, MemberSpec};

/// Maximum distance in offsets between the author's last read and the record of its join.
///
/// Keys of retired members are kept for the same number of offsets. A duplicate join was created
/// before the retirement, so it either matches a kept key or is too old.
pub const JOIN_WINDOW_OFFSETS: LogOffset = 10_000;

/// Members after a prefix of the log has been applied.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberLedger {
    members: BTreeMap<MemberKey, MemberState>,
    retired: BTreeMap<MemberKey, LogOffset>,
    newest_format: u8,
}

/// State of one member.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberState {
    /// Location and address of the member.
    pub spec: MemberSpec,
    /// Offset of the current suspicion; `None` when the member is not suspected.
    pub suspicion: Option<LogOffset>,
    /// Sequence number of its latest applied record.
    pub sequence: RecordSequence,
    /// Offset of its latest applied record.
    pub last_offset: LogOffset,
}

/// Why a membership proposal was rejected.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display,
)]
#[strum(serialize_all = "kebab-case")]
pub enum MemberReject {
    /// The author or the named member never joined, has left or was retired.
    UnknownMember,
    /// The author has already joined.
    JoinedBefore,
    /// The join was created too many offsets ago, or names an offset beyond its own.
    JoinOutsideWindow,
    /// The member is already suspected.
    SuspectedBefore,
    /// The named suspicion is not the current one.
    NoSuchSuspicion,
    /// A member can't suspect or retire itself.
    OwnMember,
}

impl MemberLedger {
    /// Returns the state of a current member.
    pub fn get(&self, key: &MemberKey) -> Option<&MemberState> {
        self.members.get(key)
    }

    /// Iterates over the members in key order.
    pub fn iter(&self) -> impl Iterator<Item = (&MemberKey, &MemberState)> {
        self.members.iter()
    }

    /// Returns the number of members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether there is no member.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns the membership of `process` with the highest incarnation.
    pub fn current(&self, process: ProcessId) -> Option<(&MemberKey, &MemberState)> {
        self.members
            .iter()
            .filter(|(key, _)| key.process == process)
            .max_by_key(|(key, _)| key.incarnation)
    }

    /// Returns whether the member left or was retired within the last [`JOIN_WINDOW_OFFSETS`].
    pub fn is_retired(&self, key: &MemberKey) -> bool {
        self.retired.contains_key(key)
    }

    /// Returns whether the member has joined and is not suspected.
    pub fn is_trusted(&self, key: &MemberKey) -> bool {
        self.get(key)
            .is_some_and(|member| member.suspicion.is_none())
    }

    /// Returns the number of members in `zone`.
    pub fn zone_members(&self, zone: &ZoneId) -> usize {
        let in_zone = |member: &&MemberState| member.spec.zone == *zone;
        self.members.values().filter(in_zone).count()
    }

    /// Returns the newest record format that any member has ever announced; 0 before the first
    /// join.
    pub fn newest_format(&self) -> u8 {
        self.newest_format
    }

    /// Returns whether the record `sequence` of `author` has already been applied.
    pub fn is_repeat(&self, author: &MemberKey, sequence: RecordSequence) -> bool {
        self.get(author)
            .is_some_and(|member| sequence <= member.sequence)
    }

    /// Records that `sequence` of `author` was applied at `offset`.
    pub fn note_record(&mut self, offset: LogOffset, author: &MemberKey, sequence: RecordSequence) {
        if let Some(member) = self.members.get_mut(author) {
            member.sequence = sequence;
            member.last_offset = offset;
        }
    }

    /// Applies a proposal of `author` at `offset`.
    ///
    /// # Errors
    ///
    /// Returns why the proposal was rejected; the membership is then unchanged.
    pub fn apply(
        &mut self,
        offset: LogOffset,
        author: &MemberKey,
        proposal: &MemberProposal,
    ) -> Result<(), MemberReject> {
        self.retired
            .retain(|_, at| offset.saturating_sub(*at) <= JOIN_WINDOW_OFFSETS);
        if let MemberProposal::Join { spec, seen } = proposal {
            return self.join(offset, author, spec, *seen);
        }
        if !self.members.contains_key(author) {
            return Err(MemberReject::UnknownMember);
        }
        match proposal {
            MemberProposal::Join { .. } => Ok(()),
            MemberProposal::Suspect { member } => self.suspect(offset, author, member),
            MemberProposal::Refute { suspicion } => self.refute(author, *suspicion),
            MemberProposal::Leave => {
                self.remove(offset, author);
                Ok(())
            }
            MemberProposal::Retire { member, suspicion } => {
                self.retire(offset, author, member, *suspicion)
            }
        }
    }

    fn join(
        &mut self,
        offset: LogOffset,
        author: &MemberKey,
        spec: &MemberSpec,
        seen: LogOffset,
    ) -> Result<(), MemberReject> {
        let age = offset.checked_sub(seen);
        if age.is_none_or(|age| age > JOIN_WINDOW_OFFSETS) {
            return Err(MemberReject::JoinOutsideWindow);
        }
        if self.members.contains_key(author) || self.retired.contains_key(author) {
            return Err(MemberReject::JoinedBefore);
        }
        let state = MemberState {
            spec: spec.clone(),
            suspicion: None,
            sequence: 0,
            last_offset: offset,
        };
        self.members.insert(author.clone(), state);
        self.newest_format = self.newest_format.max(spec.format);
        Ok(())
    }

    fn suspect(
        &mut self,
        offset: LogOffset,
        author: &MemberKey,
        member: &MemberKey,
    ) -> Result<(), MemberReject> {
        if author == member {
            return Err(MemberReject::OwnMember);
        }
        let state = self.state_mut(member)?;
        if state.suspicion.is_some() {
            return Err(MemberReject::SuspectedBefore);
        }
        state.suspicion = Some(offset);
        Ok(())
    }

    fn refute(&mut self, author: &MemberKey, suspicion: LogOffset) -> Result<(), MemberReject> {
        let state = self.state_mut(author)?;
        if state.suspicion != Some(suspicion) {
            return Err(MemberReject::NoSuchSuspicion);
        }
        state.suspicion = None;
        Ok(())
    }

    fn retire(
        &mut self,
        offset: LogOffset,
        author: &MemberKey,
        member: &MemberKey,
        suspicion: LogOffset,
    ) -> Result<(), MemberReject> {
        if author == member {
            return Err(MemberReject::OwnMember);
        }
        if self.state_mut(member)?.suspicion != Some(suspicion) {
            return Err(MemberReject::NoSuchSuspicion);
        }
        self.remove(offset, member);
        Ok(())
    }

    fn remove(&mut self, offset: LogOffset, member: &MemberKey) {
        self.members.remove(member);
        self.retired.insert(member.clone(), offset);
    }

    fn state_mut(&mut self, member: &MemberKey) -> Result<&mut MemberState, MemberReject> {
        self.members
            .get_mut(member)
            .ok_or(MemberReject::UnknownMember)
    }
}
