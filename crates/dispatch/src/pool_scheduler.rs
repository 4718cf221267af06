//! Scheduling state of one pool: backlog, fair shares and the reserve for interactive tasks.

use std::time::{Duration, Instant};

use pw_account::prelude::*;
use pw_base::prelude::*;
use pw_place::prelude::*;

use crate::backlog::{PoolBacklog, TaskClass, WaitReason};
use crate::message::{AccountShare, PoolService, RunReport};
use crate::probe::ProbeLimit;
use crate::task::TaskTable;

/// Fraction of a pool's slots that is reserved for interactive tasks.
const URGENT_RESERVE: f64 = 0.1;

/// Time for which a [`CachedFloor`] is reused.
const FLOOR_VALIDITY: Duration = Duration::from_millis(5);

/// Settings for sharing a full pool fairly with the other entry instances.
#[derive(Debug, Clone)]
pub struct FairnessSettings {
    /// Maximum lead over the account furthest behind, as service by all slots of the pool.
    pub max_lead: Duration,
    /// Maximum time for which free slots are left to other entry instances.
    pub max_yield: Duration,
    /// Interval at which the pool is rechecked while its free slots are left to others.
    pub recheck_interval: Duration,
}

/// Scheduling state of one pool.
#[derive(Debug, Default)]
pub struct PoolScheduler {
    /// Waiting tasks.
    pub backlog: PoolBacklog,
    /// Service that each account received, relative to its share.
    pub shares: ShareTracker,
    /// Limit on starts on workers that may have no free slot.
    pub probes: ProbeLimit,
    /// Whether an interactive queue uses the pool.
    pub has_interactive_queue: bool,
    running_deferred: u32,
    yielding_since: Option<Instant>,
    next_recheck: Option<Instant>,
    floor: Option<CachedFloor>,
}

/// Lowest score and total weight of the waiting accounts, here and at peers.
#[derive(Debug, Clone, Copy)]
struct CachedFloor {
    computed: Instant,
    score: Option<f64>,
    waiting_weight: f64,
}

impl Default for FairnessSettings {
    fn default() -> Self {
        Self {
            max_lead: Duration::from_millis(500),
            max_yield: Duration::from_millis(100),
            recheck_interval: Duration::from_millis(10),
        }
    }
}

impl PoolScheduler {
    /// Creates the state of a pool without tasks.
    pub fn new(shares: ShareTracker) -> Self {
        Self {
            shares,
            ..Self::default()
        }
    }

    /// Returns the next task to start; `None` while the free slots of the pool are left to peers.
    pub fn next(
        &mut self,
        now: Instant,
        tasks: &TaskTable,
        roster: &PoolRoster,
        fairness: &FairnessSettings,
    ) -> Option<(ShareAccount, TaskId)> {
        let may_start_relaxed = self.may_start_relaxed(roster);
        let may_start = |class| match class {
            TaskClass::Urgent => true,
            TaskClass::Relaxed => may_start_relaxed,
        };
        let max_score = self.max_score(now, roster.slots(), fairness);
        let Self {
            backlog, shares, ..
        } = self;
        let next = backlog.next(now, tasks, shares, max_score, may_start);
        if next.is_none() && max_score.is_finite() {
            self.yielding_since.get_or_insert(now);
        }
        next
    }

    /// Returns whether free slots are left to accounts that wait at other entry instances.
    pub fn is_yielding(&self) -> bool {
        self.yielding_since.is_some()
    }

    /// Records the start of a run.
    pub fn record_start(&mut self, now: Instant, account: &ShareAccount, is_deferred: bool) {
        self.shares.record_start(now, account);
        self.running_deferred += u32::from(is_deferred);
        self.yielding_since = None;
    }

    /// Records the end of a run.
    pub fn record_end(
        &mut self,
        now: Instant,
        account: &ShareAccount,
        is_deferred: bool,
        report: RunReport,
    ) {
        self.shares.record_end(now, account);
        self.running_deferred = self.running_deferred.saturating_sub(u32::from(is_deferred));
        if report == RunReport::Busy {
            self.probes.record_busy();
        }
    }

