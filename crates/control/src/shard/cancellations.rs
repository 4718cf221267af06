//! Cancellations that precede the submissions of their jobs in the log.
//!
//! The store may execute an append seconds after its caller has stopped waiting for the answer, so a
//! caller may cancel a job whose submission is not stored yet. The cancellation is remembered as long
//! as the state of a cancelled job, and its record is deleted before it is forgotten: the next owner
//! knows what this one does.

use std::collections::BTreeSet;
use std::time::Instant;

use indexmap::IndexMap;
use pw_base::prelude::*;

use super::ShardController;

/// Stored cancellations of jobs that the shard does not know.
#[derive(Debug, Default)]
pub(super) struct EarlyCancellations {
    expiries: IndexMap<JobId, Instant>,
    /// The same in the order in which their records are deleted, without those that are being deleted.
    queue: BTreeSet<(Instant, JobId)>,
}

impl EarlyCancellations {
    /// Remembers a cancellation, or does so for longer.
    fn insert(&mut self, job: &JobId, expiry: Instant) {
        self.remove(job);
        self.expiries.insert(job.clone(), expiry);
        self.queue.insert((expiry, job.clone()));
    }

    /// Forgets a cancellation; returns whether there was one.
    pub fn remove(&mut self, job: &JobId) -> bool {
        let Some(expiry) = self.expiries.swap_remove(job) else {
            return false;
        };
        self.queue.remove(&(expiry, job.clone()));
        true
    }

    /// Forgets a cancellation whose record is deleted, unless it was stored again meanwhile.
    pub fn forget_deleted(&mut self, job: &JobId) {
        let expiry = self.expiries.get(job);
        if expiry.is_some_and(|expiry| !self.queue.contains(&(*expiry, job.clone()))) {
            self.expiries.swap_remove(job);
        }
    }

    /// Takes the next cancellation whose record is to be deleted.
    fn next_expired(&mut self, now: Instant) -> Option<JobId> {
        let due = self.queue.first().is_some_and(|(expiry, _)| now >= *expiry);
        let (_, job) = due.then(|| self.queue.pop_first()).flatten()?;
        Some(job)
    }
}

impl ShardController {
    /// Remembers the cancellation of a job that the shard does not know.
    pub(super) fn remember_cancellation(&mut self, job: &JobId, now: Instant) {
        // A build that can read the job needs the record.
        if self.unreadable.contains(job) {
            return;
        }
        tracing::info!(
            event = EventCode::CancellationEarly.number(),
            job = &**job,
            shard = self.shard,
            epoch = self.epoch,
            "cancellation of an unknown job"
        );
        let expiry = now + self.settings.retention;
        self.early_cancellations.insert(job, expiry);
    }

    /// Deletes the records of cancellations whose jobs were not submitted.
    pub(super) fn remove_expired_cancellations(&mut self, now: Instant) {
        while let Some(job) = self.early_cancellations.next_expired(now) {
            self.store_queue.remove_cancellation(job);
        }
    }
}
