//! Jobs of several steps, with their tasks and runs.
//!
//! A [`JobSpec`](spec::JobSpec) describes a submitted job, a [`JobState`](state::JobState) the
//! progress of its tasks. Both are plain values whose transitions do no I/O. The [`image`] module
//! encodes them for storage.

pub mod image;
pub mod name;
pub mod spec;
pub mod state;

/// Commonly used items of this crate.
pub mod prelude {
    pub use crate::image::{
        ImageError, JobTerms, SubmissionRecord, decode_state, decode_submission, encode_state,
        encode_submission,
    };
    pub use crate::name::TaskName;
    pub use crate::spec::{JobSpec, MAX_OPEN_TASKS, SpecError, StepSpec};
    pub use crate::state::{
        CrashTally, JobState, JobStatus, OccurrenceState, RunEnd, TaskPhase, TaskPlacement,
        TaskPosition, TaskState,
    };
}
