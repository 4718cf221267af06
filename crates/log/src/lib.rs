//! The platform's log as the only arbiter: records, their codec, and the fold over them.
//!
//! Every decision that needs agreement is a proposal appended to the log. Each instance folds
//! the same records in the same order and so accepts or rejects each proposal alike.

pub mod append;
pub mod codec;
pub mod delta;
pub mod fold;
pub mod reading;
pub mod record;
pub mod snapshot;
pub mod store;

/// The names that most users of this crate need.
pub mod prelude {
    pub use crate::append::{
        AppendBatcher, AppendCommand, AppendEvent, AppendSettings, FLEET_APPENDS_PER_SECOND,
    };
    pub use crate::codec::{CodecError, FORMAT_VERSION, decode_record, encode_record};
    pub use crate::delta::{FleetDelta, ListDelta, NamedSpec};
    pub use crate::fold::{FleetFold, FleetState, FoldOutcome, RejectReason};
    pub use crate::reading::{LogItem, LogReading, MalformedRecord};
    pub use crate::record::{
        ControlBatch, ControlProposal, FleetProposal, FleetUpdate, LogRecord, RecordBody,
    };
    pub use crate::snapshot::{
        FoldImage, SnapshotProposal, SnapshotPublisher, SnapshotReject, SnapshotSeeker,
        SnapshotSettings, SnapshotState,
    };
    pub use crate::store::{LogBatch, LogEntry, LogError, LogStore};
}
