//! Log records, their codec, and the deterministic fold that derives the state of the fleet.
//!
//! Every decision that needs consensus is a proposal appended to the log service. Each instance
//! applies the same records in the same order, so all accept and reject the same proposals.

pub mod append;
pub mod codec;
pub mod delta;
pub mod fold;
pub mod reading;
pub mod record;
pub mod snapshot;
pub mod store;

/// Commonly used items of this crate.
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
