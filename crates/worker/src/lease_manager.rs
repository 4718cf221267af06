//! The decision object for the leases that an entry instance holds on workers.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use pw_base::prelude::*;

use crate::lease::{HeldLease, LeaseClass, LeaseGrant, LeaseKey};

/// Part of a lease's length after which it is renewed, as one part of this many.
const RENEW_DIVISOR: u32 = 3;

/// Bounds of a [`LeaseManager`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseSettings {
    /// Pause after a request that was not answered.
    pub retry_delay: Duration,
    /// How long a lease is renewed after the last run under it.
    pub idle_timeout: Duration,
}

/// Decides when leases are taken and renewed, and whether they may be used.
///
/// A lease is renewed at a third of its length while runs use it; an idle one lapses. The time of
/// each command counts as the time of its request: a holder that pauses before it sends the request
/// does not use what it gets.
///
/// A worker that reboots forgets which holders it has fenced. So a holder whose reading of the log
/// is not fresh, and which may have been fenced unknowingly, takes a lease only from a boot that it
/// knew while its reading was fresh.
#[derive(Debug, Default)]
pub struct LeaseManager {
    settings: LeaseSettings,
    leases: IndexMap<LeaseKey, WorkerLease>,
    deadlines: BTreeSet<(Instant, LeaseKey)>,
    fresh_until: Option<Instant>,
    /// Last known boot of each worker.
    boots: IndexMap<WorkerId, BootId>,
}

/// What happened to the leases.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseEvent {
    /// A run waits for a lease on the worker.
    LeaseNeeded(LeaseKey),
    /// A run was started under the worker's lease.
    RunStarted(LeaseKey),
    /// A run under the worker's lease has ended.
    RunEnded(LeaseKey),
    /// The worker granted or renewed a lease.
    LeaseGranted {
        /// Which lease.
        key: LeaseKey,
        /// When the request was sent.
        requested_at: Instant,
        /// What it granted.
        grant: LeaseGrant,
    },
    /// The worker holds a later renewal than the one that was named: an answer was lost.
    RenewalMismatch {
        /// Which lease.
        key: LeaseKey,
        /// Lease that was to be renewed.
        lease: LeaseId,
        /// Number that the next renewal must name.
        renewal: RenewalCount,
    },
    /// The worker says that the lease has ended.
    LeaseEnded {
        /// Which lease.
        key: LeaseKey,
        /// Lease that has ended.
        lease: LeaseId,
    },
    /// The worker did not answer, or it refused a new lease.
    RequestFailed(LeaseKey),
    /// The holder's reading of the log is fresh until the given time.
    ReadingFresh {
        /// End of the freshness, counted from when the read was sent.
        until: Instant,
    },
    /// The holder goes on under another name; no lease of the old one is renewed.
    HolderChanged,
    /// Time has passed.
    TimePassed,
}

/// What the book wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseCommand {
    /// Ask the worker for a new lease.
    AcquireLease(LeaseKey),
    /// Ask the worker for a new lease, unless it has rebooted.
    ReacquireLease {
        /// Which lease.
        key: LeaseKey,
        /// Boot of the worker that the holder knows.
        boot: BootId,
    },
    /// Ask the worker to renew a lease.
    RenewLease {
        /// Which lease.
        key: LeaseKey,
        /// Lease to renew.
        lease: LeaseId,
        /// Number of the last renewal.
        renewal: RenewalCount,
    },
    /// Start the runs that wait for a lease on the worker.
    StartWaiting(LeaseKey),
    /// Give up the runs that wait for a lease on the worker; they have not run.
    RejectWaiting(LeaseKey),
}

#[derive(Debug)]
struct WorkerLease {
    held: Option<HeldLease>,
    /// A request to the worker has not been answered yet.
    asking: bool,
    /// That request was for a holder that is gone.
    outdated: bool,
    /// A run waits for the lease.
    wanted: bool,
    running: u32,
    last_used: Instant,
    retry_at: Instant,
    scheduled: Option<Instant>,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            retry_delay: Duration::from_millis(200),
            idle_timeout: Duration::from_secs(10),
        }
    }
}

