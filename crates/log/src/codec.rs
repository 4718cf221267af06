//! Encoding of log records: a format version, the CRC-32 of the body, then the body in bincode.

use bincode::config::{self, Configuration, Limit, LittleEndian};
use thiserror::Error;

use crate::record::LogRecord;

/// Version of the record format that this build writes, and the newest that it reads.
pub const FORMAT_VERSION: u8 = 1;
/// Bytes of the checksum, little-endian.
const CHECKSUM_BYTES: usize = 4;
/// Largest record in bytes.
const MAX_RECORD_BYTES: usize = 4 * 1024 * 1024;

/// Why bytes are not a log record.
#[derive(Debug, Error)]
pub enum CodecError {
    /// The record was written by a newer or unknown build.
    #[error("record format version {0} is not known")]
    UnknownVersion(u8),
    /// The record is empty.
    #[error("record is empty")]
    Empty,
    /// The record is larger than the bound.
    #[error("record of {0} bytes is larger than {MAX_RECORD_BYTES} bytes")]
    TooLarge(usize),
    /// The record was damaged on its way or cut off.
    #[error("record does not match its checksum")]
    ChecksumMismatch,
    /// The bytes after the checksum are malformed.
    #[error("record is malformed: {0}")]
    Malformed(String),
}

/// Encodes a record.
///
/// # Errors
///
/// Fails when the record is larger than the bound.
pub fn encode_record(record: &LogRecord) -> Result<Vec<u8>, CodecError> {
    let body = bincode::serde::encode_to_vec(record, body_config())
        .map_err(|error| CodecError::Malformed(error.to_string()))?;
    if body.len() > MAX_RECORD_BYTES {
        return Err(CodecError::TooLarge(body.len()));
    }
    let checksum = crc32fast::hash(&body).to_le_bytes();
    Ok([&[FORMAT_VERSION], checksum.as_slice(), body.as_slice()].concat())
}

/// Decodes a record.
///
/// # Errors
///
/// Fails on an unknown version, a wrong checksum, malformed bytes and bytes left over.
pub fn decode_record(bytes: &[u8]) -> Result<LogRecord, CodecError> {
    let (version, rest) = bytes.split_first().ok_or(CodecError::Empty)?;
    if *version != FORMAT_VERSION {
        return Err(CodecError::UnknownVersion(*version));
    }
    let (checksum, body) = rest
        .split_first_chunk::<CHECKSUM_BYTES>()
        .ok_or(CodecError::ChecksumMismatch)?;
    if body.len() > MAX_RECORD_BYTES {
        return Err(CodecError::TooLarge(body.len()));
    }
    if crc32fast::hash(body).to_le_bytes() != *checksum {
        return Err(CodecError::ChecksumMismatch);
    }
    let (record, used) = bincode::serde::decode_from_slice(body, body_config())
        .map_err(|error| CodecError::Malformed(error.to_string()))?;
    if used == body.len() {
        Ok(record)
    } else {
        Err(CodecError::Malformed(format!(
            "{} bytes left over",
            body.len() - used
        )))
    }
}

fn body_config() -> Configuration<LittleEndian, config::Varint, Limit<MAX_RECORD_BYTES>> {
    config::standard().with_limit::<MAX_RECORD_BYTES>()
}
