//! Requests and responses between nodes, and their encoding.

use bincode::config::{self, Configuration, Limit, LittleEndian};
use pw_base::prelude::*;
use pw_control::prelude::*;
use pw_job::prelude::*;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Largest request or response in bytes.
pub const MAX_REQUEST_BYTES: usize = 256 * 1024;

/// Request of a node to the owner of a shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum NodeRequest {
    /// Return the status of a job.
    Status {
        /// Shard of the job's pool.
        shard: ShardNumber,
        /// The job.
        job: JobId,
        /// Client account of the caller; `None` on a public queue.
        account: Option<AccountId>,
    },
    /// Return the number of accepted jobs of a queue of which no task has started.
    Pending {
        /// Shard of the queue's pool.
        shard: ShardNumber,
        /// The queue.
        queue: QueueId,
    },
    /// Store a submission or a cancellation for a node whose calls the store rejects.
    Store {
        /// Shard of the job's pool.
        shard: ShardNumber,
        /// Key of the record.
        key: String,
        /// The record.
        value: Vec<u8>,
    },
    /// Return the load of the shard's pools.
    Survey {
        /// The shard.
        shard: ShardNumber,
        /// Epoch of the machine controller; the owner rejects an epoch lower than one it has seen.
        machine_epoch: OwnerEpoch,
        /// Request of the machine controller.
        order: SurveyOrder,
    },
    /// Return the status of a job, or that no submission of it precedes an offset.
    StatusBefore {
        /// Shard of the job's pool.
        shard: ShardNumber,
        /// The job.
        job: JobId,
        /// Client account of the caller; `None` on a public queue.
        account: Option<AccountId>,
        /// Offset in the submissions of the shard.
        offset: LogOffset,
    },
}

/// Response of a node to a [`NodeRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum NodeResponse {
    /// Status of the job.
    Status(JobStatus),
    /// The owner has read no submission of the job. One that was accepted recently may exist.
    UnknownJob,
    /// Number of pending jobs.
    Pending(u64),
    /// The record is stored.
    Stored,
    /// The record is not stored.
    NotStored,
    /// The record may be stored.
    MaybeStored,
    /// Load of the shard's pools and state of its workers.
    Survey(SurveyReport),
    /// The node does not own the shard.
    NotOwner,
    /// The job was forwarded to this shard.
    Moved(ShardNumber),
    /// The job belongs to another client account.
    HiddenJob,
    /// No submission of the job precedes the offset of the request.
    AbsentJob,
}

impl NodeRequest {
    /// Returns the shard whose owner the request is for.
    pub fn shard(&self) -> ShardNumber {
        match self {
            Self::Status { shard, .. }
            | Self::StatusBefore { shard, .. }
            | Self::Pending { shard, .. }
            | Self::Store { shard, .. }
            | Self::Survey { shard, .. } => *shard,
        }
    }
}

/// Encodes a message; `None` if it exceeds [`MAX_REQUEST_BYTES`].
pub fn encode_message<T: Serialize>(message: &T) -> Option<Vec<u8>> {
    bincode::serde::encode_to_vec(message, message_config()).ok()
}

/// Decodes a message; `None` if the bytes are malformed.
pub fn decode_message<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let (message, used) = bincode::serde::decode_from_slice(bytes, message_config()).ok()?;
    (used == bytes.len()).then_some(message)
}

fn message_config() -> Configuration<LittleEndian, config::Varint, Limit<MAX_REQUEST_BYTES>> {
    config::standard().with_limit::<MAX_REQUEST_BYTES>()
}