impl LeaseManager {
    /// Creates a book without leases.
    pub fn new(settings: LeaseSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Takes one event and returns what is to be done.
    pub fn handle(&mut self, now: Instant, event: LeaseEvent) -> Vec<LeaseCommand> {
        let mut commands = Vec::new();
        match &event {
            LeaseEvent::ReadingFresh { until } => self.fresh_until = Some(*until),
            LeaseEvent::HolderChanged => self.drop_all(),
            LeaseEvent::LeaseGranted { key, grant, .. } => {
                self.boots.insert(key.worker.clone(), grant.boot);
            }
            _ => {}
        }
        if let Some(key) = event.key().cloned() {
            commands.extend(self.apply(now, &key, event));
            self.reschedule(&key);
        }
        self.pass_time(now, &mut commands);
        commands
    }

    /// Returns the lease of `key` when a run may start under it.
    pub fn usable(&self, now: Instant, key: &LeaseKey) -> Option<LeaseGrant> {
        self.leases.get(key)?.usable(now)
    }

    /// Returns when nothing runs under `lease` any more, unless it is renewed again.
    ///
    /// `None` when the book no longer holds the lease.
    pub fn expired_by(&self, key: &LeaseKey, lease: LeaseId) -> Option<Instant> {
        let held = self.leases.get(key)?.held?;
        (held.grant.lease == lease).then(|| held.expired_by())
    }

    /// Returns when the book wants [`LeaseEvent::TimePassed`] at the latest.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Returns how many leases the book holds.
    pub fn held_leases(&self) -> usize {
        let held = |lease: &&WorkerLease| lease.held.is_some();
        self.leases.values().filter(held).count()
    }

    fn apply(&mut self, now: Instant, key: &LeaseKey, event: LeaseEvent) -> Option<LeaseCommand> {
        let lease = self
            .leases
            .entry(key.clone())
            .or_insert_with(|| WorkerLease::new(now));
        match event {
            LeaseEvent::LeaseNeeded(_) => lease.wanted = true,
            LeaseEvent::RunStarted(_) => lease.start_run(now),
            LeaseEvent::RunEnded(_) => lease.end_run(now),
            LeaseEvent::LeaseGranted {
                requested_at,
                grant,
                ..
            } => lease.grant(now, requested_at, grant),
            LeaseEvent::RenewalMismatch {
                lease: id, renewal, ..
            } => lease.resume(now, id, renewal),
            LeaseEvent::LeaseEnded { lease: id, .. } => lease.end(id),
            LeaseEvent::RequestFailed(_) => {
                lease.asking = false;
                lease.outdated = false;
                lease.retry_at = now + self.settings.retry_delay;
                return lease.refuse_waiting(key);
            }
            LeaseEvent::ReadingFresh { .. }
            | LeaseEvent::HolderChanged
            | LeaseEvent::TimePassed => {}
        }
        let boot = self.boots.get(&key.worker).copied();
        let take = key.take_command(now, self.fresh_until, boot);
        lease.serve_waiting(now, key, take)
    }

    /// Keeps the place of `key` among the deadlines, and forgets it when nothing is left.
    fn reschedule(&mut self, key: &LeaseKey) {
        let Some(lease) = self.leases.get_mut(key) else {
            return;
        };
        if let Some(deadline) = lease.scheduled.take() {
            self.deadlines.remove(&(deadline, key.clone()));
        }
        if lease.is_unused() {
            self.leases.swap_remove(key);
            return;
        }
        lease.scheduled = lease.next_deadline(&self.settings);
        if let Some(deadline) = lease.scheduled {
            self.deadlines.insert((deadline, key.clone()));
        }
    }

    /// Gives up every lease; what runs under them ends with them.
    fn drop_all(&mut self) {
        let keys: Vec<LeaseKey> = self.leases.keys().cloned().collect();
        for key in keys {
            if let Some(lease) = self.leases.get_mut(&key) {
                lease.held = None;
                lease.outdated = lease.asking;
            }
            self.reschedule(&key);
        }
    }

    /// Renews the leases that are due and drops those that are over.
    fn pass_time(&mut self, now: Instant, commands: &mut Vec<LeaseCommand>) {
        while let Some((deadline, key)) = self.deadlines.first().cloned() {
            if deadline > now {
                return;
            }
            if let Some(lease) = self.leases.get_mut(&key) {
                commands.extend(lease.pass_time(now, &key, &self.settings, self.fresh_until));
            }
            self.reschedule(&key);
        }
    }
}

impl LeaseKey {
    /// Returns how to take the lease now; `None` when it may not be taken.
    fn take_command(
        &self,
        now: Instant,
        fresh_until: Option<Instant>,
        boot: Option<BootId>,
    ) -> Option<LeaseCommand> {
        let key = self.clone();
        if fresh_until.is_some_and(|until| now < until) {
            return Some(LeaseCommand::AcquireLease(key));
        }
        match self.class {
            LeaseClass::Always => Some(LeaseCommand::ReacquireLease { key, boot: boot? }),
            LeaseClass::WhileFresh => None,
        }
    }

