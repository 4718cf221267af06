//! Per-account queues of the tasks that wait for a pool.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Instant;

use indexmap::{IndexMap, IndexSet};
use pw_account::prelude::*;
use pw_base::prelude::*;
use pw_pool::prelude::*;
use serde::Serialize;
use strum::{AsRefStr, Display};

use crate::task::TaskTable;

/// Stale entries that a queue may hold before it is compacted.
const MIN_STALE_ENTRIES: usize = 64;

/// Reason why a waiting task has not started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Display, AsRefStr)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum WaitReason {
    /// Other tasks of the pool come before it.
    Turn,
    /// No worker of the pool has a free slot.
    Slots,
    /// Every worker of the pool is not live or is in an availability zone that is out of service.
    Zone,
    /// No worker with a free slot has the resources that the task requires.
    Resources,
    /// This entry instance has no permit left for the account.
    Permit,
    /// No worker in the home zone is available, and no permit is left for workers outside it.
    RemotePermit,
    /// The account has received more than its share of a full pool.
    Share,
    /// The free slots are reserved for interactive tasks.
    Reserve,
    /// The task backs off before its next attempt.
    Retry,
}

/// Priority class of the waiting tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum TaskClass {
    /// Interactive tasks, and deferred tasks that have to start now to meet their deadline.
    Urgent,
    /// Deferred tasks whose latest start time has not been reached.
    Relaxed,
}

/// Tasks that wait for a pool, queued per account.
#[derive(Debug, Default)]
pub struct PoolBacklog {
    accounts: IndexMap<ShareAccount, AccountBacklog>,
    active: IndexSet<ShareAccount>,
    held: IndexMap<ShareAccount, WaitReason>,
    waiting: u32,
}

/// Tasks of one account that wait for a pool.
///
/// Cancelled tasks leave stale entries, which are dropped at the head of the queue or once they are
/// the majority, so that a cancellation takes amortized constant time.
#[derive(Debug, Default)]
struct AccountBacklog {
    interactive: VecDeque<TaskId>,
    deferred: BinaryHeap<Reverse<(Instant, TaskId)>>,
    waiting: u32,
}

impl AccountBacklog {
    fn entries(&self) -> usize {
        self.interactive.len() + self.deferred.len()
    }

    fn drop_stale_heads(&mut self, tasks: &TaskTable) {
        while self
            .interactive
            .front()
            .is_some_and(|id| !tasks.is_waiting(*id))
        {
            self.interactive.pop_front();
        }
        while self
            .deferred
            .peek()
            .is_some_and(|Reverse((_, id))| !tasks.is_waiting(*id))
        {
            self.deferred.pop();
        }
    }

    fn compact(&mut self, tasks: &TaskTable) {
        let stale = self.entries().saturating_sub(self.waiting as usize);
        if stale > MIN_STALE_ENTRIES && stale > self.waiting as usize {
            self.interactive.retain(|id| tasks.is_waiting(*id));
            self.deferred
                .retain(|Reverse((_, id))| tasks.is_waiting(*id));
        }
    }

    fn has_task(&self, now: Instant, class: TaskClass) -> bool {
        let is_due = |entry: &Reverse<(Instant, TaskId)>| entry.0.0 <= now;
        match class {
            TaskClass::Urgent => {
                !self.interactive.is_empty() || self.deferred.peek().is_some_and(is_due)
            }
            TaskClass::Relaxed => !self.deferred.is_empty(),
        }
    }

    /// Returns the first task of `class`; a deferred task that is due precedes interactive tasks.
    fn head(&self, now: Instant, class: TaskClass) -> Option<TaskId> {
        let deferred = self.deferred.peek().map(|Reverse(entry)| *entry);
        match class {
            TaskClass::Urgent => deferred
                .filter(|(latest_start, _)| *latest_start <= now)
                .map(|(_, id)| id)
                .or(self.interactive.front().copied()),
            TaskClass::Relaxed => deferred.map(|(_, id)| id),
        }
    }

    fn pop(&mut self, id: TaskId) {
        if self.interactive.front() == Some(&id) {
            self.interactive.pop_front();
        } else if self
            .deferred
            .peek()
            .is_some_and(|Reverse((_, head))| *head == id)
        {
            self.deferred.pop();
        }
    }
}

impl PoolBacklog {
    /// Returns the number of waiting tasks.
    pub fn waiting(&self) -> u32 {
        self.waiting
    }

