//! Decisions about the leases that an entry instance holds on workers.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use pw_base::prelude::*;

use crate::lease::{HeldLease, LeaseClass, LeaseGrant, LeaseKey};

/// A lease is renewed after its duration divided by this number.
const RENEWAL_DIVISOR: u32 = 3;

/// Settings of a [`LeaseManager`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseSettings {
    /// Delay after a failed request.
    pub retry_delay: Duration,
    /// Time after the last run under a lease for which the lease is still renewed.
    pub idle_timeout: Duration,
}

/// Decides when to acquire and renew leases and whether they may be used.
///
/// A lease is renewed after a third of its duration while runs use it; an idle lease expires. The
/// time of a command counts as the time of its request, so a holder that is paused before it sends
/// the request does not use the lease after its end.
///
/// A worker that reboots forgets which holders it has fenced. A holder whose log read is not fresh
/// may have been fenced without knowing it, so it acquires a lease only on a boot that it knew
/// while its log read was fresh.
#[derive(Debug, Default)]
pub struct LeaseManager {
    settings: LeaseSettings,
    leases: IndexMap<LeaseKey, WorkerLease>,
    deadlines: BTreeSet<(Instant, LeaseKey)>,
    fresh_until: Option<Instant>,
    /// Last known boot of each worker.
    boots: IndexMap<WorkerId, BootId>,
}

/// Input of a [`LeaseManager`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseEvent {
    /// A run requires a lease on the worker.
    LeaseNeeded(LeaseKey),
    /// A run was started under the lease.
    RunStarted(LeaseKey),
    /// A run under the lease has ended.
    RunEnded(LeaseKey),
    /// The worker granted or renewed a lease.
    LeaseGranted {
        /// Key of the lease.
        key: LeaseKey,
        /// Time at which the request was sent.
        requested_at: Instant,
        /// Response of the worker.
        grant: LeaseGrant,
    },
    /// The worker expects a later renewal number than the request had: a response was lost.
    RenewalMismatch {
        /// Key of the lease.
        key: LeaseKey,
        /// Identity of the lease.
        lease: LeaseId,
        /// Renewal number that the next renewal request must contain.
        renewal: RenewalCount,
    },
    /// The worker reported that the lease has ended.
    LeaseEnded {
        /// Key of the lease.
        key: LeaseKey,
        /// Identity of the lease.
        lease: LeaseId,
    },
    /// The worker did not respond or refused a new lease.
    RequestFailed(LeaseKey),
    /// The holder's log read is fresh until the given time.
    ReadingFresh {
        /// End of the freshness, counted from the time at which the read was sent.
        until: Instant,
    },
    /// The identity of the holder has changed; leases of the previous one are no longer renewed.
    HolderChanged,
    /// A deadline has passed.
    TimePassed,
}

/// Action that the caller has to perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseCommand {
    /// Request a new lease from the worker.
    AcquireLease(LeaseKey),
    /// Request a new lease from the worker on the condition that it has not rebooted.
    ReacquireLease {
        /// Key of the lease.
        key: LeaseKey,
        /// Last known boot of the worker.
        boot: BootId,
    },
    /// Request the renewal of a lease.
    RenewLease {
        /// Key of the lease.
        key: LeaseKey,
        /// Identity of the lease.
        lease: LeaseId,
        /// Renewal number of the last grant.
        renewal: RenewalCount,
    },
    /// Start the runs that wait for the lease.
    StartWaiting(LeaseKey),
    /// Reject the runs that wait for the lease; they were not started.
    RejectWaiting(LeaseKey),
}

