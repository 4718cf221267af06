//! The protocol of backend servers: paths, headers and JSON bodies over HTTP.
//!
//! | Request | Answer |
//! |---|---|
//! | `POST /v1/leases` with [`LeaseRequest`] | 201 with [`LeaseReply`]; 403 when the holder is fenced, or the request names another boot |
//! | `POST /v1/leases/{lease}/renewals` with [`RenewRequest`] | 200 with [`LeaseReply`]; 409 with [`LeaseReply`] when it names another renewal; 410 when the lease has ended |
//! | `POST /v1/tasks` with the headers below | 200 with the answer; 412 when the lease has ended; 503 without a free slot; 410 when it was stopped before or names a renewal before the last two; all of these but the first certainly not run; 409 when the identity is known; 500 when it failed; 504 when it was stopped |
//! | | each answer to a start carries the task's identity, refusals too |
//! | `DELETE /v1/tasks/{task}` with the lease header | 200 with [`StopReply`]; 412 when the lease has ended and nothing runs under it |
//! | `POST /v1/holders/{holder}/fence` | 200 with [`FenceReply`] |

use pw_base::prelude::*;
use serde::{Deserialize, Serialize};
use strum::Display;

/// Header that carries the identity of a task, in both directions.
pub const TASK_HEADER: &str = "Task-Id";
/// Header that carries the identity of the lease that a task is started under.
pub const LEASE_HEADER: &str = "Lease-Id";
/// Header that carries the number of that lease's last renewal.
pub const RENEWAL_HEADER: &str = "Lease-Renewal";
/// Header that carries the longest time that a task may run, in milliseconds.
pub const RUN_TIMEOUT_HEADER: &str = "Run-Timeout-Ms";

/// Asks for a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Name of the holder.
    pub holder: HolderId,
    /// Length in milliseconds, on the worker's clock.
    pub ttl_ms: u64,
    /// Boot that is to grant it, in hexadecimal digits; any one when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub boot: Option<String>,
}

/// Asks for a renewal of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewRequest {
    /// Number of the last renewal that the holder knows.
    pub renewal: RenewalCount,
}

/// State of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseReply {
    /// Identity in hexadecimal digits.
    #[serde(with = "hex_id")]
    pub lease: LeaseId,
    /// Number that the next renewal must name.
    pub renewal: RenewalCount,
    /// Length in milliseconds, on the worker's clock.
    pub ttl_ms: u64,
    /// Boot of the worker in hexadecimal digits.
    #[serde(with = "hex_id")]
    pub boot: BootId,
}

/// What became of a task that was to be stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopReply {
    /// What became of it.
    pub outcome: StopState,
}

/// State of a task after the request to stop it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum StopState {
    /// It has not started, and a late start will be refused.
    NeverStarted,
    /// It ran and was stopped.
    Stopped,
    /// It had ended before.
    Finished,
}

/// What a worker says to the request to fence a holder.
///
/// A worker fences only a holder without leases, so that nothing that runs is cut off. It grants
/// no further lease to a holder that was fenced.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FenceReply {
    /// Leases of the holder that still run; 0 proves that it is fenced.
    pub held_leases: u32,
}

/// Identities as 32 hexadecimal digits.
pub mod hex_id {
    use serde::{Deserialize, Deserializer, Serializer, de};

    /// Writes an identity.
    ///
    /// # Errors
    ///
    /// Fails when the serializer fails.
    pub fn serialize<S: Serializer>(id: &u128, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&format_args!("{id:032x}"))
    }

    /// Reads an identity.
    ///
    /// # Errors
    ///
    /// Fails when the text is not a hexadecimal number of at most 32 digits.
    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u128, D::Error> {
        let text = String::deserialize(deserializer)?;
        u128::from_str_radix(&text, 16).map_err(de::Error::custom)
    }
}
