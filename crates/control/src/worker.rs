//! Workers as the platform lists them, and what an owner knows of each.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use pw_base::prelude::*;
use pw_job::prelude::*;
use pw_worker::prelude::*;
use serde::{Deserialize, Serialize};
use strum::{AsRefStr, Display, EnumString};

use crate::pace::FULL_PACE;

/// Whether a worker takes new work.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, AsRefStr, Display, EnumString, Serialize, Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
pub enum WorkerPhase {
    /// It takes work.
    Ready,
    /// It leaves soon.
    Draining,
}

/// A worker as it reports itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerEntry {
    /// Name of the worker.
    pub id: WorkerId,
    /// Pool that it serves.
    pub pool: PoolId,
    /// Address of its backend server.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its rack.
    pub rack: Option<RackId>,
    /// Labels that steps may require.
    pub labels: Vec<Arc<str>>,
    /// What it has in total.
    pub capacity: ResourceSize,
    /// Whether it takes new work.
    pub phase: WorkerPhase,
    /// Start of its life.
    pub life: LifeStart,
    /// Machine that it runs on.
    pub machine: Option<MachineId>,
}

/// Returns the workers without those on whose machine a later one lives, and the latest life on each
/// machine.
///
/// A worker that is gone stays listed for some heartbeats. Until then, work would be placed there.
pub fn current_workers(
    mut workers: Vec<WorkerEntry>,
) -> (Vec<WorkerEntry>, IndexMap<MachineId, LifeStart>) {
    let mut lives: IndexMap<MachineId, LifeStart> = IndexMap::new();
    for worker in &workers {
        if let Some(machine) = &worker.machine {
            let latest = lives.entry(machine.clone()).or_default();
            *latest = worker.life.max(*latest);
        }
    }
    workers.retain(|worker| {
        let machine = worker.machine.as_ref();
        let latest = machine.and_then(|machine| lives.get(machine));
        latest.is_none_or(|life| worker.life >= *life)
    });
    (workers, lives)
}

/// Progress of a lasting task that is at work, in percent.
pub(crate) const READY_PERCENT: u8 = 100;

/// What became known of a run on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunPhase {
    /// An earlier owner placed it; whether it started is not known.
    Inherited,
    /// It is placed and not stored yet.
    Planned,
    /// Its start was sent; no answer yet.
    Sent,
    /// Its start went unanswered; it is sent again after a look that doesn't show it.
    Unanswered,
    /// The worker has it.
    Running,
    /// It is to be stopped.
    Stopping,
}

/// A run that is, or may be, on a worker.
#[derive(Debug, Clone)]
pub(crate) struct RunRecord {
    pub run: RunNumber,
    /// What is set aside for it.
    pub size: ResourceSize,
    pub account: Option<AccountId>,
    pub phase: RunPhase,
    /// When the phase began.
    pub since: Instant,
    /// Starts that went unanswered.
    pub start_attempts: u32,
    /// When a stop was sent last.
    pub stop_sent: Option<Instant>,
    /// When the worker answered a stop.
    pub stop_acknowledged: Option<Instant>,
    /// Its processor time is not set aside.
    pub best_effort: bool,
    /// Bound of its tail of response times.
    pub target_latency: Option<Duration>,
    /// Share of its full speed, in percent.
    pub pace: u8,
    /// When the pace was set.
    pub paced_at: Option<Instant>,
    /// Last report of its tail or its use of the processor.
    pub load: Option<u64>,
    /// It runs until its job is cancelled.
    pub long_running: bool,
    /// How many of its step may be unavailable by the system's own actions.
    pub max_unavailable: Option<u32>,
    /// Last report of its progress; a task that lasts is at work at 100.
    pub percent: u8,
}

impl RunRecord {
    /// Returns the record of a run that nobody wants.
    pub fn orphan(run: RunNumber, now: Instant) -> Self {
        Self {
            run,
            size: ResourceSize::default(),
            account: None,
            phase: RunPhase::Stopping,
            since: now,
            start_attempts: 0,
            stop_sent: None,
            stop_acknowledged: None,
            best_effort: false,
            target_latency: None,
            pace: FULL_PACE,
            paced_at: None,
            load: None,
            percent: 0,
            long_running: false,
            max_unavailable: None,
        }
    }
}

/// A reading of a worker's clock.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ClockReading {
    pub clock: WorkerMillis,
    pub at: Instant,
}

