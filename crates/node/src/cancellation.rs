//! Records of cancellations.

use std::time::SystemTime;

use pw_base::prelude::*;

use crate::links::StoreEntry;
use crate::request::{decode_message, encode_message};

/// Suffix of the key under which a job's cancellation is stored.
pub const CANCEL_SUFFIX: &str = "/cancel";

/// First byte of a cancellation of all submissions, its only one.
const ALL_SUBMISSIONS: u8 = 1;
/// First byte of a cancellation of the submissions up to a time, which follows.
const EARLIER_SUBMISSIONS: u8 = 2;

/// Record of a job's cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancellationRecord {
    /// The job is cancelled, whenever its submission is stored.
    All,
    /// The caller was told that the job did not exist. Submissions that were accepted up to this time
    /// are cancelled.
    Earlier(SystemTime),
}

impl CancellationRecord {
    /// Returns the entry that stores the record.
    pub fn entry(self, job: &JobId) -> StoreEntry {
        let value = match self {
            Self::All => vec![ALL_SUBMISSIONS],
            Self::Earlier(time) => {
                let time = encode_message(&time).unwrap_or_default();
                [&[EARLIER_SUBMISSIONS], time.as_slice()].concat()
            }
        };
        StoreEntry {
            key: format!("{job}{CANCEL_SUFFIX}"),
            value,
        }
    }

    /// Decodes the value of an entry. One that can't be read cancels all submissions.
    pub fn decode(value: &[u8]) -> Self {
        match value.split_first() {
            Some((&EARLIER_SUBMISSIONS, time)) => {
                decode_message(time).map_or(Self::All, Self::Earlier)
            }
            _ => Self::All,
        }
    }
}
