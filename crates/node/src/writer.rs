//! Writes submissions and cancellations to the store.

use std::rc::Rc;
use std::sync::Arc;

use async_io::Timer;
use futures_lite::future;
use pw_base::prelude::*;
use strum::{AsRefStr, Display};

use crate::hedge::{HedgeOutcome, append_hedged};
use crate::links::{JobStore, StoreEntry, StoreFault, StorePartition, StoreTopic};
use crate::settings::NodeSettings;
use crate::timeout::AppendTimeout;

/// Outcome of storing a submission or a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, AsRefStr, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum SubmitOutcome {
    /// It is stored.
    Stored,
    /// It is not stored, so the request takes no effect.
    NotStored,
    /// It is not stored, as it exceeds the largest record of the store.
    TooLarge,
    /// It may be stored.
    Unknown,
}

/// Why a record is not known to be stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, AsRefStr, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum WriteFault {
    /// It is not stored.
    NotStored,
    /// It is not stored, as it exceeds the largest record of the store.
    TooLarge,
    /// It may be stored.
    Unknown,
}

impl From<WriteFault> for SubmitOutcome {
    fn from(fault: WriteFault) -> Self {
        match fault {
            WriteFault::NotStored => Self::NotStored,
            WriteFault::TooLarge => Self::TooLarge,
            WriteFault::Unknown => Self::Unknown,
        }
    }
}

/// Writes submissions and cancellations; clones share the recorded answer times of the store.
#[derive(Clone)]
pub struct SubmissionWriter {
    settings: NodeSettings,
    clock: Arc<dyn ClockSource>,
    store: Rc<dyn JobStore>,
    timeout: Rc<AppendTimeout>,
}

impl SubmissionWriter {
    /// Creates a writer.
    pub fn new(
        settings: NodeSettings,
        clock: Arc<dyn ClockSource>,
        store: Box<dyn JobStore>,
    ) -> Self {
        let timeout = Rc::new(settings.append_timeout());
        Self {
            settings,
            clock,
            store: Rc::from(store),
            timeout,
        }
    }

    /// Stores a record; repeats appends without an answer until the submission times out. Returns where
    /// it is stored; repeats may have stored it elsewhere, too.
    ///
    /// # Errors
    ///
    /// Fails if the record is not stored, or if that is not known.
    pub async fn write(
        &self,
        shard: ShardNumber,
        key: String,
        value: Vec<u8>,
    ) -> Result<LogOffset, WriteFault> {
        let partition = StorePartition {
            topic: StoreTopic::Submissions,
            shard,
        };
        let entry = StoreEntry { key, value };
        if entry.size() > self.settings.max_record_bytes {
            return Err(WriteFault::TooLarge);
        }
        // Each attempt appends the same record, so repeats are harmless.
        let wait = self.settings.append_timeout_max;
        let attempt = || {
            self.store
                .append(partition, vec![entry.clone()], None, wait)
        };
        let append = append_hedged(attempt, &self.timeout, &self.clock);
        let timed_out = async {
            Timer::after(self.settings.submit_timeout).await;
            HedgeOutcome {
                result: Err(StoreFault::Unanswered),
                in_doubt: true,
            }
        };
        let outcome = future::or(append, timed_out).await;
        outcome.result.map_err(|fault| match fault {
            StoreFault::Rejected(_) if !outcome.in_doubt => WriteFault::NotStored,
            _ => WriteFault::Unknown,
        })
    }
}
