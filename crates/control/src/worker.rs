//! Workers as the platform lists them, and a shard owner's records of them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use pw_base::prelude::*;
use pw_job::prelude::*;
use pw_worker::prelude::*;
use serde::{Deserialize, Serialize};
use strum::{AsRefStr, Display, EnumString};

use crate::config::PoolRule;
use crate::run::{READY_PERCENT, RunCounts, RunPhase, RunRecord};

/// Whether a worker accepts new work.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, AsRefStr, Display, EnumString, Serialize, Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
pub enum WorkerPhase {
    /// The worker accepts work.
    Ready,
    /// The worker will leave and accepts no new work.
    Draining,
}

/// A worker as it registers itself with the platform.
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
    /// Total resources of the worker.
    pub capacity: ResourceSize,
    /// Whether the worker accepts new work.
    pub phase: WorkerPhase,
    /// Start of its life.
    pub life: LifeStart,
    /// Machine that it runs on.
    pub machine: Option<MachineId>,
}

/// Returns the workers of `pools` without those whose machine has a later worker, and the start of
/// the latest life on each machine. Without any pool, no configuration is known yet, and the workers
/// of all pools count.
///
/// The platform lists a lost worker until it has missed several heartbeats. Without this filter,
/// tasks would be placed on it until then.
pub fn current_workers(
    workers: &[WorkerEntry],
    pools: &IndexMap<PoolId, PoolRule>,
) -> (Vec<WorkerEntry>, IndexMap<MachineId, LifeStart>) {
    let known = workers
        .iter()
        .filter(|worker| pools.is_empty() || pools.contains_key(&worker.pool));
    let mut lives: IndexMap<MachineId, LifeStart> = IndexMap::new();
    for worker in known.clone() {
        if let Some(machine) = &worker.machine {
            let latest = lives.entry(machine.clone()).or_default();
            *latest = worker.life.max(*latest);
        }
    }
    let current = known.filter(|worker| {
        let machine = worker.machine.as_ref();
        let latest = machine.and_then(|machine| lives.get(machine));
        latest.is_none_or(|life| worker.life >= *life)
    });
    (current.cloned().collect(), lives)
}

/// Bits of a fence that count the ended lives of workers.
const LIFE_BITS: u32 = 16;
/// Largest number of ended lives in a fence; one more would be the fence of the next owner.
const MAX_ENDED_LIVES: u64 = (1 << LIFE_BITS) - 1;

/// How the end of a worker's life became known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum LifeEnd {
    /// A later life answered a poll.
    Reported,
    /// The platform lists a later life, and the worker does not answer for its own.
    Listed,
    /// Another worker answers at the address.
    AddressReused,
    /// Another worker has started on the machine.
    Replaced,
    /// The list of machines shows that the machine or its worker is gone.
    MachineEnded,
}

impl LifeEnd {
    /// Returns whether a run may still start on a later life of the worker, although its own life
    /// has ended: an order names its worker by id alone and may be executed late.
    pub fn may_survive(self, run: &RunRecord) -> bool {
        match self {
            Self::Reported | Self::Listed => run.is_unanswered() || !run.reported,
            Self::MachineEnded => run.is_unanswered(),
            Self::AddressReused | Self::Replaced => false,
        }
    }
}

/// Longest time between an answer and the next poll of a worker with runs, unless the owner is late.
const POLL_PAUSE: Duration = Duration::from_secs(1);

/// Why a worker gets no starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum StartRefusal {
    /// The platform does not list the worker.
    Unlisted,
    /// The worker has not answered this owner yet, or not its last poll.
    Silent,
    /// The platform lists the worker's machine as down.
    MachineDown,
    /// The worker will leave.
    Leaving,
    /// The worker refused a start a moment ago.
    Paused,
    /// The machine controller drains the worker.
    DrainRequested,
    /// The entry describes a former life of the worker.
    NotDescribed,
}

/// A reading of a worker's clock.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ClockReading {
    pub clock: WorkerMillis,
    pub at: Instant,
}

