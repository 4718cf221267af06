//! State machine that accepts tasks, starts them on workers and returns their outcomes.

mod completion;
mod configuration;
mod explain;
mod reports;
mod submission;

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use pw_account::prelude::*;
use pw_base::prelude::*;
use pw_contract::prelude::*;
use pw_log::prelude::*;
use pw_place::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::admission::{AdmissionRules, AdmittedTask};
use crate::backlog::WaitReason;
use crate::history::QueueHistory;
use crate::message::{DispatchCommand, DispatchEvent, RefusalReason, RunCertainty, TaskOutcome};
use crate::pool_scheduler::{FairnessSettings, PoolScheduler};
use crate::quarantine::PermitQuarantine;
use crate::retry::{RetryBudget, RetrySettings};
use crate::task::TaskTable;
use crate::timer::TimerHeap;

/// Divisor of a queue's deadline; the quotient is the slack kept before a deferred task's deadline.
const DEFERRED_SLACK_DIVISOR: u32 = 4;

/// Factor by which an expected wait may be too long; waits shorten as other accounts finish.
const WAIT_TOLERANCE: f64 = 1.15;

/// Approximate size of an encoded [`AccountShare`](crate::message::AccountShare), in bytes.
const ACCOUNT_SHARE_BYTES: f64 = 24.0;

/// Settings of a [`TaskScheduler`].
#[derive(Debug, Clone)]
pub struct SchedulerSettings {
    /// Id of the entry instance.
    pub entry: EntryId,
    /// Availability zone of the entry instance.
    pub home: ZoneId,
    /// Maximum number of waiting tasks.
    pub max_waiting: usize,
    /// Number of waiting tasks per account and pool below which the expected wait is not checked.
    pub min_waiting: u32,
    /// Maximum delivery delay of a start request.
    pub delivery_bound: Duration,
    /// Minimum interval between two reports to the peers; reports are sent only while tasks wait.
    pub report_interval: Duration,
    /// Maximum bandwidth of the reports to all peers, in bytes per second.
    ///
    /// Reports become less frequent with the number of peers and accounts.
    pub report_budget: f64,
    /// Settings of retries.
    pub retry: RetrySettings,
    /// Settings of the service accounting.
    pub share: ShareSettings,
    /// Settings for sharing a full pool fairly with the other entry instances.
    pub fairness: FairnessSettings,
    /// Settings for the health and the concurrency limits of workers.
    pub table: TableSettings,
    /// Seed of the random number generators.
    pub seed: u64,
}

/// Accepts tasks, starts them on workers and returns their outcomes.
pub struct TaskScheduler {
    pub(crate) settings: SchedulerSettings,
    fold: FleetFold,
    revision: FleetRevision,
    pub(crate) rules: AdmissionRules,
    pub(crate) shares: Vec<(AccountId, u32)>,
    pub(crate) pools: IndexMap<PoolId, PoolScheduler>,
    pub(crate) workers: WorkerTable,
    pub(crate) tasks: TaskTable,
    pub(crate) histories: IndexMap<QueueId, QueueHistory>,
    pub(crate) picker: Box<dyn WorkerPicker>,
    pub(crate) gate: Box<dyn PermitGate>,
    pub(crate) permit_waits: IndexMap<AccountId, IndexSet<PoolId>>,
    pub(crate) dirty_pools: IndexSet<PoolId>,
    pub(crate) pool_rechecks: TimerHeap<PoolId>,
    pub(crate) budget: RetryBudget,
    demand: IndexMap<AccountId, u32>,
    quarantine: PermitQuarantine,
    deadlines: TimerHeap<TaskId>,
    retry_timers: TimerHeap<TaskId>,
    next_report: Option<Instant>,
    is_shutting_down: bool,
    random: SmallRng,
}

impl Default for SchedulerSettings {
    fn default() -> Self {
        Self {
            entry: EntryId::from("entry"),
            home: ZoneId::from(""),
            max_waiting: 10_000,
            min_waiting: 8,
            delivery_bound: Duration::from_secs(5),
            report_interval: Duration::from_millis(500),
            report_budget: 3072.0,
            retry: RetrySettings::default(),
            share: ShareSettings::default(),
            fairness: FairnessSettings::default(),
            table: TableSettings::default(),
            seed: 1,
        }
    }
}

