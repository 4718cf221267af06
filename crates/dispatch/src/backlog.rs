//! The tasks that wait for one pool, by account.

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

/// Dead entries that a queue may hold before it is compacted.
const MIN_STALE_ENTRIES: usize = 64;

/// Why a waiting task does not start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Display, AsRefStr)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum WaitReason {
    /// Earlier tasks of its account go first.
    Turn,
    /// No worker of its pool has a free slot.
    Slots,
    /// Every worker of its pool is in an availability zone out of service or is not live.
    Zone,
    /// No worker with a free slot has the resources that it needs.
    Resources,
    /// Its account runs as many tasks as this entry instance may start.
    Permit,
    /// Its account runs as many tasks as may be started outside the home zone.
    RemotePermit,
    /// Its account is ahead of its share of a full pool.
    Share,
    /// The free slots are kept for tasks whose callers wait.
    Reserve,
    /// It pauses before its next attempt.
    Retry,
}

/// Which tasks of an account go first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum TaskClass {
    /// A caller waits, or a deferred task has to start now to meet its deadline.
    Urgent,
    /// A deferred task that has time.
    Relaxed,
}

/// Tasks that wait for one pool.
#[derive(Debug, Default)]
pub struct PoolBacklog {
    accounts: IndexMap<ShareAccount, AccountBacklog>,
    active: IndexSet<ShareAccount>,
    held: IndexMap<ShareAccount, WaitReason>,
    waiting: u32,
}

/// Tasks of one account that wait for one pool.
///
/// Entries of cancelled tasks stay until their turn or until they are the larger part, so that a
/// cancellation takes constant time.
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

    /// Returns the first task of the class; a pressed deferred task goes before callers who wait.
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
    /// Returns how many tasks wait.
    pub fn waiting(&self) -> u32 {
        self.waiting
    }

    /// Returns how many tasks of `account` wait.
    pub fn waiting_of(&self, account: &ShareAccount) -> u32 {
        self.accounts
            .get(account)
            .map_or(0, |account| account.waiting)
    }

    /// Returns why no task of `account` starts, when the reason concerns the whole account.
    pub fn held(&self, account: &ShareAccount) -> Option<WaitReason> {
        self.held.get(account).copied()
    }

    /// Adds a task; one that is tried again goes first. `latest_start` orders deferred tasks.
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

    /// Counts a task that no longer waits; its entry is dropped later.
    pub fn discard(&mut self, account: &ShareAccount, tasks: &TaskTable) {
        if let Some(backlog) = self.accounts.get_mut(account) {
            backlog.waiting = backlog.waiting.saturating_sub(1);
            self.waiting = self.waiting.saturating_sub(1);
            backlog.compact(tasks);
        }
        self.deactivate_if_empty(account);
    }

    /// Takes the task that [`PoolBacklog::next`] named out of the backlog.
    pub fn pop(&mut self, account: &ShareAccount, id: TaskId) {
        if let Some(backlog) = self.accounts.get_mut(account) {
            backlog.pop(id);
            backlog.waiting = backlog.waiting.saturating_sub(1);
            self.waiting = self.waiting.saturating_sub(1);
        }
        self.deactivate_if_empty(account);
    }

    /// Returns the next task: that of the account with the lowest score, urgent ones first.
    ///
    /// Accounts more than one running task above `max_score` are passed over.
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

    /// Starts no task of `account` until its hold is released.
    pub fn hold(&mut self, account: &ShareAccount, reason: WaitReason) {
        self.held.insert(account.clone(), reason);
    }

    /// Releases the hold of `account` when it has that reason.
    pub fn release(&mut self, account: &ShareAccount, reason: WaitReason) {
        if self.held.get(account) == Some(&reason) {
            self.held.swap_remove(account);
        }
    }

    /// Releases all holds of which `is_over` says so.
    pub fn release_where(&mut self, is_over: impl Fn(WaitReason) -> bool) {
        self.held.retain(|_, reason| !is_over(*reason));
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

    /// Takes an account without waiting tasks out of the turn.
    fn deactivate_if_empty(&mut self, account: &ShareAccount) {
        if self.waiting_of(account) == 0 {
            self.active.swap_remove(account);
            self.held.swap_remove(account);
        }
    }
}