/// The size of a start that a worker refused for lack of room.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RoomRefusal {
    pub size: ResourceSize,
    /// When a start of that size may be sent again, if nothing else changes.
    pub until: Instant,
}

/// An owner's record of one worker.
#[derive(Debug)]
pub(crate) struct WorkerRecord {
    pub entry: WorkerEntry,
    /// Largest capacity that this life of the worker has had.
    pub full_capacity: ResourceSize,
    /// The latest list of the platform contains the worker.
    pub listed: bool,
    /// The latest list of the platform names a later worker on the machine.
    pub is_replaced: bool,
    /// Life of the worker, once it has answered this owner.
    pub life: Option<LifeStart>,
    /// Latest life that has ended.
    pub ended_life: Option<LifeStart>,
    /// Number of worker lives in the shard that this owner had seen end when this one began.
    pub ended_lives: u64,
    pub clock_reading: Option<ClockReading>,
    /// Reading that gives the best upper bound of the worker's clock, dated by the request.
    pub clock_bound: Option<ClockReading>,
    /// Latest lease end that this owner has sent, on the worker's clock.
    pub lease_granted_until: WorkerMillis,
    /// The worker has answered this owner, so it rejects earlier owners.
    pub synced: bool,
    /// Time by which all leases of earlier owners have expired; used until the worker answers this
    /// owner.
    pub inherited_lease_end: Instant,
    /// Until when the worker drains, so that its machine can be moved or maintained.
    pub drain_until: Option<Instant>,
    /// The worker's machine already has an order.
    pub machine_ordered: bool,
    /// The platform lists the worker's machine as down.
    pub machine_down: bool,
    /// When the current drain request began.
    pub drain_since: Option<Instant>,
    /// The platform has listed the worker as draining in its current life.
    pub announced_drain: bool,
    /// First sign that the worker may be lost, while there is one that came soon after the loss.
    pub lost_since: Option<Instant>,
    /// Last run end that was applied.
    pub applied_end: EndNumber,
    /// Last run end whose effect is stored.
    pub stored_end: EndNumber,
    /// Last run end that was acknowledged to the worker.
    pub acknowledged_end: EndNumber,
    pub poll_in_flight: bool,
    /// When the latest poll with a result was sent.
    pub answered_poll: Option<Instant>,
    pub poll_due: Instant,
    /// Number of consecutive polls without an answer.
    pub missed_polls: u32,
    /// When the last poll that went unanswered was sent.
    pub silent_at: Option<Instant>,
    /// Until when a later life may execute a start that went unanswered. A life rejects it once it has
    /// been polled with a higher fence.
    pub late_start_until: Option<Instant>,
    /// The worker gets no starts before this time.
    pub paused_until: Instant,
    /// Number of consecutive starts that the worker refused as unhealthy.
    pub unhealthy_refusals: u32,
    /// Last refusal for lack of room.
    pub room_refusal: Option<RoomRefusal>,
    pub runs: IndexMap<TaskName, RunRecord>,
    /// Resources reserved for the runs.
    pub used: ResourceSize,
    /// Number of the runs of each kind.
    pub counts: RunCounts,
    /// The worker has changed since its table was last refreshed.
    pub is_changed: bool,
    /// Due time of the next poll in the index of its table.
    pub indexed_poll: Option<Instant>,
}

impl WorkerRecord {
    pub fn new(entry: WorkerEntry, ended_lives: u64, now: Instant) -> Self {
        Self {
            full_capacity: entry.capacity,
            entry,
            listed: true,
            is_replaced: false,
            life: None,
            ended_life: None,
            ended_lives,
            clock_reading: None,
            clock_bound: None,
            lease_granted_until: 0,
            synced: false,
            inherited_lease_end: now,
            drain_until: None,
            machine_ordered: false,
            machine_down: false,
            drain_since: None,
            announced_drain: false,
            lost_since: None,
            applied_end: 0,
            stored_end: 0,
            acknowledged_end: 0,
            poll_in_flight: false,
            answered_poll: None,
            poll_due: now,
            missed_polls: 0,
            silent_at: None,
            late_start_until: None,
            paused_until: now,
            unhealthy_refusals: 0,
            room_refusal: None,
            runs: IndexMap::new(),
            used: ResourceSize::default(),
            counts: RunCounts::default(),
            is_changed: false,
            indexed_poll: None,
        }
    }

