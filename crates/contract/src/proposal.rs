//! What holders propose about their permits.

use std::collections::BTreeSet;

use pw_base::prelude::*;
use pw_member::prelude::*;
use serde::{Deserialize, Serialize};

/// Number of a holder's proposal within its incarnation, counted from 1.
pub type PermitRound = u64;

/// Proposal about permits.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum PermitProposal {
    /// The author keeps at most so many permits and wants so many.
    Hold {
        /// Number of the proposal; the fold takes each number at most once and in order.
        round: PermitRound,
        /// One for each account that changes.
        holds: Vec<PermitHold>,
    },
    /// The floor permits of a retired member are free again.
    Reclaim {
        /// The retired member.
        from: MemberKey,
        /// Workers that have proved to hold no lease of it and to grant it none.
        workers: BTreeSet<WorkerId>,
    },
}

/// What a holder keeps and wants of the permits of one account.
///
/// The author keeps to it before it proposes it, so a release takes effect when it is folded.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PermitHold {
    /// Account of the permits.
    pub account: AccountId,
    /// Most floor permits that the author keeps.
    pub keep_floor: u32,
    /// Most float permits that the author keeps.
    pub keep_float: u32,
    /// Floor permits that the author wants.
    pub want_floor: u32,
    /// Permits of both kinds that the author wants.
    pub want: u32,
}
