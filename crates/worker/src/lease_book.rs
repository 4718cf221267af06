//! The decision object for the leases that an entry instance holds on workers.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use pw_base::prelude::*;

use crate::lease::{HeldLease, LeaseGrant};

/// Part of a lease's length after which it is renewed, as one part of this many.
const RENEW_DIVISOR: u32 = 3;

/// Bounds of a [`LeaseBook`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BookSettings {
    /// Pause after a renewal that was not answered.
    pub retry_pause: Duration,
    /// How long a lease is renewed after the last run under it.
    pub idle_timeout: Duration,
}

/// Decides when leases are taken and renewed, and whether they may be used.
///
/// A lease is renewed at a third of its length while runs use it; an idle one lapses.
#[derive(Debug, Default)]
pub struct LeaseBook {
    settings: BookSettings,
    workers: IndexMap<WorkerId, WorkerLease>,
    deadlines: BTreeSet<(Instant, WorkerId)>,
}

/// What happened to the leases.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseEvent {
    /// A run waits for a lease on the worker.
    LeaseWanted(WorkerId),
    /// A run was started under the worker's lease.
    RunStarted(WorkerId),
    /// A run under the worker's lease has ended.
    RunEnded(WorkerId),
    /// The worker granted or renewed a lease.
    LeaseGranted {
        /// Worker that granted it.
        worker: WorkerId,
        /// When the request was sent.
        asked: Instant,
        /// What it granted.
        grant: LeaseGrant,
    },
    /// The worker holds a later renewal than the one that was named: an answer was lost.
    RenewalMissed {
        /// Worker that refused.
        worker: WorkerId,
        /// Lease that was to be renewed.
        lease: LeaseId,
        /// Number that the next renewal must name.
        renewal: RenewalCount,
    },
    /// The worker says that the lease has ended.
    LeaseEnded {
        /// Worker that granted it.
        worker: WorkerId,
        /// Lease that has ended.
        lease: LeaseId,
    },
    /// The worker did not answer, or it refused a new lease.
    LeaseUnanswered(WorkerId),
    /// Time has passed.
    TimePassed,
}

/// What the book wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseCommand {
    /// Ask the worker for a new lease.
    TakeLease(WorkerId),
    /// Ask the worker to renew a lease.
    RenewLease {
        /// Worker that granted it.
        worker: WorkerId,
        /// Lease to renew.
        lease: LeaseId,
        /// Number of the last renewal.
        renewal: RenewalCount,
    },
    /// Start the runs that wait for a lease on the worker.
    StartWaiting(WorkerId),
    /// Give up the runs that wait for a lease on the worker; they have not run.
    RefuseWaiting(WorkerId),
}

#[derive(Debug)]
struct WorkerLease {
    held: Option<HeldLease>,
    /// A request to the worker has not been answered yet.
    asking: bool,
    /// A run waits for the lease.
    wanted: bool,
    running: u32,
    last_used: Instant,
    retry_at: Instant,
    scheduled: Option<Instant>,
}

impl Default for BookSettings {
    fn default() -> Self {
        Self {
            retry_pause: Duration::from_millis(500),
            idle_timeout: Duration::from_secs(10),
        }
    }
}

