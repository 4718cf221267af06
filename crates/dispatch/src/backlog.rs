//! The tasks that wait for one pool, by team.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Instant;

use indexmap::{IndexMap, IndexSet};
use pw_base::prelude::*;
use pw_pool::prelude::*;
use pw_team::prelude::*;
use serde::Serialize;
use strum::{AsRefStr, Display};

use crate::task::TaskTable;

/// Dead entries that a queue may hold before it is compacted.
const MIN_DEAD: usize = 64;

/// Why a waiting task does not start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Display, AsRefStr)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum WaitReason {
    /// Earlier tasks of its team go first.
    Turn,
    /// No worker of its pool has a free slot.
    Slots,
    /// Every worker of its pool is in an availability zone out of service or is not live.
    Zone,
    /// No worker with a free slot has the resources that it needs.
    Resources,
    /// Its team runs as many tasks as this entry instance may start.
    Permit,
    /// Its team runs as many tasks as may be started outside the home zone.
    RemotePermit,
    /// Its team is ahead of its share of a full pool.
    Share,
    /// The free slots are kept for tasks whose callers wait.
    Reserve,
    /// It pauses before its next attempt.
    Retry,
}

/// Which tasks of a team go first.
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
    teams: IndexMap<ShareTeam, TeamBacklog>,
    active: IndexSet<ShareTeam>,
    held: IndexMap<ShareTeam, WaitReason>,
    waiting: u32,
}

/// Tasks of one team that wait for one pool.
///
/// Entries of cancelled tasks stay until their turn or until they are the larger part, so that a
/// cancellation takes constant time.
#[derive(Debug, Default)]
struct TeamBacklog {
    interactive: VecDeque<TaskId>,
    deferred: BinaryHeap<Reverse<(Instant, TaskId)>>,
    waiting: u32,
}

impl TeamBacklog {
    fn entries(&self) -> usize {
        self.interactive.len() + self.deferred.len()
    }

    fn drop_dead_heads(&mut self, tasks: &TaskTable) {
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
        let dead = self.entries().saturating_sub(self.waiting as usize);
        if dead > MIN_DEAD && dead > self.waiting as usize {
            self.interactive.retain(|id| tasks.is_waiting(*id));
            self.deferred
                .retain(|Reverse((_, id))| tasks.is_waiting(*id));
        }
    }

    fn has(&self, now: Instant, class: TaskClass) -> bool {
        let is_pressed = |entry: &Reverse<(Instant, TaskId)>| entry.0.0 <= now;
        match class {
            TaskClass::Urgent => {
                !self.interactive.is_empty() || self.deferred.peek().is_some_and(is_pressed)
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

    /// Returns how many tasks of `team` wait.
    pub fn waiting_of(&self, team: &ShareTeam) -> u32 {
        self.teams.get(team).map_or(0, |team| team.waiting)
    }

    /// Returns why no task of `team` starts, when the reason concerns the whole team.
    pub fn held(&self, team: &ShareTeam) -> Option<WaitReason> {
        self.held.get(team).copied()
    }

    /// Adds a task; one that is tried again goes first. `latest_start` orders deferred tasks.
    pub fn push(
        &mut self,
        team: &ShareTeam,
        id: TaskId,
        kind: QueueKind,
        latest_start: Instant,
        is_retry: bool,
    ) {
        let backlog = self.teams.entry(team.clone()).or_default();
        match (kind, is_retry) {
            (QueueKind::Interactive, false) => backlog.interactive.push_back(id),
            (QueueKind::Interactive, true) => backlog.interactive.push_front(id),
            (QueueKind::Deferred, _) => backlog.deferred.push(Reverse((latest_start, id))),
        }
        backlog.waiting += 1;
        self.waiting += 1;
        self.active.insert(team.clone());
    }

    /// Counts a task that no longer waits; its entry is dropped later.
    pub fn forget(&mut self, team: &ShareTeam, tasks: &TaskTable) {
        if let Some(backlog) = self.teams.get_mut(team) {
            backlog.waiting = backlog.waiting.saturating_sub(1);
            self.waiting = self.waiting.saturating_sub(1);
            backlog.compact(tasks);
        }
        self.retire(team);
    }

    /// Takes the task that [`PoolBacklog::next`] named out of the backlog.
    pub fn take(&mut self, team: &ShareTeam, id: TaskId) {
        if let Some(backlog) = self.teams.get_mut(team) {
            backlog.pop(id);
            backlog.waiting = backlog.waiting.saturating_sub(1);
            self.waiting = self.waiting.saturating_sub(1);
        }
        self.retire(team);
    }

    /// Returns the next task: that of the team with the lowest score, urgent ones first.
    ///
    /// Teams more than one running task above `max_score` are passed over.
    pub fn next(
        &mut self,
        now: Instant,
        tasks: &TaskTable,
        shares: &ShareBook,
        max_score: f64,
        may_start: impl Fn(TaskClass) -> bool,
    ) -> Option<(ShareTeam, TaskId)> {
        [TaskClass::Urgent, TaskClass::Relaxed]
            .into_iter()
            .filter(|class| may_start(*class))
            .filter_map(|class| self.next_of(now, tasks, shares, class))
            .find(|(score, team, _)| *score <= max_score + shares.task_score(team))
            .map(|(_, team, task)| (team, task))
    }

    /// Starts no task of `team` until its hold is released.
    pub fn hold(&mut self, team: &ShareTeam, reason: WaitReason) {
        self.held.insert(team.clone(), reason);
    }

    /// Releases the hold of `team` when it has that reason.
    pub fn release(&mut self, team: &ShareTeam, reason: WaitReason) {
        if self.held.get(team) == Some(&reason) {
            self.held.swap_remove(team);
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
        shares: &ShareBook,
        class: TaskClass,
    ) -> Option<(f64, ShareTeam, TaskId)> {
        let Self {
            teams,
            active,
            held,
            ..
        } = self;
        active
            .iter()
            .filter(|team| !held.contains_key(*team))
            .filter_map(|team| {
                let backlog = teams.get_mut(team)?;
                backlog.drop_dead_heads(tasks);
                let head = backlog
                    .has(now, class)
                    .then(|| backlog.head(now, class))??;
                Some((shares.score(now, team), team, head))
            })
            .min_by(|(a, ..), (b, ..)| a.total_cmp(b))
            .map(|(score, team, head)| (score, team.clone(), head))
    }

    /// Takes a team without waiting tasks out of the turn.
    fn retire(&mut self, team: &ShareTeam) {
        if self.waiting_of(team) == 0 {
            self.active.swap_remove(team);
            self.held.swap_remove(team);
        }
    }
}
