//! Detects from the machine list which lives of unreachable workers have ended.
//!
//! A run on an unreachable worker is not replaced until the last lease that any owner may have
//! granted to the worker has expired. When the machine is listed as down, or with another worker,
//! no run that was placed there is left. A list counts only for lives that were reported before it
//! was requested: the machine may have come back since with a new life, whose runs go on.

use std::time::Instant;

use indexmap::IndexMap;
use pw_base::prelude::*;

use super::message::{MachineState, MachineView};
use crate::message::{UnreachableWorker, WorkerLife};

/// Unreachable workers of all shards.
#[derive(Debug, Default)]
pub(super) struct LifeTracker {
    unreachable: IndexMap<ShardNumber, Vec<(UnreachableWorker, Instant)>>,
    /// When the latest machine list was requested.
    listed: Option<Instant>,
}

impl LifeTracker {
    /// Replaces the unreachable workers of a shard.
    pub fn update_unreachable(
        &mut self,
        shard: ShardNumber,
        workers: Vec<UnreachableWorker>,
        now: Instant,
    ) {
        let previous = self.unreachable.swap_remove(&shard).unwrap_or_default();
        if workers.is_empty() {
            return;
        }
        let since = |worker: &UnreachableWorker| {
            let earlier = previous.iter().find(|(other, _)| other == worker);
            earlier.map_or(now, |(_, since)| *since)
        };
        let updated = workers.into_iter().map(|worker| {
            let since = since(&worker);
            (worker, since)
        });
        self.unreachable.insert(shard, updated.collect());
    }

    /// Records a machine list; returns `false` for a stale one, which arrives after a list that was
    /// requested later. It may show a machine as it was before a life was reported.
    pub fn accept_list(&mut self, requested_at: Instant) -> bool {
        let later = self.listed.is_none_or(|listed| requested_at >= listed);
        if later {
            self.listed = Some(requested_at);
        }
        later
    }

    /// Returns whether a worker that may have runs is unreachable.
    pub fn any_unreachable(&self) -> bool {
        !self.unreachable.is_empty()
    }

    /// Returns the lives of a shard's unreachable workers that have ended according to the machine
    /// list.
    ///
    /// A machine missing from the list proves nothing, because lists arrive in pages.
    pub fn ended(
        &self,
        shard: ShardNumber,
        machines: &IndexMap<MachineId, MachineView>,
    ) -> Vec<WorkerLife> {
        let unreachable = self.unreachable.get(&shard).into_iter().flatten();
        let reported_before =
            unreachable.filter(|(_, since)| self.listed.is_some_and(|at| at >= *since));
        let ended = reported_before.filter(|(worker, _)| {
            machines.get(&worker.machine).is_some_and(|view| {
                view.state != MachineState::Up || view.worker.as_ref() != Some(&worker.life.worker)
            })
        });
        ended.map(|(worker, _)| worker.life.clone()).collect()
    }
}
