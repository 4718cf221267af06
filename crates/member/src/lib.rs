//! Group membership of entry instances, coordinated through the platform's log.
//!
//! A member joins by appending a record. A peer that misses its heartbeats appends a suspicion. The
//! member refutes the suspicion with a record of its own, or is retired after a hold-down.
//! Proposals of a retired member are rejected, and its process rejoins with a new incarnation.

pub mod ledger;
pub mod member;
pub mod monitor;

/// The names that most users of this crate need.
pub mod prelude {
    pub use crate::ledger::{MemberLedger, MemberReject, MemberState};
    pub use crate::member::{MemberKey, MemberProposal, MemberSpec};
    pub use crate::monitor::{MemberCommand, MemberEvent, MemberMonitor, MemberSettings};
}
