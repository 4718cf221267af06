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

use super::room::PoolRoom;

/// Number of a job in the order in which this owner accepted it.
type JobNumber = u64;

/// Ready steps of one pool and priority whose tasks have about the same size.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct GroupKey {
    pool: PoolId,
    /// Priority of the queue; 0 is the highest.
    priority: u32,
    /// The tasks run until their job is cancelled.
    long_running: bool,
    /// A task of the occurrence has been placed before.
    begun: bool,
    /// Magnitudes of the millicores and of the memory of a task.
    magnitudes: (u32, u32),
}

/// Ready steps with the same [`GroupKey`].
#[derive(Debug, Default)]
struct StepGroup {
    steps: BTreeMap<StepRank, (JobId, ResourceSize)>,
    /// Number of steps by the millicores of their tasks.
    millicores: BTreeMap<u32, usize>,
    /// Number of steps by the memory of their tasks.
    memory: BTreeMap<u32, usize>,
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
    /// Number of waiting tasks that need room; those that start after others are left out.
    pub waiting: u64,
    /// The tasks run until their job is cancelled.
    pub long_running: bool,
    /// A task of the occurrence has been placed before.
    pub begun: bool,
}

/// A step to place, as returned by [`StepCursor`].
#[derive(Debug, Clone, Copy)]
pub(super) struct NextStep<'a> {
    pub pool: &'a PoolId,
    pub job: &'a JobId,
    pub occurrence: OccurrenceNumber,
    pub step: u32,
}

/// Room in each pool of the shard.
pub(super) type PoolRooms = IndexMap<PoolId, PoolRoom>;

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

/// Sum of the resources that waiting tasks need.
#[derive(Debug, Clone, Copy, Default)]
struct WaitingSum {
    millicores: u64,
    memory_mib: u64,
    accelerators: u64,
}

/// Demand of one account.
#[derive(Debug, Clone, Default)]
struct AccountBacklog {
    active_jobs: usize,
    waiting: WaitingSum,
}

/// Index of the active jobs: those that are not over or still have placed runs.
#[derive(Debug, Default)]
pub(super) struct BacklogIndex {
    jobs: IndexMap<JobId, (JobNumber, BacklogEntry)>,
    next_number: JobNumber,
    groups: IndexMap<GroupKey, StepGroup>,
    pools: IndexMap<PoolId, WaitingSum>,
    accounts: IndexMap<AccountId, AccountBacklog>,
}

/// Iterates over the ready steps in scheduling order.
///
/// Under overload, more work waits than the pool can run. In order of age alone, every job would
/// miss its objective, so jobs that can no longer meet it rank after those that can. What has begun
/// ranks before all that has not, late or not: otherwise each job would get some of its tasks done, then
/// turn late and wait behind jobs that came later, and none would end. It gives up new jobs that would
/// have been in time while a begun one, however wide, takes the room. Long-running tasks have no
/// objective to miss: each moment of waiting counts, so they keep their rank.
pub(super) struct StepCursor<'a> {
    now: Instant,
    /// The cursor has passed all steps that can still meet their objective.
    late: bool,
    groups: Vec<GroupCursor<'a>>,
    /// Number of steps that the cursor has passed.
    pub visits: u64,
}

struct GroupCursor<'a> {
    key: &'a GroupKey,
    group: &'a StepGroup,
    range: Peekable<Range<'a, StepRank, (JobId, ResourceSize)>>,
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
                account.waiting.add(step);
            }
        }
        for step in &entry.steps {
            self.pools.entry(entry.pool.clone()).or_default().add(step);
            let group = self.groups.entry(entry.key_of(step)).or_default();
            group.insert(entry.rank_of(step, number), job.clone(), step.size);
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
                sums.waiting.subtract(step);
            }
            if sums.active_jobs == 0 {
                self.accounts.swap_remove(account);
            }
        }
        for step in &entry.steps {
            if let Some(sum) = self.pools.get_mut(&entry.pool) {
                sum.subtract(step);
            }
            let key = entry.key_of(step);
            if let Some(group) = self.groups.get_mut(&key) {
                group.remove(&entry.rank_of(step, number));
                if group.steps.is_empty() {
                    self.groups.swap_remove(&key);
                }
            }
        }
        Some(number)
    }

    /// Returns the resources that the waiting tasks of a pool need.
    pub fn waiting_size(&self, pool: &str) -> ResourceSize {
        self.pools
            .get(pool)
            .map(WaitingSum::size)
            .unwrap_or_default()
    }

    /// Returns the part of [`waiting_size`](Self::waiting_size) whose jobs can no longer meet their
    /// objectives. Long-running tasks have none to miss.
    pub fn late_size(&self, pool: &str, now: Instant) -> ResourceSize {
        let mut sum = WaitingSum::default();
        let groups = self.groups.iter();
        let groups = groups.filter(|(key, _)| *key.pool == *pool && !key.keeps_rank());
        for (rank, (job, _)) in
            groups.flat_map(|(_, group)| group.steps.range(..StepRank::first_at(now)))
        {
            let entry = self.jobs.get(job).map(|(_, entry)| &entry.steps);
            let mut steps = entry.into_iter().flatten();
            let step = steps.find(|s| s.occurrence == rank.occurrence && s.step == rank.step);
            if let Some(step) = step {
                sum.add(step);
            }
        }
        sum.size()
    }

    /// Returns the sizes of the waiting tasks of a pool, one for each step.
    pub fn waiting_sizes<'a>(&'a self, pool: &'a str) -> impl Iterator<Item = &'a ResourceSize> {
        let groups = self
            .groups
            .iter()
            .filter(move |(key, _)| *key.pool == *pool);
        groups.flat_map(|(_, group)| group.steps.values().map(|(_, size)| size))
    }

    /// Returns the accounts of the active jobs, with the resources that their waiting tasks need.
    pub fn account_waits(&self) -> impl Iterator<Item = (&AccountId, ResourceSize)> {
        let accounts = self.accounts.iter();
        accounts.map(|(account, backlog)| (account, backlog.waiting.size()))
    }

    /// Returns the pools with ready steps.
    pub fn pools(&self) -> impl Iterator<Item = &PoolId> {
        self.pools.keys()
    }

    /// Returns a cursor before the most urgent step.
    pub fn ready_steps(&self, now: Instant) -> StepCursor<'_> {
        let groups = self.groups.iter().map(|(key, group)| {
            let range = if key.keeps_rank() {
                group.steps.range(..)
            } else {
                group.steps.range(StepRank::first_at(now)..)
            };
            GroupCursor {
                key,
                group,
                range: range.peekable(),
            }
        });
        StepCursor {
            now,
            late: false,
            groups: groups.collect(),
            visits: 0,
        }
    }
}

