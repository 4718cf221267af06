//! The platform's log service as an interface.

use std::time::Duration;

use futures_lite::future::BoxedLocal;
use pw_base::prelude::*;
use thiserror::Error;

/// One stored record with its position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogEntry {
    /// Position of the record.
    pub offset: LogOffset,
    /// Encoded record.
    pub bytes: Vec<u8>,
}

/// What one read brought.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogBatch {
    /// Stored records in order; the service may leave out later ones.
    pub entries: Vec<LogEntry>,
    /// Position after the last record that the service held when it answered.
    pub end: LogOffset,
}

/// Why the log service did not do what was asked.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum LogError {
    /// No whole answer came; an append may have taken effect.
    #[error("log service did not answer: {0}")]
    Unreachable(String),
    /// The service refused; nothing was appended.
    #[error("log service refused: {0}")]
    Refused(String),
    /// Records from the asked position on are no longer kept.
    #[error("records before offset {first} are no longer kept")]
    Expired {
        /// Oldest position that is kept.
        first: LogOffset,
    },
}

/// An append-only log with offsets.
pub trait LogStore {
    /// Appends an encoded record and returns its position.
    fn append(&self, bytes: Vec<u8>) -> BoxedLocal<Result<LogOffset, LogError>>;

    /// Reads records from position `from` on; waits up to `wait` while there are none.
    fn read(&self, from: LogOffset, wait: Duration) -> BoxedLocal<Result<LogBatch, LogError>>;
}
