//! Accounts: customers with keys, a share of contended pools, and an upper limit on running tasks.

pub mod key;
pub mod share;
pub mod spec;

/// The names that most users of this crate need.
pub mod prelude {
    pub use crate::key::{KeyDigest, digest_key};
    pub use crate::share::{AccountService, ShareAccount, ShareSettings, ShareTracker};
    pub use crate::spec::{AccountSpec, KeySpec};
}
