//! Decoded result of one read of the log.

use std::sync::Arc;
use std::time::Instant;

use pw_base::prelude::*;

use crate::codec::{CodecError, decode_record};
use crate::record::LogRecord;
use crate::snapshot::FoldImage;
use crate::store::{LogBatch, LogEntry};

/// Decoded result of one read of the log; may hold no records.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogReading {
    /// When the read request was sent to the log; `None` for relayed records and restored images.
    pub requested_at: Option<Instant>,
    /// Image that replaces the records before `from`, if the log no longer retains them.
    pub image: Option<Arc<FoldImage>>,
    /// Offset at which the read started.
    pub from: LogOffset,
    /// Records with their offsets, without malformed ones.
    pub items: Vec<(LogOffset, LogItem)>,
    /// Offset after the last record that was read.
    pub next_offset: LogOffset,
    /// Offset after the last record in the log at the time of the response.
    pub end: LogOffset,
}

/// One record of a [`LogReading`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LogItem {
    /// A record in the format that this build supports.
    Record(Arc<LogRecord>),
    /// A record in a format that this build does not support.
    Unsupported {
        /// Format version of the record.
        version: u8,
    },
}

/// Undecodable record, which every fold ignores.
#[derive(Debug)]
pub struct MalformedRecord {
    /// Offset of the record.
    pub offset: LogOffset,
    /// Why the record can't be decoded.
    pub error: CodecError,
}

impl LogReading {
    /// Decodes the result of a read from offset `from`, and returns malformed records separately.
    ///
    /// Every build treats the same records as malformed, so leaving them out keeps the folds
    /// identical.
    pub fn decode(
        requested_at: Option<Instant>,
        from: LogOffset,
        batch: &LogBatch,
    ) -> (Self, Vec<MalformedRecord>) {
        let next_offset = batch.entries.last().map_or(from, |entry| entry.offset + 1);
        let mut items = Vec::new();
        let mut malformed = Vec::new();
        for entry in &batch.entries {
            let offset = entry.offset;
            match decode_item(entry) {
                Ok(item) => items.push((offset, item)),
                Err(error) => malformed.push(MalformedRecord { offset, error }),
            }
        }
        let reading = Self {
            requested_at,
            image: None,
            from,
            items,
            next_offset,
            end: batch.end.max(next_offset),
        };
        (reading, malformed)
    }

    /// Creates a reading that restores a fold from `image`; it does not prove freshness.
    pub fn from_image(image: Arc<FoldImage>) -> Self {
        let next_offset = image.next_offset();
        Self {
            requested_at: None,
            image: Some(image),
            from: next_offset,
            items: Vec::new(),
            next_offset,
            end: next_offset,
        }
    }

    /// Returns when the read request was sent, if the result reaches the end of the log.
    pub fn fresh_at(&self) -> Option<Instant> {
        self.requested_at.filter(|_| self.next_offset >= self.end)
    }
}

fn decode_item(entry: &LogEntry) -> Result<LogItem, CodecError> {
    match decode_record(&entry.bytes) {
        Ok(record) => Ok(LogItem::Record(Arc::new(record))),
        Err(CodecError::UnknownVersion(version)) => Ok(LogItem::Unsupported { version }),
        Err(error) => Err(error),
    }
}