    /// Schedules a recheck of the pool; returns `false` if one is scheduled for `at` or earlier.
    pub fn schedule_recheck(&mut self, at: Instant) -> bool {
        let is_earlier = self.next_recheck.is_none_or(|scheduled| at < scheduled);
        if is_earlier {
            self.next_recheck = Some(at);
        }
        is_earlier
    }

    /// Clears the scheduled recheck.
    pub fn clear_recheck(&mut self) {
        self.next_recheck = None;
    }

    /// Returns the expected wait of one more task of `account` on a pool with `slots` slots.
    ///
    /// The estimate assumes that the account runs as many tasks as now, or as many as its share of
    /// the pool allows if that is more and it does not lack permits. It is zero without observed
    /// run times.
    pub fn expected_wait(
        &self,
        account: &ShareAccount,
        slots: u32,
        mean_run_time: Duration,
    ) -> Duration {
        let running = f64::from(self.shares.running(account)).max(1.0);
        let slots = if self.lacks_permits(account) {
            running
        } else {
            running.max(f64::from(slots) * self.shares.entitled_fraction(account))
        };
        mean_run_time.mul_f64(f64::from(self.backlog.waiting_of(account)) / slots)
    }

    /// Updates the number of tasks of `account` that could use a slot; zero while it lacks permits.
    pub fn update_waiting(&mut self, now: Instant, account: &ShareAccount) {
        let waiting = if self.lacks_permits(account) {
            0
        } else {
            self.backlog.waiting_of(account)
        };
        self.shares.set_waiting(now, account, waiting);
    }

    /// Returns the highest score at which an account may start tasks.
    ///
    /// Accounts with a higher score leave the free slots to accounts that wait at other entry
    /// instances, for at most [`FairnessSettings::max_yield`].
    fn max_score(&mut self, now: Instant, slots: u32, fairness: &FairnessSettings) -> f64 {
        let is_expired = |since| now >= since + fairness.max_yield;
        if !self.shares.has_peers() || self.yielding_since.is_some_and(is_expired) {
            return f64::INFINITY;
        }
        let floor = self.floor(now);
        // Old reports give inaccurate scores, so the allowed lead grows with their age.
        let max_lead = fairness.max_lead.max(self.shares.report_age(now));
        let service = max_lead.as_secs_f64() * f64::from(slots);
        let allowed = service / floor.waiting_weight.max(1.0);
        floor.score.map_or(f64::INFINITY, |score| score + allowed)
    }

    /// Returns the report on the pool for the peers; `None` if no account waits at any instance.
    pub fn report(&self, now: Instant, pool: &PoolId) -> Option<PoolService> {
        self.shares.min_waiting_score(now)?;
        let accounts = self.shares.report(now).into_iter();
        let accounts = accounts.map(|(account, service)| AccountShare {
            account,
            served: service.served,
            idle_charge: service.idle_charge,
            running: service.running,
            waiting: service.waiting,
        });
        Some(PoolService {
            pool: pool.clone(),
            accounts: accounts.collect(),
        })
    }

    fn floor(&mut self, now: Instant) -> CachedFloor {
        let cached = self.floor;
        let cached = cached.filter(|floor| now < floor.computed + FLOOR_VALIDITY);
        let floor = cached.unwrap_or_else(|| CachedFloor {
            computed: now,
            score: self.shares.min_waiting_score(now),
            waiting_weight: self.shares.waiting_weight(),
        });
        self.floor = Some(floor);
        floor
    }

    fn lacks_permits(&self, account: &ShareAccount) -> bool {
        let held = self.backlog.held(account);
        matches!(held, Some(WaitReason::Permit | WaitReason::RemotePermit))
    }

    fn may_start_relaxed(&self, roster: &PoolRoster) -> bool {
        let reserved = if self.has_interactive_queue {
            (f64::from(roster.slots()) * URGENT_RESERVE).ceil() as u32
        } else {
            0
        };
        self.running_deferred + reserved < roster.slots()
    }
}
