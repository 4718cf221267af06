//! Membership of entry instances, agreed through the platform's log.
//!
//! A member joins with a record. Whoever misses its heartbeats appends a suspicion; the member
//! refutes it with a record of its own, or is retired after a hold-down. A retired member can't
//! act any more: its process rejoins with a new incarnation.

pub mod ledger;
pub mod member;
pub mod monitor;

/// The names that most users of this crate need.
pub mod prelude {
    pub use crate::ledger::{MemberLedger, MemberReject, MemberState};
    pub use crate::member::{MemberKey, MemberProposal, MemberSpec};
    pub use crate::monitor::{MemberCommand, MemberEvent, MemberMonitor, MemberSettings};
}
