//! Questions between nodes: what they say and how they are encoded.

use bincode::config::{self, Configuration, Limit, LittleEndian};
use pw_base::prelude::*;
use pw_control::prelude::*;
use pw_job::prelude::*;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Largest question or answer in bytes.
pub const MAX_REQUEST_BYTES: usize = 256 * 1024;

/// What a node asks the owner of a shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum NodeRequest {
    /// The state of a job.
    Status {
        /// Shard of the job's pool.
        shard: ShardNumber,
        /// The job.
        job: JobId,
        /// Account of the caller; `None` on a queue open to all.
        account: Option<AccountId>,
    },
    /// Accepted jobs of a queue of which nothing has started.
    Pending {
        /// Shard of the queue's pool.
        shard: ShardNumber,
        /// The queue.
        queue: QueueId,
    },
    /// Store a submission or a cancellation for a node that the store turns away.
    Store {
        /// Shard of the job's pool.
        shard: ShardNumber,
        /// Key of the record.
        key: String,
        /// The record.
        value: Vec<u8>,
    },
    /// The work of the shard's pools.
    Survey {
        /// The shard.
        shard: ShardNumber,
        /// Epoch of the keeper; a later one has asked already where a higher epoch was heard.
        machine_epoch: OwnerEpoch,
        /// What the owner has to know.
        order: SurveyOrder,
    },
}

/// What the owner answers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum NodeResponse {
    /// State of the job.
    Status(JobStatus),
    /// There is no such job.
    UnknownJob,
    /// Number of pending jobs.
    Pending(u64),
    /// The record is in the store.
    Stored,
    /// The store did nothing.
    NotStored,
    /// The record may be in the store.
    MaybeStored,
    /// Work of the shard's pools and state of its workers.
    Survey(SurveyReport),
    /// The node does not own the shard.
    NotOwner,
}

impl NodeRequest {
    /// Returns the shard that is asked.
    pub fn shard(&self) -> ShardNumber {
        match self {
            Self::Status { shard, .. }
            | Self::Pending { shard, .. }
            | Self::Store { shard, .. }
            | Self::Survey { shard, .. } => *shard,
        }
    }
}

/// Encodes a question or an answer; `None` when it is larger than the bound.
pub fn encode_message<T: Serialize>(message: &T) -> Option<Vec<u8>> {
    bincode::serde::encode_to_vec(message, message_config()).ok()
}

/// Decodes a question or an answer; `None` when the bytes are none.
pub fn decode_message<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let (message, used) = bincode::serde::decode_from_slice(bytes, message_config()).ok()?;
    (used == bytes.len()).then_some(message)
}

fn message_config() -> Configuration<LittleEndian, config::Varint, Limit<MAX_REQUEST_BYTES>> {
    config::standard().with_limit::<MAX_REQUEST_BYTES>()
}
