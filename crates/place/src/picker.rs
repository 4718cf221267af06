//! Interface between the task scheduler and the selection of workers.

use std::time::Instant;

use pw_base::prelude::*;
use pw_worker::prelude::*;

use crate::record::SlotTier;
use crate::table::WorkerTable;

/// Requirements for the selected worker.
#[derive(Debug, Clone, Copy)]
pub struct PickRequest<'a> {
    /// Pool that the worker belongs to.
    pub pool: &'a PoolId,
    /// Expected resource use of the task; all zero when unknown.
    pub size: ResourceSize,
    /// Worker to avoid because an earlier attempt of the task failed on it.
    pub avoid: Option<&'a WorkerId>,
    /// Required confidence that the worker has a free slot.
    pub tier: SlotTier,
    /// Required availability zone, if any.
    pub zone: Option<&'a ZoneId>,
}

/// Selects a worker among those that can accept a task now.
pub trait WorkerPicker: Send {
    /// Returns a worker for the task, or `None` if none is suitable.
    fn pick(
        &mut self,
        now: Instant,
        request: &PickRequest<'_>,
        table: &WorkerTable,
    ) -> Option<WorkerId>;
}

/// Picker that cycles through the open workers of a pool, regardless of load and distance.
#[derive(Debug, Clone, Default)]
pub struct RoundRobin {
    next: usize,
}

impl WorkerPicker for RoundRobin {
    fn pick(
        &mut self,
        now: Instant,
        request: &PickRequest<'_>,
        table: &WorkerTable,
    ) -> Option<WorkerId> {
        let open = table.roster(request.pool)?.open(request.tier);
        let mut index = self.next % open.count().max(1);
        self.next = self.next.wrapping_add(1);
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
