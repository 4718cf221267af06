//! Stored forms of submissions and states: a format version, the CRC-32 of the body, the body in
//! bincode.

use std::time::{Duration, SystemTime};

use bincode::config::{self, Configuration, Limit, LittleEndian};
use pw_base::prelude::*;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::spec::JobSpec;
use crate::state::JobState;

/// Version of the stored forms that this build writes.
pub const IMAGE_VERSION: u8 = 1;
/// Bytes of the checksum, little-endian.
const CHECKSUM_BYTES: usize = 4;
/// Largest stored form in bytes.
const MAX_IMAGE_BYTES: usize = 1024 * 1024;

/// A submission as it is stored before its caller hears that it was accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmissionRecord {
    /// Queue that it came through.
    pub queue: QueueId,
    /// Pool whose workers run it.
    pub pool: PoolId,
    /// Client account that it is counted for; `None` on a queue open to all.
    pub account: Option<AccountId>,
    /// When a node took it.
    pub accepted: SystemTime,
    /// Rules of the queue at that time, for an owner that does not know the queue.
    pub terms: JobTerms,
    /// What was submitted.
    pub spec: JobSpec,
}

/// Rules under which a job was accepted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobTerms {
    /// Failed runs after which a task is given up.
    pub attempts: u32,
    /// Rank of the queue; 0 goes first.
    pub priority: u32,
    /// Time from the acceptance to the objective.
    pub objective: Duration,
}

/// Why bytes are not a stored form.
#[derive(Debug, Error)]
pub enum ImageError {
    /// It was written by a newer or unknown build.
    #[error("format version {0} is not known")]
    UnknownVersion(u8),
    /// It is cut off or damaged.
    #[error("it does not match its checksum")]
    Damaged,
    /// The body is malformed.
    #[error("it is malformed: {0}")]
    Malformed(String),
}

/// Encodes a submission.
///
/// # Errors
///
/// Fails when it is larger than the bound.
pub fn encode_submission(record: &SubmissionRecord) -> Result<Vec<u8>, ImageError> {
    encode(record)
}

/// Decodes a submission.
///
/// # Errors
///
/// Fails on an unknown version, a wrong checksum and malformed bytes.
pub fn decode_submission(bytes: &[u8]) -> Result<SubmissionRecord, ImageError> {
    decode(bytes)
}

/// Encodes the state of a job.
///
/// # Errors
///
/// Fails when it is larger than the bound.
pub fn encode_state(state: &JobState) -> Result<Vec<u8>, ImageError> {
    encode(state)
}

/// Decodes the state of a job.
///
/// # Errors
///
/// Fails on an unknown version, a wrong checksum and malformed bytes.
pub fn decode_state(bytes: &[u8]) -> Result<JobState, ImageError> {
    decode(bytes)
}

fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, ImageError> {
    let body = bincode::serde::encode_to_vec(value, body_config())
        .map_err(|error| ImageError::Malformed(error.to_string()))?;
    if body.len() > MAX_IMAGE_BYTES {
        return Err(ImageError::Malformed(format!("{} bytes", body.len())));
    }
    let checksum = crc32fast::hash(&body).to_le_bytes();
    Ok([&[IMAGE_VERSION], checksum.as_slice(), body.as_slice()].concat())
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, ImageError> {
    let (version, rest) = bytes.split_first().ok_or(ImageError::Damaged)?;
    if *version != IMAGE_VERSION {
        return Err(ImageError::UnknownVersion(*version));
    }
    let (checksum, body) = rest
        .split_first_chunk::<CHECKSUM_BYTES>()
        .ok_or(ImageError::Damaged)?;
    if crc32fast::hash(body).to_le_bytes() != *checksum {
        return Err(ImageError::Damaged);
    }
    let (value, used) = bincode::serde::decode_from_slice(body, body_config())
        .map_err(|error| ImageError::Malformed(error.to_string()))?;
    if used != body.len() {
        let left = body.len() - used;
        return Err(ImageError::Malformed(format!("{left} bytes left over")));
    }
    Ok(value)
}

fn body_config() -> Configuration<LittleEndian, config::Varint, Limit<MAX_IMAGE_BYTES>> {
    config::standard().with_limit::<MAX_IMAGE_BYTES>()
}
