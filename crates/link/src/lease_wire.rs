//! HTTP protocol of backend servers: paths, headers and JSON bodies.
//!
//! | Request | Response |
//! |---|---|
//! | `POST /v1/leases` with [`LeaseRequest`] | 201 with [`LeaseReply`]; 403 when the holder is fenced, or the request names another boot |
//! | `POST /v1/leases/{lease}/renewals` with [`RenewRequest`] | 200 with [`LeaseReply`]; 409 with [`LeaseReply`] when it names another renewal number; 410 when the lease has ended |
//! | `POST /v1/tasks` with the headers below | 200 with the task's answer; 412 when the lease has ended; 503 without a free slot; 410 when the task was stopped before it started or the request names a renewal older than the last two (412, 503 and 410 guarantee that the task did not run); 409 when the task id is already known; 500 when the task failed; 504 when it was stopped |
//! | | every response to a start, including refusals, carries the task id |
//! | `DELETE /v1/tasks/{task}` with the lease header | 200 with [`StopReply`]; 412 when the lease has ended and no task runs under it |
//! | `POST /v1/holders/{holder}/fence` | 200 with [`FenceReply`] |

use pw_base::prelude::*;
use serde::{Deserialize, Serialize};
use strum::Display;

/// Header of requests and responses with the id of a task.
pub const TASK_HEADER: &str = "Task-Id";
/// Header with the id of the lease under which a task is started.
pub const LEASE_HEADER: &str = "Lease-Id";
/// Header with the number of the lease's last renewal.
pub const RENEWAL_HEADER: &str = "Lease-Renewal";
/// Header with the timeout of a task's run, in milliseconds.
pub const RUN_TIMEOUT_HEADER: &str = "Run-Timeout-Ms";

/// Request for a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Name of the holder.
    pub holder: HolderId,
    /// Duration of the lease in milliseconds, on the worker's clock.
    pub ttl_ms: u64,
    /// Boot id that the worker must have, in hexadecimal digits; any boot when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub boot: Option<String>,
}

/// Request to renew a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewRequest {
    /// Number of the last renewal known to the holder.
    pub renewal: RenewalCount,
}

/// State of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseReply {
    /// Id of the lease, in hexadecimal digits.
    #[serde(with = "hex_id")]
    pub lease: LeaseId,
    /// Renewal number that the next renewal request must carry.
    pub renewal: RenewalCount,
    /// Duration of the lease in milliseconds, on the worker's clock.
    pub ttl_ms: u64,
    /// Boot id of the worker, in hexadecimal digits.
    #[serde(with = "hex_id")]
    pub boot: BootId,
}

/// Response to a request to stop a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopReply {
    /// State of the task.
    pub outcome: StopState,
}

/// State of a task after a stop request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum StopState {
    /// It has not started, and a later start will be refused.
    NeverStarted,
    /// It was running and has been stopped.
    Stopped,
    /// It had already ended.
    Finished,
}

/// Response to a request to fence a holder.
///
/// A worker fences only a holder without leases, so that no running task is stopped. A fenced
/// holder is granted no further leases.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FenceReply {
    /// Number of leases that the holder still has; 0 means that it is fenced.
    pub held_leases: u32,
}

/// Serialization of ids as 32 hexadecimal digits.
pub mod hex_id {
    use serde::{Deserialize, Deserializer, Serializer, de};

    /// Serializes an id.
    ///
    /// # Errors
    ///
    /// Fails when the serializer fails.
    pub fn serialize<S: Serializer>(id: &u128, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&format_args!("{id:032x}"))
    }

    /// Deserializes an id.
    ///
    /// # Errors
    ///
    /// Fails when the text is not a hexadecimal number of at most 32 digits.
    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u128, D::Error> {
        let text = String::deserialize(deserializer)?;
        u128::from_str_radix(&text, 16).map_err(de::Error::custom)
    }
}
