//! Stored images of submissions and job states: a format version, the CRC-32 of the body, and the
//! body in bincode.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::time::{Duration, SystemTime};

use bincode::config::{self, Configuration, Limit, LittleEndian};
use pw_base::prelude::*;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::spec::JobSpec;
use crate::state::{JobState, OccurrenceState};

/// Format version of submissions.
const SUBMISSION_VERSION: u8 = 1;
/// Format version of the states of jobs.
const STATE_VERSION: u8 = 2;
/// Format version of the states of jobs without the crashes of workers.
const STATE_VERSION_WITHOUT_CRASHES: u8 = 1;
/// Size of the checksum, which is little-endian.
const CHECKSUM_BYTES: usize = 4;
/// Maximum size of the body of an image.
const MAX_IMAGE_BYTES: usize = 1024 * 1024;

/// A submission, stored before its acceptance is reported to the caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmissionRecord {
    /// Queue that it was submitted to.
    pub queue: QueueId,
    /// Pool whose workers run it.
    pub pool: PoolId,
    /// Client account that it is charged to; `None` on a public queue.
    pub account: Option<AccountId>,
    /// When a node accepted it.
    pub accepted: SystemTime,
    /// Rules of the queue at that time, for an owner whose configuration lacks the queue.
    pub terms: JobTerms,
    /// What was submitted.
    pub spec: JobSpec,
}

/// Rules under which a job was accepted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobTerms {
    /// Failed runs after which a task fails.
    pub attempts: u32,
    /// Priority of the queue; 0 is the highest.
    pub priority: u32,
    /// Time from acceptance to the completion objective.
    pub objective: Duration,
}

/// A [`JobState`] in [`STATE_VERSION_WITHOUT_CRASHES`].
#[derive(Serialize, Deserialize)]
struct StateWithoutCrashes<'a> {
    cancelled: bool,
    failed: bool,
    started: bool,
    opened: OccurrenceNumber,
    occurrences: Cow<'a, [OccurrenceState]>,
}

impl<'a> From<&'a JobState> for StateWithoutCrashes<'a> {
    fn from(state: &'a JobState) -> Self {
        Self {
            cancelled: state.cancelled,
            failed: state.failed,
            started: state.started,
            opened: state.opened,
            occurrences: Cow::Borrowed(&state.occurrences),
        }
    }
}

impl From<StateWithoutCrashes<'_>> for JobState {
    fn from(state: StateWithoutCrashes<'_>) -> Self {
        Self {
            cancelled: state.cancelled,
            failed: state.failed,
            started: state.started,
            opened: state.opened,
            occurrences: state.occurrences.into_owned(),
            crashes: BTreeMap::new(),
        }
    }
}

/// Error of encoding or decoding an image.
#[derive(Debug, Error)]
pub enum ImageError {
    /// The format version is unknown, such as one of a newer build.
    #[error("unknown format version {0}")]
    UnknownVersion(u8),
    /// The image is truncated or corrupt.
    #[error("checksum mismatch")]
    Damaged,
    /// The body is malformed.
    #[error("malformed body: {0}")]
    Malformed(String),
}

/// Encodes a submission.
///
/// # Errors
///
/// Fails when the body exceeds the maximum size.
pub fn encode_submission(record: &SubmissionRecord) -> Result<Vec<u8>, ImageError> {
    encode(SUBMISSION_VERSION, record)
}

/// Decodes a submission.
///
/// # Errors
///
/// Fails on an unknown version, a wrong checksum and malformed bytes.
pub fn decode_submission(bytes: &[u8]) -> Result<SubmissionRecord, ImageError> {
    match split_version(bytes)? {
        (SUBMISSION_VERSION, rest) => decode(rest),
        (version, _) => Err(ImageError::UnknownVersion(version)),
    }
}

/// Encodes the state of a job. Builds that do not know crashes can read it unless it has any: a job
/// whose state can't be read would start anew.
///
/// # Errors
///
/// Fails when the body exceeds the maximum size.
pub fn encode_state(state: &JobState) -> Result<Vec<u8>, ImageError> {
    if state.crashes.is_empty() {
        let state = StateWithoutCrashes::from(state);
        return encode(STATE_VERSION_WITHOUT_CRASHES, &state);
    }
    encode(STATE_VERSION, state)
}

/// Decodes the state of a job.
///
/// # Errors
///
/// Fails on an unknown version, a wrong checksum and malformed bytes.
pub fn decode_state(bytes: &[u8]) -> Result<JobState, ImageError> {
    match split_version(bytes)? {
        (STATE_VERSION, rest) => decode(rest),
        (STATE_VERSION_WITHOUT_CRASHES, rest) => {
            decode::<StateWithoutCrashes<'_>>(rest).map(JobState::from)
        }
        (version, _) => Err(ImageError::UnknownVersion(version)),
    }
}

fn encode<T: Serialize>(version: u8, value: &T) -> Result<Vec<u8>, ImageError> {
    let body = bincode::serde::encode_to_vec(value, body_config())
        .map_err(|error| ImageError::Malformed(error.to_string()))?;
    if body.len() > MAX_IMAGE_BYTES {
        return Err(ImageError::Malformed(format!("{} bytes", body.len())));
    }
    let checksum = crc32fast::hash(&body).to_le_bytes();
    Ok([&[version], checksum.as_slice(), body.as_slice()].concat())
}

fn split_version(bytes: &[u8]) -> Result<(u8, &[u8]), ImageError> {
    let (version, rest) = bytes.split_first().ok_or(ImageError::Damaged)?;
    Ok((*version, rest))
}

/// Decodes what follows the format version.
fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, ImageError> {
    let (checksum, body) = bytes
        .split_first_chunk::<CHECKSUM_BYTES>()
        .ok_or(ImageError::Damaged)?;
    if crc32fast::hash(body).to_le_bytes() != *checksum {
        return Err(ImageError::Damaged);
    }
    let (value, used) = bincode::serde::decode_from_slice(body, body_config())
        .map_err(|error| ImageError::Malformed(error.to_string()))?;
    if used != body.len() {
        let left = body.len() - used;
        return Err(ImageError::Malformed(format!("{left} trailing bytes")));
    }
    Ok(value)
}

fn body_config() -> Configuration<LittleEndian, config::Varint, Limit<MAX_IMAGE_BYTES>> {
    config::standard().with_limit::<MAX_IMAGE_BYTES>()
}