    /// Returns the fence of an order to the worker.
    ///
    /// An order names its worker by id alone. Once a later life has seen a higher fence, it rejects
    /// the orders that were meant for an earlier one.
    pub fn fence(&self, epoch: OwnerEpoch) -> OrderFence {
        (epoch << LIFE_BITS) + self.ended_lives.min(MAX_ENDED_LIVES)
    }

    /// Returns a lower bound of the worker's clock, which may be slower than the owner's by at most
    /// `drift`, if a reading is known.
    pub fn clock(&self, now: Instant, drift: f64) -> Option<WorkerMillis> {
        let reading = self.clock_reading?;
        let passed = now.saturating_duration_since(reading.at);
        let passed = passed.mul_f64(1.0 - drift);
        Some(
            reading
                .clock
                .saturating_add(passed.as_millis() as WorkerMillis),
        )
    }

    /// Returns an upper bound of the worker's clock, which is never faster than the owner's, if a
    /// reading is known.
    pub fn latest_clock(&self, at: Instant) -> Option<WorkerMillis> {
        let bound = self.clock_bound?;
        let passed = at.saturating_duration_since(bound.at);
        Some(
            bound
                .clock
                .saturating_add(passed.as_millis() as WorkerMillis),
        )
    }

    /// Updates the upper bound with a clock reading that was requested at a time.
    pub fn bound_clock(&mut self, clock: WorkerMillis, requested_at: Instant) {
        if self
            .latest_clock(requested_at)
            .is_none_or(|latest| clock < latest)
        {
            let at = requested_at;
            self.clock_bound = Some(ClockReading { clock, at });
        }
    }

    /// Returns and records the end of a lease that is requested now.
    pub fn renew(&mut self, now: Instant, lease: Duration, drift: f64) -> Option<WorkerMillis> {
        let clock = self.clock(now, drift)?;
        let until = clock.saturating_add(lease.as_millis() as WorkerMillis);
        self.lease_granted_until = self.lease_granted_until.max(until);
        Some(until)
    }

    /// Returns the time by which every lease that this owner has sent has expired, if the worker's
    /// clock is slower by at most `drift`.
    pub fn lease_end(&self, drift: f64) -> Option<Instant> {
        let reading = self.clock_reading?;
        let left = self.lease_granted_until.saturating_sub(reading.clock);
        let left = Duration::from_millis(left).div_f64(1.0 - drift);
        Some(reading.at + left)
    }

    pub fn add_run(&mut self, task: TaskName, run: RunRecord) {
        self.used = self.used.plus(&run.size);
        self.counts.add(&run);
        if let Some(old) = self.runs.insert(task, run) {
            self.used = self.used.minus(&old.size);
            self.counts.subtract(&old);
        }
    }

    /// Removes the record of a run; `None` if the worker has no such run of the task.
    pub fn remove_run(&mut self, task: &TaskName, run: RunNumber) -> Option<RunRecord> {
        if self.runs.get(task)?.run != run {
            return None;
        }
        let removed = self.runs.swap_remove(task)?;
        if removed.has_started() {
            self.room_refusal = None;
        }
        self.used = self.used.minus(&removed.size);
        self.counts.subtract(&removed);
        Some(removed)
    }

    /// Records that a run's start no longer threatens the worker.
    pub fn clear_suspicion(&mut self, task: &TaskName) {
        if let Some(run) = self.runs.get_mut(task) {
            run.unconfirmed_since = None;
            self.counts.solo -= usize::from(run.solo);
            run.solo = false;
        }
    }