impl TaskScheduler {
    /// Creates a scheduler without a configuration; `gate` enforces the accounts' limits.
    pub fn new(settings: SchedulerSettings, gate: Box<dyn PermitGate>) -> Self {
        let picker = TwoChoices::new(TwoChoicesSettings {
            home: settings.home.clone(),
            seed: settings.seed,
            ..TwoChoicesSettings::default()
        });
        Self::with_picker(settings, gate, Box::new(picker))
    }

    /// Creates a scheduler that selects workers with `picker`.
    pub fn with_picker(
        settings: SchedulerSettings,
        gate: Box<dyn PermitGate>,
        picker: Box<dyn WorkerPicker>,
    ) -> Self {
        Self {
            fold: FleetFold::default(),
            revision: 0,
            rules: AdmissionRules::default(),
            shares: Vec::new(),
            pools: IndexMap::new(),
            workers: WorkerTable::new(settings.table.clone()),
            tasks: TaskTable::default(),
            histories: IndexMap::new(),
            picker,
            gate,
            permit_waits: IndexMap::new(),
            dirty_pools: IndexSet::new(),
            pool_rechecks: TimerHeap::default(),
            budget: RetryBudget::new(settings.retry),
            demand: IndexMap::new(),
            quarantine: PermitQuarantine::new(settings.delivery_bound),
            deadlines: TimerHeap::default(),
            retry_timers: TimerHeap::default(),
            next_report: None,
            is_shutting_down: false,
            random: SmallRng::seed_from_u64(settings.seed),
            settings,
        }
    }

    /// Handles an event and returns the resulting commands.
    pub fn handle(&mut self, now: Instant, event: DispatchEvent) -> Vec<DispatchCommand> {
        let mut commands = Vec::new();
        self.run_timers(now, &mut commands);
        match event {
            DispatchEvent::LogRead(reading) => self.read_log(now, &reading, &mut commands),
            DispatchEvent::InstancesListed(list) => {
                self.workers.set_instances(now, list);
                self.mark_all_dirty();
            }
            DispatchEvent::UsageReported(reports) => self.apply_usage_reports(reports),
            DispatchEvent::SharesReported(report) => self.apply_share_report(now, report),
            DispatchEvent::TaskSubmitted(request) => {
                let id = request.id;
                if let Err(reason) = self.submit(now, request) {
                    commands.push(refuse(id, reason, RunCertainty::NotRun));
                }
            }
            DispatchEvent::TaskAbandoned(id) if self.tasks.is_running(id) => {
                self.tasks.cancel(id);
                commands.push(DispatchCommand::StopTask(id));
            }
            DispatchEvent::TaskAbandoned(id) => {
                self.close_waiting(now, id, RefusalReason::Cancelled, &mut commands);
            }
            DispatchEvent::TaskEnded { task, report } => {
                self.end_run(now, task, report, &mut commands);
            }
            DispatchEvent::ShutdownBegan => self.is_shutting_down = true,
            DispatchEvent::TimePassed => {}
        }
        self.start_ready(now, &mut commands);
        let proposals = self.gate.proposals(now).into_iter();
        commands.extend(proposals.map(DispatchCommand::Propose));
        commands
    }

