//! Proposals about permits that members append to the log.

use std::collections::BTreeSet;

use pw_base::prelude::*;
use pw_member::prelude::*;
use serde::{Deserialize, Serialize};

/// Sequence number of a holder's proposal within its incarnation, starting at 1.
pub type PermitRound = u64;

/// Proposal about permits.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum PermitProposal {
    /// The author releases permits above a bound and requests permits.
    Hold {
        /// Number of the proposal; each number is applied at most once and in ascending order.
        round: PermitRound,
        /// Bounds and requests, one for each changed account.
        holds: Vec<PermitHold>,
    },
    /// The floor permits of a retired member can be reclaimed.
    Reclaim {
        /// The retired member.
        from: MemberKey,
        /// Workers that have confirmed that they hold no lease of the member and grant it none.
        workers: BTreeSet<WorkerId>,
    },
}

/// Bound and request of a holder for the permits of one account.
///
/// The author observes the bound before it proposes it, so a release takes effect when it is
/// applied.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PermitHold {
    /// Account of the permits.
    pub account: AccountId,
    /// Maximum number of floor permits that the author keeps.
    pub keep_floor: u32,
    /// Maximum number of float permits that the author keeps.
    pub keep_float: u32,
    /// Number of floor permits that the author wants.
    pub want_floor: u32,
    /// Number of permits of both kinds that the author wants.
    pub want: u32,
}
