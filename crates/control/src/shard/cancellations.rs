//! Cancellations that precede the submissions of their jobs in the log.
//!
//! The store may execute an append seconds after its caller has stopped waiting for the answer, so a
//! caller may cancel a job whose submission is not stored yet. The cancellation is remembered as long
//! as the state of a cancelled job, and its record is deleted before it is forgotten: the next owner
//! knows what this one does.

use std::collections::BTreeSet;
use std::time::{Instant, SystemTime};

use indexmap::IndexMap;
use pw_base::prelude::*;

use super::ShardController;

/// Stored cancellations of jobs that the shard does not know.
#[derive(Debug, Default)]
pub(super) struct EarlyCancellations {
    jobs: IndexMap<JobId, EarlyCancellation>,
    /// The same in the order in which their records are deleted, without those that are being deleted.
    queue: BTreeSet<(Instant, JobId)>,
}

/// A cancellation without a submission.
#[derive(Debug, Clone, Copy)]
pub(super) struct EarlyCancellation {
    expiry: Instant,
    /// Latest acceptance of the submissions that it applies to; `None` for all.
    limit: Option<SystemTime>,
}

impl EarlyCancellations {
    /// Remembers a cancellation in place of an earlier one of the job.
    fn insert(&mut self, job: &JobId, cancellation: EarlyCancellation) {
        self.remove(job);
        self.jobs.insert(job.clone(), cancellation);
        self.queue.insert((cancellation.expiry, job.clone()));
    }

    /// Forgets the cancellation of a job, if there is one.
    pub fn remove(&mut self, job: &JobId) -> Option<EarlyCancellation> {
        let cancellation = self.jobs.swap_remove(job)?;
        self.queue.remove(&(cancellation.expiry, job.clone()));
        Some(cancellation)
    }

    /// Forgets the cancellation of a job that is submitted now; returns whether it applies to the
    /// submission, or `None` without a cancellation.
    pub fn take(&mut self, job: &JobId, accepted: SystemTime) -> Option<bool> {
        let EarlyCancellation { limit, .. } = self.remove(job)?;
        Some(limit.is_none_or(|limit| accepted <= limit))
    }

    /// Forgets a cancellation whose record is deleted, unless it was stored again meanwhile.
    pub fn forget_deleted(&mut self, job: &JobId) {
        let expiry = self.jobs.get(job).map(|cancellation| cancellation.expiry);
        if expiry.is_some_and(|expiry| !self.queue.contains(&(expiry, job.clone()))) {
            self.jobs.swap_remove(job);
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
    /// Cancels a job if its submission was accepted up to `limit`.
    pub(super) fn cancel_before(&mut self, job: &JobId, limit: SystemTime, now: Instant) {
        match self.jobs.get(job) {
            Some(record) if record.submission.accepted > limit => {}
            Some(_) => self.cancel(job, now),
            None => self.cancel_forwarded(job, Some(limit), now),
        }
    }

    /// Remembers the cancellation of a job that the shard does not know, for submissions that were
    /// accepted up to `limit`.
    pub(super) fn remember_cancellation(
        &mut self,
        job: &JobId,
        limit: Option<SystemTime>,
        now: Instant,
    ) {
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
        let cancellation = EarlyCancellation { expiry, limit };
        self.early_cancellations.insert(job, cancellation);
    }

    /// Deletes the records of cancellations whose jobs were not submitted.
    pub(super) fn remove_expired_cancellations(&mut self, now: Instant) {
        while let Some(job) = self.early_cancellations.next_expired(now) {
            self.store_queue.remove_cancellation(job);
        }
    }
}