/// What an owner knows of one worker.
#[derive(Debug)]
pub(crate) struct WorkerRecord {
    pub entry: WorkerEntry,
    /// The platform lists it now.
    pub listed: bool,
    /// Its life, once it has answered this owner.
    pub life: Option<LifeStart>,
    pub clock_reading: Option<ClockReading>,
    /// Latest end of a lease that this owner has sent.
    pub lease_granted_until: WorkerMillis,
    /// It has answered this owner, so it refuses earlier ones.
    pub synced: bool,
    /// End of all leases of earlier owners, while it has not answered this one.
    pub inherited_lease_end: Instant,
    /// Until when nothing starts there, so that its machine can be taken.
    pub vacated_until: Option<Instant>,
    /// Its machine was ordered away.
    pub machine_ordered: bool,
    /// The platform lists its machine as down.
    pub machine_down: bool,
    /// When it was first to be vacated.
    pub vacated_since: Option<Instant>,
    /// Ends that have been applied.
    pub applied_end: EndNumber,
    /// Ends whose effect is stored.
    pub stored_end: EndNumber,
    /// Ends that the worker was told to forget.
    pub acknowledged_end: EndNumber,
    pub poll_in_flight: bool,
    pub poll_due: Instant,
    /// Looks in a row that went unanswered.
    pub missed_polls: u32,
    /// No start goes there before this time.
    pub paused_until: Instant,
    /// Starts in a row that it refused as unhealthy.
    pub unhealthy_refusals: u32,
    pub runs: IndexMap<TaskName, RunRecord>,
    /// What is set aside for the runs.
    pub used: ResourceSize,
}

impl WorkerRecord {
    pub fn new(entry: WorkerEntry, now: Instant) -> Self {
        Self {
            entry,
            listed: true,
            life: None,
            clock_reading: None,
            lease_granted_until: 0,
            synced: false,
            inherited_lease_end: now,
            vacated_until: None,
            machine_ordered: false,
            machine_down: false,
            vacated_since: None,
            applied_end: 0,
            stored_end: 0,
            acknowledged_end: 0,
            poll_in_flight: false,
            poll_due: now,
            missed_polls: 0,
            paused_until: now,
            unhealthy_refusals: 0,
            runs: IndexMap::new(),
            used: ResourceSize::default(),
        }
    }

    /// Returns the worker's clock as far as it is known.
    pub fn clock(&self, now: Instant) -> Option<WorkerMillis> {
        let reading = self.clock_reading?;
        let passed = now.saturating_duration_since(reading.at);
        Some(reading.clock + passed.as_millis() as WorkerMillis)
    }

    /// Returns the end of a lease that is asked for now, and takes note of it.
    pub fn renew(&mut self, now: Instant, lease: Duration) -> Option<WorkerMillis> {
        let until = self.clock(now)? + lease.as_millis() as WorkerMillis;
        self.lease_granted_until = self.lease_granted_until.max(until);
        Some(until)
    }

    /// Returns the time by which every lease that this owner has sent is over, on a clock that may
    /// be slower by `drift`.
    pub fn lease_end(&self, drift: f64) -> Option<Instant> {
        let reading = self.clock_reading?;
        let left = self.lease_granted_until.saturating_sub(reading.clock);
        let left = Duration::from_millis(left).div_f64(1.0 - drift);
        Some(reading.at + left)
    }

    pub fn add_run(&mut self, task: TaskName, run: RunRecord) {
        self.used = self.used.plus(&run.size);
        if let Some(old) = self.runs.insert(task, run) {
            self.used = self.used.minus(&old.size);
        }
    }

    /// Removes the record of a run; `None` when another run of the task is there.
    pub fn remove_run(&mut self, task: &TaskName, run: RunNumber) -> Option<RunRecord> {
        if self.runs.get(task)?.run != run {
            return None;
        }
        let removed = self.runs.swap_remove(task)?;
        self.used = self.used.minus(&removed.size);
        Some(removed)
    }

    /// Returns what is not set aside.
    pub fn room(&self) -> ResourceSize {
        self.entry.capacity.minus(&self.used)
    }

    /// Returns whether a start may go there now.
    pub fn accepts_starts(&self, now: Instant) -> bool {
        self.listed
            && self.synced
            && self.missed_polls == 0
            && !self.machine_down
            && self.entry.phase == WorkerPhase::Ready
            && now >= self.paused_until
            && !self.is_vacated(now)
    }

    /// Returns whether the worker is of no use to its pool for now. One miss says little: an answer
    /// may be lost.
    pub fn is_unavailable(&self) -> bool {
        self.machine_down || self.missed_polls > 1 || self.entry.phase == WorkerPhase::Draining
    }

    /// Returns whether the worker is to be left by its runs.
    pub fn is_vacated(&self, now: Instant) -> bool {
        self.vacated_until.is_some_and(|until| now < until)
    }

    /// Returns when everything that was placed there is over for certain, if nothing more is heard.
    pub fn latest_lease_end(&self, drift: f64) -> Instant {
        self.lease_end(drift).unwrap_or(self.inherited_lease_end)
    }

    /// Returns whether something that lasts was placed there and is not at work yet.
    pub fn is_starting_long_running(&self) -> bool {
        let mut runs = self.runs.values();
        runs.any(|run| {
            run.long_running && run.phase != RunPhase::Stopping && run.percent < READY_PERCENT
        })
    }

    /// Returns whether a run there may end.
    pub fn has_runs(&self) -> bool {
        !self.runs.is_empty()
    }

    /// Returns whether the worker has to be looked at.
    pub fn needs_poll(&self) -> bool {
        let unheard = !self.synced || self.missed_polls > 0;
        !self.runs.is_empty() || self.acknowledged_end < self.stored_end || unheard && self.listed
    }
}
