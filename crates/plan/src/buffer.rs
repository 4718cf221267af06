//! Spare capacity shared by all pools: the required size, and when workers are lent and returned.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use pw_base::prelude::*;
use pw_pool::prelude::*;

use crate::headroom::PoolHeadroom;
use crate::maintenance::is_in_maintenance;
use crate::settings::PlanSettings;

/// Spare workers needed so that each budget is met after the loss of any one failure domain.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BufferNeed {
    /// Workers needed in one buffer shared by all pools.
    pub shared: u32,
    /// Total workers needed if each pool has its own buffer.
    pub separate: u32,
}

/// Kind of failure domain whose loss a buffer covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DomainKind {
    /// A rack.
    Rack,
    /// An availability zone.
    Zone,
}

/// Decides which workers pools borrow from spare pools and return.
#[derive(Debug, Default)]
pub struct BorrowPolicy {
    shortfall_since: IndexMap<PoolId, Instant>,
    surplus_since: IndexMap<PoolId, Instant>,
}

/// A planned move of a worker to another pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedMove {
    /// Worker to move.
    pub worker: WorkerId,
    /// Pool to move it to.
    pub to: PoolId,
}

/// Returns the buffer needed to cover the loss of any one failure domain of a kind.
///
/// Instances that are already unavailable, including draining ones, count as lost in addition.
pub fn shared_buffer(pools: &PoolLedger, kind: DomainKind) -> BufferNeed {
    let mut losses: IndexMap<RackKey, IndexMap<PoolId, u32>> = IndexMap::new();
    for instance in pools
        .instances()
        .filter(|instance| pools.is_available(instance))
    {
        let rack = match kind {
            DomainKind::Rack => instance.rack.clone(),
            DomainKind::Zone => RackId::from(""),
        };
        let zone = instance.zone.clone();
        let domain = losses.entry(RackKey { zone, rack }).or_default();
        *domain.entry(instance.pool.clone()).or_default() += 1;
    }
    let mut max_shortfalls: IndexMap<&PoolId, u32> = IndexMap::new();
    let mut shared = 0;
    for domain in losses.values() {
        let mut total = 0;
        for (pool, lost) in domain.iter().filter(|(pool, _)| !pools.is_spare(pool)) {
            let budget = pools.budget(pool);
            let shortfall = (budget.required + lost).saturating_sub(budget.available);
            let max_shortfall = max_shortfalls.entry(pool).or_default();
            *max_shortfall = shortfall.max(*max_shortfall);
            total += shortfall;
        }
        shared = shared.max(total);
    }
    BufferNeed {
        shared,
        separate: max_shortfalls.values().sum(),
    }
}

impl BorrowPolicy {
    /// Returns the moves to start now.
    pub fn plan_moves(
        &mut self,
        now: Instant,
        pools: &PoolLedger,
        headroom: &mut PoolHeadroom,
        settings: &PlanSettings,
    ) -> Vec<PlannedMove> {
        let mut moves = self.borrow(now, pools, settings);
        moves.extend(self.return_home(now, pools, headroom, settings));
        moves
    }

    fn borrow(
        &mut self,
        now: Instant,
        pools: &PoolLedger,
        settings: &PlanSettings,
    ) -> Vec<PlannedMove> {
        let mut short_pools: Vec<(PoolId, u32)> = Vec::new();
        for pool in pools.pools().filter(|pool| !pools.is_spare(pool)) {
            let shortfall = shortfall(pools, pool);
            let has_shortfall = shortfall > 0;
            if persists_for(
                &mut self.shortfall_since,
                now,
                pool,
                has_shortfall,
                settings.borrow_after,
            ) {
                short_pools.push((pool.clone(), shortfall));
            }
        }
        short_pools.sort_by_key(|(pool, shortfall)| {
            let size = u64::from(pools.declared_size(pool).max(1));
            std::cmp::Reverse(u64::from(*shortfall) * 1_000 / size)
        });
        let spares: Vec<&PoolId> = pools.pools().filter(|pool| pools.is_spare(pool)).collect();
        let mut moves: Vec<PlannedMove> = Vec::new();
        for spare in spares {
            lend(pools, spare, &mut short_pools, &mut moves);
        }
        moves
    }

