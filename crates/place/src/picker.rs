//! The border between the task scheduler and the way in which a worker is chosen.

use std::time::Instant;

use pw_base::prelude::*;
use pw_worker::prelude::*;

use crate::record::SlotTier;
use crate::table::WorkerTable;

/// What the chosen worker has to satisfy.
#[derive(Debug, Clone, Copy)]
pub struct PickRequest<'a> {
    /// Pool that the worker belongs to.
    pub pool: &'a PoolId,
    /// Resources that the task is expected to need; all zero when nothing is known.
    pub size: ResourceSize,
    /// Worker on which an earlier attempt of the task failed.
    pub avoid: Option<&'a WorkerId>,
    /// How sure it has to be that the worker has a free slot.
    pub tier: SlotTier,
    /// Availability zone that the worker has to be in, if any.
    pub zone: Option<&'a ZoneId>,
}

/// Chooses among the workers that can take a task now.
pub trait WorkerPicker: Send {
    /// Returns a worker for the task, or `None` when none was found.
    fn pick(
        &mut self,
        now: Instant,
        request: &PickRequest<'_>,
        table: &WorkerTable,
    ) -> Option<WorkerId>;
}

/// Picker that takes the open workers of a pool in turn, regardless of load and distance.
#[derive(Debug, Clone, Default)]
pub struct RoundRobin {
    turn: usize,
}

impl WorkerPicker for RoundRobin {
    fn pick(
        &mut self,
        now: Instant,
        request: &PickRequest<'_>,
        table: &WorkerTable,
    ) -> Option<WorkerId> {
        let open = table.roster(request.pool)?.open(request.tier);
        let mut index = self.turn % open.count().max(1);
        self.turn = self.turn.wrapping_add(1);
        for (zone, workers) in open.zones() {
            if index >= workers.len() {
                index -= workers.len();
                continue;
            }
            let worker = workers.get_index(index)?;
            let is_wanted = request.zone.is_none_or(|wanted| wanted == zone);
            let fits = table.worker(worker)?.has_room(now, &request.size);
            return (is_wanted && fits).then(|| worker.clone());
        }
        None
    }
}
