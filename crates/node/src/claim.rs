//! Records in which nodes take shards over and release them.

use std::time::Duration;

use indexmap::IndexMap;
use pw_base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::question::{decode_message, encode_message};

/// Record in the claims of a shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimRecord {
    /// A node takes the shard over; the epoch is one more than the record's offset.
    Claim {
        /// Name of the node.
        member: String,
        /// When the node took it, in nanoseconds since 1970; tells its claims from each other.
        taken: u128,
    },
    /// The owner has stopped giving orders.
    Release {
        /// Epoch of the owner.
        epoch: OwnerEpoch,
        /// How long the leases on workers last at most.
        leases: IndexMap<WorkerId, Duration>,
    },
}

impl ClaimRecord {
    /// Encodes the record; empty when it is larger than the bound, so that it says nothing.
    pub fn encode(&self) -> Vec<u8> {
        encode_message(self).unwrap_or_default()
    }

    /// Returns whether the bytes are this very claim, carried out once more.
    pub fn is_repeated_by(&self, bytes: &[u8]) -> bool {
        decode_message::<Self>(bytes).is_some_and(|other| other == *self)
    }

    /// Returns the leases that the owner before left behind, if the record at the offset before
    /// `claim` is its release and nobody else claimed the shard since it did.
    pub fn released_leases(bytes: &[u8], claim: LogOffset) -> Option<IndexMap<WorkerId, Duration>> {
        match decode_message(bytes)? {
            // The release follows its owner's claim at once, and the new claim follows the release.
            Self::Release { epoch, leases } if claim == epoch + 1 => Some(leases),
            _ => None,
        }
    }
}
