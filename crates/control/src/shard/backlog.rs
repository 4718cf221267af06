//! Index of the active jobs and of their ready steps, in scheduling order.
//!
//! Jobs are indexed again when they change, so that neither an event nor a pass visits the others.

use std::collections::BTreeMap;
use std::collections::btree_map::Range;
use std::iter::Peekable;
use std::time::Instant;

use indexmap::IndexMap;
use pw_base::prelude::*;
use pw_worker::prelude::*;

/// Number of a job in the order in which this owner accepted it.
type JobNumber = u64;

/// Ready steps whose tasks have the same pool, size and priority.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct StepGroup {
    pub pool: PoolId,
    pub size: ResourceSize,
    /// Priority of the queue; 0 is the highest.
    pub priority: u32,
}

/// Order of the steps of a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct StepRank {
    start_by: Instant,
    job: JobNumber,
    occurrence: OccurrenceNumber,
    step: u32,
}

/// A ready step with waiting tasks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct ReadyStep {
    pub occurrence: OccurrenceNumber,
    pub step: u32,
    /// Resources to reserve for each task.
    pub size: ResourceSize,
    /// Number of waiting tasks.
    pub waiting: u64,
}

/// A step to place, as returned by [`StepCursor`].
pub(super) type NextStep<'a> = (&'a JobId, OccurrenceNumber, u32);

/// An active job with its ready steps.
#[derive(Debug, Clone)]
pub(super) struct BacklogEntry {
    pub pool: PoolId,
    pub account: Option<AccountId>,
    pub priority: u32,
    /// Latest time to start the remaining work and still meet the objective.
    pub start_by: Instant,
    pub steps: Vec<ReadyStep>,
}

/// Number of waiting tasks of each size.
#[derive(Debug, Clone, Default)]
struct TaskCounts(IndexMap<ResourceSize, u64>);

/// Demand of one account.
#[derive(Debug, Clone, Default)]
struct AccountBacklog {
    active_jobs: usize,
    waiting: TaskCounts,
}

/// Index of the active jobs: those that are not over or still have placed runs.
#[derive(Debug, Default)]
pub(super) struct BacklogIndex {
    jobs: IndexMap<JobId, (JobNumber, BacklogEntry)>,
    next_number: JobNumber,
    groups: IndexMap<StepGroup, BTreeMap<StepRank, JobId>>,
    pools: IndexMap<PoolId, TaskCounts>,
    accounts: IndexMap<AccountId, AccountBacklog>,
}

/// Iterates over the steps of some groups in scheduling order.
///
/// Under overload, more work waits than the pool can run. In order of age alone, every job would
/// miss its objective, so jobs that can no longer meet it rank after those that can.
pub(super) struct StepCursor<'a> {
    now: Instant,
    /// The cursor has passed all steps that can still meet their objective.
    late: bool,
    groups: Vec<GroupCursor<'a>>,
}

struct GroupCursor<'a> {
    group: &'a StepGroup,
    steps: &'a BTreeMap<StepRank, JobId>,
    range: Peekable<Range<'a, StepRank, JobId>>,
}

impl BacklogIndex {
    /// Returns the active jobs.
    pub fn jobs(&self) -> impl Iterator<Item = &JobId> {
        self.jobs.keys()
    }

    /// Indexes a job, in place of its earlier entry.
    pub fn insert(&mut self, job: &JobId, entry: BacklogEntry) {
        let number = match self.take(job) {
            Some(number) => number,
            None => {
                self.next_number += 1;
                self.next_number
            }
        };
        if let Some(account) = &entry.account {
            let account = self.accounts.entry(account.clone()).or_default();
            account.active_jobs += 1;
            for step in &entry.steps {
                account.waiting.add(step.size, step.waiting);
            }
        }
        for step in &entry.steps {
            let counts = self.pools.entry(entry.pool.clone()).or_default();
            counts.add(step.size, step.waiting);
            let group = self.groups.entry(entry.group_of(step)).or_default();
            group.insert(entry.rank_of(step, number), job.clone());
        }
        self.jobs.insert(job.clone(), (number, entry));
    }

    /// Removes a job that is no longer active.
    pub fn remove(&mut self, job: &JobId) {
        self.take(job);
        self.jobs.swap_remove(job);
    }