    /// Returns when the caller has to send the next [`DispatchEvent::TimePassed`].
    pub fn next_deadline(&self) -> Option<Instant> {
        [
            self.deadlines.next(),
            self.retry_timers.next(),
            self.pool_rechecks.next(),
            self.quarantine.next_deadline(),
            self.workers.next_deadline(),
            self.next_report,
            self.gate.next_deadline(),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Returns the revision of the current configuration; 0 before the first one.
    pub fn revision(&self) -> FleetRevision {
        self.revision
    }

    /// Returns the gate that enforces the accounts' limits.
    pub fn permit_gate(&self) -> &dyn PermitGate {
        &*self.gate
    }

    /// Returns the account of an API key; `None` if the key is unknown or revoked.
    pub fn account_of(&self, key: &KeyDigest) -> Option<AccountId> {
        self.rules.account_of(key)
    }

    /// Returns whether a caller with `key` may cancel the open task `id`.
    ///
    /// The key has to belong to the account of the task. A task without an account can be cancelled
    /// by anyone who knows its id.
    pub fn may_cancel(&self, id: TaskId, key: Option<&KeyDigest>) -> bool {
        let account = key.and_then(|key| self.account_of(key));
        let task = self.tasks.get(id);
        task.is_some_and(|task| task.admitted.account.is_none() || task.admitted.account == account)
    }

    /// Returns the number of open tasks.
    pub fn open_tasks(&self) -> usize {
        self.tasks.len()
    }

    /// Returns the number of open tasks that are not running.
    pub fn waiting_tasks(&self) -> usize {
        self.tasks.waiting()
    }

    fn run_timers(&mut self, now: Instant, commands: &mut Vec<DispatchCommand>) {
        while let Some(id) = self.deadlines.pop_due(now) {
            self.close_waiting(now, id, RefusalReason::DeadlinePassed, commands);
        }
        while let Some(id) = self.retry_timers.pop_due(now) {
            if self.tasks.resume(id) {
                self.enqueue(now, id, true);
            }
        }
        while let Some(permit) = self.quarantine.pop_ended(now) {
            self.release_permit(now, permit);
        }
        while let Some(pool) = self.pool_rechecks.pop_due(now) {
            if let Some(scheduler) = self.pools.get_mut(&pool) {
                scheduler.clear_recheck();
                self.dirty_pools.insert(pool);
            }
        }
        self.dirty_pools.extend(self.workers.expire_backoffs(now));
        if self.gate.next_deadline().is_some_and(|at| at <= now) {
            self.release_permit_holds();
        }
        self.report_shares(now, commands);
    }

    /// Adds a waiting task to the backlog of its pool.
    pub(crate) fn enqueue(&mut self, now: Instant, id: TaskId, is_retry: bool) {
        let Some(task) = self.tasks.get(id) else {
            return;
        };
        let AdmittedTask { queue, account } = task.admitted.clone();
        let slack = queue.run_timeout + queue.deadline / DEFERRED_SLACK_DIVISOR;
        let latest_start = task.deadline.checked_sub(slack).unwrap_or(task.accepted);
        let pool = self.pools.entry(queue.pool.clone()).or_default();
        pool.backlog
            .push(&account, id, queue.kind, latest_start, is_retry);
        pool.update_waiting(now, &account);
        self.dirty_pools.insert(queue.pool.clone());
        self.adjust_demand(now, &account, true);
        self.next_report
            .get_or_insert(now + self.settings.report_interval);
    }

    pub(crate) fn adjust_demand(
        &mut self,
        now: Instant,
        account: &ShareAccount,
        is_increase: bool,
    ) {
        let Some(account) = account else {
            return;
        };
        let demand = self.demand.entry(account.clone()).or_default();
        *demand = if is_increase {
            *demand + 1
        } else {
            demand.saturating_sub(1)
        };
        self.gate.set_demand(now, account, *demand);
    }

    /// Releases the holds of all accounts that wait for permits.
    fn release_permit_holds(&mut self) {
        let is_resolved = |reason| matches!(reason, WaitReason::Permit | WaitReason::RemotePermit);
        for (_, pools) in self.permit_waits.drain(..) {
            for pool in pools {
                if let Some(scheduler) = self.pools.get_mut(&pool) {
                    scheduler.backlog.release_where(is_resolved);
                }
                self.dirty_pools.insert(pool);
            }
        }
    }

    fn release_resource_holds(&mut self, pool: &PoolId) {
        if let Some(scheduler) = self.pools.get_mut(pool) {
            let is_resolved = |reason| reason == WaitReason::Resources;
            scheduler.backlog.release_where(is_resolved);
        }
    }

    /// Releases the holds that a free slot on `worker` may resolve.
    fn release_slot_holds(&mut self, pool: &PoolId, worker: &WorkerId) {
        let worker = self.workers.worker(worker);
        let is_home = worker.is_some_and(|worker| worker.spec().zone == self.settings.home);
        if let Some(scheduler) = self.pools.get_mut(pool) {
            scheduler.backlog.release_where(|reason| match reason {
                WaitReason::Resources => true,
                WaitReason::RemotePermit => is_home,
                _ => false,
            });
        }
    }

    fn mark_all_dirty(&mut self) {
        for (id, pool) in &mut self.pools {
            let is_resolved =
                |reason| matches!(reason, WaitReason::Resources | WaitReason::RemotePermit);
            pool.backlog.release_where(is_resolved);
            if pool.backlog.waiting() > 0 {
                self.dirty_pools.insert(id.clone());
            }
        }
    }
}

fn refuse(task: TaskId, reason: RefusalReason, certainty: RunCertainty) -> DispatchCommand {
    DispatchCommand::CloseTask {
        task,
        outcome: TaskOutcome::Refused { reason, certainty },
    }
}
