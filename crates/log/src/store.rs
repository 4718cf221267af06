//! Interface of the log service.

use std::time::Duration;

use futures_lite::future::BoxedLocal;
use pw_base::prelude::*;
use thiserror::Error;

/// Stored record with its offset.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogEntry {
    /// Offset of the record.
    pub offset: LogOffset,
    /// Encoded record.
    pub bytes: Vec<u8>,
}

/// Result of one read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogBatch {
    /// Stored records in order; the service may return fewer than it has.
    pub entries: Vec<LogEntry>,
    /// Offset after the last record in the log at the time of the response.
    pub end: LogOffset,
}

/// Error of a request to the log service.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum LogError {
    /// No complete response was received; an append may have taken effect.
    #[error("log service did not answer: {0}")]
    Unreachable(String),
    /// The service rejected the request; nothing was appended.
    #[error("log service refused: {0}")]
    Refused(String),
    /// Records at the requested offset are no longer retained.
    #[error("records before offset {first} are no longer kept")]
    Expired {
        /// Oldest offset that is retained.
        first: LogOffset,
    },
}

/// An append-only log with offsets.
pub trait LogStore {
    /// Appends an encoded record and returns its offset.
    fn append(&self, bytes: Vec<u8>) -> BoxedLocal<Result<LogOffset, LogError>>;

    /// Reads records starting at offset `from`; waits up to `wait` if there are none yet.
    fn read(&self, from: LogOffset, wait: Duration) -> BoxedLocal<Result<LogBatch, LogError>>;
}
