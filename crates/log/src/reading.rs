//! What one read of the log brought.

use std::sync::Arc;
use std::time::Instant;

use pw_base::prelude::*;

use crate::codec::{CodecError, decode_record};
use crate::record::LogRecord;
use crate::snapshot::FoldImage;
use crate::store::{LogBatch, LogEntry};

/// Records that one read of the log brought, possibly none.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogReading {
    /// When the read was sent to the log; `None` for records that a peer passed on.
    pub sent_at: Option<Instant>,
    /// Image to start from in place of the records before it, when the log no longer has them.
    pub image: Option<Arc<FoldImage>>,
    /// First position that was read.
    pub from: LogOffset,
    /// The records with their positions; malformed ones are left out.
    pub items: Vec<(LogOffset, LogItem)>,
    /// Position after the last record that was read.
    pub next_offset: LogOffset,
    /// Position after the last record that the log held when it answered.
    pub end: LogOffset,
}

/// One record of a reading.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LogItem {
    /// A record that this build reads.
    Record(Arc<LogRecord>),
    /// A record of a format that this build does not read.
    Unsupported {
        /// Version of the format.
        version: u8,
    },
}

/// A record that changes nothing because its bytes are not one.
#[derive(Debug)]
pub struct MalformedRecord {
    /// Its position.
    pub offset: LogOffset,
    /// What is wrong with it.
    pub error: CodecError,
}

impl LogReading {
    /// Decodes what a read from position `from` brought; returns the malformed records apart.
    ///
    /// Every build finds the same records malformed, so leaving them out keeps the folds equal.
    pub fn decode(
        sent_at: Option<Instant>,
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
            sent_at,
            image: None,
            from,
            items,
            next_offset,
            end: batch.end.max(next_offset),
        };
        (reading, malformed)
    }

    /// Returns a reading that starts every fold from `image`; it proves nothing about freshness.
    pub fn from_image(image: Arc<FoldImage>) -> Self {
        let next_offset = image.next_offset();
        Self {
            sent_at: None,
            image: Some(image),
            from: next_offset,
            items: Vec::new(),
            next_offset,
            end: next_offset,
        }
    }

    /// Returns when the read was sent if it brought all that the log held then.
    pub fn fresh_at(&self) -> Option<Instant> {
        self.sent_at.filter(|_| self.next_offset >= self.end)
    }
}

fn decode_item(entry: &LogEntry) -> Result<LogItem, CodecError> {
    match decode_record(&entry.bytes) {
        Ok(record) => Ok(LogItem::Record(Arc::new(record))),
        Err(CodecError::UnknownVersion(version)) => Ok(LogItem::Unsupported { version }),
        Err(error) => Err(error),
    }
}
