//! Identity and proposals of a group member.

use std::fmt;
use std::net::SocketAddr;

use pw_base::prelude::*;
use serde::{Deserialize, Serialize};
use strum::Display;

/// Identity of one membership of an entry instance.
///
/// Processes with the same name differ in their process identity, and a process that rejoins after
/// its retirement has a new incarnation. No process can therefore act for another membership.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberKey {
    /// Human-readable name of the entry instance.
    pub entry: EntryId,
    /// Random identity of the process.
    pub process: ProcessId,
    /// Number of the membership within the process.
    pub incarnation: Incarnation,
}

/// Location and address of a member.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberSpec {
    /// Availability zone that the member runs in.
    pub zone: ZoneId,
    /// Address for its peers.
    pub address: SocketAddr,
    /// Newest record format that the member can read.
    pub format: u8,
}

/// Proposal to change the membership.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum MemberProposal {
    /// The author joins.
    Join {
        /// Location and address of the author.
        spec: MemberSpec,
        /// Next log offset of the author when it made the proposal; identifies late duplicates.
        seen: LogOffset,
    },
    /// The author has received no heartbeats from `member`.
    #[strum(to_string = "suspect {member}")]
    Suspect {
        /// Member whose heartbeats are missing.
        member: MemberKey,
    },
    /// The author is alive and refutes a suspicion.
    Refute {
        /// Log offset of the suspicion.
        suspicion: LogOffset,
    },
    /// The author has ended its tasks and leaves.
    Leave,
    /// The hold-down has passed since the author read the suspicion.
    #[strum(to_string = "retire {member}")]
    Retire {
        /// Member whose heartbeats are missing.
        member: MemberKey,
        /// Log offset of the suspicion.
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