    fn return_home(
        &mut self,
        now: Instant,
        pools: &PoolLedger,
        headroom: &mut PoolHeadroom,
        settings: &PlanSettings,
    ) -> Vec<PlannedMove> {
        let mut surpluses: IndexMap<PoolId, u32> = IndexMap::new();
        let displaced = pools
            .instances()
            .filter(|instance| instance.pool != instance.home);
        let displaced = displaced.filter(|instance| instance.phase == InstancePhase::InService);
        let displaced: Vec<&PoolInstance> = displaced.collect();
        for instance in &displaced {
            if !surpluses.contains_key(&instance.pool) {
                let pool = instance.pool.clone();
                let surplus = surplus_workers(pools, &pool);
                let has_surplus = surplus > 0;
                let after = settings.give_back_after;
                let persists =
                    persists_for(&mut self.surplus_since, now, &pool, has_surplus, after);
                surpluses.insert(pool, if persists { surplus } else { 0 });
            }
        }
        let mut moves = Vec::new();
        for instance in displaced {
            let surplus = surpluses.entry(instance.pool.clone()).or_default();
            let on_loan = pools.is_spare(&instance.home);
            if (!on_loan || *surplus > 0) && headroom.reserve(pools, instance) {
                *surplus = surplus.saturating_sub(1);
                moves.push(PlannedMove {
                    worker: instance.worker.clone(),
                    to: instance.home.clone(),
                });
            }
        }
        moves
    }
}

/// Plans loans from `spare`, round-robin over the pools with a shortfall, until none is possible.
fn lend(
    pools: &PoolLedger,
    spare: &PoolId,
    short_pools: &mut [(PoolId, u32)],
    moves: &mut Vec<PlannedMove>,
) {
    let mut free = pools.lendable(spare);
    while free > 0 && short_pools.iter().any(|(_, shortfall)| *shortfall > 0) {
        for (pool, shortfall) in short_pools
            .iter_mut()
            .filter(|(_, shortfall)| *shortfall > 0)
        {
            let Some(worker) = select_loan(pools, spare, pool, moves).filter(|_| free > 0) else {
                return;
            };
            let to = pool.clone();
            moves.push(PlannedMove { worker, to });
            *shortfall -= 1;
            free -= 1;
        }
    }
}

/// Selects the worker of `spare` in the availability zone where `pool` has the fewest workers.
///
/// Among those, workers already maintained in this wave are preferred, as no second drain follows.
fn select_loan(
    pools: &PoolLedger,
    spare: &PoolId,
    pool: &PoolId,
    moves: &[PlannedMove],
) -> Option<WorkerId> {
    let mut per_zone: IndexMap<&ZoneId, u32> = IndexMap::new();
    for member in pools
        .members(pool)
        .filter(|instance| pools.is_available(instance))
    {
        *per_zone.entry(&member.zone).or_default() += 1;
    }
    pools
        .members(spare)
        .filter(|instance| instance.home == *spare && pools.is_available(instance))
        .filter(|instance| {
            moves
                .iter()
                .all(|planned| planned.worker != instance.worker)
        })
        .min_by_key(|instance| {
            let in_zone = per_zone.get(&instance.zone).copied().unwrap_or_default();
            (in_zone, pools.awaits_maintenance(instance))
        })
        .map(|instance| instance.worker.clone())
}

/// Returns how many workers a pool lacks, counting incoming workers as present.
///
/// A pool without headroom for maintenance needs one more while its wave is unfinished, unless its
/// own maintenance uses the headroom or an availability zone is out of service.
fn shortfall(pools: &PoolLedger, pool: &PoolId) -> u32 {
    let budget = pools.budget(pool);
    let returning = pools
        .members(pool)
        .filter(|instance| instance.awaits_admission());
    let returning = returning.count();
    let incoming = |instance: &&PoolInstance| instance.destination() == Some(pool);
    let incoming = pools.instances().filter(incoming).count();
    let expected = budget.available as usize + returning + incoming;
    let wave_blocked = expected <= budget.required as usize && wave_needs_headroom(pools, pool);
    let wanted = budget.required as usize + usize::from(wave_blocked);
    u32::try_from(wanted.saturating_sub(expected)).unwrap_or(u32::MAX)
}

fn wave_needs_headroom(pools: &PoolLedger, pool: &PoolId) -> bool {
    let all_in_service = pools.zones().all(|(_, zone)| zone.is_in_service());
    let awaits = |instance: &PoolInstance| {
        instance.phase == InstancePhase::InService && pools.awaits_maintenance(instance)
    };
    all_in_service && pools.members(pool).any(awaits) && !pools.members(pool).any(is_in_maintenance)
}

/// Returns how many available workers a pool has beyond its declared size.
///
/// Returns 0 while the maintenance wave of the pool is unfinished, so it keeps borrowed workers.
fn surplus_workers(pools: &PoolLedger, pool: &PoolId) -> u32 {
    if pools
        .members(pool)
        .any(|instance| pools.awaits_maintenance(instance))
    {
        return 0;
    }
    let available = pools.budget(pool).available;
    available.saturating_sub(pools.declared_size(pool))
}

/// Returns whether `condition` has been true for `pool` for at least `duration`.
fn persists_for(
    since: &mut IndexMap<PoolId, Instant>,
    now: Instant,
    pool: &PoolId,
    condition: bool,
    duration: Duration,
) -> bool {
    if !condition {
        since.swap_remove(pool);
        return false;
    }
    let start = *since.entry(pool.clone()).or_insert(now);
    now.saturating_duration_since(start) >= duration
}
