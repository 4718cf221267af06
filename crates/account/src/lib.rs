//! Accounts: customers with keys, a share for when all is full, and an upper limit.

pub mod key;
pub mod share;
pub mod spec;

/// The names that most users of this crate need.
pub mod prelude {
    pub use crate::key::{KeyDigest, digest_key};
    pub use crate::share::{AccountService, ShareAccount, ShareSettings, ShareTracker};
    pub use crate::spec::{AccountSpec, KeySpec};
}
