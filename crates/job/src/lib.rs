//! Jobs of several steps, their tasks and the runs of these.
//!
//! A [`JobSpec`](spec::JobSpec) is what a caller submitted, a [`JobState`](state::JobState) how far
//! its tasks are. Both are plain values: transitions take what happened and say what follows. Their
//! stored forms are in [`image`].

pub mod image;
pub mod name;
pub mod spec;
pub mod state;

/// The names that most users of this crate need.
pub mod prelude {
    pub use crate::image::{
        ImageError, JobTerms, SubmissionRecord, decode_state, decode_submission, encode_state,
        encode_submission,
    };
    pub use crate::name::TaskName;
    pub use crate::spec::{JobSpec, SpecError, StepSpec};
    pub use crate::state::{
        JobState, JobStatus, OccurrenceState, RunEnd, TaskPhase, TaskPlacement, TaskState,
    };
}
