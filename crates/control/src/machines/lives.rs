//! Lives of workers that can't be asked: the list of machines shows which of them are over.
//!
//! A run on a silent worker waits until the last lease that anyone can have granted is over. Where
//! the machine is listed as down, or with another worker, nothing that was placed there runs any
//! more. A list counts only for lives that were named before it was asked for: the machine may have
//! come back with a new life since, whose runs go on.

use std::time::Instant;

use indexmap::IndexMap;
use pw_base::prelude::*;

use super::message::{MachineState, MachineView};
use crate::message::{SilentWorker, WorkerLife};

/// The silent workers of all shards.
#[derive(Debug, Default)]
pub(super) struct LifeWatch {
    silent: IndexMap<ShardNumber, Vec<(SilentWorker, Instant)>>,
    /// When the latest list of machines was asked for.
    listed: Option<Instant>,
}

impl LifeWatch {
    /// Takes the silent workers of a shard, all of them.
    pub fn note_silent(&mut self, shard: ShardNumber, workers: Vec<SilentWorker>, now: Instant) {
        let known = self.silent.swap_remove(&shard).unwrap_or_default();
        if workers.is_empty() {
            return;
        }
        let since = |worker: &SilentWorker| {
            let earlier = known.iter().find(|(other, _)| other == worker);
            earlier.map_or(now, |(_, since)| *since)
        };
        let noted = workers.into_iter().map(|worker| {
            let since = since(&worker);
            (worker, since)
        });
        self.silent.insert(shard, noted.collect());
    }

    /// Takes note of a list of machines; returns whether it is later than those before. One that was
    /// overtaken may show a machine as it was before a life was named.
    pub fn note_list(&mut self, requested_at: Instant) -> bool {
        let later = self.listed.is_none_or(|listed| requested_at >= listed);
        if later {
            self.listed = Some(requested_at);
        }
        later
    }

    /// Returns whether a worker that may run something can't be asked.
    pub fn any_silent(&self) -> bool {
        !self.silent.is_empty()
    }

    /// Returns the silent lives of a shard that are over by the list of machines.
    ///
    /// A machine that is not listed proves nothing: lists come in pages.
    pub fn ended(
        &self,
        shard: ShardNumber,
        machines: &IndexMap<MachineId, MachineView>,
    ) -> Vec<WorkerLife> {
        let silent = self.silent.get(&shard).into_iter().flatten();
        let named_before = silent.filter(|(_, since)| self.listed.is_some_and(|at| at >= *since));
        let over = named_before.filter(|(silent, _)| {
            machines.get(&silent.machine).is_some_and(|view| {
                view.state != MachineState::Up || view.worker.as_ref() != Some(&silent.life.worker)
            })
        });
        over.map(|(silent, _)| silent.life.clone()).collect()
    }
}