    /// Returns whether the lease may be renewed now.
    fn may_renew(&self, now: Instant, fresh_until: Option<Instant>) -> bool {
        match self.class {
            LeaseClass::Always => true,
            LeaseClass::WhileFresh => fresh_until.is_some_and(|until| now < until),
        }
    }
}

impl LeaseEvent {
    fn key(&self) -> Option<&LeaseKey> {
        match self {
            Self::LeaseNeeded(key)
            | Self::RunStarted(key)
            | Self::RunEnded(key)
            | Self::LeaseGranted { key, .. }
            | Self::RenewalMismatch { key, .. }
            | Self::LeaseEnded { key, .. }
            | Self::RequestFailed(key) => Some(key),
            Self::ReadingFresh { .. } | Self::HolderChanged | Self::TimePassed => None,
        }
    }
}

impl WorkerLease {
    fn new(now: Instant) -> Self {
        Self {
            held: None,
            asking: false,
            outdated: false,
            wanted: false,
            running: 0,
            last_used: now,
            retry_at: now,
            scheduled: None,
        }
    }

    fn usable(&self, now: Instant) -> Option<LeaseGrant> {
        let held = self.held?;
        (now < held.usable_until()).then_some(held.grant)
    }

    fn start_run(&mut self, now: Instant) {
        self.running += 1;
        self.last_used = now;
    }

    fn end_run(&mut self, now: Instant) {
        self.running = self.running.saturating_sub(1);
        self.last_used = now;
    }

    fn grant(&mut self, now: Instant, requested_at: Instant, grant: LeaseGrant) {
        self.asking = false;
        if std::mem::take(&mut self.outdated) {
            return;
        }
        self.held = Some(HeldLease {
            grant,
            requested_at,
            responded_at: now,
        });
    }

    /// Goes on from the worker's count; the next renewal is due at once.
    fn resume(&mut self, now: Instant, lease: LeaseId, renewal: RenewalCount) {
        self.asking = false;
        self.retry_at = now;
        if let Some(held) = self.held.as_mut().filter(|held| held.grant.lease == lease) {
            held.grant.renewal = renewal;
            // The missed renewal took effect at some time before this answer.
            held.responded_at = now;
        }
    }

    fn end(&mut self, lease: LeaseId) {
        if self.held.is_some_and(|held| held.grant.lease == lease) {
            self.held = None;
            self.asking = false;
        }
    }

    fn serve_waiting(
        &mut self,
        now: Instant,
        key: &LeaseKey,
        take: Option<LeaseCommand>,
    ) -> Option<LeaseCommand> {
        if !self.wanted || self.asking {
            return None;
        }
        if self.usable(now).is_some() {
            self.wanted = false;
            return Some(LeaseCommand::StartWaiting(key.clone()));
        }
        let Some(take) = take.filter(|_| now >= self.retry_at) else {
            return self.refuse_waiting(key);
        };
        self.held = None;
        self.asking = true;
        Some(take)
    }

    fn refuse_waiting(&mut self, key: &LeaseKey) -> Option<LeaseCommand> {
        let waiting = std::mem::take(&mut self.wanted);
        waiting.then(|| LeaseCommand::RejectWaiting(key.clone()))
    }

    fn pass_time(
        &mut self,
        now: Instant,
        key: &LeaseKey,
        settings: &LeaseSettings,
        fresh_until: Option<Instant>,
    ) -> Option<LeaseCommand> {
        let held = self.held?;
        if self.renewal_due(settings).is_some_and(|due| due <= now) {
            if !key.may_renew(now, fresh_until) {
                self.retry_at = now + settings.retry_delay;
                return None;
            }
            self.asking = true;
            return Some(LeaseCommand::RenewLease {
                key: key.clone(),
                lease: held.grant.lease,
                renewal: held.grant.renewal,
            });
        }
        if held.expired_by() <= now {
            self.held = None;
        }
        None
    }

    /// Returns when the next renewal is to be sent; `None` when none is.
    fn renewal_due(&self, settings: &LeaseSettings) -> Option<Instant> {
        let held = self.held.filter(|_| !self.asking)?;
        let due = self
            .retry_at
            .max(held.requested_at + held.grant.ttl / RENEW_DIVISOR);
        let used = self.running > 0 || due <= self.last_used + settings.idle_timeout;
        (used && due < held.usable_until()).then_some(due)
    }

    fn next_deadline(&self, settings: &LeaseSettings) -> Option<Instant> {
        if self.asking {
            return None;
        }
        let over = self.held.map(|held| held.expired_by());
        self.renewal_due(settings).or(over)
    }

    fn is_unused(&self) -> bool {
        self.held.is_none() && !self.asking && !self.wanted && self.running == 0
    }
}