    /// Takes a job out of the groups and sums; returns its number.
    fn take(&mut self, job: &JobId) -> Option<JobNumber> {
        let (number, entry) = self.jobs.get(job)?;
        let number = *number;
        if let Some(account) = &entry.account
            && let Some(sums) = self.accounts.get_mut(account)
        {
            sums.active_jobs -= 1;
            for step in &entry.steps {
                sums.waiting.subtract(step.size, step.waiting);
            }
            if sums.active_jobs == 0 {
                self.accounts.swap_remove(account);
            }
        }
        for step in &entry.steps {
            if let Some(counts) = self.pools.get_mut(&entry.pool) {
                counts.subtract(step.size, step.waiting);
            }
            let group = entry.group_of(step);
            if let Some(steps) = self.groups.get_mut(&group) {
                steps.remove(&entry.rank_of(step, number));
                if steps.is_empty() {
                    self.groups.swap_remove(&group);
                }
            }
        }
        Some(number)
    }

    /// Returns the resources that the waiting tasks of a pool need.
    pub fn waiting_size(&self, pool: &str) -> ResourceSize {
        let counts = self.pools.get(pool);
        counts.map(TaskCounts::total).unwrap_or_default()
    }

    /// Returns the accounts of the active jobs, with the resources that their waiting tasks need.
    pub fn account_waits(&self) -> impl Iterator<Item = (&AccountId, ResourceSize)> {
        let accounts = self.accounts.iter();
        accounts.map(|(account, backlog)| (account, backlog.waiting.total()))
    }

    /// Returns the steps of the groups that `has_room` accepts, the most urgent first.
    pub fn ready_steps(
        &self,
        now: Instant,
        has_room: impl Fn(&StepGroup) -> bool,
    ) -> StepCursor<'_> {
        let groups = self.groups.iter().filter(|(group, _)| has_room(group));
        let groups = groups.map(|(group, steps)| GroupCursor {
            group,
            steps,
            range: steps.range(StepRank::first_at(now)..).peekable(),
        });
        StepCursor {
            now,
            late: false,
            groups: groups.collect(),
        }
    }
}

impl<'a> StepCursor<'a> {
    /// Returns the most urgent step that is left, with its group.
    pub fn next(&mut self) -> Option<(&'a StepGroup, NextStep<'a>)> {
        loop {
            let cursors = self.groups.iter_mut().enumerate();
            let ranks = cursors.filter_map(|(index, cursor)| {
                let (rank, _) = cursor.range.peek()?;
                Some(((cursor.group.priority, **rank), index))
            });
            if let Some((_, index)) = ranks.min() {
                let cursor = &mut self.groups[index];
                let (rank, job) = cursor.range.next()?;
                return Some((cursor.group, (job, rank.occurrence, rank.step)));
            }
            if self.late {
                return None;
            }
            self.late = true;
            for cursor in &mut self.groups {
                let late = cursor.steps.range(..StepRank::first_at(self.now));
                cursor.range = late.peekable();
            }
        }
    }

    /// Skips the remaining steps of a group.
    pub fn skip_group(&mut self, group: &StepGroup) {
        self.groups.retain(|cursor| cursor.group != group);
    }
}

impl BacklogEntry {
    fn group_of(&self, step: &ReadyStep) -> StepGroup {
        StepGroup {
            pool: self.pool.clone(),
            size: step.size,
            priority: self.priority,
        }
    }

    fn rank_of(&self, step: &ReadyStep, job: JobNumber) -> StepRank {
        StepRank {
            start_by: self.start_by,
            job,
            occurrence: step.occurrence,
            step: step.step,
        }
    }
}

impl StepRank {
    /// Returns a rank before all steps that have to start at `time` or later.
    fn first_at(time: Instant) -> Self {
        Self {
            start_by: time,
            job: 0,
            occurrence: 0,
            step: 0,
        }
    }
}

impl TaskCounts {
    fn add(&mut self, size: ResourceSize, tasks: u64) {
        *self.0.entry(size).or_default() += tasks;
    }

    fn subtract(&mut self, size: ResourceSize, tasks: u64) {
        if let Some(count) = self.0.get_mut(&size) {
            *count -= tasks;
            if *count == 0 {
                self.0.swap_remove(&size);
            }
        }
    }

    fn total(&self) -> ResourceSize {
        let sizes = self.0.iter().map(|(size, count)| size.times(*count));
        sizes.fold(ResourceSize::default(), |sum, size| sum.plus(&size))
    }
}
