//! Records of claims and releases of shards.

use std::time::Duration;

use indexmap::IndexMap;
use pw_base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::request::{decode_message, encode_message};

/// Record in the claims log of a shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimRecord {
    /// A node claims the shard; its epoch is the offset of this record plus one.
    Claim {
        /// Address of the node.
        member: String,
        /// Time of the claim in nanoseconds since the Unix epoch; distinguishes claims of one node.
        claimed_at: u128,
    },
    /// The owner has stopped sending orders.
    Release {
        /// Epoch of the owner.
        epoch: OwnerEpoch,
        /// Longest remaining time of each worker's lease.
        leases: IndexMap<WorkerId, Duration>,
    },
}

impl ClaimRecord {
    /// Encodes the record. One that exceeds the size limit becomes empty, which readers ignore.
    pub fn encode(&self) -> Vec<u8> {
        encode_message(self).unwrap_or_default()
    }

    /// Returns whether the bytes are a repeated append of this record.
    pub fn is_duplicate(&self, bytes: &[u8]) -> bool {
        decode_message::<Self>(bytes).is_some_and(|other| other == *self)
    }

    /// Returns whether the bytes are the release of an owner with an epoch lower than `epoch`.
    pub fn is_earlier_release(bytes: &[u8], epoch: OwnerEpoch) -> bool {
        let record = decode_message(bytes);
        record.is_some_and(
            |record| matches!(record, Self::Release { epoch: other, .. } if other < epoch),
        )
    }

    /// Returns the leases in the release of the previous owner, if no other node claimed the shard
    /// between that owner's claim and the one at the offset `claim`.
    ///
    /// `records` start at the offset before `claim`. The previous owner claimed at the offset
    /// `epoch - 1`. It released the shard either directly before this claim, or after it had read
    /// this claim; in the latter case its own claim is the record before this one.
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
