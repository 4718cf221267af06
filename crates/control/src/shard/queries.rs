//! Queries about the jobs of a shard.

use indexmap::IndexMap;
use pw_base::prelude::*;
use pw_job::prelude::*;

use super::{ShardController, ready_size};
use crate::message::{JobAnswer, QueryScope};
use crate::quota::{AccountDemand, AllocationKey};

impl ShardController {
    /// Returns the stored status of a job, if `scope` includes the job.
    pub fn job_status(&self, job: &str, scope: QueryScope<'_>) -> JobAnswer {
        let Some(record) = self.jobs.get(job) else {
            return JobAnswer::Unknown;
        };
        let allowed = match scope {
            QueryScope::Public => record.submission.account.is_none(),
            QueryScope::Account(account) => record.submission.account.as_deref() == Some(account),
        };
        if allowed {
            JobAnswer::Known(record.stored_status)
        } else {
            JobAnswer::Unknown
        }
    }

    /// Returns the number of jobs that are not over or still have placed runs.
    pub fn active_job_count(&self) -> usize {
        self.active_jobs.len()
    }

    /// Returns the number of accepted jobs of a queue of which no task has started.
    pub fn pending(&self, queue: &str) -> usize {
        let jobs = self.active_records().map(|(_, job)| job);
        let jobs = jobs.filter(|job| &*job.submission.queue == queue);
        let waiting =
            jobs.filter(|job| job.state.status(&job.submission.spec) == JobStatus::Queued);
        waiting.count()
    }

    /// Returns the resources that each client account uses and waits for in the shard.
    pub fn account_demands(&self) -> IndexMap<AllocationKey, AccountDemand> {
        let mut demands: IndexMap<AllocationKey, AccountDemand> = IndexMap::new();
        for (_, job) in self.active_records() {
            let record = &job.submission;
            let Some(account) = &record.account else {
                continue;
            };
            if job.is_over() && !job.state.has_placed_runs() {
                continue;
            }
            let key = (account.clone(), self.shard);
            let demand = demands.entry(key).or_default();
            if !job.is_over() {
                demand.waiting = demand.waiting.plus(&ready_size(job));
            }
        }
        for (key, demand) in &mut demands {
            demand.used = self.budget.used(&key.0);
        }
        demands
    }

    /// Sets this shard's allocation of a client account's maximum.
    pub fn set_allocation(
        &mut self,
        account: AccountId,
        allocation: pw_worker::prelude::ResourceSize,
    ) {
        self.budget.set_allocation(account, allocation);
        self.placement_needed = true;
    }
}
