//! Records in which nodes take shards over and release them.

use std::time::Duration;

use indexmap::IndexMap;
use pw_base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::request::{decode_message, encode_message};

/// Record in the claims of a shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimRecord {
    /// A node takes the shard over; the epoch is one more than the record's offset.
    Claim {
        /// Name of the node.
        member: String,
        /// When the node took it, in nanoseconds since 1970; tells its claims from each other.
        claimed_at: u128,
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
    pub fn is_duplicate(&self, bytes: &[u8]) -> bool {
        decode_message::<Self>(bytes).is_some_and(|other| other == *self)
    }

    /// Returns whether the bytes are the release of an owner before the one with `epoch`.
    pub fn is_earlier_release(bytes: &[u8], epoch: OwnerEpoch) -> bool {
        let record = decode_message(bytes);
        record.is_some_and(
            |record| matches!(record, Self::Release { epoch: other, .. } if other < epoch),
        )
    }

    /// Returns the leases that the owner before left behind, where nobody else claimed the shard
    /// between its claim and the one at the offset `claim`.
    ///
    /// `records` are those from the offset before `claim` on. The owner before claimed at the offset
    /// `epoch - 1`. It released the shard just before this claim, or when it had seen it; in the latter
    /// case its own claim is the record before this one.
    pub fn released_leases<'a>(
        records: impl IntoIterator<Item = &'a [u8]>,
        claim: LogOffset,
    ) -> Option<IndexMap<WorkerId, Duration>> {
        let mut records = records.into_iter();
        match decode_message(records.next()?)? {
            Self::Release { epoch, leases } => (epoch + 1 == claim).then_some(leases),
            Self::Claim { .. } => records.find_map(|bytes| match decode_message(bytes)? {
                Self::Release { epoch, leases } if epoch == claim => Some(leases),
                _ => None,
            }),
        }
    }
}