    /// Clears all runs of suspicion.
    pub fn clear_suspicions(&mut self) {
        for run in self.runs.values_mut() {
            run.unconfirmed_since = None;
            run.solo = false;
        }
        self.counts.solo = 0;
    }

    /// Returns the unreserved resources; `None` if the runs exceed the capacity, which may shrink.
    pub fn room(&self) -> Option<ResourceSize> {
        let capacity = &self.entry.capacity;
        let fits = self.used.fits_into(capacity);
        fits.then(|| capacity.minus(&self.used))
    }

    /// Returns whether a run of `size` fits beside the others, as far as the worker has not refused
    /// such a run.
    pub fn has_room(&self, size: &ResourceSize, now: Instant) -> bool {
        let refused = self
            .room_refusal
            .is_some_and(|refusal| now < refusal.until && refusal.size.fits_into(size));
        !refused && self.room().is_some_and(|room| size.fits_into(&room))
    }

    /// Records that the worker refused a start of `size` for lack of room; a smaller size that it
    /// refused before covers this one.
    pub fn record_room_refusal(&mut self, size: ResourceSize, ttl: Duration, now: Instant) {
        let covered = self
            .room_refusal
            .is_some_and(|refusal| now < refusal.until && refusal.size.fits_into(&size));
        if !covered {
            let until = now + ttl;
            self.room_refusal = Some(RoomRefusal { size, until });
        }
    }

    /// Applies a new entry of the worker.
    pub fn update_entry(&mut self, entry: WorkerEntry) {
        if entry.capacity != self.entry.capacity {
            self.room_refusal = None;
        }
        self.full_capacity = if entry.life == self.entry.life {
            self.full_capacity.max(&entry.capacity)
        } else {
            entry.capacity
        };
        self.listed = true;
        self.entry = entry;
    }

    /// Returns whether the worker has less capacity than it had.
    pub fn has_shrunk(&self) -> bool {
        self.entry.capacity != self.full_capacity
    }

    /// Returns whether starts may be sent to the worker now.
    pub fn accepts_starts(&self, now: Instant) -> bool {
        self.start_refusal(now).is_none()
    }

    /// Returns why no starts may be sent to the worker now.
    pub fn start_refusal(&self, now: Instant) -> Option<StartRefusal> {
        if !self.listed {
            Some(StartRefusal::Unlisted)
        } else if !self.synced || self.missed_polls > 0 {
            Some(StartRefusal::Silent)
        } else if self.machine_down {
            Some(StartRefusal::MachineDown)
        } else if self.entry.phase != WorkerPhase::Ready {
            Some(StartRefusal::Leaving)
        } else if now < self.paused_until {
            Some(StartRefusal::Paused)
        } else if self.has_drain_request(now) {
            Some(StartRefusal::DrainRequested)
        } else if !self.is_described() {
            Some(StartRefusal::NotDescribed)
        } else {
            None
        }
    }

    /// Returns whether the entry describes the life that answers. A later life may differ in its
    /// capacity and labels; its entry follows with its first heartbeat.
    fn is_described(&self) -> bool {
        let listed = self.entry.life;
        listed == 0 || self.life.is_none_or(|life| life <= listed)
    }

    /// Returns whether the worker is unavailable to its pool. A single missed poll does not count,
    /// because an answer may get lost.
    pub fn is_unavailable(&self) -> bool {
        self.machine_down || self.missed_polls > 1 || self.entry.phase == WorkerPhase::Draining
    }

    /// Returns whether the worker had just been heard when a poll was sent. An idle worker is not
    /// polled, so it may have been lost at any time before.
    pub fn was_heard_until(&self, sent_at: Instant) -> bool {
        let heard = self.clock_reading;
        heard.is_some_and(|reading| sent_at <= reading.at + POLL_PAUSE)
    }

    /// Returns whether any run's start may still crash the worker.
    pub fn has_suspects(&self) -> bool {
        let mut runs = self.runs.values();
        runs.any(|run| run.unconfirmed_since.is_some())
    }