    /// Returns the number of waiting tasks of `account`.
    pub fn waiting_of(&self, account: &ShareAccount) -> u32 {
        self.accounts
            .get(account)
            .map_or(0, |account| account.waiting)
    }

    /// Returns why `account` is on hold, if it is.
    pub fn held(&self, account: &ShareAccount) -> Option<WaitReason> {
        self.held.get(account).copied()
    }

    /// Queues a task; interactive retries go first, deferred tasks are ordered by `latest_start`.
    pub fn push(
        &mut self,
        account: &ShareAccount,
        id: TaskId,
        kind: QueueKind,
        latest_start: Instant,
        is_retry: bool,
    ) {
        let backlog = self.accounts.entry(account.clone()).or_default();
        match (kind, is_retry) {
            (QueueKind::Interactive, false) => backlog.interactive.push_back(id),
            (QueueKind::Interactive, true) => backlog.interactive.push_front(id),
            (QueueKind::Deferred, _) => backlog.deferred.push(Reverse((latest_start, id))),
        }
        backlog.waiting += 1;
        self.waiting += 1;
        self.active.insert(account.clone());
    }

    /// Subtracts a task that no longer waits; its queue entry is dropped later.
    pub fn discard(&mut self, account: &ShareAccount, tasks: &TaskTable) {
        if let Some(backlog) = self.accounts.get_mut(account) {
            backlog.waiting = backlog.waiting.saturating_sub(1);
            self.waiting = self.waiting.saturating_sub(1);
            backlog.compact(tasks);
        }
        self.deactivate_if_empty(account);
    }

    /// Removes the task that [`PoolBacklog::next`] returned.
    pub fn pop(&mut self, account: &ShareAccount, id: TaskId) {
        if let Some(backlog) = self.accounts.get_mut(account) {
            backlog.pop(id);
            backlog.waiting = backlog.waiting.saturating_sub(1);
            self.waiting = self.waiting.saturating_sub(1);
        }
        self.deactivate_if_empty(account);
    }

    /// Returns the next task: urgent tasks first, and within a class that of the account with the
    /// lowest score.
    ///
    /// A class is skipped if the score of that account exceeds `max_score` by more than one task.
    pub fn next(
        &mut self,
        now: Instant,
        tasks: &TaskTable,
        shares: &ShareTracker,
        max_score: f64,
        may_start: impl Fn(TaskClass) -> bool,
    ) -> Option<(ShareAccount, TaskId)> {
        [TaskClass::Urgent, TaskClass::Relaxed]
            .into_iter()
            .filter(|class| may_start(*class))
            .filter_map(|class| self.next_of(now, tasks, shares, class))
            .find(|(score, account, _)| *score <= max_score + shares.task_score(account))
            .map(|(_, account, task)| (account, task))
    }

    /// Puts `account` on hold: none of its tasks starts until the hold is released.
    pub fn hold(&mut self, account: &ShareAccount, reason: WaitReason) {
        self.held.insert(account.clone(), reason);
    }

    /// Releases the hold of `account` if `reason` caused it.
    pub fn release(&mut self, account: &ShareAccount, reason: WaitReason) {
        if self.held.get(account) == Some(&reason) {
            self.held.swap_remove(account);
        }
    }

    /// Releases all holds whose reason satisfies `is_resolved`.
    pub fn release_where(&mut self, is_resolved: impl Fn(WaitReason) -> bool) {
        self.held.retain(|_, reason| !is_resolved(*reason));
    }

    fn next_of(
        &mut self,
        now: Instant,
        tasks: &TaskTable,
        shares: &ShareTracker,
        class: TaskClass,
    ) -> Option<(f64, ShareAccount, TaskId)> {
        let Self {
            accounts,
            active,
            held,
            ..
        } = self;
        active
            .iter()
            .filter(|account| !held.contains_key(*account))
            .filter_map(|account| {
                let backlog = accounts.get_mut(account)?;
                backlog.drop_stale_heads(tasks);
                let head = backlog
                    .has_task(now, class)
                    .then(|| backlog.head(now, class))??;
                Some((shares.score(now, account), account, head))
            })
            .min_by(|(a, ..), (b, ..)| a.total_cmp(b))
            .map(|(score, account, head)| (score, account.clone(), head))
    }

    /// Removes an account without waiting tasks from the active set.
    fn deactivate_if_empty(&mut self, account: &ShareAccount) {
        if self.waiting_of(account) == 0 {
            self.active.swap_remove(account);
            self.held.swap_remove(account);
        }
    }
}
