//! Usage reports of workers, and reports of served shares between entry instances.

use std::time::{Duration, Instant};

use pw_account::prelude::*;
use pw_worker::prelude::*;

use super::{ACCOUNT_SHARE_BYTES, TaskScheduler};
use crate::message::{DispatchCommand, PoolService, ShareReport};

impl TaskScheduler {
    pub(super) fn apply_usage_reports(&mut self, reports: Vec<WorkerUsage>) {
        for report in reports {
            for usage in &report.tasks {
                if let Some(task) = self.tasks.get(usage.task) {
                    let queue = task.request.queue.clone();
                    let history = self.histories.entry(queue).or_default();
                    history.record_size(&usage.used);
                }
            }
            if let Some(pool) = self.workers.pool_of(&report.worker).cloned() {
                self.release_resource_holds(&pool);
                self.dirty_pools.insert(pool);
            }
            self.workers.set_usage(report);
        }
    }

    pub(super) fn apply_share_report(&mut self, now: Instant, report: ShareReport) {
        if report.entry == self.settings.entry {
            return;
        }
        for service in report.pools {
            let Some(pool) = self.pools.get_mut(&service.pool) else {
                continue;
            };
            let accounts = service.accounts.into_iter().map(|share| {
                let service = AccountService {
                    served: share.served,
                    idle_charge: share.idle_charge,
                    running: share.running,
                    waiting: share.waiting,
                    ..AccountService::default()
                };
                (share.account, service)
            });
            pool.shares.record_report(now, &report.entry, accounts);
            self.dirty_pools.insert(service.pool);
        }
        self.next_report.get_or_insert(now);
    }

    pub(super) fn report_shares(&mut self, now: Instant, commands: &mut Vec<DispatchCommand>) {
        if self.next_report.is_none_or(|at| now < at) {
            return;
        }
        for pool in self.pools.values_mut() {
            pool.shares.expire_peers(now);
        }
        let pools: Vec<_> = self
            .pools
            .iter()
            .filter_map(|(id, pool)| pool.report(now, id))
            .collect();
        if pools.is_empty() {
            self.next_report = None;
            return;
        }
        self.next_report = Some(now + self.report_interval(&pools));
        let entry = self.settings.entry.clone();
        commands.push(DispatchCommand::ReportShares(ShareReport { entry, pools }));
    }

    /// Returns the interval until the next report, long enough to stay within the bandwidth budget.
    pub(super) fn report_interval(&self, pools: &[PoolService]) -> Duration {
        let accounts: usize = pools.iter().map(|pool| pool.accounts.len()).sum();
        let peers = self
            .pools
            .values()
            .map(|pool| pool.shares.peer_count())
            .max();
        let bytes = accounts as f64 * ACCOUNT_SHARE_BYTES * peers.unwrap_or(0) as f64;
        let needed = Duration::from_secs_f64(bytes / self.settings.report_budget);
        self.settings.report_interval.max(needed)
    }
}