#[derive(Debug)]
struct WorkerLease {
    held: Option<HeldLease>,
    /// Whether a request to the worker is in flight.
    request_in_flight: bool,
    /// Whether the request in flight was sent for a previous identity of the holder.
    request_outdated: bool,
    /// Whether a run waits for the lease.
    has_waiting: bool,
    running: u32,
    last_used: Instant,
    retry_at: Instant,
    scheduled_at: Option<Instant>,
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
    /// Creates a manager without leases.
    pub fn new(settings: LeaseSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Handles one event and returns the actions to perform.
    pub fn handle(&mut self, now: Instant, event: LeaseEvent) -> Vec<LeaseCommand> {
        let mut commands = Vec::new();
        match &event {
            LeaseEvent::ReadingFresh { until } => self.fresh_until = Some(*until),
            LeaseEvent::HolderChanged => self.drop_leases(),
            LeaseEvent::LeaseGranted { key, grant, .. } => {
                self.boots.insert(key.worker.clone(), grant.boot);
            }
            _ => {}
        }
        if let Some(key) = event.key().cloned() {
            commands.extend(self.apply(now, &key, event));
            self.reschedule(&key);
        }
        self.process_deadlines(now, &mut commands);
        commands
    }

    /// Returns the grant of the lease if a run may start under it now.
    pub fn usable(&self, now: Instant, key: &LeaseKey) -> Option<LeaseGrant> {
        self.leases.get(key)?.usable(now)
    }

    /// Returns the time by which `lease` has expired unless it is renewed again.
    ///
    /// `None` if the lease is no longer held.
    pub fn expired_by(&self, key: &LeaseKey, lease: LeaseId) -> Option<Instant> {
        let held = self.leases.get(key)?.held?;
        (held.grant.lease == lease).then(|| held.expired_by())
    }

    /// Returns the time by which [`LeaseEvent::TimePassed`] should be sent.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Returns the number of held leases.
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
            LeaseEvent::LeaseNeeded(_) => lease.has_waiting = true,
            LeaseEvent::RunStarted(_) => lease.start_run(now),
            LeaseEvent::RunEnded(_) => lease.end_run(now),
            LeaseEvent::LeaseGranted {
                requested_at,
                grant,
                ..
            } => lease.grant(now, requested_at, grant),
            LeaseEvent::RenewalMismatch {
                lease: id, renewal, ..
            } => lease.adopt_renewal(now, id, renewal),
            LeaseEvent::LeaseEnded { lease: id, .. } => lease.end(id),
            LeaseEvent::RequestFailed(_) => {
                lease.request_in_flight = false;
                lease.request_outdated = false;
                lease.retry_at = now + self.settings.retry_delay;
                return lease.reject_waiting(key);
            }
            LeaseEvent::ReadingFresh { .. }
            | LeaseEvent::HolderChanged
            | LeaseEvent::TimePassed => {}
        }
        let boot = self.boots.get(&key.worker).copied();
        let acquire = key.acquire_command(now, self.fresh_until, boot);
        lease.resolve_waiting(now, key, acquire)
    }

    /// Updates the deadline of the lease, or removes the lease if it is unused.
    fn reschedule(&mut self, key: &LeaseKey) {
        let Some(lease) = self.leases.get_mut(key) else {
            return;
        };
        if let Some(deadline) = lease.scheduled_at.take() {
            self.deadlines.remove(&(deadline, key.clone()));
        }
        if lease.is_unused() {
            self.leases.swap_remove(key);
            return;
        }
        lease.scheduled_at = lease.next_deadline(&self.settings);
        if let Some(deadline) = lease.scheduled_at {
            self.deadlines.insert((deadline, key.clone()));
        }
    }

    /// Drops every lease; runs under them end when the leases expire.
    fn drop_leases(&mut self) {
        let keys: Vec<LeaseKey> = self.leases.keys().cloned().collect();
        for key in keys {
            if let Some(lease) = self.leases.get_mut(&key) {
                lease.held = None;
                lease.request_outdated = lease.request_in_flight;
            }
            self.reschedule(&key);
        }
    }

    /// Renews the leases that are due and drops the expired ones.
    fn process_deadlines(&mut self, now: Instant, commands: &mut Vec<LeaseCommand>) {
        while let Some((deadline, key)) = self.deadlines.first().cloned() {
            if deadline > now {
                return;
            }
            if let Some(lease) = self.leases.get_mut(&key) {
                commands.extend(lease.process_deadline(
                    now,
                    &key,
                    &self.settings,
                    self.fresh_until,
                ));
            }
            self.reschedule(&key);
        }
    }
}

impl LeaseKey {
    /// Returns the command to acquire the lease now; `None` if it may not be acquired.
    fn acquire_command(
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
            request_in_flight: false,
            request_outdated: false,
            has_waiting: false,
            running: 0,
            last_used: now,
            retry_at: now,
            scheduled_at: None,
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
        self.request_in_flight = false;
        if std::mem::take(&mut self.request_outdated) {
            return;
        }
        self.held = Some(HeldLease {
            grant,
            requested_at,
            responded_at: now,
        });
    }

    /// Adopts the worker's renewal number; the next renewal is due immediately.
    fn adopt_renewal(&mut self, now: Instant, lease: LeaseId, renewal: RenewalCount) {
        self.request_in_flight = false;
        self.retry_at = now;
        if let Some(held) = self.held.as_mut().filter(|held| held.grant.lease == lease) {
            held.grant.renewal = renewal;
            // The renewal whose response was lost took effect before this response.
            held.responded_at = now;
        }
    }

    fn end(&mut self, lease: LeaseId) {
        if self.held.is_some_and(|held| held.grant.lease == lease) {
            self.held = None;
            self.request_in_flight = false;
        }
    }

    fn resolve_waiting(
        &mut self,
        now: Instant,
        key: &LeaseKey,
        acquire: Option<LeaseCommand>,
    ) -> Option<LeaseCommand> {
        if !self.has_waiting || self.request_in_flight {
            return None;
        }
        if self.usable(now).is_some() {
            self.has_waiting = false;
            return Some(LeaseCommand::StartWaiting(key.clone()));
        }
        let Some(acquire) = acquire.filter(|_| now >= self.retry_at) else {
            return self.reject_waiting(key);
        };
        self.held = None;
        self.request_in_flight = true;
        Some(acquire)
    }

    fn reject_waiting(&mut self, key: &LeaseKey) -> Option<LeaseCommand> {
        let waiting = std::mem::take(&mut self.has_waiting);
        waiting.then(|| LeaseCommand::RejectWaiting(key.clone()))
    }

    fn process_deadline(
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
            self.request_in_flight = true;
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

    /// Returns the time of the next renewal request; `None` if none is due.
    fn renewal_due(&self, settings: &LeaseSettings) -> Option<Instant> {
        let held = self.held.filter(|_| !self.request_in_flight)?;
        let due = self
            .retry_at
            .max(held.requested_at + held.grant.ttl / RENEWAL_DIVISOR);
        let used = self.running > 0 || due <= self.last_used + settings.idle_timeout;
        (used && due < held.usable_until()).then_some(due)
    }

    fn next_deadline(&self, settings: &LeaseSettings) -> Option<Instant> {
        if self.request_in_flight {
            return None;
        }
        let expired_by = self.held.map(|held| held.expired_by());
        self.renewal_due(settings).or(expired_by)
    }

    fn is_unused(&self) -> bool {
        self.held.is_none() && !self.request_in_flight && !self.has_waiting && self.running == 0
    }
}
