//! Detects from the machine list which lives of unreachable workers have ended.
//!
//! A run on an unreachable worker is not replaced until the last lease that any owner may have
//! granted to the worker has expired. When the machine is listed as down, or with another worker,
//! no run that was placed there is left. Neither is one when the machine is gone for good, and no
//! longer listed.
//! A list counts only for lives that were reported before it was requested: the machine may have
//! come back since with a new life, whose runs go on.

use std::time::Instant;

use indexmap::IndexMap;
use pw_base::prelude::*;

use super::message::{MachineList, MachineView};
use crate::message::{UnreachableWorker, WorkerLife};

/// Consecutive complete lists without a machine after which it counts as gone. A list arrives in
/// pages that are no snapshot, so one that is read during a change may lack a machine that exists.
const GONE_AFTER_LISTS: u32 = 3;

/// Unreachable workers of all shards.
#[derive(Debug, Default)]
pub(super) struct LifeTracker {
    unreachable: IndexMap<ShardNumber, Vec<ReportedLife>>,
    /// When the latest machine list was requested.
    listed: Option<Instant>,
}

/// Life of an unreachable worker, as its owner reported it.
#[derive(Debug)]
struct ReportedLife {
    worker: UnreachableWorker,
    /// When it was first reported.
    since: Instant,
    /// Number of consecutive lists since then that lack its machine.
    missing: u32,
    /// When the last list that counts as lacking the machine arrived.
    counted_at: Instant,
}

impl ReportedLife {
    fn new(worker: UnreachableWorker, now: Instant) -> Self {
        Self {
            worker,
            since: now,
            missing: 0,
            counted_at: now,
        }
    }

    /// Counts a list that was requested after the last one had arrived: lists that are read at the
    /// same time may lack a machine for the same reason.
    fn record_list(&mut self, list: &MachineList, requested_at: Instant, now: Instant) {
        let machine = &self.worker.machine;
        if list.machines.iter().any(|view| view.machine == *machine) {
            self.missing = 0;
        } else if list.is_complete && requested_at >= self.counted_at {
            self.missing += 1;
            self.counted_at = now;
        }
    }

    /// Returns whether the machines, as last listed, show that the life has ended.
    fn has_ended(&self, machines: &IndexMap<MachineId, MachineView>) -> bool {
        match machines.get(&self.worker.machine) {
            Some(view) => view.has_ended(&self.worker.life.worker),
            None => self.missing >= GONE_AFTER_LISTS,
        }
    }
}

impl LifeTracker {
    /// Replaces the unreachable workers of a shard.
    pub fn update_unreachable(
        &mut self,
        shard: ShardNumber,
        workers: Vec<UnreachableWorker>,
        now: Instant,
    ) {
        let mut previous = self.unreachable.swap_remove(&shard).unwrap_or_default();
        if workers.is_empty() {
            return;
        }
        let updated = workers.into_iter().map(|worker| {
            let known = previous.iter().position(|life| life.worker == worker);
            match known {
                Some(index) => previous.swap_remove(index),
                None => ReportedLife::new(worker, now),
            }
        });
        self.unreachable.insert(shard, updated.collect());
    }

    /// Records a machine list; returns `false` for a stale one, which arrives after a list that was
    /// requested later. It may show a machine as it was before a life was reported.
    pub fn accept_list(&mut self, list: &MachineList, requested_at: Instant, now: Instant) -> bool {
        if self.listed.is_some_and(|listed| requested_at < listed) {
            return false;
        }
        self.listed = Some(requested_at);
        for life in self.unreachable.values_mut().flatten() {
            life.record_list(list, requested_at, now);
        }
        true
    }

    /// Returns whether a worker that may have runs is unreachable.
    pub fn any_unreachable(&self) -> bool {
        !self.unreachable.is_empty()
    }

    /// Returns the lives of a shard's unreachable workers that have ended according to the machine
    /// list.
    pub fn ended(
        &self,
        shard: ShardNumber,
        machines: &IndexMap<MachineId, MachineView>,
    ) -> Vec<WorkerLife> {
        let unreachable = self.unreachable.get(&shard).into_iter().flatten();
        let reported_before =
            unreachable.filter(|life| self.listed.is_some_and(|at| at >= life.since));
        let ended = reported_before.filter(|life| life.has_ended(machines));
        ended.map(|life| life.worker.life.clone()).collect()
    }
}
