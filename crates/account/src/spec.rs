//! Declaration of an account in the fleet configuration.

use pw_base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::key::KeyDigest;

/// Declared account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountSpec {
    /// Name of the account.
    pub id: AccountId,
    /// Weight of the account when a pool has no free slots.
    pub share: u32,
    /// Maximum number of its running tasks across the fleet.
    pub limit: u32,
    /// Keys that authenticate its callers.
    #[serde(default)]
    pub keys: Vec<KeySpec>,
}

/// Declared key of an account; only its digest is stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeySpec {
    /// Name of the key.
    pub id: KeyId,
    /// SHA-256 digest of the key.
    pub sha256: KeyDigest,
}
