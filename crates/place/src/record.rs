//! What an entry instance knows of one worker.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use pw_base::prelude::*;
use pw_worker::prelude::*;

/// Longest age of a usage report that still counts.
const USAGE_VALIDITY: Duration = Duration::from_secs(5);

/// A worker with its instance, its tasks in flight and its health.
#[derive(Debug, Clone)]
pub struct WorkerRecord {
    pub(crate) spec: WorkerSpec,
    pub(crate) size: ResourceSize,
    pub(crate) instance: Option<InstanceEntry>,
    pub(crate) in_flight: u32,
    pub(crate) reserved: ResourceSize,
    pub(crate) limit: ConcurrencyLimit,
    pub(crate) ceiling: u32,
    pub(crate) health: WorkerHealth,
    pub(crate) busy_until: Option<Instant>,
    pub(crate) busy_streak: u32,
    pub(crate) usage: Option<WorkerUsage>,
    pub(crate) entered: Option<RosterEntry>,
}

/// How the worker stands in the roster of its pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RosterEntry {
    pub(crate) pool: PoolId,
    pub(crate) slots: u32,
    pub(crate) tier: Option<SlotTier>,
    pub(crate) is_ejected: bool,
}

/// How sure it is that a worker has a free slot; other entry instances use its slots too.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum SlotTier {
    /// This entry instance has had as many tasks there before, and the worker took them.
    Known,
    /// The worker refused a further task some time ago and may have one more slot by now.
    Probe,
}

/// How a run ended, as far as the worker's health is concerned.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SlotOutcome {
    /// The worker ran the task, in so many times the usual run time.
    Done {
        /// Run time divided by the usual run time of the queue.
        pace: f64,
    },
    /// The worker had no free slot.
    Busy,
    /// The worker failed.
    Failed,
    /// The end says nothing about the worker.
    Neutral,
}

impl WorkerRecord {
    pub(crate) fn new(spec: WorkerSpec) -> Self {
        Self {
            size: ResourceSize::from(&spec),
            limit: ConcurrencyLimit::new(spec.slots),
            ceiling: spec.slots,
            spec,
            instance: None,
            in_flight: 0,
            reserved: ResourceSize::default(),
            health: WorkerHealth::default(),
            busy_until: None,
            busy_streak: 0,
            usage: None,
            entered: None,
        }
    }

    /// Returns the declared worker.
    pub fn spec(&self) -> &WorkerSpec {
        &self.spec
    }

    /// Returns the address of the worker's backend server while the instance list names it.
    pub fn address(&self) -> Option<SocketAddr> {
        self.instance.as_ref().map(|instance| instance.address)
    }

    /// Returns the tasks that this entry instance has in flight to the worker.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns whether the instance list shows the worker as live.
    pub fn is_live(&self) -> bool {
        self.instance
            .as_ref()
            .is_some_and(|instance| instance.state == InstanceState::Live)
    }

    /// Returns the part of the worker's slots that would be taken with one more task.
    pub fn load(&self, now: Instant) -> f64 {
        let reported = self.fresh_usage(now).map_or(0, |usage| usage.running);
        let taken = self.in_flight.max(reported) + 1;
        f64::from(taken) / f64::from(self.limit.allowed())
    }

    /// Returns whether a task of `size` fits beside what is reserved or reported as used.
    pub fn has_room(&self, now: Instant, size: &ResourceSize) -> bool {
        let used = self.fresh_usage(now).map(|usage| usage.used);
        let taken = used.map_or(self.reserved, |used| ResourceSize {
            millicores: used.millicores.max(self.reserved.millicores),
            memory_mib: used.memory_mib.max(self.reserved.memory_mib),
            accelerators: used.accelerators.max(self.reserved.accelerators),
        });
        *size == ResourceSize::default() || size.fits_into(&self.size.minus(&taken))
    }

    /// Returns whether another task may be sent to the worker, its zone aside.
    pub(crate) fn tier(&self, now: Instant) -> Option<SlotTier> {
        let is_usable = self.is_live()
            && !self.health.is_ejected(now)
            && self.in_flight < self.limit.allowed().min(self.spec.slots);
        if !is_usable {
            None
        } else if self.in_flight < self.ceiling {
            Some(SlotTier::Known)
        } else {
            let is_over = self.busy_until.is_none_or(|until| until <= now);
            is_over.then_some(SlotTier::Probe)
        }
    }

    fn fresh_usage(&self, now: Instant) -> Option<&WorkerUsage> {
        self.usage
            .as_ref()
            .filter(|usage| now < usage.measured + USAGE_VALIDITY)
    }
}
