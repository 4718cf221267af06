//! State of one worker as known to an entry instance.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use pw_base::prelude::*;
use pw_worker::prelude::*;

/// Maximum age of a usage report; older reports are ignored.
const USAGE_VALIDITY: Duration = Duration::from_secs(5);

/// A worker's declaration, instance, tasks in flight, concurrency limit and health.
#[derive(Debug, Clone)]
pub struct WorkerRecord {
    pub(crate) spec: WorkerSpec,
    pub(crate) size: ResourceSize,
    pub(crate) instance: Option<InstanceEntry>,
    pub(crate) in_flight: u32,
    pub(crate) reserved: ResourceSize,
    pub(crate) limit: ConcurrencyLimit,
    pub(crate) known_slots: u32,
    pub(crate) health: WorkerHealth,
    pub(crate) backoff_until: Option<Instant>,
    pub(crate) consecutive_refusals: u32,
    pub(crate) usage: Option<WorkerUsage>,
    pub(crate) roster_entry: Option<RosterEntry>,
}

/// Contribution of a worker to the roster of its pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RosterEntry {
    pub(crate) pool: PoolId,
    pub(crate) slots: u32,
    pub(crate) tier: Option<SlotTier>,
    pub(crate) is_ejected: bool,
}

/// Confidence that a worker, whose slots are shared with other entry instances, has a free slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum SlotTier {
    /// One more task is within the known slots of the worker.
    ///
    /// These are its declared slots until it refuses a task, and then the number of concurrent
    /// tasks that it has accepted from this entry instance.
    Known,
    /// The worker refused an additional task, but its backoff has ended and a slot may be free.
    Probe,
}

/// Outcome of a run with respect to the worker's health.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SlotOutcome {
    /// The worker completed the task.
    Done {
        /// Run time divided by the average run time of the queue.
        pace: f64,
    },
    /// The worker had no free slot.
    Busy,
    /// The worker failed.
    Failed,
    /// The outcome does not reflect on the worker.
    Neutral,
}

impl WorkerRecord {
    pub(crate) fn new(spec: WorkerSpec) -> Self {
        Self {
            size: ResourceSize::from(&spec),
            limit: ConcurrencyLimit::new(spec.slots),
            known_slots: spec.slots,
            spec,
            instance: None,
            in_flight: 0,
            reserved: ResourceSize::default(),
            health: WorkerHealth::default(),
            backoff_until: None,
            consecutive_refusals: 0,
            usage: None,
            roster_entry: None,
        }
    }

    /// Returns the worker's declaration.
    pub fn spec(&self) -> &WorkerSpec {
        &self.spec
    }

    /// Returns the address of the worker's backend server if the instance list contains it.
    pub fn address(&self) -> Option<SocketAddr> {
        self.instance.as_ref().map(|instance| instance.address)
    }

    /// Returns the number of tasks that this entry instance has in flight on the worker.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns whether the worker is live according to the instance list.
    pub fn is_live(&self) -> bool {
        self.instance
            .as_ref()
            .is_some_and(|instance| instance.state == InstanceState::Live)
    }

    /// Returns the fraction of the worker's allowed slots in use after one more task.
    pub fn load(&self, now: Instant) -> f64 {
        let reported = self.fresh_usage(now).map_or(0, |usage| usage.running);
        let taken = self.in_flight.max(reported) + 1;
        f64::from(taken) / f64::from(self.limit.allowed())
    }

    /// Returns whether a task of `size` fits into the resources that are neither reserved nor
    /// reported as used.
    pub fn has_room(&self, now: Instant, size: &ResourceSize) -> bool {
        let used = self.fresh_usage(now).map(|usage| usage.used);
        let taken = used.map_or(self.reserved, |used| ResourceSize {
            millicores: used.millicores.max(self.reserved.millicores),
            memory_mib: used.memory_mib.max(self.reserved.memory_mib),
            accelerators: used.accelerators.max(self.reserved.accelerators),
        });
        *size == ResourceSize::default() || size.fits_into(&self.size.minus(&taken))
    }

    /// Returns the tier at which the worker can accept another task, regardless of its zone.
    pub(crate) fn tier(&self, now: Instant) -> Option<SlotTier> {
        let is_usable = self.is_live()
            && !self.health.is_ejected(now)
            && self.in_flight < self.limit.allowed().min(self.spec.slots);
        if !is_usable {
            None
        } else if self.in_flight < self.known_slots {
            Some(SlotTier::Known)
        } else {
            let backoff_ended = self.backoff_until.is_none_or(|until| until <= now);
            backoff_ended.then_some(SlotTier::Probe)
        }
    }

    fn fresh_usage(&self, now: Instant) -> Option<&WorkerUsage> {
        self.usage
            .as_ref()
            .filter(|usage| now < usage.measured + USAGE_VALIDITY)
    }
}