    /// Returns whether the machine controller has requested to drain the worker.
    pub fn has_drain_request(&self, now: Instant) -> bool {
        self.drain_until.is_some_and(|until| now < until)
    }

    /// Returns when every lease on the worker has expired, if the worker never answers again.
    pub fn latest_lease_end(&self, drift: f64) -> Instant {
        self.lease_end(drift).unwrap_or(self.inherited_lease_end)
    }

    /// Returns whether a long-running task was placed on the worker and is not ready yet.
    pub fn is_starting_long_running(&self) -> bool {
        let mut runs = self.runs.values();
        runs.any(|run| {
            run.long_running && run.phase != RunPhase::Stopping && run.percent < READY_PERCENT
        })
    }

    /// Returns whether an order to this address and life was meant for the worker as it is known now.
    pub fn is_addressed(&self, address: SocketAddr, life: Option<LifeStart>) -> bool {
        self.entry.address == address && self.life == life
    }

    /// Returns whether the worker's address is known; it is not while only a stored placement names
    /// the worker.
    pub fn has_address(&self) -> bool {
        self.entry.address.port() != 0
    }

    /// Returns whether a run on the worker has to be stopped.
    pub fn is_stopping(&self) -> bool {
        let mut runs = self.runs.values();
        runs.any(|run| run.phase == RunPhase::Stopping)
    }

    /// Returns whether the stop of a run is not acknowledged.
    pub fn has_pending_stops(&self) -> bool {
        let mut runs = self.runs.values();
        runs.any(|run| run.phase == RunPhase::Stopping && run.stop_acknowledged.is_none())
    }

    /// Returns whether the platform lists a later life of the worker than the one that answered.
    pub fn has_later_listed_life(&self) -> bool {
        self.life.is_some_and(|life| self.entry.life > life)
    }

    /// Returns why the current life has ended according to the list of the platform. Anyone may write an
    /// entry, so that counts only while the worker does not answer, or can't be asked.
    pub fn listed_end(&self) -> Option<LifeEnd> {
        let is_silent = self.missed_polls > 0 || !self.has_address();
        if !is_silent {
            None
        } else if self.has_later_listed_life() {
            Some(LifeEnd::Listed)
        } else {
            self.is_replaced.then_some(LifeEnd::Replaced)
        }
    }

    /// Returns the current life as far as it is known, from an answer or, after the end of an earlier
    /// one, from the list.
    pub fn known_life(&self) -> Option<LifeStart> {
        let listed = self.ended_life.map(|ended| (self.entry.life, ended));
        let listed = listed.filter(|(listed, ended)| listed > ended);
        self.life.or(listed.map(|(life, _)| life))
    }

    /// Returns whether the worker has runs.
    pub fn has_runs(&self) -> bool {
        !self.runs.is_empty()
    }

    /// Returns whether the worker may be lost with its runs, which end once its leases have expired.
    pub fn awaits_lease_end(&self) -> bool {
        let unreachable = self.missed_polls > 0 || !self.listed && !self.synced;
        unreachable && self.has_runs()
    }

    /// Returns whether the worker needs no further tracking.
    pub fn is_gone(&self) -> bool {
        !self.listed && !self.has_runs()
    }

    /// Returns whether the worker has to be polled.
    fn needs_poll(&self) -> bool {
        let uncertain = !self.synced || self.missed_polls > 0 || !self.is_described();
        !self.runs.is_empty()
            || self.acknowledged_end < self.stored_end
            || self.late_start_until.is_some()
            || uncertain && self.listed
    }

    /// Returns when the next poll is due; `None` while none can be sent or is needed. The address
    /// of a worker that is known only from a stored placement is unknown.
    pub fn next_poll(&self) -> Option<Instant> {
        let sendable = self.has_address() && !self.poll_in_flight && self.needs_poll();
        sendable.then_some(self.poll_due)
    }
}