impl<'a> StepCursor<'a> {
    /// Returns the next step with a task that fits into `rooms`.
    pub fn next(&mut self, rooms: &PoolRooms) -> Option<NextStep<'a>> {
        loop {
            let Some(index) = self.next_group() else {
                if self.late {
                    return None;
                }
                self.start_late_steps();
                continue;
            };
            let cursor = &mut self.groups[index];
            let room = rooms.get(&cursor.key.pool)?;
            if !room.fits(&cursor.group.smallest_size()) {
                self.groups.swap_remove(index);
                continue;
            }
            let (rank, (job, size)) = cursor.range.next()?;
            self.visits += 1;
            if room.fits(size) {
                return Some(NextStep {
                    pool: &cursor.key.pool,
                    job,
                    occurrence: rank.occurrence,
                    step: rank.step,
                });
            }
        }
    }

    /// Returns the index of the group with the most urgent step.
    fn next_group(&mut self) -> Option<usize> {
        let cursors = self.groups.iter_mut().enumerate();
        let ranks = cursors.filter_map(|(index, cursor)| {
            let (rank, _) = cursor.range.peek()?;
            let fresh = !cursor.key.keeps_rank();
            Some(((cursor.key.priority, fresh, **rank), index))
        });
        ranks.min().map(|(_, index)| index)
    }

    fn start_late_steps(&mut self) {
        self.late = true;
        self.groups.retain(|cursor| !cursor.key.keeps_rank());
        for cursor in &mut self.groups {
            let late = cursor.group.steps.range(..StepRank::first_at(self.now));
            cursor.range = late.peekable();
        }
    }
}

impl GroupKey {
    /// Returns whether the steps keep their rank when they turn late.
    fn keeps_rank(&self) -> bool {
        self.long_running || self.begun
    }
}

impl StepGroup {
    fn insert(&mut self, rank: StepRank, job: JobId, size: ResourceSize) {
        *self.millicores.entry(size.millicores).or_default() += 1;
        *self.memory.entry(size.memory_mib).or_default() += 1;
        self.steps.insert(rank, (job, size));
    }

    fn remove(&mut self, rank: &StepRank) {
        if let Some((_, size)) = self.steps.remove(rank) {
            subtract_one(&mut self.millicores, size.millicores);
            subtract_one(&mut self.memory, size.memory_mib);
        }
    }

    /// Returns a size that fits wherever some task of the group does.
    fn smallest_size(&self) -> ResourceSize {
        let first = |counts: &BTreeMap<u32, usize>| counts.keys().next().copied();
        ResourceSize {
            millicores: first(&self.millicores).unwrap_or_default(),
            memory_mib: first(&self.memory).unwrap_or_default(),
            accelerators: 0,
        }
    }
}

/// Removes one of the steps that are counted under `key`.
fn subtract_one(counts: &mut BTreeMap<u32, usize>, key: u32) {
    if let Some(count) = counts.get_mut(&key) {
        *count -= 1;
        if *count == 0 {
            counts.remove(&key);
        }
    }
}

impl BacklogEntry {
    fn key_of(&self, step: &ReadyStep) -> GroupKey {
        let magnitude = |amount: u32| amount.checked_ilog2().unwrap_or_default();
        GroupKey {
            pool: self.pool.clone(),
            priority: self.priority,
            long_running: step.long_running,
            begun: step.begun,
            magnitudes: (
                magnitude(step.size.millicores),
                magnitude(step.size.memory_mib),
            ),
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

impl WaitingSum {
    fn add(&mut self, step: &ReadyStep) {
        self.millicores += step.waiting * u64::from(step.size.millicores);
        self.memory_mib += step.waiting * u64::from(step.size.memory_mib);
        self.accelerators += step.waiting * u64::from(step.size.accelerators);
    }

    fn subtract(&mut self, step: &ReadyStep) {
        self.millicores -= step.waiting * u64::from(step.size.millicores);
        self.memory_mib -= step.waiting * u64::from(step.size.memory_mib);
        self.accelerators -= step.waiting * u64::from(step.size.accelerators);
    }

    fn size(&self) -> ResourceSize {
        let saturate = |sum: u64| u32::try_from(sum).unwrap_or(u32::MAX);
        ResourceSize {
            millicores: saturate(self.millicores),
            memory_mib: saturate(self.memory_mib),
            accelerators: saturate(self.accelerators),
        }
    }
}
