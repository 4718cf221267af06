//! Writes submissions and cancellations to the store.

use std::rc::Rc;
use std::sync::Arc;

use async_io::Timer;
use pw_base::prelude::*;
use strum::{AsRefStr, Display};

use crate::links::{JobStore, StoreEntry, StoreFault, StorePart, StoreTopic};
use crate::patience::AnswerPatience;
use crate::settings::NodeSettings;

/// What became of a submission or a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, AsRefStr, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum SubmitOutcome {
    /// It is stored.
    Stored,
    /// The store did nothing, so the request never runs.
    NotStored,
    /// It may be stored.
    Unknown,
}

/// Writes records of submissions; clones share what they learn of the store.
#[derive(Clone)]
pub struct SubmissionWriter {
    settings: NodeSettings,
    clock: Arc<dyn ClockSource>,
    store: Rc<dyn JobStore>,
    patience: Rc<AnswerPatience>,
}

impl SubmissionWriter {
    /// Creates a writer.
    pub fn new(
        settings: NodeSettings,
        clock: Arc<dyn ClockSource>,
        store: Box<dyn JobStore>,
    ) -> Self {
        let patience = Rc::new(settings.append_patience());
        Self {
            settings,
            clock,
            store: Rc::from(store),
            patience,
        }
    }

    /// Stores a record; one whose answer is lost is repeated until its time is over.
    pub async fn write(&self, shard: ShardNumber, key: String, value: Vec<u8>) -> SubmitOutcome {
        let part = StorePart {
            topic: StoreTopic::Submissions,
            shard,
        };
        let entry = StoreEntry { key, value };
        let end = self.clock.now() + self.settings.submit_timeout;
        // The record is the same each time, so that a repeated append does no harm.
        let mut in_doubt = false;
        loop {
            let sent = self.clock.now();
            let left = end.saturating_duration_since(sent);
            let wait = self.patience.wait().min(left);
            let append = self.store.append(part, vec![entry.clone()], None, wait);
            match append.await {
                Ok(_) => {
                    self.patience.answered(self.clock.now() - sent);
                    return SubmitOutcome::Stored;
                }
                Err(StoreFault::TurnedAway(_)) if !in_doubt => return SubmitOutcome::NotStored,
                Err(StoreFault::Unanswered) => {
                    self.patience.missed();
                    in_doubt = true;
                }
                Err(_) => {
                    Timer::after(self.settings.store_retry).await;
                }
            }
            if self.clock.now() >= end {
                return SubmitOutcome::Unknown;
            }
        }
    }
}
