//! Encoding of log records: a format version, the CRC-32 of the body, and the body in bincode.

use bincode::config::{self, Configuration, Limit, LittleEndian};
use thiserror::Error;

use crate::record::LogRecord;

/// Version of the record format that this build writes, and the only one that it reads.
pub const FORMAT_VERSION: u8 = 1;
/// Size of the little-endian checksum in bytes.
const CHECKSUM_BYTES: usize = 4;
/// Maximum size of an encoded record body in bytes.
const MAX_RECORD_BYTES: usize = 4 * 1024 * 1024;

/// Error of encoding or decoding a log record.
#[derive(Debug, Error)]
pub enum CodecError {
    /// The record has a format version that this build does not support.
    #[error("record format version {0} is not known")]
    UnknownVersion(u8),
    /// The record is empty.
    #[error("record is empty")]
    Empty,
    /// The record exceeds the maximum size.
    #[error("record of {0} bytes is larger than {MAX_RECORD_BYTES} bytes")]
    TooLarge(usize),
    /// The record is truncated or its checksum does not match.
    #[error("record does not match its checksum")]
    ChecksumMismatch,
    /// The body can't be encoded or decoded.
    #[error("record is malformed: {0}")]
    Malformed(String),
}

/// Encodes a record.
///
/// # Errors
///
/// Fails if the record exceeds the maximum size or can't be encoded.
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
/// Fails on an unknown format version, a wrong checksum, a malformed body or trailing bytes.
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
    let (record, consumed) = bincode::serde::decode_from_slice(body, body_config())
        .map_err(|error| CodecError::Malformed(error.to_string()))?;
    if consumed == body.len() {
        Ok(record)
    } else {
        Err(CodecError::Malformed(format!(
            "{} trailing bytes",
            body.len() - consumed
        )))
    }
}

fn body_config() -> Configuration<LittleEndian, config::Varint, Limit<MAX_RECORD_BYTES>> {
    config::standard().with_limit::<MAX_RECORD_BYTES>()
}