impl LeaseBook {
    /// Creates a book without leases.
    pub fn new(settings: BookSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Takes one event and returns what is to be done.
    pub fn handle(&mut self, now: Instant, event: LeaseEvent) -> Vec<LeaseCommand> {
        let mut commands = Vec::new();
        if let Some(worker) = event.worker().map(Arc::clone) {
            commands.extend(self.apply(now, &worker, event));
            self.reschedule(&worker);
        }
        self.pass_time(now, &mut commands);
        commands
    }

    /// Returns the lease on `worker` when a run may start under it.
    pub fn usable(&self, now: Instant, worker: &WorkerId) -> Option<LeaseGrant> {
        self.workers.get(worker)?.usable(now)
    }

    /// Returns when nothing runs on `worker` under `lease` any more, unless it is renewed again.
    ///
    /// `None` when the book no longer holds the lease.
    pub fn over_by(&self, worker: &WorkerId, lease: LeaseId) -> Option<Instant> {
        let held = self.workers.get(worker)?.held?;
        (held.grant.lease == lease).then(|| held.over_by())
    }

    /// Returns when the book wants [`LeaseEvent::TimePassed`] at the latest.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Returns how many leases the book holds.
    pub fn held_leases(&self) -> usize {
        let held = |lease: &&WorkerLease| lease.held.is_some();
        self.workers.values().filter(held).count()
    }

    fn apply(
        &mut self,
        now: Instant,
        worker: &WorkerId,
        event: LeaseEvent,
    ) -> Option<LeaseCommand> {
        let lease = self
            .workers
            .entry(Arc::clone(worker))
            .or_insert_with(|| WorkerLease::new(now));
        match event {
            LeaseEvent::LeaseWanted(_) => lease.wanted = true,
            LeaseEvent::RunStarted(_) => lease.start_run(now),
            LeaseEvent::RunEnded(_) => lease.end_run(now),
            LeaseEvent::LeaseGranted { asked, grant, .. } => lease.grant(now, asked, grant),
            LeaseEvent::RenewalMissed {
                lease: id, renewal, ..
            } => lease.resume(now, id, renewal),
            LeaseEvent::LeaseEnded { lease: id, .. } => lease.end(id),
            LeaseEvent::LeaseUnanswered(_) => {
                lease.asking = false;
                lease.retry_at = now + self.settings.retry_pause;
                return lease.refuse_waiting(worker);
            }
            LeaseEvent::TimePassed => {}
        }
        lease.serve_waiting(now, worker)
    }

    /// Keeps the place of `worker` among the deadlines, and forgets it when nothing is left.
    fn reschedule(&mut self, worker: &WorkerId) {
        let Some(lease) = self.workers.get_mut(worker) else {
            return;
        };
        if let Some(deadline) = lease.scheduled.take() {
            self.deadlines.remove(&(deadline, Arc::clone(worker)));
        }
        if lease.is_unused() {
            self.workers.swap_remove(worker);
            return;
        }
        lease.scheduled = lease.next_deadline(&self.settings);
        if let Some(deadline) = lease.scheduled {
            self.deadlines.insert((deadline, Arc::clone(worker)));
        }
    }

    /// Renews the leases that are due and drops those that are over.
    fn pass_time(&mut self, now: Instant, commands: &mut Vec<LeaseCommand>) {
        while let Some((deadline, worker)) = self.deadlines.first().cloned() {
            if deadline > now {
                return;
            }
            if let Some(lease) = self.workers.get_mut(&worker) {
                commands.extend(lease.pass_time(now, &worker, &self.settings));
            }
            self.reschedule(&worker);
        }
    }
}

impl LeaseEvent {
    fn worker(&self) -> Option<&WorkerId> {
        match self {
            Self::LeaseWanted(worker)
            | Self::RunStarted(worker)
            | Self::RunEnded(worker)
            | Self::LeaseGranted { worker, .. }
            | Self::RenewalMissed { worker, .. }
            | Self::LeaseEnded { worker, .. }
            | Self::LeaseUnanswered(worker) => Some(worker),
            Self::TimePassed => None,
        }
    }
}

impl WorkerLease {
    fn new(now: Instant) -> Self {
        Self {
            held: None,
            asking: false,
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

    fn grant(&mut self, now: Instant, asked: Instant, grant: LeaseGrant) {
        self.asking = false;
        self.held = Some(HeldLease {
            grant,
            asked,
            answered: now,
        });
    }

    /// Goes on from the worker's count; the next renewal is due at once.
    fn resume(&mut self, now: Instant, lease: LeaseId, renewal: RenewalCount) {
        self.asking = false;
        self.retry_at = now;
        if let Some(held) = self.held.as_mut().filter(|held| held.grant.lease == lease) {
            held.grant.renewal = renewal;
            // The missed renewal took effect at some time before this answer.
            held.answered = now;
        }
    }

    fn end(&mut self, lease: LeaseId) {
        if self.held.is_some_and(|held| held.grant.lease == lease) {
            self.held = None;
            self.asking = false;
        }
    }

    fn serve_waiting(&mut self, now: Instant, worker: &WorkerId) -> Option<LeaseCommand> {
        if !self.wanted || self.asking {
            return None;
        }
        if self.usable(now).is_some() {
            self.wanted = false;
            return Some(LeaseCommand::StartWaiting(Arc::clone(worker)));
        }
        if now < self.retry_at {
            return self.refuse_waiting(worker);
        }
        self.held = None;
        self.asking = true;
        Some(LeaseCommand::TakeLease(Arc::clone(worker)))
    }

    fn refuse_waiting(&mut self, worker: &WorkerId) -> Option<LeaseCommand> {
        let waiting = std::mem::take(&mut self.wanted);
        waiting.then(|| LeaseCommand::RefuseWaiting(Arc::clone(worker)))
    }

    fn pass_time(
        &mut self,
        now: Instant,
        worker: &WorkerId,
        settings: &BookSettings,
    ) -> Option<LeaseCommand> {
        let held = self.held?;
        if self.renewal_due(settings).is_some_and(|due| due <= now) {
            self.asking = true;
            return Some(LeaseCommand::RenewLease {
                worker: Arc::clone(worker),
                lease: held.grant.lease,
                renewal: held.grant.renewal,
            });
        }
        if held.over_by() <= now {
            self.held = None;
        }
        None
    }

    /// Returns when the next renewal is to be sent; `None` when none is.
    fn renewal_due(&self, settings: &BookSettings) -> Option<Instant> {
        let held = self.held.filter(|_| !self.asking)?;
        let due = self
            .retry_at
            .max(held.asked + held.grant.ttl / RENEW_DIVISOR);
        let used = self.running > 0 || due <= self.last_used + settings.idle_timeout;
        (used && due < held.usable_until()).then_some(due)
    }

    fn next_deadline(&self, settings: &BookSettings) -> Option<Instant> {
        if self.asking {
            return None;
        }
        let over = self.held.map(|held| held.over_by());
        self.renewal_due(settings).or(over)
    }

    fn is_unused(&self) -> bool {
        self.held.is_none() && !self.asking && !self.wanted && self.running == 0
    }
}
