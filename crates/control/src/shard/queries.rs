//! Queries about the jobs of a shard.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use pw_base::prelude::*;
use pw_job::prelude::*;
use pw_worker::prelude::*;

use super::ShardController;
use crate::message::{JobAnswer, QueryScope};
use crate::quota::{AccountDemand, AllocationKey};

/// How long tasks may wait without a start and without need of a larger allocation before they no
/// longer count as need of one. In a full pool, an account's starts are closer to each other.
const UNUSED_TIME: Duration = Duration::from_secs(2);

impl ShardController {
    /// Returns the stored status of a job, if `scope` includes the job.
    ///
    /// An owner that does not know the submissions up to recently does not say that a job is unknown.
    pub fn job_status(&self, job: &str, scope: QueryScope<'_>, now: Instant) -> JobAnswer {
        let Some(record) = self.jobs.get(job) else {
            if let Some(record) = self.forwards.stored(job) {
                return if scope.includes(record) {
                    JobAnswer::Moved(record.pool.clone())
                } else {
                    JobAnswer::Hidden
                };
            }
            return if !self.is_decided(job) && self.knows_submissions(now) {
                JobAnswer::Unknown
            } else {
                JobAnswer::Uncertain
            };
        };
        if scope.includes(&record.submission) {
            JobAnswer::Known(record.stored_status)
        } else {
            JobAnswer::Hidden
        }
    }

    /// Returns the same of a query that asks for all submissions before `offset`: a job is unknown only
    /// to an owner that has not read up to there, and otherwise absent.
    pub fn job_status_before(
        &self,
        job: &str,
        scope: QueryScope<'_>,
        offset: LogOffset,
        now: Instant,
    ) -> JobAnswer {
        match self.job_status(job, scope, now) {
            JobAnswer::Unknown if self.submissions_end >= offset => JobAnswer::Absent,
            answer => answer,
        }
    }

    /// Returns the number of jobs that are not over or still have placed runs.
    pub fn active_job_count(&self) -> usize {
        self.backlog.jobs().count()
    }

    /// Returns the number of accepted jobs of a queue of which no task has started.
    pub fn pending(&self, queue: &str) -> usize {
        let jobs = self.active_records().map(|(_, job)| job);
        let jobs = jobs.filter(|job| &*job.submission.queue == queue);
        let waiting =
            jobs.filter(|job| job.state.status(&job.submission.spec) == JobStatus::Queued);
        waiting.count() + self.forwards.unstored_count(queue)
    }

    /// Returns the resources that each client account uses and waits for in the shard.
    ///
    /// Tasks do not count once they have waited for something else than a larger allocation for some
    /// time, such as room or a worker with their label: they would hold a maximum that they can't
    /// use. They do after a pass that did not come to all tasks.
    ///
    /// A run may outlast its job: one of a task that is done already is stopped, and counts until
    /// then.
    pub fn account_demands(&self, now: Instant) -> IndexMap<AllocationKey, AccountDemand> {
        let waits = self.backlog.account_waits();
        let users = self.budget.users();
        let users = users.map(|(account, _)| (account, ResourceSize::default()));
        let mut demands: IndexMap<AllocationKey, AccountDemand> = IndexMap::new();
        for (account, waiting) in waits.chain(users) {
            let used_at = self.allocation_uses.get(account);
            let is_used = used_at.is_some_and(|at| now < *at + UNUSED_TIME);
            let is_short = self.quota_refused.contains(account) || self.starts_exhausted;
            let waiting = if is_used || is_short {
                waiting
            } else {
                ResourceSize::default()
            };
            let used = self.budget.used(account);
            let demand = AccountDemand { used, waiting };
            demands
                .entry((account.clone(), self.shard))
                .or_insert(demand);
        }
        demands
    }

    /// Sets this shard's allocation of a client account's maximum.
    pub fn set_allocation(&mut self, account: AccountId, allocation: ResourceSize) {
        self.budget.set_allocation(account, allocation);
        self.placement_needed = true;
    }

    /// Returns the size reserved for a client account's runs in the shard.
    pub fn account_used(&self, account: &str) -> ResourceSize {
        self.budget.used(account)
    }
}
