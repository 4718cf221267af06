//! Submissions that run in a pool of another shard, to which their intake shard forwards them.
//!
//! Of several submissions of a job, the first in the log counts. A new owner does not know their
//! order. It forwards a job that its predecessor may have forwarded, unless the job has a state:
//! a state is stored before any task starts, and only for a job that stays in the shard.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Instant, SystemTime};

use indexmap::IndexMap;
use pw_base::prelude::*;
use pw_job::prelude::*;

use super::ShardController;
use crate::message::StoreRecord;

/// Jobs that the shard has forwarded.
#[derive(Debug, Default)]
pub(super) struct ForwardTable {
    jobs: IndexMap<JobId, ForwardedJob>,
    /// The same in the order in which they are forgotten.
    expiries: VecDeque<(Instant, JobId)>,
}

/// A job that is forwarded, kept to recognize repetitions of its submission.
#[derive(Debug)]
struct ForwardedJob {
    record: Arc<SubmissionRecord>,
    cancelled: bool,
    /// The submission is stored in the other shard.
    stored: bool,
}

impl ForwardTable {
    pub fn contains(&self, job: &str) -> bool {
        self.jobs.contains_key(job)
    }

    /// Returns the submission of a job that was forwarded, once it is stored in the other shard.
    pub fn stored(&self, job: &str) -> Option<&SubmissionRecord> {
        let forwarded = self.jobs.get(job).filter(|job| job.stored)?;
        Some(&forwarded.record)
    }

    /// Returns the number of jobs of a queue whose submissions are not stored in another shard yet.
    pub fn unstored_count(&self, queue: &str) -> usize {
        let unstored = self.jobs.values().filter(|job| !job.stored);
        unstored.filter(|job| &*job.record.queue == queue).count()
    }

    /// Marks a job as forwarded; `cancelled` tells whether its cancellation was stored as well.
    pub fn mark_stored(&mut self, job: &str, cancelled: bool) {
        if let Some(forwarded) = self.jobs.get_mut(job) {
            forwarded.stored |= cancelled == forwarded.cancelled;
        }
    }

    /// Returns the request to store a job in the other shard.
    pub fn request(&self, job: &JobId) -> Option<StoreRecord> {
        let forwarded = self.jobs.get(job)?;
        Some(StoreRecord::Forward {
            job: job.clone(),
            record: Arc::clone(&forwarded.record),
            cancelled: forwarded.cancelled,
        })
    }
}

impl ShardController {
    /// Forwards a job to the shard of its pool, unless an earlier submission of it counts.
    pub(super) fn forward(&mut self, job: JobId, record: Arc<SubmissionRecord>, now: Instant) {
        if self.is_decided(&job) {
            return;
        }
        tracing::info!(
            event = EventCode::JobForwarded.number(),
            job = &*job,
            shard = self.shard,
            queue = &*record.queue,
            pool = &*record.pool,
            "job forwarded to the shard of its pool"
        );
        let expiry = now + self.settings.forward_retention;
        self.forwards.expiries.push_back((expiry, job.clone()));
        self.store_queue.add_forward(job.clone());
        let cancelled = self.early_cancellations.take(&job, record.accepted);
        let cancelled = cancelled.unwrap_or_default();
        let forwarded = ForwardedJob {
            record,
            cancelled,
            stored: false,
        };
        self.forwards.jobs.insert(job, forwarded);
    }

    /// Forwards the cancellation of a job that was forwarded, or remembers that of an unknown job. It
    /// applies to submissions that were accepted up to `limit`.
    pub(super) fn cancel_forwarded(
        &mut self,
        job: &JobId,
        limit: Option<SystemTime>,
        now: Instant,
    ) {
        let Some(forwarded) = self.forwards.jobs.get_mut(job) else {
            self.remember_cancellation(job, limit, now);
            return;
        };
        if limit.is_some_and(|limit| forwarded.record.accepted > limit) {
            return;
        }
        if !forwarded.cancelled {
            forwarded.cancelled = true;
            forwarded.stored = false;
            self.store_queue.add_forward(job.clone());
        }
    }

    /// Removes the submissions of jobs that were forwarded some time ago.
    pub(super) fn remove_expired_forwards(&mut self, now: Instant) {
        let ForwardTable { jobs, expiries } = &mut self.forwards;
        while expiries.front().is_some_and(|(at, _)| now >= *at) {
            let Some((_, job)) = expiries.pop_front() else {
                return;
            };
            if jobs.get(&job).is_some_and(|forwarded| !forwarded.stored) {
                // The store has not taken the submission yet.
                expiries.push_back((now + self.settings.forward_retention, job));
                continue;
            }
            jobs.swap_remove(&job);
            self.store_queue.remove(job);
        }
    }
}
