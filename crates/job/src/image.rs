//! Stored images of submissions and job states: a format version, the CRC-32 of the body, and the
//! body in bincode.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use bincode::config::{self, Configuration, Limit, LittleEndian};
use indexmap::IndexSet;
use pw_base::prelude::*;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::spec::JobSpec;
use crate::state::{
    CrashTally, JobState, OccurrenceState, TaskPhase, TaskPlacement, TaskPosition, TaskState,
};

/// Format version of submissions.
const SUBMISSION_VERSION: u8 = 1;
/// Format version of the states of jobs whose tasks refer to shared placements.
const COMPACT_STATE_VERSION: u8 = 3;
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

/// A [`JobState`] in [`COMPACT_STATE_VERSION`].
#[derive(Serialize, Deserialize)]
struct CompactState<'a> {
    cancelled: bool,
    failed: bool,
    started: bool,
    opened: OccurrenceNumber,
    /// Placements that tasks refer to by their index.
    placements: IndexSet<Cow<'a, TaskPlacement>>,
    occurrences: Vec<CompactOccurrence>,
    crashes: Cow<'a, BTreeMap<TaskPosition, CrashTally>>,
}

#[derive(Serialize, Deserialize)]
struct CompactOccurrence {
    number: OccurrenceNumber,
    steps: Vec<Vec<CompactTask>>,
}

#[derive(Serialize, Deserialize)]
struct CompactTask {
    phase: CompactPhase,
    last_run: RunNumber,
    failures: u32,
    checkpoint: Option<Arc<str>>,
}

#[derive(Serialize, Deserialize)]
enum CompactPhase {
    Waiting,
    Placed(usize),
    Done,
}

impl<'a> CompactState<'a> {
    fn new(state: &'a JobState, checkpoints: Checkpoints) -> Self {
        let mut placements = IndexSet::new();
        let mut compact = |task: &'a TaskState| CompactTask {
            phase: match &task.phase {
                TaskPhase::Waiting => CompactPhase::Waiting,
                TaskPhase::Placed(placement) => {
                    let (index, _) = placements.insert_full(Cow::Borrowed(placement));
                    CompactPhase::Placed(index)
                }
                TaskPhase::Done => CompactPhase::Done,
            },
            last_run: task.last_run,
            failures: task.failures,
            checkpoint: match checkpoints {
                Checkpoints::Kept => task.checkpoint.clone(),
                Checkpoints::Dropped => None,
            },
        };
        let mut compact_step = |tasks: &'a Vec<TaskState>| tasks.iter().map(&mut compact).collect();
        let occurrences = state
            .occurrences
            .iter()
            .map(|occurrence| CompactOccurrence {
                number: occurrence.number,
                steps: occurrence.steps.iter().map(&mut compact_step).collect(),
            });
        let occurrences = occurrences.collect();
        Self {
            cancelled: state.cancelled,
            failed: state.failed,
            started: state.started,
            opened: state.opened,
            placements,
            occurrences,
            crashes: Cow::Borrowed(&state.crashes),
        }
    }

    /// Returns the state; fails if a task refers to a placement that does not exist.
    fn into_state(self) -> Result<JobState, ImageError> {
        let placements = self.placements;
        let task_from = |task: CompactTask| {
            let phase = match task.phase {
                CompactPhase::Waiting => TaskPhase::Waiting,
                CompactPhase::Placed(index) => {
                    let placement = placements.get_index(index);
                    let placement = placement.ok_or_else(|| {
                        ImageError::Malformed(format!("no placement has the index {index}"))
                    })?;
                    TaskPhase::Placed(placement.clone().into_owned())
                }
                CompactPhase::Done => TaskPhase::Done,
            };
            Ok(TaskState {
                phase,
                last_run: task.last_run,
                failures: task.failures,
                checkpoint: task.checkpoint,
            })
        };
        let step_from = |tasks: Vec<CompactTask>| tasks.into_iter().map(task_from).collect();
        let occurrences = self.occurrences.into_iter().map(|occurrence| {
            let steps = occurrence.steps.into_iter().map(step_from);
            Ok(OccurrenceState {
                number: occurrence.number,
                steps: steps.collect::<Result<_, ImageError>>()?,
            })
        });
        Ok(JobState {
            cancelled: self.cancelled,
            failed: self.failed,
            started: self.started,
            opened: self.opened,
            occurrences: occurrences.collect::<Result<_, ImageError>>()?,
            crashes: self.crashes.into_owned(),
        })
    }
}

/// Whether an image holds the checkpoints of the tasks.
#[derive(Clone, Copy)]
enum Checkpoints {
    Kept,
    Dropped,
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
    /// The image exceeds the maximum size.
    #[error("{0} bytes are too many")]
    TooLarge(usize),
}

/// Encodes a submission.
///
/// # Errors
///
/// Fails when the body exceeds the maximum size.
pub fn encode_submission(record: &SubmissionRecord) -> Result<Vec<u8>, ImageError> {
    encode(SUBMISSION_VERSION, record, MAX_IMAGE_BYTES)
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

/// Encodes the state of a job in at most `max_bytes`.
///
/// Builds that do not know crashes can read it unless it has any, and builds that do not know compact
/// states can unless it is too large for them to store: a job whose state can't be read would start
/// anew. A compact state that is still too large is encoded without checkpoints: if the job's owner is
/// lost, tasks whose runs are lost too resume from their start.
///
/// # Errors
///
/// Fails when no encoding has at most `max_bytes`.
pub fn encode_state(state: &JobState, max_bytes: usize) -> Result<Vec<u8>, ImageError> {
    let mut image = if state.crashes.is_empty() {
        let state = StateWithoutCrashes::from(state);
        encode(STATE_VERSION_WITHOUT_CRASHES, &state, max_bytes)
    } else {
        encode(STATE_VERSION, state, max_bytes)
    };
    for checkpoints in [Checkpoints::Kept, Checkpoints::Dropped] {
        if !matches!(image, Err(ImageError::TooLarge(_))) {
            break;
        }
        let state = CompactState::new(state, checkpoints);
        image = encode(COMPACT_STATE_VERSION, &state, max_bytes);
    }
    image
}

/// Decodes the state of a job.
///
/// # Errors
///
/// Fails on an unknown version, a wrong checksum and malformed bytes.
pub fn decode_state(bytes: &[u8]) -> Result<JobState, ImageError> {
    match split_version(bytes)? {
        (COMPACT_STATE_VERSION, rest) => decode::<CompactState<'_>>(rest)?.into_state(),
        (STATE_VERSION, rest) => decode(rest),
        (STATE_VERSION_WITHOUT_CRASHES, rest) => {
            decode::<StateWithoutCrashes<'_>>(rest).map(JobState::from)
        }
        (version, _) => Err(ImageError::UnknownVersion(version)),
    }
}

/// Encodes an image of at most `max_bytes` with its version and checksum.
fn encode<T: Serialize>(version: u8, value: &T, max_bytes: usize) -> Result<Vec<u8>, ImageError> {
    let body = bincode::serde::encode_to_vec(value, body_config())
        .map_err(|error| ImageError::Malformed(error.to_string()))?;
    let checksum = crc32fast::hash(&body).to_le_bytes();
    let image = [&[version], checksum.as_slice(), body.as_slice()].concat();
    if body.len() > MAX_IMAGE_BYTES || image.len() > max_bytes {
        return Err(ImageError::TooLarge(image.len()));
    }
    Ok(image)
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
