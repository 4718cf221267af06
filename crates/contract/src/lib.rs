//! Permits that enforce the upper limit of each account across the fleet.
//!
//! An entry instance needs a permit that it holds to start a task of an account. The permits of all
//! entry instances together never exceed the account's upper limit.
//! [`PermitLedger`](prelude::PermitLedger) is the state, derived from the log, of which member
//! holds which permits. [`PermitHolder`](prelude::PermitHolder) uses, requests and releases the
//! permits of one member.

mod account_use;
pub mod even_split;
pub mod gate;
pub mod holder;
pub mod ledger;
pub mod limit;
pub mod proposal;
pub mod reclaim;

/// The names that most users of this crate need.
pub mod prelude {
    pub use crate::even_split::EvenSplit;
    pub use crate::gate::{PermitGate, PermitKind, TaskPermit};
    pub use crate::holder::{HolderSettings, PermitHolder};
    pub use crate::ledger::{PermitGrant, PermitLedger, PermitReject};
    pub use crate::limit::{FLOAT_VALIDITY, LimitTable, ZoneFloor, hold_down};
    pub use crate::proposal::{PermitHold, PermitProposal, PermitRound};
    pub use crate::reclaim::{PermitReclaimer, ReclaimCommand, ReclaimEvent};
}
