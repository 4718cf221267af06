//! A team as operators declare it.

use pw_base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::key::KeyDigest;

/// Declared team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamSpec {
    /// Name of the team.
    pub id: TeamId,
    /// Weight of the team when all is full.
    pub share: u32,
    /// Upper limit on its running tasks, fleet-wide.
    pub limit: u32,
    /// Keys that its submitters show.
    #[serde(default)]
    pub keys: Vec<KeySpec>,
}

/// Declared key of a team; only its digest is stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeySpec {
    /// Name of the key.
    pub id: KeyId,
    /// SHA-256 digest of the key.
    pub sha256: KeyDigest,
}
