//! A member of the fleet's control: one life of one entry instance.

use std::fmt;
use std::net::SocketAddr;

use pw_base::prelude::*;
use serde::{Deserialize, Serialize};
use strum::Display;

/// Identity of one life of an entry instance.
///
/// Two processes that use the same name differ in their process identity, and a process that was
/// retired and rejoins differs in its incarnation. So nobody can act for another life.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberKey {
    /// Name of the entry instance, for people.
    pub entry: EntryId,
    /// Random identity of the process.
    pub process: ProcessId,
    /// Which membership of the process it is.
    pub incarnation: Incarnation,
}

/// Where a member runs and how its peers reach it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberSpec {
    /// Availability zone that it runs in.
    pub zone: ZoneId,
    /// Address for its peers.
    pub address: SocketAddr,
    /// Newest record format that it reads.
    pub format: u8,
}

/// Proposal to change the membership.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum MemberProposal {
    /// The author joins.
    Join {
        /// Where it runs.
        spec: MemberSpec,
        /// Next offset that its author had read up to; a late repeat is told by it.
        seen: LogOffset,
    },
    /// The author missed the heartbeats of `member`.
    #[strum(to_string = "suspect {member}")]
    Suspect {
        /// The silent member.
        member: MemberKey,
    },
    /// The author is alive.
    Refute {
        /// Offset of the suspicion.
        suspicion: LogOffset,
    },
    /// The author has ended its tasks and leaves.
    Leave,
    /// The hold-down since the author's own reading of the suspicion has passed.
    #[strum(to_string = "retire {member}")]
    Retire {
        /// The silent member.
        member: MemberKey,
        /// Offset of the suspicion.
        suspicion: LogOffset,
    },
}

impl MemberKey {
    /// Returns the key of the process's next membership.
    pub fn next_incarnation(&self) -> Self {
        Self {
            incarnation: self.incarnation.saturating_add(1),
            ..self.clone()
        }
    }
}

impl fmt::Display for MemberKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            entry,
            process,
            incarnation,
        } = self;
        write!(f, "{entry}-{process:032x}-{incarnation}")
    }
}
